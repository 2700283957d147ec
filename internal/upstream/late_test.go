package upstream_test

import (
	"context"
	"fmt"
	"io"
	"net"
	"net/http"
	"strings"
	"testing"
	"time"

	"github.com/VictoriaMetrics/metrics"
	"github.com/cockroachdb/errors"
	. "github.com/onsi/gomega"
	"golang.org/x/sys/unix"

	"github.com/silvermount/silvermount/internal/upstream"
)

// TestAnswerThatIsThereAtTheDeadlineIsRead has the reader of an answer held up until after the deadline of its call.
func TestAnswerThatIsThereAtTheDeadlineIsRead(t *testing.T) {
	body := strings.Repeat("x", 32<<10)
	tests := map[string]struct {
		// cancel ends the call in place of its deadline.
		cancel bool
		// rest is how much of the body the target keeps back.
		rest  int
		whole bool
	}{
		"all of it":           {whole: true},
		"without its end":     {rest: 1 << 10},
		"the caller has gone": {cancel: true},
	}
	for name, tc := range tests {
		t.Run(name, func(t *testing.T) {
			t.Parallel()
			be := newBench(t)
			tg := startTarget(t, func(nc net.Conn, rq *http.Request, _ string) bool {
				fmt.Fprintf(nc, "HTTP/1.1 200 OK\r\n%s: %s\r\nContent-Length: %d\r\n\r\n%s",
					headerID, rq.Header.Get(headerID), len(body), body[:len(body)-tc.rest])
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
				// The connection of the call is ended, or left open, meanwhile.
				time.Sleep(50 * time.Millisecond)
				return true
			}
			began := time.Now()
			an, err := be.pool.Do(ctx, ca)
			be.Expect(err).NotTo(HaveOccurred())
			defer an.Close()
			b, err := io.ReadAll(an.Body)
			be.Expect(time.Since(began)).To(BeNumerically("<", generous))
			if !tc.whole {
				be.Expect(err).To(HaveOccurred())
				return
			}
			be.Expect(err).NotTo(HaveOccurred())
			be.Expect(string(b)).To(Equal(body))
		})
	}
}

// TestDialThatTimesOutWhileTheProcessIsHeldUp dials a listener that takes no connections.
func TestDialThatTimesOutWhileTheProcessIsHeldUp(t *testing.T) {
	const timeout = 50 * time.Millisecond
	tests := map[string]struct {
		heldUp time.Duration
		want   bool
	}{
		"not held up": {0, false},
		"held up":     {time.Second, true},
	}
	for name, tc := range tests {
		t.Run(name, func(t *testing.T) {
			t.Parallel()
			be := newBench(t)
			address := fullListener(t)
			pl := upstream.NewPool(be.clock.Now, metrics.NewSet(), timeout)
			time.AfterFunc(timeout/5, func() { be.clock.forward(tc.heldUp) })
			_, err := pl.Do(t.Context(), call(address, "/1"))
			var de *upstream.DialError
			be.Expect(errors.As(err, &de)).To(BeTrue())
			be.Expect(de.ProcessStalled).To(Equal(tc.want))
		})
	}
}

// fullListener returns the address of a listener whose queue is full, so that it answers no further dial.
func fullListener(t *testing.T) string {
	t.Helper()
	g := NewWithT(t)
	fd, err := unix.Socket(unix.AF_INET, unix.SOCK_STREAM, 0)
	g.Expect(err).NotTo(HaveOccurred())
	t.Cleanup(func() { unix.Close(fd) })
	g.Expect(unix.Bind(fd, &unix.SockaddrInet4{Addr: [4]byte{127, 0, 0, 1}})).To(Succeed())
	g.Expect(unix.Listen(fd, 0)).To(Succeed())
	at, err := unix.Getsockname(fd)
	g.Expect(err).NotTo(HaveOccurred())
	address := fmt.Sprint("127.0.0.1:", at.(*unix.SockaddrInet4).Port)
	for {
		cn, err := net.DialTimeout("tcp", address, 100*time.Millisecond)
		if err != nil {
			return address
		}
		t.Cleanup(func() { cn.Close() })
	}
}
