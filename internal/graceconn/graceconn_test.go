package graceconn_test

import (
	"bufio"
	"io"
	"net"
	"os"
	"testing"
	"time"

	"github.com/cockroachdb/errors"
	. "github.com/onsi/gomega"

	"github.com/silvermount/silvermount/internal/graceconn"
)

// connect returns both ends of a connection that a Listener accepted.
func connect(t *testing.T) (caller, cn net.Conn) {
	t.Helper()
	g := NewWithT(t)
	ln, err := graceconn.Listen(t.Context(), "127.0.0.1:0")
	g.Expect(err).NotTo(HaveOccurred())
	t.Cleanup(func() { _ = ln.Close() }) // nothing depends on the result
	caller, err = net.Dial("tcp", ln.Addr().String())
	g.Expect(err).NotTo(HaveOccurred())
	t.Cleanup(func() { _ = caller.Close() })
	cn, err = ln.Accept()
	g.Expect(err).NotTo(HaveOccurred())
	t.Cleanup(func() { _ = cn.Close() })
	return caller, cn
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
			caller, cn := connect(t)
			done := make(chan struct{})
			defer close(done)
			go takeSlowly(caller, tc.readBytes, done)
			g.Expect(cn.SetWriteDeadline(time.Now().Add(10 * time.Millisecond))).To(Succeed())
			_, err := cn.Write(make([]byte, 256<<20))
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
	caller, cn := connect(t)
	result := make(chan error, 1)
	go func() {
		_, err := cn.Write(make([]byte, 256<<20))
		result <- err
	}()
	_, err := bufio.NewReader(caller).ReadByte()
	g.Expect(err).NotTo(HaveOccurred())
	g.Expect(cn.SetDeadline(time.Now())).To(Succeed())
	g.Eventually(result).WithTimeout(time.Minute).Should(Receive(MatchError(os.ErrDeadlineExceeded)))
}

// TestCloseWrite guards against callers that lose a refusal of their body: the HTTP server closes its sending side first, so that what they
// still send does not reset the connection.
func TestCloseWrite(t *testing.T) {
	g := NewWithT(t)
	caller, cn := connect(t)
	g.Expect(io.WriteString(cn, "refused")).To(Equal(len("refused")))
	half, ok := cn.(interface{ CloseWrite() error })
	g.Expect(ok).To(BeTrue(), "as net/http asks for it")
	g.Expect(half.CloseWrite()).To(Succeed())
	g.Expect(io.ReadAll(caller)).To(BeEquivalentTo("refused"))
}
