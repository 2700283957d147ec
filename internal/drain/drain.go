// Package drain ends a callers' listener without breaking off an answer that can still be given.
package drain

import (
	"context"
	"net/http"
	"time"

	"github.com/cockroachdb/errors"
)

// Plan says how long each part of a stop may take, from the time when it was asked for.
type Plan struct {
	// Lag is how long the balancer still sends new connections. They are accepted.
	BalancerLag time.Duration
	// Taking is how long new requests are still taken, at most Lag; zero takes them until the listener is closed.
	RefuseAfter time.Duration
	// Refuse makes the instance turn new requests away; it is called after Taking, and is nil when Taking is zero.
	RefuseNew func()
	// Answers is how long requests that are still running may go on, from Lag to Most. Without End it has no effect.
	AbortAfter time.Duration
	// End makes each request that is still running answer and end. It is called after Answers if there may be one, and is
	// nil where all requests end by themselves before Most.
	Abort func()
	// Most is when the wait for the last connection is given up. Between Answers and Most the last answers go out.
	Timeout time.Duration
}

// Run serves on for the balancer's lag, then closes the listener and waits for the last answer. The end of ctx cuts both
// short.
func (pl Plan) Run(ctx context.Context, srv *http.Server) error {
	began := time.Now()
	ctx, cancel := context.WithDeadline(ctx, began.Add(pl.Timeout))
	defer cancel()
	if pl.RefuseNew != nil {
		sleep(ctx, pl.RefuseAfter)
		pl.RefuseNew()
	}
	sleep(ctx, pl.BalancerLag-pl.RefuseAfter)
	if pl.Abort != nil {
		if shutdownBefore(ctx, srv, began.Add(pl.AbortAfter)) {
			return nil
		}
		pl.Abort()
	}
	// The server looks for the last connection in steps that grow up to half a second: asked anew after End, it sees the last
	// answers go out within milliseconds.
	return errors.Wrap(srv.Shutdown(ctx), "finish requests")
}

// finished closes the listener and reports whether the last answer came before a time.
func shutdownBefore(ctx context.Context, srv *http.Server, until time.Time) bool {
	ctx, cancel := context.WithDeadline(ctx, until)
	defer cancel()
	return srv.Shutdown(ctx) == nil
}

func sleep(ctx context.Context, d time.Duration) {
	select {
	case <-time.After(d):
	case <-ctx.Done():
	}
}
