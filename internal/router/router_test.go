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

// oneEngine returns a router before one engine that computes 1,000 tokens a second and takes one long prompt.
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

func longRequest(tokens int, limit time.Duration) Request {
	return Request{
		Prompt: policy.Prompt{Tokens: tokens, Long: true}, Filter: fleet.Filter{Model: "m", IncludePeerLoad: true},
		Deadline: time.Now().Add(limit),
	}
}

func codeOf(err error) failure.Code {
	var fe *failure.Error
	if errors.As(err, &fe) && fe.Outcome == failure.NotRun && fe.RetryAfter > 0 {
		return fe.Code
	}
	return ""
}

func TestAcquireBehindLongPrompt(t *testing.T) {
	tests := map[string]struct {
		ask      Request
		waitings int
		want     failure.Code
	}{
		"has time and waits for its turn":      {ask: longRequest(100_000, time.Hour), waitings: 10},
		"would be late by its own prompt":      {ask: longRequest(100_000, time.Second), waitings: 10, want: failure.DeadlineTooShort},
		"no room to wait":                      {ask: longRequest(100_000, time.Hour), want: failure.Overloaded},
		"a short prompt goes beside the other": {ask: Request{Prompt: policy.Prompt{Tokens: 10}, Filter: fleet.Filter{Model: "m"}, Deadline: time.Now().Add(time.Hour)}, waitings: 10},
	}
	for name, tc := range tests {
		t.Run(name, func(t *testing.T) {
			g := NewWithT(t)
			rt := newOneEngineRouter(10)
			first, err := rt.Acquire(t.Context(), longRequest(100_000, time.Hour))
			g.Expect(err).NotTo(HaveOccurred())
			rt.opts.MaxWaiting = tc.waitings
			if tc.want == "" {
				time.AfterFunc(20*time.Millisecond, first.Release)
			}
			pl, err := rt.Acquire(t.Context(), tc.ask)
			g.Expect(codeOf(err)).To(Equal(tc.want))
			g.Expect(pl == nil).To(Equal(tc.want != ""))
			g.Expect(rt.QueueLength()).To(BeZero())
		})
	}
}

func TestSheddableWaiterIsEvictedFromFullQueue(t *testing.T) {
	g := NewWithT(t)
	rt := newOneEngineRouter(1)
	first, err := rt.Acquire(t.Context(), longRequest(100_000, time.Hour))
	g.Expect(err).NotTo(HaveOccurred())
	yielding := longRequest(100_000, time.Hour)
	yielding.Sheddable = true
	evicted := make(chan error, 1)
	go func() {
		_, err := rt.Acquire(context.Background(), yielding)
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

// TestAllWhoWaitAreToldThatTheTargetsLeft takes the only target from a queue of many.
//
// Symptom: requests that cannot be served any more are refused one after the other, the last ones at their deadlines.
// Sequence: many requests wait in one queue; all targets that could take them leave.
// Cause: only the first of a queue looks for a place, and when it has left nobody tells the next one.
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
		left := time.Now()
		for range waiters {
			g.Expect(codeOf(<-ended)).To(Equal(failure.NoTarget))
		}
		// The clock is the test's own: it does not go on while anybody works.
		g.Expect(time.Since(left)).To(BeNumerically("<=", 2*recheckInterval))
	})
}
