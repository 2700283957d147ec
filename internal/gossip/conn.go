package gossip

import (
	"context"
	"net"
	"syscall"
	"time"

	"github.com/apex/log"
	"github.com/cockroachdb/errors"
	"golang.org/x/sys/unix"
	"storj.io/drpc/drpcconn"
	"storj.io/drpc/drpcmanager"
	"storj.io/drpc/drpcwire"

	"github.com/silvermount/silvermount/internal/graceconn"
)

const (
	// dialTimeout is about a hundred round trips between availability zones.
	dialTimeout = 500 * time.Millisecond
	// writeTimeout is half of defaultLostAfter.
	writeTimeout = time.Second
	// userTimeout is how long the kernel waits for a TCP acknowledgement. It equals defaultLostAfter.
	userTimeout = 2 * time.Second
	// maxMessageBytes bounds a received message: four times drpc's default, because documents are large.
	maxMessageBytes = 16 << 20
)

// deadlineConn sets a deadline on every write.
type deadlineConn struct{ net.Conn }

// newDeadlineConn returns a connection to a peer. A pause of the process during a write does not end it.
func newDeadlineConn(nc net.Conn) deadlineConn { return deadlineConn{Conn: graceconn.New(nc)} }

// Write fails if the peer takes no bytes for longer than writeTimeout.
func (dc deadlineConn) Write(b []byte) (int, error) {
	if err := dc.SetWriteDeadline(time.Now().Add(writeTimeout)); err != nil {
		return 0, errors.Wrap(err, "set write deadline")
	}
	return dc.Conn.Write(b)
}

// deadlineListener accepts connections whose writes have a deadline.
type deadlineListener struct {
	net.Listener
	lg log.Interface
}

// Accept wraps the next connection in a deadlineConn and sets its TCP user timeout.
func (dl deadlineListener) Accept() (net.Conn, error) {
	nc, err := dl.Listener.Accept()
	if err != nil {
		return nil, err
	}
	if sc, ok := nc.(syscall.Conn); ok {
		rc, err := sc.SyscallConn()
		if err == nil {
			err = setUserTimeout("", "", rc)
		}
		if err != nil {
			// Without the option only the write timeout bounds how long a silent peer blocks a link.
			dl.lg.WithError(err).Debug("cannot set the TCP user timeout of a gossip connection")
		}
	}
	return newDeadlineConn(nc), nil
}

// setUserTimeout sets TCP_USER_TIMEOUT on a socket. Its signature is that of net.Dialer.Control.
func setUserTimeout(_, _ string, rc syscall.RawConn) error {
	var optErr error
	err := rc.Control(func(fd uintptr) {
		optErr = unix.SetsockoptInt(int(fd), unix.IPPROTO_TCP, unix.TCP_USER_TIMEOUT, int(userTimeout.Milliseconds()))
	})
	return errors.Wrap(errors.CombineErrors(err, optErr), "set user timeout")
}

func managerOptions() drpcmanager.Options {
	return drpcmanager.Options{
		Reader:            drpcwire.ReaderOptions{MaximumBufferSize: maxMessageBytes},
		InactivityTimeout: userTimeout,
	}
}

// dial returns a drpc connection to a peer and the TCP connection below it.
func dial(ctx context.Context, address string) (*drpcconn.Conn, net.Conn, error) {
	d := net.Dialer{Timeout: dialTimeout, Control: setUserTimeout}
	nc, err := d.DialContext(ctx, "tcp", address)
	if err != nil {
		return nil, nil, &dialError{cause: errors.Wrap(err, "dial peer")}
	}
	nc = newDeadlineConn(nc)
	return drpcconn.NewWithOptions(nc, drpcconn.Options{Manager: managerOptions()}), nc, nil
}
