package gateway_test

import (
	"bufio"
	"context"
	"io"
	"net"
	"net/http"
	"net/http/httptest"
	"sync/atomic"
	"testing"
	"time"

	. "github.com/onsi/gomega"

	"github.com/silvermount/silvermount/internal/gateway"
	"github.com/silvermount/silvermount/internal/position"
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

// TestPauseIsNotSilenceOfTarget guards against healthy targets that are avoided because callers left during a pause of the process: the
// time that the target had been silent included the pause.
func TestPauseIsNotSilenceOfTarget(t *testing.T) {
	// requests is how many callers leave. It is enough for the target to be avoided, and too few for it to be ejected.
	const requests = 2
	tests := map[string]struct {
		paused time.Duration
		// wantHealthy is the number of targets, out of three, that count as healthy.
		wantHealthy int
	}{
		"process paused":        {paused: time.Minute, wantHealthy: 3},
		"process ran meanwhile": {paused: 0, wantHealthy: 2},
	}
	for name, tc := range tests {
		t.Run(name, func(t *testing.T) {
			t.Parallel()
			g := NewWithT(t)
			ck := &skippingClock{}
			ln, err := net.Listen("tcp", "127.0.0.1:0")
			g.Expect(err).NotTo(HaveOccurred())
			defer ln.Close()
			received := make(chan struct{})
			go func() {
				for {
					cn, err := ln.Accept()
					if err != nil {
						return // the listener was closed
					}
					defer cn.Close()
					if _, err := http.ReadRequest(bufio.NewReader(cn)); err != nil {
						t.Error(err)
					}
					received <- struct{}{}
				}
			}()
			gw := newGatewayWithTarget(ln.Addr().String(), routes.Route{Timeout: time.Hour, Objective: time.Second, MaxAttempts: 1})
			gw.Now = ck.Now
			var paused atomic.Int64
			gw.Paused = func() time.Duration { return time.Duration(paused.Load()) }
			ended := make(chan struct{})
			sv := httptest.NewServer(http.HandlerFunc(func(w http.ResponseWriter, r *http.Request) {
				defer func() { ended <- struct{}{} }()
				gw.ServeHTTP(w, r)
			}))
			defer sv.Close()
			for range requests {
				ctx, cancel := context.WithCancel(t.Context())
				go func() {
					<-received
					ck.pause(time.Minute)
					paused.Add(int64(tc.paused))
					cancel()
				}()
				rq, err := http.NewRequestWithContext(ctx, http.MethodGet, sv.URL, http.NoBody)
				g.Expect(err).NotTo(HaveOccurred())
				rq.Host = "example.com"
				resp, err := http.DefaultTransport.RoundTrip(rq)
				if err == nil {
					resp.Body.Close()
				}
				g.Expect(err).To(MatchError(context.Canceled))
				g.Eventually(ended).WithTimeout(waitTimeout).Should(Receive())
			}
			gw.Targets.ApplyList([]targets.Target{
				{ID: "t", Service: "s", Address: ln.Addr().String(), Slots: 1},
				{ID: "u", Service: "s", Address: "127.0.0.1:1", Slots: 1},
				{ID: "v", Service: "s", Address: "127.0.0.1:2", Slots: 1},
			}, nil, position.Position{Revision: 2}, time.Now())
			g.Expect(gw.Targets.Usable("s", targets.RequireHealthy)).To(HaveLen(tc.wantHealthy))
		})
	}
}
