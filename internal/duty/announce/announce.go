// Package announce is the duty that registers the instance in the platform's store. It starts before the duty that serves callers
// and therefore stops after it: the registration is deleted only after the last request is served.
package announce

import (
	"context"
	"time"

	"github.com/cockroachdb/errors"

	"github.com/silvermount/silvermount/internal/fleet"
	"github.com/silvermount/silvermount/internal/kernel"
	"github.com/silvermount/silvermount/internal/objectstore"
)

func init() {
	kernel.Register(kernel.Duty{Name: "announce", Phase: kernel.PhasePeers, Start: start})
}

// retryDelay is the pause after a failed registration.
const retryDelay = time.Second

// registrar writes and renews the registration of this instance.
type registrar struct {
	store    *objectstore.Client
	self     fleet.Instance
	interval time.Duration
	// version is the version of the registration in the store; zero before it exists.
	version int64
}

func start(_ context.Context, env *kernel.Env) (kernel.Stop, error) {
	store, err := kernel.Resolve[*objectstore.Client](env)
	if err != nil {
		return nil, err
	}
	fl, err := kernel.Resolve[*fleet.Fleet](env)
	if err != nil {
		return nil, err
	}
	rg := &registrar{store: store, self: fl.Self(), interval: env.Settings.Platform.Registration.Std()}
	lg := env.Logger("announce")
	stop := kernel.Go(func(ctx context.Context) {
		for ctx.Err() == nil {
			wait := rg.interval
			if err := rg.renew(ctx); err != nil && ctx.Err() == nil {
				lg.WithError(err).Warn("could not register instance in the store")
				wait = retryDelay
			}
			select {
			case <-time.After(wait):
			case <-ctx.Done():
			}
		}
	})
	return func(ctx context.Context) error {
		// Wait for a renewal in progress, which would race with the removal.
		if err := stop(ctx); err != nil {
			return err
		}
		if err := rg.remove(ctx); err != nil {
			lg.WithError(err).Warn("could not delete registration; the next start of the instance replaces it")
		}
		return nil
	}, nil
}

// renew writes the registration. The name belongs to this instance, so after a conflict it overwrites the older registration.
func (rg *registrar) renew(ctx context.Context) error {
	version, err := rg.write(ctx)
	var conflict *objectstore.ConflictError
	if errors.As(err, &conflict) {
		o, gerr := rg.store.Get(ctx, objectstore.KindInstances, rg.self.Name)
		if gerr != nil {
			rg.version = 0
			return gerr
		}
		rg.version = o.Version
		version, err = rg.write(ctx)
	}
	if err == nil {
		rg.version = version
	}
	return err
}

func (rg *registrar) write(ctx context.Context) (int64, error) {
	if rg.version == 0 {
		return rg.store.Create(ctx, objectstore.KindInstances, rg.self.Name, rg.self)
	}
	return rg.store.Update(ctx, objectstore.KindInstances, rg.self.Name, rg.version, rg.self)
}

// remove deletes the registration, if there is one.
func (rg *registrar) remove(ctx context.Context) error {
	if rg.version == 0 {
		return nil
	}
	return errors.Wrap(rg.store.Delete(ctx, objectstore.KindInstances, rg.self.Name, rg.version), "delete registration")
}
