package gossip

import (
	"fmt"
	"testing"

	. "github.com/onsi/gomega"
)

// TestSeedAsksFewMembersForAllInfos connects all members of a large fleet to one of them, as when they start together with the same
// seed. The seed must not be sent the infos of all members by each of them.
func TestSeedAsksFewMembersForAllInfos(t *testing.T) {
	g := NewWithT(t)
	const members, zones = 300, 5
	seed, _ := newUnstartedNode(t)
	seed.ms.self.AvailabilityZone = "zone-0"
	for i := range members {
		mi := memberInfo{Member: Member{Name: fmt.Sprint("m", i), Incarnation: "1", AvailabilityZone: fmt.Sprint("zone-", i%zones)}}
		seed.receiveEntry(mi, entry{Heartbeat: 1})
	}
	seed.ms.replan()
	asked := 0
	for i := range members {
		mi := memberInfo{Member: Member{Name: fmt.Sprint("m", i), Incarnation: "1", AvailabilityZone: fmt.Sprint("zone-", i%zones)}}
		lk := seed.ms.newLink(nil, nopCloser{}, "")
		lk.nextFrame()
		g.Expect(lk.handleFrame(frame{Entries: []entry{{ID: senderID, Info: &mi, Heartbeat: 2}}})).To(Succeed())
		lk.nextFrame()
		if lk.ownSubscription.Scope == scopeMembers {
			asked++
		}
	}
	g.Expect(asked).To(Equal(maxInfoLinks))
}

// TestLinksShareMemberInfos receives the info of a member on two links.
func TestLinksShareMemberInfos(t *testing.T) {
	g := NewWithT(t)
	nd, _ := newUnstartedNode(t)
	var links []*link
	for i := range 2 {
		lk := nd.ms.newLink(nil, nopCloser{}, "")
		peer := memberInfo{Member: Member{Name: fmt.Sprint("peer", i), Incarnation: "1"}}
		other := memberInfo{Member: Member{Name: "m", Incarnation: "1", Address: "127.0.0.1:1"}}
		g.Expect(lk.handleFrame(frame{Entries: []entry{{ID: senderID, Info: &peer, Heartbeat: 1}, {ID: 1, Info: &other, Heartbeat: 1}}})).To(Succeed())
		links = append(links, lk)
	}
	g.Expect(links[0].infos[1]).To(BeIdenticalTo(links[1].infos[1]))
	g.Expect(links[0].infos[1]).NotTo(BeIdenticalTo(&nd.ms.records["m"].memberInfo), "a change of the record does not change what links refer to")
}
