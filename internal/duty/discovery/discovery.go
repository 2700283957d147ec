// Package discovery is the duty that keeps the lists of targets and instances up to date with the platform's store.
package discovery

import (
	"context"
	"encoding/json"
	"math/rand/v2"
	"time"

	"github.com/apex/log"

	"github.com/silvermount/silvermount/internal/bundlestate"
	"github.com/silvermount/silvermount/internal/config"
	"github.com/silvermount/silvermount/internal/duty/listen"
	"github.com/silvermount/silvermount/internal/errorbudget"
	"github.com/silvermount/silvermount/internal/fleet"
	"github.com/silvermount/silvermount/internal/kernel"
	"github.com/silvermount/silvermount/internal/objectstore"
)

func init() {
	kernel.Register(kernel.Duty{Name: "knowledge", Phase: kernel.PhaseKnowledge, Defaults: defaults, Start: start})
}

const (
	watchTimeout = 20 * time.Second
	minBackOff   = 200 * time.Millisecond
	maxBackOff   = 5 * time.Second
	// targetWatchInterval and instanceWatchInterval are the minimum times between two watch calls. In a large fleet the objects of
	// instances change many times a second, so that a watch returns at once, and the calls of all instances add up.
	targetWatchInterval   = 500 * time.Millisecond
	instanceWatchInterval = 5 * time.Second
)

func defaults(s *config.Settings) {
	if s.Peers.Lost == 0 {
		s.Peers.Lost = config.Duration(3 * time.Second)
	}
}

func start(_ context.Context, env *kernel.Env) (kernel.Stop, error) {
	cl, err := kernel.Resolve[*objectstore.Client](env)
	if err != nil {
		return nil, err
	}
	ls, err := kernel.Resolve[*listen.Listeners](env)
	if err != nil {
		return nil, err
	}
	self := fleet.Instance{
		Name: env.Settings.Instance, Incarnation: env.Incarnation, AvailabilityZone: env.Settings.AvailabilityZone,
		PeerAddress: ls.Peers.Addr().String(), CallersAddress: ls.CallersAddress,
		OperatorsAddress: ls.Operators.Addr().String(),
	}
	fl := fleet.New(self, fleet.WithPeerTimeout(env.Settings.Peers.Lost.Std()))
	kernel.Provide(env, fl)
	kernel.Provide(env, bundlestate.New())
	kernel.Provide(env, errorbudget.New(time.Now))
	lg := env.Logger("knowledge")
	targets := kernel.Go(func(ctx context.Context) {
		ListAndWatch(ctx, cl, objectstore.KindTargets, targetWatchInterval, lg, func(objects []objectstore.Object) { fl.SetTargets(decodeObjects[fleet.Target](objects, lg)) })
	})
	instances := kernel.Go(func(ctx context.Context) {
		ListAndWatch(ctx, cl, objectstore.KindInstances, instanceWatchInterval, lg, func(objects []objectstore.Object) {
			fl.SetInstances(decodeObjects[fleet.ListedInstance](objects, lg))
		})
	})
	return func(ctx context.Context) error {
		if err := targets(ctx); err != nil {
			return err
		}
		return instances(ctx)
	}, nil
}

func decodeObjects[T any](objects []objectstore.Object, lg log.Interface) []T {
	var decoded []T
	for _, o := range objects {
		var v T
		err := json.Unmarshal(o.Value, &v)
		if err != nil {
			lg.WithField("object", o.Name).WithError(err).Warn("could not decode object of the store; object skipped")
			continue
		}
		if l, ok := any(&v).(*fleet.ListedInstance); ok {
			l.Version = o.Version
		}
		decoded = append(decoded, v)
	}
	return decoded
}

// ListAndWatch lists a kind of object and then watches it, with at least minInterval between two calls. It calls apply with all objects
// after each change. If the store fails, it retries with jittered exponential back-off; the last applied objects stay valid meanwhile.
func ListAndWatch(ctx context.Context, cl *objectstore.Client, kind string, minInterval time.Duration, lg log.Interface, apply func([]objectstore.Object)) {
	backOff := minBackOff
	for ctx.Err() == nil {
		err := listAndWatchUntilError(ctx, cl, kind, minInterval, apply, func() { backOff = minBackOff })
		if ctx.Err() != nil {
			return
		}
		lg.WithField("kind", kind).WithError(err).Warn("could not read objects from the store")
		select {
		case <-time.After(backOff/2 + rand.N(backOff)):
		case <-ctx.Done():
		}
		backOff = min(2*backOff, maxBackOff)
	}
}

func listAndWatchUntilError(ctx context.Context, cl *objectstore.Client, kind string, minInterval time.Duration, apply func([]objectstore.Object), onSuccess func()) error {
	list, err := cl.List(ctx, kind)
	if err != nil {
		return err
	}
	current := map[string]objectstore.Object{}
	for {
		onSuccess()
		for _, o := range list.Items {
			if len(o.Value) == 0 {
				delete(current, o.Name)
				continue
			}
			current[o.Name] = o
		}
		if len(list.Items) > 0 {
			objects := make([]objectstore.Object, 0, len(current))
			for _, o := range current {
				objects = append(objects, o)
			}
			apply(objects)
		}
		select {
		case <-time.After(minInterval):
		case <-ctx.Done():
			return ctx.Err()
		}
		next, err := cl.Watch(ctx, kind, list.Version, watchTimeout)
		if err != nil {
			return err
		}
		list = next
	}
}
