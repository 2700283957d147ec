package gateway

import (
	"sync/atomic"
	"testing"
	"testing/synctest"
	"time"

	. "github.com/onsi/gomega"
)

// TestUnacknowledgedRequestEnds guards against memory that stays reserved for a request that does not reach the machine of its target,
// and against requests that are ended while they make progress or because this process was paused.
func TestUnacknowledgedRequestEnds(t *testing.T) {
	const body = 1000
	tests := map[string]struct {
		// acknowledged returns how many bytes are acknowledged after a time, paused how long the process was paused until then.
		acknowledged func(after time.Duration) int64
		paused       func(after time.Duration) time.Duration
		// windowClosed is set if the receive window is closed and its probes are acknowledged.
		windowClosed bool
		// want is when the attempt ends; zero if it does not.
		want time.Duration
	}{
		"nothing acknowledged":     {func(time.Duration) int64 { return 0 }, nil, false, maxUnacknowledged},
		"window closed":            {func(time.Duration) int64 { return 0 }, nil, true, 0},
		"acknowledged at once":     {func(time.Duration) int64 { return body }, nil, false, 0},
		"acknowledged after 2 s":   {func(after time.Duration) int64 { return body * int64(after/(2*time.Second)) }, nil, false, 0},
		"a byte each millisecond":  {func(after time.Duration) int64 { return min(body, after.Milliseconds()/10) }, nil, false, 0},
		"begun, then nothing more": {func(after time.Duration) int64 { return min(body/2, after.Milliseconds()) }, nil, false, 500*time.Millisecond + maxUnacknowledged},
		"process paused for 1 s": {
			func(time.Duration) int64 { return 0 }, func(after time.Duration) time.Duration { return min(time.Second, after) }, false, time.Second + maxUnacknowledged,
		},
	}
	for name, tc := range tests {
		t.Run(name, func(t *testing.T) {
			synctest.Test(t, func(t *testing.T) {
				g := NewWithT(t)
				began := time.Now()
				acknowledged := func() int64 { return min(body, tc.acknowledged(time.Since(began))) }
				paused := func() time.Duration {
					if tc.paused == nil {
						return 0
					}
					return tc.paused(time.Since(began))
				}
				ackSilence := func() time.Duration {
					if tc.windowClosed {
						return 0
					}
					return time.Since(began)
				}
				var endedAfter atomic.Int64
				aw := startAckWatchdog(acknowledged, func() int { return body - int(acknowledged()) }, ackSilence, paused, func(*UnacknowledgedRequestError) {
					endedAfter.Store(int64(time.Since(began)))
				})
				time.Sleep(20 * time.Second)
				aw.stop()
				g.Expect(time.Duration(endedAfter.Load())).To(Equal(tc.want))
			})
		})
	}
}
