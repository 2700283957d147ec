package members

import (
	"fmt"
	"slices"
	"testing"

	. "github.com/onsi/gomega"

	"github.com/silvermount/silvermount/internal/duty/forwarding"
	"github.com/silvermount/silvermount/internal/gossip"
)

func fleet(perZone int, zones ...string) []gossip.Member {
	var live []gossip.Member
	for _, zone := range zones {
		for i := range perZone {
			live = append(live, gossip.Member{Name: fmt.Sprintf("%s-%d", zone, i), AvailabilityZone: zone})
		}
	}
	return live
}

func followers(live []gossip.Member) map[string]int {
	n := map[string]int{}
	for _, mb := range live {
		if follows(mb, live) {
			n[mb.AvailabilityZone]++
		}
	}
	return n
}

func follows(self gossip.Member, live []gossip.Member) bool {
	return part(self, live) != forwarding.PartListener
}

func TestFollowers(t *testing.T) {
	tests := map[string]struct {
		live []gossip.Member
		want map[string]int
	}{
		"all of a small fleet":         {fleet(4, "a", "b"), map[string]int{"a": 4, "b": 4}},
		"one of each of four zones":    {fleet(25, "a", "b", "c", "d"), map[string]int{"a": 1, "b": 1, "c": 1, "d": 1}},
		"one of each of three zones":   {fleet(25, "a", "b", "c"), map[string]int{"a": 1, "b": 1, "c": 1}},
		"two of each of two zones":     {fleet(25, "a", "b"), map[string]int{"a": 2, "b": 2}},
		"three of one zone":            {fleet(25, "a"), map[string]int{"a": 3}},
		"one where there is no second": {append(fleet(20, "a"), fleet(1, "b")...), map[string]int{"a": 2, "b": 1}},
	}
	for name, tc := range tests {
		t.Run(name, func(t *testing.T) {
			g := NewWithT(t)
			g.Expect(followers(tc.live)).To(Equal(tc.want))
		})
	}
}

func TestAnotherFollowsForOneThatIsLost(t *testing.T) {
	g := NewWithT(t)
	live := fleet(20, "a")
	lost := slices.IndexFunc(live, func(mb gossip.Member) bool { return follows(mb, live) })
	left := slices.Delete(slices.Clone(live), lost, lost+1)
	g.Expect(followers(left)).To(Equal(map[string]int{"a": relaysLeast}))
}

func TestStoppingInstanceDoesNotFollowForOthers(t *testing.T) {
	g := NewWithT(t)
	live := fleet(20, "a")
	first := slices.IndexFunc(live, func(mb gossip.Member) bool { return follows(mb, live) })
	live[first].Stopping = true
	g.Expect(follows(live[first], live)).To(BeFalse())
	g.Expect(followers(live)).To(Equal(map[string]int{"a": relaysLeast}))
}
