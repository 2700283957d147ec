package gateway_test

import (
	"fmt"
	"net/http"
	"net/http/httptest"
	"testing"
	"time"

	"github.com/VictoriaMetrics/metrics"
	"github.com/apex/log"
	"github.com/apex/log/handlers/memory"
	. "github.com/onsi/gomega"

	"github.com/silvermount/silvermount/internal/fingerprint"
	"github.com/silvermount/silvermount/internal/quarantine"
)

// TestRequestOnProbationIsDelayedOrRefused sends a request under evidence whose deadline allows or does not allow it to wait for
// its next probe.
func TestRequestOnProbationIsDelayedOrRefused(t *testing.T) {
	tests := map[string]struct {
		timeout  time.Duration
		evidence bool
		// want holds the log messages about the request. minWait is the minimum time until it is refused because there is no
		// target.
		want    []string
		minWait time.Duration
	}{
		"deadline after the next probe": {
			5 * time.Second, true, []string{"request delayed after crashes of its targets", "request refused"}, 900 * time.Millisecond,
		},
		"deadline before the next probe": {500 * time.Millisecond, true, []string{"request refused"}, 0},
		"no evidence":                    {5 * time.Second, false, []string{"request refused"}, 0},
	}
	for name, tc := range tests {
		t.Run(name, func(t *testing.T) {
			t.Parallel()
			g := NewWithT(t)
			h := memory.New()
			gw := newGatewayWithoutTargets(tc.timeout)
			gw.Log = &log.Logger{Handler: h}
			gw.Quarantine = quarantine.New(quarantine.Options{
				Now: time.Now, TargetCount: func() int { return 12 }, Crashed: func(string) bool { return false }, NotifyPeers: func() {},
				Metrics: metrics.NewSet(), Log: gw.Log,
			})
			fp := fingerprint.Of(fingerprint.Request{Method: http.MethodGet, Host: "example.com", RequestURI: "/a/"})
			if tc.evidence {
				addEvidence(gw.Quarantine, fp)
			}
			startedAt := time.Now()
			rec := httptest.NewRecorder()
			gw.ServeHTTP(rec, httptest.NewRequest(http.MethodGet, "/a/", http.NoBody))
			g.Expect(rec.Code).To(Equal(http.StatusServiceUnavailable), rec.Body.String())
			g.Expect(rec.Header().Get("Retry-After")).NotTo(BeEmpty())
			var messages []string
			for _, e := range h.Entries {
				if e.Fields["request"] != nil {
					messages = append(messages, e.Message)
				}
			}
			g.Expect(messages).To(Equal(tc.want))
			g.Expect(time.Since(startedAt)).To(BeNumerically(">=", tc.minWait))
		})
	}
}

// addEvidence records that three targets crashed while running a request, and that twelve others crashed without running it. So
// many crashes leave open whether the request caused the three.
func addEvidence(tr *quarantine.Tracker, fp fingerprint.Fingerprint) {
	for i := range 12 {
		tr.RecordCrash(fmt.Sprint("other-", i))
	}
	for i := range 3 {
		target := fmt.Sprint("target-", i)
		tr.RecordInterrupted(quarantine.InterruptedRun{
			Fingerprints: []fingerprint.Fingerprint{fp}, Incarnation: target, Elapsed: 100 * time.Millisecond, At: time.Now(),
		})
		tr.RecordCrash(target)
	}
}
