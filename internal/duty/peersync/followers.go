package peersync

import (
	"cmp"
	"math"
	"slices"
	"sync"
	"sync/atomic"
	"time"

	"github.com/apex/log"
	"github.com/cespare/xxhash/v2"

	"github.com/silvermount/silvermount/internal/duty/gatewaydeps"
	"github.com/silvermount/silvermount/internal/gossip"
)

const (
	// maxFleetWithoutFollowers is the maximum number of instances with which each of them watches the store itself. In a larger fleet
	// only some do, because each call is billed. The bill of a small fleet is small.
	maxFleetWithoutFollowers = 16
	// followerCount is the number of instances that watch the store for the whole fleet, in different availability zones if there are
	// enough. If two of them are lost or rejected by the store, all instances still get fresh proof.
	followerCount = 3
	// candidatesPerZone is the number of instances per availability zone, followers included, that are the first to call the
	// store when the followers report nothing. One of them may be lost.
	candidatesPerZone = 2
)

// assignRole returns the role of an instance in a fleet of live instances. The instances of each availability zone are ranked:
// those that reach the store first, then those with more bandwidth, as for gossip relays, and then by hash. The followers are the
// first instances of the zones, and then the second ones. If two instances see different live instances, there is only one follower
// more or less for a while: state from peers becomes stale, and is then requested from the store.
func assignRole(self gossip.Member, live []gossip.Member) gatewaydeps.Role {
	switch {
	case len(live) == 1:
		return gatewaydeps.RoleJoining
	case len(live) <= maxFleetWithoutFollowers:
		return gatewaydeps.RoleStandalone
	}
	rank := rankOf(self, live)
	switch {
	case rank < followerCount, rankOf(self, assumeAllReachStore(live)) < followerCount:
		// A follower that does not reach the store keeps calling it besides its replacement, so that it takes over again as soon as
		// the store responds.
		return gatewaydeps.RoleFollower
	case rank < unranked:
		return gatewaydeps.RoleStandby
	default:
		return gatewaydeps.RoleListener
	}
}

// unranked is the rank of an instance that is neither a follower nor a standby.
const unranked = math.MaxInt

// rankOf returns the rank of an instance among followers and standbys, from zero, or unranked.
func rankOf(self gossip.Member, live []gossip.Member) int {
	rank := slices.IndexFunc(rankCandidates(live), func(ca candidate) bool { return ca.name == self.Name })
	if rank < 0 {
		return unranked
	}
	return rank
}

// assumeAllReachStore returns the members as if each of them reached the store.
func assumeAllReachStore(live []gossip.Member) []gossip.Member {
	all := slices.Clone(live)
	for i := range all {
		all[i].StoreUnreachable = false
	}
	return all
}

// candidate is an instance that may be a follower or standby.
type candidate struct {
	name             string
	storeUnreachable bool
	bandwidthMbps    uint64
	hash             uint64
	// zoneRank is the rank within the availability zone, from zero.
	zoneRank int
}

func newCandidate(mb gossip.Member) candidate {
	return candidate{name: mb.Name, storeUnreachable: mb.StoreUnreachable, bandwidthMbps: mb.BandwidthMbps, hash: xxhash.Sum64String(mb.Name)}
}

// compare orders candidates that reach the store first, and then those with more bandwidth.
func (ca candidate) compare(other candidate) int {
	return cmp.Or(ca.compareReachability(other), cmp.Compare(other.bandwidthMbps, ca.bandwidthMbps), cmp.Compare(ca.hash, other.hash), cmp.Compare(ca.name, other.name))
}

// compareReachability orders candidates that reach the store first, so that the fleet does not depend on followers that do not
// reach it.
func (ca candidate) compareReachability(other candidate) int {
	switch {
	case ca.storeUnreachable == other.storeUnreachable:
		return 0
	case ca.storeUnreachable:
		return 1
	default:
		return -1
	}
}

// rankCandidates returns the followers and standbys by rank: the first candidates of all availability zones, then the second ones.
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
		for rank, ca := range cands[:min(len(cands), candidatesPerZone)] {
			ca.zoneRank = rank
			order = append(order, ca)
		}
	}
	slices.SortFunc(order, func(a, b candidate) int {
		return cmp.Or(a.compareReachability(b), cmp.Compare(a.zoneRank, b.zoneRank), a.compare(b))
	})
	return order
}

// maxUnreachableFraction is the maximum fraction of live instances that report that they do not reach the store. It is far more
// than needed to find others that do, and keeps the instances from reporting it one after another if no instance reaches the
// store.
const maxUnreachableFraction = 0.25

// reportStoreReachability reports to the other instances whether this instance reaches the store. Only followers and standbys
// report that they do not, because each change is gossiped to all instances.
func reportStoreReachability(answered bool, role gatewaydeps.Role, live func() []gossip.Member, setStoreUnreachable func(bool)) {
	if answered {
		setStoreUnreachable(false)
		return
	}
	if role != gatewaydeps.RoleFollower && role != gatewaydeps.RoleStandby {
		return
	}
	all := live()
	unreachable := 0
	for _, mb := range all {
		if mb.StoreUnreachable {
			unreachable++
		}
	}
	if float64(unreachable) < maxUnreachableFraction*float64(len(all)) {
		setStoreUnreachable(true)
	}
}

// roleTracker tracks the role of this instance, and logs when it starts and stops to rely on other instances to watch the store.
type roleTracker struct {
	self gossip.Member
	lg   log.Interface
	// passive is set while other instances watch the store on behalf of this one.
	passive atomic.Bool

	mu sync.Mutex
	// current is the role at membersVersion of the member list.
	current        gatewaydeps.Role
	membersVersion uint64
	// maxLive is the largest number of live members so far, grownAt when it last grew.
	maxLive int
	grownAt time.Time
}

// settledFor returns how long the number of live members has not grown.
func (tk *roleTracker) settledFor(ms *gossip.Mesh) time.Duration {
	tk.currentRole(ms)
	tk.mu.Lock()
	defer tk.mu.Unlock()
	return time.Since(tk.grownAt)
}

// currentRole returns the role of this instance at the newest version of the member list.
func (tk *roleTracker) currentRole(ms *gossip.Mesh) gatewaydeps.Role {
	tk.mu.Lock()
	defer tk.mu.Unlock()
	if version := ms.MembershipVersion(); version != tk.membersVersion {
		tk.membersVersion = version
		live := ms.Live()
		if len(live) > tk.maxLive {
			tk.maxLive, tk.grownAt = len(live), time.Now()
		}
		tk.current = tk.update(live)
	}
	return tk.current
}

// update returns the role among the given live members, and logs a change of passive.
func (tk *roleTracker) update(live []gossip.Member) gatewaydeps.Role {
	role := assignRole(tk.self, live)
	passive := role >= gatewaydeps.RoleStandby
	if tk.passive.Swap(passive) == passive {
		return role
	}
	message := "watching the store directly"
	if passive {
		message = "relying on other instances to watch the store"
	}
	tk.lg.WithField("live", len(live)).Info(message)
	return role
}
