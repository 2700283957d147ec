package gateway_test

import (
	"net/http"
	"net/http/httptest"
	"testing"
	"time"

	"github.com/VictoriaMetrics/metrics"
	"github.com/apex/log"
	"github.com/apex/log/handlers/discard"
	. "github.com/onsi/gomega"

	"github.com/silvermount/silvermount/internal/budget"
	"github.com/silvermount/silvermount/internal/gateway"
	"github.com/silvermount/silvermount/internal/routes"
)

// TestRequestLateInAStopIsRefused takes requests until the gateway is told not to.
func TestRequestLateInAStopIsRefused(t *testing.T) {
	g := NewWithT(t)
	gw := gateway.New(gateway.Deps{
		Protocol: gateway.Protocol{Read: func(*http.Request) (gateway.Facts, error) { return gateway.Facts{RequestID: "1"}, nil }},
		Routes:   &routes.Holder{}, Bodies: budget.NewMemory(0), Metrics: metrics.NewSet(),
		Log: &log.Logger{Handler: discard.New()}, Now: time.Now, Stopping: func() bool { return true },
	}, gateway.Limits{})
	send := func() *httptest.ResponseRecorder {
		rec := httptest.NewRecorder()
		gw.ServeHTTP(rec, httptest.NewRequest(http.MethodGet, "/a/", http.NoBody))
		return rec
	}
	g.Expect(send().Body.String()).To(HavePrefix("not_ready"))
	gw.StopTaking()
	rec := send()
	g.Expect(rec.Code).To(Equal(http.StatusServiceUnavailable))
	g.Expect(rec.Body.String()).To(HavePrefix("stopping"))
	g.Expect(rec.Header().Get("Retry-After")).To(Equal("0.05"))
	g.Expect(rec.Header().Get("Connection")).To(Equal("close"))
}
