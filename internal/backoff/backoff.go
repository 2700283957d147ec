// Package backoff holds which targets want no requests from this instance for a while, and lets requests back to them step by step.
//
// A back-off is between one target and one instance: it binds the instance that was turned away, and nobody else. When it ends, a single
// request finds out whether the target takes work again, and each good answer lets more go there. What waited for the end does not arrive
// at once, and neither do the requests of all instances.
package backoff

import (
	"sync"
	"sync/atomic"
	"time"
)

const (
	// spreadShare and spreadMost bound how much later than the target asked a back-off ends: instances that were turned away at the same
	// moment come back one after the other.
	jitterFraction = 0.1
	maxJitter      = 250 * time.Millisecond
	// trialEvery is when another request may find out whether the target takes work, as long as the one before has no answer.
	probeInterval = 200 * time.Millisecond
	// perAnswer is how many requests may follow each good answer, so that their number doubles from one round trip to the next.
	allowancePerSuccess = 2
	// openAfter is how many good answers open the target to all requests.
	successesToRecover = 6
	// maxTargets bounds the targets remembered, some 150 bytes each.
	maxTargets = 1 << 13
	// forgetAfter is how long after its end a back-off is remembered that no request ended.
	retention = time.Minute
)

// Phase is how far a target is open to requests of this instance.
type Phase int

// The phases.
const (
	// Open targets take all requests.
	Available Phase = iota
	// OnTrial targets may be sent one more request, which finds out whether they take work again.
	HalfOpen
	// Closed targets take none now.
	Blocked
)

// state is what is known of one target.
type backOff struct {
	// began is when the target first asked, and until when the last back-off that it asked for ends.
	startedAt, endsAt time.Time
	// left is how many requests may go there before the next good answer.
	allowance int
	// trialAt is when one more may go there without an answer.
	nextProbeAt time.Time
	// good counts the good answers since the end, below openAfter.
	successes int
}

// Book is the set of targets that asked for a back-off. It is safe for use by any goroutine.
type Tracker struct {
	now    func() time.Time
	random func() float64

	// any is set while there are targets: a choice in a fleet without back-offs takes no lock for each target.
	nonEmpty atomic.Bool

	mu sync.Mutex
	// targets holds incarnations.
	backOffs map[string]*backOff
}

// New returns an empty book; now is the steady clock, and random is uniform in [0, 1).
func New(now func() time.Time, random func() float64) *Tracker {
	return &Tracker{now: now, random: random, backOffs: map[string]*backOff{}}
}

// Ask notes that a target asked for a back-off in an answer that came at a time. A shorter one that comes later shortens nothing. It
// reports whether the target was not backed off from until then.
func (tr *Tracker) Begin(target string, span time.Duration, came time.Time) (first bool) {
	tr.mu.Lock()
	defer tr.mu.Unlock()
	st, known := tr.backOffs[target]
	if !known && len(tr.backOffs) >= maxTargets {
		return false
	}
	if !known {
		st = &backOff{startedAt: came}
		tr.backOffs[target] = st
		tr.nonEmpty.Store(true)
	}
	first = !tr.now().Before(st.endsAt)
	spread := min(maxJitter, time.Duration(jitterFraction*float64(span)))
	until := came.Add(span + time.Duration(tr.random()*float64(spread)))
	if until.After(st.endsAt) {
		st.endsAt = until
	}
	st.allowance, st.successes, st.nextProbeAt = 1, 0, time.Time{}
	return first
}

// Answered notes an answer that asks for no back-off, to a request that was sent at a time. It returns how long the target was not open,
// and reports whether it is from now on.
func (tr *Tracker) RecordSuccess(target string, sent time.Time) (after time.Duration, opened bool) {
	if !tr.nonEmpty.Load() {
		return 0, false
	}
	tr.mu.Lock()
	defer tr.mu.Unlock()
	st, known := tr.backOffs[target]
	if !known || sent.Before(st.endsAt) {
		// What was under way when the target asked proves nothing about the time after.
		return 0, false
	}
	st.successes++
	st.allowance += allowancePerSuccess
	if st.successes < successesToRecover {
		return 0, false
	}
	tr.remove(target)
	return tr.now().Sub(st.startedAt), true
}

// drop forgets a target. The lock is held.
func (tr *Tracker) remove(target string) {
	delete(tr.backOffs, target)
	tr.nonEmpty.Store(len(tr.backOffs) > 0)
}

// Of returns the phase of a target; of a closed one also when it may be on trial.
func (tr *Tracker) Phase(target string) (ph Phase, opens time.Time) {
	if !tr.nonEmpty.Load() {
		return Available, time.Time{}
	}
	tr.mu.Lock()
	defer tr.mu.Unlock()
	st, known := tr.backOffs[target]
	if !known {
		return Available, time.Time{}
	}
	now := tr.now()
	switch {
	case now.Before(st.endsAt):
		return Blocked, st.endsAt
	case st.allowance > 0 || !now.Before(st.nextProbeAt):
		return HalfOpen, st.endsAt
	default:
		return Blocked, st.nextProbeAt
	}
}

// Until returns when the back-off of a target ends; it reports false when there is none now.
func (tr *Tracker) Until(target string) (time.Time, bool) {
	if !tr.nonEmpty.Load() {
		return time.Time{}, false
	}
	tr.mu.Lock()
	defer tr.mu.Unlock()
	st, known := tr.backOffs[target]
	if !known || !tr.now().Before(st.endsAt) {
		return time.Time{}, false
	}
	return st.endsAt, true
}

// Chosen notes that a request was chosen to go to a target.
func (tr *Tracker) RecordDispatch(target string) {
	if !tr.nonEmpty.Load() {
		return
	}
	tr.mu.Lock()
	defer tr.mu.Unlock()
	st, known := tr.backOffs[target]
	if !known {
		return
	}
	st.allowance = max(0, st.allowance-1)
	st.nextProbeAt = tr.now().Add(probeInterval)
}

// Len returns how many targets are backed off from now.
func (tr *Tracker) ActiveCount() int {
	if !tr.nonEmpty.Load() {
		return 0
	}
	tr.mu.Lock()
	defer tr.mu.Unlock()
	now := tr.now()
	n := 0
	for _, st := range tr.backOffs {
		if now.Before(st.endsAt) {
			n++
		}
	}
	return n
}

// Forget drops the back-offs that ended some time ago, and those that ended of targets that are not there any more.
func (tr *Tracker) Prune(there func(target string) bool) {
	tr.mu.Lock()
	defer tr.mu.Unlock()
	now := tr.now()
	for target, st := range tr.backOffs {
		if now.Sub(st.endsAt) > retention || !now.Before(st.endsAt) && !there(target) {
			tr.remove(target)
		}
	}
}
