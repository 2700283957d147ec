// Package upstream is an HTTP/1.1 client with a pool of keep-alive connections to targets. Unlike http.Transport it never
// resends a request by itself, reports whether anything was written, and skips responses that belong to other requests.
package upstream

import (
	"bufio"
	"context"
	"io"
	"net"
	"net/http"
	"os"
	"strconv"
	"strings"
	"sync"
	"sync/atomic"
	"syscall"
	"time"

	"github.com/cockroachdb/errors"
	"golang.org/x/sys/unix"

	"github.com/silvermount/silvermount/internal/pauseclock"
)

// readBufferBytes holds the head of a response and several events.
const readBufferBytes = 8 << 10

// conn is a pooled connection. It carries one request at a time.
type conn struct {
	net.Conn
	br *bufio.Reader
	// peer is the peer that the connection leads through; empty for a direct one.
	peer string
	// onRead is called whenever data was received; never nil.
	onRead func()
	// lastReadAt is when data was last received; nil before.
	lastReadAt atomic.Pointer[time.Time]
	// openedAt is when the connection was established.
	openedAt time.Time
	// idleSince is when the last response ended; zero for a new connection.
	idleSince time.Time
	// idleFor is how long the connection had been idle when it was last reused; zero for a new connection.
	idleFor   time.Duration
	bytesRead atomic.Int64
	// bytesWritten counts the bytes that were handed to the kernel.
	bytesWritten atomic.Int64
	// writing is set while a request is being written.
	writing atomic.Bool
	// finalSteps is how many further steps a read may wait after the deadline of its call; zero before the deadline.
	finalSteps atomic.Int64
	// head scans the head of a response while it is read, and watch bounds its time; both are nil otherwise.
	head  *headScanner
	watch *headWatch
	// keepAliveTimeout is how long the target keeps an idle connection open, by its Keep-Alive header; zero if unknown.
	keepAliveTimeout time.Duration
	// peekMu is held during each look at unread data, and guards peekErr, the failure of the connection that one has received.
	peekMu  sync.Mutex
	peekErr error
}

// newConn wraps an established connection, which may lead through a peer.
func newConn(nc net.Conn, onRead func()) *conn {
	cn := &conn{Conn: nc, onRead: onRead, openedAt: time.Now()}
	if th, ok := nc.(interface{ Peer() string }); ok {
		cn.peer = th.Peer()
	}
	cn.br = bufio.NewReaderSize(cn, readBufferBytes)
	return cn
}

// State is what is known of a connection when it is about to be reused.
type State struct {
	// Peer is the peer that the connection leads through; empty for a direct one.
	Peer string
	// LastReadAt is when data was last received; zero before.
	LastReadAt time.Time
}

func (cn *conn) state() State {
	st := State{Peer: cn.peer}
	if at := cn.lastReadAt.Load(); at != nil {
		st.LastReadAt = *at
	}
	return st
}

// beginHead bounds what is read until endHead to one head. It fails with a HeadTooLargeError.
func (cn *conn) beginHead(timeout time.Duration, paused func() time.Duration) error {
	cn.head = &headScanner{}
	cn.watch = &headWatch{cn: cn, timeout: timeout, paused: paused}
	buffered, err := cn.br.Peek(cn.br.Buffered())
	if err != nil {
		return errors.Wrap(err, "peek buffered data")
	}
	return cn.scanHead(buffered)
}

// scanHead scans received bytes of a head, and starts to bound its time once it has begun.
func (cn *conn) scanHead(b []byte) error {
	err := cn.head.scan(b)
	if cn.head.begun() {
		cn.watch.start()
	}
	return err
}

// endHead ends the bounds. It returns a HeadTooLargeError or a SlowHeadError if the head exceeded a bound, else err.
func (cn *conn) endHead(err error) error {
	if cn.head.err != nil {
		err = cn.head.err
	}
	watch := cn.watch
	cn.head, cn.watch = nil, nil
	return watch.stop(err)
}

// Read adds the bytes it reads to bytesRead. After the deadline of the call it waits for finalSteps further steps. It fails with a
// HeadTooLargeError when a head exceeds its bounds. It returns io.EOF only if the other end has closed the connection in order.
func (cn *conn) Read(b []byte) (int, error) {
	n, err := cn.Conn.Read(b)
	for n == 0 && errors.Is(err, os.ErrDeadlineExceeded) && cn.finalSteps.Add(-1) >= 0 {
		if deadlineErr := cn.SetReadDeadline(time.Now().Add(finalReadStep)); deadlineErr != nil {
			return 0, errors.Wrap(deadlineErr, "set deadline of final read")
		}
		n, err = cn.Conn.Read(b)
	}
	if n > 0 {
		now := time.Now()
		cn.lastReadAt.Store(&now)
		cn.bytesRead.Add(int64(n))
		cn.onRead()
	}
	if n == 0 && errors.Is(err, io.EOF) {
		err = cn.endError()
	}
	if cn.head != nil {
		if headErr := cn.scanHead(b[:n]); headErr != nil {
			return 0, headErr
		}
	}
	return n, err
}

// endError returns the failure that a look at unread data has received, or io.EOF. The kernel reports a reset only once, and the end of the
// data to the next read. A tunnel marks the end of the data itself, so that a reset after it is none of the target's.
func (cn *conn) endError() error {
	cn.peekMu.Lock()
	defer cn.peekMu.Unlock()
	if cn.peekErr != nil && cn.peer == "" {
		return cn.peekErr
	}
	return io.EOF
}

// Write adds the bytes it writes to bytesWritten.
func (cn *conn) Write(b []byte) (int, error) {
	n, err := cn.Conn.Write(b)
	cn.bytesWritten.Add(int64(n))
	return n, err
}

// closeIgnoringError closes the connection. A close error has no effect, as the connection is not used again.
func (cn *conn) closeIgnoringError() { _ = cn.Close() }

const (
	// finalReadTimeout bounds the reading of a response after the call's deadline. If the response is incomplete, the read fails
	// after this time.
	finalReadTimeout = 200 * time.Millisecond
	// finalReadStep is the part of finalReadTimeout that one pause of the process can use up.
	finalReadStep = 25 * time.Millisecond
)

// handleContextDone closes the connection when the call's context ends. If the deadline has passed, the connection stays open for
// finalReadTimeout in two cases. Response data may already be there: after a pause, this process sees the response and the expired
// deadline at the same time. Or the process was paused during the call, or until after the deadline: the request may have left it only
// now, and its target runs it.
func (cn *conn) handleContextDone(ctx context.Context, now time.Time, paused bool, finalReadSteps int64) {
	deadline, ok := ctx.Deadline()
	paused = paused || ok && now.Sub(deadline) >= pauseclock.MinPause
	if errors.Is(ctx.Err(), context.DeadlineExceeded) && (paused || cn.hasUnreadData()) {
		cn.finalSteps.Store(finalReadSteps)
		if cn.SetReadDeadline(now) == nil && cn.SetWriteDeadline(now.Add(finalReadTimeout)) == nil {
			return
		}
	}
	cn.dropUnacknowledged()
	cn.closeIgnoringError()
}

// dropUnacknowledged makes the close of the connection drop the data that the other end has not acknowledged. The kernel would deliver
// it later otherwise, and the target would run a request that has ended. While a request is being written, its next bytes may be on their way
// to the kernel although all before are acknowledged.
func (cn *conn) dropUnacknowledged() {
	if tc, ok := cn.Conn.(interface{ SetLinger(sec int) error }); ok && (cn.writing.Load() || cn.unacknowledged() > 0) {
		_ = tc.SetLinger(0) // fails only if the connection is closed
	}
}

// unacknowledged returns how many written bytes the other end of the TCP connection has not acknowledged; 0 if unknown. It is safe to
// call while other goroutines read and write.
func (cn *conn) unacknowledged() int {
	sc, ok := cn.Conn.(syscall.Conn)
	if !ok {
		return 0
	}
	rc, err := sc.SyscallConn()
	if err != nil {
		return 0
	}
	n := 0
	err = rc.Control(func(fd uintptr) {
		// The call fails if the connection is broken; n is then not positive.
		n, _ = unix.IoctlGetInt(int(fd), unix.SIOCOUTQ)
	})
	if err != nil {
		return 0
	}
	return max(0, n)
}

// tcpInfo returns what the kernel knows of the connection; nil if unknown. It is safe to call while other goroutines read and write.
func (cn *conn) tcpInfo() *unix.TCPInfo {
	sc, ok := cn.Conn.(syscall.Conn)
	if !ok {
		return nil
	}
	rc, err := sc.SyscallConn()
	if err != nil {
		return nil
	}
	var ti *unix.TCPInfo
	err = rc.Control(func(fd uintptr) {
		// The call fails if this is no TCP connection; ti is then nil.
		ti, _ = unix.GetsockoptTCPInfo(int(fd), unix.IPPROTO_TCP, unix.TCP_INFO)
	})
	if err != nil {
		return nil
	}
	return ti
}

// ackSilence returns the time since the last acknowledgement if data in flight or probes of a closed receive window wait for one; 0
// otherwise and if unknown. It is safe to call while other goroutines read and write.
func (cn *conn) ackSilence() time.Duration {
	// An answer resets the count of probes. The intervals between probes grow beyond any bound of ours, so that the time since the last
	// acknowledgement counts only if an earlier probe than the latest is unanswered too.
	ti := cn.tcpInfo()
	if ti == nil || ti.Unacked == 0 && ti.Probes < 2 {
		return 0
	}
	return time.Duration(ti.Last_ack_recv) * time.Millisecond
}

// The states of a TCP connection in the kernel that matter here.
const (
	tcpEstablished = 1
	tcpCloseWait   = 8
)

// isEstablished reports whether neither end has closed a direct connection; false if unknown.
func (cn *conn) isEstablished() bool {
	ti := cn.tcpInfo()
	return cn.peer == "" && ti != nil && ti.State == tcpEstablished
}

// endReceived reports whether the other end has closed a direct connection in order, even if data before that was not read yet; false if
// unknown.
func (cn *conn) endReceived() bool {
	ti := cn.tcpInfo()
	return cn.peer == "" && ti != nil && ti.State == tcpCloseWait
}

// receiptResolution is the resolution of the times in TCP_INFO at the lowest usual frequency of the kernel's clock, 100 Hz.
const receiptResolution = 10 * time.Millisecond

// lastReceiptBefore returns the latest time at which the last data or acknowledgement can have been received: now if unknown. The kernel knows
// it, also if this process was paused or has not read meanwhile. A segment that ends the connection carries an acknowledgement.
func (cn *conn) lastReceiptBefore(now time.Time) time.Time {
	ti := cn.tcpInfo()
	if ti == nil {
		return now
	}
	age := time.Duration(min(ti.Last_ack_recv, ti.Last_data_recv)) * time.Millisecond
	return now.Add(-max(0, age-receiptResolution))
}

// activityCheck returns a function that reports whether data has arrived since its last call, or since activityCheck at
// the first. The function may be used by one goroutine only.
func (cn *conn) activityCheck() func() bool {
	lastCount := cn.bytesRead.Load()
	return func() bool {
		before := lastCount
		lastCount = cn.bytesRead.Load()
		return lastCount != before || cn.hasUnreadData()
	}
}

// hasUnreadData reports whether the socket has received data that was not read yet. It is safe to call while another
// goroutine reads.
func (cn *conn) hasUnreadData() bool {
	sc, ok := cn.Conn.(syscall.Conn)
	if !ok {
		return false
	}
	rc, err := sc.SyscallConn()
	if err != nil {
		return false
	}
	n := 0
	// A read that receives the end of the data waits until a failure that was received here is recorded.
	cn.peekMu.Lock()
	defer cn.peekMu.Unlock()
	err = rc.Control(func(fd uintptr) {
		var b [1]byte
		var peekErr error
		n, _, peekErr = unix.Recvfrom(int(fd), b[:], unix.MSG_PEEK|unix.MSG_DONTWAIT)
		if peekErr != nil && !errors.IsAny(peekErr, unix.EAGAIN, unix.EINTR) {
			cn.peekErr = &net.OpError{Op: "read", Net: "tcp", Addr: cn.RemoteAddr(), Err: os.NewSyscallError("recvfrom", peekErr)}
		}
	})
	return err == nil && n > 0
}

// isOpenAndEmpty reports whether an idle connection is still open and has received nothing. Data that arrives on an idle
// connection belongs to no request, so the connection must not be reused.
func (cn *conn) isOpenAndEmpty() bool {
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
		_, readErr := syscall.Read(int(fd), b[:])
		open = errors.Is(readErr, syscall.EAGAIN)
		return true
	})
	return err == nil && open
}

// parseKeepAliveTimeout returns the timeout parameter of the Keep-Alive header; zero without one.
func parseKeepAliveTimeout(h http.Header) time.Duration {
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
