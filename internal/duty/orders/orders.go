// Package orders is the duty that keeps the desired number of copies of each model loaded. One instance of each availability
// zone, elected by a lease, orders the zone's engines to load models.
package orders

import (
	"context"
	"sync"
	"time"

	"github.com/apex/log"

	"github.com/silvermount/silvermount/internal/boottime"
	"github.com/silvermount/silvermount/internal/bundlestate"
	"github.com/silvermount/silvermount/internal/duty/reports"
	"github.com/silvermount/silvermount/internal/engine"
	"github.com/silvermount/silvermount/internal/fleet"
	"github.com/silvermount/silvermount/internal/kernel"
	"github.com/silvermount/silvermount/internal/lease"
	"github.com/silvermount/silvermount/internal/modelplan"
	"github.com/silvermount/silvermount/internal/objectstore"
)

func init() {
	kernel.Register(kernel.Duty{Name: "orders", Phase: kernel.PhaseListen, Start: start})
}

const (
	leaseTTL          = 9 * time.Second
	reconcileInterval = 3 * time.Second
	// callTimeout bounds one call to an engine. clockMargin allows for clocks that run at different rates.
	callTimeout = time.Second
	clockMargin = 2 * time.Second
	// maxLoading is the maximum number of engines that load at a time. It keeps within the rate of the store of model weights.
	maxLoading  = 2
	leasePrefix = "orders-"
)

// coordinator sends the orders of one availability zone while it holds the lease.
type coordinator struct {
	lease   *lease.Lease
	fleet   *fleet.Fleet
	bundles *bundlestate.Holder
	clients reports.Clients
	log     log.Interface

	// epoch, sequence and desired belong to the current term of the lease. A new term starts again from the engines' reports.
	epoch    int64
	sequence int64
	desired  map[string][]string
}

func start(_ context.Context, env *kernel.Env) (kernel.Stop, error) {
	store, err := kernel.Resolve[*objectstore.Client](env)
	if err != nil {
		return nil, err
	}
	co := &coordinator{log: env.Logger("orders")}
	if co.fleet, err = kernel.Resolve[*fleet.Fleet](env); err != nil {
		return nil, err
	}
	if co.bundles, err = kernel.Resolve[*bundlestate.Holder](env); err != nil {
		return nil, err
	}
	if co.clients, err = kernel.Resolve[reports.Clients](env); err != nil {
		return nil, err
	}
	co.lease = lease.New(store, leasePrefix+env.Settings.AvailabilityZone, env.Incarnation, leaseTTL, boottime.Now)
	return kernel.Go(func(ctx context.Context) {
		tick := time.NewTicker(reconcileInterval)
		defer tick.Stop()
		for {
			co.reconcile(ctx)
			select {
			case <-tick.C:
			case <-ctx.Done():
				return
			}
		}
	}), nil
}

// desiredCopies returns the desired number of copies of each model in one availability zone. Models without a number are not
// managed.
func (co *coordinator) desiredCopies() map[string]int {
	copies := map[string]int{}
	if cur := co.bundles.Current(); cur != nil {
		for _, m := range cur.Models {
			if m.Copies > 0 {
				copies[m.Name] = m.Copies
			}
		}
	}
	return copies
}

// reconcile renews the lease and, while this instance holds it, sends the orders that are due. If no copies are desired, no
// instance needs the lease.
func (co *coordinator) reconcile(ctx context.Context) {
	copies := co.desiredCopies()
	if len(copies) == 0 {
		return
	}
	if err := co.lease.TryAcquireOrRenew(ctx); err != nil {
		co.log.WithError(err).Warn("could not acquire or renew lease")
	}
	epoch, held := co.lease.Held(callTimeout + clockMargin)
	if !held {
		return
	}
	if epoch != co.epoch {
		co.epoch, co.sequence, co.desired = epoch, 0, map[string][]string{}
		co.log.WithField("epoch", epoch).Info("acquired lease; sending orders to engines")
	}
	targets, engines := co.collectReports(ctx)
	for _, as := range modelplan.Plan(engines, copies, maxLoading) {
		co.sendOrder(ctx, targets[as.Engine], as)
	}
}

// collectReports asks every engine of the availability zone for its report. Engines that do not answer or are leaving get no orders.
func (co *coordinator) collectReports(ctx context.Context) (map[string]fleet.Target, []modelplan.Engine) {
	ctx, cancel := context.WithTimeout(ctx, callTimeout)
	defer cancel()
	targets := map[string]fleet.Target{}
	var engines []modelplan.Engine
	var mu sync.Mutex
	var wg sync.WaitGroup
	for _, t := range co.fleet.Targets() {
		if t.Kind != fleet.KindEngine || t.AvailabilityZone != co.fleet.Self().AvailabilityZone {
			continue
		}
		wg.Go(func() {
			r, err := co.clients(t).Report(ctx)
			if err != nil || r.Leaving {
				return
			}
			mu.Lock()
			defer mu.Unlock()
			targets[t.Name] = t
			engines = append(engines, modelplan.Engine{Name: t.Name, Models: r.Models, Desired: co.desired[t.Name]})
		})
	}
	wg.Wait()
	return targets, engines
}

// sendOrder sends one order. It checks the lease last, because a target that does not check the epoch must get no order from a holder
// whose lease may expire before the order arrives.
func (co *coordinator) sendOrder(ctx context.Context, t fleet.Target, as modelplan.Assignment) {
	ctx, cancel := context.WithTimeout(ctx, callTimeout)
	defer cancel()
	co.sequence++
	o := engine.Order{Epoch: co.epoch, Sequence: co.sequence, Models: as.Models}
	if epoch, held := co.lease.Held(callTimeout + clockMargin); !held || epoch != co.epoch {
		return
	}
	lg := co.log.WithField("target", t.Name).WithField("models", as.Models)
	if err := co.clients(t).Order(ctx, o); err != nil {
		lg.WithError(err).Warn("engine did not accept order")
		return
	}
	co.desired[t.Name] = as.Models
	lg.Info("engine accepted order")
}
