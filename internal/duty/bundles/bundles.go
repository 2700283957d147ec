// Package bundles is the duty that fetches the newest accepted configuration bundle and puts it in force.
package bundles

import (
	"context"
	"encoding/json"
	"time"

	"github.com/apex/log"

	"github.com/silvermount/silvermount/internal/bundlestate"
	"github.com/silvermount/silvermount/internal/bundlestore"
	"github.com/silvermount/silvermount/internal/duty/discovery"
	"github.com/silvermount/silvermount/internal/kernel"
	"github.com/silvermount/silvermount/internal/objectstore"
	"github.com/silvermount/silvermount/internal/peer"
)

func init() {
	kernel.Register(kernel.Duty{Name: "bundles", Phase: kernel.PhaseWork, Start: start})
}

// retryDelay is the pause after a failed fetch.
const retryDelay = 200 * time.Millisecond

// syncer keeps the bundle in force up to date with the store's pointer to the newest one.
type syncer struct {
	store  *bundlestore.Store
	mesh   *peer.Mesh
	holder *bundlestate.Holder
	log    log.Interface
}

func start(_ context.Context, env *kernel.Env) (kernel.Stop, error) {
	sy := &syncer{log: env.Logger("bundles")}
	client, err := kernel.Resolve[*objectstore.Client](env)
	if err != nil {
		return nil, err
	}
	sy.store = bundlestore.New(client)
	if sy.mesh, err = kernel.Resolve[*peer.Mesh](env); err != nil {
		return nil, err
	}
	if sy.holder, err = kernel.Resolve[*bundlestate.Holder](env); err != nil {
		return nil, err
	}
	watch := kernel.Go(func(ctx context.Context) {
		discovery.ListAndWatch(ctx, client, objectstore.KindPointers, 0, sy.log, sy.applyPointers)
	})
	fetch := kernel.Go(sy.run)
	return func(ctx context.Context) error {
		if err := watch(ctx); err != nil {
			return err
		}
		return fetch(ctx)
	}, nil
}

func (sy *syncer) applyPointers(objects []objectstore.Object) {
	for _, o := range objects {
		var p bundlestate.Pointer
		if o.Name == bundlestate.PointerName && json.Unmarshal(o.Value, &p) == nil {
			sy.holder.ObserveAccepted(p.Version)
		}
	}
}

// run fetches every newer bundle whose version becomes known, from the store or, if that fails, from a peer.
func (sy *syncer) run(ctx context.Context) {
	for ctx.Err() == nil {
		changed := sy.holder.Changed()
		wait := time.Hour
		if v := sy.holder.PendingVersion(); v > 0 && !sy.fetch(ctx, v) {
			wait = retryDelay
		}
		select {
		case <-changed:
		case <-time.After(wait):
		case <-ctx.Done():
		}
	}
}

func (sy *syncer) fetch(ctx context.Context, version int64) bool {
	b, err := sy.store.Get(ctx, version)
	if err != nil {
		b, err = sy.mesh.FetchBundle(ctx, version)
	}
	if err != nil {
		sy.log.WithField("version", version).WithError(err).Warn("could not fetch bundle from store or peers")
		return false
	}
	if sy.holder.Apply(b) {
		sy.log.WithField("version", b.Version).Info("bundle in force")
	}
	return sy.holder.PendingVersion() == 0
}
