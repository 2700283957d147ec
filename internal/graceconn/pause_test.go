package graceconn

import (
	"io"
	"net"
	"net/http"
	"strings"
	"sync"
	"testing"
	"time"

	. "github.com/onsi/gomega"

	"github.com/silvermount/silvermount/internal/pauseclock"
)

// pausingListener accepts connections that call pause once before the first write of payload bytes.
type pausingListener struct {
	net.Listener
	pause   func()
	payload string
}

func (pl pausingListener) Accept() (net.Conn, error) {
	nc, err := pl.Listener.Accept()
	return &pausingConn{Conn: nc, pause: sync.OnceFunc(pl.pause), payload: pl.payload}, err
}

type pausingConn struct {
	net.Conn
	pause   func()
	payload string
}

// Write pauses after the deadline of the write was set and before the bytes are written, as a suspended process does.
func (pc *pausingConn) Write(b []byte) (int, error) {
	if strings.Contains(string(b), pc.payload) {
		pc.pause()
	}
	return pc.Conn.Write(b)
}

// TestResponseReachesCallerWhenDeadlinePassesBeforeWrite guards against answers that were at hand and never reached their callers: the
// write deadline of the connection passed during a pause of the process, between the check of the clock and the write.
func TestResponseReachesCallerWhenDeadlinePassesBeforeWrite(t *testing.T) {
	const timeout, payload = 20 * time.Millisecond, "last part"
	tests := map[string]struct {
		// parts are written one after the other.
		parts []string
		flush bool
	}{
		"whole response in one write":    {parts: []string{payload}},
		"first part flushed":             {parts: []string{"first part, ", payload}, flush: true},
		"larger than the socket buffers": {parts: []string{payload + strings.Repeat("x", 8<<20)}},
	}
	for name, tc := range tests {
		t.Run(name, func(t *testing.T) {
			t.Parallel()
			g := NewWithT(t)
			ln, err := Listen(t.Context(), "127.0.0.1:0")
			g.Expect(err).NotTo(HaveOccurred())
			// The caller may be slow on a busy machine.
			ln.graceSteps = int(time.Minute / graceStep)
			deadlinePassed := make(chan struct{})
			ln.Listener = pausingListener{Listener: ln.Listener, pause: func() { <-deadlinePassed }, payload: payload}
			hs := &http.Server{ReadHeaderTimeout: time.Minute, Handler: http.HandlerFunc(func(w http.ResponseWriter, _ *http.Request) {
				rc := http.NewResponseController(w)
				deadline := time.Now().Add(timeout)
				if err := rc.SetWriteDeadline(deadline); err != nil {
					t.Error(err)
				}
				time.AfterFunc(time.Until(deadline)+2*pauseclock.MinPause, func() { close(deadlinePassed) })
				for _, part := range tc.parts {
					if _, err := io.WriteString(w, part); err != nil {
						t.Error(err)
					}
					if !tc.flush {
						continue
					}
					if err := rc.Flush(); err != nil {
						t.Error(err)
					}
				}
			})}
			defer hs.Close()
			go func() { _ = hs.Serve(ln) }() // returns when the server is closed
			rq, err := http.NewRequestWithContext(t.Context(), http.MethodGet, "http://"+ln.Addr().String(), http.NoBody)
			g.Expect(err).NotTo(HaveOccurred())
			resp, err := http.DefaultTransport.RoundTrip(rq)
			g.Expect(err).NotTo(HaveOccurred())
			defer resp.Body.Close()
			b, err := io.ReadAll(resp.Body)
			g.Expect(err).NotTo(HaveOccurred())
			g.Expect(string(b) == strings.Join(tc.parts, "")).To(BeTrue(), "the caller has the whole response")
		})
	}
}
