package dispatch_test

import (
	"context"
	"slices"
	"sync/atomic"
	"testing"
	"testing/synctest"
	"time"

	"github.com/VictoriaMetrics/metrics"
	. "github.com/onsi/gomega"

	"github.com/silvermount/silvermount/internal/dispatch"
	"github.com/silvermount/silvermount/internal/failure"
	"github.com/silvermount/silvermount/internal/permit"
	"github.com/silvermount/silvermount/internal/ratelimit"
)

// permits answers for the issuers of all targets.
type permits struct {
	limited []string
	answer  func(target string, wait time.Duration) permit.Answer
	asked   atomic.Int64
}

// limitedBench plays with targets that name a limit.
func limitedBench(t *testing.T, count int, pm *permits, play func(be *bench), opts ...func(*dispatch.Options)) {
	synctest.Test(t, func(t *testing.T) {
		limitOf := func(target string) ratelimit.Limit {
			if slices.Contains(pm.limited, target) {
				return ratelimit.PerSecond(2)
			}
			return ratelimit.Limit{}
		}
		cl := permit.NewClient(time.Now, limitOf, metrics.NewSet())
		cl.SetAsk(func(_ context.Context, rq permit.Request) (permit.Answer, error) {
			pm.asked.Add(1)
			time.Sleep(travel)
			return pm.answer(rq.Target.ID, rq.Wait), nil
		})
		play(newBench(t, count, append(opts, func(op *dispatch.Options) { op.Permits = cl })...))
		time.Sleep(settle)
	})
}

// never refuses all for a time.
func never(again time.Duration) func(string, time.Duration) permit.Answer {
	return func(string, time.Duration) permit.Answer { return permit.Answer{After: again} }
}

func TestRequestsGoAroundTargetsWithoutPermits(t *testing.T) {
	asks := map[string]func() dispatch.Ask{"plain": plain, "short prompt": func() dispatch.Ask { return prompt(1000) }, "large prompt": func() dispatch.Ask { return prompt(memory + 1000) }}
	for name, ask := range asks {
		t.Run(name, func(t *testing.T) {
			pm := &permits{limited: []string{id(0), id(1)}, answer: never(time.Minute)}
			limitedBench(t, 4, pm, func(be *bench) {
				for range 6 {
					sl := be.take(ask())
					be.Expect(pm.limited).NotTo(ContainElement(sl.Target.ID))
					sl.Release()
				}
				be.Expect(pm.asked.Load()).To(BeNumerically("<=", 2), "a target that was refused is not asked for again")
				be.Expect(be.Own()).To(BeEmpty(), "nothing stays booked")
			})
		})
	}
}

func TestTargetsWithoutPermitsStillHelp(t *testing.T) {
	pm := &permits{limited: []string{id(0)}, answer: never(time.Minute)}
	limitedBench(t, 2, pm, func(be *bench) {
		sl := be.take(prompt(largest))
		be.Expect(sl.Target.ID).To(Equal(id(1)))
		be.Expect(sl.Helpers).To(HaveLen(2))
		sl.Release()
	})
}

func TestRequestWithoutAnyPermitIsRefusedAtOnce(t *testing.T) {
	pm := &permits{limited: []string{id(0), id(1)}, answer: never(7 * time.Second)}
	limitedBench(t, 2, pm, func(be *bench) {
		for name, as := range map[string]dispatch.Ask{"plain": plain(), "prompt": prompt(1000)} {
			began := time.Now()
			fe := be.refused(as)
			be.Expect(time.Since(began)).To(BeNumerically("<", objective/4), name)
			be.Expect(fe.Code).To(Equal(failure.Overloaded))
			be.Expect(fe.Outcome).To(Equal(failure.NotRun))
			be.Expect(fe.RetryAfter).To(BeNumerically("~", 7*time.Second, time.Second), name)
		}
	})
}

func TestRequestWaitsForItsTurn(t *testing.T) {
	const turn = objective / 10
	var free time.Time
	pm := &permits{limited: []string{id(0), id(1)}, answer: func(_ string, wait time.Duration) permit.Answer {
		after := max(0, time.Until(free))
		return permit.Answer{Granted: after <= wait, After: after}
	}}
	limitedBench(t, 2, pm, func(be *bench) {
		for name, as := range map[string]dispatch.Ask{"plain": plain(), "prompt": prompt(1000)} {
			began := time.Now()
			free = began.Add(turn)
			as.Arrived, as.Deadline = began, began.Add(time.Minute)
			sl := be.take(as)
			be.Expect(time.Since(began)).To(BeNumerically(">=", turn), name)
			be.Expect(time.Since(began)).To(BeNumerically("<", turn+objective/10), name)
			be.Expect(pm.asked.Swap(0)).To(BeNumerically("<=", 4), "both targets are asked, and the turn is booked")
			sl.Release()
			time.Sleep(objective)
		}
	})
}

// TestLongObjectivesBookNoTurnsFarAhead: requests that may wait for long must leave turns to those that may not.
func TestLongObjectivesBookNoTurnsFarAhead(t *testing.T) {
	longest := time.Duration(0)
	pm := &permits{limited: []string{id(0)}, answer: func(_ string, wait time.Duration) permit.Answer {
		longest = max(longest, wait)
		return permit.Answer{After: 300 * time.Millisecond}
	}}
	limitedBench(t, 1, pm, func(be *bench) {
		as := plain()
		as.Objective = 30 * time.Second
		began := time.Now()
		be.refused(as)
		be.Expect(time.Since(began)).To(BeNumerically("<", objective/10), "it is told at once when to come back")
		be.Expect(longest).To(BeNumerically("<=", 300*time.Millisecond), "a short request may wait as long")
	})
}

func TestCallerThatGoesWhileItWaitsForItsTurn(t *testing.T) {
	pm := &permits{limited: []string{id(0)}, answer: func(_ string, wait time.Duration) permit.Answer {
		return permit.Answer{Granted: wait > 0, After: objective / 10}
	}}
	limitedBench(t, 1, pm, func(be *bench) {
		ctx, cancel := context.WithCancel(context.Background())
		time.AfterFunc(objective/20, cancel)
		_, err := be.Acquire(ctx, plain())
		be.Expect(err).To(MatchError(context.Canceled))
		be.Expect(be.Own()).To(BeEmpty())
	})
}

// TestTurnThatIsMissedIsVoid: a process that was frozen must not send at once all that had waited for their turns.
func TestTurnThatIsMissedIsVoid(t *testing.T) {
	var frozen atomic.Int64
	pm := &permits{limited: []string{id(0)}, answer: func(_ string, wait time.Duration) permit.Answer {
		return permit.Answer{Granted: wait > 0, After: objective / 16}
	}}
	limitedBench(t, 1, pm, func(be *bench) {
		// It was refused, waits for its turn, and is frozen for longer than a turn may be late.
		time.AfterFunc(objective/32, func() { frozen.Store(int64(300 * time.Millisecond)) })
		sl := be.take(plain())
		be.Expect(pm.asked.Load()).To(BeNumerically(">=", 3), "refused, missed, and asked for again")
		sl.Release()
	}, func(op *dispatch.Options) {
		op.Now = func() time.Time { return time.Now().Add(time.Duration(frozen.Load())) }
	})
}

func TestOneRequestAsksForFewPermits(t *testing.T) {
	const count = 40
	pm := &permits{answer: never(time.Second)}
	for no := range count {
		pm.limited = append(pm.limited, id(no))
	}
	limitedBench(t, count, pm, func(be *bench) {
		be.refused(plain())
		be.Expect(pm.asked.Load()).To(BeNumerically("<", count/2))
	})
}
