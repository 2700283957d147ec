package permit_test

import (
	"context"
	"testing"
	"testing/synctest"
	"time"

	"github.com/VictoriaMetrics/metrics"
	. "github.com/onsi/gomega"
	"pgregory.net/rapid"

	"github.com/silvermount/silvermount/internal/permit"
	"github.com/silvermount/silvermount/internal/ratelimit"
	"github.com/silvermount/silvermount/internal/targets"
)

// clock is a monotonic clock that a test advances.
type clock struct{ now time.Time }

func (ck *clock) Now() time.Time { return ck.now }

// testIssuer is an issuer with a clock of its own.
type testIssuer struct {
	*WithT
	*permit.Issuer
	clock *clock
}

func newTestIssuer(t *testing.T) *testIssuer {
	ck := &clock{now: time.Unix(1000, 0)}
	return &testIssuer{WithT: NewWithT(t), Issuer: permit.NewIssuer(ck.Now), clock: ck}
}

// advance advances the clock, with the ticks of a running process.
func (is *testIssuer) advance(d time.Duration) {
	const tick = 100 * time.Millisecond
	for end := is.clock.now.Add(d); is.clock.now.Before(end); {
		is.clock.now = is.clock.now.Add(min(tick, end.Sub(is.clock.now)))
		is.Tick()
	}
}

func (is *testIssuer) request(perSecond float64) permit.Decision {
	return is.Issue("a", ratelimit.PerSecond(perSecond), 1, 0)
}

// countGranted requests a permit every ten milliseconds and returns the number of permits granted.
func (is *testIssuer) countGranted(perSecond float64, d time.Duration) int {
	n := 0
	for end := is.clock.now.Add(d); is.clock.now.Before(end); is.advance(10 * time.Millisecond) {
		if is.request(perSecond).Granted {
			n++
		}
	}
	return n
}

func TestIssuerEnforcesRate(t *testing.T) {
	is := newTestIssuer(t)
	is.advance(2 * time.Second)
	is.Expect(is.countGranted(2, 10*time.Second)).To(BeNumerically("~", 20, 1))
}

func TestIssuerStartsWithoutPermits(t *testing.T) {
	is := newTestIssuer(t)
	is.Expect(is.countGranted(10, 900*time.Millisecond)).To(BeZero(), "another instance may still issue permits")
	is.advance(time.Hour)
	is.Expect(is.request(10).Granted).To(BeFalse(), "no permit is available on the first request for a target")
}

func TestIdlePeriodAllowsOnlyBurst(t *testing.T) {
	is := newTestIssuer(t)
	is.advance(2 * time.Second)
	is.countGranted(2, 5*time.Second)
	is.advance(20 * time.Second)
	is.Expect(is.countGranted(2, 50*time.Millisecond)).To(Equal(2))
}

func TestIssuerHoldsPermitsAfterFreeze(t *testing.T) {
	is := newTestIssuer(t)
	is.advance(2 * time.Second)
	is.countGranted(10, 5*time.Second)
	is.clock.now = is.clock.now.Add(5 * time.Second)
	is.Expect(is.countGranted(10, 900*time.Millisecond)).To(BeZero())
	is.Expect(is.countGranted(10, 5*time.Second)).To(BeNumerically(">", 40))
}

func TestChangedLimitCausesNoBurst(t *testing.T) {
	cases := map[string]struct{ before, after float64 }{
		"higher": {before: 0.2, after: 5}, "lower": {before: 20, after: 0.5}, "zero": {before: 5, after: 0},
	}
	for name, tc := range cases {
		t.Run(name, func(t *testing.T) {
			is := newTestIssuer(t)
			is.advance(2 * time.Second)
			is.countGranted(tc.before, 30*time.Second)
			is.Expect(is.countGranted(tc.after, 4*time.Second)).To(BeNumerically("<=", 4*tc.after+2))
			used := is.countGranted(tc.after, 20*time.Second)
			is.Expect(used).To(BeNumerically("<=", 20*max(tc.after, 0.1)+1))
			is.Expect(used).To(BeNumerically(">=", 20*tc.after-1))
		})
	}
}

func TestIssuerGrantsPermitsInAdvanceWithinWait(t *testing.T) {
	is := newTestIssuer(t)
	is.advance(2 * time.Second)
	is.countGranted(2, 5*time.Second)
	requestInAdvance := func() permit.Decision { return is.Issue("a", ratelimit.PerSecond(2), 1, 1200*time.Millisecond) }
	for is.request(2).Granted {
	}
	first, second, third := requestInAdvance(), requestInAdvance(), requestInAdvance()
	is.Expect(first.Granted && second.Granted).To(BeTrue())
	is.Expect(second.Delay - first.Delay).To(Equal(500 * time.Millisecond))
	is.Expect(third.Granted).To(BeFalse())
	is.Expect(third.Delay).To(BeNumerically(">", 1200*time.Millisecond))
}

func TestRefusedRequestsGetIncreasingDelays(t *testing.T) {
	is := newTestIssuer(t)
	is.advance(2 * time.Second)
	is.countGranted(2, 5*time.Second)
	for is.request(2).Granted {
	}
	last := time.Duration(0)
	for range 4 {
		dc := is.request(2)
		is.Expect(dc.Granted).To(BeFalse())
		is.Expect(dc.Delay).To(BeNumerically(">", last))
		last = dc.Delay
	}
}

// TestIssuerBoundsPermitsInEveryWindow checks the number of permits in every window of four seconds, for random sequences of
// requests with pauses, freezes and changes of the limit.
func TestIssuerBoundsPermitsInEveryWindow(t *testing.T) {
	rapid.Check(t, func(rt *rapid.T) {
		ck := &clock{now: time.Unix(1000, 0)}
		is := permit.NewIssuer(ck.Now)
		maxLimit := rapid.SampledFrom([]float64{0.25, 1, 1.5, 2.5, 20}).Draw(rt, "limit")
		var usableAt []time.Time
		for range rapid.IntRange(1, 300).Draw(rt, "steps") {
			switch rapid.IntRange(0, 20).Draw(rt, "step") {
			case 0:
				ck.now = ck.now.Add(time.Duration(rapid.IntRange(1, 8000).Draw(rt, "freeze")) * time.Millisecond)
			default:
				ck.now = ck.now.Add(time.Duration(rapid.IntRange(0, 300).Draw(rt, "pause")) * time.Millisecond)
				is.Tick()
			}
			limit := maxLimit * rapid.SampledFrom([]float64{0, 0.5, 1}).Draw(rt, "share of the limit")
			wait := time.Duration(rapid.IntRange(0, 1000).Draw(rt, "wait")) * time.Millisecond
			if dc := is.Issue("a", ratelimit.PerSecond(limit), 1, wait); dc.Granted {
				usableAt = append(usableAt, ck.now.Add(dc.Delay))
			}
		}
		for _, first := range usableAt {
			n := 0
			for _, at := range usableAt {
				if !at.Before(first) && at.Sub(first) < 4*time.Second {
					n++
				}
			}
			if float64(n) > 1.5*4*max(maxLimit, 0.1)+5 {
				rt.Fatalf("%d permits in four seconds with a limit of at most %v per second", n, maxLimit)
			}
		}
	})
}

func TestSelectIssuerPrefersTargetZone(t *testing.T) {
	g := NewWithT(t)
	live := []permit.Candidate{
		{Name: "a", AvailabilityZone: "x"}, {Name: "b", AvailabilityZone: "x"}, {Name: "c", AvailabilityZone: "y"},
	}
	sameZone := permit.SelectIssuer(live, targets.Target{ID: "t", AvailabilityZone: "y"})
	g.Expect(sameZone).To(Equal("c"))
	live[2].Stopping = true
	g.Expect(permit.SelectIssuer(live, targets.Target{ID: "t", AvailabilityZone: "y"})).NotTo(Equal("c"))
	g.Expect(permit.SelectIssuer(live[2:], targets.Target{ID: "t"})).To(Equal("c"), "a stopping instance is selected if there is no other")
	counts := map[string]int{}
	for no := range 1000 {
		counts[permit.SelectIssuer(live, targets.Target{ID: string(rune(no + 'a')), AvailabilityZone: "x"})]++
	}
	g.Expect(counts["a"]).To(BeNumerically("~", 500, 80))
	g.Expect(counts["c"]).To(BeZero())
}

func TestLimitShare(t *testing.T) {
	cases := map[string]struct {
		live, known int
		want        float64
	}{
		"all live":            {live: 6, known: 6, want: 1},
		"majority live":       {live: 4, known: 6, want: 1},
		"half live":           {live: 3, known: 6, want: 0.5},
		"only self live":      {live: 1, known: 8, want: 0.125},
		"only instance known": {live: 1, known: 1, want: 1},
	}
	for name, tc := range cases {
		t.Run(name, func(t *testing.T) {
			NewWithT(t).Expect(permit.LimitShare(tc.live, tc.known)).To(Equal(tc.want))
		})
	}
}

func TestClientBlocksTargetsWithoutPermits(t *testing.T) {
	synctest.Test(t, func(t *testing.T) {
		g := NewWithT(t)
		li := ratelimit.PerSecond(2)
		cl := permit.NewClient(time.Now, func(string) ratelimit.Limit { return li }, metrics.NewSet())
		tg := targets.Target{ID: "a"}
		acquire := func() bool { return cl.Acquire(t.Context(), tg, 0).Granted }
		g.Expect(acquire()).To(BeFalse(), "no request function is set yet")
		time.Sleep(time.Second)
		decision := permit.Decision{Delay: 300 * time.Millisecond}
		cl.SetRequestFunc(func(context.Context, permit.Request) (permit.Decision, error) { return decision, nil })
		_, blocked := cl.BlockedUntil("a")
		g.Expect(blocked).To(BeFalse())
		g.Expect(acquire()).To(BeFalse())
		until, blocked := cl.BlockedUntil("a")
		g.Expect(blocked).To(BeTrue())
		g.Expect(time.Until(until)).To(Equal(300 * time.Millisecond))
		li = ratelimit.Limit{}
		_, blocked = cl.BlockedUntil("a")
		g.Expect(blocked).To(BeFalse(), "the limit was lifted")
		g.Expect(acquire()).To(BeTrue())
		li = ratelimit.PerSecond(2)
		cl.SetRequestFunc(func(ctx context.Context, _ permit.Request) (permit.Decision, error) {
			<-ctx.Done()
			return permit.Decision{}, ctx.Err()
		})
		start := time.Now()
		g.Expect(acquire()).To(BeFalse())
		g.Expect(time.Since(start)).To(BeNumerically("<=", 100*time.Millisecond), "the wait for an issuer that does not answer is bounded")
		_, blocked = cl.BlockedUntil("a")
		g.Expect(blocked).To(BeTrue())
	})
}
