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
	"github.com/apex/log/handlers/discard"
	. "github.com/onsi/gomega"

	"github.com/silvermount/silvermount/internal/dispatch"
	"github.com/silvermount/silvermount/internal/gateway"
	"github.com/silvermount/silvermount/internal/quarantine"
	"github.com/silvermount/silvermount/internal/reservation"
	"github.com/silvermount/silvermount/internal/routes"
	"github.com/silvermount/silvermount/internal/targets"
)

// stallingBody is a body that calls a function before each read.
type stallingBody struct {
	io.ReadCloser
	stall func()
}

// Read calls the function and then reads.
func (sb *stallingBody) Read(b []byte) (int, error) {
	sb.stall()
	return sb.ReadCloser.Read(b)
}

// TestInstanceStalledPastDeadlineStillResponds stalls the process while it reads a body, until long after the deadline of the
// request.
func TestInstanceStalledPastDeadlineStillResponds(t *testing.T) {
	const (
		head          = "POST /a/ HTTP/1.1\r\nHost: example.com\r\nContent-Length: 10\r\n\r\n"
		body          = "whole body"
		timeout       = 20 * time.Millisecond
		stallDuration = 500 * time.Millisecond
	)
	tests := map[string]struct{ before, during string }{
		"complete body before the stall":                    {head + body, ""},
		"body during the stall":                             {head, body},
		"part of the body before the stall, no rest":        {head + body[:3], ""},
		"part of the body before the stall, rest during it": {head + body[:3], body[3:]},
		"no part of the body":                               {head, ""},
	}
	for name, tc := range tests {
		t.Run(name, func(t *testing.T) {
			t.Parallel()
			g := NewWithT(t)
			gw := newGatewayWithoutTargets(timeout)
			reading := make(chan struct{}, 1)
			sv := httptest.NewServer(http.HandlerFunc(func(w http.ResponseWriter, r *http.Request) {
				r.Body = &stallingBody{ReadCloser: r.Body, stall: func() {
					select {
					case reading <- struct{}{}:
					default:
					}
					time.Sleep(stallDuration)
				}}
				gw.ServeHTTP(w, r)
			}))
			defer sv.Close()
			cn, err := net.Dial("tcp", sv.Listener.Addr().String())
			g.Expect(err).NotTo(HaveOccurred())
			defer cn.Close()
			_, err = io.WriteString(cn, tc.before)
			g.Expect(err).NotTo(HaveOccurred())
			<-reading
			_, err = io.WriteString(cn, tc.during)
			g.Expect(err).NotTo(HaveOccurred())
			resp, err := http.ReadResponse(bufio.NewReader(cn), nil)
			g.Expect(err).NotTo(HaveOccurred(), "the connection was closed without a response")
			defer resp.Body.Close()
			g.Expect(resp.StatusCode).To(Equal(http.StatusServiceUnavailable), "a request that was sent to no target has not run")
		})
	}
}

// newGatewayWithoutTargets returns a gateway without targets whose route has the given timeout.
func newGatewayWithoutTargets(timeout time.Duration) *gateway.Gateway {
	hd := &routes.Holder{}
	hd.ApplyIfNewer(routes.New(routes.Config{Version: 1, Routes: []routes.Route{{
		Name: "r", Host: "example.com", PathPrefix: "/", Timeout: timeout, Services: []routes.WeightedService{{Service: "s", Weight: 1}},
	}}}), nil, time.Now())
	gw := newGateway(hd, discard.New())
	gw.SetLimits(gateway.Limits{MaxBodyBytes: 100})
	gw.Dispatcher = dispatch.New(targets.New(time.Now), &reservation.Manager{}, dispatch.Options{Now: time.Now})
	gw.Quarantine = quarantine.New(quarantine.Options{Now: time.Now, Metrics: metrics.NewSet()})
	gw.RetryBudget = newRetryBudget()
	gw.Random = func() float64 { return 0 }
	return gw
}
