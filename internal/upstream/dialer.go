package upstream

import (
	"context"
	"net"
	"syscall"
	"time"

	"github.com/cockroachdb/errors"

	"github.com/silvermount/silvermount/internal/pauseclock"
	"github.com/silvermount/silvermount/internal/sockopt"
)

// Liveness detects a lost connection to a target. The user timeout leaves time for several retransmissions of a request. Keep-alive
// probes detect the loss while a request waits for its response. A target that answers nothing for two seconds leaves at most two probes
// in a row unanswered, and keeps its connections.
var Liveness = sockopt.Liveness{UserTimeout: 3200 * time.Millisecond, KeepAliveIdle: time.Second, KeepAliveInterval: time.Second}

// ConnectFunc opens a connection to the IP address and port of a target, like net.Dialer.DialContext.
type ConnectFunc func(ctx context.Context, network, address string) (net.Conn, error)

// Connect is the ConnectFunc of the operating system. The kernel detects the loss of its connections.
func Connect(ctx context.Context, network, address string) (net.Conn, error) {
	return Liveness.Dialer().DialContext(ctx, network, address)
}

// Dialer connects to targets directly. All fields are required.
type Dialer struct {
	// Timeout bounds the establishment of a connection.
	Timeout time.Duration
	Connect ConnectFunc
	// Now returns the time of a monotonic clock.
	Now func() time.Time
	// Paused returns the total time for which the process was paused so far.
	Paused func() time.Duration
}

// Dial connects to an address. It fails with a DialError.
func (dl Dialer) Dial(ctx context.Context, address string) (net.Conn, error) {
	ctx, cancel := context.WithTimeout(ctx, dl.Timeout)
	defer cancel()
	startedAt, pausedBefore := dl.Now(), dl.Paused()
	nc, err := dl.Connect(ctx, "tcp", address)
	if err != nil {
		de := &DialError{Address: address, Cause: err}
		return nil, de.withElapsed(dl.Now().Sub(startedAt), dl.Paused()-pausedBefore, dl.Timeout)
	}
	return nc, nil
}

// DialError reports that no connection was established, so nothing was sent.
type DialError struct {
	Address string
	Cause   error
	// Peers is why no peer connected to the target either; nil if none was asked.
	Peers error
	// Isolated is set when neither this instance nor its peers reach any target, so that trying another one is pointless.
	Isolated bool
	// Doubtful is set when peers were asked and could not tell whether the target is at fault.
	Doubtful bool
	// ProcessPaused is set when this process was paused during the dial. The timeout is then no evidence against the target.
	ProcessPaused bool
}

// Error includes the address and the cause.
func (de *DialError) Error() string {
	text := "no connection to " + de.Address + ": " + de.Cause.Error()
	if de.Peers != nil {
		text += "; " + de.Peers.Error()
	}
	return text
}

// Unwrap returns the cause.
func (de *DialError) Unwrap() error { return de.Cause }

// Refused reports whether the connection was refused: the machine is reachable, but the process that listened at the
// address has ended.
func (de *DialError) Refused() bool { return !de.Doubtful && errors.Is(de.Cause, syscall.ECONNREFUSED) }

// withElapsed sets ProcessPaused if the dial timed out, and the process was paused during it or it took much longer than its timeout.
func (de *DialError) withElapsed(elapsed, paused, timeout time.Duration) *DialError {
	var ne net.Error
	timedOut := errors.As(de.Cause, &ne) && ne.Timeout()
	de.ProcessPaused = timedOut && (paused > 0 || elapsed >= timeout+pauseclock.MinPause)
	return de
}
