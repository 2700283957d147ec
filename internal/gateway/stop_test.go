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

// TestNewRequestIsRefusedLateInShutdown sends requests before and after the gateway starts to refuse new ones.
func TestNewRequestIsRefusedLateInShutdown(t *testing.T) {
	g := NewWithT(t)
	gw := gateway.New(gateway.Deps{
		Protocol: gateway.Protocol{
			ReadRequest: func(*http.Request) (gateway.RequestInfo, error) { return gateway.RequestInfo{RequestID: "1"}, nil },
		},
		Routes: &routes.Holder{}, BodyMemory: budget.NewMemory(0), Metrics: metrics.NewSet(),
		Log: &log.Logger{Handler: discard.New()}, Now: time.Now, Paths: workingPaths(), PeersHeardAge: func() (time.Duration, bool) { return 0, false }, Stopping: func() bool { return true },
	}, gateway.Limits{})
	send := func() *httptest.ResponseRecorder {
		rec := httptest.NewRecorder()
		gw.ServeHTTP(rec, httptest.NewRequest(http.MethodGet, "/a/", http.NoBody))
		return rec
	}
	g.Expect(send().Body.String()).To(HavePrefix("not_ready"))
	gw.RefuseNewRequests()
	rec := send()
	g.Expect(rec.Code).To(Equal(http.StatusServiceUnavailable))
	g.Expect(rec.Body.String()).To(HavePrefix("stopping"))
	g.Expect(rec.Header().Get("Retry-After")).To(Equal("0.05"))
	g.Expect(rec.Header().Get("Connection")).To(Equal("close"))
}

// waitTimeout is the maximum duration of each wait. It is long, so that the tests pass on a busy machine.
const waitTimeout = 30 * time.Second

// TestRequestWithIncompleteBodyIsRefusedOnAbort aborts requests after half of a body was received.
func TestRequestWithIncompleteBodyIsRefusedOnAbort(t *testing.T) {
	g := NewWithT(t)
	hd := &routes.Holder{}
	ct := routes.Config{Version: 1, Routes: []routes.Route{{
		Name: "r", Host: "example.com", PathPrefix: "/", Timeout: waitTimeout, Services: []routes.WeightedService{{Service: "s", Weight: 1}},
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
	g.Eventually(gw.InFlight, waitTimeout).Should(Equal(gateway.InFlight{Waiting: 1}))
	gw.AbortRequests()
	resp, err := http.ReadResponse(bufio.NewReader(cn), nil)
	g.Expect(err).NotTo(HaveOccurred())
	defer resp.Body.Close()
	g.Expect(resp.StatusCode).To(Equal(http.StatusServiceUnavailable))
	g.Expect(resp.Header.Get("Retry-After")).To(Equal("0.05"))
}
