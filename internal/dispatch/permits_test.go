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

// fakeIssuer answers permit requests in place of the issuers of all targets.
type fakeIssuer struct {
	limited  []string
	answer   func(target string, wait time.Duration) permit.Decision
	requests atomic.Int64
}

// runWithPermits runs a test in a synctest bubble with targets of which some have a rate limit.
func runWithPermits(t *testing.T, count int, fi *fakeIssuer, run func(hs *harness), opts ...func(*dispatch.Options)) {
	synctest.Test(t, func(t *testing.T) {
		limitOf := func(target string) ratelimit.Limit {
			if slices.Contains(fi.limited, target) {
				return ratelimit.PerSecond(2)
			}
			return ratelimit.Limit{}
		}
		cl := permit.NewClient(time.Now, limitOf, metrics.NewSet())
		cl.SetRequestFunc(func(_ context.Context, rq permit.Request) (permit.Decision, error) {
			fi.requests.Add(1)
			time.Sleep(roundTripTime)
			return fi.answer(rq.Target.ID, rq.MaxWait), nil
		})
		run(newHarness(t, count, append(opts, func(op *dispatch.Options) { op.Permits = cl })...))
		time.Sleep(settleTime)
	})
}

// refuseFor returns an answer that refuses all permits and asks to try again after a period.
func refuseFor(retryAfter time.Duration) func(string, time.Duration) permit.Decision {
	return func(string, time.Duration) permit.Decision { return permit.Decision{Delay: retryAfter} }
}

func TestRequestsAvoidTargetsWithoutPermits(t *testing.T) {
	newRequests := map[string]func() dispatch.Request{"plain": plainRequest, "short prompt": func() dispatch.Request { return promptRequest(1000) }, "large prompt": func() dispatch.Request { return promptRequest(memory + 1000) }}
	for name, newRequest := range newRequests {
		t.Run(name, func(t *testing.T) {
			fi := &fakeIssuer{limited: []string{id(0), id(1)}, answer: refuseFor(time.Minute)}
			runWithPermits(t, 4, fi, func(hs *harness) {
				for range 6 {
					sl := hs.mustAcquire(newRequest())
					hs.Expect(fi.limited).NotTo(ContainElement(sl.Target.ID))
					sl.Release()
				}
				hs.Expect(fi.requests.Load()).To(BeNumerically("<=", 2), "a target that refused a permit is not asked again")
				hs.Expect(hs.OwnLoads()).To(BeEmpty(), "no load is left")
			})
		})
	}
}

func TestTargetWithoutPermitsRemainsHelper(t *testing.T) {
	fi := &fakeIssuer{limited: []string{id(0)}, answer: refuseFor(time.Minute)}
	runWithPermits(t, 2, fi, func(hs *harness) {
		sl := hs.mustAcquire(promptRequest(largePromptTokens))
		hs.Expect(sl.Target.ID).To(Equal(id(1)))
		hs.Expect(sl.Helpers).To(HaveLen(2))
		sl.Release()
	})
}

func TestRequestIsRefusedAtOnceIfNoTargetHasPermits(t *testing.T) {
	fi := &fakeIssuer{limited: []string{id(0), id(1)}, answer: refuseFor(7 * time.Second)}
	runWithPermits(t, 2, fi, func(hs *harness) {
		for name, rq := range map[string]dispatch.Request{"plain": plainRequest(), "prompt": promptRequest(1000)} {
			began := time.Now()
			fe := hs.mustBeRefused(rq)
			hs.Expect(time.Since(began)).To(BeNumerically("<", objective/4), name)
			hs.Expect(fe.Code).To(Equal(failure.Overloaded))
			hs.Expect(fe.Outcome).To(Equal(failure.NotRun))
			hs.Expect(fe.RetryAfter).To(BeNumerically("~", 7*time.Second, time.Second), name)
		}
	})
}

func TestRequestWaitsForReservedPermit(t *testing.T) {
	const permitDelay = objective / 10
	var permitAt time.Time
	fi := &fakeIssuer{limited: []string{id(0), id(1)}, answer: func(_ string, wait time.Duration) permit.Decision {
		after := max(0, time.Until(permitAt))
		return permit.Decision{Granted: after <= wait, Delay: after}
	}}
	runWithPermits(t, 2, fi, func(hs *harness) {
		for name, rq := range map[string]dispatch.Request{"plain": plainRequest(), "prompt": promptRequest(1000)} {
			began := time.Now()
			permitAt = began.Add(permitDelay)
			rq.Arrived, rq.Deadline = began, began.Add(time.Minute)
			sl := hs.mustAcquire(rq)
			hs.Expect(time.Since(began)).To(BeNumerically(">=", permitDelay), name)
			hs.Expect(time.Since(began)).To(BeNumerically("<", permitDelay+objective/10), name)
			hs.Expect(fi.requests.Swap(0)).To(BeNumerically("<=", 4), "both targets are asked, then a permit is reserved")
			sl.Release()
			time.Sleep(objective)
		}
	})
}

// TestLongObjectiveReservesNoPermitFarAhead guards against requests with long objectives reserving all permits ahead of
// those with short ones.
func TestLongObjectiveReservesNoPermitFarAhead(t *testing.T) {
	longestWait := time.Duration(0)
	fi := &fakeIssuer{limited: []string{id(0)}, answer: func(_ string, wait time.Duration) permit.Decision {
		longestWait = max(longestWait, wait)
		return permit.Decision{Delay: 300 * time.Millisecond}
	}}
	runWithPermits(t, 1, fi, func(hs *harness) {
		rq := plainRequest()
		rq.Objective = 30 * time.Second
		began := time.Now()
		hs.mustBeRefused(rq)
		hs.Expect(time.Since(began)).To(BeNumerically("<", objective/10), "it is refused at once")
		hs.Expect(longestWait).To(BeNumerically("<=", 300*time.Millisecond), "no longer than a request with a short objective may wait")
	})
}

func TestCancelledRequestStopsWaitingForPermit(t *testing.T) {
	fi := &fakeIssuer{limited: []string{id(0)}, answer: func(_ string, wait time.Duration) permit.Decision {
		return permit.Decision{Granted: wait > 0, Delay: objective / 10}
	}}
	runWithPermits(t, 1, fi, func(hs *harness) {
		ctx, cancel := context.WithCancel(context.Background())
		time.AfterFunc(objective/20, cancel)
		_, err := hs.Acquire(ctx, plainRequest())
		hs.Expect(err).To(MatchError(context.Canceled))
		hs.Expect(hs.OwnLoads()).To(BeEmpty())
	})
}

// TestMissedPermitIsNotUsed guards against a process that was suspended sending at once all requests whose permits fell due
// meanwhile.
func TestMissedPermitIsNotUsed(t *testing.T) {
	var suspended atomic.Int64
	fi := &fakeIssuer{limited: []string{id(0)}, answer: func(_ string, wait time.Duration) permit.Decision {
		return permit.Decision{Granted: wait > 0, Delay: objective / 16}
	}}
	runWithPermits(t, 1, fi, func(hs *harness) {
		// After a refusal the request waits for a reserved permit, and the process is suspended for longer than a permit may be
		// late.
		time.AfterFunc(objective/32, func() { suspended.Store(int64(300 * time.Millisecond)) })
		sl := hs.mustAcquire(plainRequest())
		hs.Expect(fi.requests.Load()).To(BeNumerically(">=", 3), "a refusal, a missed permit, and another request")
		sl.Release()
	}, func(op *dispatch.Options) {
		op.Now = func() time.Time { return time.Now().Add(time.Duration(suspended.Load())) }
	})
}

func TestRequestAsksForLimitedNumberOfPermits(t *testing.T) {
	const count = 40
	fi := &fakeIssuer{answer: refuseFor(time.Second)}
	for i := range count {
		fi.limited = append(fi.limited, id(i))
	}
	runWithPermits(t, count, fi, func(hs *harness) {
		hs.mustBeRefused(plainRequest())
		hs.Expect(fi.requests.Load()).To(BeNumerically("<", count/2))
	})
}
