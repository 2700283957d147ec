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

// clock is a steady clock that a test moves.
type clock struct{ now time.Time }

func (ck *clock) Now() time.Time { return ck.now }

// issuer is an issuer on a clock of its own, which the test moves in beats.
type issuer struct {
	*WithT
	*permit.Issuer
	clock *clock
}

func newIssuer(t *testing.T) *issuer {
	ck := &clock{now: time.Unix(1000, 0)}
	return &issuer{WithT: NewWithT(t), Issuer: permit.NewIssuer(ck.Now), clock: ck}
}

// pass lets time pass with the process running.
func (is *issuer) pass(d time.Duration) {
	const beat = 100 * time.Millisecond
	for over := is.clock.now.Add(d); is.clock.now.Before(over); {
		is.clock.now = is.clock.now.Add(min(beat, over.Sub(is.clock.now)))
		is.Beat()
	}
}

func (is *issuer) ask(perSecond float64) permit.Answer {
	return is.Issue("a", ratelimit.PerSecond(perSecond), 1, 0)
}

// granted counts the permits that somebody gets who asks every ten milliseconds.
func (is *issuer) granted(perSecond float64, d time.Duration) int {
	n := 0
	for over := is.clock.now.Add(d); is.clock.now.Before(over); is.pass(10 * time.Millisecond) {
		if is.ask(perSecond).Granted {
			n++
		}
	}
	return n
}

func TestIssuerKeepsToTheRate(t *testing.T) {
	is := newIssuer(t)
	is.pass(2 * time.Second)
	is.Expect(is.granted(2, 10*time.Second)).To(BeNumerically("~", 20, 1))
}

func TestIssuerBeginsWithNothing(t *testing.T) {
	is := newIssuer(t)
	is.Expect(is.granted(10, 900*time.Millisecond)).To(BeZero(), "another one may still issue")
	is.pass(time.Hour)
	is.Expect(is.ask(10).Granted).To(BeFalse(), "the first question for a target")
}

func TestPauseLeavesNoBurst(t *testing.T) {
	is := newIssuer(t)
	is.pass(2 * time.Second)
	is.granted(2, 5*time.Second)
	is.pass(20 * time.Second)
	is.Expect(is.granted(2, 50*time.Millisecond)).To(Equal(2))
}

func TestFrozenIssuerHoldsBack(t *testing.T) {
	is := newIssuer(t)
	is.pass(2 * time.Second)
	is.granted(10, 5*time.Second)
	is.clock.now = is.clock.now.Add(5 * time.Second)
	is.Expect(is.granted(10, 900*time.Millisecond)).To(BeZero())
	is.Expect(is.granted(10, 5*time.Second)).To(BeNumerically(">", 40))
}

func TestChangedLimitIsNoBurst(t *testing.T) {
	cases := map[string]struct{ before, after float64 }{
		"higher": {before: 0.2, after: 5}, "lower": {before: 20, after: 0.5}, "nothing at all": {before: 5, after: 0},
	}
	for name, tc := range cases {
		t.Run(name, func(t *testing.T) {
			is := newIssuer(t)
			is.pass(2 * time.Second)
			is.granted(tc.before, 30*time.Second)
			is.Expect(is.granted(tc.after, 4*time.Second)).To(BeNumerically("<=", 4*tc.after+2))
			used := is.granted(tc.after, 20*time.Second)
			is.Expect(used).To(BeNumerically("<=", 20*max(tc.after, 0.1)+1))
			is.Expect(used).To(BeNumerically(">=", 20*tc.after-1))
		})
	}
}

func TestThoseThatMayWaitGetTurns(t *testing.T) {
	is := newIssuer(t)
	is.pass(2 * time.Second)
	is.granted(2, 5*time.Second)
	wait := func() permit.Answer { return is.Issue("a", ratelimit.PerSecond(2), 1, 1200*time.Millisecond) }
	for is.ask(2).Granted {
	}
	first, second, third := wait(), wait(), wait()
	is.Expect(first.Granted && second.Granted).To(BeTrue())
	is.Expect(second.After - first.After).To(Equal(500 * time.Millisecond))
	is.Expect(third.Granted).To(BeFalse())
	is.Expect(third.After).To(BeNumerically(">", 1200*time.Millisecond))
}

func TestThoseRefusedComeBackOneAfterTheOther(t *testing.T) {
	is := newIssuer(t)
	is.pass(2 * time.Second)
	is.granted(2, 5*time.Second)
	for is.ask(2).Granted {
	}
	last := time.Duration(0)
	for range 4 {
		an := is.ask(2)
		is.Expect(an.Granted).To(BeFalse())
		is.Expect(an.After).To(BeNumerically(">", last))
		last = an.After
	}
}

// TestIssuerInAnyOrder checks every window of four seconds, whatever is asked when, with changes of the limit, pauses and freezes.
func TestIssuerInAnyOrder(t *testing.T) {
	rapid.Check(t, func(rt *rapid.T) {
		ck := &clock{now: time.Unix(1000, 0)}
		is := permit.NewIssuer(ck.Now)
		most := rapid.SampledFrom([]float64{0.25, 1, 1.5, 2.5, 20}).Draw(rt, "limit")
		var sent []time.Time
		for range rapid.IntRange(1, 300).Draw(rt, "steps") {
			switch rapid.IntRange(0, 20).Draw(rt, "step") {
			case 0:
				ck.now = ck.now.Add(time.Duration(rapid.IntRange(1, 8000).Draw(rt, "freeze")) * time.Millisecond)
			default:
				ck.now = ck.now.Add(time.Duration(rapid.IntRange(0, 300).Draw(rt, "pause")) * time.Millisecond)
				is.Beat()
			}
			limit := most * rapid.SampledFrom([]float64{0, 0.5, 1}).Draw(rt, "share of the limit")
			wait := time.Duration(rapid.IntRange(0, 1000).Draw(rt, "wait")) * time.Millisecond
			if an := is.Issue("a", ratelimit.PerSecond(limit), 1, wait); an.Granted {
				sent = append(sent, ck.now.Add(an.After))
			}
		}
		for _, first := range sent {
			n := 0
			for _, at := range sent {
				if !at.Before(first) && at.Sub(first) < 4*time.Second {
					n++
				}
			}
			if float64(n) > 1.5*4*max(most, 0.1)+5 {
				rt.Fatalf("%d in four seconds at %v a second", n, most)
			}
		}
	})
}

func TestIssuesPrefersTheTargetsZone(t *testing.T) {
	g := NewWithT(t)
	live := []permit.Candidate{
		{Name: "a", AvailabilityZone: "x"}, {Name: "b", AvailabilityZone: "x"}, {Name: "c", AvailabilityZone: "y"},
	}
	near := permit.Issues(live, targets.Target{ID: "t", AvailabilityZone: "y"})
	g.Expect(near).To(Equal("c"))
	live[2].Stopping = true
	g.Expect(permit.Issues(live, targets.Target{ID: "t", AvailabilityZone: "y"})).NotTo(Equal("c"))
	g.Expect(permit.Issues(live[2:], targets.Target{ID: "t"})).To(Equal("c"), "there is no other")
	counts := map[string]int{}
	for no := range 1000 {
		counts[permit.Issues(live, targets.Target{ID: string(rune(no + 'a')), AvailabilityZone: "x"})]++
	}
	g.Expect(counts["a"]).To(BeNumerically("~", 500, 80))
	g.Expect(counts["c"]).To(BeZero())
}

func TestShare(t *testing.T) {
	cases := map[string]struct {
		live, known int
		want        float64
	}{
		"all":        {live: 6, known: 6, want: 1},
		"most":       {live: 4, known: 6, want: 1},
		"half":       {live: 3, known: 6, want: 0.5},
		"alone":      {live: 1, known: 8, want: 0.125},
		"only known": {live: 1, known: 1, want: 1},
	}
	for name, tc := range cases {
		t.Run(name, func(t *testing.T) {
			NewWithT(t).Expect(permit.Share(tc.live, tc.known)).To(Equal(tc.want))
		})
	}
}

func TestClientClosesTargetsWithoutPermits(t *testing.T) {
	synctest.Test(t, func(t *testing.T) {
		g := NewWithT(t)
		li := ratelimit.PerSecond(2)
		cl := permit.NewClient(time.Now, func(string) ratelimit.Limit { return li }, metrics.NewSet())
		tg := targets.Target{ID: "a"}
		take := func() bool { return cl.Take(t.Context(), tg, 0).Granted }
		g.Expect(take()).To(BeFalse(), "nobody to ask yet")
		time.Sleep(time.Second)
		answer := permit.Answer{After: 300 * time.Millisecond}
		cl.SetAsk(func(context.Context, permit.Request) (permit.Answer, error) { return answer, nil })
		_, closed := cl.Closed("a")
		g.Expect(closed).To(BeFalse())
		g.Expect(take()).To(BeFalse())
		at, closed := cl.Closed("a")
		g.Expect(closed).To(BeTrue())
		g.Expect(time.Until(at)).To(Equal(300 * time.Millisecond))
		li = ratelimit.Limit{}
		_, closed = cl.Closed("a")
		g.Expect(closed).To(BeFalse(), "the limit was lifted")
		g.Expect(take()).To(BeTrue())
		li = ratelimit.PerSecond(2)
		cl.SetAsk(func(ctx context.Context, _ permit.Request) (permit.Answer, error) {
			<-ctx.Done()
			return permit.Answer{}, ctx.Err()
		})
		began := time.Now()
		g.Expect(take()).To(BeFalse())
		g.Expect(time.Since(began)).To(BeNumerically("<=", 100*time.Millisecond), "an issuer that does not answer")
		_, closed = cl.Closed("a")
		g.Expect(closed).To(BeTrue())
	})
}
