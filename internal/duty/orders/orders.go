// Package orders is the duty by which one instance of an availability zone orders engines to load models.
package orders

import (
	"context"
	"sync"
	"time"

	"github.com/apex/log"

	"github.com/silvermount/silvermount/internal/boottime"
	"github.com/silvermount/silvermount/internal/duty/reports"
	"github.com/silvermount/silvermount/internal/engine"
	"github.com/silvermount/silvermount/internal/fleet"
	"github.com/silvermount/silvermount/internal/kernel"
	"github.com/silvermount/silvermount/internal/lease"
	"github.com/silvermount/silvermount/internal/objectstore"
	"github.com/silvermount/silvermount/internal/order"
	"github.com/silvermount/silvermount/internal/rollout"
)

func init() {
	kernel.Register(kernel.Duty{Name: "orders", Phase: kernel.PhaseListen, Start: start})
}

const (
	leaseTTL          = 9 * time.Second
	reconcileInterval = 3 * time.Second
	// callTimeout bounds one order, margin is for clocks that run unlike each other.
	callTimeout = time.Second
	clockMargin = 2 * time.Second
	// maxLoading keeps to the weight store's rate.
	maxLoading  = 2
	leasePrefix = "orders-"
)

// giver gives the orders of one availability zone while it holds the lease.
type coordinator struct {
	lease   *lease.Lease
	fleet   *fleet.Fleet
	bundles *rollout.Holder
	clients reports.Clients
	log     log.Interface

	// epoch, sequence and wanted belong to the present hold; a new one starts from the engines' reports.
	epoch    int64
	sequence int64
	desired  map[string][]string
}

func start(_ context.Context, env *kernel.Env) (kernel.Stop, error) {
	store, err := kernel.Need[*objectstore.Client](env)
	if err != nil {
		return nil, err
	}
	gv := &coordinator{log: env.Logger("orders")}
	if gv.fleet, err = kernel.Need[*fleet.Fleet](env); err != nil {
		return nil, err
	}
	if gv.bundles, err = kernel.Need[*rollout.Holder](env); err != nil {
		return nil, err
	}
	if gv.clients, err = kernel.Need[reports.Clients](env); err != nil {
		return nil, err
	}
	gv.lease = lease.New(store, leasePrefix+env.Settings.AvailabilityZone, env.Incarnation, leaseTTL, boottime.Now)
	return kernel.Go(func(ctx context.Context) {
		tick := time.NewTicker(reconcileInterval)
		defer tick.Stop()
		for {
			gv.reconcile(ctx)
			select {
			case <-tick.C:
			case <-ctx.Done():
				return
			}
		}
	}), nil
}

// copies returns the wanted copies of each model in one availability zone; models without a number are left alone.
func (co *coordinator) wantedCopies() map[string]int {
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

// round renews the lease and gives the orders that are due. Without wanted copies nobody needs the lease.
func (co *coordinator) reconcile(ctx context.Context) {
	copies := co.wantedCopies()
	if len(copies) == 0 {
		return
	}
	if err := co.lease.TryAcquireOrRenew(ctx); err != nil {
		co.log.WithError(err).Warn("lease not renewed")
	}
	epoch, held := co.lease.Held(callTimeout + clockMargin)
	if !held {
		return
	}
	if epoch != co.epoch {
		co.epoch, co.sequence, co.desired = epoch, 0, map[string][]string{}
		co.log.WithField("epoch", epoch).Info("gives orders")
	}
	targets, engines := co.collectReports(ctx)
	for _, ch := range order.Plan(engines, copies, maxLoading) {
		co.sendOrder(ctx, targets[ch.Engine], ch)
	}
}

// look asks every engine of the availability zone for its report; those that do not answer are left alone.
func (co *coordinator) collectReports(ctx context.Context) (map[string]fleet.Target, []order.Engine) {
	ctx, cancel := context.WithTimeout(ctx, callTimeout)
	defer cancel()
	targets := map[string]fleet.Target{}
	var engines []order.Engine
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
			engines = append(engines, order.Engine{Name: t.Name, Models: r.Models, Desired: co.desired[t.Name]})
		})
	}
	wg.Wait()
	return targets, engines
}

// give sends one order. The lease is checked at the last step: a target that checks no fence must get no order from a
// holder whose time may be over before the order arrives.
func (co *coordinator) sendOrder(ctx context.Context, t fleet.Target, ch order.Assignment) {
	ctx, cancel := context.WithTimeout(ctx, callTimeout)
	defer cancel()
	co.sequence++
	o := engine.Order{Epoch: co.epoch, Sequence: co.sequence, Models: ch.Models}
	if epoch, held := co.lease.Held(callTimeout + clockMargin); !held || epoch != co.epoch {
		return
	}
	lg := co.log.WithField("target", t.Name).WithField("models", ch.Models)
	if err := co.clients(t).Order(ctx, o); err != nil {
		lg.WithError(err).Warn("order not taken")
		return
	}
	co.desired[t.Name] = ch.Models
	lg.Info("order given")
}
