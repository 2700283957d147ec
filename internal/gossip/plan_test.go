package gossip

import (
	"fmt"
	"maps"
	"slices"
	"testing"

	. "github.com/onsi/gomega"
)

func membersInZones(n, zoneCount int) []Member {
	var members []Member
	for i := range n {
		members = append(members, Member{Name: fmt.Sprint("m", i), AvailabilityZone: fmt.Sprint("z", i%zoneCount)})
	}
	return members
}

// without returns all members except the named one.
func without(members []Member, name string) []Member {
	return slices.DeleteFunc(slices.Clone(members), func(m Member) bool { return m.Name == name })
}

// reachedMembers returns the names of the members that receive the state of an origin, if all members except a silent one forward
// states as the plan says.
func reachedMembers(pl plan, members []Member, origin Member, silent string) map[string]bool {
	reached := map[string]bool{origin.Name: true}
	for range 4 {
		for _, from := range members {
			if !reached[from.Name] || from.Name == silent {
				continue
			}
			for _, to := range members {
				direct := from == origin && pl.linked(from, to)
				subscribed := pl.subscribes(to, from)
				ofSubscriber := pl.linked(from, to) && pl.subscribes(origin, from)
				zone := slices.Contains(pl.remoteRelays(to), from.Name) && from.AvailabilityZone == origin.AvailabilityZone
				if direct || subscribed || ofSubscriber || zone {
					reached[to.Name] = true
				}
			}
		}
	}
	return reached
}

func TestPlanReachesEveryMember(t *testing.T) {
	tests := map[string]struct{ members, zones int }{
		"full mesh":               {members: 16, zones: 3},
		"one more than full mesh": {members: 17, zones: 3},
		"ninety members":          {members: 90, zones: 3},
		"one zone":                {members: 50, zones: 1},
		"one member per zone":     {members: 20, zones: 20},
		"five zones":              {members: 120, zones: 5},
	}
	for name, tt := range tests {
		t.Run(name, func(t *testing.T) {
			g := NewWithT(t)
			members := membersInZones(tt.members, tt.zones)
			pl := newPlan(members, defaultMaxFullMeshMembers)
			for _, origin := range members[:10] {
				g.Expect(reachedMembers(pl, members, origin, "")).To(HaveLen(tt.members), "from %s", origin.Name)
			}
		})
	}
}

func TestPlanReachesAllOthersWhileOneRelayIsSilent(t *testing.T) {
	tests := map[string]struct{ members, zones int }{
		"one more than full mesh": {members: 17, zones: 3},
		"ninety members":          {members: 90, zones: 3},
		"one zone":                {members: 50, zones: 1},
		"five zones":              {members: 120, zones: 5},
	}
	for name, tt := range tests {
		t.Run(name, func(t *testing.T) {
			g := NewWithT(t)
			members := membersInZones(tt.members, tt.zones)
			pl := newPlan(members, defaultMaxFullMeshMembers)
			for _, silent := range slices.Concat(slices.Collect(maps.Values(pl.relays))...) {
				for _, origin := range without(members, silent)[:10] {
					reached := reachedMembers(pl, members, origin, silent)
					delete(reached, silent)
					g.Expect(reached).To(HaveLen(tt.members-1), "from %s without %s", origin.Name, silent)
				}
			}
		})
	}
}

func TestPlanBoundsLinkCount(t *testing.T) {
	g := NewWithT(t)
	members := membersInZones(295, 5)
	pl := newPlan(members, defaultMaxFullMeshMembers)
	links, maxLinks := 0, 0
	for _, a := range members {
		memberLinks := 0
		for _, b := range members {
			if a != b && pl.linked(a, b) {
				memberLinks++
			}
		}
		if !pl.isRelay(a) {
			g.Expect(memberLinks).To(Equal(subscriptionsPerMember), "at %s", a.Name)
		}
		links += memberLinks
		maxLinks = max(maxLinks, memberLinks)
	}
	g.Expect(links).To(BeNumerically("<", 295*6), "the sum over all members")
	g.Expect(maxLinks).To(BeNumerically("<", 80), "at one relay")
}

func TestRelaysAreMembersWithMostBandwidth(t *testing.T) {
	g := NewWithT(t)
	members := membersInZones(60, 3)
	for i := range members {
		members[i].BandwidthMbps = 20
	}
	highBandwidth := []int{6, 27, 43}
	for _, i := range highBandwidth {
		members[i].BandwidthMbps = 200
	}
	pl := newPlan(members, defaultMaxFullMeshMembers)
	for _, i := range highBandwidth {
		g.Expect(pl.isRelay(members[i])).To(BeTrue())
	}
	members[6].Stopping = true
	g.Expect(newPlan(members, defaultMaxFullMeshMembers).isRelay(members[6])).To(BeFalse(), "a stopping member is no relay")
}

// TestLowBandwidthMembersDoNotRelayBesideHighBandwidthOnes uses 64 members, for which the plan has four relays if all have the
// same bandwidth.
func TestLowBandwidthMembersDoNotRelayBesideHighBandwidthOnes(t *testing.T) {
	tests := map[string]struct {
		highBandwidth int
		want          int
	}{
		"none has high bandwidth":    {highBandwidth: 0, want: 4},
		"one has high bandwidth":     {highBandwidth: 1, want: 2},
		"three have high bandwidth":  {highBandwidth: 3, want: 3},
		"enough have high bandwidth": {highBandwidth: 9, want: 4},
	}
	for name, tt := range tests {
		t.Run(name, func(t *testing.T) {
			g := NewWithT(t)
			members := membersInZones(64, 1)
			for i := range members {
				members[i].BandwidthMbps = 20
				if i < tt.highBandwidth {
					members[i].BandwidthMbps = 200
				}
			}
			relays := newPlan(members, defaultMaxFullMeshMembers).relays["z0"]
			g.Expect(relays).To(HaveLen(tt.want))
			for i := range min(tt.highBandwidth, tt.want) {
				if tt.highBandwidth <= tt.want {
					g.Expect(relays).To(ContainElement(members[i].Name))
				}
			}
		})
	}
}

func BenchmarkPlan(b *testing.B) {
	members := membersInZones(370, 3)
	for b.Loop() {
		newPlan(members, defaultMaxFullMeshMembers)
	}
}
