// Package retries is the duty that maintains the retry budget: it ends reservations and removes them from the store.
package retries

import (
	"context"
	"time"

	"github.com/apex/log"

	"github.com/silvermount/silvermount/internal/config"
	"github.com/silvermount/silvermount/internal/duty/gatewaydeps"
	"github.com/silvermount/silvermount/internal/kernel"
)

func init() {
	kernel.Register(kernel.Duty{Name: "retries", Role: config.RoleGateway, Phase: kernel.PhasePeers, Start: start})
}

const (
	// interval is the time between two rounds of maintenance.
	interval = time.Second
	// callTimeout bounds the calls to the store of one round.
	callTimeout = 2 * time.Second
	// peerDelay is the time after the start in which the first peers are found.
	peerDelay = 150 * time.Millisecond
	// readers is the mean number of instances that read the ledger when all start at the same time.
	readers = 8
)

// keeper maintains the retry budget. It is used by one goroutine.
type keeper struct {
	retries *gatewaydeps.Retries
	// startRank returns the rank of this instance for tasks that a few instances do when they start.
	startRank func() float64
	lg        log.Interface
}

func start(_ context.Context, env *kernel.Env) (kernel.Stop, error) {
	co, err := kernel.Resolve[*gatewaydeps.Components](env)
	if err != nil {
		return nil, err
	}
	kp := &keeper{retries: co.Retries, startRank: co.Quarantine.StartRank, lg: env.Logger("retries")}
	// Before the first start of all instances nothing was reserved.
	observe := !env.Settings.Gateway.FirstStart
	return kernel.Go(func(ctx context.Context) { kp.run(ctx, observe) }), nil
}

func (kp *keeper) run(ctx context.Context, observe bool) {
	if observe && wait(ctx, peerDelay) && kp.startRank() < readers {
		kp.call(ctx, kp.retries.Ledger.Observe, "cannot read retry ledger")
	}
	for wait(ctx, interval) {
		kp.retries.Own.Expire()
		kp.retries.Zone.Expire()
		kp.call(ctx, kp.retries.Ledger.Tidy, "cannot remove expired reservations of retries")
	}
}

// call calls the store, and logs an error.
func (kp *keeper) call(ctx context.Context, f func(context.Context) error, message string) {
	ctx, cancel := context.WithTimeout(ctx, callTimeout)
	defer cancel()
	if err := f(ctx); err != nil {
		kp.lg.WithError(err).Warn(message)
	}
}

// wait waits for d. It reports false if ctx ends first.
func wait(ctx context.Context, d time.Duration) bool {
	tm := time.NewTimer(d)
	defer tm.Stop()
	select {
	case <-tm.C:
		return true
	case <-ctx.Done():
		return false
	}
}
