package pauseclock_test

import (
	"context"
	"testing"
	"time"

	. "github.com/onsi/gomega"

	"github.com/silvermount/silvermount/internal/pauseclock"
)

func TestPaused(t *testing.T) {
	const tick, busy = 100 * time.Millisecond, 199 * time.Millisecond
	tests := map[string]struct {
		// gaps are the times between two observations.
		gaps []time.Duration
		want []time.Duration
	}{
		"regular ticks":       {gaps: []time.Duration{tick, tick, tick}},
		"busy machine":        {gaps: []time.Duration{busy, busy, busy}},
		"one pause":           {gaps: []time.Duration{tick, 3 * time.Second, tick}, want: []time.Duration{3*time.Second - tick}},
		"two pauses":          {gaps: []time.Duration{time.Second, tick, 2 * time.Second}, want: []time.Duration{time.Second - tick, 2*time.Second - tick}},
		"observed very often": {gaps: []time.Duration{0, 0, time.Millisecond, time.Second}, want: []time.Duration{time.Second - tick}},
	}
	for name, tc := range tests {
		t.Run(name, func(t *testing.T) {
			g := NewWithT(t)
			now := time.Unix(1000, 0)
			var pauses []time.Duration
			ck := pauseclock.New(func() time.Time { return now }, pauseclock.WithOnPause(func(d time.Duration) { pauses = append(pauses, d) }))
			var total, want time.Duration
			for _, gap := range tc.gaps {
				now = now.Add(gap)
				total = ck.Paused()
			}
			for _, d := range tc.want {
				want += d
			}
			g.Expect(pauses).To(Equal(tc.want))
			g.Expect(total).To(Equal(want))
		})
	}
}

func TestRunObservesUntilContextEnds(t *testing.T) {
	g := NewWithT(t)
	observed := make(chan struct{}, 10)
	ck := pauseclock.New(func() time.Time {
		select {
		case observed <- struct{}{}:
		default:
		}
		return time.Unix(1000, 0)
	})
	ctx, cancel := context.WithCancel(t.Context())
	done := make(chan struct{})
	go func() { ck.Run(ctx); close(done) }()
	g.Eventually(observed).WithTimeout(time.Minute).Should(HaveLen(cap(observed)))
	cancel()
	g.Eventually(done).WithTimeout(time.Minute).Should(BeClosed())
}
