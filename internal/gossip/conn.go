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
)

const (
	// dialTimeout is some hundred times a round trip between availability zones.
	dialTimeout = 500 * time.Millisecond
	// writeTimeout is half the default silence after which a member is lost.
	writeTimeout = time.Second
	// userTimeout is how long the kernel waits for an acknowledgement: the default silence after which a member is lost.
	userTimeout = 2 * time.Second
	// maxMessageBytes bounds a message that is read: four times the default of drpc, for documents.
	maxMessageBytes = 16 << 20
)

// boundedConn fails a write that makes no progress in time.
type boundedConn struct{ net.Conn }

// Write writes within writeTimeout.
func (bc boundedConn) Write(b []byte) (int, error) {
	if err := bc.SetWriteDeadline(time.Now().Add(writeTimeout)); err != nil {
		return 0, errors.Wrap(err, "set write deadline")
	}
	return bc.Conn.Write(b)
}

// boundedListener accepts bounded connections.
type boundedListener struct {
	net.Listener
	lg log.Interface
}

// Accept returns a bounded connection.
func (bl boundedListener) Accept() (net.Conn, error) {
	nc, err := bl.Listener.Accept()
	if err != nil {
		return nil, err
	}
	if sc, ok := nc.(syscall.Conn); ok {
		rc, err := sc.SyscallConn()
		if err == nil {
			err = setUserTimeout("", "", rc)
		}
		if err != nil {
			// The write timeout alone bounds a silent peer then.
			bl.lg.WithError(err).Debug("gossip connection takes no option")
		}
	}
	return boundedConn{Conn: nc}, nil
}

// setUserTimeout has the form of net.Dialer.Control.
func setUserTimeout(_, _ string, rc syscall.RawConn) error {
	var failed error
	err := rc.Control(func(fd uintptr) {
		failed = unix.SetsockoptInt(int(fd), unix.IPPROTO_TCP, unix.TCP_USER_TIMEOUT, int(userTimeout.Milliseconds()))
	})
	return errors.Wrap(errors.CombineErrors(err, failed), "set user timeout")
}

func managerOptions() drpcmanager.Options {
	return drpcmanager.Options{
		Reader:            drpcwire.ReaderOptions{MaximumBufferSize: maxMessageBytes},
		InactivityTimeout: userTimeout,
	}
}

// dial returns a connection to a peer and the transport below it.
func dial(ctx context.Context, address string) (*drpcconn.Conn, net.Conn, error) {
	d := net.Dialer{Timeout: dialTimeout, Control: setUserTimeout}
	nc, err := d.DialContext(ctx, "tcp", address)
	if err != nil {
		return nil, nil, &dialError{cause: errors.Wrap(err, "dial peer")}
	}
	nc = boundedConn{Conn: nc}
	return drpcconn.NewWithOptions(nc, drpcconn.Options{Manager: managerOptions()}), nc, nil
}
