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
	minWatchInterval = 500 * time.Millisecond
	// lookEvery is how often all jobs are looked at when nothing changes.
	scanInterval = time.Second
	// maxRunning bounds the jobs of one instance.
	maxRunning = 8
	// handOver is how long a stop waits for running jobs before it gives them back, and for the last records after that.
	drainStepTimeout = 2 * time.Second
	// writeLimit bounds one change of a record.
	writeTimeout = 10 * time.Second
	// lapsedAfter renewals missed an instance counts as gone.
	maxMissedRenewals = 4
)

// keeper looks after jobs for one instance.
type manager struct {
	store        *job.Store
	server       *serve.Server
	fleet        *fleet.Fleet
	incarnation  string
	log          log.Interface
	stopping     func() bool
	ownerTimeout time.Duration

	mu sync.Mutex
	// known is what the store last told.
	records map[string]job.Versioned
	// running holds each job run here.
	running map[string]activeRun
	wg      sync.WaitGroup
}

// ownRun is a job that this instance runs.
type activeRun struct {
	cancel context.CancelFunc
	// never is set when the job may not be run twice.
	runOnce bool
}

func start(_ context.Context, env *kernel.Env) (kernel.Stop, error) {
	client, err := kernel.Need[*objectstore.Client](env)
	if err != nil {
		return nil, err
	}
	kp := &manager{
		store: job.NewStore(client), incarnation: env.Incarnation, log: env.Logger("jobs"), stopping: env.Stopping.Load,
		ownerTimeout: maxMissedRenewals * env.Settings.Platform.Registration.Std(),
		records:      map[string]job.Versioned{}, running: map[string]activeRun{},
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
		knowledge.ListAndWatch(ctx, client, objectstore.KindJobs, minWatchInterval, kp.log, kp.setRecords)
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

func (mg *manager) setRecords(items []objectstore.Object) {
	known := map[string]job.Versioned{}
	for _, o := range items {
		if v, err := job.Decode(o); err == nil {
			known[v.ID] = v
		}
	}
	mg.mu.Lock()
	mg.records = known
	mg.mu.Unlock()
}

// gone reports whether whoever runs a job is no more. A job that this instance is said to run is looked at only when
// it does not run here.
func (mg *manager) ownerGone(incarnation string) bool {
	return incarnation == mg.incarnation || mg.fleet.Gone(incarnation, mg.ownerTimeout)
}

func (mg *manager) run(ctx, work context.Context) {
	tick := time.NewTicker(scanInterval)
	defer tick.Stop()
	for {
		mg.scan(ctx, work)
		select {
		case <-tick.C:
		case <-ctx.Done():
			return
		}
	}
}

// look decides about every job that this instance is responsible for.
func (mg *manager) scan(ctx, work context.Context) {
	mg.mu.Lock()
	all := make([]job.Versioned, 0, len(mg.records))
	for _, v := range mg.records {
		if _, mine := mg.running[v.ID]; !mine {
			all = append(all, v)
		}
	}
	mg.mu.Unlock()
	for _, v := range all {
		if ctx.Err() != nil || !mg.isResponsible(v.ID) {
			continue
		}
		mg.applyStep(ctx, work, v, job.Next(v.Record, time.Now(), mg.ownerGone))
	}
}

// responsible reports whether this instance has the highest hash for a job among the live ones. Two that both think so
// cost a refused write.
func (mg *manager) isResponsible(id string) bool {
	mine := xxhash.Sum64String(id + "\x00" + mg.fleet.Self().Name)
	for _, p := range mg.fleet.Peers() {
		if p.Live && xxhash.Sum64String(id+"\x00"+p.Name) > mine {
			return false
		}
	}
	return true
}

func (mg *manager) applyStep(ctx, work context.Context, v job.Versioned, step job.Step) {
	ctx, cancel := context.WithTimeout(ctx, writeTimeout)
	defer cancel()
	switch step {
	case job.Take:
		mg.claimAndRun(ctx, work, v)
	case job.GiveUp:
		mg.updateRecord(ctx, v, v.WithEnd(job.Unknown, failedResult(failure.New(failure.TargetLost, failure.Unknown,
			"the instance that ran the job is gone; its result is not known"))))
	case job.Expire:
		mg.updateRecord(ctx, v, v.WithEnd(job.Failed, failedResult(failure.New(failure.DeadlineExceeded, failure.NotRun, "the deadline passed"))))
	case job.Forget:
		if err := mg.store.Remove(ctx, v); err != nil {
			mg.log.WithField("job", v.ID).WithError(err).Warn("job not removed")
		}
	case job.Leave:
	}
}

func failedResult(fe *failure.Error) job.Result {
	return job.Result{Ended: time.Now(), Code: fe.Code, Outcome: fe.Outcome, Message: fe.Message}
}

// change writes a record; a conflict means that another instance or the caller was first.
func (mg *manager) updateRecord(ctx context.Context, v job.Versioned, next job.Record) (job.Versioned, bool) {
	nv, err := mg.store.Update(ctx, v, next)
	if err != nil {
		mg.log.WithField("job", v.ID).WithError(err).Debug("job not changed")
		return v, false
	}
	return nv, true
}

func (mg *manager) claimAndRun(ctx, work context.Context, v job.Versioned) {
	mg.mu.Lock()
	full := len(mg.running) >= maxRunning
	mg.mu.Unlock()
	if full || mg.stopping() {
		return
	}
	mine, ok := mg.updateRecord(ctx, v, v.WithOwner(mg.incarnation))
	if !ok {
		return
	}
	jobCtx, cancel := context.WithCancel(work)
	mg.mu.Lock()
	mg.running[v.ID] = activeRun{cancel: cancel, runOnce: v.Never}
	mg.mu.Unlock()
	mg.wg.Go(func() {
		defer cancel()
		mg.execute(jobCtx, mine)
		mg.mu.Lock()
		delete(mg.running, v.ID)
		mg.mu.Unlock()
	})
}

// perform runs a job and records its end. A job given back by a stop is queued again.
func (mg *manager) execute(ctx context.Context, v job.Versioned) {
	settle, cancel := context.WithTimeout(context.WithoutCancel(ctx), time.Until(v.Deadline)+writeTimeout)
	defer cancel()
	if v.Never {
		nv, ok := mg.updateRecord(ctx, v, v.WithDispatched())
		if !ok {
			return
		}
		v = nv
	}
	body, err := mg.store.Body(ctx, v.Record)
	if err != nil {
		mg.recordOutcome(settle, v, claim.Response{}, failure.New(failure.StoreUnavailable, failure.NotRun, "the body cannot be read").WithCause(err), false)
		return
	}
	ans, err := mg.server.RunJob(ctx, serve.Job{
		Organisation: v.Organisation, Class: v.Class, Path: v.Path, Body: body, Deadline: v.Deadline, Never: v.Never,
	})
	mg.recordOutcome(settle, v, ans, err, ctx.Err() != nil)
}

func (mg *manager) recordOutcome(settle context.Context, v job.Versioned, ans claim.Response, err error, givenBack bool) {
	if err == nil {
		parts, perr := mg.store.PutAnswer(settle, v.Record, ans.Body)
		if perr != nil {
			mg.log.WithField("job", v.ID).WithError(perr).Error("answer not stored")
			return
		}
		mg.updateRecord(settle, v, v.WithEnd(job.Done, job.Result{
			Ended: time.Now(), Status: ans.Status, ContentType: ans.ContentType, Parts: parts,
		}))
		return
	}
	fe := toFailure(err)
	again := time.Now().Before(v.Deadline) && (fe.Outcome == failure.NotRun || !v.Never)
	switch {
	case again && !givenBack && fe.Code == failure.TargetLost:
		// The job itself may be what ends its targets: it comes again ever more seldom.
		next := v.WithLost(time.Now())
		mg.log.WithField("job", v.ID).WithField("lost", next.Lost).WithError(fe).Warn("job given back, its target was lost")
		mg.updateRecord(settle, v, next)
	case again && (givenBack || fe.RetryAfter > 0):
		mg.updateRecord(settle, v, v.WithQueued())
	case fe.Outcome == failure.Unknown && v.Never:
		mg.updateRecord(settle, v, v.WithEnd(job.Unknown, failedResult(fe)))
	default:
		mg.updateRecord(settle, v, v.WithEnd(job.Failed, failedResult(fe)))
	}
}

// drain waits a moment for running jobs, then gives back those that may be repeated; the others are waited for. Those that
// still run when ctx ends are given up, and get a moment to record it.
func (mg *manager) drain(ctx context.Context, giveUp func()) {
	done := make(chan struct{})
	go func() { mg.wg.Wait(); close(done) }()
	select {
	case <-done:
		return
	case <-time.After(drainStepTimeout):
	}
	mg.mu.Lock()
	for _, run := range mg.running {
		if !run.runOnce {
			run.cancel()
		}
	}
	mg.mu.Unlock()
	select {
	case <-done:
		return
	case <-ctx.Done():
	}
	giveUp()
	select {
	case <-done:
	case <-time.After(drainStepTimeout):
	}
}
