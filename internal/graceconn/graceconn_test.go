package graceconn_test

import (
	"bufio"
	"io"
	"net"
	"net/http"
	"os"
	"strings"
	"sync"
	"testing"
	"time"

	"github.com/cockroachdb/errors"
	. "github.com/onsi/gomega"

	"github.com/silvermount/silvermount/internal/graceconn"
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
			ln, err := graceconn.Listen(t.Context(), "127.0.0.1:0")
			g.Expect(err).NotTo(HaveOccurred())
			deadlinePassed := make(chan struct{})
			ln.Listener = pausingListener{Listener: ln.Listener, pause: func() { <-deadlinePassed }, payload: payload}
			hs := &http.Server{ReadHeaderTimeout: time.Minute, Handler: http.HandlerFunc(func(w http.ResponseWriter, _ *http.Request) {
				rc := http.NewResponseController(w)
				deadline := time.Now().Add(timeout)
				if err := rc.SetWriteDeadline(deadline); err != nil {
					t.Error(err)
				}
				time.AfterFunc(time.Until(deadline)+timeout, func() { close(deadlinePassed) })
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

// TestWriteToCallerThatDoesNotReadFails guards against writes that a caller without end holds up.
func TestWriteToCallerThatDoesNotReadFails(t *testing.T) {
	tests := map[string]struct {
		// readBytes is how many bytes the caller takes at a time; zero if it takes none.
		readBytes int64
	}{
		"takes nothing": {},
		"takes little":  {readBytes: 1 << 10},
	}
	for name, tc := range tests {
		t.Run(name, func(t *testing.T) {
			t.Parallel()
			g := NewWithT(t)
			ln, err := graceconn.Listen(t.Context(), "127.0.0.1:0")
			g.Expect(err).NotTo(HaveOccurred())
			defer ln.Close()
			caller, err := net.Dial("tcp", ln.Addr().String())
			g.Expect(err).NotTo(HaveOccurred())
			defer caller.Close()
			cn, err := ln.Accept()
			g.Expect(err).NotTo(HaveOccurred())
			defer cn.Close()
			done := make(chan struct{})
			defer close(done)
			go takeSlowly(caller, tc.readBytes, done)
			g.Expect(cn.SetWriteDeadline(time.Now().Add(10 * time.Millisecond))).To(Succeed())
			_, err = cn.Write(make([]byte, 256<<20))
			g.Expect(errors.Is(err, os.ErrDeadlineExceeded)).To(BeTrue(), "%v", err)
		})
	}
}

// takeSlowly reads n bytes at a time until done is closed.
func takeSlowly(caller net.Conn, n int64, done <-chan struct{}) {
	for n > 0 {
		select {
		case <-done:
			return
		case <-time.After(time.Millisecond):
		}
		if _, err := io.CopyN(io.Discard, caller, n); err != nil {
			return
		}
	}
}

// TestWriteDeadlineReplacedDuringWrite sets a new deadline while a write waits for its caller, as the end of the process does.
func TestWriteDeadlineReplacedDuringWrite(t *testing.T) {
	g := NewWithT(t)
	ln, err := graceconn.Listen(t.Context(), "127.0.0.1:0")
	g.Expect(err).NotTo(HaveOccurred())
	defer ln.Close()
	caller, err := net.Dial("tcp", ln.Addr().String())
	g.Expect(err).NotTo(HaveOccurred())
	defer caller.Close()
	cn, err := ln.Accept()
	g.Expect(err).NotTo(HaveOccurred())
	defer cn.Close()
	result := make(chan error, 1)
	go func() {
		_, err := cn.Write(make([]byte, 256<<20))
		result <- err
	}()
	_, err = bufio.NewReader(caller).ReadByte()
	g.Expect(err).NotTo(HaveOccurred())
	g.Expect(cn.SetDeadline(time.Now())).To(Succeed())
	g.Eventually(result).WithTimeout(time.Minute).Should(Receive(MatchError(os.ErrDeadlineExceeded)))
}

// TestCloseWrite guards against callers that lose a refusal of their body: the HTTP server closes its sending side first, so that what they
// still send does not reset the connection.
func TestCloseWrite(t *testing.T) {
	g := NewWithT(t)
	ln, err := graceconn.Listen(t.Context(), "127.0.0.1:0")
	g.Expect(err).NotTo(HaveOccurred())
	defer ln.Close()
	caller, err := net.Dial("tcp", ln.Addr().String())
	g.Expect(err).NotTo(HaveOccurred())
	defer caller.Close()
	cn, err := ln.Accept()
	g.Expect(err).NotTo(HaveOccurred())
	defer cn.Close()
	g.Expect(io.WriteString(cn, "refused")).To(Equal(len("refused")))
	half, ok := cn.(interface{ CloseWrite() error })
	g.Expect(ok).To(BeTrue(), "as net/http asks for it")
	g.Expect(half.CloseWrite()).To(Succeed())
	g.Expect(io.ReadAll(caller)).To(BeEquivalentTo("refused"))
}
