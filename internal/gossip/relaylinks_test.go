package gossip

import (
	"fmt"
	"testing"

	. "github.com/onsi/gomega"
)

// TestRelayKeepsLinksToItsSubscribersOnly guards against relays that dial all members of their availability zone: with one relay for
// twenty members, links and heartbeats on them grow with the square of the zone.
func TestRelayKeepsLinksToItsSubscribersOnly(t *testing.T) {
	for name, members := range map[string]int{"one hundred": 100, "two hundred": 200, "four hundred": 400} {
		t.Run(name, func(t *testing.T) {
			g := NewWithT(t)
			nd, _ := newUnstartedNode(t)
			nd.ms.self.AvailabilityZone, nd.ms.self.BandwidthMbps = "z", 1000
			relays := members / membersPerRelay
			for i := 1; i < members; i++ {
				mi := memberInfo{Member: Member{Name: fmt.Sprint("m", i), Incarnation: "1", AvailabilityZone: "z", BandwidthMbps: 20}}
				if i < relays {
					mi.BandwidthMbps = 1000
				}
				nd.receiveEntry(mi, entry{Heartbeat: 1})
			}
			nd.ms.mu.Lock()
			defer nd.ms.mu.Unlock()
			nd.ms.topologyVersion++
			nd.ms.replanNow = true
			nd.ms.replan()
			g.Expect(nd.ms.plan.isRelay(nd.ms.self.Member)).To(BeTrue())
			// Subscribers are spread by hash, so a relay may have somewhat more than the mean.
			const mean = membersPerRelay * subscriptionsPerMember
			g.Expect(len(nd.ms.plannedPeers) - (relays - 1)).To(And(BeNumerically(">", mean/2), BeNumerically("<", mean*3/2)))
		})
	}
}
