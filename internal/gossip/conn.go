package gossip

import (
	"context"
	"net"
	"time"

	"github.com/apex/log"
	"github.com/cockroachdb/errors"
	"storj.io/drpc/drpcconn"
	"storj.io/drpc/drpcmanager"
	"storj.io/drpc/drpcwire"

	"github.com/silvermount/silvermount/internal/graceconn"
	"github.com/silvermount/silvermount/internal/sockopt"
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

// liveness detects a lost connection to a peer. Heartbeats keep data in transit, so the default keep-alive probes are never sent.
var liveness = sockopt.Liveness{UserTimeout: userTimeout}

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
type deadlineListener struct{ net.Listener }

// Accept wraps the next connection in a deadlineConn.
func (dl deadlineListener) Accept() (net.Conn, error) {
	nc, err := dl.Listener.Accept()
	if err != nil {
		return nil, err
	}
	return newDeadlineConn(nc), nil
}

// livenessListener accepts connections whose loss the kernel detects.
type livenessListener struct {
	net.Listener
	lg log.Interface
}

// Listen returns a listener for the connections of peers.
func Listen(ctx context.Context, address string, lg log.Interface) (net.Listener, error) {
	var lc net.ListenConfig
	lis, err := lc.Listen(ctx, "tcp", address)
	if err != nil {
		return nil, errors.Wrap(err, "listen for peers")
	}
	return livenessListener{Listener: lis, lg: lg}, nil
}

// Accept sets the TCP user timeout of the next connection.
func (ll livenessListener) Accept() (net.Conn, error) {
	nc, err := ll.Listener.Accept()
	if err != nil {
		return nil, err
	}
	if tc, ok := nc.(*net.TCPConn); ok {
		if err := liveness.Apply(tc); err != nil {
			// Without the option only the write timeout bounds how long a silent peer blocks a link.
			ll.lg.WithError(err).Debug("cannot set the TCP user timeout of a gossip connection")
		}
	}
	return nc, nil
}

func managerOptions() drpcmanager.Options {
	return drpcmanager.Options{
		Reader:            drpcwire.ReaderOptions{MaximumBufferSize: maxMessageBytes},
		InactivityTimeout: userTimeout,
	}
}

// dial returns a drpc connection to a peer and the TCP connection below it.
func dial(ctx context.Context, address string) (*drpcconn.Conn, net.Conn, error) {
	d := liveness.Dialer()
	d.Timeout = dialTimeout
	nc, err := d.DialContext(ctx, "tcp", address)
	if err != nil {
		return nil, nil, &dialError{cause: errors.Wrap(err, "dial peer")}
	}
	nc = newDeadlineConn(nc)
	return drpcconn.NewWithOptions(nc, drpcconn.Options{Manager: managerOptions()}), nc, nil
}
