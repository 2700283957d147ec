package gossip

import (
	"testing"

	"github.com/apex/log"
	"github.com/apex/log/handlers/memory"
	. "github.com/onsi/gomega"
)

// TestMemberLossAndReturnAreLogged follows one member through silence, return and replacement by a new incarnation.
func TestMemberLossAndReturnAreLogged(t *testing.T) {
	g := NewWithT(t)
	a, ck := newUnstartedNode(t)
	mh := memory.New()
	a.ms.opts.Log = &log.Logger{Handler: mh, Level: log.InfoLevel}
	next := memberInfo{Member: Member{Name: "b", Incarnation: "2"}, Generation: 1}
	a.receiveEntry(infoB, entry{Heartbeat: 1})
	a.heartbeats(ck, int(defaultLostAfter/defaultHeartbeatInterval))
	a.receiveEntry(infoB, entry{Heartbeat: 2})
	a.receiveEntry(next, entry{Heartbeat: 1})
	var lines []string
	for _, e := range mh.Entries {
		cause, _ := e.Fields["cause"].(string)
		lines = append(lines, e.Message+" "+e.Fields["incarnation"].(string)+" "+cause)
		g.Expect(e.Fields).To(HaveKeyWithValue("peer", "b"))
		g.Expect(e.Fields).NotTo(HaveKey("instance"))
	}
	g.Expect(lines).To(Equal([]string{
		"found a peer 1 ", "lost a peer 1 silent", "regained a peer 1 ", "lost a peer 1 replaced", "regained a peer 2 ",
	}))
}
