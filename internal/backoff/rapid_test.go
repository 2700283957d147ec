package backoff_test

import (
	"testing"
	"time"

	"pgregory.net/rapid"

	"github.com/silvermount/silvermount/internal/backoff"
)

// TestBackOffBlocksUntilItsEnd draws back-offs, answers, dispatches, prunings and pauses in any order. The target must be blocked
// until the end of its longest back-off, and after that for no longer than a second.
func TestBackOffBlocksUntilItsEnd(t *testing.T) {
	rapid.Check(t, func(t *rapid.T) {
		now := time.Unix(1000, 0)
		tr := backoff.New(func() time.Time { return now }, func() float64 { return rapid.Float64Range(0, 0.999).Draw(t, "random") })
		duration := rapid.Custom(func(t *rapid.T) time.Duration {
			return time.Duration(rapid.Int64Range(1, int64(5*time.Second)).Draw(t, "span"))
		})
		var end, begunAt time.Time
		blockedFor := time.Duration(0)
		t.Repeat(map[string]func(*rapid.T){
			"begin": func(t *rapid.T) {
				d := duration.Draw(t, "back-off")
				tr.Begin("a", d, now)
				if until := now.Add(d); until.After(end) {
					end = until
				}
				begunAt, blockedFor = now, 0
			},
			"answer":         func(t *rapid.T) { tr.RecordSuccess("a", now.Add(-duration.Draw(t, "round trip"))) },
			"dispatch":       func(*rapid.T) { tr.RecordDispatch("a") },
			"wait":           func(t *rapid.T) { now = now.Add(duration.Draw(t, "pause")) },
			"prune":          func(*rapid.T) { tr.Prune(func(string) bool { return false }) },
			"another target": func(t *rapid.T) { tr.Begin("b", duration.Draw(t, "back-off"), now) },
			"": func(t *rapid.T) {
				ph, retryAt := tr.Phase("a")
				if now.Before(end) && ph != backoff.Blocked {
					t.Fatalf("phase %d, %s before the end of the back-off", ph, end.Sub(now))
				}
				if ph == backoff.Blocked && !retryAt.After(now) {
					t.Fatalf("blocked until %s ago", now.Sub(retryAt))
				}
				if ph == backoff.Blocked && !now.Before(end) {
					blockedFor = retryAt.Sub(now)
				}
				if blockedFor > time.Second {
					t.Fatalf("blocked for another %s after the end of a back-off that began %s ago", blockedFor, now.Sub(begunAt))
				}
			},
		})
	})
}
