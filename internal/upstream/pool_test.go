package upstream_test

import (
	"bufio"
	"context"
	"fmt"
	"io"
	"net"
	"net/http"
	"strconv"
	"sync"
	"testing"
	"time"

	"github.com/cockroachdb/errors"
	. "github.com/onsi/gomega"

	"github.com/silvermount/silvermount/internal/upstream"
)

func TestConnectionReuse(t *testing.T) {
	const idleTimeout = 4 * time.Second
	tests := map[string]struct {
		respond    func(net.Conn, *http.Request, string) bool
		idleFor    time.Duration
		atMostOnce bool
		reused     bool
	}{
		"not idle":                                   {echo, 0, false, true},
		"just below the default idle timeout":        {echo, idleTimeout - time.Millisecond, false, true},
		"at the default idle timeout":                {echo, idleTimeout, false, false},
		"at most once, not idle":                     {echo, 0, true, false},
		"at most once, idle for 900 ms":              {echo, 900 * time.Millisecond, true, false},
		"at most once, idle for 1 s":                 {echo, time.Second, true, false},
		"within an announced keep-alive timeout":     {withHeaders("Keep-Alive: timeout=9"), 8 * time.Second, false, true},
		"at an announced keep-alive timeout":         {withHeaders("Keep-Alive: max=5, timeout=9"), 9 * time.Second, false, false},
		"within the margin of an announced timeout":  {withHeaders("Keep-Alive: timeout=1"), 900 * time.Millisecond, false, false},
		"at most once, within an announced timeout":  {withHeaders("Keep-Alive: timeout=9"), 2 * time.Second, true, false},
		"target announces closing of the connection": {withHeaders("Connection: close"), 0, false, false},
	}
	for name, tc := range tests {
		t.Run(name, func(t *testing.T) {
			fx := newFixture(t)
			tg := startFakeTarget(t, tc.respond)
			ca := call(tg.address(), "/1")
			ca.NewConnection = tc.atMostOnce
			fx.Expect(fx.do(ca)).To(Equal("/1"))
			fx.clock.advance(tc.idleFor)
			ca = call(tg.address(), "/2")
			ca.NewConnection = tc.atMostOnce
			fx.Expect(fx.do(ca)).To(Equal("/2"))
			want := 2
			if tc.reused {
				want = 1
			}
			fx.Expect(tg.connsOpened()).To(Equal(want))
			fx.Expect(tg.requests()).To(Equal([]string{"/1", "/2"}))
		})
	}
}

func TestClosedOrUnexpectedlyReadableConnectionIsNotReused(t *testing.T) {
	tests := map[string]func(nc net.Conn){
		"closed":              func(nc net.Conn) { nc.Close() },
		"unexpected response": func(nc net.Conn) { writeResponse(nc, "/2", "surplus") },
		"one unexpected byte": func(nc net.Conn) { fmt.Fprint(nc, "\n") },
		"reset": func(nc net.Conn) {
			_ = nc.(*net.TCPConn).SetLinger(0) // if this fails, the connection closes without a reset, which also suits the test
			nc.Close()
		},
	}
	for name, disturb := range tests {
		t.Run(name, func(t *testing.T) {
			fx := newFixture(t)
			tg := startFakeTarget(t, echo)
			fx.Expect(fx.do(call(tg.address(), "/1"))).To(Equal("/1"))
			disturb(tg.lastConn())
			fx.awaitDelivery(tg, name)
			fx.Expect(fx.do(call(tg.address(), "/2"))).To(Equal("/2"))
			fx.Expect(tg.connsOpened()).To(Equal(2))
			fx.Expect(tg.requests()).To(Equal([]string{"/1", "/2"}))
		})
	}
}

// awaitDelivery waits until what was sent on an idle connection has arrived. It does one exchange over another connection of
// the loopback device, which delivers it after the earlier data.
func (fx *fixture) awaitDelivery(tg *fakeTarget, name string) {
	nc, err := net.Dial("tcp", tg.address())
	fx.Expect(err).NotTo(HaveOccurred())
	defer nc.Close()
	tg.mu.Lock()
	tg.opened--
	tg.mu.Unlock()
	fmt.Fprintf(nc, "GET /settle HTTP/1.1\r\nHost: h\r\n%s: %s\r\n\r\n", headerRequestID, name)
	_, err = http.ReadResponse(bufio.NewReader(nc), nil)
	fx.Expect(err).NotTo(HaveOccurred())
	tg.mu.Lock()
	tg.seen = tg.seen[:len(tg.seen)-1]
	tg.mu.Unlock()
}

func TestIdleConnectionsAreLimited(t *testing.T) {
	const maxIdle, calls = 8, 12
	fx := newFixture(t)
	tg := startFakeTarget(t, echo)
	var responses []*upstream.Response
	for i := range calls {
		rs, err := fx.pool.Do(t.Context(), call(tg.address(), "/"+strconv.Itoa(i)))
		fx.Expect(err).NotTo(HaveOccurred())
		responses = append(responses, rs)
	}
	fx.Expect(fx.pool.OpenCount(tg.address())).To(Equal(calls))
	for _, rs := range responses {
		_, err := io.Copy(io.Discard, rs.Body)
		fx.Expect(err).NotTo(HaveOccurred())
		rs.MarkComplete()
		rs.Close()
	}
	fx.Expect(fx.pool.OpenCount(tg.address())).To(Equal(maxIdle))
	fx.pool.EvictExpired()
	fx.Expect(fx.pool.OpenCount(tg.address())).To(Equal(maxIdle))
	fx.clock.advance(4 * time.Second)
	fx.pool.EvictExpired()
	fx.Expect(fx.pool.OpenCount(tg.address())).To(BeZero())
}

func TestUnmatchedResponsesAreSkipped(t *testing.T) {
	var mu sync.Mutex
	var unmatchedIDs []string
	fx := newFixture(t)
	tg := startFakeTarget(t, func(nc net.Conn, rq *http.Request, _ string) bool {
		mu.Lock()
		defer mu.Unlock()
		for _, id := range unmatchedIDs {
			writeResponse(nc, id, "of another")
		}
		return echo(nc, rq, "")
	})
	fx.Expect(fx.do(call(tg.address(), "/1"))).To(Equal("/1"))
	mu.Lock()
	unmatchedIDs = []string{"/0", "/1"}
	mu.Unlock()
	fx.Expect(fx.do(call(tg.address(), "/2"))).To(Equal("/2"))
	mu.Lock()
	unmatchedIDs = []string{"/0", "/1", "/0"}
	mu.Unlock()
	_, err := fx.pool.Do(t.Context(), call(tg.address(), "/3"))
	var ue *upstream.UnmatchedResponseError
	fx.Expect(errors.As(err, &ue)).To(BeTrue())
	var ee *upstream.ExchangeError
	fx.Expect(errors.As(err, &ee)).To(BeTrue())
	fx.Expect(ee.Sent).To(BeTrue())
	fx.Expect(fx.pool.OpenCount(tg.address())).To(BeZero())
}

func TestExchangeErrorReportsWhetherRequestWasSent(t *testing.T) {
	tests := map[string]struct {
		call func(tg *fakeTarget) upstream.Call
		sent bool
	}{
		"connection refused": {func(tg *fakeTarget) upstream.Call {
			tg.listener.Close()
			return call(tg.address(), "/1")
		}, false},
		"closed without a response": {func(tg *fakeTarget) upstream.Call { return call(tg.address(), "/1") }, true},
	}
	for name, tc := range tests {
		t.Run(name, func(t *testing.T) {
			fx := newFixture(t)
			tg := startFakeTarget(t, func(net.Conn, *http.Request, string) bool { return false })
			_, err := fx.pool.Do(t.Context(), tc.call(tg))
			var ee *upstream.ExchangeError
			fx.Expect(errors.As(err, &ee)).To(BeTrue())
			fx.Expect(ee.Sent).To(Equal(tc.sent))
			fx.Expect(fx.pool.OpenCount(tg.address())).To(BeZero())
		})
	}
}

func TestFailedRequestIsNotResent(t *testing.T) {
	fx := newFixture(t)
	tg := startFakeTarget(t, func(nc net.Conn, rq *http.Request, body string) bool {
		return rq.RequestURI == "/1" && echo(nc, rq, body)
	})
	fx.Expect(fx.do(call(tg.address(), "/1"))).To(Equal("/1"))
	_, err := fx.pool.Do(t.Context(), call(tg.address(), "/2"))
	fx.Expect(err).To(HaveOccurred())
	fx.Expect(tg.requests()).To(Equal([]string{"/1", "/2"}))
	fx.Expect(tg.connsOpened()).To(Equal(1))
}

func TestCancelClosesConnection(t *testing.T) {
	fx := newFixture(t)
	closed := make(chan struct{})
	tg := startFakeTarget(t, func(nc net.Conn, _ *http.Request, _ string) bool {
		_, _ = io.Copy(io.Discard, nc) // returns once the connection ends, with or without an error
		close(closed)
		return false
	})
	ctx, cancel := context.WithCancel(t.Context())
	go func() {
		fx.Eventually(tg.requests).WithTimeout(testTimeout).Should(HaveLen(1))
		cancel()
	}()
	_, err := fx.pool.Do(ctx, call(tg.address(), "/1"))
	fx.Expect(err).To(HaveOccurred())
	fx.Eventually(closed).WithTimeout(testTimeout).Should(BeClosed())
	fx.Expect(fx.pool.OpenCount(tg.address())).To(BeZero())
}

func TestIncompleteResponseClosesConnection(t *testing.T) {
	fx := newFixture(t)
	tg := startFakeTarget(t, echo)
	rs, err := fx.pool.Do(t.Context(), call(tg.address(), "/1"))
	fx.Expect(err).NotTo(HaveOccurred())
	rs.Close()
	fx.Expect(fx.pool.OpenCount(tg.address())).To(BeZero())
}

func TestRequestLineIsPreserved(t *testing.T) {
	for _, path := range []string{"/a%2Fb?x=1&y=%20", "/", "/a//b", "//a/b", "/a;b?c=d?e", "/%7Euser"} {
		t.Run(path, func(t *testing.T) {
			fx := newFixture(t)
			tg := startFakeTarget(t, echo)
			fx.Expect(fx.do(call(tg.address(), path))).To(Equal(path))
		})
	}
}

// closeOnReuse answers the first request on each connection. At the second it writes partial, which may be empty, and closes
// the connection.
func closeOnReuse(partial string) func(net.Conn, *http.Request, string) bool {
	var mu sync.Mutex
	served := map[net.Conn]bool{}
	return func(nc net.Conn, rq *http.Request, body string) bool {
		mu.Lock()
		reused := served[nc]
		served[nc] = true
		mu.Unlock()
		if !reused {
			return echo(nc, rq, body)
		}
		fmt.Fprint(nc, partial)
		return false
	}
}

// resetOnClose makes a target reset connections instead of closing them without a reset.
func resetOnClose(respond func(net.Conn, *http.Request, string) bool) func(net.Conn, *http.Request, string) bool {
	return func(nc net.Conn, rq *http.Request, body string) bool {
		keepOpen := respond(nc, rq, body)
		if tc, ok := nc.(*net.TCPConn); ok && !keepOpen {
			_ = tc.SetLinger(0) // if this fails, the connection closes without a reset, which also suits the test
		}
		return keepOpen
	}
}

func TestStaleConnectionIsReported(t *testing.T) {
	tests := map[string]struct {
		respond func(net.Conn, *http.Request, string) bool
		reused  bool
		stale   bool
	}{
		"reused connection, closed":                   {closeOnReuse(""), true, true},
		"reused connection, reset":                    {resetOnClose(closeOnReuse("")), true, true},
		"new connection, closed":                      {func(net.Conn, *http.Request, string) bool { return false }, false, false},
		"reused connection, closed within a response": {closeOnReuse("HTTP/1.1 200 OK\r\n"), true, false},
	}
	for name, tc := range tests {
		t.Run(name, func(t *testing.T) {
			fx := newFixture(t)
			tg := startFakeTarget(t, tc.respond)
			if tc.reused {
				fx.Expect(fx.do(call(tg.address(), "/1"))).To(Equal("/1"))
			}
			_, err := fx.pool.Do(t.Context(), call(tg.address(), "/2"))
			var ee *upstream.ExchangeError
			fx.Expect(errors.As(err, &ee)).To(BeTrue())
			fx.Expect(ee.Sent).To(BeTrue(), "the request may have run")
			fx.Expect(ee.StaleConnection).To(Equal(tc.stale))
			fx.Expect(tg.requests()).To(ContainElement("/2"))
		})
	}
}

func TestIdleTimeoutIsReducedAfterStaleConnection(t *testing.T) {
	tests := map[string]struct {
		// sinceDrop is the time from the dropped connection to the next call, idleFor that from there to the last call.
		sinceDrop, idleFor time.Duration
		reused             bool
	}{
		"below half of the idle time at the drop": {0, 490 * time.Millisecond, true},
		"at half of the idle time at the drop":    {0, 500 * time.Millisecond, false},
		"after the end of the reduction":          {10 * time.Second, 3 * time.Second, true},
	}
	for name, tc := range tests {
		t.Run(name, func(t *testing.T) {
			fx := newFixture(t)
			var mu sync.Mutex
			dropNext := false
			tg := startFakeTarget(t, func(nc net.Conn, rq *http.Request, body string) bool {
				mu.Lock()
				defer mu.Unlock()
				return !dropNext && echo(nc, rq, body)
			})
			setDropNext := func(v bool) { mu.Lock(); defer mu.Unlock(); dropNext = v }
			fx.Expect(fx.do(call(tg.address(), "/1"))).To(Equal("/1"))
			fx.clock.advance(time.Second)
			setDropNext(true)
			_, err := fx.pool.Do(t.Context(), call(tg.address(), "/2"))
			fx.Expect(err).To(HaveOccurred())
			setDropNext(false)
			fx.clock.advance(tc.sinceDrop)
			fx.Expect(fx.do(call(tg.address(), "/3"))).To(Equal("/3"))
			fx.clock.advance(tc.idleFor)
			fx.Expect(fx.do(call(tg.address(), "/4"))).To(Equal("/4"))
			want := 3
			if tc.reused {
				want = 2
			}
			fx.Expect(tg.connsOpened()).To(Equal(want))
		})
	}
}

// TestBeforeSendErrorPreventsSending has BeforeSend fail once the connection is there.
func TestBeforeSendErrorPreventsSending(t *testing.T) {
	fx := newFixture(t)
	tg := startFakeTarget(t, echo)
	ca := call(tg.address(), "/1")
	ue := &upstream.UnmatchedResponseError{}
	ca.BeforeSend = func() error { return ue }
	_, err := fx.pool.Do(context.Background(), ca)
	var ee *upstream.ExchangeError
	fx.Expect(errors.As(err, &ee)).To(BeTrue())
	fx.Expect(ee.Sent).To(BeFalse())
	fx.Expect(errors.Is(err, ue)).To(BeTrue())
	fx.Expect(fx.do(call(tg.address(), "/2"))).To(Equal("/2"))
	fx.Expect(tg.requests()).To(Equal([]string{"/2"}))
}
