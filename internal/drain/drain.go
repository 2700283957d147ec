// Package drain shuts down the HTTP server for callers gracefully: requests in flight can complete until a deadline.
package drain

import (
	"context"
	"net/http"
	"time"

	"github.com/cockroachdb/errors"
)

// Plan is the schedule of a shutdown. All durations are counted from the call of Run.
type Plan struct {
	// BalancerLag is how long the load balancer may still open new connections. The listener stays open until then.
	BalancerLag time.Duration
	// RefuseAfter is when the server begins to refuse new requests, at most BalancerLag. If RefuseNew is nil, it must be zero, and
	// new requests are served until the listener is closed.
	RefuseAfter time.Duration
	// RefuseNew makes the server refuse new requests. It is called at RefuseAfter; nil if that is zero.
	RefuseNew func()
	// AbortAfter is how long requests in flight may continue, between BalancerLag and Timeout. It has no effect if Abort is nil.
	AbortAfter time.Duration
	// Abort makes each request in flight send its response and end. It is called at AbortAfter if requests may still be in flight. It
	// is nil if all requests end on their own before Timeout.
	Abort func()
	// Timeout is when Run stops waiting for open connections. The last responses are sent between AbortAfter and Timeout.
	Timeout time.Duration
}

// Run lets the server continue for BalancerLag, then closes its listener and waits for the last response. If ctx ends, it does not
// wait any longer.
func (pl Plan) Run(ctx context.Context, srv *http.Server) error {
	startedAt := time.Now()
	ctx, cancel := context.WithDeadline(ctx, startedAt.Add(pl.Timeout))
	defer cancel()
	if pl.RefuseNew != nil {
		sleep(ctx, pl.RefuseAfter)
		pl.RefuseNew()
	}
	sleep(ctx, pl.BalancerLag-pl.RefuseAfter)
	if pl.Abort != nil {
		if shutdownBefore(ctx, srv, startedAt.Add(pl.AbortAfter)) {
			return nil
		}
		pl.Abort()
	}
	// Shutdown polls for open connections at intervals that grow to half a second. A new call after Abort starts with short
	// intervals again, and so detects the last response within milliseconds.
	return errors.Wrap(srv.Shutdown(ctx), "shut down server")
}

// shutdownBefore closes the listener, and reports whether the last request ended before the given time.
func shutdownBefore(ctx context.Context, srv *http.Server, until time.Time) bool {
	ctx, cancel := context.WithDeadline(ctx, until)
	defer cancel()
	return srv.Shutdown(ctx) == nil
}

// sleep waits for d or until ctx ends.
func sleep(ctx context.Context, d time.Duration) {
	select {
	case <-time.After(d):
	case <-ctx.Done():
	}
}
