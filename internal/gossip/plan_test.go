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

// without returns the members but one.
func without(members []Member, name string) []Member {
	return slices.DeleteFunc(slices.Clone(members), func(m Member) bool { return m.Name == name })
}

// reached returns the names of the members that hear the state of an origin, when all but a silent one pass on what the
// plan says.
func reachedMembers(pl plan, members []Member, origin Member, silent string) map[string]bool {
	heard := map[string]bool{origin.Name: true}
	for range 4 {
		for _, from := range members {
			if !heard[from.Name] || from.Name == silent {
				continue
			}
			for _, to := range members {
				direct := from == origin && pl.linked(from, to)
				subscribed := pl.subscribes(to, from)
				ofSubscriber := pl.linked(from, to) && pl.subscribes(origin, from)
				zone := slices.Contains(pl.remoteRelays(to), from.Name) && from.AvailabilityZone == origin.AvailabilityZone
				if direct || subscribed || ofSubscriber || zone {
					heard[to.Name] = true
				}
			}
		}
	}
	return heard
}

func TestPlanReachesEveryMember(t *testing.T) {
	tests := map[string]struct{ members, zones int }{
		"full mesh":     {members: 16, zones: 3},
		"a little more": {members: 17, zones: 3},
		"ninety":        {members: 90, zones: 3},
		"one zone":      {members: 50, zones: 1},
		"small zones":   {members: 20, zones: 20},
		"five zones":    {members: 120, zones: 5},
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
		"a little more": {members: 17, zones: 3},
		"ninety":        {members: 90, zones: 3},
		"one zone":      {members: 50, zones: 1},
		"five zones":    {members: 120, zones: 5},
	}
	for name, tt := range tests {
		t.Run(name, func(t *testing.T) {
			g := NewWithT(t)
			members := membersInZones(tt.members, tt.zones)
			pl := newPlan(members, defaultMaxFullMeshMembers)
			for _, silent := range slices.Concat(slices.Collect(maps.Values(pl.relays))...) {
				for _, origin := range without(members, silent)[:10] {
					heard := reachedMembers(pl, members, origin, silent)
					delete(heard, silent)
					g.Expect(heard).To(HaveLen(tt.members-1), "from %s without %s", origin.Name, silent)
				}
			}
		})
	}
}

func TestPlanBoundsLinkCount(t *testing.T) {
	g := NewWithT(t)
	members := membersInZones(295, 5)
	pl := newPlan(members, defaultMaxFullMeshMembers)
	links, most := 0, 0
	for _, a := range members {
		own := 0
		for _, b := range members {
			if a != b && pl.linked(a, b) {
				own++
			}
		}
		if !pl.isRelay(a) {
			g.Expect(own).To(Equal(subscriptionsPerMember), "at %s", a.Name)
		}
		links += own
		most = max(most, own)
	}
	g.Expect(links).To(BeNumerically("<", 295*6), "the sum over all members")
	g.Expect(most).To(BeNumerically("<", 80), "at one relay")
}

func TestRelaysAreMembersWithMostBandwidth(t *testing.T) {
	g := NewWithT(t)
	members := membersInZones(60, 3)
	for i := range members {
		members[i].BandwidthMbps = 20
	}
	large := []int{6, 27, 43}
	for _, i := range large {
		members[i].BandwidthMbps = 200
	}
	pl := newPlan(members, defaultMaxFullMeshMembers)
	for _, i := range large {
		g.Expect(pl.isRelay(members[i])).To(BeTrue())
	}
	members[6].Stopping = true
	g.Expect(newPlan(members, defaultMaxFullMeshMembers).isRelay(members[6])).To(BeFalse(), "it stops")
}

// TestSmallMembersDoNotRelayBesideLargeOnes: four relays would be due for 64 members, of which three are large.
func TestLowBandwidthMembersDoNotRelayBesideHighBandwidthOnes(t *testing.T) {
	tests := map[string]struct {
		large int
		want  int
	}{
		"all are small":        {large: 0, want: 4},
		"one is large":         {large: 1, want: 2},
		"three are large":      {large: 3, want: 3},
		"enough of them large": {large: 9, want: 4},
	}
	for name, tt := range tests {
		t.Run(name, func(t *testing.T) {
			g := NewWithT(t)
			members := membersInZones(64, 1)
			for i := range members {
				members[i].BandwidthMbps = 20
				if i < tt.large {
					members[i].BandwidthMbps = 200
				}
			}
			relays := newPlan(members, defaultMaxFullMeshMembers).relays["z0"]
			g.Expect(relays).To(HaveLen(tt.want))
			for i := range min(tt.large, tt.want) {
				if tt.large <= tt.want {
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
