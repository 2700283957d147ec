package upstream_test

import (
	"context"
	"fmt"
	"io"
	"net"
	"net/http"
	"runtime"
	"strings"
	"sync/atomic"
	"testing"
	"time"

	"github.com/VictoriaMetrics/metrics"
	"github.com/cockroachdb/errors"
	. "github.com/onsi/gomega"

	"github.com/silvermount/silvermount/internal/upstream"
)

// maxHeldBytes is how much a read of one head may add to the heap. It is far above the bound on a head, as garbage counts too, and far below
// what an unbounded head reaches.
const maxHeldBytes = 24 << 20

// watchHeap calls end once the heap exceeds its present size by maxHeldBytes. The returned function stops the watch and returns the largest
// growth.
func watchHeap(end func()) (stop func() int64) {
	runtime.GC()
	var ms runtime.MemStats
	runtime.ReadMemStats(&ms)
	base := int64(ms.HeapAlloc)
	done, ended := make(chan struct{}), make(chan struct{})
	var most atomic.Int64
	go func() {
		defer close(ended)
		for {
			select {
			case <-done:
				return
			case <-time.After(time.Millisecond):
			}
			runtime.ReadMemStats(&ms)
			grown := int64(ms.HeapAlloc) - base
			most.Store(max(most.Load(), grown))
			if grown > maxHeldBytes {
				end()
			}
		}
	}()
	return func() int64 { close(done); <-ended; return most.Load() }
}

// repeat writes a part until the connection is closed.
func repeat(nc net.Conn, first, part string) bool {
	if _, err := io.WriteString(nc, first); err != nil {
		return false
	}
	for {
		if _, err := io.WriteString(nc, part); err != nil {
			return false
		}
	}
}

// numberedFields writes header fields with different names until the connection is closed.
func numberedFields(nc net.Conn) bool {
	_, err := io.WriteString(nc, "HTTP/1.1 200 OK\r\n")
	for n := 0; err == nil; n += 100 {
		var b strings.Builder
		for i := range 100 {
			fmt.Fprintf(&b, "X-%d: y\r\n", n+i)
		}
		_, err = io.WriteString(nc, b.String())
	}
	return false
}

// TestInvalidHeadEndsTheCall guards against heads that are no response of HTTP/1 and are passed on as one, or skipped like an interim
// response, so that the caller waits until its deadline.
func TestInvalidHeadEndsTheCall(t *testing.T) {
	tests := map[string]struct {
		statusLine string
		// want is the status of the response; zero if the call must fail.
		want int
	}{
		"status 000":             {"HTTP/1.1 000 OK", 0},
		"status 099":             {"HTTP/1.1 099 OK", 0},
		"signed status":          {"HTTP/1.1 +20 OK", 0},
		"negative status":        {"HTTP/1.1 -01 OK", 0},
		"short status":           {"HTTP/1.1 42 OK", 0},
		"long status":            {"HTTP/1.1 1000 OK", 0},
		"switch of protocols":    {"HTTP/1.1 101 Switching Protocols", 0},
		"status above the range": {"HTTP/1.1 600 OK", 0},
		"highest three digits":   {"HTTP/1.1 999 OK", 0},
		"HTTP/2.0":               {"HTTP/2.0 200 OK", 0},
		"HTTP/9.9":               {"HTTP/9.9 200 OK", 0},
		"HTTP/0.9":               {"HTTP/0.9 200 OK", 0},
		"HTTP/1.0":               {"HTTP/1.0 200 OK", http.StatusOK},
		"HTTP/1.1":               {"HTTP/1.1 200 OK", http.StatusOK},
		"highest status":         {"HTTP/1.1 599 Any", 599},
		"after an interim response": {
			"HTTP/1.1 103 Early Hints\r\n\r\nHTTP/1.1 200 OK", http.StatusOK,
		},
		"invalid after an interim response": {"HTTP/1.1 100 Continue\r\n\r\nHTTP/1.1 000 OK", 0},
	}
	for name, tc := range tests {
		t.Run(name, func(t *testing.T) {
			fx := newFixture(t)
			tg := startFakeTarget(t, func(nc net.Conn, rq *http.Request, _ string) bool {
				fmt.Fprintf(nc, "%s\r\n%s: %s\r\nContent-Length: 2\r\n\r\nok", tc.statusLine, headerRequestID, rq.RequestURI)
				return true
			})
			ctx, cancel := context.WithTimeout(t.Context(), testTimeout)
			defer cancel()
			rs, err := fx.pool.Do(ctx, call(tg.address(), "/1"))
			fx.Expect(ctx.Err()).NotTo(HaveOccurred(), "the call must not wait for its deadline")
			if tc.want != 0 {
				fx.Expect(err).NotTo(HaveOccurred())
				defer rs.Close()
				fx.Expect(rs.StatusCode).To(Equal(tc.want))
				return
			}
			fx.Expect(err).To(HaveOccurred())
			fx.Expect(fx.pool.OpenCount(tg.address())).To(BeZero(), "the connection is not used again")
		})
	}
}

// TestHeadWithoutEndIsGivenUp guards against a target that writes a head without end and thereby takes all memory of the instance.
func TestHeadWithoutEndIsGivenUp(t *testing.T) {
	long := strings.Repeat("x", 32<<10)
	tests := map[string]struct {
		write func(nc net.Conn) bool
		// want is a pointer to the type of the failure.
		want any
	}{
		"header lines":    {func(nc net.Conn) bool { return repeat(nc, "HTTP/1.1 200 OK\r\n", "X-Y: "+long+"\r\n") }, new(*upstream.HeadTooLargeError)},
		"short fields":    {numberedFields, new(*upstream.HeadTooLargeError)},
		"one header line": {func(nc net.Conn) bool { return repeat(nc, "HTTP/1.1 200 OK\r\nX-Y: ", long) }, new(*upstream.HeadTooLargeError)},
		"folded line":     {func(nc net.Conn) bool { return repeat(nc, "HTTP/1.1 200 OK\r\nX-Y: ", " y\r\n") }, new(*upstream.HeadTooLargeError)},
		"status line":     {func(nc net.Conn) bool { return repeat(nc, "HTTP/1.1 200 ", long) }, new(*upstream.HeadTooLargeError)},
		"interim responses": {
			func(nc net.Conn) bool { return repeat(nc, "", "HTTP/1.1 103 Early Hints\r\nLink: a\r\n\r\n") },
			new(*upstream.UnmatchedResponseError),
		},
		"interim response with header lines": {
			func(nc net.Conn) bool { return repeat(nc, "HTTP/1.1 103 Early Hints\r\n", "X-Y: "+long+"\r\n") },
			new(*upstream.HeadTooLargeError),
		},
		"head after an interim response": {
			func(nc net.Conn) bool {
				return repeat(nc, "HTTP/1.1 100 Continue\r\n\r\nHTTP/1.1 200 OK\r\n", "X-Y: "+long+"\r\n")
			},
			new(*upstream.HeadTooLargeError),
		},
	}
	for name, tc := range tests {
		t.Run(name, func(t *testing.T) {
			fx := newFixture(t)
			tg := startFakeTarget(t, func(nc net.Conn, _ *http.Request, _ string) bool { return tc.write(nc) })
			ctx, cancel := context.WithTimeout(t.Context(), testTimeout)
			defer cancel()
			stop := watchHeap(cancel)
			_, err := fx.pool.Do(ctx, call(tg.address(), "/1"))
			held := stop()
			t.Logf("held at most %d KiB", held>>10)
			fx.Expect(held).To(BeNumerically("<", maxHeldBytes))
			fx.Expect(errors.As(err, tc.want)).To(BeTrue(), "%v", err)
			var ee *upstream.ExchangeError
			fx.Expect(errors.As(err, &ee)).To(BeTrue())
			fx.Expect(ee.Sent).To(BeTrue())
			fx.Expect(fx.pool.OpenCount(tg.address())).To(BeZero(), "the connection is closed")
		})
	}
}

// TestLargeHeadIsRead guards against a bound that also counts the body, or the responses before on the same connection.
func TestLargeHeadIsRead(t *testing.T) {
	fx := newFixture(t)
	const fields, size = 200, 60 << 10
	body := strings.Repeat("\n", 1<<20)
	tg := startFakeTarget(t, func(nc net.Conn, rq *http.Request, _ string) bool {
		lines := make([]string, fields)
		for i := range lines {
			lines[i] = fmt.Sprintf("X-%d: %s", i, strings.Repeat("y", size/fields-10))
		}
		io.WriteString(nc, "HTTP/1.1 103 Early Hints\r\n"+strings.Join(lines, "\r\n")+"\r\n\r\n")
		return writeResponse(nc, rq.Header.Get(headerRequestID), body, lines...)
	})
	for i := range 5 {
		fx.Expect(fx.do(call(tg.address(), fmt.Sprint("/", i)))).To(Equal(body))
	}
	fx.Expect(tg.connsOpened()).To(Equal(1), "the connection is reused")
}

// TestTricklingHeadIsGivenUp guards against a target that holds a request with a head that it never completes, one byte at a time.
func TestTricklingHeadIsGivenUp(t *testing.T) {
	tests := map[string]string{
		"status line":                    "HTTP/1.1 200 OK",
		"header line":                    "HTTP/1.1 200 OK\r\nX-Y: " + strings.Repeat("z", 1<<10),
		"head after an interim response": "HTTP/1.1 100 Continue\r\n\r\nHTTP/1.1 200 " + strings.Repeat("z", 1<<10),
	}
	for name, head := range tests {
		t.Run(name, func(t *testing.T) {
			t.Parallel()
			fx := newFixture(t)
			tg := startFakeTarget(t, func(nc net.Conn, _ *http.Request, _ string) bool {
				for i := 0; ; i++ {
					next := "z"
					if i < len(head) {
						next = head[i : i+1]
					}
					if _, err := io.WriteString(nc, next); err != nil {
						return false
					}
					time.Sleep(5 * time.Millisecond)
				}
			})
			ctx, cancel := context.WithTimeout(t.Context(), testTimeout)
			defer cancel()
			ca := call(tg.address(), "/1")
			ca.HeadTimeout = 300 * time.Millisecond
			_, err := fx.pool.Do(ctx, ca)
			var se *upstream.SlowHeadError
			fx.Expect(errors.As(err, &se)).To(BeTrue(), "%v", err)
			fx.Expect(ctx.Err()).NotTo(HaveOccurred(), "the attempt ends before the deadline")
			fx.Expect(fx.pool.OpenCount(tg.address())).To(BeZero(), "the connection is closed")
		})
	}
}

// TestSlowHeadEndsDespiteShortPauses guards against a bound on the time of a head that begins again at each short pause of the process, so that
// the deadline of the request passes first on a busy machine.
func TestSlowHeadEndsDespiteShortPauses(t *testing.T) {
	const headTimeout, pausePeriod, pauseLength = 300 * time.Millisecond, 250 * time.Millisecond, 100 * time.Millisecond
	fx := newFixture(t)
	startedAt := time.Now()
	pool := upstream.NewPool(fx.clock.Now, metrics.NewSet(), dialTimeout,
		upstream.WithPaused(func() time.Duration { return time.Since(startedAt) / pausePeriod * pauseLength }))
	tg := startFakeTarget(t, func(nc net.Conn, _ *http.Request, _ string) bool {
		for {
			if _, err := io.WriteString(nc, "z"); err != nil {
				return false
			}
			time.Sleep(5 * time.Millisecond)
		}
	})
	ctx, cancel := context.WithTimeout(t.Context(), 10*headTimeout)
	defer cancel()
	ca := call(tg.address(), "/1")
	ca.HeadTimeout = headTimeout
	_, err := pool.Do(ctx, ca)
	var se *upstream.SlowHeadError
	fx.Expect(errors.As(err, &se)).To(BeTrue(), "%v", err)
}

// TestHeadTimeoutDoesNotBoundTheWait guards against a bound on the time of a head that ends requests whose response takes long to begin, or
// whose body does.
func TestHeadTimeoutDoesNotBoundTheWait(t *testing.T) {
	fx := newFixture(t)
	const headTimeout = 50 * time.Millisecond
	tg := startFakeTarget(t, func(nc net.Conn, rq *http.Request, _ string) bool {
		io.WriteString(nc, "HTTP/1.1 100 Continue\r\n\r\n")
		time.Sleep(4 * headTimeout)
		fmt.Fprintf(nc, "HTTP/1.1 200 OK\r\n%s: %s\r\nContent-Length: 2\r\n\r\n", headerRequestID, rq.Header.Get(headerRequestID))
		time.Sleep(4 * headTimeout)
		io.WriteString(nc, "ok")
		return true
	})
	ca := call(tg.address(), "/1")
	ca.HeadTimeout = headTimeout
	fx.Expect(fx.do(ca)).To(Equal("ok"))
}

// TestEndOfChunkedBodyIsBounded guards against trailers and chunk extensions without end.
func TestEndOfChunkedBodyIsBounded(t *testing.T) {
	const head = "HTTP/1.1 200 OK\r\nTransfer-Encoding: chunked\r\nRequest-Id: /1\r\n\r\n2\r\nok\r\n"
	long := strings.Repeat("x", 32<<10)
	tests := map[string]struct{ first, part string }{
		"trailers":               {head + "0\r\n", "X-Y: " + long + "\r\n"},
		"one trailer line":       {head + "0\r\nX-Y: ", long},
		"chunk extension":        {head + "2;x=", long},
		"chunks with extensions": {head, "1;x=" + strings.Repeat("y", 1<<10) + "\r\nz\r\n"},
		"size of a chunk":        {head, strings.Repeat("0", 32<<10)},
	}
	for name, tc := range tests {
		t.Run(name, func(t *testing.T) {
			fx := newFixture(t)
			tg := startFakeTarget(t, func(nc net.Conn, _ *http.Request, _ string) bool { return repeat(nc, tc.first, tc.part) })
			ctx, cancel := context.WithTimeout(t.Context(), testTimeout)
			defer cancel()
			rs, err := fx.pool.Do(ctx, call(tg.address(), "/1"))
			fx.Expect(err).NotTo(HaveOccurred())
			defer rs.Close()
			stop := watchHeap(cancel)
			n, err := io.Copy(io.Discard, rs.Body)
			t.Logf("%d bytes of the body, held at most %d KiB", n, stop()>>10)
			var be *upstream.InvalidBodyError
			fx.Expect(errors.As(err, &be)).To(BeTrue(), "%v", err)
			fx.Expect(ctx.Err()).NotTo(HaveOccurred())
		})
	}
}
