package members

import (
	"cmp"
	"math"
	"slices"
	"sync"
	"sync/atomic"

	"github.com/apex/log"
	"github.com/cespare/xxhash/v2"

	"github.com/silvermount/silvermount/internal/duty/forwarding"
	"github.com/silvermount/silvermount/internal/gossip"
)

const (
	// maxFleetWithoutFollowers is the maximum number of instances with which each of them watches the store itself. In a larger fleet
	// only some do, because each call is billed. The bill of a small fleet is small.
	maxFleetWithoutFollowers = 16
	// followerCount is the number of instances that watch the store for the whole fleet, in different availability zones if there are
	// enough. If two of them are lost or rejected by the store, all instances still get fresh proof.
	followerCount = 3
	// standInsPerZone is the number of instances per availability zone, followers included, that are the first to call the store when
	// the followers report nothing. One of them may be lost.
	standInsPerZone = 2
)

// assignPart returns the part of an instance in a fleet of live instances. The instances of each availability zone are ranked:
// those that reach the store first, then those with more bandwidth, as for gossip relays, and then by hash. The followers are the
// first instances of the zones, and then the second ones. If two instances see different live instances, there is only one follower
// more or less for a while: state from peers becomes stale, and is then requested from the store.
func assignPart(self gossip.Member, live []gossip.Member) forwarding.Role {
	switch {
	case len(live) == 1:
		return forwarding.RoleJoining
	case len(live) <= maxFleetWithoutFollowers:
		return forwarding.RoleStandalone
	}
	rank := rankOf(self, live)
	switch {
	case rank < followerCount, rankOf(self, ignoreStoreless(live)) < followerCount:
		// A follower that does not reach the store keeps calling it besides its replacement, so that it takes over again as soon as
		// the store responds.
		return forwarding.RoleFollower
	case rank < unranked:
		return forwarding.RoleStandby
	default:
		return forwarding.RoleListener
	}
}

// unranked is the rank of an instance that is neither a follower nor a stand-in.
const unranked = math.MaxInt

// rankOf returns the rank of an instance among followers and stand-ins, from zero, or unranked.
func rankOf(self gossip.Member, live []gossip.Member) int {
	rank := slices.IndexFunc(rankCandidates(live), func(ca candidate) bool { return ca.name == self.Name })
	if rank < 0 {
		return unranked
	}
	return rank
}

// ignoreStoreless returns the members as if each of them reached the store.
func ignoreStoreless(live []gossip.Member) []gossip.Member {
	all := slices.Clone(live)
	for i := range all {
		all[i].StoreUnreachable = false
	}
	return all
}

// candidate is an instance that may be a follower or stand-in.
type candidate struct {
	name      string
	storeless bool
	megabits  uint64
	hash      uint64
	// zoneRank is the rank within the availability zone, from zero.
	zoneRank int
}

func newCandidate(mb gossip.Member) candidate {
	return candidate{name: mb.Name, storeless: mb.StoreUnreachable, megabits: mb.BandwidthMbps, hash: xxhash.Sum64String(mb.Name)}
}

// compare orders candidates that reach the store first, and then those with more bandwidth.
func (ca candidate) compare(other candidate) int {
	return cmp.Or(ca.compareStoreless(other), cmp.Compare(other.megabits, ca.megabits), cmp.Compare(ca.hash, other.hash), cmp.Compare(ca.name, other.name))
}

// compareStoreless orders candidates that reach the store first, so that the fleet does not depend on followers that do not reach it.
func (ca candidate) compareStoreless(other candidate) int {
	switch {
	case ca.storeless == other.storeless:
		return 0
	case ca.storeless:
		return 1
	default:
		return -1
	}
}

// rankCandidates returns the followers and stand-ins by rank: the first candidates of all availability zones, then the second ones.
func rankCandidates(live []gossip.Member) []candidate {
	zones := map[string][]candidate{}
	for _, mb := range live {
		if !mb.Stopping {
			zones[mb.AvailabilityZone] = append(zones[mb.AvailabilityZone], newCandidate(mb))
		}
	}
	var order []candidate
	for _, cands := range zones {
		slices.SortFunc(cands, candidate.compare)
		for rank, ca := range cands[:min(len(cands), standInsPerZone)] {
			ca.zoneRank = rank
			order = append(order, ca)
		}
	}
	slices.SortFunc(order, func(a, b candidate) int {
		return cmp.Or(a.compareStoreless(b), cmp.Compare(a.zoneRank, b.zoneRank), a.compare(b))
	})
	return order
}

// maxStorelessFraction is the maximum fraction of live instances that report that they do not reach the store. It is far more than
// needed to find others that do, and keeps the instances from reporting it one after another if no instance reaches the store.
const maxStorelessFraction = 0.25

// reportStoreReachability reports to the other instances whether this instance reaches the store. Only followers and stand-ins
// report that they do not, because each change is gossiped to all instances.
func reportStoreReachability(answered bool, part forwarding.Role, live func() []gossip.Member, setStoreless func(bool)) {
	if answered {
		setStoreless(false)
		return
	}
	if part != forwarding.RoleFollower && part != forwarding.RoleStandby {
		return
	}
	all := live()
	storeless := 0
	for _, mb := range all {
		if mb.StoreUnreachable {
			storeless++
		}
	}
	if float64(storeless) < maxStorelessFraction*float64(len(all)) {
		setStoreless(true)
	}
}

// partTracker tracks the part of this instance, and logs when it starts and stops to rely on other instances to watch the store.
type partTracker struct {
	self gossip.Member
	lg   log.Interface
	// passive is set while other instances watch the store on behalf of this one.
	passive atomic.Bool

	mu sync.Mutex
	// current is the part at membersVersion of the member list.
	current        forwarding.Role
	membersVersion uint64
}

// currentPart returns the part of this instance at the newest version of the member list.
func (tk *partTracker) currentPart(ms *gossip.Mesh) forwarding.Role {
	tk.mu.Lock()
	defer tk.mu.Unlock()
	if version := ms.MembershipVersion(); version != tk.membersVersion {
		tk.membersVersion = version
		tk.current = tk.update(ms.Live())
	}
	return tk.current
}

// update returns the part among the given live members, and logs a change of passive.
func (tk *partTracker) update(live []gossip.Member) forwarding.Role {
	part := assignPart(tk.self, live)
	passive := part >= forwarding.RoleStandby
	if tk.passive.Swap(passive) == passive {
		return part
	}
	message := "watching the store directly"
	if passive {
		message = "relying on other instances to watch the store"
	}
	tk.lg.WithField("live", len(live)).Info(message)
	return part
}
