package gossip

import (
	"time"
)

// silentBeats is the number of heartbeats without a frame after which the peer of a link is suspected: a lost packet is
// sent again well before, and a suspected relay is replaced before anybody seems lost for its silence.
const suspectAfterHeartbeats = 3

// suspect notes that a member could not be reached, or that its link ended; the lock is held.
func (ms *Mesh) suspect(name string, now time.Time) {
	if name == "" || name == ms.self.Name {
		return
	}
	if _, known := ms.suspects[name]; !known {
		ms.topologyVersion++
		ms.replanNow = true
	}
	ms.suspects[name] = ms.clock.elapsedAt(now)
	ms.signal()
}

// trust forgets a suspicion, since the member was heard; the lock is held.
func (ms *Mesh) clearSuspicion(name string) {
	if _, ok := ms.suspects[name]; ok {
		delete(ms.suspects, name)
		ms.topologyVersion++
		ms.replanNow = true
		ms.signal()
	}
}

// suspectSilent suspects the peers of silent links, and forgets suspicions that are old: by then a member is lost, or
// others hear it. The lock is held.
func (ms *Mesh) suspectSilentPeers(now time.Time) {
	awake := ms.clock.elapsedAt(now)
	for name, since := range ms.suspects {
		if awake-since >= ms.opts.LostAfter {
			delete(ms.suspects, name)
			ms.topologyVersion++
		}
	}
	for lk := range ms.links {
		if lk.peer.Name != "" && awake-lk.lastHeard >= suspectAfterHeartbeats*ms.opts.HeartbeatInterval && !ms.hasOtherActiveLink(lk, awake) {
			ms.suspect(lk.peer.Name, now)
		}
	}
}

// hearsOtherwise reports whether another link to the same process is not silent.
func (ms *Mesh) hasOtherActiveLink(silent *link, awake time.Duration) bool {
	for lk := range ms.links {
		if lk != silent && lk.peer.Name == silent.peer.Name && awake-lk.lastHeard < suspectAfterHeartbeats*ms.opts.HeartbeatInterval {
			return true
		}
	}
	return false
}

// usableLocked returns the live members that are not suspected, and this instance.
func (ms *Mesh) unsuspectedMembers() []Member {
	usable := make([]Member, 0, len(ms.records)+1)
	usable = append(usable, ms.self.Member)
	for _, r := range ms.records {
		if _, suspected := ms.suspects[r.Name]; r.live && !suspected {
			usable = append(usable, r.Member)
		}
	}
	return usable
}
