package gossip

import (
	"time"
)

// suspectAfterHeartbeats is the number of heartbeat intervals without a frame after which the peer of a link is suspected. A
// lost packet is retransmitted well before, and a silent relay is replaced before the members behind it seem lost.
const suspectAfterHeartbeats = 3

// suspect marks a member as suspected because it is silent, cannot be dialled or its link ended. The lock is held.
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

// clearSuspicion clears the suspicion of a member that was heard from. The lock is held.
func (ms *Mesh) clearSuspicion(name string) {
	if _, ok := ms.suspects[name]; ok {
		delete(ms.suspects, name)
		ms.topologyVersion++
		ms.replanNow = true
		ms.signal()
	}
}

// suspectSilentPeers suspects the peers of silent links, and clears suspicions older than LostAfter: by then a member is either
// lost or heard from through others. The lock is held.
func (ms *Mesh) suspectSilentPeers(now time.Time) {
	elapsed := ms.clock.elapsedAt(now)
	for name, since := range ms.suspects {
		if elapsed-since >= ms.opts.LostAfter {
			delete(ms.suspects, name)
			ms.topologyVersion++
		}
	}
	for lk := range ms.links {
		if lk.peer.Name != "" && elapsed-lk.lastHeard >= suspectAfterHeartbeats*ms.opts.HeartbeatInterval && !ms.hasOtherActiveLink(lk, elapsed) {
			ms.suspect(lk.peer.Name, now)
		}
	}
}

// hasOtherActiveLink reports whether another link to the silent link's peer is not silent.
func (ms *Mesh) hasOtherActiveLink(silent *link, elapsed time.Duration) bool {
	for lk := range ms.links {
		if lk != silent && lk.peer.Name == silent.peer.Name && elapsed-lk.lastHeard < suspectAfterHeartbeats*ms.opts.HeartbeatInterval {
			return true
		}
	}
	return false
}

// unsuspectedMembers returns this instance and the live members that are not suspected. The lock is held.
func (ms *Mesh) unsuspectedMembers() []Member {
	members := make([]Member, 0, len(ms.records)+1)
	members = append(members, ms.self.Member)
	for _, r := range ms.records {
		if _, suspected := ms.suspects[r.Name]; r.live && !suspected {
			members = append(members, r.Member)
		}
	}
	return members
}
