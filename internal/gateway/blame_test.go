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

	"github.com/silvermount/silvermount/internal/blame"
	"github.com/silvermount/silvermount/internal/fingerprint"
)

// TestRequestOnTrialWaitsOrIsRefused sends a request that may end its targets, with and without the time to wait for its next trial.
func TestRequestOnTrialWaitsOrIsRefused(t *testing.T) {
	tests := map[string]struct {
		most     time.Duration
		doubtful bool
		// want are the lines about the request; waits is the least time until it is refused for want of a target.
		want  []string
		waits time.Duration
	}{
		"time enough":  {5 * time.Second, true, []string{"request held back", "request refused"}, 900 * time.Millisecond},
		"too late":     {500 * time.Millisecond, true, []string{"request refused"}, 0},
		"nothing held": {5 * time.Second, false, []string{"request refused"}, 0},
	}
	for name, tc := range tests {
		t.Run(name, func(t *testing.T) {
			t.Parallel()
			g := NewWithT(t)
			h := memory.New()
			gw := newWaiting(tc.most)
			gw.Log = &log.Logger{Handler: h}
			gw.Blame = blame.New(blame.Options{
				Now: time.Now, TargetCount: func() int { return 12 }, Crashed: func(string) bool { return false }, NotifyPeers: func() {},
				Metrics: metrics.NewSet(), Log: gw.Log,
			})
			fp := fingerprint.Of(fingerprint.Request{Method: http.MethodGet, Host: "example.com", RequestURI: "/a/"})
			if tc.doubtful {
				doubt(gw.Blame, fp)
			}
			began := time.Now()
			rec := httptest.NewRecorder()
			gw.ServeHTTP(rec, httptest.NewRequest(http.MethodGet, "/a/", http.NoBody))
			g.Expect(rec.Code).To(Equal(http.StatusServiceUnavailable), rec.Body.String())
			g.Expect(rec.Header().Get("Retry-After")).NotTo(BeEmpty())
			var said []string
			for _, e := range h.Entries {
				if e.Fields["request"] != nil {
					said = append(said, e.Message)
				}
			}
			g.Expect(said).To(Equal(tc.want))
			g.Expect(time.Since(began)).To(BeNumerically(">=", tc.waits))
		})
	}
}

// doubt lets three targets end under a request, and as many others by themselves as leave its part in that open.
func doubt(ld *blame.Tracker, fp fingerprint.Fingerprint) {
	for no := range 12 {
		ld.RecordCrash(fmt.Sprint("other-", no))
	}
	for no := range 3 {
		target := fmt.Sprint("target-", no)
		ld.RecordInterrupted(blame.InterruptedRun{Request: fp, Incarnation: target, Elapsed: 100 * time.Millisecond, At: time.Now()})
		ld.RecordCrash(target)
	}
}
