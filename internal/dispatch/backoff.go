package dispatch

import (
	"context"
	"time"

	"github.com/silvermount/silvermount/internal/backoff"
	"github.com/silvermount/silvermount/internal/failure"
	"github.com/silvermount/silvermount/internal/placement"
	"github.com/silvermount/silvermount/internal/targets"
)

// The load that back-offs answer: a target that turns requests away answers faster than those that do the work, and so looks idle to every
// choice. It is closed until its back-off is over, as one without a permit is, and helps nobody either. A request that can go elsewhere then
// finds out whether it takes work again.

// unprobedFor is the time after a back-off from which any request may go there that was not turned away yet, if none that can go elsewhere
// came by.
const unprobedFor = time.Second

// probes reports whether a request may find out whether a target takes work again: it loses nothing when it is turned away.
func (as Ask) probes() bool {
	return as.Spare && as.Caution == targets.AllowProbe && !as.long() && !as.Resumed
}

// backedOff reports whether a target is closed to a request for a back-off, and when it may be asked again. One that is on trial may be at
// once where there is no other.
func (ds *Dispatcher) backedOff(as Ask, id string) (opens time.Time, by backoff.Phase, closed bool) {
	by, at := ds.phase(id)
	switch by {
	case backoff.Blocked:
		return at, by, true
	case backoff.HalfOpen:
		now := ds.opts.Now()
		return now, by, !as.probe && (as.Retried || now.Sub(at) < unprobedFor)
	case backoff.Available:
	}
	return time.Time{}, by, false
}

func (ds *Dispatcher) phase(id string) (backoff.Phase, time.Time) {
	if ds.opts.BackOffs == nil {
		return backoff.Available, time.Time{}
	}
	return ds.opts.BackOffs.Phase(id)
}

// isBackedOff reports whether a target wants no requests now.
func (ds *Dispatcher) isBackedOff(id string) bool {
	if ds.opts.BackOffs == nil {
		return false
	}
	_, backedOff := ds.opts.BackOffs.Until(id)
	return backedOff
}

// tried notes that a request goes to a target.
func (ds *Dispatcher) tried(id string) {
	if ds.opts.BackOffs != nil {
		ds.opts.BackOffs.RecordDispatch(id)
	}
}

// hintMost bounds how long a back-off of this instance is a load in the eyes of its peers.
const hintMost = 10 * time.Second

// TurnedAway notes that the target turned the request away for a time. For peers, who may be welcome there, that is a load like any other:
// they prefer other targets as long as these have room, and need not all be turned away before they know.
func (sl *Slot) TurnedAway(backOff time.Duration) {
	if !sl.ds.hint(sl.Target.ID) {
		return
	}
	load := placement.Load{Writers: max(1, sl.Target.Slots)}
	if sl.engine != nil {
		load = placement.Load{Parts: sl.engine.ReadWithin(failedReading)}
	}
	span := min(backOff, hintMost)
	sl.ds.addFor(span, sl.Target.ID, load)
	time.AfterFunc(span, func() { sl.ds.unhint(sl.Target.ID) })
}

// hint reports whether peers are not told of a back-off yet.
func (ds *Dispatcher) hint(id string) bool {
	ds.book.mu.Lock()
	defer ds.book.mu.Unlock()
	if _, hinted := ds.book.hinted[id]; hinted {
		return false
	}
	ds.book.hinted[id] = struct{}{}
	return true
}

func (ds *Dispatcher) unhint(id string) {
	ds.book.mu.Lock()
	defer ds.book.mu.Unlock()
	delete(ds.book.hinted, id)
}

// BackedOffError says that a request finds no target for the back-offs of all.
type BackedOffError struct {
	// Target is the incarnation whose back-off ends first, and After the time until then.
	Target string
	After  time.Duration
}

// Error names the target.
func (be *BackedOffError) Error() string {
	return "target " + be.Target + " wants no requests for " + be.After.Round(time.Millisecond).String()
}

// awaitBackOff waits until a target may be on trial, the earliest of all, where a request has the time. Else it fails at once with the time
// at which to come back.
func (ds *Dispatcher) awaitBackOff(ctx context.Context, as Ask, first opening) error {
	wait := first.at.Sub(ds.opts.Now())
	over := !ds.isBackedOff(first.target.ID)
	if over {
		// The answer to the request that is on its way may come at any time.
		wait = min(wait, waitStep)
	}
	if ds.opts.Now().Add(wait).After(as.patience()) {
		// Those that were refused at one moment do not come back at one moment.
		again := wait + time.Duration(fraction(as.Request, ds.opts.Instance)*float64(comeBack))
		return failure.New(failure.Overloaded, failure.NotRun, "all targets want no requests for now").
			WithCause(&BackedOffError{Target: first.target.ID, After: wait}).WithRetryAfter(max(again, comeBack))
	}
	if ds.opts.Waits != nil && !over {
		ds.opts.Waits(as.Request, first.target, wait)
	}
	// The more urgent look first.
	return sleep(ctx, wait+time.Duration(as.Priority)*rankStep)
}

// rankStep is the time between the looks of requests of neighbouring ranks when a back-off ends: enough for a choice.
const rankStep = time.Millisecond

// ReturnAfter returns when the caller of a request that was turned away may come back: at once, but for where all targets of the service are
// backed off from.
func (ds *Dispatcher) ReturnAfter(service string) time.Duration {
	var first time.Time
	for _, tg := range ds.targets.Usable(service, targets.RequireReachable) {
		ph, at := ds.phase(tg.ID)
		if ph != backoff.Blocked {
			return comeBack
		}
		if first.IsZero() || at.Before(first) {
			first = at
		}
	}
	if first.IsZero() {
		return comeBack
	}
	return max(comeBack, first.Sub(ds.opts.Now()))
}
