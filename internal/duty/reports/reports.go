// Package reports is the duty that polls the load of the targets that this instance owns.
package reports

import (
	"context"
	"net/http"
	"sync"
	"time"

	"github.com/silvermount/silvermount/internal/boundedread"
	"github.com/silvermount/silvermount/internal/config"
	"github.com/silvermount/silvermount/internal/engine"
	"github.com/silvermount/silvermount/internal/fleet"
	"github.com/silvermount/silvermount/internal/kernel"
)

func init() {
	kernel.Register(kernel.Duty{Name: "reports", Phase: kernel.PhaseWork, Defaults: defaults, Start: start})
}

const callTimeout = time.Second

func defaults(s *config.Settings) {
	if s.Routing.ReportEvery == 0 {
		s.Routing.ReportEvery = config.Duration(500 * time.Millisecond)
	}
}

// Clients returns the client of an engine.
type Clients func(t fleet.Target) *engine.Client

func start(_ context.Context, env *kernel.Env) (kernel.Stop, error) {
	fl, err := kernel.Resolve[*fleet.Fleet](env)
	if err != nil {
		return nil, err
	}
	clients := NewClients()
	kernel.Provide(env, clients)
	return kernel.Go(func(ctx context.Context) {
		tick := time.NewTicker(env.Settings.Routing.ReportEvery.Std())
		defer tick.Stop()
		// Poll only after the first tick: an instance that has just started knows no peers yet, and would poll every target as its owner.
		for {
			select {
			case <-tick.C:
			case <-ctx.Done():
				return
			}
			Poll(ctx, fl, clients)
		}
	}), nil
}

// NewClients returns clients that share a pool of connections. Attempts that must not be repeated each open their own connection.
func NewClients() Clients {
	shared := &http.Client{Transport: &http.Transport{MaxIdleConnsPerHost: 64, IdleConnTimeout: 30 * time.Second, MaxResponseHeaderBytes: boundedread.MaxHeadBytes}}
	fresh := &http.Client{Transport: &http.Transport{DisableKeepAlives: true, MaxResponseHeaderBytes: boundedread.MaxHeadBytes}}
	return func(t fleet.Target) *engine.Client { return engine.New(t.URL, shared, fresh) }
}

// Poll requests a report from every owned engine once and waits for the answers. An engine that cannot be connected to counts as down.
func Poll(ctx context.Context, fl *fleet.Fleet, clients Clients) {
	ctx, cancel := context.WithTimeout(ctx, callTimeout)
	defer cancel()
	var wg sync.WaitGroup
	for _, t := range fl.Owned() {
		if t.Kind != fleet.KindEngine {
			continue
		}
		wg.Go(func() {
			r, err := clients(t).Report(ctx)
			if err != nil {
				if engine.IsDialError(err) {
					fl.MarkUnreachable(t.Name)
				}
				return
			}
			fl.ApplyReport(t.Name, r)
		})
	}
	wg.Wait()
}
