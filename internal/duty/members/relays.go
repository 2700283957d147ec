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
	// relaysPerZone is how many follow the store in each availability zone; one may be lost.
	relaysPerZone = 2
)

// part returns what an instance does for the others: relays are the first of each availability zone by hash among the live
// ones. Two instances that see different ones as live only mean a relay more or less for a while, since what peers tell
// grows old and is then asked for.
func part(self gossip.Member, live []gossip.Member) forwarding.Part {
	if len(live) <= relaysFrom {
		return forwarding.PartAlone
	}
	var near []gossip.Member
	for _, mb := range live {
		if mb.AvailabilityZone == self.AvailabilityZone && !mb.Stopping {
			near = append(near, mb)
		}
	}
	rank := func(mb gossip.Member) uint64 { return xxhash.Sum64String(mb.Name) }
	slices.SortFunc(near, func(a, b gossip.Member) int { return cmp.Compare(rank(a), rank(b)) })
	if slices.ContainsFunc(near[:min(len(near), relaysPerZone)], func(mb gossip.Member) bool { return mb.Name == self.Name }) {
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
