package gateway_test

import (
	"bufio"
	"io"
	"net"
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

// generous bounds each wait; it is long so that a busy machine passes.
const generous = 30 * time.Second

// TestBodyThatStillComesAtTheEndIsRefused ends the gateway while half of a body has come.
func TestBodyThatStillComesAtTheEndIsRefused(t *testing.T) {
	g := NewWithT(t)
	hd := &routes.Holder{}
	ct := routes.Config{Version: 1, Routes: []routes.Route{{
		Name: "r", Host: "example.com", PathPrefix: "/", Timeout: generous, Services: []routes.WeightedService{{Service: "s", Weight: 1}},
	}}}
	hd.ApplyIfNewer(routes.New(ct), nil, time.Now())
	gw := newGateway(hd, discard.New())
	gw.SetLimits(gateway.Limits{MaxBodyBytes: 100})
	sv := httptest.NewServer(gw)
	defer sv.Close()
	cn, err := net.Dial("tcp", sv.Listener.Addr().String())
	g.Expect(err).NotTo(HaveOccurred())
	defer cn.Close()
	_, err = io.WriteString(cn, "POST /a/ HTTP/1.1\r\nHost: example.com\r\nContent-Length: 10\r\n\r\nhalf")
	g.Expect(err).NotTo(HaveOccurred())
	g.Eventually(gw.InFlight, generous).Should(Equal(gateway.InFlight{Waiting: 1}))
	gw.End()
	resp, err := http.ReadResponse(bufio.NewReader(cn), nil)
	g.Expect(err).NotTo(HaveOccurred())
	defer resp.Body.Close()
	g.Expect(resp.StatusCode).To(Equal(http.StatusServiceUnavailable))
	g.Expect(resp.Header.Get("Retry-After")).To(Equal("0.05"))
}
