package permit_test

import (
	"context"
	"testing"
	"time"

	"github.com/VictoriaMetrics/metrics"
	. "github.com/onsi/gomega"

	"github.com/silvermount/silvermount/internal/permit"
	"github.com/silvermount/silvermount/internal/ratelimit"
	"github.com/silvermount/silvermount/internal/targets"
)

// TestLocalDecisionReplacesOnlyAMissingAnswer guards against requests that pass a limit although its issuer refused them, and against a target
// that gets nothing while its issuer is lost although this instance may decide.
func TestLocalDecisionReplacesOnlyAMissingAnswer(t *testing.T) {
	granted := func(string) (permit.Decision, bool) { return permit.Decision{Granted: true}, true }
	refused := func(string) (permit.Decision, bool) { return permit.Decision{Delay: time.Second}, true }
	none := func(string) (permit.Decision, bool) { return permit.Decision{Granted: true}, false }
	tests := map[string]struct {
		local    func(string) (permit.Decision, bool)
		answers  bool
		want     bool
		wantWait bool
	}{
		"issuer refuses":             {granted, true, false, true},
		"no answer, granted here":    {granted, false, true, false},
		"no answer, refused here":    {refused, false, false, true},
		"no answer, only the issuer": {none, false, false, true},
	}
	for name, tc := range tests {
		t.Run(name, func(t *testing.T) {
			g := NewWithT(t)
			cl := permit.NewClient(time.Now, func(string) ratelimit.Limit { return ratelimit.PerSecond(1) }, metrics.NewSet(), permit.WithLocal(tc.local))
			if tc.answers {
				cl.SetRequestFunc(func(context.Context, permit.Request) (permit.Decision, error) {
					return permit.Decision{Delay: time.Minute}, nil
				})
			}
			g.Expect(cl.Acquire(t.Context(), targets.Target{ID: "a"}, 0).Granted).To(Equal(tc.want))
			_, blocked := cl.BlockedUntil("a")
			g.Expect(blocked).To(Equal(tc.wantWait))
		})
	}
}
