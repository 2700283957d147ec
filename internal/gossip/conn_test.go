package gossip

import (
	"io"
	"net"
	"testing"
	"time"

	. "github.com/onsi/gomega"
)

// pausedConn is a connection whose writes are held up, as by a pause of the process.
type pausedConn struct {
	net.Conn
	pause time.Duration
}

// Write pauses before the first write.
func (pc *pausedConn) Write(b []byte) (int, error) {
	time.Sleep(pc.pause)
	pc.pause = 0
	return pc.Conn.Write(b)
}

// TestLinkSurvivesPauseDuringWrite guards against links that are closed after a pause of this process, although their peers take what is
// written.
func TestLinkSurvivesPauseDuringWrite(t *testing.T) {
	t.Parallel()
	g := NewWithT(t)
	local, remote := net.Pipe()
	defer remote.Close()
	cn := newDeadlineConn(&pausedConn{Conn: local, pause: writeTimeout + 100*time.Millisecond})
	defer cn.Close()
	received := make(chan []byte, 1)
	go func() {
		b := make([]byte, len("state"))
		if _, err := io.ReadFull(remote, b); err != nil {
			t.Error(err)
		}
		received <- b
	}()
	g.Expect(io.WriteString(cn, "state")).To(Equal(len("state")))
	g.Expect(string(<-received)).To(Equal("state"))
}
