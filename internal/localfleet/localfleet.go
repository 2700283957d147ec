// Package localfleet runs a simulated platform store, simulated targets and real entry instances in one process on loopback
// ports. It is used by the demo, measurements and tests.
package localfleet

import (
	"context"
	"fmt"
	"net"
	"net/http"
	"time"

	"github.com/apex/log"
	"github.com/cockroachdb/errors"

	"github.com/silvermount/silvermount/internal/bundle"
	"github.com/silvermount/silvermount/internal/bundlestate"
	"github.com/silvermount/silvermount/internal/config"
	"github.com/silvermount/silvermount/internal/fleet"
	"github.com/silvermount/silvermount/internal/instance"
	"github.com/silvermount/silvermount/internal/kernel"
	"github.com/silvermount/silvermount/internal/objectstore"
	"github.com/silvermount/silvermount/internal/standin/enginesim"
	"github.com/silvermount/silvermount/internal/standin/platformsim"
	"github.com/silvermount/silvermount/internal/standin/servicesim"
)

// The names and keys in the default bundle and settings of a local fleet.
const (
	Model       = "address"
	Service     = "valves"
	CallerKey   = "local-caller-key"
	OperatorKey = "local-operator-key"
	ClassCall   = "call"
	ClassBatch  = "batch"
	ClassJob    = "overnight"

	loopback     = "127.0.0.1:0"
	peerSecret   = "local-peer-secret"
	readyTimeout = 15 * time.Second
)

// Options are the sizes and settings of a local fleet.
type Options struct {
	// Zones, Engines and Instances are counts. Engines and instances are spread over the availability zones in turn.
	Zones, Engines, Instances int
	// EngineParams are the simulation parameters of every engine.
	EngineParams enginesim.Params
	// Policy is the name of the routing policy. If it is empty, the default policy is used.
	Policy string
	// AdjustSettings, if set, may change the settings of each instance before it starts.
	AdjustSettings func(*config.Settings)
	// Log receives the log lines of the instances.
	Log log.Interface
	// Bundle is the accepted bundle at the start. If it is nil, DefaultBundle is used.
	Bundle *bundle.Bundle
	// ZoneLinkBlocked, if set, reports whether peer links from one availability zone to another are blocked.
	ZoneLinkBlocked func(from, to string) bool
}

// Server is an HTTP server on a loopback port that serves a simulated store or target.
type Server struct {
	URL string
	srv *http.Server
}

// Close stops listening and closes all connections at once, including those with requests in flight.
func (sr *Server) Close() { _ = sr.srv.Close() } // a close error of a simulated server does not matter

// Serve starts a server for a handler on a free loopback port.
func Serve(h http.Handler) (*Server, error) {
	lis, err := net.Listen("tcp", loopback)
	if err != nil {
		return nil, errors.Wrap(err, "listen")
	}
	srv := &http.Server{Handler: h, ReadHeaderTimeout: 10 * time.Second}
	go func() { _ = srv.Serve(lis) }() // returns after Close
	return &Server{URL: "http://" + lis.Addr().String(), srv: srv}, nil
}

// Engine is a simulated engine and the server that serves it.
type Engine struct {
	*enginesim.Engine
	Name   string
	server *Server
}

// URL returns the base URL of the engine.
func (en *Engine) URL() string { return en.server.URL }

// Kill stops the engine abruptly, with its requests in flight.
func (en *Engine) Kill() {
	en.Engine.Kill()
	en.server.Close()
}

// Fleet is a running local fleet. Its exported fields give access to the store, the targets and the instances.
type Fleet struct {
	Store     *platformsim.Store
	StoreURL  string
	Engines   []*Engine
	Service   *servicesim.Service
	Instances []*instance.Instance
	opts      Options
	servers   []*Server
	// serviceServer serves Service.
	serviceServer *Server
}

// KillService ends the process of the plain service abruptly, with its requests in flight.
func (lf *Fleet) KillService() { lf.serviceServer.Close() }

// DefaultBundle returns the bundle that is used if Options.Bundle is nil.
func DefaultBundle() bundle.Bundle {
	seconds := func(n int) config.Duration { return config.Duration(time.Duration(n) * time.Second) }
	return bundle.Bundle{
		Version:       1,
		Organisations: []bundle.Organisation{{Name: "tywi", KeyDigests: []string{bundle.KeyDigest(CallerKey)}}},
		Models:        []bundle.Model{{Name: Model, MaxTokens: 1_100_000}},
		Services:      []string{Service},
		Classes: []bundle.Class{
			{
				Name: ClassCall, Deadline: seconds(120), Priority: 2, ContinueElsewhere: true,
				Objective: bundle.Objective{FirstToken: config.Duration(680 * time.Millisecond), Share: 0.95},
			},
			{
				Name: ClassBatch, Deadline: seconds(600), Priority: 1, Yields: true, ContinueElsewhere: true,
				Objective: bundle.Objective{FirstToken: seconds(300), Share: 0.95},
			},
			{
				Name: ClassJob, Deadline: seconds(8 * 3600), Job: true, Yields: true,
				Objective: bundle.Objective{FirstToken: seconds(8 * 3600), Share: 0.95},
			},
		},
	}
}

// Start starts a local fleet and waits until every instance has a bundle, sees all other instances as live, knows all targets
// and has no target left that needs a probe. It returns a NotReadyError if this takes longer than 15 s.
func Start(ctx context.Context, o Options) (*Fleet, error) {
	lf := &Fleet{Store: platformsim.New(), Service: servicesim.New(), opts: o}
	if err := lf.startTargets(); err != nil {
		lf.Close(ctx)
		return nil, err
	}
	if err := lf.publishBundle(); err != nil {
		lf.Close(ctx)
		return nil, err
	}
	for i := range o.Instances {
		if _, err := lf.AddInstance(ctx, i); err != nil {
			lf.Close(ctx)
			return nil, err
		}
	}
	if err := lf.waitReady(ctx); err != nil {
		lf.Close(ctx)
		return nil, err
	}
	return lf, nil
}

func (lf *Fleet) serve(h http.Handler) (*Server, error) {
	sr, err := Serve(h)
	if err == nil {
		lf.servers = append(lf.servers, sr)
	}
	return sr, err
}

func zoneName(i, zones int) string { return string(rune('a' + i%max(1, zones))) }

func (lf *Fleet) startTargets() error {
	sr, err := lf.serve(lf.Store.Handler())
	if err != nil {
		return err
	}
	lf.StoreURL = sr.URL
	for i := range lf.opts.Engines {
		if _, err := lf.AddEngine(fmt.Sprintf("engine-%02d", i), zoneName(i, lf.opts.Zones)); err != nil {
			return err
		}
	}
	sr, err = lf.serve(lf.Service)
	if err != nil {
		return err
	}
	lf.serviceServer = sr
	return lf.Store.Put(objectstore.KindTargets, "service-0", fleet.Target{
		Name: "service-0", Kind: fleet.KindService, AvailabilityZone: zoneName(0, 1), URL: sr.URL, Service: Service,
	})
}

// AddEngine starts an engine and adds it to the targets in the store.
func (lf *Fleet) AddEngine(name, zone string) (*Engine, error) {
	en := &Engine{Engine: enginesim.New(lf.opts.EngineParams, Model), Name: name}
	sr, err := lf.serve(en.Handler())
	if err != nil {
		return nil, err
	}
	en.server = sr
	lf.Engines = append(lf.Engines, en)
	return en, lf.Store.Put(objectstore.KindTargets, name, fleet.Target{
		Name: name, Kind: fleet.KindEngine, AvailabilityZone: zone, URL: sr.URL, Models: []string{Model},
	})
}

func (lf *Fleet) publishBundle() error {
	b := DefaultBundle()
	if lf.opts.Bundle != nil {
		b = *lf.opts.Bundle
	}
	if err := lf.Store.Put(objectstore.KindBundles, "1", b); err != nil {
		return err
	}
	return lf.Store.Put(objectstore.KindPointers, bundlestate.PointerName, bundlestate.Pointer{Version: b.Version})
}

// Settings returns the settings of the i-th instance.
func (lf *Fleet) Settings(i int) config.Settings {
	s := config.Settings{
		Instance: fmt.Sprintf("entry-%02d", i), AvailabilityZone: zoneName(i, lf.opts.Zones),
		Callers:   config.Callers{Listen: loopback},
		Operators: config.Operators{Listen: loopback, Key: OperatorKey},
		Peers:     config.Peers{Listen: loopback, Secret: peerSecret, Heartbeat: config.Duration(100 * time.Millisecond)},
		Platform:  config.Platform{URL: lf.StoreURL},
		Routing:   config.Routing{Policy: lf.opts.Policy, ReportEvery: config.Duration(100 * time.Millisecond)},
		Stop:      config.Stop{BalancerLag: config.Duration(50 * time.Millisecond)},
	}
	if lf.opts.AdjustSettings != nil {
		lf.opts.AdjustSettings(&s)
	}
	return s
}

// AddInstance starts the i-th instance with the settings that Settings returns. It does not wait until the instance is ready.
func (lf *Fleet) AddInstance(ctx context.Context, i int) (*instance.Instance, error) {
	s := lf.Settings(i)
	var opts []instance.Option
	if lf.opts.ZoneLinkBlocked != nil {
		opts = append(opts, instance.WithZoneBlocked(func(to string) bool { return lf.opts.ZoneLinkBlocked(s.AvailabilityZone, to) }))
	}
	in, err := instance.Start(ctx, s, lf.opts.Log, opts...)
	if err != nil {
		return nil, err
	}
	lf.Instances = append(lf.Instances, in)
	return in, nil
}

// URLs returns the base URLs for callers of all instances.
func (lf *Fleet) URLs() []string {
	urls := make([]string, len(lf.Instances))
	for i, in := range lf.Instances {
		urls[i] = in.CallersURL()
	}
	return urls
}

// NotReadyError is returned if a local fleet is not ready within the start timeout.
type NotReadyError struct{ Waited time.Duration }

// Error includes the time waited.
func (nr *NotReadyError) Error() string {
	return "the local fleet was not ready after " + nr.Waited.String()
}

func (lf *Fleet) waitReady(ctx context.Context) error {
	ctx, cancel := context.WithTimeout(ctx, readyTimeout)
	defer cancel()
	for !lf.ready() {
		select {
		case <-ctx.Done():
			return &NotReadyError{Waited: readyTimeout}
		case <-time.After(20 * time.Millisecond):
		}
	}
	return nil
}

func (lf *Fleet) ready() bool {
	for _, in := range lf.Instances {
		fl, err := kernel.Resolve[*fleet.Fleet](in.Env())
		if err != nil {
			return false
		}
		holder, err := kernel.Resolve[*bundlestate.Holder](in.Env())
		if err != nil || holder.Version() == 0 || len(fl.Targets()) != len(lf.Engines)+1 {
			return false
		}
		live := 0
		for _, p := range fl.Peers() {
			if p.Live {
				live++
			}
		}
		cs := fl.Candidates(fleet.Filter{Model: Model})
		if live < len(lf.Instances)-1 || len(cs.NeedsProbe) > 0 {
			return false
		}
	}
	return true
}

// Close stops the instances, then the engines and the other simulated servers.
func (lf *Fleet) Close(ctx context.Context) {
	for _, in := range lf.Instances {
		_ = in.Stop(ctx) // the caller may have stopped this instance already
	}
	for _, en := range lf.Engines {
		en.Engine.Kill()
	}
	for _, sr := range lf.servers {
		sr.Close()
	}
}
