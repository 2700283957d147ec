package upstream_test

import (
	"context"
	"fmt"
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
	"golang.org/x/sys/unix"

	"github.com/silvermount/silvermount/internal/upstream"
)

// TestResponseReceivedByDeadlineIsRead delays the reader of a response until after the deadline of its call, as a stall of
// the process would.
func TestResponseReceivedByDeadlineIsRead(t *testing.T) {
	body := strings.Repeat("x", 32<<10)
	tests := map[string]struct {
		// cancel ends the call before its deadline.
		cancel bool
		// missing is how many bytes at the end of the body the target does not send.
		missing  int
		complete bool
	}{
		"complete response":   {complete: true},
		"incomplete response": {missing: 1 << 10},
		"caller cancelled":    {cancel: true},
	}
	for name, tc := range tests {
		t.Run(name, func(t *testing.T) {
			t.Parallel()
			fx := newFixture(t)
			tg := startFakeTarget(t, func(nc net.Conn, rq *http.Request, _ string) bool {
				fmt.Fprintf(nc, "HTTP/1.1 200 OK\r\n%s: %s\r\nContent-Length: %d\r\n\r\n%s",
					headerRequestID, rq.Header.Get(headerRequestID), len(body), body[:len(body)-tc.missing])
				return true
			})
			ctx, cancel := context.WithTimeout(t.Context(), 100*time.Millisecond)
			defer cancel()
			ca := call(tg.address(), "/1")
			ca.AcceptResponse = func(*http.Response) bool {
				if tc.cancel {
					cancel()
				}
				<-ctx.Done()
				// The callback of the ended context has time to close the connection or to keep it open.
				time.Sleep(50 * time.Millisecond)
				return true
			}
			startedAt := time.Now()
			rs, err := fx.pool.Do(ctx, ca)
			fx.Expect(err).NotTo(HaveOccurred())
			defer rs.Close()
			b, err := io.ReadAll(rs.Body)
			fx.Expect(time.Since(startedAt)).To(BeNumerically("<", testTimeout))
			if !tc.complete {
				fx.Expect(err).To(HaveOccurred())
				return
			}
			fx.Expect(err).NotTo(HaveOccurred())
			fx.Expect(string(b)).To(Equal(body))
		})
	}
}

// TestDialTimeoutReportsProcessPause dials a listener that accepts no connections, and advances the clock during the dial as
// a pause of the process would.
func TestDialTimeoutReportsProcessPause(t *testing.T) {
	const timeout = 50 * time.Millisecond
	tests := map[string]struct {
		// elapsed is how far the clock advances during the dial, paused the length of the pauses that were observed in it.
		elapsed, paused time.Duration
		want            bool
	}{
		"no pause":                 {0, 0, false},
		"pause not observed yet":   {time.Second, 0, true},
		"pause within the timeout": {0, 40 * time.Millisecond, true},
		"pause past the timeout":   {time.Second, time.Second, true},
	}
	for name, tc := range tests {
		t.Run(name, func(t *testing.T) {
			t.Parallel()
			fx := newFixture(t)
			address := startFullListener(t)
			var paused atomic.Int64
			pl := upstream.NewPool(fx.clock.Now, metrics.NewSet(), timeout,
				upstream.WithPaused(func() time.Duration { return time.Duration(paused.Load()) }))
			time.AfterFunc(timeout/5, func() { paused.Store(int64(tc.paused)); fx.clock.advance(tc.elapsed) })
			_, err := pl.Do(t.Context(), call(address, "/1"))
			var de *upstream.DialError
			fx.Expect(errors.As(err, &de)).To(BeTrue())
			fx.Expect(de.ProcessPaused).To(Equal(tc.want))
		})
	}
}

// startFullListener returns the address of a listener whose accept queue is full, so that further dials time out.
func startFullListener(t *testing.T) string {
	t.Helper()
	g := NewWithT(t)
	fd, err := unix.Socket(unix.AF_INET, unix.SOCK_STREAM, 0)
	g.Expect(err).NotTo(HaveOccurred())
	t.Cleanup(func() { unix.Close(fd) })
	g.Expect(unix.Bind(fd, &unix.SockaddrInet4{Addr: [4]byte{127, 0, 0, 1}})).To(Succeed())
	g.Expect(unix.Listen(fd, 0)).To(Succeed())
	sa, err := unix.Getsockname(fd)
	g.Expect(err).NotTo(HaveOccurred())
	address := fmt.Sprint("127.0.0.1:", sa.(*unix.SockaddrInet4).Port)
	for {
		cn, err := net.DialTimeout("tcp", address, 100*time.Millisecond)
		if err != nil {
			return address
		}
		t.Cleanup(func() { cn.Close() })
	}
}
