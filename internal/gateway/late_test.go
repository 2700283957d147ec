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

	"github.com/silvermount/silvermount/internal/blame"
	"github.com/silvermount/silvermount/internal/budget"
	"github.com/silvermount/silvermount/internal/dispatch"
	"github.com/silvermount/silvermount/internal/gateway"
	"github.com/silvermount/silvermount/internal/reservation"
	"github.com/silvermount/silvermount/internal/routes"
	"github.com/silvermount/silvermount/internal/targets"
)

// heldBody calls a function before it is read.
type heldBody struct {
	io.ReadCloser
	hold func()
}

// Read calls the function, then reads.
func (hb *heldBody) Read(b []byte) (int, error) {
	hb.hold()
	return hb.ReadCloser.Read(b)
}

// TestInstanceHeldUpPastADeadlineStillAnswers has a process stand still until long after a request's answer was due.
func TestInstanceHeldUpPastADeadlineStillAnswers(t *testing.T) {
	const (
		head = "POST /a/ HTTP/1.1\r\nHost: example.com\r\nContent-Length: 10\r\n\r\n"
		text = "whole body"
		wait = 20 * time.Millisecond
		held = 500 * time.Millisecond
	)
	tests := map[string]struct{ first, later string }{
		"body came whole":             {head + text, ""},
		"body came while it stood":    {head, text},
		"body came in part":           {head + text[:3], ""},
		"rest came while it stood":    {head + text[:3], text[3:]},
		"body of which nothing comes": {head, ""},
	}
	for name, tc := range tests {
		t.Run(name, func(t *testing.T) {
			t.Parallel()
			g := NewWithT(t)
			gw := newWaiting(wait)
			reading := make(chan struct{}, 1)
			sv := httptest.NewServer(http.HandlerFunc(func(w http.ResponseWriter, r *http.Request) {
				r.Body = &heldBody{ReadCloser: r.Body, hold: func() {
					select {
					case reading <- struct{}{}:
					default:
					}
					time.Sleep(held)
				}}
				gw.ServeHTTP(w, r)
			}))
			defer sv.Close()
			cn, err := net.Dial("tcp", sv.Listener.Addr().String())
			g.Expect(err).NotTo(HaveOccurred())
			defer cn.Close()
			_, err = io.WriteString(cn, tc.first)
			g.Expect(err).NotTo(HaveOccurred())
			<-reading
			_, err = io.WriteString(cn, tc.later)
			g.Expect(err).NotTo(HaveOccurred())
			resp, err := http.ReadResponse(bufio.NewReader(cn), nil)
			g.Expect(err).NotTo(HaveOccurred(), "the connection ended without an answer")
			defer resp.Body.Close()
			g.Expect(resp.StatusCode).To(Equal(http.StatusServiceUnavailable), "a request that was sent nowhere has not run")
		})
	}
}

// newWaiting returns a gateway without targets whose requests may take a time.
func newWaiting(most time.Duration) *gateway.Gateway {
	hd := &routes.Holder{}
	hd.ApplyIfNewer(routes.New(routes.Config{Version: 1, Routes: []routes.Route{{
		Name: "r", Host: "example.com", PathPrefix: "/", Timeout: most, Services: []routes.WeightedService{{Service: "s", Weight: 1}},
	}}}), nil, time.Now())
	gw := newGateway(hd, discard.New())
	gw.SetLimits(gateway.Limits{MaxBodyBytes: 100})
	gw.Dispatcher = dispatch.New(targets.New(time.Now), &reservation.Manager{}, dispatch.Options{Now: time.Now})
	gw.Blame = blame.New(blame.Options{Now: time.Now, Metrics: metrics.NewSet()})
	gw.Retries = budget.NewRetries(1, time.Now)
	gw.Random = func() float64 { return 0 }
	return gw
}
