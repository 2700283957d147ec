// Package upstream sends requests to targets over kept connections. Unlike the standard transport it never sends a
// request a second time by itself, tells whether anything was written, and skips surplus answers.
package upstream

import (
	"bufio"
	"context"
	"net"
	"net/http"
	"strconv"
	"strings"
	"sync/atomic"
	"syscall"
	"time"

	"github.com/cockroachdb/errors"
	"golang.org/x/sys/unix"
)

const (
	// unackedTimeout ends a connection whose peer acknowledges nothing: two retransmissions and a margin.
	unackedTimeout = 3 * time.Second
	// keepAliveIdle and keepAliveInterval find silent peers of requests that wait for an answer.
	keepAliveIdle     = 2 * time.Second
	keepAliveInterval = time.Second
	keepAliveCount    = 2
	// readBuffer holds the head of an answer and several events.
	readBuffer = 8 << 10
)

// conn is one kept connection. It serves one request at a time.
type conn struct {
	net.Conn
	br *bufio.Reader
	// restedAt is when the last answer ended; zero for a new connection.
	restedAt time.Time
	// rested is how long it had rested when it was taken; zero for a new connection.
	rested time.Duration
	// got counts the bytes that were read.
	got atomic.Int64
	// keep is how long the target keeps an idle connection, as far as it says.
	keep time.Duration
}

// DialError says that no connection came up; nothing was sent.
type DialError struct {
	Address string
	Cause   error
	// HeldUp is set when this process stood still while it waited, so that the failure tells nothing of the target.
	ProcessStalled bool
}

// Error names the address.
func (de *DialError) Error() string {
	return "no connection to " + de.Address + ": " + de.Cause.Error()
}

// Unwrap returns the cause.
func (de *DialError) Unwrap() error { return de.Cause }

// Refused reports whether the machine is there and nothing listens at the address: the process that did has ended.
func (de *DialError) Refused() bool { return errors.Is(de.Cause, syscall.ECONNREFUSED) }

// heldUpLeast is how much longer than its timeout a wait takes in a process that was held up: its timers fire late.
const heldUpLeast = 100 * time.Millisecond

// waited returns the error of a dial that took some time of at most so much.
func (de *DialError) waited(took, most time.Duration) *DialError {
	var ne net.Error
	timedOut := errors.As(de.Cause, &ne) && ne.Timeout()
	de.ProcessStalled = timedOut && took >= most+heldUpLeast
	return de
}

func dial(ctx context.Context, address string, timeout time.Duration, now func() time.Time) (*conn, error) {
	dl := net.Dialer{
		Timeout: timeout,
		KeepAliveConfig: net.KeepAliveConfig{
			Enable: true, Idle: keepAliveIdle, Interval: keepAliveInterval, Count: keepAliveCount,
		},
		Control: boundUnacked,
	}
	began := now()
	nc, err := dl.DialContext(ctx, "tcp", address)
	if err != nil {
		de := &DialError{Address: address, Cause: err}
		return nil, de.waited(now().Sub(began), timeout)
	}
	cn := &conn{Conn: nc}
	cn.br = bufio.NewReaderSize(cn, readBuffer)
	return cn, nil
}

// Read counts what comes.
func (cn *conn) Read(b []byte) (int, error) {
	n, err := cn.Conn.Read(b)
	cn.got.Add(int64(n))
	return n, err
}

// boundUnacked makes the kernel give up a connection whose peer acknowledges nothing.
func boundUnacked(_, _ string, rc syscall.RawConn) error {
	var serr error
	err := rc.Control(func(fd uintptr) {
		serr = unix.SetsockoptInt(int(fd), unix.IPPROTO_TCP, unix.TCP_USER_TIMEOUT, int(unackedTimeout.Milliseconds()))
	})
	if err != nil {
		return errors.Wrap(err, "reach socket")
	}
	return errors.Wrap(serr, "set user timeout")
}

// abandon closes the connection. An error changes nothing: it is not used again.
func (cn *conn) abandon() { _ = cn.Close() }

// lastLook is how long what a target had sent by the deadline of a call may take to be read. It ends the rest too.
const lastLook = 200 * time.Millisecond

// end ends the exchange of a call whose context has ended. An answer that is there at the deadline is still read: a process that was held
// up finds the two at once.
func (cn *conn) end(ctx context.Context) {
	if errors.Is(ctx.Err(), context.DeadlineExceeded) && cn.readable() && cn.SetDeadline(time.Now().Add(lastLook)) == nil {
		return
	}
	cn.abandon()
}

// news returns how one goroutine learns whether something has come since it last asked.
func (cn *conn) news() func() bool {
	seen := cn.got.Load()
	return func() bool {
		before := seen
		seen = cn.got.Load()
		return seen != before || cn.readable()
	}
}

// readable reports whether something has come that was not read. It may be asked beside a reader.
func (cn *conn) readable() bool {
	sc, ok := cn.Conn.(syscall.Conn)
	if !ok {
		return false
	}
	rc, err := sc.SyscallConn()
	if err != nil {
		return false
	}
	n := 0
	err = rc.Control(func(fd uintptr) {
		var b [1]byte
		// It fails where nothing has come, or the connection has broken.
		n, _, _ = unix.Recvfrom(int(fd), b[:], unix.MSG_PEEK|unix.MSG_DONTWAIT)
	})
	return err == nil && n > 0
}

// quiet reports whether an idle connection is still open and has nothing to read: bytes that came unasked belong to
// no request.
func (cn *conn) quiet() bool {
	if cn.br.Buffered() > 0 {
		return false
	}
	sc, ok := cn.Conn.(syscall.Conn)
	if !ok {
		return true
	}
	rc, err := sc.SyscallConn()
	if err != nil {
		return false
	}
	var open bool
	err = rc.Read(func(fd uintptr) bool {
		var b [1]byte
		_, rerr := syscall.Read(int(fd), b[:])
		open = errors.Is(rerr, syscall.EAGAIN)
		return true
	})
	return err == nil && open
}

// keepTime returns how long the target keeps the connection, as its answer says; zero when it says nothing.
func keepTime(h http.Header) time.Duration {
	for _, part := range strings.Split(h.Get("Keep-Alive"), ",") {
		v, ok := strings.CutPrefix(strings.TrimSpace(part), "timeout=")
		if !ok {
			continue
		}
		if n, err := strconv.Atoi(v); err == nil {
			return time.Duration(n) * time.Second
		}
	}
	return 0
}
