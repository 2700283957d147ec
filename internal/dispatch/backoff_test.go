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
func backOffBench(t *testing.T, count int, play func(hs *bench, bk *backoff.Book)) {
	synctest.Test(t, func(t *testing.T) {
		bk := backoff.New(time.Now, func() float64 { return 0 })
		play(newBench(t, count, func(op *dispatch.Options) { op.BackOffs = bk }), bk)
		time.Sleep(settle)
	})
}

// spare returns a request that can go elsewhere when it is turned away.
func spare() dispatch.Request {
	rq := plain()
	rq.CanRetry = true
	return rq
}

func TestRequestsGoAroundTargetsThatWantNone(t *testing.T) {
	asks := map[string]func() dispatch.Request{
		"plain": plain, "short prompt": func() dispatch.Request { return prompt(1000) },
		"large prompt": func() dispatch.Request { return prompt(memory + 1000) },
	}
	for name, ask := range asks {
		t.Run(name, func(t *testing.T) {
			backOffBench(t, 4, func(hs *bench, bk *backoff.Book) {
				bk.Ask(id(0), time.Minute, time.Now())
				bk.Ask(id(1), time.Minute, time.Now())
				for range 6 {
					sl := hs.take(ask())
					hs.Expect(sl.TargetIDs()).NotTo(ContainElements(id(0)))
					hs.Expect(sl.TargetIDs()).NotTo(ContainElements(id(1)))
					sl.Release()
				}
				hs.Expect(hs.OwnLoads()).To(BeEmpty(), "nothing stays booked")
			})
		})
	}
}

func TestRequestWaitsForTheEndOfTheFirstBackOff(t *testing.T) {
	const soon = objective / 4
	for name, ask := range map[string]func() dispatch.Request{"plain": plain, "prompt": func() dispatch.Request { return prompt(1000) }} {
		t.Run(name, func(t *testing.T) {
			backOffBench(t, 2, func(hs *bench, bk *backoff.Book) {
				began := time.Now()
				bk.Ask(id(0), time.Minute, began)
				bk.Ask(id(1), soon, began)
				sl := hs.take(ask())
				hs.Expect(sl.Target.ID).To(Equal(id(1)))
				hs.Expect(time.Since(began)).To(BeNumerically(">=", soon))
				hs.Expect(time.Since(began)).To(BeNumerically("<", soon+objective/10))
			})
		})
	}
}

func TestRequestWithoutTimeForABackOffIsRefusedAtOnce(t *testing.T) {
	for name, ask := range map[string]func() dispatch.Request{"plain": plain, "prompt": func() dispatch.Request { return prompt(1000) }} {
		t.Run(name, func(t *testing.T) {
			backOffBench(t, 2, func(hs *bench, bk *backoff.Book) {
				began := time.Now()
				bk.Ask(id(0), time.Minute, began)
				bk.Ask(id(1), 7*time.Second, began)
				fe := hs.refused(ask())
				hs.Expect(time.Since(began)).To(BeZero())
				hs.Expect(fe.Code).To(Equal(failure.Overloaded))
				hs.Expect(fe.Outcome).To(Equal(failure.NotRun))
				hs.Expect(fe.RetryAfter).To(BeNumerically(">=", 7*time.Second))
				hs.Expect(fe.RetryAfter).To(BeNumerically("<", 8*time.Second))
			})
		})
	}
}

// TestRequestWhoseOtherTargetsAreTriedLearnsTheTrueTime was turned away by the one target there is.
func TestRequestWhoseOtherTargetsAreTriedLearnsTheTrueTime(t *testing.T) {
	backOffBench(t, 1, func(hs *bench, bk *backoff.Book) {
		bk.Ask(id(0), 5*time.Second, time.Now())
		rq := plain()
		rq.Exclude = []string{id(0)}
		hs.Expect(hs.refused(rq).RetryAfter).To(Equal(5 * time.Second))
	})
}

// TestWaitersDoNotAllComeAtOnce lets many requests wait for the end of the only target's back-off.
func TestWaitersDoNotAllComeAtOnce(t *testing.T) {
	const waiters = 60
	backOffBench(t, 1, func(hs *bench, bk *backoff.Book) {
		bk.Ask(id(0), objective/4, time.Now())
		var mu sync.Mutex
		var came []time.Time
		var wg sync.WaitGroup
		for range waiters {
			wg.Go(func() {
				sl, err := hs.Acquire(context.Background(), spare())
				if err != nil {
					return // it ran out of time
				}
				defer sl.Release()
				sent := time.Now()
				mu.Lock()
				came = append(came, sent)
				mu.Unlock()
				time.Sleep(20 * time.Millisecond)
				bk.Answered(id(0), sent)
			})
		}
		wg.Wait()
		slices.SortFunc(came, time.Time.Compare)
		hs.Expect(came).To(HaveLen(waiters), "the target is back in use for all")
		hs.Expect(came[1].Sub(came[0])).To(BeNumerically(">=", 20*time.Millisecond), "the second waits for the first answer")
		hs.Expect(came[waiters-1].Sub(came[0])).To(BeNumerically("<", objective/2))
	})
}

func TestOnlyARequestThatCanGoElsewhereIsTheProbe(t *testing.T) {
	tests := map[string]struct {
		ask    func() dispatch.Request
		probes bool
	}{
		"a first attempt":  {spare, true},
		"the last attempt": {plain, false},
	}
	for name, tc := range tests {
		t.Run(name, func(t *testing.T) {
			backOffBench(t, 2, func(hs *bench, bk *backoff.Book) {
				bk.Ask(id(0), time.Second, time.Now())
				// The other target is busy, so that this one is the better choice.
				for range slots {
					hs.take(plain())
				}
				time.Sleep(time.Second)
				hs.Expect(hs.take(tc.ask()).Target.ID == id(0)).To(Equal(tc.probes))
				time.Sleep(2 * time.Second)
				hs.Expect(hs.take(tc.ask()).Target.ID).To(Equal(id(0)), "nobody else came by")
			})
		})
	}
}

// TestPeersPreferTargetsThatTurnNobodyAway plays with two instances of which one was turned away.
func TestPeersPreferTargetsThatTurnNobodyAway(t *testing.T) {
	for name, ask := range map[string]func() dispatch.Request{"plain": plain, "prompt": func() dispatch.Request { return prompt(1000) }} {
		t.Run(name, func(t *testing.T) {
			backOffBench(t, 2, func(hs *bench, _ *backoff.Book) {
				peer := newBench(hs.t, 2)
				sl := hs.take(ask())
				sl.RecordBackOff(time.Second)
				sl.RecordBackOff(time.Second)
				sl.Release()
				peer.SetPeerLoads("i", hs.OwnLoads())
				for range 2 {
					hs.Expect(peer.take(ask()).Target.ID).NotTo(Equal(sl.Target.ID))
				}
				time.Sleep(2 * time.Second)
				hs.Expect(hs.OwnLoads()).To(BeEmpty(), "it is over with the back-off")
			})
		})
	}
}

func TestRetriedRequestIsNoProbe(t *testing.T) {
	backOffBench(t, 2, func(hs *bench, bk *backoff.Book) {
		bk.Ask(id(0), time.Second, time.Now())
		time.Sleep(time.Minute)
		rq := plain()
		rq.Retried = true
		hs.Expect(hs.take(rq).Target.ID).To(Equal(id(1)))
	})
}

// TestClosedTargetsOfAProbeOrASureChoiceLeaveTheOthers: what a request would rather choose from wants no requests, and others do.
func TestClosedTargetsOfAProbeOrASureChoiceLeaveTheOthers(t *testing.T) {
	tests := map[string]func(hs *bench, rq *dispatch.Request){
		"one that runs once, beside a target that failed": func(hs *bench, rq *dispatch.Request) {
			rq.Caution = targets.Sure
			for range 2 {
				hs.directory.Failure(id(0))
			}
		},
		"the probe of an availability zone": func(hs *bench, _ *dispatch.Request) {
			hs.directory.Unreachable(id(1))
			hs.directory.Unreachable(id(2))
			time.Sleep(time.Second)
		},
	}
	for name, edit := range tests {
		t.Run(name, func(t *testing.T) {
			backOffBench(t, 1, func(hs *bench, bk *backoff.Book) {
				hs.put(1, "far", false)
				hs.put(2, "far", false)
				rq := plain()
				edit(hs, &rq)
				for no := 1; no <= 2; no++ {
					bk.Ask(id(no), time.Minute, time.Now())
				}
				rq.Arrived, rq.Deadline = time.Now(), time.Now().Add(deadline)
				hs.Expect(hs.take(rq).Target.ID).To(Equal(id(0)))
			})
		})
	}
}
