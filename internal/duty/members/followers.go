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
	// followersFrom is the number of instances beyond which only some follow the store: each call is priced, and the bill
	// of a small fleet is small.
	followersFrom = 16
	// followers is how many follow the store for the whole fleet, in different availability zones where there are as many:
	// two may be lost, or be turned away by the store, and nobody is without fresh proof.
	followers = 3
	// standInsPerZone is how many of each availability zone ask the store first when the followers are silent, followers
	// among them; one may be lost.
	standInsPerZone = 2
)

// part returns what an instance does for the others. In each availability zone the live instances are in an order: those that the
// store answers before those that it does not, then those with more of the network, as for the relays of gossip, and then by hash.
// The followers are the first of the zones, and then the second ones. Two instances that see different ones as live only mean
// a follower more or less for a while, since what peers tell grows old and is then asked for.
func part(self gossip.Member, live []gossip.Member) forwarding.Role {
	switch {
	case len(live) == 1:
		return forwarding.RoleJoining
	case len(live) <= followersFrom:
		return forwarding.RoleStandalone
	}
	place := placeOf(self, live)
	switch {
	case place < followers, placeOf(self, allAnswered(live)) < followers:
		// A follower that the store leaves without an answer goes on asking beside the one in its place, so that it is back as soon
		// as the store answers it.
		return forwarding.RoleFollower
	case place < nowhere:
		return forwarding.RoleStandby
	default:
		return forwarding.RoleListener
	}
}

// nowhere is the place of who is not among the stand-ins.
const nowhere = math.MaxInt

// placeOf returns the place of an instance in the order of the stand-ins, from zero.
func placeOf(self gossip.Member, live []gossip.Member) int {
	place := slices.IndexFunc(standIns(live), func(si standIn) bool { return si.name == self.Name })
	if place < 0 {
		return nowhere
	}
	return place
}

// allAnswered returns the members as if the store answered each of them.
func allAnswered(live []gossip.Member) []gossip.Member {
	all := slices.Clone(live)
	for i := range all {
		all[i].Storeless = false
	}
	return all
}

// standIn is an instance that is a follower or may take one's place.
type standIn struct {
	name      string
	storeless bool
	megabits  uint64
	hash      uint64
	// place is that in the order of its availability zone.
	place int
}

func newStandIn(mb gossip.Member) standIn {
	return standIn{name: mb.Name, storeless: mb.Storeless, megabits: mb.Megabits, hash: xxhash.Sum64String(mb.Name)}
}

// compare puts those that the store answers first, and then those with more of the network.
func (si standIn) compare(other standIn) int {
	return cmp.Or(si.compareStoreless(other), cmp.Compare(other.megabits, si.megabits), cmp.Compare(si.hash, other.hash), cmp.Compare(si.name, other.name))
}

// compareStoreless puts those that the store answers first: a follower without an answer must not be all that the fleet has.
func (si standIn) compareStoreless(other standIn) int {
	switch {
	case si.storeless == other.storeless:
		return 0
	case si.storeless:
		return 1
	default:
		return -1
	}
}

// standIns returns the first of all availability zones, then the second ones.
func standIns(live []gossip.Member) []standIn {
	zones := map[string][]standIn{}
	for _, mb := range live {
		if !mb.Stopping {
			zones[mb.AvailabilityZone] = append(zones[mb.AvailabilityZone], newStandIn(mb))
		}
	}
	var order []standIn
	for _, near := range zones {
		slices.SortFunc(near, standIn.compare)
		for place, si := range near[:min(len(near), standInsPerZone)] {
			si.place = place
			order = append(order, si)
		}
	}
	slices.SortFunc(order, func(a, b standIn) int {
		return cmp.Or(a.compareStoreless(b), cmp.Compare(a.place, b.place), a.compare(b))
	})
	return order
}

// storelessShare is the share of the live instances that may say that the store does not answer them: far more than it takes to find
// others that it answers, and a store that answers nobody does not have one after the other say so.
const storelessShare = 0.25

// reach tells the others whether the store answers this instance, as far as it concerns them: that it does not, only a follower or
// a stand-in says, since each change is passed on to all.
func reach(answered bool, pa forwarding.Role, live func() []gossip.Member, setStoreless func(bool)) {
	if answered {
		setStoreless(false)
		return
	}
	if pa != forwarding.RoleFollower && pa != forwarding.RoleStandby {
		return
	}
	all := live()
	storeless := 0
	for _, mb := range all {
		if mb.Storeless {
			storeless++
		}
	}
	if float64(storeless) < storelessShare*float64(len(all)) {
		setStoreless(true)
	}
}

// follower tells when this instance begins and ends to follow the store for others.
type follower struct {
	self gossip.Member
	lg   log.Interface
	// rests is set while others follow the store for this instance.
	rests atomic.Bool

	mu sync.Mutex
	// newest was decided for a version of the member list.
	newest  forwarding.Role
	version uint64
}

// of returns what this instance does for the others by the newest list of members.
func (fl *follower) of(ms *gossip.Mesh) forwarding.Role {
	fl.mu.Lock()
	defer fl.mu.Unlock()
	if version := ms.Version(); version != fl.version {
		fl.version = version
		fl.newest = fl.part(ms.Live())
	}
	return fl.newest
}

// part decides from the live members.
func (fl *follower) part(live []gossip.Member) forwarding.Role {
	pa := part(fl.self, live)
	rests := pa >= forwarding.RoleStandby
	if fl.rests.Swap(rests) == rests {
		return pa
	}
	message := "this instance follows the store for others"
	if rests {
		message = "others follow the store for this instance"
	}
	fl.lg.WithField("live", len(live)).Info(message)
	return pa
}
