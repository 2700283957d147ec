// Package frontend is the duty that serves callers, readiness and metrics on a gateway.
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
	"github.com/silvermount/silvermount/internal/duty/forwarding"
	"github.com/silvermount/silvermount/internal/gateway"
	"github.com/silvermount/silvermount/internal/gossip"
	"github.com/silvermount/silvermount/internal/kernel"
)

func init() {
	kernel.Register(kernel.Duty{Name: "frontend", Role: config.RoleGateway, Phase: kernel.PhaseListen, Start: start})
}

const (
	// headerTimeout bounds the reading of headers; callers stay within a few seconds.
	headerTimeout = 10 * time.Second
	// idleTimeout is longer than callers keep an idle connection (the configuration's limit is 15 s).
	idleTimeout = 75 * time.Second
	// maxHeader is four times the configuration's limit.
	maxHeader = 64 << 10
	// balancerLag is how long new connections still come after a stop was asked for: the balancer asks every second and
	// takes an instance out after two refusals.
	balancerLag = 3200 * time.Millisecond
	// takeLag is how long requests on kept connections are still taken then. Callers whose request comes later than three
	// seconds after the stop was asked for are owed its whole answer, which the grace may not leave time for.
	takeLag = 2800 * time.Millisecond
	// answerMargin is left of the grace when the last requests are told to end: over ten times what their answers and the
	// end of the process take (3 ms in the median, 34 ms at the most, 497 stops of small instances). Each 0.1 s less lets one
	// in fifteen of the streams end that a stop breaks off (363 streams).
	answerMargin = 450 * time.Millisecond
	// endMargin is left of the grace for the end of the process, when the wait for the last answers is given up.
	endMargin = 150 * time.Millisecond
	// proofMargin is taken off the revocation bound for the time between the check of the proof and the first byte sent.
	proofMargin = 600 * time.Millisecond
	// sweepEvery is how often idle connections to targets are looked through.
	sweepEvery = time.Second
)

// servers are the listeners of a gateway.
type servers struct {
	gw    *gateway.Gateway
	mesh  *gossip.Mesh
	lg    log.Interface
	list  []*http.Server
	stops []func()
}

func start(ctx context.Context, env *kernel.Env) (kernel.Stop, error) {
	pt, err := kernel.Need[*forwarding.Parts](env)
	if err != nil {
		return nil, err
	}
	mesh, err := kernel.Need[*gossip.Mesh](env)
	if err != nil {
		return nil, err
	}
	rt := retries(env.Settings.Gateway)
	sv := &servers{gw: build(env, pt, rt), mesh: mesh, lg: env.Logger("frontend")}
	st := env.Settings.Gateway
	for _, l := range []struct {
		address string
		handler http.Handler
	}{{st.Callers, sv.gw}, {st.Readiness, readiness(sv.gw)}, {st.Metrics, operators(pt)}} {
		if err := sv.serve(ctx, l.address, l.handler); err != nil {
			sv.close()
			return nil, err
		}
	}
	sh := newShares(env, pt, mesh, rt)
	sv.sweep(func() {
		pt.Pool.EvictExpired()
		pt.Limits.Prune(pt.Targets.TakesWork)
		pt.BackOffs.Prune(pt.Targets.TakesWork)
		sh.update()
	})
	grace := st.Grace.Std()
	return func(ctx context.Context) error { return sv.stop(ctx, grace) }, nil
}

// build joins the parts of the gateway.
func build(env *kernel.Env, pt *forwarding.Parts, rt *budget.Retries) *gateway.Gateway {
	st := env.Settings.Gateway
	gw := gateway.New(gateway.Deps{
		Protocol: pt.Adapter.Protocol, Routes: pt.Routes, Targets: pt.Targets, Dispatcher: pt.Dispatcher, Pool: pt.Pool,
		Retries: rt, Blame: pt.Blame, Feedback: pt.Feedback, Limits: pt.Limits, BackOffs: pt.BackOffs,
		Bodies: budget.NewMemory(st.BodyBudgetBytes), Metrics: pt.Metrics, Log: env.Logger("gateway"),
		Random: rand.Float64, Now: time.Now, Stopping: env.Stopping.Load,
	}, limits(st))
	env.OnReload(func(s config.Settings) { gw.SetLimits(limits(s.Gateway)) })
	return gw
}

func limits(st *config.Gateway) gateway.Limits {
	lm := gateway.Limits{MaxBodyBytes: st.MaxBodyBytes}
	if bound := st.RevocationBound.Std(); bound > 0 {
		lm.ProofAge = max(bound-proofMargin, bound/2)
	}
	return lm
}

func retries(st *config.Gateway) *budget.Retries {
	burst, trickle := retryFloor(st, sharersLeast)
	return budget.NewRetries(st.RetryShare, time.Now, budget.WithBurst(burst), budget.WithMinRate(trickle))
}

func (sv *servers) serve(ctx context.Context, address string, h http.Handler) error {
	var lc net.ListenConfig
	l, err := lc.Listen(ctx, "tcp", address)
	if err != nil {
		return errors.Wrap(err, "bind listener")
	}
	hs := &http.Server{
		Handler: h, ReadHeaderTimeout: headerTimeout, IdleTimeout: idleTimeout, MaxHeaderBytes: maxHeader,
		ErrorLog: stdlog.New(lineWriter{lg: sv.lg}, "", 0),
	}
	sv.list = append(sv.list, hs)
	go func() {
		if err := hs.Serve(l); !errors.Is(err, http.ErrServerClosed) {
			sv.lg.WithError(err).WithField("address", address).Error("listener ended")
		}
	}()
	return nil
}

// lineWriter turns the lines of the HTTP server into log lines.
type lineWriter struct{ lg log.Interface }

// Write logs one line.
func (lw lineWriter) Write(b []byte) (int, error) {
	lw.lg.WithField("cause", string(b)).Debug("connection ended with an error")
	return len(b), nil
}

func readiness(gw *gateway.Gateway) http.Handler {
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

// operators serves the metrics, and the judgements on requests that end targets.
func operators(pt *forwarding.Parts) http.Handler {
	rt := chi.NewRouter()
	rt.Get("/metrics", func(w http.ResponseWriter, _ *http.Request) {
		pt.Metrics.WritePrometheus(w)
		metrics.WriteProcessMetrics(w)
	})
	jds := judgements{ledger: pt.Blame}
	rt.Get("/judgements", jds.list)
	rt.Delete("/judgements/{fingerprint}", jds.lift)
	return rt
}

func (sv *servers) sweep(work func()) {
	tick := time.NewTicker(sweepEvery)
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

// stop serves on until the balancer sends nothing new, then ends when the last answer has. Requests that are still running
// shortly before the grace is over are told to end.
func (sv *servers) stop(ctx context.Context, grace time.Duration) error {
	sv.lg.WithFields(sv.gw.InFlight().Fields()).Info("stopping")
	sv.mesh.SetStopping()
	sv.gw.EndsAt(time.Now().Add(grace - answerMargin))
	err := stopPlan(grace, sv.gw.StopTaking, sv.end).Run(ctx, sv.list[0])
	inf := sv.gw.InFlight()
	if inf == (gateway.InFlight{}) {
		// What is left are connections that were opened and never used.
		err = nil
	}
	if err != nil {
		sv.lg.WithFields(inf.Fields()).Warn("connections are closed before the last answer")
	}
	sv.close()
	return err
}

// stopPlan is how a stop goes within the grace. However short that is, a request that is taken has some time for its answer.
func stopPlan(grace time.Duration, refuse, end func()) drain.Plan {
	lag, answers := min(balancerLag, grace/2), grace-answerMargin
	return drain.Plan{
		Lag: lag, Taking: min(takeLag, lag, answers/2), Refuse: refuse, Answers: answers, End: end, Most: grace - endMargin,
	}
}

// end tells the requests that are still running to end.
func (sv *servers) end() {
	if inf := sv.gw.InFlight(); inf != (gateway.InFlight{}) {
		sv.lg.WithFields(inf.Fields()).Warn("grace is over before the last answer")
	}
	sv.gw.End()
}

func (sv *servers) close() {
	for _, stop := range sv.stops {
		stop()
	}
	for _, hs := range sv.list {
		// A listener that Shutdown has closed is no failure.
		if err := hs.Close(); err != nil && !errors.Is(err, net.ErrClosed) {
			sv.lg.WithError(err).Warn("listener not closed")
		}
	}
}
