package dispatch_test

import (
	"context"
	"slices"
	"sync"
	"testing"
	"testing/synctest"
	"time"

	. "github.com/onsi/gomega"

	"github.com/silvermount/silvermount/internal/backoff"
	"github.com/silvermount/silvermount/internal/dispatch"
	"github.com/silvermount/silvermount/internal/failure"
	"github.com/silvermount/silvermount/internal/targets"
)

// backOffBench plays with targets that want no requests for a while.
func backOffBench(t *testing.T, count int, play func(be *bench, bk *backoff.Tracker)) {
	synctest.Test(t, func(t *testing.T) {
		bk := backoff.New(time.Now, func() float64 { return 0 })
		play(newBench(t, count, func(op *dispatch.Options) { op.BackOffs = bk }), bk)
		time.Sleep(settle)
	})
}

// spare returns a request that can go elsewhere when it is turned away.
func spare() dispatch.Ask {
	as := plain()
	as.Spare = true
	return as
}

func TestRequestsGoAroundTargetsThatWantNone(t *testing.T) {
	asks := map[string]func() dispatch.Ask{
		"plain": plain, "short prompt": func() dispatch.Ask { return prompt(1000) },
		"large prompt": func() dispatch.Ask { return prompt(memory + 1000) },
	}
	for name, ask := range asks {
		t.Run(name, func(t *testing.T) {
			backOffBench(t, 4, func(be *bench, bk *backoff.Tracker) {
				bk.Begin(id(0), time.Minute, time.Now())
				bk.Begin(id(1), time.Minute, time.Now())
				for range 6 {
					sl := be.take(ask())
					be.Expect(sl.Targets()).NotTo(ContainElements(id(0)))
					be.Expect(sl.Targets()).NotTo(ContainElements(id(1)))
					sl.Release()
				}
				be.Expect(be.Own()).To(BeEmpty(), "nothing stays booked")
			})
		})
	}
}

func TestRequestWaitsForTheEndOfTheFirstBackOff(t *testing.T) {
	const soon = objective / 4
	for name, ask := range map[string]func() dispatch.Ask{"plain": plain, "prompt": func() dispatch.Ask { return prompt(1000) }} {
		t.Run(name, func(t *testing.T) {
			backOffBench(t, 2, func(be *bench, bk *backoff.Tracker) {
				began := time.Now()
				bk.Begin(id(0), time.Minute, began)
				bk.Begin(id(1), soon, began)
				sl := be.take(ask())
				be.Expect(sl.Target.ID).To(Equal(id(1)))
				be.Expect(time.Since(began)).To(BeNumerically(">=", soon))
				be.Expect(time.Since(began)).To(BeNumerically("<", soon+objective/10))
			})
		})
	}
}

func TestRequestWithoutTimeForABackOffIsRefusedAtOnce(t *testing.T) {
	for name, ask := range map[string]func() dispatch.Ask{"plain": plain, "prompt": func() dispatch.Ask { return prompt(1000) }} {
		t.Run(name, func(t *testing.T) {
			backOffBench(t, 2, func(be *bench, bk *backoff.Tracker) {
				began := time.Now()
				bk.Begin(id(0), time.Minute, began)
				bk.Begin(id(1), 7*time.Second, began)
				fe := be.refused(ask())
				be.Expect(time.Since(began)).To(BeZero())
				be.Expect(fe.Code).To(Equal(failure.Overloaded))
				be.Expect(fe.Outcome).To(Equal(failure.NotRun))
				be.Expect(fe.RetryAfter).To(BeNumerically(">=", 7*time.Second))
				be.Expect(fe.RetryAfter).To(BeNumerically("<", 8*time.Second))
			})
		})
	}
}

// TestRequestWhoseOtherTargetsAreTriedLearnsTheTrueTime was turned away by the one target there is.
func TestRequestWhoseOtherTargetsAreTriedLearnsTheTrueTime(t *testing.T) {
	backOffBench(t, 1, func(be *bench, bk *backoff.Tracker) {
		bk.Begin(id(0), 5*time.Second, time.Now())
		as := plain()
		as.Avoid = []string{id(0)}
		be.Expect(be.refused(as).RetryAfter).To(Equal(5 * time.Second))
	})
}

// TestWaitersDoNotAllComeAtOnce lets many requests wait for the end of the only target's back-off.
func TestWaitersDoNotAllComeAtOnce(t *testing.T) {
	const waiters = 60
	backOffBench(t, 1, func(be *bench, bk *backoff.Tracker) {
		bk.Begin(id(0), objective/4, time.Now())
		var mu sync.Mutex
		var came []time.Time
		var wg sync.WaitGroup
		for range waiters {
			wg.Go(func() {
				sl, err := be.Acquire(context.Background(), spare())
				if err != nil {
					return // it ran out of time
				}
				defer sl.Release()
				sent := time.Now()
				mu.Lock()
				came = append(came, sent)
				mu.Unlock()
				time.Sleep(20 * time.Millisecond)
				bk.RecordSuccess(id(0), sent)
			})
		}
		wg.Wait()
		slices.SortFunc(came, time.Time.Compare)
		be.Expect(came).To(HaveLen(waiters), "the target is back in use for all")
		be.Expect(came[1].Sub(came[0])).To(BeNumerically(">=", 20*time.Millisecond), "the second waits for the first answer")
		be.Expect(came[waiters-1].Sub(came[0])).To(BeNumerically("<", objective/2))
	})
}

func TestOnlyARequestThatCanGoElsewhereIsTheProbe(t *testing.T) {
	tests := map[string]struct {
		ask    func() dispatch.Ask
		probes bool
	}{
		"a first attempt":  {spare, true},
		"the last attempt": {plain, false},
	}
	for name, tc := range tests {
		t.Run(name, func(t *testing.T) {
			backOffBench(t, 2, func(be *bench, bk *backoff.Tracker) {
				bk.Begin(id(0), time.Second, time.Now())
				// The other target is busy, so that this one is the better choice.
				for range slots {
					be.take(plain())
				}
				time.Sleep(time.Second)
				be.Expect(be.take(tc.ask()).Target.ID == id(0)).To(Equal(tc.probes))
				time.Sleep(2 * time.Second)
				be.Expect(be.take(tc.ask()).Target.ID).To(Equal(id(0)), "nobody else came by")
			})
		})
	}
}

// TestPeersPreferTargetsThatTurnNobodyAway plays with two instances of which one was turned away.
func TestPeersPreferTargetsThatTurnNobodyAway(t *testing.T) {
	for name, ask := range map[string]func() dispatch.Ask{"plain": plain, "prompt": func() dispatch.Ask { return prompt(1000) }} {
		t.Run(name, func(t *testing.T) {
			backOffBench(t, 2, func(be *bench, _ *backoff.Tracker) {
				peer := newBench(be.t, 2)
				sl := be.take(ask())
				sl.TurnedAway(time.Second)
				sl.TurnedAway(time.Second)
				sl.Release()
				peer.Heard("i", be.Own())
				for range 2 {
					be.Expect(peer.take(ask()).Target.ID).NotTo(Equal(sl.Target.ID))
				}
				time.Sleep(2 * time.Second)
				be.Expect(be.Own()).To(BeEmpty(), "it is over with the back-off")
			})
		})
	}
}

func TestRetriedRequestIsNoProbe(t *testing.T) {
	backOffBench(t, 2, func(be *bench, bk *backoff.Tracker) {
		bk.Begin(id(0), time.Second, time.Now())
		time.Sleep(time.Minute)
		as := plain()
		as.Retried = true
		be.Expect(be.take(as).Target.ID).To(Equal(id(1)))
	})
}

// TestClosedTargetsOfAProbeOrASureChoiceLeaveTheOthers: what a request would rather choose from wants no requests, and others do.
func TestClosedTargetsOfAProbeOrASureChoiceLeaveTheOthers(t *testing.T) {
	tests := map[string]func(be *bench, as *dispatch.Ask){
		"one that runs once, beside a target that failed": func(be *bench, as *dispatch.Ask) {
			as.Caution = targets.RequireHealthy
			for range 2 {
				be.directory.RecordFailure(id(0))
			}
		},
		"the probe of an availability zone": func(be *bench, _ *dispatch.Ask) {
			be.directory.RecordUnreachable(id(1))
			be.directory.RecordUnreachable(id(2))
			time.Sleep(time.Second)
		},
	}
	for name, edit := range tests {
		t.Run(name, func(t *testing.T) {
			backOffBench(t, 1, func(be *bench, bk *backoff.Tracker) {
				be.put(1, "far", false)
				be.put(2, "far", false)
				as := plain()
				edit(be, &as)
				for no := 1; no <= 2; no++ {
					bk.Begin(id(no), time.Minute, time.Now())
				}
				as.Arrived, as.Deadline = time.Now(), time.Now().Add(deadline)
				be.Expect(be.take(as).Target.ID).To(Equal(id(0)))
			})
		})
	}
}
