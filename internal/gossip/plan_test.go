package gossip

import (
	"fmt"
	"testing"

	. "github.com/onsi/gomega"
)

func zoned(n, zoneCount int) []Member {
	var members []Member
	for i := range n {
		members = append(members, Member{Name: fmt.Sprint("m", i), AvailabilityZone: fmt.Sprint("z", i%zoneCount)})
	}
	return members
}

func TestPlanReachesEveryMember(t *testing.T) {
	tests := map[string]struct{ members, zones int }{
		"full mesh":     {members: 16, zones: 3},
		"a little more": {members: 17, zones: 3},
		"ninety":        {members: 90, zones: 3},
		"one zone":      {members: 40, zones: 1},
		"small zones":   {members: 20, zones: 20},
	}
	for name, tt := range tests {
		t.Run(name, func(t *testing.T) {
			g := NewWithT(t)
			members := zoned(tt.members, tt.zones)
			plans := map[string]plan{}
			for _, m := range members {
				plans[m.Name] = newPlan(m, members, defaultFullMesh, defaultRemoteLinks)
			}
			for _, origin := range members {
				for _, peer := range members {
					if origin == peer || plans[peer.Name].linked(origin, peer) {
						continue
					}
					relays := 0
					for _, m := range members {
						if plans[m.Name].relays(m, origin, peer) && plans[m.Name].linked(m, peer) && plans[m.Name].linked(m, origin) {
							relays++
						}
					}
					g.Expect(relays).To(Equal(defaultRemoteLinks), "%s to %s", origin.Name, peer.Name)
				}
			}
		})
	}
}

func TestPlanHasFewLinksBetweenZones(t *testing.T) {
	g := NewWithT(t)
	members := zoned(90, 3)
	pl := newPlan(members[0], members, defaultFullMesh, defaultRemoteLinks)
	links := 0
	for i, a := range members {
		for _, b := range members[:i] {
			if a.AvailabilityZone != b.AvailabilityZone && pl.linked(a, b) {
				links++
			}
		}
	}
	g.Expect(links).To(BeNumerically("<=", 90*2*defaultRemoteLinks))
}

func BenchmarkPlan(b *testing.B) {
	members := zoned(370, 3)
	for b.Loop() {
		newPlan(members[0], members, defaultFullMesh, defaultRemoteLinks)
	}
}
