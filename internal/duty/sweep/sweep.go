// Package sweep is the duty that frees what engines hold for requests that are over.
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
	every       = 2 * time.Second
	callTimeout = 2 * time.Second
	// grace is the time past its deadline after which an attempt is surely over.
	grace = 2 * time.Second
)

func start(_ context.Context, env *kernel.Env) (kernel.Stop, error) {
	fl, err := kernel.Need[*fleet.Fleet](env)
	if err != nil {
		return nil, err
	}
	clients, err := kernel.Need[reports.Clients](env)
	if err != nil {
		return nil, err
	}
	mset, err := kernel.Need[*metrics.Set](env)
	if err != nil {
		return nil, err
	}
	freed := mset.NewCounter("silvermount_swept_attempts_total")
	return kernel.Go(func(ctx context.Context) {
		tick := time.NewTicker(every)
		defer tick.Stop()
		for {
			select {
			case <-tick.C:
				freed.Add(Sweep(ctx, fl, clients))
			case <-ctx.Done():
				return
			}
		}
	}), nil
}

// Sweep frees, at the targets that this instance owns, what is past its deadline or held for an incarnation that has
// ended. It returns how many it freed.
func Sweep(ctx context.Context, fl *fleet.Fleet, clients reports.Clients) int {
	gone := fl.EndedIncarnations()
	freed := 0
	for _, t := range fl.Owned() {
		if t.Kind == fleet.KindEngine {
			freed += sweepOne(ctx, clients(t), gone)
		}
	}
	return freed
}

func sweepOne(ctx context.Context, cl *engine.Client, gone set.Set[string]) int {
	ctx, cancel := context.WithTimeout(ctx, callTimeout)
	defer cancel()
	held, err := cl.Held(ctx)
	if err != nil {
		return 0
	}
	freed := 0
	for _, h := range held {
		if Over(h, gone) && cl.Cancel(ctx, h.Attempt) == nil {
			freed++
		}
	}
	return freed
}

// Over reports whether nobody can be waiting for what an engine holds.
func Over(h engine.Held, gone set.Set[string]) bool {
	left := time.Duration(h.LeftMillis) * time.Millisecond
	return left < -grace || gone.Has(h.Holder)
}
