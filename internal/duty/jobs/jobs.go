// Package jobs is the duty that accepts and runs jobs, takes over those of ended instances, and removes old ones.
package jobs

import (
	"context"
	"sync"
	"time"

	"github.com/apex/log"
	"github.com/cespare/xxhash/v2"

	"github.com/silvermount/silvermount/internal/callerapi"
	"github.com/silvermount/silvermount/internal/claim"
	"github.com/silvermount/silvermount/internal/duty/discovery"
	"github.com/silvermount/silvermount/internal/failure"
	"github.com/silvermount/silvermount/internal/fleet"
	"github.com/silvermount/silvermount/internal/job"
	"github.com/silvermount/silvermount/internal/kernel"
	"github.com/silvermount/silvermount/internal/objectstore"
)

func init() {
	kernel.Register(kernel.Duty{Name: "jobs", Phase: kernel.PhaseListen, Start: start})
}

const (
	// minWatchInterval is the minimum time between two calls that watch the store's jobs.
	minWatchInterval = 500 * time.Millisecond
	// scanInterval is the time between two scans of all jobs. Scans also run when nothing changes.
	scanInterval = time.Second
	// maxRunning is the maximum number of jobs that one instance runs at a time.
	maxRunning = 8
	// drainStepTimeout is how long a stop waits for running jobs before it interrupts them, and at the end for their last records.
	drainStepTimeout = 2 * time.Second
	// writeTimeout bounds the changes to the store for one step of a job.
	writeTimeout = 10 * time.Second
	// maxMissedRenewals is the number of registration intervals without a renewal after which an instance counts as ended.
	maxMissedRenewals = 4
)

// manager accepts and runs jobs for one instance.
type manager struct {
	store       *job.Store
	server      *callerapi.Server
	fleet       *fleet.Fleet
	incarnation string
	log         log.Interface
	stopping    func() bool
	// ownerTimeout is the time without a renewed registration after which the owner of a job counts as ended.
	ownerTimeout time.Duration

	mu sync.Mutex
	// records holds the jobs by id, as last read from the store.
	records map[string]job.Versioned
	// running holds the jobs that this instance runs, by id.
	running map[string]activeRun
	wg      sync.WaitGroup
}

// activeRun is a run of a job on this instance.
type activeRun struct {
	cancel context.CancelFunc
	// runOnce is set if the job must not run twice.
	runOnce bool
}

func start(_ context.Context, env *kernel.Env) (kernel.Stop, error) {
	client, err := kernel.Resolve[*objectstore.Client](env)
	if err != nil {
		return nil, err
	}
	mg := &manager{
		store: job.NewStore(client), incarnation: env.Incarnation, log: env.Logger("jobs"), stopping: env.Stopping.Load,
		ownerTimeout: maxMissedRenewals * env.Settings.Platform.Registration.Std(),
		records:      map[string]job.Versioned{}, running: map[string]activeRun{},
	}
	if mg.server, err = kernel.Resolve[*callerapi.Server](env); err != nil {
		return nil, err
	}
	if mg.fleet, err = kernel.Resolve[*fleet.Fleet](env); err != nil {
		return nil, err
	}
	mg.server.Mount("/v1/jobs", mg.handler())
	baseCtx, cancelRuns := context.WithCancel(context.Background())
	watch := kernel.Go(func(ctx context.Context) {
		discovery.ListAndWatch(ctx, client, objectstore.KindJobs, minWatchInterval, mg.log, mg.setRecords)
	})
	scanner := kernel.Go(func(ctx context.Context) { mg.run(ctx, baseCtx) })
	return func(ctx context.Context) error {
		defer cancelRuns()
		for _, stop := range []kernel.Stop{scanner, watch} {
			if err := stop(ctx); err != nil {
				return err
			}
		}
		ctx, cancel := context.WithTimeout(ctx, env.Settings.Stop.Drain.Std())
		defer cancel()
		mg.drain(ctx, cancelRuns)
		return nil
	}, nil
}

func (mg *manager) setRecords(objects []objectstore.Object) {
	records := map[string]job.Versioned{}
	for _, o := range objects {
		if v, err := job.Decode(o); err == nil {
			records[v.ID] = v
		}
	}
	mg.mu.Lock()
	mg.records = records
	mg.mu.Unlock()
}

// ownerEnded reports whether the owner of a job has ended. scan asks this only about jobs that do not run here, so a job that
// names this instance as its owner has lost its run.
func (mg *manager) ownerEnded(incarnation string) bool {
	return incarnation == mg.incarnation || mg.fleet.PresumedEnded(incarnation, mg.ownerTimeout)
}

func (mg *manager) run(ctx, baseCtx context.Context) {
	tick := time.NewTicker(scanInterval)
	defer tick.Stop()
	for {
		mg.scan(ctx, baseCtx)
		select {
		case <-tick.C:
		case <-ctx.Done():
			return
		}
	}
}

// scan applies the next step to every job that this instance is responsible for and does not run.
func (mg *manager) scan(ctx, baseCtx context.Context) {
	mg.mu.Lock()
	all := make([]job.Versioned, 0, len(mg.records))
	for _, v := range mg.records {
		if _, running := mg.running[v.ID]; !running {
			all = append(all, v)
		}
	}
	mg.mu.Unlock()
	for _, v := range all {
		if ctx.Err() != nil || !mg.isResponsible(v.ID) {
			continue
		}
		mg.applyStep(ctx, baseCtx, v, job.NextAction(v.Record, time.Now(), mg.ownerEnded))
	}
}

// isResponsible reports whether this instance has the highest rendezvous hash for a job among the live instances. If two instances
// see different live peers and both claim a job, one of their writes fails with a conflict.
func (mg *manager) isResponsible(id string) bool {
	own := xxhash.Sum64String(id + "\x00" + mg.fleet.Self().Name)
	for _, p := range mg.fleet.Peers() {
		if p.Live && xxhash.Sum64String(id+"\x00"+p.Name) > own {
			return false
		}
	}
	return true
}

func (mg *manager) applyStep(ctx, baseCtx context.Context, v job.Versioned, action job.Action) {
	ctx, cancel := context.WithTimeout(ctx, writeTimeout)
	defer cancel()
	switch action {
	case job.ActionRun:
		mg.claimAndRun(ctx, baseCtx, v)
	case job.ActionMarkUnknown:
		mg.updateRecord(ctx, v, v.WithResult(job.Unknown, failedResult(failure.New(failure.TargetLost, failure.Unknown,
			"the instance that ran the job is gone; its result is not known"))))
	case job.ActionExpire:
		mg.updateRecord(ctx, v, v.WithResult(job.Failed, failedResult(failure.New(failure.DeadlineExceeded, failure.NotRun, "the deadline passed"))))
	case job.ActionDelete:
		if err := mg.store.Remove(ctx, v); err != nil {
			mg.log.WithField("job", v.ID).WithError(err).Warn("could not remove job from the store")
		}
	case job.ActionNone:
	}
}

func failedResult(fe *failure.Error) job.Result {
	return job.Result{Ended: time.Now(), Code: fe.Code, Outcome: fe.Outcome, Message: fe.Message}
}

// updateRecord writes a record and reports whether that succeeded. After a conflict, another instance or the caller has changed it first.
func (mg *manager) updateRecord(ctx context.Context, v job.Versioned, next job.Record) (job.Versioned, bool) {
	nv, err := mg.store.Update(ctx, v, next)
	if err != nil {
		mg.log.WithField("job", v.ID).WithError(err).Debug("could not update job record")
		return v, false
	}
	return nv, true
}

func (mg *manager) claimAndRun(ctx, baseCtx context.Context, v job.Versioned) {
	mg.mu.Lock()
	full := len(mg.running) >= maxRunning
	mg.mu.Unlock()
	if full || mg.stopping() {
		return
	}
	claimed, ok := mg.updateRecord(ctx, v, v.WithOwner(mg.incarnation))
	if !ok {
		return
	}
	jobCtx, cancel := context.WithCancel(baseCtx)
	mg.mu.Lock()
	mg.running[v.ID] = activeRun{cancel: cancel, runOnce: v.AtMostOnce}
	mg.mu.Unlock()
	mg.wg.Go(func() {
		defer cancel()
		mg.execute(jobCtx, claimed)
		mg.mu.Lock()
		delete(mg.running, v.ID)
		mg.mu.Unlock()
	})
}

// execute runs a job and records its outcome. A job that a stop interrupts is queued again if it may be repeated.
func (mg *manager) execute(ctx context.Context, v job.Versioned) {
	recordCtx, cancel := context.WithTimeout(context.WithoutCancel(ctx), time.Until(v.Deadline)+writeTimeout)
	defer cancel()
	if v.AtMostOnce {
		nv, ok := mg.updateRecord(ctx, v, v.WithDispatched())
		if !ok {
			return
		}
		v = nv
	}
	body, err := mg.store.Body(ctx, v.Record)
	if err != nil {
		mg.recordOutcome(recordCtx, v, claim.Response{}, failure.New(failure.StoreUnavailable, failure.NotRun, "the body cannot be read").WithCause(err), false)
		return
	}
	resp, err := mg.server.RunJob(ctx, callerapi.Job{
		Organisation: v.Organisation, Class: v.Class, Path: v.Path, Body: body, Deadline: v.Deadline, AtMostOnce: v.AtMostOnce,
	})
	mg.recordOutcome(recordCtx, v, resp, err, ctx.Err() != nil)
}

func (mg *manager) recordOutcome(recordCtx context.Context, v job.Versioned, resp claim.Response, err error, interrupted bool) {
	if err == nil {
		parts, putErr := mg.store.PutAnswer(recordCtx, v.Record, resp.Body)
		if putErr != nil {
			mg.log.WithField("job", v.ID).WithError(putErr).Error("could not store answer of job")
			return
		}
		mg.updateRecord(recordCtx, v, v.WithResult(job.Done, job.Result{
			Ended: time.Now(), Status: resp.Status, ContentType: resp.ContentType, Parts: parts,
		}))
		return
	}
	fe := toFailure(err)
	repeatable := time.Now().Before(v.Deadline) && (fe.Outcome == failure.NotRun || !v.AtMostOnce)
	switch {
	case repeatable && !interrupted && fe.Code == failure.TargetLost:
		// The job itself may crash its targets, so WithTargetLost delays each further retry for longer.
		next := v.WithTargetLost(time.Now())
		mg.log.WithField("job", v.ID).WithField("lost", next.LostRuns).WithError(fe).Warn("target lost while running job; job queued again")
		mg.updateRecord(recordCtx, v, next)
	case repeatable && (interrupted || fe.RetryAfter > 0):
		mg.updateRecord(recordCtx, v, v.WithRequeued())
	case fe.Outcome == failure.Unknown && v.AtMostOnce:
		mg.updateRecord(recordCtx, v, v.WithResult(job.Unknown, failedResult(fe)))
	default:
		mg.updateRecord(recordCtx, v, v.WithResult(job.Failed, failedResult(fe)))
	}
}

// drain first waits drainStepTimeout for running jobs. It then interrupts those that may be repeated, which queues them again, and
// waits for the others until ctx ends. It calls abort to cancel those that still run then, and waits up to drainStepTimeout for their
// records.
func (mg *manager) drain(ctx context.Context, abort func()) {
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
	abort()
	select {
	case <-done:
	case <-time.After(drainStepTimeout):
	}
}
