package gateway_test

import (
	"bufio"
	"io"
	"net"
	"net/http"
	"net/http/httptest"
	"sync/atomic"
	"testing"
	"time"

	. "github.com/onsi/gomega"

	"github.com/silvermount/silvermount/internal/gateway"
	"github.com/silvermount/silvermount/internal/routes"
	"github.com/silvermount/silvermount/internal/targets"
)

// skippingClock is a clock that a pause of the process moves on. Timers that were set before do not notice it.
type skippingClock struct{ skipped atomic.Int64 }

func (sc *skippingClock) Now() time.Time { return time.Now().Add(time.Duration(sc.skipped.Load())) }

func (sc *skippingClock) pause(d time.Duration) { sc.skipped.Add(int64(d)) }

// TestTargetIsNotBlamedForPause guards against healthy targets that are left out after a pause of the process. A target that breaks a run
// off at its deadline, or a connection that could not be opened before it, shows when the process goes on, and before the timer of the
// request's own deadline has fired.
func TestTargetIsNotBlamedForPause(t *testing.T) {
	const timeout = time.Hour
	const head = "HTTP/1.1 200 OK\r\nContent-Length: 100\r\n\r\n"
	tests := map[string]struct {
		streaming bool
		// response is what the target sends before it breaks off.
		response string
		// accepts is set if the target takes connections.
		accepts bool
		// wantStatus is zero if the response is broken off.
		wantStatus int
	}{
		"target breaks off before the head":   {accepts: true, wantStatus: http.StatusGatewayTimeout},
		"target breaks off a plain response":  {accepts: true, response: head + "part", wantStatus: http.StatusGatewayTimeout},
		"target breaks off a stream":          {accepts: true, streaming: true, response: head + "id: 1\ndata: x\n\n"},
		"connection to the target not opened": {wantStatus: http.StatusServiceUnavailable},
	}
	for name, tc := range tests {
		t.Run(name, func(t *testing.T) {
			t.Parallel()
			g := NewWithT(t)
			ck := &skippingClock{}
			ln, err := net.Listen("tcp", "127.0.0.1:0")
			g.Expect(err).NotTo(HaveOccurred())
			defer ln.Close()
			go func() {
				cn, err := ln.Accept()
				if err != nil {
					return // the listener was closed
				}
				defer cn.Close()
				if _, err := http.ReadRequest(bufio.NewReader(cn)); err != nil {
					t.Error(err)
				}
				_, _ = io.WriteString(cn, tc.response) // the response below shows whether it arrived
				ck.pause(2 * timeout)
			}()
			gw := newGatewayWithTarget(ln.Addr().String(), routes.Route{Timeout: timeout, Objective: timeout, Streaming: tc.streaming, MaxAttempts: 1})
			gw.Now = ck.Now
			if !tc.accepts {
				ln.Close()
				gw.Protocol.WriteAttempt = func(http.Header, gateway.Attempt) { ck.pause(2 * timeout) }
			}
			sv := httptest.NewServer(gw)
			defer sv.Close()
			rq, err := http.NewRequestWithContext(t.Context(), http.MethodGet, sv.URL, http.NoBody)
			g.Expect(err).NotTo(HaveOccurred())
			rq.Host = "example.com"
			resp, err := http.DefaultTransport.RoundTrip(rq)
			g.Expect(err).NotTo(HaveOccurred())
			defer resp.Body.Close()
			if tc.wantStatus == 0 {
				_, err := io.ReadAll(resp.Body)
				g.Expect(err).To(HaveOccurred())
			} else {
				g.Expect(resp.StatusCode).To(Equal(tc.wantStatus))
			}
			g.Expect(gw.Metrics.GetOrCreateCounter("silvermount_attempts_failed_total").Get()).To(BeZero())
			g.Expect(gw.Targets.Connectivity("t").ConnectFailures).To(BeZero())
			g.Expect(gw.Targets.Usable("s", targets.RequireHealthy)).To(HaveLen(1))
		})
	}
}
