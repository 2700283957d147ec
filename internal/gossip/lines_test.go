package gossip

import (
	"testing"

	"github.com/apex/log"
	"github.com/apex/log/handlers/memory"
	. "github.com/onsi/gomega"
)

// TestLostAndFoundMembersAreTold follows one name through silence, return and replacement.
func TestLostAndFoundMembersAreTold(t *testing.T) {
	g := NewWithT(t)
	a, ck := still(t)
	mh := memory.New()
	a.ms.opts.Log = &log.Logger{Handler: mh, Level: log.InfoLevel}
	next := card{Member: Member{Name: "b", Incarnation: "2"}, Generation: 1}
	a.hears(cardB, entry{Pulse: 1})
	a.beats(ck, int(defaultLost/defaultInterval))
	a.hears(cardB, entry{Pulse: 2})
	a.hears(next, entry{Pulse: 1})
	var told []string
	for _, e := range mh.Entries {
		cause, _ := e.Fields["cause"].(string)
		told = append(told, e.Message+" "+e.Fields["incarnation"].(string)+" "+cause)
		g.Expect(e.Fields).To(HaveKeyWithValue("peer", "b"))
		g.Expect(e.Fields).NotTo(HaveKey("instance"))
	}
	g.Expect(told).To(Equal([]string{
		"found a peer 1 ", "lost a peer 1 silent", "regained a peer 1 ", "lost a peer 1 replaced", "regained a peer 2 ",
	}))
}
