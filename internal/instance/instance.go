// Package instance lists the duties of an entry instance in one place and starts them.
package instance

import (
	"context"

	"github.com/VictoriaMetrics/metrics"
	"github.com/apex/log"

	"github.com/silvermount/silvermount/internal/config"
	// Each duty registers itself.
	_ "github.com/silvermount/silvermount/internal/duty/announce"
	_ "github.com/silvermount/silvermount/internal/duty/bundles"
	_ "github.com/silvermount/silvermount/internal/duty/callers"
	_ "github.com/silvermount/silvermount/internal/duty/cancels"
	_ "github.com/silvermount/silvermount/internal/duty/facts"
	_ "github.com/silvermount/silvermount/internal/duty/forwarding"
	_ "github.com/silvermount/silvermount/internal/duty/frontend"
	_ "github.com/silvermount/silvermount/internal/duty/jobs"
	_ "github.com/silvermount/silvermount/internal/duty/knowledge"
	"github.com/silvermount/silvermount/internal/duty/listen"
	_ "github.com/silvermount/silvermount/internal/duty/members"
	_ "github.com/silvermount/silvermount/internal/duty/operators"
	_ "github.com/silvermount/silvermount/internal/duty/orders"
	"github.com/silvermount/silvermount/internal/duty/peers"
	_ "github.com/silvermount/silvermount/internal/duty/reports"
	_ "github.com/silvermount/silvermount/internal/duty/store"
	_ "github.com/silvermount/silvermount/internal/duty/sweep"
	"github.com/silvermount/silvermount/internal/ident"
	"github.com/silvermount/silvermount/internal/kernel"
	// Each adapter registers itself.
	_ "github.com/silvermount/silvermount/platform"
)

// Instance is one running entry instance.
type Instance struct {
	kn *kernel.Kernel
}

// Option changes an instance before it starts.
type Option func(*kernel.Env)

// WithBlocked cuts links to peers in some availability zones; for tests and experiments.
func WithZoneBlocked(f func(zone string) bool) Option {
	return func(env *kernel.Env) { kernel.Provide(env, peers.ZoneBlocked(f)) }
}

// WithMetrics makes a gateway export what is in a set besides its own metrics.
func WithMetrics(ms *metrics.Set) Option {
	return func(env *kernel.Env) { kernel.Provide(env, ms) }
}

// Start starts an instance.
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

// Env returns what the duties share.
func (in *Instance) Env() *kernel.Env { return in.kn.Env }

// CallersURL returns the base URL for callers.
func (in *Instance) CallersURL() string {
	ls, err := kernel.Need[*listen.Listeners](in.kn.Env)
	if err != nil {
		return ""
	}
	return "http://" + ls.Callers.Addr().String()
}

// OperatorsURL returns the base URL for operators.
func (in *Instance) OperatorsURL() string {
	ls, err := kernel.Need[*listen.Listeners](in.kn.Env)
	if err != nil {
		return ""
	}
	return "http://" + ls.Operators.Addr().String()
}

// PeersAddress returns the address for other instances.
func (in *Instance) PeersAddress() string {
	ls, err := kernel.Need[*listen.Listeners](in.kn.Env)
	if err != nil {
		return ""
	}
	return ls.Peers.Addr().String()
}

// Reload puts new settings in force as far as that can be done while the instance runs.
func (in *Instance) Reload(s config.Settings) error { return in.kn.Reload(s) }

// Stop ends the instance; attached requests are served to their end.
func (in *Instance) Stop(ctx context.Context) error { return in.kn.Stop(ctx) }
