package members

import (
	"cmp"
	"slices"
	"sync/atomic"

	"github.com/apex/log"
	"github.com/cespare/xxhash/v2"

	"github.com/silvermount/silvermount/internal/duty/forwarding"
	"github.com/silvermount/silvermount/internal/gossip"
)

const (
	// relaysFrom is the number of instances beyond which only some follow the store: each call is priced, and the bill
	// of a small fleet is small.
	relaysFrom = 16
	// relaysLeast is how many relays there are at least, spread evenly over the availability zones: with three, each of
	// them one silent watch behind the next at most, a proof is told that is younger than the age from which listeners
	// ask, also while one of them is lost and not yet replaced.
	relaysLeast = 3
)

// part returns what an instance does for the others: relays are the first of each availability zone by hash among the live
// ones. Two instances that see different ones as live only mean a relay more or less for a while, since what peers tell
// grows old and is then asked for.
func part(self gossip.Member, live []gossip.Member) forwarding.Part {
	if len(live) <= relaysFrom {
		return forwarding.PartAlone
	}
	zones := map[string]bool{}
	var near []gossip.Member
	for _, mb := range live {
		zones[mb.AvailabilityZone] = true
		if mb.AvailabilityZone == self.AvailabilityZone && !mb.Stopping {
			near = append(near, mb)
		}
	}
	rank := func(mb gossip.Member) uint64 { return xxhash.Sum64String(mb.Name) }
	slices.SortFunc(near, func(a, b gossip.Member) int { return cmp.Compare(rank(a), rank(b)) })
	each := (relaysLeast + len(zones) - 1) / len(zones)
	if slices.ContainsFunc(near[:min(len(near), each)], func(mb gossip.Member) bool { return mb.Name == self.Name }) {
		return forwarding.PartRelay
	}
	return forwarding.PartListener
}

// follower tells when this instance begins and ends to follow the store for others.
type follower struct {
	self gossip.Member
	lg   log.Interface
	// rests is set while others follow the store for this instance.
	rests atomic.Bool
}

// part decides from the live members.
func (fl *follower) part(live []gossip.Member) forwarding.Part {
	pa := part(fl.self, live)
	rests := pa == forwarding.PartListener
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
