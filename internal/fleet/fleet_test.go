package fleet

import (
	"fmt"
	"testing"
	"time"

	. "github.com/onsi/gomega"

	"github.com/silvermount/silvermount/internal/engine"
)

type clock struct{ at time.Time }

// newFleet returns the Fleet of the instance self in zone a, with peers and targets distributed evenly over the zones.
func newFleet(peers, targets, zones int) (*Fleet, *clock) {
	ck := &clock{at: time.Unix(1_000_000, 0)}
	fl := New(Instance{Name: "self", AvailabilityZone: "a"}, WithClock(func() time.Time { return ck.at }))
	var list []Target
	for i := range targets {
		list = append(list, Target{
			Name: fmt.Sprintf("engine-%02d", i), Kind: KindEngine, AvailabilityZone: string(rune('a' + i%zones)), Models: []string{"m"},
		})
	}
	fl.SetTargets(list)
	for i := range peers {
		fl.ApplyHeartbeat(Heartbeat{Sender: Instance{Name: fmt.Sprintf("peer-%02d", i), Incarnation: "1", AvailabilityZone: string(rune('a' + i%zones))}})
	}
	return fl, ck
}

func TestAssignOwnersDistributesTargetsEvenly(t *testing.T) {
	tests := map[string]struct{ peers, targets, zones, minOwned, maxOwned int }{
		"no peers":                  {targets: 5, zones: 1, minOwned: 5, maxOwned: 5},
		"one zone":                  {peers: 3, targets: 8, zones: 1, minOwned: 2, maxOwned: 2},
		"large remainder":           {peers: 7, targets: 20, zones: 1, minOwned: 2, maxOwned: 3},
		"remainder of one":          {peers: 7, targets: 17, zones: 1, minOwned: 2, maxOwned: 3},
		"instances in every zone":   {peers: 6, targets: 12, zones: 3, minOwned: 1, maxOwned: 2},
		"zones without an instance": {peers: 1, targets: 9, zones: 3, minOwned: 3, maxOwned: 6},
	}
	for name, tc := range tests {
		t.Run(name, func(t *testing.T) {
			g := NewWithT(t)
			fl, _ := newFleet(tc.peers, tc.targets, tc.zones)
			counts := map[string]int{}
			for _, tg := range fl.Targets() {
				owner := fl.Owner(tg)
				g.Expect(owner).NotTo(BeEmpty())
				counts[owner]++
			}
			g.Expect(counts).To(HaveLen(tc.peers+1), "every instance owns at least one target")
			for owner, n := range counts {
				g.Expect(n).To(And(BeNumerically(">=", tc.minOwned), BeNumerically("<=", tc.maxOwned)), owner)
			}
		})
	}
}

func TestOwnershipMovesAwayFromSilentPeer(t *testing.T) {
	g := NewWithT(t)
	fl, ck := newFleet(1, 6, 1)
	g.Expect(fl.Owned()).To(HaveLen(3))
	ck.at = ck.at.Add(time.Minute)
	g.Expect(fl.Owned()).To(HaveLen(6))
	fl.ApplyHeartbeat(Heartbeat{Sender: Instance{Name: "peer-00", Incarnation: "1", AvailabilityZone: "a"}})
	g.Expect(fl.Owned()).To(HaveLen(3))
}

func candidateNames(cs CandidateSet) []string {
	var all []string
	for _, ca := range cs.Candidates {
		all = append(all, ca.Name)
	}
	return all
}

func TestCandidatesAfterEvent(t *testing.T) {
	filter := Filter{Model: "m", IncludePeerLoad: true}
	tests := map[string]struct {
		event func(fl *Fleet, ck *clock)
		want  []string
	}{
		"no event":                           {event: func(*Fleet, *clock) {}, want: []string{"engine-00", "engine-01"}},
		"report says that target is leaving": {event: func(fl *Fleet, _ *clock) { fl.ApplyReport("engine-00", engine.Report{Incarnation: "x", Leaving: true}) }, want: []string{"engine-01"}},
		"peer says that target is leaving":   {event: peerReportsLeaving, want: []string{"engine-01"}},
		"leaving target restarts":            {event: leavingTargetRestarts, want: []string{"engine-00", "engine-01"}},
		"target refuses connections":         {event: func(fl *Fleet, _ *clock) { fl.MarkUnreachable("engine-00") }, want: []string{"engine-01"}},
		"all targets refuse connections":     {event: func(fl *Fleet, _ *clock) { fl.MarkUnreachable("engine-00"); fl.MarkUnreachable("engine-01") }},
		"target refused connections earlier": {event: func(fl *Fleet, ck *clock) { fl.MarkUnreachable("engine-00"); ck.at = ck.at.Add(2 * unreachableTime) }, want: []string{"engine-00", "engine-01"}},
		"target fails repeatedly":            {event: func(fl *Fleet, _ *clock) { failRepeatedly(fl, "engine-00") }, want: []string{"engine-01"}},
		"all targets fail repeatedly":        {event: func(fl *Fleet, _ *clock) { failRepeatedly(fl, "engine-00"); failRepeatedly(fl, "engine-01") }, want: []string{"engine-00", "engine-01"}},
		"target is no longer listed":         {event: func(fl *Fleet, _ *clock) { fl.SetTargets(fl.Targets()[1:]) }, want: []string{"engine-01"}},
		"report lists another model": {event: func(fl *Fleet, _ *clock) {
			fl.ApplyReport("engine-00", engine.Report{Incarnation: "x", Models: []string{"n"}})
		}, want: []string{"engine-01"}},
		"success between failures": {event: func(fl *Fleet, _ *clock) {
			fl.RecordFailure("engine-00")
			fl.RecordSuccess("engine-00")
			fl.RecordFailure("engine-00")
			fl.RecordFailure("engine-00")
		}, want: []string{"engine-00", "engine-01"}},
	}
	for name, tc := range tests {
		t.Run(name, func(t *testing.T) {
			fl, ck := newFleet(0, 2, 1)
			tc.event(fl, ck)
			NewWithT(t).Expect(candidateNames(fl.Candidates(filter))).To(Equal(tc.want))
		})
	}
}

func peerReportsLeaving(fl *Fleet, _ *clock) {
	fl.ApplyReport("engine-00", engine.Report{Incarnation: "x"})
	fl.ApplyHeartbeat(Heartbeat{Sender: Instance{Name: "p"}, Leaving: map[string]string{"engine-00": "x"}})
}

func leavingTargetRestarts(fl *Fleet, ck *clock) {
	peerReportsLeaving(fl, ck)
	fl.ApplyReport("engine-00", engine.Report{Incarnation: "y"})
}

func failRepeatedly(fl *Fleet, target string) {
	for range ejectionThreshold {
		fl.RecordFailure(target)
	}
}

func TestSummaryExcludesLoadOfReceiver(t *testing.T) {
	g := NewWithT(t)
	owner, _ := newFleet(0, 1, 1)
	lo := Load{Requests: 1, MemoryTokens: 10, LongPrompts: 1}
	owner.AddLoad("engine-00", lo)
	peer := Instance{Name: "peer-00", Incarnation: "1", AvailabilityZone: "b"}
	owner.ApplyHeartbeat(Heartbeat{Sender: peer, Usage: map[string]Load{"engine-00": lo}})
	g.Expect(owner.SummariesFor("peer-00")[0].Load.MemoryTokens).To(Equal(10))
	g.Expect(owner.SummariesFor("another")[0].Load.MemoryTokens).To(Equal(20))
	owner.ApplyHeartbeat(Heartbeat{Sender: Instance{Name: "peer-00", Incarnation: "2", AvailabilityZone: "b"}})
	g.Expect(owner.SummariesFor("another")[0].Load.MemoryTokens).To(Equal(10), "the load of an ended incarnation is forgotten")
}
