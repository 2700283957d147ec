package targetpace_test

import (
	"fmt"
	"testing"
	"time"

	. "github.com/onsi/gomega"

	"github.com/silvermount/silvermount/internal/peercodec"
	"github.com/silvermount/silvermount/internal/targetpace"
)

const pass = 50 * time.Millisecond

// run is a Tracker with a clock, which observes the passes of one target.
type run struct {
	*targetpace.Tracker
	now time.Time
}

func newRun() *run { return &run{Tracker: targetpace.New(), now: time.Unix(1000, 0)} }

// passes observes a number of passes at a slowdown.
func (rn *run) passes(count int, slowdown float64) {
	for range count {
		took := time.Duration(slowdown * float64(pass))
		rn.now = rn.now.Add(took)
		rn.Observe("a", pass, took, rn.now)
	}
}

func (rn *run) slowdown() float64 { return rn.Slowdown("a", rn.now) }

// TestRisesAndFallsWithinTwoPasses guards against an estimate that follows a change too late: at five times the stated pace, two
// passes take 500 ms.
func TestRisesAndFallsWithinTwoPasses(t *testing.T) {
	g, rn := NewWithT(t), newRun()
	rn.passes(20, 1)
	g.Expect(rn.slowdown()).To(Equal(1.0))
	rn.passes(2, 5)
	g.Expect(rn.slowdown()).To(BeNumerically("~", 5, 0.01))
	rn.passes(10, 5)
	rn.passes(2, 1)
	g.Expect(rn.slowdown()).To(Equal(1.0))
}

// TestIgnoresOutliersAndNoise guards against placements that move for passes with a prefill that became known late, and for noise.
func TestIgnoresOutliersAndNoise(t *testing.T) {
	tests := map[string][]float64{
		"one outlier":            {1, 1, 1, 9, 1},
		"outliers now and then":  {1, 9, 1, 1, 9, 1, 1},
		"a first outlier":        {9},
		"an outlier and another": {9, 1},
		"noise":                  {1.2, 1.1, 1.25, 1.2, 1.28},
		"faster than stated":     {0.5, 0.6, 0.5},
	}
	for name, slowdowns := range tests {
		t.Run(name, func(t *testing.T) {
			g, rn := NewWithT(t), newRun()
			for _, slowdown := range slowdowns {
				rn.passes(1, slowdown)
				g.Expect(rn.slowdown()).To(Equal(1.0))
			}
		})
	}
}

// TestEventsOfOnePassCountOnce guards against one pass behind an unknown prefill that makes a target slow because many answers pause in it.
func TestEventsOfOnePassCountOnce(t *testing.T) {
	g, rn := NewWithT(t), newRun()
	rn.passes(5, 1)
	rn.now = rn.now.Add(9 * pass)
	for i := range 12 {
		rn.Observe("a", pass, 9*pass, rn.now.Add(time.Duration(i)*100*time.Microsecond))
	}
	g.Expect(rn.slowdown()).To(Equal(1.0))
}

// TestForgetsWithinThreeSeconds guards against a target that stays unused after it became fast again, because nobody sends it anything, and
// against one that everybody tries again at the same moment.
func TestForgetsWithinThreeSeconds(t *testing.T) {
	g, rn := NewWithT(t), newRun()
	rn.passes(5, 5)
	at := func(age time.Duration) float64 { return rn.Slowdown("a", rn.now.Add(age)) }
	g.Expect(at(time.Second)).To(BeNumerically("~", 5, 0.01))
	g.Expect(at(1400 * time.Millisecond)).To(BeNumerically("~", 3, 0.01))
	g.Expect(at(1800 * time.Millisecond)).To(BeNumerically("~", 2, 0.01))
	g.Expect(at(3 * time.Second)).To(Equal(1.0))
	rn.Expire(rn.now.Add(5 * time.Second))
	g.Expect(rn.Slow(rn.now)).To(BeEmpty())
}

// TestOnePeerAloneDecidesLittle guards against a peer with a slow machine that takes targets from all instances, and against peers that are not
// believed when they agree.
func TestOnePeerAloneDecidesLittle(t *testing.T) {
	tests := map[string]struct {
		own   float64
		peers []float64
		want  float64
	}{
		"one peer, no samples":                 {0, []float64{16}, 2},
		"one peer, fast here":                  {1, []float64{16}, 1},
		"one wrong peer, slow here":            {5, []float64{16}, 5},
		"two peers, no samples":                {0, []float64{5, 5.2}, 5},
		"two peers and a wrong one":            {0, []float64{5, 5.2, 16}, 5.2},
		"most peers, fast here until now":      {1, []float64{5, 5, 5}, 5},
		"peers that contradict":                {5, []float64{1, 1, 1.1}, 1},
		"a wrong peer, and one that disagrees": {0, []float64{16, 1}, 1},
	}
	for name, tc := range tests {
		t.Run(name, func(t *testing.T) {
			g, rn := NewWithT(t), newRun()
			if tc.own > 0 {
				rn.passes(5, tc.own)
			}
			for i, slowdown := range tc.peers {
				rn.SetPeer(fmt.Sprint("peer-", i), []targetpace.Estimate{{Target: "a", Slowdown: slowdown, SampledAt: rn.now}})
			}
			g.Expect(rn.slowdown()).To(BeNumerically("~", tc.want, 0.01))
		})
	}
}

// TestOldFastSamplesDoNotContradictPeers guards against a target that is used although it became slow, because many instances have used it in the
// seconds before and only one since.
func TestOldFastSamplesDoNotContradictPeers(t *testing.T) {
	tests := map[string]struct {
		// ownAge and peerAge are the ages of the newest samples of this instance, which saw the usual pace, and of a peer, which did not.
		ownAge, peerAge time.Duration
		want            float64
	}{
		"before the target became slow": {1500 * time.Millisecond, 100 * time.Millisecond, 2},
		"just now":                      {500 * time.Millisecond, 100 * time.Millisecond, 1},
		"after it was slow":             {1200 * time.Millisecond, 1300 * time.Millisecond, 1},
	}
	for name, tc := range tests {
		t.Run(name, func(t *testing.T) {
			g, rn := NewWithT(t), newRun()
			rn.passes(5, 1)
			rn.now = rn.now.Add(tc.ownAge)
			rn.SetPeer("p", []targetpace.Estimate{{Target: "a", Slowdown: 5, SampledAt: rn.now.Add(-tc.peerAge)}})
			g.Expect(rn.slowdown()).To(BeNumerically("~", tc.want, 0.01))
		})
	}
}

// TestFastSamplesContradictPeers guards against a wrong peer that nobody contradicts, and against reports on targets that nobody calls slow.
func TestFastSamplesContradictPeers(t *testing.T) {
	g, rn := NewWithT(t), newRun()
	rn.passes(5, 1)
	g.Expect(rn.Own(rn.now)).To(BeEmpty())
	rn.SetPeer("p", []targetpace.Estimate{{Target: "a", Slowdown: 16, SampledAt: rn.now}})
	g.Expect(rn.Own(rn.now)).To(ConsistOf(HaveField("Slowdown", 1.0)))
	g.Expect(rn.Own(rn.now.Add(2 * time.Second))).To(BeEmpty())
}

// TestLostPeerIsForgotten guards against estimates of an instance that died.
func TestLostPeerIsForgotten(t *testing.T) {
	g, rn := NewWithT(t), newRun()
	slow := []targetpace.Estimate{{Target: "a", Slowdown: 5, SampledAt: rn.now}}
	rn.SetPeer("p", slow)
	rn.SetPeer("q", slow)
	g.Expect(rn.slowdown()).To(Equal(5.0))
	rn.Forget("q")
	g.Expect(rn.slowdown()).To(Equal(2.0))
	rn.SetPeer("q", slow)
	rn.SetPeer("q", nil)
	rn.Forget("p")
	g.Expect(rn.slowdown()).To(Equal(1.0))
}

// TestEstimatesSurviveTheWire guards against a codec that loses the age of samples or accepts more than its bounds.
func TestEstimatesSurviveTheWire(t *testing.T) {
	g, now := NewWithT(t), time.Unix(1000, 0)
	all := []targetpace.Estimate{
		{Target: "a", Slowdown: 5, SampledAt: now.Add(-300 * time.Millisecond)}, {Target: "b", Slowdown: 2.5, SampledAt: now},
	}
	b := targetpace.Append(nil, all, now)
	rd := peercodec.NewReader(b)
	g.Expect(targetpace.Read(rd, now)).To(Equal(all))
	g.Expect(rd.Finish()).To(Succeed())
	rd = peercodec.NewReader(targetpace.Append(nil, []targetpace.Estimate{{Target: "a", Slowdown: 1e6, SampledAt: now}}, now))
	g.Expect(targetpace.Read(rd, now)[0].Slowdown).To(BeNumerically("==", targetpace.MaxSlowdown))
	rd = peercodec.NewReader(b[:len(b)-1])
	targetpace.Read(rd, now)
	g.Expect(rd.Finish()).NotTo(Succeed())
}

// TestReportFitsALoadReport guards against a report so large that it is left out when a whole zone becomes slow.
func TestReportFitsALoadReport(t *testing.T) {
	var all []targetpace.Estimate
	for i := range 1600 {
		all = append(all, targetpace.Estimate{Target: fmt.Sprintf("engine-%04d.zone-a.example@1700000000.%08d", i, i), Slowdown: 5})
	}
	NewWithT(t).Expect(len(targetpace.Append(nil, all, time.Unix(1000, 0)))).To(BeNumerically("<", 8<<10))
}
