// Package instance starts an entry instance. It imports all duties and adapters, which register themselves.
package instance

import (
	"context"

	"github.com/VictoriaMetrics/metrics"
	"github.com/apex/log"

	"github.com/silvermount/silvermount/internal/config"
	// Duties register themselves when they are imported.
	_ "github.com/silvermount/silvermount/internal/duty/announce"
	_ "github.com/silvermount/silvermount/internal/duty/bundles"
	_ "github.com/silvermount/silvermount/internal/duty/callers"
	_ "github.com/silvermount/silvermount/internal/duty/cancels"
	_ "github.com/silvermount/silvermount/internal/duty/discovery"
	_ "github.com/silvermount/silvermount/internal/duty/frontend"
	_ "github.com/silvermount/silvermount/internal/duty/gatewaydeps"
	_ "github.com/silvermount/silvermount/internal/duty/jobs"
	"github.com/silvermount/silvermount/internal/duty/listen"
	_ "github.com/silvermount/silvermount/internal/duty/operators"
	_ "github.com/silvermount/silvermount/internal/duty/orders"
	"github.com/silvermount/silvermount/internal/duty/peers"
	_ "github.com/silvermount/silvermount/internal/duty/peersync"
	_ "github.com/silvermount/silvermount/internal/duty/quarantinestore"
	_ "github.com/silvermount/silvermount/internal/duty/reports"
	_ "github.com/silvermount/silvermount/internal/duty/retries"
	_ "github.com/silvermount/silvermount/internal/duty/store"
	_ "github.com/silvermount/silvermount/internal/duty/storesync"
	_ "github.com/silvermount/silvermount/internal/duty/sweep"
	"github.com/silvermount/silvermount/internal/ident"
	"github.com/silvermount/silvermount/internal/kernel"
	"github.com/silvermount/silvermount/internal/upstream"
	// Adapters register themselves when they are imported.
	_ "github.com/silvermount/silvermount/platform"
)

// Instance is one running entry instance.
type Instance struct {
	kn *kernel.Kernel
}

// Option configures an instance in Start.
type Option func(*kernel.Env)

// WithZoneBlocked blocks links to peers in the availability zones for which blocked returns true. It is meant for tests and
// experiments.
func WithZoneBlocked(blocked func(zone string) bool) Option {
	return func(env *kernel.Env) { kernel.Provide(env, peers.ZoneBlocked(blocked)) }
}

// WithMetrics makes a gateway export the metrics of a set in addition to its own.
func WithMetrics(ms *metrics.Set) Option {
	return func(env *kernel.Env) { kernel.Provide(env, ms) }
}

// WithTargetConnect makes a gateway open its connections to targets with a function. It is meant for tests that simulate the network.
func WithTargetConnect(connect upstream.ConnectFunc) Option {
	return func(env *kernel.Env) { kernel.Provide(env, connect) }
}

// Start starts an instance with the given settings.
func Start(ctx context.Context, s config.Settings, lg log.Interface, opts ...Option) (*Instance, error) {
	kn, err := kernel.New(s, ident.New("inst"), lg)
	if err != nil {
		return nil, err
	}
	for _, o := range opts {
		o(kn.Env)
	}
	if err := kn.Start(ctx); err != nil {
		return nil, err
	}
	return &Instance{kn: kn}, nil
}

// Env returns the environment that the duties share.
func (in *Instance) Env() *kernel.Env { return in.kn.Env }

// CallersURL returns the base URL for callers, or an empty string if the instance has no listeners.
func (in *Instance) CallersURL() string {
	ls, err := kernel.Resolve[*listen.Listeners](in.kn.Env)
	if err != nil {
		return ""
	}
	return "http://" + ls.Callers.Addr().String()
}

// OperatorsURL returns the base URL for operators, or an empty string if the instance has no listeners.
func (in *Instance) OperatorsURL() string {
	ls, err := kernel.Resolve[*listen.Listeners](in.kn.Env)
	if err != nil {
		return ""
	}
	return "http://" + ls.Operators.Addr().String()
}

// PeersAddress returns the address for peers, or an empty string if the instance has no listeners.
func (in *Instance) PeersAddress() string {
	ls, err := kernel.Resolve[*listen.Listeners](in.kn.Env)
	if err != nil {
		return ""
	}
	return ls.Peers.Addr().String()
}

// Reload applies those of the new settings that can change while the instance runs.
func (in *Instance) Reload(s config.Settings) error { return in.kn.Reload(s) }

// Stop drains and stops the instance. Requests in flight are served to their end.
func (in *Instance) Stop(ctx context.Context) error { return in.kn.Stop(ctx) }
