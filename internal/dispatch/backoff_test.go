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

// runWithBackOffs runs a test with a number of targets and the state of their back-offs, in a synctest bubble.
func runWithBackOffs(t *testing.T, count int, run func(hs *harness, tr *backoff.Tracker)) {
	synctest.Test(t, func(t *testing.T) {
		tr := backoff.New(time.Now, func() float64 { return 0 })
		run(newHarness(t, count, func(op *dispatch.Options) { op.BackOffs = tr }), tr)
		time.Sleep(settleTime)
	})
}

// retriableRequest returns a plain request that can be retried on another target.
func retriableRequest() dispatch.Request {
	rq := plainRequest()
	rq.CanRetry = true
	return rq
}

func TestRequestsAvoidBackedOffTargets(t *testing.T) {
	newRequests := map[string]func() dispatch.Request{
		"plain": plainRequest, "short prompt": func() dispatch.Request { return promptRequest(1000) },
		"large prompt": func() dispatch.Request { return promptRequest(memory + 1000) },
	}
	for name, newRequest := range newRequests {
		t.Run(name, func(t *testing.T) {
			runWithBackOffs(t, 4, func(hs *harness, tr *backoff.Tracker) {
				tr.Begin(id(0), time.Minute, time.Now())
				tr.Begin(id(1), time.Minute, time.Now())
				for range 6 {
					sl := hs.mustAcquire(newRequest())
					hs.Expect(sl.TargetIDs()).NotTo(ContainElements(id(0)))
					hs.Expect(sl.TargetIDs()).NotTo(ContainElements(id(1)))
					sl.Release()
				}
				hs.Expect(hs.OwnLoads()).To(BeEmpty(), "no load is left")
			})
		})
	}
}

func TestRequestWaitsForEarliestBackOffToEnd(t *testing.T) {
	const shortBackOff = objective / 4
	for name, newRequest := range map[string]func() dispatch.Request{"plain": plainRequest, "prompt": func() dispatch.Request { return promptRequest(1000) }} {
		t.Run(name, func(t *testing.T) {
			runWithBackOffs(t, 2, func(hs *harness, tr *backoff.Tracker) {
				began := time.Now()
				tr.Begin(id(0), time.Minute, began)
				tr.Begin(id(1), shortBackOff, began)
				sl := hs.mustAcquire(newRequest())
				hs.Expect(sl.Target.ID).To(Equal(id(1)))
				hs.Expect(time.Since(began)).To(BeNumerically(">=", shortBackOff))
				hs.Expect(time.Since(began)).To(BeNumerically("<", shortBackOff+objective/10))
			})
		})
	}
}

func TestRequestIsRefusedAtOnceIfBackOffsOutlastItsWaitDeadline(t *testing.T) {
	for name, newRequest := range map[string]func() dispatch.Request{"plain": plainRequest, "prompt": func() dispatch.Request { return promptRequest(1000) }} {
		t.Run(name, func(t *testing.T) {
			runWithBackOffs(t, 2, func(hs *harness, tr *backoff.Tracker) {
				began := time.Now()
				tr.Begin(id(0), time.Minute, began)
				tr.Begin(id(1), 7*time.Second, began)
				fe := hs.mustBeRefused(newRequest())
				hs.Expect(time.Since(began)).To(BeZero())
				hs.Expect(fe.Code).To(Equal(failure.Overloaded))
				hs.Expect(fe.Outcome).To(Equal(failure.NotRun))
				hs.Expect(fe.RetryAfter).To(BeNumerically(">=", 7*time.Second))
				hs.Expect(fe.RetryAfter).To(BeNumerically("<", 8*time.Second))
			})
		})
	}
}

// TestRetryAfterCoversBackOffOfExcludedTarget sends a request that was already rejected by the only target, which is in
// back-off.
func TestRetryAfterCoversBackOffOfExcludedTarget(t *testing.T) {
	runWithBackOffs(t, 1, func(hs *harness, tr *backoff.Tracker) {
		tr.Begin(id(0), 5*time.Second, time.Now())
		rq := plainRequest()
		rq.Exclude = []string{id(0)}
		hs.Expect(hs.mustBeRefused(rq).RetryAfter).To(Equal(5 * time.Second))
	})
}

// TestWaitingRequestsAreReleasedGraduallyAfterBackOff has many requests wait for the back-off of the only target to end.
// They must not all be sent at once when it does.
func TestWaitingRequestsAreReleasedGraduallyAfterBackOff(t *testing.T) {
	const waiters = 60
	runWithBackOffs(t, 1, func(hs *harness, tr *backoff.Tracker) {
		tr.Begin(id(0), objective/4, time.Now())
		var mu sync.Mutex
		var sentTimes []time.Time
		var wg sync.WaitGroup
		for range waiters {
			wg.Go(func() {
				sl, err := hs.Acquire(context.Background(), retriableRequest())
				if err != nil {
					return // its wait deadline passed
				}
				defer sl.Release()
				sent := time.Now()
				mu.Lock()
				sentTimes = append(sentTimes, sent)
				mu.Unlock()
				time.Sleep(20 * time.Millisecond)
				tr.RecordSuccess(id(0), sent)
			})
		}
		wg.Wait()
		slices.SortFunc(sentTimes, time.Time.Compare)
		hs.Expect(sentTimes).To(HaveLen(waiters), "all waiting requests reach the target")
		hs.Expect(sentTimes[1].Sub(sentTimes[0])).To(BeNumerically(">=", 20*time.Millisecond), "the second request waits for the answer to the first")
		hs.Expect(sentTimes[waiters-1].Sub(sentTimes[0])).To(BeNumerically("<", objective/2))
	})
}

func TestOnlyRetriableRequestProbesSoonAfterBackOff(t *testing.T) {
	tests := map[string]struct {
		newRequest func() dispatch.Request
		probes     bool
	}{
		"request that can be retried": {retriableRequest, true},
		"last attempt":                {plainRequest, false},
	}
	for name, tc := range tests {
		t.Run(name, func(t *testing.T) {
			runWithBackOffs(t, 2, func(hs *harness, tr *backoff.Tracker) {
				tr.Begin(id(0), time.Second, time.Now())
				// The other target is busy, so that the backed-off one would be preferred.
				for range slots {
					hs.mustAcquire(plainRequest())
				}
				time.Sleep(time.Second)
				hs.Expect(hs.mustAcquire(tc.newRequest()).Target.ID == id(0)).To(Equal(tc.probes))
				time.Sleep(2 * time.Second)
				hs.Expect(hs.mustAcquire(tc.newRequest()).Target.ID).To(Equal(id(0)), "any request may probe after the probe-only period")
			})
		})
	}
}

// TestPeersAvoidTargetThatBackedOffThisInstance has two instances, one of which a target rejected with a back-off. The other
// one sees the back-off as load until it ends.
func TestPeersAvoidTargetThatBackedOffThisInstance(t *testing.T) {
	for name, newRequest := range map[string]func() dispatch.Request{"plain": plainRequest, "prompt": func() dispatch.Request { return promptRequest(1000) }} {
		t.Run(name, func(t *testing.T) {
			runWithBackOffs(t, 2, func(hs *harness, _ *backoff.Tracker) {
				peer := newHarness(hs.t, 2)
				sl := hs.mustAcquire(newRequest())
				sl.RecordBackOff(time.Second)
				sl.RecordBackOff(time.Second)
				sl.Release()
				peer.SetPeerLoads("i", hs.OwnLoads())
				for range 2 {
					hs.Expect(peer.mustAcquire(newRequest()).Target.ID).NotTo(Equal(sl.Target.ID))
				}
				time.Sleep(2 * time.Second)
				hs.Expect(hs.OwnLoads()).To(BeEmpty(), "the load ends with the back-off")
			})
		})
	}
}

func TestRetriedRequestDoesNotProbe(t *testing.T) {
	runWithBackOffs(t, 2, func(hs *harness, tr *backoff.Tracker) {
		tr.Begin(id(0), time.Second, time.Now())
		time.Sleep(time.Minute)
		rq := plainRequest()
		rq.Retried = true
		hs.Expect(hs.mustAcquire(rq).Target.ID).To(Equal(id(1)))
	})
}

// TestRequestFallsBackToOtherTargetsIfPreferredOnesAreBlocked covers requests that are limited to certain targets at first. If
// all of these are blocked, the request must be sent to one of the others.
func TestRequestFallsBackToOtherTargetsIfPreferredOnesAreBlocked(t *testing.T) {
	tests := map[string]func(hs *harness, rq *dispatch.Request){
		"request that may run only once, next to a failed target": func(hs *harness, rq *dispatch.Request) {
			rq.Caution = targets.RequireHealthy
			for range 2 {
				hs.directory.RecordFailure(id(0))
			}
		},
		"probe of an unreachable availability zone": func(hs *harness, _ *dispatch.Request) {
			hs.directory.RecordUnreachable(id(1))
			hs.directory.RecordUnreachable(id(2))
			time.Sleep(time.Second)
		},
	}
	for name, edit := range tests {
		t.Run(name, func(t *testing.T) {
			runWithBackOffs(t, 1, func(hs *harness, tr *backoff.Tracker) {
				hs.putTarget(1, "far", false)
				hs.putTarget(2, "far", false)
				rq := plainRequest()
				edit(hs, &rq)
				for i := 1; i <= 2; i++ {
					tr.Begin(id(i), time.Minute, time.Now())
				}
				rq.Arrived, rq.Deadline = time.Now(), time.Now().Add(deadline)
				hs.Expect(hs.mustAcquire(rq).Target.ID).To(Equal(id(0)))
			})
		})
	}
}
