// Package forwarding is the duty that builds the parts which the other duties of a gateway share.
package forwarding

import (
	"context"
	"strings"
	"sync/atomic"
	"time"

	"github.com/VictoriaMetrics/metrics"

	"github.com/silvermount/silvermount/internal/adapter"
	"github.com/silvermount/silvermount/internal/config"
	"github.com/silvermount/silvermount/internal/dispatch"
	"github.com/silvermount/silvermount/internal/ident"
	"github.com/silvermount/silvermount/internal/kernel"
	"github.com/silvermount/silvermount/internal/reservation"
	"github.com/silvermount/silvermount/internal/routes"
	"github.com/silvermount/silvermount/internal/targets"
	"github.com/silvermount/silvermount/internal/upstream"
)

func init() {
	kernel.Register(kernel.Duty{
		Name: "forwarding", Role: config.RoleGateway, Phase: kernel.PhaseStore, Defaults: defaults, Check: check, Start: start,
	})
}

// Changed is told when what this instance knows or has in flight changes. It is safe for use by any goroutine.
type Changed struct {
	publish atomic.Pointer[func()]
}

// Set sets who is told.
func (ch *Changed) Set(publish func()) { ch.publish.Store(&publish) }

// Tell tells of a change; before Set it does nothing.
func (ch *Changed) Tell() {
	if publish := ch.publish.Load(); publish != nil {
		(*publish)()
	}
}

const (
	defaultGrace = 10 * time.Second
	// defaultMaxBody is a million tokens of four bytes.
	defaultMaxBody = 4 << 20
	// defaultBodyBudget holds a burst of large bodies in a process of a few hundred MB.
	defaultBodyBudget  = 64 << 20
	defaultRetryShare  = 0.1
	defaultRetryFloor  = 20
	defaultRetryWindow = 10 * time.Second
)

func defaults(s *config.Settings) {
	gw := *s.Gateway
	if gw.Grace == 0 {
		gw.Grace = config.Duration(defaultGrace)
	}
	if gw.MaxBodyBytes == 0 {
		gw.MaxBodyBytes = defaultMaxBody
	}
	if gw.BodyBudgetBytes == 0 {
		gw.BodyBudgetBytes = defaultBodyBudget
	}
	if gw.RetryWindow == 0 {
		gw.RetryShare, gw.RetryFloor, gw.RetryWindow = defaultRetryShare, defaultRetryFloor, config.Duration(defaultRetryWindow)
	}
	s.Gateway = &gw
}

func check(s config.Settings) config.Faults {
	gw := s.Gateway
	fs := config.CheckListen("gateway.callers", gw.Callers)
	fs = append(fs, config.CheckListen("gateway.readiness", gw.Readiness)...)
	fs = append(fs, config.CheckListen("gateway.peers", gw.Peers)...)
	fs = append(fs, config.CheckListen("gateway.metrics", gw.Metrics)...)
	fs = append(fs, config.CheckListen("gateway.store", gw.Store)...)
	if _, ok := adapter.Find(gw.Adapter); !ok {
		fs = append(fs, &config.Fault{Path: "gateway.adapter", Value: gw.Adapter, Want: "one of " + strings.Join(adapter.Names(), ", ")})
	}
	if gw.Grace <= 0 {
		fs = append(fs, &config.Fault{Path: "gateway.grace", Value: gw.Grace.Std().String(), Want: "a positive duration"})
	}
	if gw.RetryShare < 0 || gw.RetryFloor < 0 || gw.RetryWindow <= 0 {
		fs = append(fs, &config.Fault{Path: "gateway.retry_share", Want: "retry bounds that are not negative, with a positive window"})
	}
	return fs
}

func start(_ context.Context, env *kernel.Env) (kernel.Stop, error) {
	ad, _ := adapter.Find(env.Settings.Gateway.Adapter)
	ms := metrics.NewSet()
	dr := targets.New(time.Now)
	ch := &Changed{}
	kp := &reservation.Keeper{
		Reserve: ad.Reserve, Release: ad.Release, NewID: func() string { return ident.New("mem") }, Log: env.Logger("memory"),
	}
	ds := dispatch.New(dr, kp, dispatch.Options{
		Instance: env.Settings.Instance, AvailabilityZone: env.Settings.AvailabilityZone, Now: time.Now, Changed: ch.Tell,
	})
	kernel.Provide(env, ad)
	kernel.Provide(env, ms)
	kernel.Provide(env, &routes.Holder{})
	kernel.Provide(env, dr)
	kernel.Provide(env, ch)
	kernel.Provide(env, ds)
	kernel.Provide(env, upstream.NewPool(time.Now, ms))
	return nil, nil
}
