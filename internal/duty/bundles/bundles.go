// Package bundles is the duty that keeps the newest accepted bundle in force.
package bundles

import (
	"context"
	"encoding/json"
	"time"

	"github.com/apex/log"

	"github.com/silvermount/silvermount/internal/bundlestore"
	"github.com/silvermount/silvermount/internal/duty/knowledge"
	"github.com/silvermount/silvermount/internal/kernel"
	"github.com/silvermount/silvermount/internal/objectstore"
	"github.com/silvermount/silvermount/internal/peer"
	"github.com/silvermount/silvermount/internal/rollout"
)

func init() {
	kernel.Register(kernel.Duty{Name: "bundles", Phase: kernel.PhaseWork, Start: start})
}

const retryDelay = 200 * time.Millisecond

type syncer struct {
	store  *bundlestore.Store
	mesh   *peer.Mesh
	holder *rollout.Holder
	log    log.Interface
}

func start(_ context.Context, env *kernel.Env) (kernel.Stop, error) {
	fo := &syncer{log: env.Logger("bundles")}
	client, err := kernel.Need[*objectstore.Client](env)
	if err != nil {
		return nil, err
	}
	fo.store = bundlestore.New(client)
	if fo.mesh, err = kernel.Need[*peer.Mesh](env); err != nil {
		return nil, err
	}
	if fo.holder, err = kernel.Need[*rollout.Holder](env); err != nil {
		return nil, err
	}
	watch := kernel.Go(func(ctx context.Context) {
		knowledge.ListAndWatch(ctx, client, objectstore.KindPointers, 0, fo.log, fo.applyPointers)
	})
	fetch := kernel.Go(fo.run)
	return func(ctx context.Context) error {
		if err := watch(ctx); err != nil {
			return err
		}
		return fetch(ctx)
	}, nil
}

func (sy *syncer) applyPointers(items []objectstore.Object) {
	for _, o := range items {
		var p rollout.Pointer
		if o.Name == rollout.PointerName && json.Unmarshal(o.Value, &p) == nil {
			sy.holder.Hear(p.Version)
		}
	}
}

// run fetches whatever newer bundle was heard of, from the store or else from a peer.
func (sy *syncer) run(ctx context.Context) {
	for ctx.Err() == nil {
		changed := sy.holder.Changed()
		wait := time.Hour
		if v := sy.holder.Behind(); v > 0 && !sy.fetch(ctx, v) {
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
		sy.log.WithField("version", version).WithError(err).Warn("bundle not fetched")
		return false
	}
	if sy.holder.Apply(b) {
		sy.log.WithField("version", b.Version).Info("bundle in force")
	}
	return sy.holder.Behind() == 0
}
