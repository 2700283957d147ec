// Package knowledge is the duty that follows the platform's lists of targets and instances.
package knowledge

import (
	"context"
	"encoding/json"
	"math/rand/v2"
	"time"

	"github.com/apex/log"

	"github.com/silvermount/silvermount/internal/burn"
	"github.com/silvermount/silvermount/internal/config"
	"github.com/silvermount/silvermount/internal/duty/listen"
	"github.com/silvermount/silvermount/internal/fleet"
	"github.com/silvermount/silvermount/internal/kernel"
	"github.com/silvermount/silvermount/internal/objectstore"
	"github.com/silvermount/silvermount/internal/rollout"
)

func init() {
	kernel.Register(kernel.Duty{Name: "knowledge", Phase: kernel.PhaseKnowledge, Defaults: defaults, Start: start})
}

const (
	watchWait = 20 * time.Second
	minPause  = 200 * time.Millisecond
	maxPause  = 5 * time.Second
	// targetPace and instancePace are the least times between two calls to watch: in a large fleet the objects of
	// instances change many times a second, and each call of each instance counts.
	targetPace   = 500 * time.Millisecond
	instancePace = 5 * time.Second
)

func defaults(s *config.Settings) {
	if s.Peers.Lost == 0 {
		s.Peers.Lost = config.Duration(3 * time.Second)
	}
}

func start(_ context.Context, env *kernel.Env) (kernel.Stop, error) {
	cl, err := kernel.Need[*objectstore.Client](env)
	if err != nil {
		return nil, err
	}
	ls, err := kernel.Need[*listen.Listeners](env)
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
	kernel.Provide(env, rollout.New())
	kernel.Provide(env, burn.New(time.Now))
	lg := env.Logger("knowledge")
	targets := kernel.Go(func(ctx context.Context) {
		Follow(ctx, cl, objectstore.KindTargets, targetPace, lg, func(items []objectstore.Object) { fl.SetTargets(decode[fleet.Target](items, lg)) })
	})
	instances := kernel.Go(func(ctx context.Context) {
		Follow(ctx, cl, objectstore.KindInstances, instancePace, lg, func(items []objectstore.Object) {
			fl.SetInstances(decode[fleet.ListedInstance](items, lg))
		})
	})
	return func(ctx context.Context) error {
		if err := targets(ctx); err != nil {
			return err
		}
		return instances(ctx)
	}, nil
}

func decode[T any](items []objectstore.Object, lg log.Interface) []T {
	var all []T
	for _, o := range items {
		var v T
		err := json.Unmarshal(o.Value, &v)
		if err != nil {
			lg.WithField("object", o.Name).WithError(err).Warn("object skipped")
			continue
		}
		if l, ok := any(&v).(*fleet.ListedInstance); ok {
			l.Version = o.Version
		}
		all = append(all, v)
	}
	return all
}

// Follow lists a kind, then watches it with at least pace between two calls, and calls apply with all objects after each
// change. It goes on through outages with what it heard last.
func Follow(ctx context.Context, cl *objectstore.Client, kind string, pace time.Duration, lg log.Interface, apply func([]objectstore.Object)) {
	pause := minPause
	for ctx.Err() == nil {
		err := follow(ctx, cl, kind, pace, apply, func() { pause = minPause })
		if ctx.Err() != nil {
			return
		}
		lg.WithField("kind", kind).WithError(err).Warn("store not reached")
		select {
		case <-time.After(pause/2 + rand.N(pause)):
		case <-ctx.Done():
		}
		pause = min(2*pause, maxPause)
	}
}

func follow(ctx context.Context, cl *objectstore.Client, kind string, pace time.Duration, apply func([]objectstore.Object), heard func()) error {
	l, err := cl.List(ctx, kind)
	if err != nil {
		return err
	}
	all := map[string]objectstore.Object{}
	for {
		heard()
		for _, o := range l.Items {
			if len(o.Value) == 0 {
				delete(all, o.Name)
				continue
			}
			all[o.Name] = o
		}
		if len(l.Items) > 0 {
			items := make([]objectstore.Object, 0, len(all))
			for _, o := range all {
				items = append(items, o)
			}
			apply(items)
		}
		select {
		case <-time.After(pace):
		case <-ctx.Done():
			return ctx.Err()
		}
		next, err := cl.Watch(ctx, kind, l.Version, watchWait)
		if err != nil {
			return err
		}
		l = next
	}
}
