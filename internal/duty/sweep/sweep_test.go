package sweep

import (
	"testing"
	"time"

	. "github.com/onsi/gomega"

	"github.com/silvermount/silvermount/internal/engine"
	"github.com/silvermount/silvermount/internal/fleet"
	"github.com/silvermount/silvermount/internal/set"
)

func TestOrphaned(t *testing.T) {
	tests := map[string]struct {
		held engine.MemoryHold
		want bool
	}{
		"running":                 {held: engine.MemoryHold{Holder: "live", RemainingMillis: 1}},
		"just past its deadline":  {held: engine.MemoryHold{Holder: "live", RemainingMillis: -1}},
		"past deadline and grace": {held: engine.MemoryHold{Holder: "live", RemainingMillis: -(deadlineGrace.Milliseconds() + 1)}, want: true},
		"holder has ended":        {held: engine.MemoryHold{Holder: "ended", RemainingMillis: 1e6}, want: true},
	}
	for name, tc := range tests {
		t.Run(name, func(t *testing.T) {
			NewWithT(t).Expect(Orphaned(tc.held, set.Of("ended"))).To(Equal(tc.want))
		})
	}
}

// TestSilentInstanceIsNotTreatedAsEnded guards against cancelling the attempts of an instance that is only cut off from its peers.
func TestSilentInstanceIsNotTreatedAsEnded(t *testing.T) {
	g := NewWithT(t)
	now := time.Unix(0, 0)
	fl := fleet.New(fleet.Instance{Name: "self"}, fleet.WithClock(func() time.Time { return now }))
	peer := fleet.Instance{Name: "p", Incarnation: "p-1"}
	fl.SetInstances([]fleet.ListedInstance{{Instance: peer, Version: 1}})
	fl.ApplyHeartbeat(fleet.Heartbeat{Sender: peer})
	now = now.Add(time.Hour)
	g.Expect(fl.EndedIncarnations().Has("p-1")).To(BeFalse())
	fl.ApplyHeartbeat(fleet.Heartbeat{Sender: fleet.Instance{Name: "p", Incarnation: "p-2"}})
	g.Expect(fl.EndedIncarnations().Has("p-1")).To(BeTrue())
	fl.SetInstances(nil)
	g.Expect(fl.EndedIncarnations().Has("p-2")).To(BeTrue())
}
