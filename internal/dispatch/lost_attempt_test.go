package dispatch_test

import (
	"context"
	"testing"
	"testing/synctest"
	"time"

	. "github.com/onsi/gomega"

	"github.com/silvermount/silvermount/internal/dispatch"
)

// TestNoWaitInVainAfterLostAttempt guards against a request that waits for room after its attempt was lost although another attempt would
// hardly be in time: it waited until an attempt at idle targets was impossible, and its caller got a failure seconds later than necessary.
// The target is full, so that no request is placed, and the prefill of the prompt takes two seconds there when it is idle.
func TestNoWaitInVainAfterLostAttempt(t *testing.T) {
	const idleTimeout = 10 * time.Second
	cases := map[string]struct {
		waited time.Duration
		edit   func(rq *dispatch.Request)
		// min and max bound the time until the request is refused.
		min, max time.Duration
	}{
		"no attempt lost, time for half an attempt more": {7 * time.Second, func(*dispatch.Request) {}, 500 * time.Millisecond, 2 * time.Second},
		"attempt lost, the same time":                    {7 * time.Second, func(rq *dispatch.Request) { rq.AttemptLost = true }, 0, time.Millisecond},
		"attempt lost, more time":                        {3 * time.Second, func(rq *dispatch.Request) { rq.AttemptLost = true }, 2 * time.Second, 4 * time.Second},
		"attempt lost, no time":                          {9 * time.Second, func(rq *dispatch.Request) { rq.AttemptLost = true }, 0, time.Millisecond},
	}
	for name, tc := range cases {
		t.Run(name, func(t *testing.T) {
			synctest.Test(t, func(t *testing.T) {
				g := NewWithT(t)
				hs := newClockHarness(time.Now, "t1")
				hs.startShortAnswers(g, engine.Slots)
				rq := hs.longPromptArrivedAgo(tc.waited)
				rq.CallerIdleTimeout = idleTimeout
				tc.edit(&rq)
				began := time.Now()
				sl, err := hs.dispatcher.Acquire(context.Background(), rq)
				if err == nil {
					sl.Release()
				}
				g.Expect(err).To(HaveOccurred())
				g.Expect(time.Since(began)).To(And(BeNumerically(">=", tc.min), BeNumerically("<=", tc.max)))
			})
		})
	}
}

// TestResumedStreamDoesNotWaitForCallerWhoGaveUp guards against a stream that waits for memory until its deadline although its caller gives
// up earlier: it has waited since the last event, and even idle targets would give the next one too late.
func TestResumedStreamDoesNotWaitForCallerWhoGaveUp(t *testing.T) {
	const idleTimeout = 2 * time.Second
	cases := map[string]struct {
		silence  time.Duration
		min, max time.Duration
	}{
		"caller waits for a short time": {silence: time.Second, min: 900 * time.Millisecond, max: time.Second},
		"caller is about to give up":    {silence: idleTimeout - time.Millisecond, max: time.Millisecond},
	}
	for name, tc := range cases {
		t.Run(name, func(t *testing.T) {
			runInBubble(t, 3, func(hs *harness) {
				hs.mustAcquire(promptRequest(largePromptTokens))
				rq := promptRequest(largePromptTokens)
				rq.Resumed, rq.EventsForwarded, rq.CallerIdleTimeout = true, 1, idleTimeout
				rq.Arrived = time.Now().Add(-time.Minute)
				rq.LastEventAt, rq.Deadline = time.Now().Add(-tc.silence), time.Now().Add(time.Minute)
				began := time.Now()
				_, err := hs.Acquire(context.Background(), rq)
				hs.Expect(err).To(HaveOccurred())
				hs.Expect(time.Since(began)).To(And(BeNumerically(">=", tc.min), BeNumerically("<=", tc.max)))
			})
		})
	}
}
