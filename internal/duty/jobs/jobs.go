// Package jobs is the duty that accepts, runs, takes over and sweeps jobs.
package jobs

import (
	"context"
	"sync"
	"time"

	"github.com/apex/log"
	"github.com/cespare/xxhash/v2"

	"github.com/silvermount/silvermount/internal/claim"
	"github.com/silvermount/silvermount/internal/duty/knowledge"
	"github.com/silvermount/silvermount/internal/failure"
	"github.com/silvermount/silvermount/internal/fleet"
	"github.com/silvermount/silvermount/internal/job"
	"github.com/silvermount/silvermount/internal/kernel"
	"github.com/silvermount/silvermount/internal/objectstore"
	"github.com/silvermount/silvermount/internal/serve"
)

func init() {
	kernel.Register(kernel.Duty{Name: "jobs", Phase: kernel.PhaseListen, Start: start})
}

const (
	// pace is the least time between two calls to watch jobs.
	pace = 500 * time.Millisecond
	// lookEvery is how often all jobs are looked at when nothing changes.
	lookEvery = time.Second
	// maxRunning bounds the jobs of one instance.
	maxRunning = 8
	// handOver is how long a stop waits for running jobs before it gives them back, and for the last records after that.
	handOver = 2 * time.Second
	// writeLimit bounds one change of a record.
	writeLimit = 10 * time.Second
	// lapsedAfter renewals missed an instance counts as gone.
	lapsedAfter = 4
)

// keeper looks after jobs for one instance.
type keeper struct {
	store       *job.Store
	server      *serve.Server
	fleet       *fleet.Fleet
	incarnation string
	log         log.Interface
	stopping    func() bool
	lapse       time.Duration

	mu sync.Mutex
	// known is what the store last told.
	known map[string]job.Versioned
	// running holds each job run here.
	running map[string]ownRun
	wg      sync.WaitGroup
}

// ownRun is a job that this instance runs.
type ownRun struct {
	cancel context.CancelFunc
	// never is set when the job may not be run twice.
	never bool
}

func start(_ context.Context, env *kernel.Env) (kernel.Stop, error) {
	client, err := kernel.Need[*objectstore.Client](env)
	if err != nil {
		return nil, err
	}
	kp := &keeper{
		store: job.NewStore(client), incarnation: env.Incarnation, log: env.Logger("jobs"), stopping: env.Stopping.Load,
		lapse: lapsedAfter * env.Settings.Platform.Registration.Std(),
		known: map[string]job.Versioned{}, running: map[string]ownRun{},
	}
	if kp.server, err = kernel.Need[*serve.Server](env); err != nil {
		return nil, err
	}
	if kp.fleet, err = kernel.Need[*fleet.Fleet](env); err != nil {
		return nil, err
	}
	kp.server.Mount("/v1/jobs", kp.handler())
	work, cancelWork := context.WithCancel(context.Background())
	follow := kernel.Go(func(ctx context.Context) {
		knowledge.Follow(ctx, client, objectstore.KindJobs, pace, kp.log, kp.learn)
	})
	look := kernel.Go(func(ctx context.Context) { kp.run(ctx, work) })
	return func(ctx context.Context) error {
		defer cancelWork()
		for _, stop := range []kernel.Stop{look, follow} {
			if err := stop(ctx); err != nil {
				return err
			}
		}
		ctx, cancel := context.WithTimeout(ctx, env.Settings.Stop.Drain.Std())
		defer cancel()
		kp.drain(ctx, cancelWork)
		return nil
	}, nil
}

func (kp *keeper) learn(items []objectstore.Object) {
	known := map[string]job.Versioned{}
	for _, o := range items {
		if v, err := job.Decode(o); err == nil {
			known[v.ID] = v
		}
	}
	kp.mu.Lock()
	kp.known = known
	kp.mu.Unlock()
}

// gone reports whether whoever runs a job is no more. A job that this instance is said to run is looked at only when
// it does not run here.
func (kp *keeper) gone(incarnation string) bool {
	return incarnation == kp.incarnation || kp.fleet.PresumedEnded(incarnation, kp.lapse)
}

func (kp *keeper) run(ctx, work context.Context) {
	tick := time.NewTicker(lookEvery)
	defer tick.Stop()
	for {
		kp.look(ctx, work)
		select {
		case <-tick.C:
		case <-ctx.Done():
			return
		}
	}
}

// look decides about every job that this instance is responsible for.
func (kp *keeper) look(ctx, work context.Context) {
	kp.mu.Lock()
	all := make([]job.Versioned, 0, len(kp.known))
	for _, v := range kp.known {
		if _, mine := kp.running[v.ID]; !mine {
			all = append(all, v)
		}
	}
	kp.mu.Unlock()
	for _, v := range all {
		if ctx.Err() != nil || !kp.responsible(v.ID) {
			continue
		}
		kp.act(ctx, work, v, job.NextAction(v.Record, time.Now(), kp.gone))
	}
}

// responsible reports whether this instance has the highest hash for a job among the live ones. Two that both think so
// cost a refused write.
func (kp *keeper) responsible(id string) bool {
	mine := xxhash.Sum64String(id + "\x00" + kp.fleet.Self().Name)
	for _, p := range kp.fleet.Peers() {
		if p.Live && xxhash.Sum64String(id+"\x00"+p.Name) > mine {
			return false
		}
	}
	return true
}

func (kp *keeper) act(ctx, work context.Context, v job.Versioned, step job.Action) {
	ctx, cancel := context.WithTimeout(ctx, writeLimit)
	defer cancel()
	switch step {
	case job.ActionRun:
		kp.take(ctx, work, v)
	case job.ActionMarkUnknown:
		kp.change(ctx, v, v.WithResult(job.Unknown, ended(failure.New(failure.TargetLost, failure.Unknown,
			"the instance that ran the job is gone; its result is not known"))))
	case job.ActionExpire:
		kp.change(ctx, v, v.WithResult(job.Failed, ended(failure.New(failure.DeadlineExceeded, failure.NotRun, "the deadline passed"))))
	case job.ActionDelete:
		if err := kp.store.Remove(ctx, v); err != nil {
			kp.log.WithField("job", v.ID).WithError(err).Warn("job not removed")
		}
	case job.ActionNone:
	}
}

func ended(fe *failure.Error) job.Result {
	return job.Result{Ended: time.Now(), Code: fe.Code, Outcome: fe.Outcome, Message: fe.Message}
}

// change writes a record; a conflict means that another instance or the caller was first.
func (kp *keeper) change(ctx context.Context, v job.Versioned, next job.Record) (job.Versioned, bool) {
	nv, err := kp.store.Update(ctx, v, next)
	if err != nil {
		kp.log.WithField("job", v.ID).WithError(err).Debug("job not changed")
		return v, false
	}
	return nv, true
}

func (kp *keeper) take(ctx, work context.Context, v job.Versioned) {
	kp.mu.Lock()
	full := len(kp.running) >= maxRunning
	kp.mu.Unlock()
	if full || kp.stopping() {
		return
	}
	mine, ok := kp.change(ctx, v, v.WithOwner(kp.incarnation))
	if !ok {
		return
	}
	jobCtx, cancel := context.WithCancel(work)
	kp.mu.Lock()
	kp.running[v.ID] = ownRun{cancel: cancel, never: v.AtMostOnce}
	kp.mu.Unlock()
	kp.wg.Go(func() {
		defer cancel()
		kp.perform(jobCtx, mine)
		kp.mu.Lock()
		delete(kp.running, v.ID)
		kp.mu.Unlock()
	})
}

// perform runs a job and records its end. A job given back by a stop is queued again.
func (kp *keeper) perform(ctx context.Context, v job.Versioned) {
	settle, cancel := context.WithTimeout(context.WithoutCancel(ctx), time.Until(v.Deadline)+writeLimit)
	defer cancel()
	if v.AtMostOnce {
		nv, ok := kp.change(ctx, v, v.WithDispatched())
		if !ok {
			return
		}
		v = nv
	}
	body, err := kp.store.Body(ctx, v.Record)
	if err != nil {
		kp.finish(settle, v, claim.Response{}, failure.New(failure.StoreUnavailable, failure.NotRun, "the body cannot be read").WithCause(err), false)
		return
	}
	ans, err := kp.server.RunJob(ctx, serve.Job{
		Organisation: v.Organisation, Class: v.Class, Path: v.Path, Body: body, Deadline: v.Deadline, Never: v.AtMostOnce,
	})
	kp.finish(settle, v, ans, err, ctx.Err() != nil)
}

func (kp *keeper) finish(settle context.Context, v job.Versioned, ans claim.Response, err error, givenBack bool) {
	if err == nil {
		parts, perr := kp.store.PutAnswer(settle, v.Record, ans.Body)
		if perr != nil {
			kp.log.WithField("job", v.ID).WithError(perr).Error("answer not stored")
			return
		}
		kp.change(settle, v, v.WithResult(job.Done, job.Result{
			Ended: time.Now(), Status: ans.Status, ContentType: ans.ContentType, Parts: parts,
		}))
		return
	}
	fe := asFailure(err)
	again := time.Now().Before(v.Deadline) && (fe.Outcome == failure.NotRun || !v.AtMostOnce)
	switch {
	case again && !givenBack && fe.Code == failure.TargetLost:
		// The job itself may be what ends its targets: it comes again ever more seldom.
		next := v.WithTargetLost(time.Now())
		kp.log.WithField("job", v.ID).WithField("lost", next.LostRuns).WithError(fe).Warn("job given back, its target was lost")
		kp.change(settle, v, next)
	case again && (givenBack || fe.RetryAfter > 0):
		kp.change(settle, v, v.WithRequeued())
	case fe.Outcome == failure.Unknown && v.AtMostOnce:
		kp.change(settle, v, v.WithResult(job.Unknown, ended(fe)))
	default:
		kp.change(settle, v, v.WithResult(job.Failed, ended(fe)))
	}
}

// drain waits a moment for running jobs, then gives back those that may be repeated; the others are waited for. Those that
// still run when ctx ends are given up, and get a moment to record it.
func (kp *keeper) drain(ctx context.Context, giveUp func()) {
	done := make(chan struct{})
	go func() { kp.wg.Wait(); close(done) }()
	select {
	case <-done:
		return
	case <-time.After(handOver):
	}
	kp.mu.Lock()
	for _, run := range kp.running {
		if !run.never {
			run.cancel()
		}
	}
	kp.mu.Unlock()
	select {
	case <-done:
		return
	case <-ctx.Done():
	}
	giveUp()
	select {
	case <-done:
	case <-time.After(handOver):
	}
}
