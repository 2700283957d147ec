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

	. "github.com/onsi/gomega"
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
			ca.Heard = func(*http.Response) bool {
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
