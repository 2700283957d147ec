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

// dialTimeout leaves room for a busy machine.

func TestConnectionIsUsedAgain(t *testing.T) {
	const most = 4 * time.Second
	cases := map[string]struct {
		answer    func(net.Conn, *http.Request, string) bool
		rest      time.Duration
		exclusive bool
		again     bool
	}{
		"at once":                                 {echo, 0, false, true},
		"after a while":                           {echo, most - time.Millisecond, false, true},
		"rested too long":                         {echo, most, false, false},
		"exclusive, at once":                      {echo, 0, true, false},
		"exclusive, shortly":                      {echo, 900 * time.Millisecond, true, false},
		"exclusive, rested for a second":          {echo, time.Second, true, false},
		"the target keeps it longer":              {with("Keep-Alive: timeout=9"), 8 * time.Second, false, true},
		"the target keeps it longer, but no more": {with("Keep-Alive: max=5, timeout=9"), 9 * time.Second, false, false},
		"the target keeps it for a second":        {with("Keep-Alive: timeout=1"), 900 * time.Millisecond, false, false},
		"exclusive, the target keeps it":          {with("Keep-Alive: timeout=9"), 2 * time.Second, true, false},
		"the target closes it":                    {with("Connection: close"), 0, false, false},
	}
	for name, tc := range cases {
		t.Run(name, func(t *testing.T) {
			be := newBench(t)
			tg := startTarget(t, tc.answer)
			ca := call(tg.address(), "/1")
			ca.AtMostOnce = tc.exclusive
			be.Expect(be.do(ca)).To(Equal("/1"))
			be.clock.forward(tc.rest)
			ca = call(tg.address(), "/2")
			ca.AtMostOnce = tc.exclusive
			be.Expect(be.do(ca)).To(Equal("/2"))
			want := 2
			if tc.again {
				want = 1
			}
			be.Expect(tg.openedConns()).To(Equal(want))
			be.Expect(tg.requests()).To(Equal([]string{"/1", "/2"}))
		})
	}
}

func TestIdleConnectionThatIsNotQuietIsNotUsedAgain(t *testing.T) {
	cases := map[string]func(nc net.Conn){
		"closed":        func(nc net.Conn) { nc.Close() },
		"bytes unasked": func(nc net.Conn) { reply(nc, "/2", "surplus") },
		"one byte":      func(nc net.Conn) { fmt.Fprint(nc, "\n") },
		"reset": func(nc net.Conn) {
			_ = nc.(*net.TCPConn).SetLinger(0) // without it the close is an orderly one, which is as good here
			nc.Close()
		},
	}
	for name, spoil := range cases {
		t.Run(name, func(t *testing.T) {
			be := newBench(t)
			tg := startTarget(t, echo)
			be.Expect(be.do(call(tg.address(), "/1"))).To(Equal("/1"))
			spoil(tg.last())
			be.settle(tg, name)
			be.Expect(be.do(call(tg.address(), "/2"))).To(Equal("/2"))
			be.Expect(tg.openedConns()).To(Equal(2))
			be.Expect(tg.requests()).To(Equal([]string{"/1", "/2"}))
		})
	}
}

// settle lets what was sent on an idle connection arrive: an exchange over another connection of the loopback device
// is behind it.
func (be *bench) settle(tg *target, name string) {
	nc, err := net.Dial("tcp", tg.address())
	be.Expect(err).NotTo(HaveOccurred())
	defer nc.Close()
	tg.mu.Lock()
	tg.opened--
	tg.mu.Unlock()
	fmt.Fprintf(nc, "GET /settle HTTP/1.1\r\nHost: h\r\n%s: %s\r\n\r\n", headerID, name)
	_, err = http.ReadResponse(bufio.NewReader(nc), nil)
	be.Expect(err).NotTo(HaveOccurred())
	tg.mu.Lock()
	tg.seen = tg.seen[:len(tg.seen)-1]
	tg.mu.Unlock()
}

func TestNoMoreIdleConnectionsThanAllowed(t *testing.T) {
	const most, calls = 8, 12
	be := newBench(t)
	tg := startTarget(t, echo)
	var ans []*upstream.Response
	for no := range calls {
		an, err := be.pool.Do(t.Context(), call(tg.address(), "/"+strconv.Itoa(no)))
		be.Expect(err).NotTo(HaveOccurred())
		ans = append(ans, an)
	}
	be.Expect(be.pool.OpenCount(tg.address())).To(Equal(calls))
	for _, an := range ans {
		_, err := io.Copy(io.Discard, an.Body)
		be.Expect(err).NotTo(HaveOccurred())
		an.MarkComplete()
		an.Close()
	}
	be.Expect(be.pool.OpenCount(tg.address())).To(Equal(most))
	be.pool.EvictExpired()
	be.Expect(be.pool.OpenCount(tg.address())).To(Equal(most))
	be.clock.forward(4 * time.Second)
	be.pool.EvictExpired()
	be.Expect(be.pool.OpenCount(tg.address())).To(BeZero())
}

func TestAnswersOfOthersAreSkipped(t *testing.T) {
	var mu sync.Mutex
	var early []string
	be := newBench(t)
	tg := startTarget(t, func(nc net.Conn, rq *http.Request, _ string) bool {
		mu.Lock()
		defer mu.Unlock()
		for _, id := range early {
			reply(nc, id, "of another")
		}
		return echo(nc, rq, "")
	})
	be.Expect(be.do(call(tg.address(), "/1"))).To(Equal("/1"))
	mu.Lock()
	early = []string{"/0", "/1"}
	mu.Unlock()
	be.Expect(be.do(call(tg.address(), "/2"))).To(Equal("/2"))
	mu.Lock()
	early = []string{"/0", "/1", "/0"}
	mu.Unlock()
	_, err := be.pool.Do(t.Context(), call(tg.address(), "/3"))
	var sa *upstream.UnmatchedResponseError
	be.Expect(errors.As(err, &sa)).To(BeTrue())
	var se *upstream.ExchangeError
	be.Expect(errors.As(err, &se)).To(BeTrue())
	be.Expect(se.Sent).To(BeTrue())
	be.Expect(be.pool.OpenCount(tg.address())).To(BeZero())
}

func TestWhatIsKnownAfterAFailure(t *testing.T) {
	cases := map[string]struct {
		call func(tg *target) upstream.Call
		sent bool
	}{
		"no connection": {func(tg *target) upstream.Call {
			tg.listener.Close()
			return call(tg.address(), "/1")
		}, false},
		"closed without an answer": {func(tg *target) upstream.Call { return call(tg.address(), "/1") }, true},
	}
	for name, tc := range cases {
		t.Run(name, func(t *testing.T) {
			be := newBench(t)
			tg := startTarget(t, func(net.Conn, *http.Request, string) bool { return false })
			_, err := be.pool.Do(t.Context(), tc.call(tg))
			var se *upstream.ExchangeError
			be.Expect(errors.As(err, &se)).To(BeTrue())
			be.Expect(se.Sent).To(Equal(tc.sent))
			be.Expect(be.pool.OpenCount(tg.address())).To(BeZero())
		})
	}
}

func TestRequestGoesOutOnceOnly(t *testing.T) {
	be := newBench(t)
	tg := startTarget(t, func(nc net.Conn, rq *http.Request, body string) bool {
		return rq.RequestURI == "/1" && echo(nc, rq, body)
	})
	be.Expect(be.do(call(tg.address(), "/1"))).To(Equal("/1"))
	_, err := be.pool.Do(t.Context(), call(tg.address(), "/2"))
	be.Expect(err).To(HaveOccurred())
	be.Expect(tg.requests()).To(Equal([]string{"/1", "/2"}))
	be.Expect(tg.openedConns()).To(Equal(1))
}

func TestCancelClosesTheConnection(t *testing.T) {
	be := newBench(t)
	gone := make(chan struct{})
	tg := startTarget(t, func(nc net.Conn, _ *http.Request, _ string) bool {
		_, _ = io.Copy(io.Discard, nc) // it ends with the connection, however that ends
		close(gone)
		return false
	})
	ctx, cancel := context.WithCancel(t.Context())
	go func() {
		be.Eventually(tg.requests).WithTimeout(generous).Should(HaveLen(1))
		cancel()
	}()
	_, err := be.pool.Do(ctx, call(tg.address(), "/1"))
	be.Expect(err).To(HaveOccurred())
	be.Eventually(gone).WithTimeout(generous).Should(BeClosed())
	be.Expect(be.pool.OpenCount(tg.address())).To(BeZero())
}

func TestAnswerThatIsNotWholeClosesTheConnection(t *testing.T) {
	be := newBench(t)
	tg := startTarget(t, echo)
	an, err := be.pool.Do(t.Context(), call(tg.address(), "/1"))
	be.Expect(err).NotTo(HaveOccurred())
	an.Close()
	be.Expect(be.pool.OpenCount(tg.address())).To(BeZero())
}

func TestRequestLineStaysAsItCame(t *testing.T) {
	for _, path := range []string{"/a%2Fb?x=1&y=%20", "/", "/a//b", "//a/b", "/a;b?c=d?e", "/%7Euser"} {
		t.Run(path, func(t *testing.T) {
			be := newBench(t)
			tg := startTarget(t, echo)
			be.Expect(be.do(call(tg.address(), path))).To(Equal(path))
		})
	}
}

// forgetful answers the first request of each connection and ends it at the next, before or inside the answer.
func forgetful(begun string) func(net.Conn, *http.Request, string) bool {
	var mu sync.Mutex
	served := map[net.Conn]bool{}
	return func(nc net.Conn, rq *http.Request, body string) bool {
		mu.Lock()
		again := served[nc]
		served[nc] = true
		mu.Unlock()
		if !again {
			return echo(nc, rq, body)
		}
		fmt.Fprint(nc, begun)
		return false
	}
}

// resetting makes the end of a connection a reset.
func resetting(answer func(net.Conn, *http.Request, string) bool) func(net.Conn, *http.Request, string) bool {
	return func(nc net.Conn, rq *http.Request, body string) bool {
		goes := answer(nc, rq, body)
		if tc, ok := nc.(*net.TCPConn); ok && !goes {
			_ = tc.SetLinger(0) // without it the end is an orderly one, which is as good here
		}
		return goes
	}
}

func TestConnectionThatTheTargetForgot(t *testing.T) {
	cases := map[string]struct {
		answer    func(net.Conn, *http.Request, string) bool
		reused    bool
		forgotten bool
	}{
		"one that had rested":                   {forgetful(""), true, true},
		"one that had rested, with a reset":     {resetting(forgetful("")), true, true},
		"a new one":                             {func(net.Conn, *http.Request, string) bool { return false }, false, false},
		"one that had rested, inside an answer": {forgetful("HTTP/1.1 200 OK\r\n"), true, false},
	}
	for name, tc := range cases {
		t.Run(name, func(t *testing.T) {
			be := newBench(t)
			tg := startTarget(t, tc.answer)
			if tc.reused {
				be.Expect(be.do(call(tg.address(), "/1"))).To(Equal("/1"))
			}
			_, err := be.pool.Do(t.Context(), call(tg.address(), "/2"))
			var se *upstream.ExchangeError
			be.Expect(errors.As(err, &se)).To(BeTrue())
			be.Expect(se.Sent).To(BeTrue(), "it may have run")
			be.Expect(se.StaleConnection).To(Equal(tc.forgotten))
			be.Expect(tg.requests()).To(ContainElement("/2"))
		})
	}
}

func TestConnectionsRestLessAfterOneWasForgotten(t *testing.T) {
	cases := map[string]struct {
		// since is the time from the drop to the next call, rest that from there to the last one.
		since, rest time.Duration
		again       bool
	}{
		"half as long":            {0, 490 * time.Millisecond, true},
		"no longer":               {0, 500 * time.Millisecond, false},
		"as before after a while": {10 * time.Second, 3 * time.Second, true},
	}
	for name, tc := range cases {
		t.Run(name, func(t *testing.T) {
			be := newBench(t)
			var mu sync.Mutex
			forget := false
			tg := startTarget(t, func(nc net.Conn, rq *http.Request, body string) bool {
				mu.Lock()
				defer mu.Unlock()
				return !forget && echo(nc, rq, body)
			})
			set := func(v bool) { mu.Lock(); defer mu.Unlock(); forget = v }
			be.Expect(be.do(call(tg.address(), "/1"))).To(Equal("/1"))
			be.clock.forward(time.Second)
			set(true)
			_, err := be.pool.Do(t.Context(), call(tg.address(), "/2"))
			be.Expect(err).To(HaveOccurred())
			set(false)
			be.clock.forward(tc.since)
			be.Expect(be.do(call(tg.address(), "/3"))).To(Equal("/3"))
			be.clock.forward(tc.rest)
			be.Expect(be.do(call(tg.address(), "/4"))).To(Equal("/4"))
			want := 3
			if tc.again {
				want = 2
			}
			be.Expect(tg.openedConns()).To(Equal(want))
		})
	}
}

// TestCallThatMayNotLeaveIsNotSent forbids a call once its connection is there.
func TestCallThatMayNotLeaveIsNotSent(t *testing.T) {
	be := newBench(t)
	tg := startTarget(t, echo)
	ca := call(tg.address(), "/1")
	forbidden := &upstream.UnmatchedResponseError{}
	ca.BeforeSend = func() error { return forbidden }
	_, err := be.pool.Do(context.Background(), ca)
	var se *upstream.ExchangeError
	be.Expect(errors.As(err, &se)).To(BeTrue())
	be.Expect(se.Sent).To(BeFalse())
	be.Expect(errors.Is(err, forbidden)).To(BeTrue())
	be.Expect(be.do(call(tg.address(), "/2"))).To(Equal("/2"))
	be.Expect(tg.requests()).To(Equal([]string{"/2"}))
}
