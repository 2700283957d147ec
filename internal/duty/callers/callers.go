// Package callers is the duty that serves the callers' requests.
package callers

import (
	"context"
	"net/http"
	"strconv"
	"time"

	"github.com/VictoriaMetrics/metrics"
	"github.com/cockroachdb/errors"

	"github.com/silvermount/silvermount/internal/boundedread"
	"github.com/silvermount/silvermount/internal/budget"
	"github.com/silvermount/silvermount/internal/bundlestate"
	"github.com/silvermount/silvermount/internal/callerapi"
	"github.com/silvermount/silvermount/internal/cancel"
	"github.com/silvermount/silvermount/internal/claim"
	"github.com/silvermount/silvermount/internal/config"
	"github.com/silvermount/silvermount/internal/drain"
	"github.com/silvermount/silvermount/internal/duty/listen"
	"github.com/silvermount/silvermount/internal/duty/reports"
	"github.com/silvermount/silvermount/internal/engine"
	"github.com/silvermount/silvermount/internal/errorbudget"
	"github.com/silvermount/silvermount/internal/fleet"
	"github.com/silvermount/silvermount/internal/kernel"
	"github.com/silvermount/silvermount/internal/memoryreservation"
	"github.com/silvermount/silvermount/internal/objectstore"
	"github.com/silvermount/silvermount/internal/peer"
	"github.com/silvermount/silvermount/internal/policy"
	_ "github.com/silvermount/silvermount/internal/policy/all" // the policies register themselves
	"github.com/silvermount/silvermount/internal/policy/owners"
	"github.com/silvermount/silvermount/internal/router"
	"github.com/silvermount/silvermount/internal/ticket"
)

func init() {
	kernel.Register(kernel.Duty{Name: "callers", Phase: kernel.PhaseListen, Defaults: defaults, Check: check, Start: start})
}

const (
	ticketRetention = 10 * time.Minute
	maxTickets      = 100_000
	maxHeaderBytes  = 32 << 10
	idleTimeout     = 60 * time.Second
	// finalAnswersTime is reserved at the end of a stop for the answers to requests that it aborts and for their records in the
	// store, which take several calls to it. It is at most half of the drain time.
	finalAnswersTime = time.Second
)

func defaults(s *config.Settings) {
	c, r := &s.Callers, &s.Routing
	setDefault(&c.MaxBodyBytes, 16<<20)
	setDefault(&c.BodyBudgetBytes, 256<<20)
	setDefault(&c.HeaderTimeout, config.Duration(5*time.Second))
	setDefault(&r.Policy, owners.Name)
	setDefault(&r.LongTokens, 100_000)
	setDefault(&r.LongPerTarget, 1)
	setDefault(&r.LongShare, 0.4)
	setDefault(&r.RetryShare, 0.1)
	setDefault(&r.MaxAttempts, 4)
	setDefault(&r.MaxWaiting, 2000)
	setDefault(&s.Stop.BalancerLag, config.Duration(3*time.Second))
	setDefault(&s.Stop.Drain, config.Duration(10*time.Minute))
}

func setDefault[T comparable](v *T, d T) {
	var zero T
	if *v == zero {
		*v = d
	}
}

func check(s config.Settings) config.Faults {
	var fs config.Faults
	if _, err := policy.ByName(s.Routing.Policy); err != nil {
		fs = append(fs, &config.Fault{Path: "routing.policy", Value: s.Routing.Policy, Want: "a registered policy"})
	}
	if s.Routing.LongShare < 0 || s.Routing.LongShare > 1 {
		fs = append(fs, &config.Fault{
			Path: "routing.long_share", Value: strconv.FormatFloat(s.Routing.LongShare, 'g', -1, 64), Want: "a share from 0 to 1",
		})
	}
	if s.Callers.MaxBodyBytes > s.Callers.BodyBudgetBytes {
		fs = append(fs, &config.Fault{
			Path: "callers.body_budget_bytes", Value: strconv.FormatInt(s.Callers.BodyBudgetBytes, 10), Want: "at least max_body_bytes",
		})
	}
	return fs
}

func start(_ context.Context, env *kernel.Env) (kernel.Stop, error) {
	d, err := newDeps(env)
	if err != nil {
		return nil, err
	}
	ls, err := kernel.Resolve[*listen.Listeners](env)
	if err != nil {
		return nil, err
	}
	s := env.Settings
	sv := callerapi.New(d, callerapi.Limits{
		MaxBodyBytes: s.Callers.MaxBodyBytes, MaxAttempts: s.Routing.MaxAttempts, LongTokens: s.Routing.LongTokens,
	})
	kernel.Provide(env, sv)
	d.Metrics.NewGauge("silvermount_requests_in_flight", func() float64 { return float64(sv.InFlight()) })
	d.Metrics.NewGauge("silvermount_requests_waiting", func() float64 { return float64(d.Router.QueueLength()) })
	d.Metrics.NewGauge("silvermount_body_bytes", func() float64 { return float64(d.Bodies.Used()) })
	srv := &http.Server{
		Handler: sv.Handler(), ReadHeaderTimeout: s.Callers.HeaderTimeout.Std(), MaxHeaderBytes: maxHeaderBytes, IdleTimeout: idleTimeout,
	}
	go func() {
		if err := srv.Serve(ls.Callers); !errors.Is(err, http.ErrServerClosed) {
			env.Logger("callers").WithError(err).Error("listener failed")
		}
	}()
	return func(ctx context.Context) error { return stop(ctx, env, sv, srv) }, nil
}

// stop keeps accepting requests for the balancer's lag, then waits for requests with a connected caller and for the records of their
// results.
func stop(ctx context.Context, env *kernel.Env, sv *callerapi.Server, srv *http.Server) error {
	env.Logger("callers").Info("draining")
	st := env.Settings.Stop
	lag := st.BalancerLag.Std()
	total := lag + st.Drain.Std()
	ctx, cancel := context.WithTimeout(ctx, total)
	defer cancel()
	answers := total - min(finalAnswersTime, st.Drain.Std()/2)
	err := drain.Plan{BalancerLag: lag, AbortAfter: answers, Abort: sv.AbortInFlight, Timeout: total}.Run(ctx, srv)
	return errors.CombineErrors(err, errors.Wrap(sv.WaitForRecords(ctx), "record results"))
}

// newDeps collects the dependencies of the callers' server.
func newDeps(env *kernel.Env) (callerapi.Deps, error) {
	d := callerapi.Deps{Incarnation: env.Incarnation, Log: env.Logger("serve"), Stopping: env.Stopping.Load}
	var err error
	if d.Fleet, err = kernel.Resolve[*fleet.Fleet](env); err != nil {
		return d, err
	}
	if d.Bundles, err = kernel.Resolve[*bundlestate.Holder](env); err != nil {
		return d, err
	}
	if d.Burn, err = kernel.Resolve[*errorbudget.Recorder](env); err != nil {
		return d, err
	}
	if d.Canceller, err = kernel.Resolve[*cancel.Canceller](env); err != nil {
		return d, err
	}
	if d.Metrics, err = kernel.Resolve[*metrics.Set](env); err != nil {
		return d, err
	}
	clients, err := kernel.Resolve[reports.Clients](env)
	if err != nil {
		return d, err
	}
	d.Engine = clients
	store, err := kernel.Resolve[*objectstore.Client](env)
	if err != nil {
		return d, err
	}
	d.Claims = claim.New(claim.Store{Get: store.Get, Create: store.Create, Update: store.Update, Delete: store.Delete},
		env.Incarnation, func(incarnation string) bool {
			_, ok := d.Fleet.PeerByIncarnation(incarnation)
			return ok || incarnation == env.Incarnation
		})
	d.Tickets = ticket.New(env.Incarnation, ticketRetention, maxTickets, time.Now)
	d.Retries = budget.NewRetries(env.Settings.Routing.RetryShare, time.Now)
	d.Bodies = budget.NewMemory(env.Settings.Callers.BodyBudgetBytes)
	d.Service = callService
	d.Router, err = newRouter(env, d)
	return d, err
}

// serviceClient opens a connection for each call, because the transport silently retries a call whose idle connection is broken.
var serviceClient = &http.Client{Transport: &http.Transport{DisableKeepAlives: true, MaxResponseHeaderBytes: boundedread.MaxHeadBytes}}

func callService(_ fleet.Target, r *http.Request) (*http.Response, error) { return serviceClient.Do(r) }

func newRouter(env *kernel.Env, d callerapi.Deps) (*router.Router, error) {
	ms, err := kernel.Resolve[*peer.Mesh](env)
	if err != nil {
		return nil, err
	}
	r := env.Settings.Routing
	p, err := policy.ByName(r.Policy)
	if err != nil {
		return nil, err
	}
	reserver := memoryreservation.New(d.Fleet, d.Engine, func(attempt string, cl *engine.Client) {
		d.Canceller.Cancel(cancel.Request{Attempt: attempt, Client: cl})
	})
	rt := router.New(d.Fleet, router.Options{
		Policy:     p,
		Limits:     policy.Limits{MaxLongPerTarget: r.LongPerTarget, MaxLongTargetShare: r.LongShare},
		MaxWaiting: r.MaxWaiting, Probe: newProbe(d), RequestGrant: ms.RequestGrant, ReserveMemory: reserver.Reserve,
		RequestOffers: ms.RequestShortOffers, ExpectedShortRate: func() float64 {
			if cur := d.Bundles.Current(); cur != nil {
				return cur.ExpectedTokensPerSecond(time.Now())
			}
			return 0
		},
	})
	ms.SetShortPromptChooser(rt.ChooseOwnedTarget)
	return rt, nil
}

// newProbe returns a function that probes a target whose presence is not confirmed. A service needs no probe: its next call confirms it.
func newProbe(d callerapi.Deps) func(context.Context, fleet.Target) error {
	return func(ctx context.Context, t fleet.Target) error {
		if t.Kind != fleet.KindEngine {
			return nil
		}
		r, err := d.Engine(t).Report(ctx)
		if err != nil {
			return err
		}
		d.Fleet.ApplyReport(t.Name, r)
		if r.Leaving {
			return &engine.StatusError{Status: http.StatusServiceUnavailable, NotStarted: true}
		}
		return nil
	}
}
