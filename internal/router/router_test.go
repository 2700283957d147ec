package router

import (
	"context"
	"testing"
	"testing/synctest"
	"time"

	"github.com/cockroachdb/errors"
	. "github.com/onsi/gomega"

	"github.com/silvermount/silvermount/internal/engine"
	"github.com/silvermount/silvermount/internal/failure"
	"github.com/silvermount/silvermount/internal/fleet"
	"github.com/silvermount/silvermount/internal/policy"
	"github.com/silvermount/silvermount/internal/policy/lanes"
)

// newOneEngineRouter returns a router for one engine that computes 1,000 prompt tokens per second and takes one long prompt.
func newOneEngineRouter(maxWaiting int) *Router {
	fl := fleet.New(fleet.Instance{Name: "self", AvailabilityZone: "a"})
	fl.SetTargets([]fleet.Target{{Name: "e", Kind: fleet.KindEngine, AvailabilityZone: "a", Models: []string{"m"}}})
	fl.ApplyReport("e", engine.Report{Incarnation: "e-1", MemoryTotal: 1_000_000, PrefillRate: 1_000})
	return New(fl, Options{
		Policy:     policy.Policy{UsesPeerLoad: true, Choose: lanes.Choose},
		Limits:     policy.Limits{MaxLongPerTarget: 1, MaxLongTargetShare: 1},
		MaxWaiting: maxWaiting,
	})
}

func longRequest(tokens int, timeout time.Duration) Request {
	return Request{
		Prompt: policy.Prompt{Tokens: tokens, Long: true}, Filter: fleet.Filter{Model: "m", IncludePeerLoad: true},
		Deadline: time.Now().Add(timeout),
	}
}

// codeOf returns the failure code of an error that states that the request was not run and after which time to retry; for
// other errors and nil it is empty.
func codeOf(err error) failure.Code {
	var fe *failure.Error
	if errors.As(err, &fe) && fe.Outcome == failure.NotRun && fe.RetryAfter > 0 {
		return fe.Code
	}
	return ""
}

func TestAcquireBehindLongPrompt(t *testing.T) {
	tests := map[string]struct {
		rq         Request
		maxWaiting int
		want       failure.Code
	}{
		"long prompt waits until the first is done": {rq: longRequest(100_000, time.Hour), maxWaiting: 10},
		"long prompt alone takes past its deadline": {rq: longRequest(100_000, time.Second), maxWaiting: 10, want: failure.DeadlineTooShort},
		"queue is full":                         {rq: longRequest(100_000, time.Hour), want: failure.Overloaded},
		"short prompt runs beside the long one": {rq: Request{Prompt: policy.Prompt{Tokens: 10}, Filter: fleet.Filter{Model: "m"}, Deadline: time.Now().Add(time.Hour)}, maxWaiting: 10},
	}
	for name, tc := range tests {
		t.Run(name, func(t *testing.T) {
			g := NewWithT(t)
			rt := newOneEngineRouter(10)
			first, err := rt.Acquire(t.Context(), longRequest(100_000, time.Hour))
			g.Expect(err).NotTo(HaveOccurred())
			rt.opts.MaxWaiting = tc.maxWaiting
			if tc.want == "" {
				time.AfterFunc(20*time.Millisecond, first.Release)
			}
			sl, err := rt.Acquire(t.Context(), tc.rq)
			g.Expect(codeOf(err)).To(Equal(tc.want))
			g.Expect(sl == nil).To(Equal(tc.want != ""))
			g.Expect(rt.QueueLength()).To(BeZero())
		})
	}
}

func TestSheddableWaiterIsEvictedFromFullQueue(t *testing.T) {
	g := NewWithT(t)
	rt := newOneEngineRouter(1)
	first, err := rt.Acquire(t.Context(), longRequest(100_000, time.Hour))
	g.Expect(err).NotTo(HaveOccurred())
	sheddable := longRequest(100_000, time.Hour)
	sheddable.Sheddable = true
	evicted := make(chan error, 1)
	go func() {
		_, err := rt.Acquire(context.Background(), sheddable)
		evicted <- err
	}()
	g.Eventually(rt.QueueLength).Should(Equal(1))
	got := make(chan error, 1)
	go func() {
		_, err := rt.Acquire(context.Background(), longRequest(100_000, time.Hour))
		got <- err
	}()
	g.Expect(codeOf(<-evicted)).To(Equal(failure.Overloaded))
	first.Release()
	g.Expect(<-got).NotTo(HaveOccurred())
}

// This test guards against requests in one queue that are refused one after the other, the last ones only at their deadlines,
// when all their targets leave. Only the first waiter of a queue looks for a slot; if it leaves the queue without waking the
// next one, that one notices only at its own recheck.
func TestAllWaitersAreRefusedSoonWhenTargetsLeave(t *testing.T) {
	synctest.Test(t, func(t *testing.T) {
		const waiters = 200
		g := NewWithT(t)
		rt := newOneEngineRouter(waiters)
		_, err := rt.Acquire(t.Context(), longRequest(100, time.Hour))
		g.Expect(err).NotTo(HaveOccurred())
		ended := make(chan error, waiters)
		for range waiters {
			go func() {
				_, err := rt.Acquire(t.Context(), longRequest(100, time.Hour))
				ended <- err
			}()
		}
		synctest.Wait()
		g.Expect(rt.QueueLength()).To(Equal(waiters))
		rt.fl.SetTargets(nil)
		removed := time.Now()
		for range waiters {
			g.Expect(codeOf(<-ended)).To(Equal(failure.NoTarget))
		}
		// In a synctest bubble, time advances only while all goroutines are blocked.
		g.Expect(time.Since(removed)).To(BeNumerically("<=", 2*recheckInterval))
	})
}
