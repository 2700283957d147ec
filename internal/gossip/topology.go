package gossip

import (
	"cmp"
	"slices"
	"time"

	"github.com/silvermount/silvermount/internal/set"
)

// IsUpstream reports whether this instance should fetch documents that all instances need from the given member. A relay, and
// every instance of a full mesh, fetches from any member, other instances only from the relays that they subscribe to.
func (ms *Mesh) IsUpstream(m Member) bool {
	ms.mu.Lock()
	defer ms.mu.Unlock()
	ms.replan()
	return ms.plan.fullMesh || ms.plan.isRelay(ms.self.Member) || slices.Contains(ms.upstreamRelays, m.Name)
}

const (
	// minReplanInterval is the minimum time between two plans for members that join or change. It batches hundreds that start at
	// once, since a plan takes some milliseconds on a fifth of a core.
	minReplanInterval = 100 * time.Millisecond
	// membersPerReplanInterval is the number of known members for which minReplanInterval applies; with more it grows in proportion.
	// The cost of a plan, and of what members send each other anew after it, grows with their number.
	membersPerReplanInterval = 100
)

// replanInterval returns the minimum time between two plans for members that join or change. The lock is held.
func (ms *Mesh) replanInterval() time.Duration {
	return minReplanInterval * time.Duration(max(membersPerReplanInterval, len(ms.records))) / membersPerReplanInterval
}

// replan computes a new plan of the live members that are not suspected if the topology has changed. The lock is held.
func (ms *Mesh) replan() {
	now := ms.opts.Now()
	if ms.plannedVersion == ms.topologyVersion || !ms.replanNow && now.Sub(ms.plannedAt) < ms.replanInterval() {
		return
	}
	ms.plannedVersion, ms.plannedAt, ms.replanNow = ms.topologyVersion, now, false
	ms.plan = plan{fullMesh: true}
	if ms.liveCount() > ms.opts.MaxFullMeshMembers {
		ms.plan = newPlan(ms.unsuspectedMembers(), 0)
	}
	ms.plannedPeers = ms.selectPeers()
	ms.updateUpstreamRelays()
	ms.updateInfoLinks()
	ms.logRelayRole()
}

// linksChanged updates what depends on the links, after one of them was identified or has ended. The plan depends on the members
// only: when hundreds of them connect to one instance at once, it must not compute a plan for each. The lock is held.
func (ms *Mesh) linksChanged() {
	ms.updateUpstreamRelays()
	ms.updateInfoLinks()
	ms.countSubscribers()
	ms.signal()
}

func (ms *Mesh) liveCount() int {
	live := 1
	for _, r := range ms.records {
		if r.live {
			live++
		}
	}
	return live
}

// selectPeers returns the names of the members, live or lost, to keep links to. Members of an availability zone without any
// unsuspected member are planned for as if unsuspected, so that dialling goes on while the zone is cut off. A relay keeps links to its
// subscribers; links to all members of its zone would grow with the square of the zone, since its relays grow with its members.
func (ms *Mesh) selectPeers() []string {
	self := ms.self.Member
	linked := set.Of(slices.Concat(ms.plan.linkedNames(self), ms.planWithSilentZones().linkedNames(self))...)
	var names []string
	for name, r := range ms.records {
		sameZone := r.AvailabilityZone == self.AvailabilityZone
		if ms.plan.fullMesh && (r.live || sameZone) || ms.plan.subscribes(r.Member, self) || linked.Has(name) {
			names = append(names, name)
		}
	}
	return names
}

// planWithSilentZones returns the plan that also counts all known members of availability zones without an unsuspected member.
func (ms *Mesh) planWithSilentZones() plan {
	members := ms.unsuspectedMembers()
	zones := map[string]bool{}
	for _, m := range members {
		zones[m.AvailabilityZone] = true
	}
	unsuspected := len(members)
	for _, r := range ms.records {
		if !zones[r.AvailabilityZone] {
			members = append(members, r.Member)
		}
	}
	if len(members) == unsuspected {
		return ms.plan
	}
	return newPlan(members, 0)
}

// updateUpstreamRelays determines the relays that this instance receives states from: those that it subscribes to and has a
// link to. The lock is held.
func (ms *Mesh) updateUpstreamRelays() {
	var upstream []string
	for lk := range ms.links {
		_, suspected := ms.suspects[lk.peer.Name]
		if lk.peer.Name != "" && !suspected && ms.plan.subscribes(ms.self.Member, lk.peer) {
			upstream = append(upstream, lk.peer.Name)
		}
	}
	slices.Sort(upstream)
	ms.upstreamRelays = slices.Compact(upstream)
}

// maxInfoLinks is the number of links to other availability zones, beyond those that the plan selects, over which an instance
// subscribes to the infos of all members. Through them parts of the fleet that do not know each other yet become one.
const maxInfoLinks = 4

// updateInfoLinks determines the links to other availability zones over which this instance subscribes to the infos of all members:
// the oldest ones that the plan does not select. The seeds of a large fleet are dialled by all of its members at once, and would
// otherwise receive the infos of all members from each of them. The lock is held.
func (ms *Mesh) updateInfoLinks() {
	selected := set.Of(ms.plan.remoteRelays(ms.self.Member)...)
	var candidates []*link
	for lk := range ms.links {
		if lk.peer.Name != "" && lk.peer.AvailabilityZone != ms.self.AvailabilityZone && !selected.Has(lk.peer.Name) {
			candidates = append(candidates, lk)
		}
	}
	slices.SortFunc(candidates, func(a, b *link) int { return cmp.Compare(a.seq, b.seq) })
	ms.infoLinks = set.Of(candidates[:min(maxInfoLinks, len(candidates))]...)
}

// wantedMembers returns the members, live or lost, to keep links to. The lock is held.
func (ms *Mesh) wantedMembers() []*record {
	ms.replan()
	var wanted []*record
	for _, name := range ms.plannedPeers {
		if r := ms.records[name]; r != nil {
			wanted = append(wanted, r)
		}
	}
	return wanted
}
