package dispatch

import (
	"context"
	"time"

	"github.com/silvermount/silvermount/internal/backoff"
	"github.com/silvermount/silvermount/internal/failure"
	"github.com/silvermount/silvermount/internal/placement"
	"github.com/silvermount/silvermount/internal/targets"
)

// A target that rejects requests with a back-off answers faster than one that does the work, and therefore looks idle to
// target selection. During its back-off it is blocked: it is sent no requests and is not used as a helper. After the back-off
// it is half-open: a request that can be retried elsewhere probes whether the target accepts work again.

// probeOnlyPeriod is how long after a back-off only a request that can be retried elsewhere may probe the target. After it,
// any request may that no target has rejected yet, in case there was no such probe.
const probeOnlyPeriod = time.Second

// canProbe reports whether the request may probe a half-open target, because a rejection costs it nothing.
func (rq Request) canProbe() bool {
	return rq.CanRetry && rq.Caution == targets.AllowProbe && !rq.isLong() && !rq.Resumed
}

// blockedByBackOff reports whether a back-off blocks a target for the request, in which phase it is, and when it may be tried
// again. A half-open target may be tried at once if all other targets are blocked too.
func (ds *Dispatcher) blockedByBackOff(rq Request, id string) (until time.Time, ph backoff.Phase, blocked bool) {
	ph, at := ds.backOffPhase(id)
	switch ph {
	case backoff.Blocked:
		return at, ph, true
	case backoff.HalfOpen:
		now := ds.opts.Now()
		return now, ph, !rq.mayProbe && (rq.Retried || now.Sub(at) < probeOnlyPeriod)
	case backoff.Available:
	}
	return time.Time{}, ph, false
}

func (ds *Dispatcher) backOffPhase(id string) (backoff.Phase, time.Time) {
	if ds.opts.BackOffs == nil {
		return backoff.Available, time.Time{}
	}
	return ds.opts.BackOffs.Phase(id)
}

// isBackedOff reports whether the target's back-off is still running.
func (ds *Dispatcher) isBackedOff(id string) bool {
	if ds.opts.BackOffs == nil {
		return false
	}
	_, backedOff := ds.opts.BackOffs.Until(id)
	return backedOff
}

// recordDispatch records in the back-off tracker that a request is about to be sent to the target.
func (ds *Dispatcher) recordDispatch(id string) {
	if ds.opts.BackOffs != nil {
		ds.opts.BackOffs.RecordDispatch(id)
	}
}

// maxBackOffLoadPeriod bounds how long peers see a back-off of this instance as load on the target.
const maxBackOffLoadPeriod = 10 * time.Second

// RecordBackOff records that the target rejected the request with a back-off. The back-off binds this instance only, and the
// target may still accept requests from peers. Peers therefore see it as additional load: they prefer other targets while
// those have room, so that not every instance has to be rejected first.
func (sl *Slot) RecordBackOff(backOff time.Duration) {
	if !sl.ds.beginBackOffLoad(sl.Target.ID) {
		return
	}
	load := placement.Load{Decoding: max(1, sl.Target.Slots)}
	if sl.engine != nil {
		load = placement.Load{SplitPrefill: sl.engine.PrefillWithin(failurePrefillTime)}
	}
	span := min(backOff, maxBackOffLoadPeriod)
	sl.ds.addLoadFor(span, sl.Target.ID, load)
	time.AfterFunc(span, func() { sl.ds.endBackOffLoad(sl.Target.ID) })
}

// beginBackOffLoad marks the target's back-off as published to peers, and reports whether it was not yet.
func (ds *Dispatcher) beginBackOffLoad(id string) bool {
	ds.loadTable.mu.Lock()
	defer ds.loadTable.mu.Unlock()
	if _, published := ds.loadTable.backOffLoads[id]; published {
		return false
	}
	ds.loadTable.backOffLoads[id] = struct{}{}
	return true
}

func (ds *Dispatcher) endBackOffLoad(id string) {
	ds.loadTable.mu.Lock()
	defer ds.loadTable.mu.Unlock()
	delete(ds.loadTable.backOffLoads, id)
}

// BackedOffError reports that all targets for a request are in back-off.
type BackedOffError struct {
	// Target is the incarnation whose back-off ends first, and Remaining the time until then.
	Target    string
	Remaining time.Duration
}

// Error names the target and the remaining back-off.
func (be *BackedOffError) Error() string {
	return "target " + be.Target + " is backed off for another " + be.Remaining.Round(time.Millisecond).String()
}

// waitForBackOff waits until the target whose block ends first may be probed. If that is after the request's wait deadline, it
// fails at once with the time after which to retry.
func (ds *Dispatcher) waitForBackOff(ctx context.Context, rq Request, first blockedTarget) error {
	wait := first.until.Sub(ds.opts.Now())
	probing := !ds.isBackedOff(first.target.ID)
	if probing {
		// The probe is in flight, and its answer may unblock the target at any time.
		wait = min(wait, pollInterval)
	}
	if ds.opts.Now().Add(wait).After(rq.backOffWaitDeadline()) {
		// Jitter keeps requests that are refused at the same moment from being retried at the same moment.
		retryAfter := wait + time.Duration(hashFraction(rq.ID, ds.opts.Instance)*float64(roomRetryAfter))
		return failure.New(failure.Overloaded, failure.NotRun, "all targets want no requests for now").
			WithCause(&BackedOffError{Target: first.target.ID, Remaining: wait}).WithRetryAfter(max(retryAfter, roomRetryAfter))
	}
	if ds.opts.OnBackOffWait != nil && !probing {
		ds.opts.OnBackOffWait(rq.ID, first.target, wait)
	}
	// Staggering lets requests of higher priority choose a target first.
	return sleep(ctx, wait+time.Duration(rq.Priority)*priorityStagger)
}

// priorityStagger is the delay between requests of adjacent priorities after a back-off ends: enough for one to choose its
// target before the next looks.
const priorityStagger = time.Millisecond

// RetryAfter returns when the caller of a refused request should retry: after the usual short delay, or at the
// end of the first back-off if all targets of the service are backed off.
func (ds *Dispatcher) RetryAfter(service string) time.Duration {
	var first time.Time
	for _, tg := range ds.targets.Usable(service, targets.RequireReachable) {
		ph, at := ds.backOffPhase(tg.ID)
		if ph != backoff.Blocked {
			return roomRetryAfter
		}
		if first.IsZero() || at.Before(first) {
			first = at
		}
	}
	if first.IsZero() {
		return roomRetryAfter
	}
	return max(roomRetryAfter, first.Sub(ds.opts.Now()))
}
