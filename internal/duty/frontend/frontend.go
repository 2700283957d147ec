// Package frontend is the duty that serves callers, readiness checks and metrics on a gateway.
package frontend

import (
	"context"
	stdlog "log"
	"math/rand/v2"
	"net"
	"net/http"
	"time"

	"github.com/VictoriaMetrics/metrics"
	"github.com/apex/log"
	"github.com/cockroachdb/errors"
	"github.com/go-chi/chi/v5"

	"github.com/silvermount/silvermount/internal/budget"
	"github.com/silvermount/silvermount/internal/config"
	"github.com/silvermount/silvermount/internal/drain"
	"github.com/silvermount/silvermount/internal/duty/gatewaydeps"
	"github.com/silvermount/silvermount/internal/gateway"
	"github.com/silvermount/silvermount/internal/gossip"
	"github.com/silvermount/silvermount/internal/graceconn"
	"github.com/silvermount/silvermount/internal/kernel"
	"github.com/silvermount/silvermount/internal/tunnelserver"
)

func init() {
	kernel.Register(kernel.Duty{Name: "frontend", Role: config.RoleGateway, Phase: kernel.PhaseListen, Start: start})
}

const (
	// headerTimeout bounds the reading of headers, which callers send within a few seconds.
	headerTimeout = 10 * time.Second
	// idleTimeout is longer than callers keep an idle connection, for which the configuration's limit is 15 s.
	idleTimeout = 75 * time.Second
	// maxHeaderBytes is four times the configuration's limit.
	maxHeaderBytes = 64 << 10
	// balancerLag is how long new connections arrive after the start of a stop: the balancer checks readiness every second, and
	// removes an instance after two failed checks.
	balancerLag = 3200 * time.Millisecond
	// acceptLag is how long requests on kept-alive connections are accepted after the start of a stop. A request accepted more than
	// three seconds after the start must get its whole answer, for which the grace may not leave enough time.
	acceptLag = 2800 * time.Millisecond
	// answerMargin is the part of the grace that is left when the remaining requests are aborted. It is over ten times the time
	// that their answers and the exit of the process take (median 3 ms, maximum 34 ms, in 497 stops of small instances). Every
	// 0.1 s less would let one in fifteen of the streams finish that a stop otherwise breaks off (of 363 streams).
	answerMargin = 450 * time.Millisecond
	// exitMargin is the part of the grace that is left for the exit of the process when the wait for the last answers ends.
	exitMargin = 150 * time.Millisecond
	// proofMargin is subtracted from the revocation bound to cover the time from the check of the proof to the first byte sent.
	proofMargin = 600 * time.Millisecond
	// sweepInterval is the time between two sweeps of idle connections to targets and of other outdated state.
	sweepInterval = time.Second
)

// servers holds the HTTP servers of a gateway.
type servers struct {
	gw          *gateway.Gateway
	mesh        *gossip.Mesh
	tunnels     *tunnelserver.Server
	lg          log.Interface
	httpServers []*http.Server
	stops       []func()
}

func start(ctx context.Context, env *kernel.Env) (kernel.Stop, error) {
	co, err := kernel.Resolve[*gatewaydeps.Components](env)
	if err != nil {
		return nil, err
	}
	mesh, err := kernel.Resolve[*gossip.Mesh](env)
	if err != nil {
		return nil, err
	}
	ls := newLimitShares(env, co, mesh)
	sv := &servers{gw: newGateway(env, co, mesh), mesh: mesh, tunnels: co.TunnelServer, lg: env.Logger("frontend")}
	st := env.Settings.Gateway
	for _, l := range []struct {
		address string
		handler http.Handler
	}{{st.Callers, sv.gw}, {st.Readiness, readinessHandler(sv.gw)}, {st.Metrics, operatorHandler(co)}} {
		if err := sv.serve(ctx, l.address, l.handler); err != nil {
			sv.close()
			return nil, err
		}
	}
	sv.runPeriodically(func() {
		co.Pool.EvictExpired()
		co.RateLimits.Prune(co.Targets.TakesWork)
		co.BackOffs.Prune(co.Targets.TakesWork)
		ls.update()
	})
	grace := st.Grace.Std()
	return func(ctx context.Context) error { return sv.stop(ctx, grace) }, nil
}

// newGateway builds the gateway from the shared components and keeps its limits up to date with the settings.
func newGateway(env *kernel.Env, co *gatewaydeps.Components, mesh *gossip.Mesh) *gateway.Gateway {
	st := env.Settings.Gateway
	gw := gateway.New(gateway.Deps{
		Protocol: co.Adapter.Protocol, Routes: co.Routes, Targets: co.Targets, Dispatcher: co.Dispatcher, Pool: co.Pool,
		RetryBudget: co.Retries.Own, Quarantine: co.Quarantine, Feedback: co.Feedback, RateLimits: co.RateLimits, BackOffs: co.BackOffs,
		BodyMemory: budget.NewMemory(st.BodyBudgetBytes), Metrics: co.Metrics, Log: env.Logger("gateway"),
		Random: rand.Float64, Now: time.Now, Paused: co.Pauses.Paused, PeersHeardAge: mesh.HeardAge,
		Paths: gateway.Paths{
			IsLost: co.PathState.IsLost, Isolated: co.PathState.Isolated, Check: co.TargetDialer.Check, AvoidPeer: co.TunnelClient.Avoid,
		},
		Attempts: co.Attempts,
		Losses: gateway.Losses{
			RecordDialFailure: co.Losses.RecordDialFailure, RecordAddressTaken: co.Losses.RecordAddressTaken, RecordAnswer: co.Losses.RecordAnswer,
		},
		Stopping: env.Stopping.Load,
	}, gatewayLimits(st))
	env.OnReload(func(s config.Settings) { gw.SetLimits(gatewayLimits(s.Gateway)) })
	return gw
}

func gatewayLimits(st *config.Gateway) gateway.Limits {
	// Targets serve at least until all instances must know that they leave.
	lm := gateway.Limits{MaxBodyBytes: st.MaxBodyBytes, MaxResponseBytes: st.MaxResponseBytes, PlannedEndAfter: st.LeavingBound.Std()}
	if bound := st.RevocationBound.Std(); bound > 0 {
		lm.MaxConfigStaleness = max(bound-proofMargin, bound/2)
	}
	return lm
}

func (sv *servers) serve(ctx context.Context, address string, h http.Handler) error {
	l, err := graceconn.Listen(ctx, address)
	if err != nil {
		return errors.Wrap(err, "bind listener")
	}
	hs := &http.Server{
		Handler: h, ReadHeaderTimeout: headerTimeout, IdleTimeout: idleTimeout, MaxHeaderBytes: maxHeaderBytes,
		ErrorLog: stdlog.New(serverLogWriter{lg: sv.lg}, "", 0),
	}
	sv.httpServers = append(sv.httpServers, hs)
	go func() {
		if err := hs.Serve(l); !errors.Is(err, http.ErrServerClosed) {
			sv.lg.WithError(err).WithField("address", address).Error("listener failed")
		}
	}()
	return nil
}

// serverLogWriter writes the error log of the HTTP servers to the instance's log.
type serverLogWriter struct{ lg log.Interface }

// Write logs one line at debug level.
func (slw serverLogWriter) Write(b []byte) (int, error) {
	slw.lg.WithField("cause", string(b)).Debug("HTTP server reported a connection error")
	return len(b), nil
}

// readinessHandler answers 200 while the gateway accepts new callers, and 503 otherwise.
func readinessHandler(gw *gateway.Gateway) http.Handler {
	rt := chi.NewRouter()
	rt.Get("/*", func(w http.ResponseWriter, _ *http.Request) {
		if !gw.Ready() {
			w.WriteHeader(http.StatusServiceUnavailable)
			return
		}
		w.WriteHeader(http.StatusOK)
	})
	return rt
}

// operatorHandler serves the metrics and the API for quarantined requests.
func operatorHandler(co *gatewaydeps.Components) http.Handler {
	rt := chi.NewRouter()
	rt.Get("/metrics", func(w http.ResponseWriter, _ *http.Request) {
		co.Metrics.WritePrometheus(w)
		metrics.WriteProcessMetrics(w)
	})
	qa := quarantineAPI{tracker: co.Quarantine}
	rt.Get("/judgements", qa.list)
	rt.Delete("/judgements/{fingerprint}", qa.lift)
	return rt
}

// runPeriodically runs work every sweepInterval until the servers are closed.
func (sv *servers) runPeriodically(work func()) {
	tick := time.NewTicker(sweepInterval)
	done := make(chan struct{})
	go func() {
		for {
			select {
			case <-tick.C:
				work()
			case <-done:
				return
			}
		}
	}()
	sv.stops = append(sv.stops, func() { tick.Stop(); close(done) })
}

// stop keeps serving until the balancer sends no new connections, then returns after the last answer. Requests that are still running
// answerMargin before the end of the grace are aborted.
func (sv *servers) stop(ctx context.Context, grace time.Duration) error {
	sv.lg.WithFields(sv.gw.InFlight().Fields()).Info("stopping")
	sv.mesh.SetStopping()
	sv.tunnels.Drain()
	sv.gw.SetShutdownTime(time.Now().Add(grace - answerMargin))
	err := stopPlan(grace, sv.gw.RefuseNewRequests, sv.abortRequests).Run(ctx, sv.httpServers[0])
	inf := sv.gw.InFlight()
	if inf == (gateway.InFlight{}) {
		// No request is in flight: the remaining connections were opened and never used, which is no failure.
		err = nil
	}
	if err != nil {
		sv.lg.WithFields(inf.Fields()).Warn("connections are closed before the last answer")
	}
	sv.close()
	return err
}

// stopPlan returns the plan of a stop within the grace. Even if the grace is short, every accepted request has some time for its answer.
func stopPlan(grace time.Duration, refuseNew, abort func()) drain.Plan {
	lag, abortAfter := min(balancerLag, grace/2), grace-answerMargin
	return drain.Plan{
		BalancerLag: lag, RefuseAfter: min(acceptLag, lag, abortAfter/2), RefuseNew: refuseNew, AbortAfter: abortAfter, Abort: abort, Timeout: grace - exitMargin,
	}
}

// abortRequests aborts the requests that are still running.
func (sv *servers) abortRequests() {
	if inf := sv.gw.InFlight(); inf != (gateway.InFlight{}) {
		sv.lg.WithFields(inf.Fields()).Warn("grace nearly over before the last answer; aborting requests")
	}
	sv.gw.AbortRequests()
}

func (sv *servers) close() {
	for _, stop := range sv.stops {
		stop()
	}
	for _, hs := range sv.httpServers {
		// Ignore the error for a listener that Shutdown has already closed.
		if err := hs.Close(); err != nil && !errors.Is(err, net.ErrClosed) {
			sv.lg.WithError(err).Warn("could not close listener")
		}
	}
}
