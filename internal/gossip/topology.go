package gossip

import (
	"slices"
	"time"

	"github.com/silvermount/silvermount/internal/set"
)

// Source reports whether this instance should take from a member what all need: from each other one when it is itself one of
// those that others take it from, else only from the relays that it subscribes to.
func (ms *Mesh) IsUpstream(m Member) bool {
	ms.mu.Lock()
	defer ms.mu.Unlock()
	ms.replan()
	return ms.plan.fullMesh || ms.plan.isRelay(ms.self.Member) || slices.Contains(ms.upstreamRelays, m.Name)
}

// replanPause is the least time between two plans made for members that came or changed: hundreds that start at once are
// planned for together, since each plan takes a fifth of a core some milliseconds.
const minReplanInterval = 100 * time.Millisecond

// replan makes the plan for the live members that are not suspected, when they changed. The lock is held.
func (ms *Mesh) replan() {
	now := ms.opts.Now()
	if ms.plannedVersion == ms.topologyVersion || !ms.replanNow && now.Sub(ms.plannedAt) < minReplanInterval {
		return
	}
	ms.plannedVersion, ms.plannedAt, ms.replanNow = ms.topologyVersion, now, false
	ms.plan = plan{fullMesh: true}
	if ms.liveCount() > ms.opts.MaxFullMeshMembers {
		ms.plan = newPlan(ms.unsuspectedMembers(), 0)
	}
	ms.plannedPeers = ms.selectPeers()
	ms.updateUpstreamRelays()
	ms.logRelayRole()
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

// wantedByPlan returns the names of the members, live or lost, that a link is to be kept to. Those of an availability
// zone of which nobody is usable are planned for as if they were, so that it is not given up while it is cut off. In its
// own zone an instance goes on with all that it serves.
func (ms *Mesh) selectPeers() []string {
	self := ms.self.Member
	serves := ms.plan.fullMesh || ms.plan.isRelay(self)
	linked := set.Of(slices.Concat(ms.plan.linkedNames(self), ms.planWithSilentZones().linkedNames(self))...)
	var names []string
	for name, r := range ms.records {
		near := r.AvailabilityZone == self.AvailabilityZone
		if r.live && ms.plan.fullMesh || near && serves || linked.Has(name) {
			names = append(names, name)
		}
	}
	return names
}

// hopefulPlan is the plan as it would be with all that are known in the availability zones of which nobody is usable.
func (ms *Mesh) planWithSilentZones() plan {
	members := ms.unsuspectedMembers()
	zones := map[string]bool{}
	for _, m := range members {
		zones[m.AvailabilityZone] = true
	}
	usable := len(members)
	for _, r := range ms.records {
		if !zones[r.AvailabilityZone] {
			members = append(members, r.Member)
		}
	}
	if len(members) == usable {
		return ms.plan
	}
	return newPlan(members, 0)
}

// findSources notes from which relays this instance takes states: those it subscribes to and has a link to. The lock is
// held.
func (ms *Mesh) updateUpstreamRelays() {
	var sources []string
	for lk := range ms.links {
		_, suspected := ms.suspects[lk.peer.Name]
		if lk.peer.Name != "" && !suspected && ms.plan.subscribes(ms.self.Member, lk.peer) {
			sources = append(sources, lk.peer.Name)
		}
	}
	slices.Sort(sources)
	ms.upstreamRelays = slices.Compact(sources)
}

// wanted returns the members, live or lost, that a link is to be kept to; the lock is held.
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
