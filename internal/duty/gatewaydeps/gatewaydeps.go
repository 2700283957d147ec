// Package gatewaydeps is the duty that builds the components that the other duties of a gateway share.
package gatewaydeps

import (
	"context"
	"math/rand/v2"
	"sync/atomic"
	"time"

	"github.com/VictoriaMetrics/metrics"
	"github.com/apex/log"

	"github.com/silvermount/silvermount/internal/adapter"
	"github.com/silvermount/silvermount/internal/backoff"
	"github.com/silvermount/silvermount/internal/config"
	"github.com/silvermount/silvermount/internal/dispatch"
	"github.com/silvermount/silvermount/internal/evacuation"
	"github.com/silvermount/silvermount/internal/feedback"
	"github.com/silvermount/silvermount/internal/ident"
	"github.com/silvermount/silvermount/internal/inflightattempts"
	"github.com/silvermount/silvermount/internal/kernel"
	"github.com/silvermount/silvermount/internal/loadreport"
	"github.com/silvermount/silvermount/internal/pathstate"
	"github.com/silvermount/silvermount/internal/pauseclock"
	"github.com/silvermount/silvermount/internal/permit"
	"github.com/silvermount/silvermount/internal/quarantine"
	"github.com/silvermount/silvermount/internal/ratelimit"
	"github.com/silvermount/silvermount/internal/reservation"
	"github.com/silvermount/silvermount/internal/responsehead"
	"github.com/silvermount/silvermount/internal/routes"
	"github.com/silvermount/silvermount/internal/targetdial"
	"github.com/silvermount/silvermount/internal/targets"
	"github.com/silvermount/silvermount/internal/tunnelclient"
	"github.com/silvermount/silvermount/internal/tunnelserver"
	"github.com/silvermount/silvermount/internal/upstream"
)

func init() {
	kernel.Register(kernel.Duty{
		Name: "forwarding", Role: config.RoleGateway, Phase: kernel.PhaseStore, Defaults: defaults, Check: check, Start: start,
	})
}

// Components are shared by the duties of a gateway. All fields are set.
type Components struct {
	Adapter    adapter.Adapter
	Routes     *routes.Holder
	Targets    *targets.Directory
	Dispatcher *dispatch.Dispatcher
	Pool       *upstream.Pool
	// PathState tracks which targets this instance reaches itself. TargetDialer connects to them, TunnelClient through peers, and TunnelServer
	// does so for peers. Peers lists those that may be asked.
	PathState    *pathstate.Tracker
	TargetDialer *targetdial.Dialer
	TunnelClient *tunnelclient.Client
	TunnelServer *tunnelserver.Server
	Peers        *PeerList
	// Attempts holds the attempts in flight. Losses receives the evidence that ends those at lost targets.
	Attempts *inflightattempts.Registry
	Losses   *Losses
	// Pauses measures the pauses of the process.
	Pauses  *pauseclock.Clock
	Metrics *metrics.Set
	// StateNotifier is notified when the state that this instance publishes to its peers changes.
	StateNotifier    *Notifier
	StoreCoordinator *StoreCoordinator
	Quarantine       *quarantine.Tracker
	// QuarantineChanges receives the changes of quarantines. They are dropped while it is full.
	QuarantineChanges <-chan quarantine.Change
	Evacuations       *evacuation.Tracker
	Retries           *Retries
	// NotesNotifier is notified when peers need to learn of a change in the requests that crash targets, in rate limits, or in
	// evacuations.
	NotesNotifier *Notifier
	// TargetLimit returns the rate limit of a target: the one that it states, or a lower one while it warms up or returns gradually.
	TargetLimit func(target string) ratelimit.Limit
	// RateLimits holds the rate limits that targets state, and Permits obtains the permits that requests to such targets need.
	RateLimits *ratelimit.Tracker
	Permits    *permit.Client
	// BackOffs holds the targets that asked this instance to back off. Feedback updates all of these from the targets' answers.
	BackOffs *backoff.Tracker
	Feedback *feedback.Recorder
	// LoadReports exchanges with peers what the parts of load control tell them.
	LoadReports *loadreport.Exchange
}

// Notifier passes notifications of changes to a callback that is set later. It is safe for concurrent use.
type Notifier struct {
	callback atomic.Pointer[func()]
}

// SetCallback sets the function that Notify calls.
func (nt *Notifier) SetCallback(callback func()) { nt.callback.Store(&callback) }

// Notify calls the callback. Before SetCallback it does nothing.
func (nt *Notifier) Notify() {
	if callback := nt.callback.Load(); callback != nil {
		(*callback)()
	}
}

// logNoPermit returns a function that logs a request that is not sent to a target because it got no permit.
func logNoPermit(lg log.Interface, limitOf func(target string) ratelimit.Limit) func(request string, tg targets.Target, again time.Duration) {
	return func(request string, tg targets.Target, again time.Duration) {
		lg.WithFields(log.Fields{
			"request": request, "target": tg.ID, "service": tg.Service, "limit": limitOf(tg.ID).String(),
			"again": again.Round(time.Millisecond).String(),
		}).Info("no permit for target")
	}
}

// targetLimit returns a function that returns the rate limit of a target: the one that it states, or that of a cold target of its
// service if this is lower.
func targetLimit(limits *ratelimit.Tracker, dr *targets.Directory, rts *routes.Holder) func(target string) ratelimit.Limit {
	return func(target string) ratelimit.Limit {
		li := limits.Limit(target)
		service, cold := dr.Cold(target)
		tb, _ := rts.Current()
		if !cold || tb == nil {
			return li
		}
		sv, _ := tb.Service(service)
		if sv.ColdRequestsPerSecond == 0 {
			return li
		}
		return li.Lower(ratelimit.PerSecond(sv.ColdRequestsPerSecond))
	}
}

// logBackOffWait returns a function that logs a request that waits for the end of a target's back-off.
func logBackOffWait(lg log.Interface) func(request string, tg targets.Target, wait time.Duration) {
	return func(request string, tg targets.Target, wait time.Duration) {
		lg.WithFields(log.Fields{
			"request": request, "target": tg.ID, "service": tg.Service, "wait": wait.Round(time.Millisecond).String(),
		}).Info("all targets in back-off; request waits")
	}
}

// newPauseClock returns a clock that logs and counts the pauses of the process.
func newPauseClock(lg log.Interface, ms *metrics.Set) *pauseclock.Clock {
	counter := ms.GetOrCreateCounter("silvermount_process_paused_ms_total")
	return pauseclock.New(time.Now, pauseclock.WithOnPause(func(d time.Duration) {
		counter.Add(int(d.Milliseconds()))
		lg.WithField("for", d.Round(time.Millisecond).String()).Warn("process was paused")
	}))
}

// maxQuarantineChanges is how many changes of quarantines may wait to be stored. Far fewer happen at a time.
const maxQuarantineChanges = 64

// offerChange sends a change unless the channel is full.
func offerChange(changes chan<- quarantine.Change, ch quarantine.Change, lg log.Interface) {
	select {
	case changes <- ch:
	default:
		lg.WithField("fingerprint", ch.Quarantine.ID().String()).Warn("quarantine is not stored: too many changes")
	}
}

// releaseTimeout bounds the wait for the last reserved memory to be released. It covers a few round trips and is shorter than the
// part of the grace that a stop leaves.
const releaseTimeout = 100 * time.Millisecond

func start(_ context.Context, env *kernel.Env) (kernel.Stop, error) {
	ad, _ := adapter.Lookup(env.Settings.Gateway.Adapter)
	ms, err := kernel.Resolve[*metrics.Set](env)
	if err != nil {
		// The program that started the instance provides no set of metrics.
		ms = metrics.NewSet()
	}
	pauses := newPauseClock(env.Logger("pauses"), ms)
	evacuations := evacuation.New(time.Now)
	ms.NewGauge("silvermount_zones_evacuated", func() float64 { return float64(evacuations.Evacuated().Len()) })
	var pl *upstream.Pool
	attempts := inflightattempts.New(time.Now)
	var ls *Losses
	dr := targets.New(time.Now, targets.WithEvacuations(evacuations.Evacuated), targets.WithSupersededHook(func(tg targets.Target) {
		pl.CloseIdle(tg.Address)
		ls.recordSuperseded(tg)
	}), targets.WithGoneHook(func(tg targets.Target) { ls.recordGone(tg) }))
	var orders adapter.MemoryOrders
	pt := newPaths(env, ms, pauses, dr, func() { orders.CloseIdle() })
	ls = newLosses(env.Settings.Instance, dr, attempts, pt)
	orders = ad.MemoryOrders(pt.dialNetwork)
	pl = upstream.NewPool(time.Now, ms, env.Settings.Gateway.DialTimeout.Std(), upstream.WithPaused(pauses.Paused),
		upstream.WithDial(pt.dialer.Dial), upstream.WithReusable(pt.dialer.IsReusable), upstream.WithOnDirectRead(pt.state.RecordHeard))
	stateNotifier := &Notifier{}
	mg := &reservation.Manager{
		Reserve: orders.Reserve, Release: orders.Release, NewID: func() string { return ident.New("mem") }, IsCurrent: dr.IsCurrent,
		OnUnanswered: ls.recordUnanswered,
		Timeout:      env.Settings.Gateway.OrderTimeout.Std(), LeaseDuration: env.Settings.Gateway.MemoryHold.Std(), Paused: pauses.Paused, Log: env.Logger("memory"),
	}
	limits := ratelimit.New(time.Now)
	ms.NewGauge("silvermount_targets_limited", func() float64 { return float64(limits.LimitedCount()) })
	ms.NewGauge("silvermount_targets_cold", func() float64 { return float64(dr.ColdCount()) })
	rts := &routes.Holder{}
	backOffs := backoff.New(time.Now, rand.Float64)
	ps := newPaces(paceDeps{
		Switches: env.Settings.Gateway.LoadControl, Now: time.Now, Paused: pauses.Paused, Targets: dr, Routes: rts, BackOffs: backOffs,
		Log: env.Logger("pace"), Metrics: ms,
	})
	statedLimit := targetLimit(limits, dr, rts)
	limitOf := func(target string) ratelimit.Limit { return statedLimit(target).Lower(ps.limit(target)) }
	permits := permit.NewClient(time.Now, limitOf, ms, permit.WithLocal(func(target string) (permit.Decision, bool) {
		return ps.localPermit(target, statedLimit(target), 1+pt.peers.count())
	}))
	ms.NewGauge("silvermount_targets_leaving", func() float64 { return float64(dr.LeavingCount()) })
	ms.NewGauge("silvermount_targets_backed_off", func() float64 { return float64(backOffs.ActiveCount()) })
	notesNotifier := &Notifier{}
	fb := feedback.New(feedback.Deps{
		Targets: dr, RateLimits: limits, BackOffs: backOffs, OnLeavingChange: stateNotifier.Notify, OnRateLimitChange: notesNotifier.Notify,
		Log: env.Logger("feedback"), Now: time.Now,
	})
	mg.OnAnswer = func(al reservation.Allocation, hd responsehead.Head) {
		ls.RecordAnswer(al.Target)
		fb.Record(feedback.Report{Source: feedback.OrderAnswer, Target: dr.ByID(al.Target), Head: hd, ReceivedAt: time.Now()})
	}
	reports := loadreport.New(time.Now, env.Logger("peers"), ms.GetOrCreateCounter("silvermount_load_report_parts_omitted_total").Inc,
		loadreport.WithMembers(pt.peers.count))
	queue := queueOptions(env.Settings.Gateway, env.Logger("dispatch"), ms, reports)
	ds := dispatch.New(dr, mg, ps.connect(dispatch.Options{
		Admission: newAdmission(env, ms, pauses, reports),
		Instance:  env.Settings.Instance, AvailabilityZone: env.Settings.AvailabilityZone, Now: time.Now, OnLoadChange: stateNotifier.Notify,
		Permits: permits, OnPermitRefused: logNoPermit(env.Logger("dispatch"), limitOf),
		BackOffs: backOffs, OnBackOffWait: logBackOffWait(env.Logger("dispatch")),
		Shares: newShares(env, ms, reports), NeutralWorth: env.Settings.Gateway.LoadControl.NeutralWorth, Queue: queue,
	}))
	if queue != nil {
		exchangeQueues(ds, ms, reports)
	}
	changes := make(chan quarantine.Change, maxQuarantineChanges)
	tracker := quarantine.New(quarantine.Options{
		OnChange: func(ch quarantine.Change) { offerChange(changes, ch, env.Logger("blame")) },
		Instance: env.Settings.Instance, Now: time.Now, TargetCount: dr.Len, PeerCount: pt.peers.count, Crashed: dr.Lost,
		NotifyPeers: notesNotifier.Notify, Metrics: ms, Log: env.Logger("blame"),
	})
	kernel.Provide(env, &Components{
		Quarantine: tracker, QuarantineChanges: changes, Evacuations: evacuations, NotesNotifier: notesNotifier, RateLimits: limits, Permits: permits, BackOffs: backOffs, Feedback: fb,
		Retries: newRetries(env, ad, ms.GetOrCreateCounter("silvermount_store_calls_total").Inc),
		Adapter: ad, Routes: rts, TargetLimit: limitOf, Targets: dr, Dispatcher: ds, Metrics: ms, StateNotifier: stateNotifier, StoreCoordinator: &StoreCoordinator{}, Pool: pl, Pauses: pauses,
		Attempts: attempts, Losses: ls, PathState: pt.state, TargetDialer: pt.dialer, TunnelClient: pt.client, TunnelServer: pt.server, Peers: pt.peers,
		LoadReports: reports,
	})
	backgroundCtx, stopBackground := context.WithCancel(context.Background())
	if ps.enabled() {
		reports.Register(loadreport.KindPace, ps.reportPart())
		go ps.run(backgroundCtx, ds.InFlight, reports.Publish)
	}
	go pauses.Run(backgroundCtx)
	go pt.dialer.Run(backgroundCtx)
	return func(ctx context.Context) error {
		stopBackground()
		ctx, cancel := context.WithTimeout(ctx, releaseTimeout)
		defer cancel()
		if err := mg.WaitReleased(ctx); err != nil {
			mg.Log.WithError(err).Warn("stopped before all reserved memory was released; it expires")
		}
		return nil
	}, nil
}
