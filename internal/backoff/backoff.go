// Package backoff tracks the targets that asked this instance for a back-off, and ramps requests to them up again afterwards.
//
// A back-off is between one target and one instance: it binds only the instance that received it. When it ends, a single probe
// request finds out whether the target accepts work again, and each success allows more requests. This keeps the requests that
// waited for the end of the back-off, and those of other instances, from arriving all at once.
package backoff

import (
	"sync"
	"sync/atomic"
	"time"
)

const (
	// jitterFraction and maxJitter bound the random delay that is added to each back-off, so that instances whose requests
	// the target rejected at the same moment do not retry at the same moment.
	jitterFraction = 0.1
	maxJitter      = 250 * time.Millisecond
	// probeInterval is the time after which another probe may be sent while the previous one has no answer.
	probeInterval = 200 * time.Millisecond
	// allowancePerSuccess is how many further requests each success allows, so that their number doubles with each round trip.
	allowancePerSuccess = 2
	// successesToRecover is how many successes make the target available to all requests.
	successesToRecover = 6
	// maxTargets bounds the number of tracked targets, about 150 bytes each.
	maxTargets = 1 << 13
	// retention is how long after its end a back-off is kept when there are too few successes for a recovery.
	retention = time.Minute
)

// Phase says whether a target accepts requests of this instance.
type Phase int

// The phases.
const (
	// Available targets accept all requests.
	Available Phase = iota
	// HalfOpen targets may be sent one more request, which probes whether they accept work again.
	HalfOpen
	// Blocked targets accept no requests at present.
	Blocked
)

// backOff is the state of one target.
type backOff struct {
	// startedAt is when the target first asked for a back-off; endsAt is when the latest of its back-offs ends.
	startedAt, endsAt time.Time
	// allowance is how many requests may be sent before the next success.
	allowance int
	// nextProbeAt is when another request may be sent although the allowance is used up and no answer has arrived.
	nextProbeAt time.Time
	// successes counts the successes since endsAt; it stays below successesToRecover.
	successes int
}

// Tracker holds the back-off state of all targets. It is safe for concurrent use.
type Tracker struct {
	now    func() time.Time
	random func() float64

	// nonEmpty is set while backOffs has entries, so that target selection takes no lock per target when there are no back-offs.
	nonEmpty atomic.Bool

	mu sync.Mutex
	// backOffs is keyed by the incarnation of the target.
	backOffs map[string]*backOff
}

// New returns an empty tracker; now is a monotonic clock, and random returns uniform values in [0, 1).
func New(now func() time.Time, random func() float64) *Tracker {
	return &Tracker{now: now, random: random, backOffs: map[string]*backOff{}}
}

// Begin starts or extends the back-off that a target asked for in an answer received at receivedAt. It never shortens one that is
// in force. It reports whether no back-off of the target was in force before.
func (tr *Tracker) Begin(target string, duration time.Duration, receivedAt time.Time) (started bool) {
	tr.mu.Lock()
	defer tr.mu.Unlock()
	bo, known := tr.backOffs[target]
	if !known && len(tr.backOffs) >= maxTargets {
		return false
	}
	if !known {
		bo = &backOff{startedAt: receivedAt}
		tr.backOffs[target] = bo
		tr.nonEmpty.Store(true)
	}
	started = !tr.now().Before(bo.endsAt)
	jitter := min(maxJitter, time.Duration(jitterFraction*float64(duration)))
	endsAt := receivedAt.Add(duration + time.Duration(tr.random()*float64(jitter)))
	if endsAt.After(bo.endsAt) {
		bo.endsAt = endsAt
	}
	bo.allowance, bo.successes, bo.nextProbeAt = 1, 0, time.Time{}
	return started
}

// RecordSuccess records an answer without a back-off to a request that was sent at sentAt. When it makes the target available
// again, it returns true and the time since the target first asked for a back-off.
func (tr *Tracker) RecordSuccess(target string, sentAt time.Time) (after time.Duration, recovered bool) {
	if !tr.nonEmpty.Load() {
		return 0, false
	}
	tr.mu.Lock()
	defer tr.mu.Unlock()
	bo, known := tr.backOffs[target]
	if !known || sentAt.Before(bo.endsAt) {
		// A request sent before the end of the back-off does not show that the target accepts work after it.
		return 0, false
	}
	bo.successes++
	bo.allowance += allowancePerSuccess
	if bo.successes < successesToRecover {
		return 0, false
	}
	tr.remove(target)
	return tr.now().Sub(bo.startedAt), true
}

// remove deletes the state of a target. The caller holds the lock.
func (tr *Tracker) remove(target string) {
	delete(tr.backOffs, target)
	tr.nonEmpty.Store(len(tr.backOffs) > 0)
}

// Phase returns the phase of a target. For a blocked target, retryAt is when it may be probed next.
func (tr *Tracker) Phase(target string) (ph Phase, retryAt time.Time) {
	if !tr.nonEmpty.Load() {
		return Available, time.Time{}
	}
	tr.mu.Lock()
	defer tr.mu.Unlock()
	bo, known := tr.backOffs[target]
	if !known {
		return Available, time.Time{}
	}
	now := tr.now()
	switch {
	case now.Before(bo.endsAt):
		return Blocked, bo.endsAt
	case bo.allowance > 0 || !now.Before(bo.nextProbeAt):
		return HalfOpen, bo.endsAt
	default:
		return Blocked, bo.nextProbeAt
	}
}

// Until returns when the back-off of a target ends, and false when none is in force.
func (tr *Tracker) Until(target string) (time.Time, bool) {
	if !tr.nonEmpty.Load() {
		return time.Time{}, false
	}
	tr.mu.Lock()
	defer tr.mu.Unlock()
	bo, known := tr.backOffs[target]
	if !known || !tr.now().Before(bo.endsAt) {
		return time.Time{}, false
	}
	return bo.endsAt, true
}

// RecordDispatch records that a request is about to be sent to a target, and charges it to the allowance.
func (tr *Tracker) RecordDispatch(target string) {
	if !tr.nonEmpty.Load() {
		return
	}
	tr.mu.Lock()
	defer tr.mu.Unlock()
	bo, known := tr.backOffs[target]
	if !known {
		return
	}
	bo.allowance = max(0, bo.allowance-1)
	bo.nextProbeAt = tr.now().Add(probeInterval)
}

// ActiveCount returns the number of targets whose back-off is in force.
func (tr *Tracker) ActiveCount() int {
	if !tr.nonEmpty.Load() {
		return 0
	}
	tr.mu.Lock()
	defer tr.mu.Unlock()
	now := tr.now()
	n := 0
	for _, bo := range tr.backOffs {
		if now.Before(bo.endsAt) {
			n++
		}
	}
	return n
}

// Prune removes back-offs that ended longer than the retention time ago, and ended ones of targets that no longer exist.
func (tr *Tracker) Prune(exists func(target string) bool) {
	tr.mu.Lock()
	defer tr.mu.Unlock()
	now := tr.now()
	for target, bo := range tr.backOffs {
		if now.Sub(bo.endsAt) > retention || !now.Before(bo.endsAt) && !exists(target) {
			tr.remove(target)
		}
	}
}
