package inflight_test

import (
	"context"
	"testing"
	"testing/synctest"
	"time"

	. "github.com/onsi/gomega"

	"github.com/silvermount/silvermount/internal/inflight"
)

func TestWaitCoversWorkStartedWhileWaiting(t *testing.T) {
	cases := map[string]struct {
		// work holds the durations of the operations. Each operation starts the next one before it ends.
		work    []time.Duration
		timeout time.Duration
		wantErr bool
	}{
		"no work":             {nil, time.Second, false},
		"one operation":       {[]time.Duration{time.Second}, 2 * time.Second, false},
		"chain of two":        {[]time.Duration{time.Second, time.Second}, 3 * time.Second, false},
		"exceeds the timeout": {[]time.Duration{3 * time.Second}, 2 * time.Second, true},
	}
	for name, tc := range cases {
		t.Run(name, func(t *testing.T) {
			synctest.Test(t, func(t *testing.T) {
				g := NewWithT(t)
				// Let the operations of all cases end before the bubble does.
				defer time.Sleep(time.Minute)
				var ct inflight.Counter
				startChain(&ct, tc.work)
				ctx, cancel := context.WithTimeout(t.Context(), tc.timeout)
				defer cancel()
				err := ct.Wait(ctx)
				if tc.wantErr {
					g.Expect(err).To(MatchError(context.DeadlineExceeded))
					return
				}
				g.Expect(err).NotTo(HaveOccurred())
			})
		})
	}
}

// startChain starts the first operation. Each operation starts the next one before it ends.
func startChain(ct *inflight.Counter, work []time.Duration) {
	if len(work) == 0 {
		return
	}
	end := ct.Begin()
	go func() {
		defer end()
		time.Sleep(work[0])
		startChain(ct, work[1:])
	}()
}
