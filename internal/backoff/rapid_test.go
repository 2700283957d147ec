package backoff_test

import (
	"testing"
	"time"

	"pgregory.net/rapid"

	"github.com/silvermount/silvermount/internal/backoff"
)

// TestNothingGoesThereInABackOff draws words, answers, choices and pauses in any order.
func TestNothingGoesThereInABackOff(t *testing.T) {
	rapid.Check(t, func(t *rapid.T) {
		now := time.Unix(1000, 0)
		bk := backoff.New(func() time.Time { return now }, func() float64 { return rapid.Float64Range(0, 0.999).Draw(t, "random") })
		span := rapid.Custom(func(t *rapid.T) time.Duration {
			return time.Duration(rapid.Int64Range(1, int64(5*time.Second)).Draw(t, "span"))
		})
		var end, asked time.Time
		closedFor := time.Duration(0)
		t.Repeat(map[string]func(*rapid.T){
			"ask": func(t *rapid.T) {
				sp := span.Draw(t, "back-off")
				bk.Begin("a", sp, now)
				if until := now.Add(sp); until.After(end) {
					end = until
				}
				asked, closedFor = now, 0
			},
			"answer":  func(t *rapid.T) { bk.RecordSuccess("a", now.Add(-span.Draw(t, "way"))) },
			"choose":  func(*rapid.T) { bk.RecordDispatch("a") },
			"pass":    func(t *rapid.T) { now = now.Add(span.Draw(t, "pause")) },
			"forget":  func(*rapid.T) { bk.Prune(func(string) bool { return false }) },
			"another": func(t *rapid.T) { bk.Begin("b", span.Draw(t, "back-off"), now) },
			"": func(t *rapid.T) {
				ph, opens := bk.Phase("a")
				if now.Before(end) && ph != backoff.Blocked {
					t.Fatalf("phase %d, %s before the end of the back-off", ph, end.Sub(now))
				}
				if ph == backoff.Blocked && !opens.After(now) {
					t.Fatalf("closed until %s ago", now.Sub(opens))
				}
				if ph == backoff.Blocked && !now.Before(end) {
					closedFor = opens.Sub(now)
				}
				if closedFor > time.Second {
					t.Fatalf("closed for %s more after the back-off, asked for %s ago", closedFor, now.Sub(asked))
				}
			},
		})
	})
}
