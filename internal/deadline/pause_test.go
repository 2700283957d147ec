package deadline

import (
	"bufio"
	"context"
	"io"
	"net"
	"net/http"
	"testing"
	"testing/synctest"
	"time"

	. "github.com/onsi/gomega"

	"github.com/silvermount/silvermount/internal/pauseclock"
)

// TestContextWithPauseGrace guards against answers that arrived during a pause of the process and are lost because the context of their
// request ends as soon as the process goes on.
func TestContextWithPauseGrace(t *testing.T) {
	tests := map[string]struct {
		// pause is how late the timer fires.
		pause time.Duration
		// want is the time from the deadline to the end of the context.
		want time.Duration
	}{
		"no pause":                   {},
		"busy machine":               {pause: pauseclock.MinPause - 1},
		"paused past the deadline":   {pause: pauseclock.MinPause, want: pauseGrace},
		"paused for an hour past it": {pause: time.Hour, want: pauseGrace},
	}
	for name, tc := range tests {
		t.Run(name, func(t *testing.T) {
			synctest.Test(t, func(t *testing.T) {
				g := NewWithT(t)
				dl := Deadline{At: time.Now().Add(time.Second)}
				ctx, cancel := dl.contextWithPauseGrace(t.Context(), func() time.Time { return time.Now().Add(tc.pause) })
				defer cancel()
				<-ctx.Done()
				g.Expect(time.Since(dl.At)).To(Equal(tc.want))
				g.Expect(context.Cause(ctx)).To(MatchError(context.DeadlineExceeded))
			})
		})
	}
}

func TestContextWithPauseGraceEndsEarly(t *testing.T) {
	tests := map[string]func(cancelParent, cancel func()){
		"parent cancelled":  func(cancelParent, _ func()) { cancelParent() },
		"context cancelled": func(_, cancel func()) { cancel() },
	}
	for name, end := range tests {
		t.Run(name, func(t *testing.T) {
			synctest.Test(t, func(t *testing.T) {
				g := NewWithT(t)
				parent, cancelParent := context.WithCancel(t.Context())
				defer cancelParent()
				start := time.Now()
				ctx, cancel := Deadline{At: start.Add(time.Second)}.ContextWithPauseGrace(parent)
				defer cancel()
				g.Expect(ctx.Err()).NotTo(HaveOccurred())
				end(cancelParent, cancel)
				<-ctx.Done()
				g.Expect(time.Since(start)).To(BeZero())
				g.Expect(context.Cause(ctx)).To(MatchError(context.Canceled))
			})
		})
	}
}

// TestAnswerOfTargetAfterPauseIsRead sends a call whose target answers while the process goes on after a pause past the deadline.
func TestAnswerOfTargetAfterPauseIsRead(t *testing.T) {
	synctest.Test(t, func(t *testing.T) {
		g := NewWithT(t)
		const timeout, pause = time.Second, time.Minute
		local, remote := net.Pipe()
		defer remote.Close()
		go func() {
			if _, err := http.ReadRequest(bufio.NewReader(remote)); err != nil {
				t.Error(err)
			}
			time.Sleep(timeout + pauseGrace/2)
			_, _ = io.WriteString(remote, "HTTP/1.1 200 OK\r\nContent-Length: 6\r\n\r\nanswer") // the call fails without it
		}()
		tr := &http.Transport{DialContext: func(context.Context, string, string) (net.Conn, error) { return local, nil }}
		defer tr.CloseIdleConnections()
		ctx, cancel := Deadline{At: time.Now().Add(timeout)}.contextWithPauseGrace(t.Context(), func() time.Time { return time.Now().Add(pause) })
		defer cancel()
		rq, err := http.NewRequestWithContext(ctx, http.MethodPost, "http://target/", http.NoBody)
		g.Expect(err).NotTo(HaveOccurred())
		resp, err := tr.RoundTrip(rq)
		g.Expect(err).NotTo(HaveOccurred())
		defer resp.Body.Close()
		g.Expect(io.ReadAll(resp.Body)).To(BeEquivalentTo("answer"))
	})
}
