package members

import (
	"cmp"
	"slices"
	"sync/atomic"

	"github.com/apex/log"
	"github.com/cespare/xxhash/v2"

	"github.com/silvermount/silvermount/internal/gossip"
)

const (
	// relaysFrom is the number of instances beyond which only some follow the store: each call is priced, and the bill
	// of a small fleet is small.
	relaysFrom = 16
	// relaysPerZone is how many follow the store in each availability zone; one may be lost.
	relaysPerZone = 2
)

// follows reports whether an instance is among those that follow the store for its availability zone: the first by hash
// among the live ones. Two instances that see different ones as live only mean a follower more or less for a while, since
// what peers tell grows old and is then asked for.
func follows(self gossip.Member, live []gossip.Member) bool {
	if len(live) <= relaysFrom {
		return true
	}
	var near []gossip.Member
	for _, mb := range live {
		if mb.AvailabilityZone == self.AvailabilityZone && !mb.Stopping {
			near = append(near, mb)
		}
	}
	rank := func(mb gossip.Member) uint64 { return xxhash.Sum64String(mb.Name) }
	slices.SortFunc(near, func(a, b gossip.Member) int { return cmp.Compare(rank(a), rank(b)) })
	return slices.ContainsFunc(near[:min(len(near), relaysPerZone)], func(mb gossip.Member) bool { return mb.Name == self.Name })
}

// follower tells when this instance begins and ends to follow the store for others.
type follower struct {
	self gossip.Member
	lg   log.Interface
	// rests is set while others follow the store for this instance.
	rests atomic.Bool
}

// follows decides from the live members.
func (fl *follower) follows(live []gossip.Member) bool {
	does := follows(fl.self, live)
	if fl.rests.Swap(!does) == !does {
		return does
	}
	message := "others follow the store for this instance"
	if does {
		message = "this instance follows the store for others"
	}
	fl.lg.WithField("live", len(live)).Info(message)
	return does
}
