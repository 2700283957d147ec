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
	Lag time.Duration
	// Taking is how long new requests are still taken, at most Lag; zero takes them until the listener is closed.
	Taking time.Duration
	// Refuse makes the instance turn new requests away; it is called after Taking, and is nil when Taking is zero.
	Refuse func()
	// Most is when requests that are still running are given up.
	Most time.Duration
}

// Run serves on for the balancer's lag, then closes the listener and waits for the last answer. The end of ctx cuts both
// short.
func (pl Plan) Run(ctx context.Context, srv *http.Server) error {
	ctx, cancel := context.WithTimeout(ctx, pl.Most)
	defer cancel()
	if pl.Refuse != nil {
		wait(ctx, pl.Taking)
		pl.Refuse()
	}
	wait(ctx, pl.Lag-pl.Taking)
	return errors.Wrap(srv.Shutdown(ctx), "finish requests")
}

func wait(ctx context.Context, d time.Duration) {
	select {
	case <-time.After(d):
	case <-ctx.Done():
	}
}
