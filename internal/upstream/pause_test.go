package upstream

import (
	"bufio"
	"context"
	"io"
	"net"
	"net/http"
	"strings"
	"sync/atomic"
	"testing"
	"time"

	"github.com/VictoriaMetrics/metrics"
	"github.com/cockroachdb/errors"
	. "github.com/onsi/gomega"

	"github.com/silvermount/silvermount/internal/pauseclock"
)

// pausedContext is a context that ends late, as if its deadline had passed during a pause of the process.
type pausedContext struct {
	context.Context
	late time.Duration
}

// Deadline returns a time that lies before the end of the context by late.
func (pc pausedContext) Deadline() (time.Time, bool) {
	if pc.Context.Err() == nil {
		return time.Now().Add(time.Hour), true
	}
	return time.Now().Add(-pc.late), true
}

// Err returns context.DeadlineExceeded once the context has ended.
func (pc pausedContext) Err() error {
	if pc.Context.Err() == nil {
		return nil
	}
	return context.DeadlineExceeded
}

// serveOnce starts a target that reads a request and then calls respond with its connection.
func serveOnce(t *testing.T, respond func(nc net.Conn)) (address string) {
	t.Helper()
	ln, err := net.Listen("tcp", "127.0.0.1:0")
	NewWithT(t).Expect(err).NotTo(HaveOccurred())
	t.Cleanup(func() { _ = ln.Close() })
	go func() {
		nc, err := ln.Accept()
		if err != nil {
			return // no connection was opened
		}
		defer nc.Close()
		if _, err := http.ReadRequest(bufio.NewReader(nc)); err == nil {
			respond(nc)
		}
	}()
	return ln.Addr().String()
}

// TestAnswerToRequestSentAfterPauseIsReturned guards against requests that run although their caller is told that the time is over. The
// process was paused after its last check of the deadline: the bytes of the request left it afterwards, when the deadline had long passed.
func TestAnswerToRequestSentAfterPauseIsReturned(t *testing.T) {
	tests := map[string]struct {
		// late is how long after the deadline the context ends, paused how long the process was paused during the call.
		late, paused time.Duration
		wantAnswer   bool
	}{
		"deadline passed during a pause":          {late: 2 * pauseclock.MinPause, wantAnswer: true},
		"deadline passed right after a pause":     {paused: time.Second, wantAnswer: true},
		"deadline passed while the process ran":   {late: 0},
		"deadline passed while the timer was due": {late: pauseclock.MinPause / 2},
	}
	for name, tc := range tests {
		t.Run(name, func(t *testing.T) {
			t.Parallel()
			g := NewWithT(t)
			const answer = "HTTP/1.1 200 OK\r\nContent-Length: 2\r\n\r\n"
			ended, cancel := context.WithCancel(t.Context())
			defer cancel()
			ctx := pausedContext{Context: ended, late: tc.late}
			var paused atomic.Int64
			handled := make(chan struct{})
			address := serveOnce(t, func(nc net.Conn) {
				paused.Store(int64(tc.paused))
				cancel()
				<-handled
				_, _ = io.WriteString(nc, answer+"ok") // fails if the call was given up
			})
			pl := NewPool(time.Now, metrics.NewSet(), time.Minute, WithPaused(func() time.Duration { return time.Duration(paused.Load()) }))
			pl.finalReadSteps = int64(time.Minute / finalReadStep)
			ca := Call{Address: address, Method: http.MethodPost, RequestURI: "/", Host: "h", Header: http.Header{}, NewConnection: true}
			ca.OnSend = func(func() bool) {
				// It is registered after the pool's own function. Both run in goroutines, and the pool's needs no lock.
				context.AfterFunc(ctx, func() { time.Sleep(finalReadStep); close(handled) })
			}
			rs, err := pl.Do(ctx, ca)
			if !tc.wantAnswer {
				var ee *ExchangeError
				g.Expect(errors.As(err, &ee)).To(BeTrue())
				g.Expect(ee.Sent).To(BeTrue())
				return
			}
			g.Expect(err).NotTo(HaveOccurred())
			defer rs.Close()
			g.Expect(io.ReadAll(rs.Body)).To(BeEquivalentTo("ok"))
		})
	}
}

// TestPauseDuringFinalReadLosesNothing guards against answers that are lost because the process is paused once more, while it reads a
// response after its deadline.
func TestPauseDuringFinalReadLosesNothing(t *testing.T) {
	g := NewWithT(t)
	local, remote := net.Pipe()
	defer remote.Close()
	cn := newConn(local, func() {})
	defer cn.closeIgnoringError()
	cn.finalSteps.Store(2)
	g.Expect(cn.SetReadDeadline(time.Now().Add(-time.Minute))).To(Succeed())
	go func() { _, _ = io.WriteString(remote, "answer") }() // the read below checks the result
	b := make([]byte, len("answer"))
	g.Expect(io.ReadFull(cn, b)).To(Equal(len(b)))
	g.Expect(string(b)).To(Equal("answer"))
}

// TestRequestIsNotSentAfterItsDeadline guards against requests whose outcome is reported as unknown although nothing of them was sent,
// and against requests that are sent after a deadline which passed during the checks before.
func TestRequestIsNotSentAfterItsDeadline(t *testing.T) {
	tests := map[string]func(ca *Call, endAndWait func()){
		"deadline passes in the last check": func(ca *Call, endAndWait func()) {
			ca.BeforeSend = func() error { endAndWait(); return nil }
		},
		"deadline passes before the write": func(ca *Call, endAndWait func()) {
			ca.OnSend = func(func() bool) { endAndWait() }
		},
	}
	for name, hook := range tests {
		t.Run(name, func(t *testing.T) {
			t.Parallel()
			g := NewWithT(t)
			received := make(chan struct{}, 1)
			address := serveOnce(t, func(net.Conn) { received <- struct{}{} })
			ended, cancel := context.WithCancel(t.Context())
			defer cancel()
			ctx := pausedContext{Context: ended, late: time.Minute}
			pl := NewPool(time.Now, metrics.NewSet(), time.Minute)
			ca := Call{Address: address, Method: http.MethodPost, RequestURI: "/", Host: "h", Header: http.Header{}, Body: []byte(strings.Repeat("x", 1<<20))}
			hook(&ca, func() {
				done := make(chan struct{})
				context.AfterFunc(ctx, func() { close(done) })
				cancel()
				<-done
			})
			_, err := pl.Do(ctx, ca)
			var ee *ExchangeError
			g.Expect(errors.As(err, &ee)).To(BeTrue())
			g.Expect(ee.Sent).To(BeFalse(), "nothing was sent, so that the caller may send the request again")
			g.Consistently(received, finalReadStep).ShouldNot(Receive())
		})
	}
}
