// Package graceconn provides connections whose write deadlines survive a pause of the process. A deadline that passes while the
// process is suspended fails the next write, although nothing was wrong with the peer. Connections of this package write what is
// left nevertheless, and fail only once the peer takes no more bytes.
package graceconn

import (
	"context"
	"net"
	"os"
	"sync"
	"time"

	"github.com/cockroachdb/errors"

	"github.com/silvermount/silvermount/internal/pauseclock"
)

const (
	// graceStep is the part of the grace that a pause can use up, however long it is.
	graceStep = 25 * time.Millisecond
	// maxGraceSteps bounds the time that a peer has after the deadline.
	maxGraceSteps = 10
)

// Listener accepts connections whose writes survive a pause of the process.
type Listener struct {
	net.Listener
	// graceSteps is how many steps a connection has after a write deadline.
	graceSteps int
}

// Listen binds a TCP address.
func Listen(ctx context.Context, address string) (Listener, error) {
	var lc net.ListenConfig
	ln, err := lc.Listen(ctx, "tcp", address)
	return Listener{Listener: ln, graceSteps: maxGraceSteps}, errors.Wrap(err, "listen")
}

// Accept returns the next connection.
func (ln Listener) Accept() (net.Conn, error) {
	nc, err := ln.Listener.Accept()
	if err != nil {
		return nil, err
	}
	return &conn{Conn: nc, graceSteps: ln.graceSteps}, nil
}

// New returns a connection that is nc but for its writes, which survive a pause of the process.
func New(nc net.Conn) net.Conn { return &conn{Conn: nc, graceSteps: maxGraceSteps} }

// conn is a connection whose writes survive a pause of the process. Like a net.Conn, it is safe for concurrent use.
type conn struct {
	net.Conn
	// graceSteps is how many steps there are after a write deadline.
	graceSteps int

	mu sync.Mutex
	// writeDeadline is the deadline that was set last; zero means none. The deadline of Conn is the same, or later during the grace.
	writeDeadline time.Time
	// stepsUsed is how many steps of the grace after writeDeadline have begun.
	stepsUsed int
}

// SetDeadline sets the read and the write deadline.
func (cn *conn) SetDeadline(t time.Time) error {
	if err := cn.SetReadDeadline(t); err != nil {
		return err
	}
	return cn.SetWriteDeadline(t)
}

// SetWriteDeadline sets the deadline of writes. After it, the peer is still offered what is left, at most for the grace.
func (cn *conn) SetWriteDeadline(t time.Time) error {
	cn.mu.Lock()
	defer cn.mu.Unlock()
	cn.writeDeadline, cn.stepsUsed = t, 0
	return cn.Conn.SetWriteDeadline(t)
}

// Write writes b. It does not fail because of a deadline that passed before the peer could be offered the bytes.
func (cn *conn) Write(b []byte) (int, error) {
	startedAt, deadline := time.Now(), cn.deadline()
	written, err := cn.Conn.Write(b)
	// A peer that could take bytes until the deadline while this process ran has had its time, unless it takes some now.
	hadTime := startedAt.Before(deadline) && time.Since(deadline) < pauseclock.MinPause
	for errors.Is(err, os.ErrDeadlineExceeded) {
		stepEnd := time.Now().Add(graceStep)
		if !cn.beginStep(deadline, stepEnd) {
			return written, err
		}
		var n int
		n, err = cn.Conn.Write(b[written:])
		written += n
		if n == 0 && hadTime && time.Since(stepEnd) < pauseclock.MinPause {
			return written, err
		}
	}
	return written, err
}

// CloseWrite closes the sending side, as net/http does before it closes a connection with unread data: the peer could otherwise lose
// the response.
func (cn *conn) CloseWrite() error {
	tc, ok := cn.Conn.(*net.TCPConn)
	if !ok {
		return errors.Wrap(errors.ErrUnsupported, "close sending side")
	}
	return tc.CloseWrite()
}

// SetLinger sets whether the close of the connection resets it, as net.TCPConn does.
func (cn *conn) SetLinger(sec int) error {
	tc, ok := cn.Conn.(*net.TCPConn)
	if !ok {
		return errors.Wrap(errors.ErrUnsupported, "set linger")
	}
	return tc.SetLinger(sec)
}

func (cn *conn) deadline() time.Time {
	cn.mu.Lock()
	defer cn.mu.Unlock()
	return cn.writeDeadline
}

// beginStep moves the deadline of the connection below to the end of the next step. It reports false if the grace is over, or if the
// deadline was replaced during the write.
func (cn *conn) beginStep(deadline, stepEnd time.Time) bool {
	cn.mu.Lock()
	defer cn.mu.Unlock()
	if !cn.writeDeadline.Equal(deadline) || cn.stepsUsed >= cn.graceSteps {
		return false
	}
	cn.stepsUsed++
	return cn.Conn.SetWriteDeadline(stepEnd) == nil
}
