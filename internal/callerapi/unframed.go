package callerapi

import (
	"context"
	"net"
	"net/http"
	"net/url"
	"time"

	"github.com/VictoriaMetrics/metrics"

	"github.com/silvermount/silvermount/internal/upstream"
)

// watchDialTimeout bounds the establishment of a connection that shows whether a service outlives its response.
const watchDialTimeout = 250 * time.Millisecond

// UnverifiedEndError means that a response without length and chunks has ended, and may have been cut: the kernel closes the connections of a
// process that ends in order.
type UnverifiedEndError struct {
	// Life is what is known of the target's process; empty if it was not observed.
	Life upstream.Life
}

// Error includes what is known of the target.
func (ue *UnverifiedEndError) Error() string {
	if ue.Life == "" {
		return "response without length and chunks may be incomplete"
	}
	return "response without length and chunks may be incomplete: target " + string(ue.Life)
}

// isUnframed reports whether the end of a response is that of its connection. Compressed data that http.Transport has decompressed has an end of its
// own.
func isUnframed(resp *http.Response) bool {
	return resp.ContentLength < 0 && len(resp.TransferEncoding) == 0 && !resp.Uncompressed && resp.Request.Method != http.MethodHead
}

// endWatch finds out whether a response was ended by its sender, or may have been cut by the end of its sender's process. The zero value takes
// every response without length and chunks for one that may have been cut.
type endWatch struct {
	// sentinel is nil if the sender is not observed.
	sentinel *upstream.Sentinel
	// takesWork reports whether the sender is expected to accept connections; nil without a sentinel.
	takesWork func() bool
	// cancel closes the connections of the sentinel; nil without one.
	cancel context.CancelFunc
}

// watchEnd begins to observe the target of a response. close must be called.
func (sv *Server) watchEnd(ctx context.Context, target string, resp *http.Response) endWatch {
	if !isUnframed(resp) {
		return endWatch{}
	}
	// A connection that is closed at the deadline would look as if the target had ended.
	ctx, cancel := context.WithCancel(context.WithoutCancel(ctx))
	// The request of the response is the last one of a chain of redirects.
	return endWatch{
		sentinel:  newWatchPool(ctx).Watch(hostPort(resp.Request.URL)),
		takesWork: func() bool { return sv.Fleet.TakesWork(target) },
		cancel:    cancel,
	}
}

// newWatchPool returns a pool for the connections to the target of one response. They are closed when ctx ends: a service that serves one connection
// at a time would otherwise wait for a request on them.
func newWatchPool(ctx context.Context) *upstream.Pool {
	dl := upstream.Dialer{
		Timeout: watchDialTimeout, Connect: upstream.Connect, Now: time.Now, Paused: func() time.Duration { return 0 },
	}
	// The pool counts its own connections only, so that its metrics are not exposed.
	return upstream.NewPool(time.Now, metrics.NewSet(), dl.Timeout, upstream.WithDial(func(dialCtx context.Context, address string) (net.Conn, error) {
		nc, err := dl.Dial(dialCtx, address)
		if err == nil {
			context.AfterFunc(ctx, func() { _ = nc.Close() }) // fails if the sentinel has closed it
		}
		return nc, err
	}))
}

// hostPort returns the address of the host of a URL.
func hostPort(u *url.URL) string {
	port := u.Port()
	if port == "" {
		port = u.Scheme // net.Dial knows the ports of http and https
	}
	return net.JoinHostPort(u.Hostname(), port)
}

func (ew endWatch) close() {
	if ew.sentinel != nil {
		ew.sentinel.Close()
		ew.cancel()
	}
}

// check checks a response that was received to its end. It returns an UnverifiedEndError if that may not be the end that its sender gave it.
func (ew endWatch) check(resp *http.Response) error {
	if !isUnframed(resp) {
		return nil
	}
	if ew.sentinel == nil {
		return &UnverifiedEndError{}
	}
	life := ew.sentinel.AtEnd()
	if life == upstream.Ended || life == upstream.Refused && ew.takesWork() {
		return &UnverifiedEndError{Life: life}
	}
	return nil
}
