// Package sweep is the duty that cancels orphaned attempts at engines, so that they free the memory that they hold.
package sweep

import (
	"context"
	"time"

	"github.com/VictoriaMetrics/metrics"

	"github.com/silvermount/silvermount/internal/duty/reports"
	"github.com/silvermount/silvermount/internal/engine"
	"github.com/silvermount/silvermount/internal/fleet"
	"github.com/silvermount/silvermount/internal/kernel"
	"github.com/silvermount/silvermount/internal/set"
)

func init() {
	kernel.Register(kernel.Duty{Name: "sweep", Phase: kernel.PhaseWork, Start: start})
}

const (
	interval    = 2 * time.Second
	callTimeout = 2 * time.Second
	// deadlineGrace is the time past its deadline after which an attempt is certainly over.
	deadlineGrace = 2 * time.Second
)

func start(_ context.Context, env *kernel.Env) (kernel.Stop, error) {
	fl, err := kernel.Resolve[*fleet.Fleet](env)
	if err != nil {
		return nil, err
	}
	clients, err := kernel.Resolve[reports.Clients](env)
	if err != nil {
		return nil, err
	}
	mset, err := kernel.Resolve[*metrics.Set](env)
	if err != nil {
		return nil, err
	}
	cancelled := mset.NewCounter("silvermount_swept_attempts_total")
	return kernel.Go(func(ctx context.Context) {
		tick := time.NewTicker(interval)
		defer tick.Stop()
		for {
			select {
			case <-tick.C:
				cancelled.Add(Sweep(ctx, fl, clients))
			case <-ctx.Done():
				return
			}
		}
	}), nil
}

// Sweep cancels the attempts that are past their deadline or held for an ended incarnation, at the targets that this instance owns. It
// returns the number of cancelled attempts.
func Sweep(ctx context.Context, fl *fleet.Fleet, clients reports.Clients) int {
	ended := fl.EndedIncarnations()
	cancelled := 0
	for _, t := range fl.Owned() {
		if t.Kind == fleet.KindEngine {
			cancelled += sweepEngine(ctx, clients(t), ended)
		}
	}
	return cancelled
}

func sweepEngine(ctx context.Context, cl *engine.Client, ended set.Set[string]) int {
	ctx, cancel := context.WithTimeout(ctx, callTimeout)
	defer cancel()
	held, err := cl.ListMemoryHolds(ctx)
	if err != nil {
		return 0
	}
	cancelled := 0
	for _, h := range held {
		if Orphaned(h, ended) && cl.Cancel(ctx, h.Attempt) == nil {
			cancelled++
		}
	}
	return cancelled
}

// Orphaned reports whether no request can be waiting for an attempt that an engine holds.
func Orphaned(h engine.MemoryHold, ended set.Set[string]) bool {
	left := time.Duration(h.RemainingMillis) * time.Millisecond
	return left < -deadlineGrace || ended.Has(h.Holder)
}
