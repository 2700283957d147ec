package dispatch_test

import (
	"context"
	"testing"
	"testing/synctest"
	"time"

	. "github.com/onsi/gomega"

	"github.com/silvermount/silvermount/internal/dispatch"
	"github.com/silvermount/silvermount/internal/failure"
)

// longPrompt returns a request with a prompt whose prefill takes two seconds.
func (hs *clockHarness) longPrompt() dispatch.Request {
	rq := hs.shortPrompt()
	rq.PromptTokens = 140_000
	rq.Objective = 2500 * time.Millisecond
	rq.MaxPause = time.Second
	rq.Deadline = rq.Arrived.Add(15 * time.Second)
	return rq
}

// longPromptArrivedAgo returns the same request with an earlier arrival.
func (hs *clockHarness) longPromptArrivedAgo(waited time.Duration) dispatch.Request {
	rq := hs.longPrompt()
	rq.Arrived, rq.Deadline = rq.Arrived.Add(-waited), rq.Deadline.Add(-waited)
	return rq
}

func TestLateLongPromptIsDeferredWhileOthersWouldLoseWorth(t *testing.T) {
	cases := map[string]struct {
		decoding         int
		waited           time.Duration
		minWait, maxWait time.Duration
	}{
		"no other requests":            {waited: 3 * time.Second},
		"another answer is in time":    {decoding: 1, waited: 3 * time.Second, minWait: 3 * time.Second, maxWait: 4 * time.Second},
		"maximum deferral is exceeded": {decoding: 1, waited: 7 * time.Second},
		"prompt can still be in time":  {decoding: 1},
	}
	for name, tc := range cases {
		t.Run(name, func(t *testing.T) {
			synctest.Test(t, func(t *testing.T) {
				g := NewWithT(t)
				hs := newClockHarness(time.Now, "t1")
				hs.startShortAnswers(g, tc.decoding)
				rq := hs.longPromptArrivedAgo(tc.waited)
				began := time.Now()
				sl, err := hs.dispatcher.Acquire(context.Background(), rq)
				g.Expect(err).NotTo(HaveOccurred())
				sl.Release()
				g.Expect(time.Since(began)).To(BeNumerically(">=", tc.minWait))
				g.Expect(time.Since(began)).To(BeNumerically("<=", tc.maxWait))
			})
		})
	}
}

// TestLongPromptYieldsToShortAnswersWorthMore places a prompt worth 14.7 points next to short answers. It would make all of
// them late, and those that arrive during its prefill.
func TestLongPromptYieldsToShortAnswersWorthMore(t *testing.T) {
	cases := map[string]struct {
		decoding int
		// ends is when the short answers end; zero means never.
		ends, maxWait time.Duration
		refused       bool
	}{
		"short answers end in time":             {decoding: 8, ends: time.Second, maxWait: 1200 * time.Millisecond},
		"short answers end after the objective": {decoding: 8, ends: 8 * time.Second, maxWait: 8200 * time.Millisecond},
		"short answers do not end":              {decoding: 8, maxWait: 13 * time.Second, refused: true},
		"short answers are worth less":          {decoding: 2},
	}
	for name, tc := range cases {
		t.Run(name, func(t *testing.T) {
			synctest.Test(t, func(t *testing.T) {
				g := NewWithT(t)
				hs := newClockHarness(time.Now, "t1")
				slots := hs.startShortAnswers(g, tc.decoding)
				if tc.ends > 0 {
					time.AfterFunc(tc.ends, func() { releaseAll(slots) })
				}
				began := time.Now()
				sl, err := hs.dispatcher.Acquire(context.Background(), hs.longPrompt())
				g.Expect(time.Since(began)).To(BeNumerically("<=", tc.maxWait))
				if !tc.refused {
					g.Expect(err).NotTo(HaveOccurred())
					sl.Release()
					return
				}
				g.Expect(err).To(HaveOccurred())
				fe := failure.FromError(err)
				g.Expect(fe.Code).To(Equal(failure.Overloaded))
				g.Expect(fe.Outcome).To(Equal(failure.NotRun))
				g.Expect(fe.RetryAfter).To(BeNumerically(">", 0))
			})
		})
	}
}

// TestLateLongPromptIsNotRefusedForMinorLossOfOthers guards against a fault in which long prompts that had become late by waiting
// were judged by their remaining worth alone. In a wave of long prompts they kept waiting until they were refused, were
// retried and refused again, which costs their callers more than the wait.
func TestLateLongPromptIsNotRefusedForMinorLossOfOthers(t *testing.T) {
	cases := map[string]struct {
		decoding int
		refused  bool
	}{
		"loss of three short answers": {decoding: 3},
		"loss exceeds its worth":      {decoding: 7, refused: true},
		"idle target":                 {},
	}
	for name, tc := range cases {
		t.Run(name, func(t *testing.T) {
			synctest.Test(t, func(t *testing.T) {
				g := NewWithT(t)
				hs := newClockHarness(time.Now, "t1")
				hs.startShortAnswers(g, tc.decoding)
				rq := hs.longPromptArrivedAgo(7 * time.Second)
				began := time.Now()
				sl, err := hs.dispatcher.Acquire(context.Background(), rq)
				g.Expect(err != nil).To(Equal(tc.refused))
				if !tc.refused {
					g.Expect(time.Since(began)).To(BeZero())
					sl.Release()
				}
			})
		})
	}
}

func TestLongPromptIsRefusedBeforeCallerIdleTimeout(t *testing.T) {
	synctest.Test(t, func(t *testing.T) {
		g := NewWithT(t)
		hs := newClockHarness(time.Now, "t1")
		hs.startShortAnswers(g, 8)
		rq := hs.longPrompt()
		rq.CallerIdleTimeout = 10 * time.Second
		began := time.Now()
		_, err := hs.dispatcher.Acquire(context.Background(), rq)
		g.Expect(err).To(HaveOccurred())
		g.Expect(failure.FromError(err).Outcome).To(Equal(failure.NotRun))
		// Reading the prompt takes about two seconds, which leaves eight of the caller's ten for waiting.
		g.Expect(time.Since(began)).To(BeNumerically(">", 7*time.Second))
		g.Expect(time.Since(began)).To(BeNumerically("<", 9*time.Second))
	})
}

// startShortAnswers starts short answers that are in time.
func (hs *clockHarness) startShortAnswers(g *WithT, count int) []*dispatch.Slot {
	var slots []*dispatch.Slot
	for range count {
		sl, err := hs.dispatcher.Acquire(context.Background(), hs.shortPrompt())
		g.Expect(err).NotTo(HaveOccurred())
		sl.RecordFirstToken()
		slots = append(slots, sl)
	}
	return slots
}

func releaseAll(slots []*dispatch.Slot) {
	for _, sl := range slots {
		sl.Release()
	}
}

// TestLongPromptWaitsForArrivalsIfAnswersInFlightAreLate fills a target with short answers that are all late and have
// nothing left at risk. A long prompt must still not take the target from the short requests that arrive next.
func TestLongPromptWaitsForArrivalsIfAnswersInFlightAreLate(t *testing.T) {
	synctest.Test(t, func(t *testing.T) {
		g := NewWithT(t)
		hs := newClockHarness(time.Now, "t1")
		slots := hs.startShortAnswers(g, 12)
		time.Sleep(time.Second)
		for _, sl := range slots {
			sl.RecordEvent()
		}
		ctx, cancel := context.WithTimeout(t.Context(), 5*time.Second)
		defer cancel()
		_, err := hs.dispatcher.Acquire(ctx, hs.longPrompt())
		g.Expect(err).To(MatchError(context.DeadlineExceeded))
	})
}
