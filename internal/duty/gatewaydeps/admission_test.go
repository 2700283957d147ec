package gatewaydeps

import (
	"bytes"
	"testing"
	"time"

	"github.com/VictoriaMetrics/metrics"
	"github.com/apex/log"
	"github.com/apex/log/handlers/memory"
	. "github.com/onsi/gomega"

	"github.com/silvermount/silvermount/internal/completion"
	"github.com/silvermount/silvermount/internal/dispatch"
)

// TestAdmissionReporter guards against a decision that leaves no line, or one without its inputs.
func TestAdmissionReporter(t *testing.T) {
	tests := map[string]struct {
		outcome completion.Outcome
		message string
		field   string
		counted bool
	}{
		"refused":     {completion.Refuse, "prompt refused by admission", "retry_after", true},
		"waits":       {completion.Wait, "prompt waits for capacity", "wait_bound", false},
		"placed late": {completion.Place, "prompt placed although late", "predicted", false},
	}
	for name, tc := range tests {
		t.Run(name, func(t *testing.T) {
			g := NewWithT(t)
			hd, ms := memory.New(), metrics.NewSet()
			report := admissionReporter(&log.Logger{Handler: hd, Level: log.InfoLevel}, ms)
			report(dispatch.AdmissionDecision{
				Request: "r", Outcome: tc.outcome, Reason: completion.LatePause, Predicted: time.Second, Error: completion.Quantiles{P50: 1.1, P90: 2.9},
			})
			g.Expect(hd.Entries).To(HaveLen(1))
			g.Expect(hd.Entries[0].Message).To(Equal(tc.message))
			for _, field := range []string{tc.field, "request", "kind", "why", "predicted", "error_p50", "error_p90", "slots_in_use", "slots", "due"} {
				g.Expect(hd.Entries[0].Fields).To(HaveKey(field))
			}
			var text bytes.Buffer
			ms.WritePrometheus(&text)
			g.Expect(text.String() != "").To(Equal(tc.counted))
		})
	}
}
