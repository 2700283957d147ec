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

// long asks for a prompt that is read for two seconds.
func (hs *clocked) long() dispatch.Request {
	rq := hs.short()
	rq.PromptTokens = 140_000
	rq.Objective = 2500 * time.Millisecond
	rq.MaxPause = time.Second
	rq.Deadline = rq.Arrived.Add(15 * time.Second)
	return rq
}

// longAfter asks for the same, and was asked a time ago.
func (hs *clocked) longAfter(used time.Duration) dispatch.Request {
	rq := hs.long()
	rq.Arrived, rq.Deadline = rq.Arrived.Add(-used), rq.Deadline.Add(-used)
	return rq
}

func TestALateLongPromptWaitsWhileItWouldHarmOthers(t *testing.T) {
	cases := map[string]struct {
		writers     int
		used        time.Duration
		least, most time.Duration
	}{
		"no others":               {used: 3 * time.Second},
		"another is in time":      {writers: 1, used: 3 * time.Second, least: 3 * time.Second, most: 4 * time.Second},
		"it has waited for long":  {writers: 1, used: 7 * time.Second},
		"it can still be in time": {writers: 1},
	}
	for name, tc := range cases {
		t.Run(name, func(t *testing.T) {
			synctest.Test(t, func(t *testing.T) {
				g := NewWithT(t)
				hs := newClockedAt(time.Now, "t1")
				hs.writing(g, tc.writers)
				rq := hs.longAfter(tc.used)
				began := time.Now()
				sl, err := hs.ds.Acquire(context.Background(), rq)
				g.Expect(err).NotTo(HaveOccurred())
				sl.Release()
				g.Expect(time.Since(began)).To(BeNumerically(">=", tc.least))
				g.Expect(time.Since(began)).To(BeNumerically("<=", tc.most))
			})
		})
	}
}

// TestALongPromptGivesWayToWhatIsWorthMore asks for a prompt of 14.7 points beside short answers that would all be late
// with it, and those that arrive while it is read.
func TestALongPromptGivesWayToWhatIsWorthMore(t *testing.T) {
	cases := map[string]struct {
		writers int
		// ends is when the short answers end; zero is never.
		ends, most time.Duration
		refused    bool
	}{
		"they end in time":    {writers: 8, ends: time.Second, most: 1200 * time.Millisecond},
		"they end too late":   {writers: 8, ends: 8 * time.Second, most: 8200 * time.Millisecond},
		"they do not end":     {writers: 8, most: 13 * time.Second, refused: true},
		"they are worth less": {writers: 2},
	}
	for name, tc := range cases {
		t.Run(name, func(t *testing.T) {
			synctest.Test(t, func(t *testing.T) {
				g := NewWithT(t)
				hs := newClockedAt(time.Now, "t1")
				slots := hs.writing(g, tc.writers)
				if tc.ends > 0 {
					time.AfterFunc(tc.ends, func() { release(slots) })
				}
				began := time.Now()
				sl, err := hs.ds.Acquire(context.Background(), hs.long())
				g.Expect(time.Since(began)).To(BeNumerically("<=", tc.most))
				if !tc.refused {
					g.Expect(err).NotTo(HaveOccurred())
					sl.Release()
					return
				}
				g.Expect(err).To(HaveOccurred())
				fe := failure.Of(err)
				g.Expect(fe.Code).To(Equal(failure.Overloaded))
				g.Expect(fe.Outcome).To(Equal(failure.NotRun))
				g.Expect(fe.RetryAfter).To(BeNumerically(">", 0))
			})
		})
	}
}

// TestALateLongPromptIsNotRefusedForALittleHarm.
//
// In a wave of long prompts those that had become late by waiting were weighed by what was left of their worth alone. They waited on,
// were refused when nothing could be done any more, came back and were refused again, which costs their callers more than the wait.
func TestALateLongPromptIsNotRefusedForALittleHarm(t *testing.T) {
	cases := map[string]struct {
		writers int
		refused bool
	}{
		"three short answers":      {writers: 3},
		"more than it is worth":    {writers: 7, refused: true},
		"a target that is for all": {},
	}
	for name, tc := range cases {
		t.Run(name, func(t *testing.T) {
			synctest.Test(t, func(t *testing.T) {
				g := NewWithT(t)
				hs := newClockedAt(time.Now, "t1")
				hs.writing(g, tc.writers)
				rq := hs.longAfter(7 * time.Second)
				began := time.Now()
				sl, err := hs.ds.Acquire(context.Background(), rq)
				g.Expect(err != nil).To(Equal(tc.refused))
				if !tc.refused {
					g.Expect(time.Since(began)).To(BeZero())
					sl.Release()
				}
			})
		})
	}
}

func TestALongPromptIsHeldNoLongerThanItsCallerWaits(t *testing.T) {
	synctest.Test(t, func(t *testing.T) {
		g := NewWithT(t)
		hs := newClockedAt(time.Now, "t1")
		hs.writing(g, 8)
		rq := hs.long()
		rq.CallerIdleTimeout = 10 * time.Second
		began := time.Now()
		_, err := hs.ds.Acquire(context.Background(), rq)
		g.Expect(err).To(HaveOccurred())
		g.Expect(failure.Of(err).Outcome).To(Equal(failure.NotRun))
		// It is read in about two seconds.
		g.Expect(time.Since(began)).To(BeNumerically(">", 7*time.Second))
		g.Expect(time.Since(began)).To(BeNumerically("<", 9*time.Second))
	})
}

// writing starts short answers that are in time.
func (hs *clocked) writing(g *WithT, count int) []*dispatch.Slot {
	var slots []*dispatch.Slot
	for range count {
		sl, err := hs.ds.Acquire(context.Background(), hs.short())
		g.Expect(err).NotTo(HaveOccurred())
		sl.RecordFirstToken()
		slots = append(slots, sl)
	}
	return slots
}

func release(slots []*dispatch.Slot) {
	for _, sl := range slots {
		sl.Release()
	}
}

// TestArrivalsAreWhatArrives fills a target with short answers that are all late: a long prompt does not take the target
// from the ones that arrive next.
func TestArrivalsAreWhatArrives(t *testing.T) {
	synctest.Test(t, func(t *testing.T) {
		g := NewWithT(t)
		hs := newClockedAt(time.Now, "t1")
		slots := hs.writing(g, 12)
		time.Sleep(time.Second)
		for _, sl := range slots {
			sl.RecordEvent()
		}
		ctx, cancel := context.WithTimeout(t.Context(), 5*time.Second)
		defer cancel()
		_, err := hs.ds.Acquire(ctx, hs.long())
		g.Expect(err).To(MatchError(context.DeadlineExceeded))
	})
}
