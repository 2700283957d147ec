package gateway

import (
	"testing"
	"time"

	. "github.com/onsi/gomega"
)

// TestSilenceDuringPauseIsNotHeldAgainstTarget guards against requests that run twice after a pause of the process. The pause caught a
// request before its bytes had left, the silence timeout passed during it, and the timer fired before the request was sent and
// answered.
func TestSilenceDuringPauseIsNotHeldAgainstTarget(t *testing.T) {
	const timeout = time.Hour
	tests := map[string]struct {
		// late is how late the timer fires.
		late          time.Duration
		activity      bool
		wantCancelled bool
	}{
		"in time":                {0, false, true},
		"on a busy machine":      {maxTimerDelay, false, true},
		"after a pause":          {maxTimerDelay + 1, false, false},
		"after a long pause":     {2 * timeout, false, false},
		"in time, data received": {0, true, false},
	}
	for name, tc := range tests {
		t.Run(name, func(t *testing.T) {
			g := NewWithT(t)
			wd := startSilenceWatchdog(timeout, func() bool { return true })
			wd.setHasActivity(func() bool { return tc.activity })
			now := wd.dueAt.Add(tc.late)
			wd.fire(now)
			if !tc.wantCancelled {
				g.Expect(wd.dueAt.Sub(now)).To(And(BeNumerically(">", 0), BeNumerically("<=", timeout)), "the timer is restarted")
			}
			g.Expect(wd.stop()).To(Equal(tc.wantCancelled))
		})
	}
}
