// Package forwarding is the duty that builds the parts which the other duties of a gateway share.
package forwarding

import (
	"context"
	"math/rand/v2"
	"sync/atomic"
	"time"

	"github.com/VictoriaMetrics/metrics"
	"github.com/apex/log"

	"github.com/silvermount/silvermount/internal/adapter"
	"github.com/silvermount/silvermount/internal/answer"
	"github.com/silvermount/silvermount/internal/backoff"
	"github.com/silvermount/silvermount/internal/blame"
	"github.com/silvermount/silvermount/internal/config"
	"github.com/silvermount/silvermount/internal/dispatch"
	"github.com/silvermount/silvermount/internal/feedback"
	"github.com/silvermount/silvermount/internal/ident"
	"github.com/silvermount/silvermount/internal/kernel"
	"github.com/silvermount/silvermount/internal/permit"
	"github.com/silvermount/silvermount/internal/ratelimit"
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

// Parts are what the duties of a gateway share. All fields are set.
type Parts struct {
	Adapter    adapter.Adapter
	Routes     *routes.Holder
	Targets    *targets.Directory
	Dispatcher *dispatch.Dispatcher
	Pool       *upstream.Pool
	Metrics    *metrics.Set
	Changed    *Changed
	Followers  *Followers
	Blame      *blame.Tracker
	// Noted is told when peers have to hear something new of requests that end targets, or of rate limits.
	Noted *Changed
	// Limits is what is believed of the rate limits of targets, and Permits what requests need to go to these.
	Limits  *ratelimit.Tracker
	Permits *permit.Client
	// BackOffs is which targets want no requests from this instance, and Feedback takes what answers say of all this.
	BackOffs *backoff.Tracker
	Feedback *feedback.Recorder
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

// turnedElsewhere returns what logs a request that did not go to a target for want of a permit.
func turnedElsewhere(lg log.Interface, limits *ratelimit.Tracker) func(request string, tg targets.Target, again time.Duration) {
	return func(request string, tg targets.Target, again time.Duration) {
		lg.WithFields(log.Fields{
			"request": request, "target": tg.ID, "service": tg.Service, "limit": limits.Limit(tg.ID).String(),
			"again": again.Round(time.Millisecond).String(),
		}).Info("no permit for target")
	}
}

// waits returns what logs a request that waits for the end of a target's back-off.
func waits(lg log.Interface) func(request string, tg targets.Target, wait time.Duration) {
	return func(request string, tg targets.Target, wait time.Duration) {
		lg.WithFields(log.Fields{
			"request": request, "target": tg.ID, "service": tg.Service, "wait": wait.Round(time.Millisecond).String(),
		}).Info("all targets are backed off from")
	}
}

// releaseMost bounds the wait for the last memory to be given back: a few round trips, and less than what a stop leaves of
// the grace.
const releaseMost = 100 * time.Millisecond

func start(_ context.Context, env *kernel.Env) (kernel.Stop, error) {
	ad, _ := adapter.Find(env.Settings.Gateway.Adapter)
	ms, err := kernel.Need[*metrics.Set](env)
	if err != nil {
		// Whoever started the instance keeps no metrics of its own.
		ms = metrics.NewSet()
	}
	pl := upstream.NewPool(time.Now, ms, env.Settings.Gateway.DialTimeout.Std())
	dr := targets.New(time.Now, targets.WithSupersededHook(func(tg targets.Target) { pl.CloseIdle(tg.Address) }))
	ch := &Changed{}
	kp := &reservation.Manager{
		Reserve: ad.Reserve, Release: ad.Release, NewID: func() string { return ident.New("mem") }, IsCurrent: dr.IsCurrent,
		Timeout: env.Settings.Gateway.OrderTimeout.Std(), LeaseDuration: env.Settings.Gateway.MemoryHold.Std(), Log: env.Logger("memory"),
	}
	limits := ratelimit.New(time.Now)
	ms.NewGauge("silvermount_targets_limited", func() float64 { return float64(limits.LimitedCount()) })
	permits := permit.NewClient(time.Now, limits.Limit, ms)
	backOffs := backoff.New(time.Now, rand.Float64)
	ms.NewGauge("silvermount_targets_leaving", func() float64 { return float64(dr.LeavingCount()) })
	ms.NewGauge("silvermount_targets_backed_off", func() float64 { return float64(backOffs.ActiveCount()) })
	noted := &Changed{}
	fb := feedback.New(feedback.Deps{
		Targets: dr, Limits: limits, BackOffs: backOffs, LeavingChanged: ch.Tell, LimitsChanged: noted.Tell,
		Log: env.Logger("feedback"), Now: time.Now,
	})
	kp.OnAnswer = func(pc reservation.Allocation, hd answer.Head) {
		fb.Record(feedback.Report{Source: feedback.Order, Target: dr.ByID(pc.Target), Head: hd, Came: time.Now()})
	}
	ds := dispatch.New(dr, kp, dispatch.Options{
		Instance: env.Settings.Instance, AvailabilityZone: env.Settings.AvailabilityZone, Now: time.Now, OnLoadChange: ch.Tell,
		Permits: permits, OnPermitRefused: turnedElsewhere(env.Logger("dispatch"), limits),
		BackOffs: backOffs, OnBackOffWait: waits(env.Logger("dispatch")),
	})
	ld := blame.New(blame.Options{
		Now: time.Now, TargetCount: dr.Len, Crashed: dr.Lost, NotifyPeers: noted.Tell, Metrics: ms, Log: env.Logger("blame"),
	})
	kernel.Provide(env, &Parts{
		Blame: ld, Noted: noted, Limits: limits, Permits: permits, BackOffs: backOffs, Feedback: fb,
		Adapter: ad, Routes: &routes.Holder{}, Targets: dr, Dispatcher: ds, Metrics: ms, Changed: ch, Followers: &Followers{}, Pool: pl,
	})
	return func(ctx context.Context) error {
		ctx, cancel := context.WithTimeout(ctx, releaseMost)
		defer cancel()
		if err := kp.WaitReleased(ctx); err != nil {
			kp.Log.WithError(err).Warn("ended before all memory was given back; it lapses")
		}
		return nil
	}, nil
}
