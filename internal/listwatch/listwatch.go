// Package listwatch keeps an in-memory copy of one kind of object of the store up to date with list and watch calls.
package listwatch

import (
	"context"
	"math/rand/v2"
	"time"

	"github.com/apex/log"
	"github.com/cockroachdb/errors"

	"github.com/silvermount/silvermount/internal/objectstore"
	"github.com/silvermount/silvermount/internal/position"
)

const (
	// minBackoff and maxBackoff bound the back-off after failed calls. maxBackoff allows several attempts within the few seconds in
	// which a change must be in force.
	minBackoff = 100 * time.Millisecond
	maxBackoff = 800 * time.Millisecond
	// maxWatchGap is the time since the last successful call after which a list is requested instead of a watch, because the store
	// has probably discarded the history that the watch needs. It is half of the 20 s of history that the users' store keeps.
	maxWatchGap = 10 * time.Second
	// relistJitter spreads the second list after a restore of the store, so that not all instances request it at once.
	relistJitter = time.Second
	// checkInterval is how often a suspended ListWatcher checks whether it has to call the store again, and how often one that backs
	// off checks whether something newer was reported.
	checkInterval = 100 * time.Millisecond
)

// Store holds the calls to the store. Both fields are required.
type Store struct {
	// List returns all objects of a kind.
	List func(ctx context.Context, kind string) (objectstore.Listing, error)
	// Watch returns the changes after the position since, and waits for them for at most the duration wait. It fails with a
	// HistoryGoneError if a new list is needed. A result of another era than that of since does not say what changed.
	Watch func(ctx context.Context, kind string, since position.Position, wait time.Duration) (objectstore.Listing, error)
}

// ListWatcher lists the objects of one kind and then watches them for changes. Its function fields are called by one goroutine.
// Their asOf argument is the monotonic time just before the request was sent: the response reflects the store at that time or later.
type ListWatcher struct {
	Store Store
	Kind  string
	// WatchTimeout returns how long a watch may wait for changes. While it waits, the newest asOf time ages.
	WatchTimeout func() time.Duration
	// Replace receives a complete list.
	Replace func(items []objectstore.Object, asOf time.Time)
	// Apply receives one change. A removed object has no value.
	Apply func(item objectstore.Object, asOf time.Time)
	// Confirm is called when all changes up to asOf have been passed on, with the position of the store in the response.
	Confirm func(asOf time.Time, at position.Position)
	// KnownPosition returns the newest position of the store that is known from other sources. It is used before the first list.
	// Optional.
	KnownPosition func() position.Position
	// RelistDelay is how long after a restore from an older copy the store may still list objects that had been removed before.
	// After it the list is requested once more, and objects that are still listed exist. Zero disables the second list.
	RelistDelay time.Duration
	// OnRestore is called with the new era when the store was restored from an older copy, before the list that shows the restore is
	// passed to Replace. Optional.
	OnRestore func(era int64, asOf time.Time)
	// Suspended reports whether other sources are fresh enough, so that the store is not called for now. Optional.
	Suspended func() bool
	// Pause returns how long to wait after a successful call, so that the next call returns all changes made meanwhile. changed
	// reports whether the call was a list or returned changes. Optional: without it there is no pause.
	Pause func(changed bool) time.Duration
	// Backoff returns the first and the longest back-off after failed calls. Optional: without it the defaults apply.
	Backoff func() (minDelay, maxDelay time.Duration)
	// NewestReported returns a number that increases when another source reports something newer in the store. An increase shows
	// that the store responds, and ends a back-off early. Optional.
	NewestReported func() int64
	// OnFailure is called for each failed call that shows that the store does not respond to this instance.
	OnFailure func(err error)
	// OnConnectionLost is called if the first failed call after a successful one was interrupted on an established connection. That says
	// nothing about the store yet: the list that follows, on another connection, does. Optional.
	OnConnectionLost func(err error)
	Log              log.Interface

	// failing is set from a failed call that OnFailure is called for to the next successful one.
	failing bool
	// connectionLost is set from a lost connection to the next successful call.
	connectionLost bool
	// lastSuccess is when the request of the last successful call was sent.
	lastSuccess time.Time
	// listedAt is the position of the store in the newest list; zero before the first.
	listedAt position.Position
	// relistAt is when the list is requested once more after a restore of the store; zero if it is not.
	relistAt time.Time
}

// Run lists and watches until ctx is cancelled.
func (lw *ListWatcher) Run(ctx context.Context) {
	var backoff time.Duration
	gone := false
	for ctx.Err() == nil {
		since, err := lw.list(ctx)
		for err == nil {
			since, err = lw.watch(ctx, since)
			if err == nil {
				backoff = 0
				gone = false
			}
		}
		if ctx.Err() != nil {
			return
		}
		var hg *objectstore.HistoryGoneError
		// History that is gone again right after a list is listed after a back-off, to avoid a busy loop.
		if errors.As(err, &hg) && !gone {
			gone = true
			lw.Log.WithField("kind", lw.Kind).WithField("version", since.Revision).Info("change history has expired in the store, listing again")
			continue
		}
		lost := lw.isConnectionLost(err)
		if !lost && hg == nil {
			lw.recordFailure(err)
		}
		first := backoff == 0
		backoff = lw.nextBackoff(backoff)
		if lost && first {
			// The next call shows whether the store responds, which must not be left open for a long back-off.
			lw.waitBackoff(ctx, min(backoff, minBackoff))
			continue
		}
		lw.waitBackoff(ctx, backoff)
	}
}

// isConnectionLost reports whether a failed call shows no more than the loss of its connection: it was interrupted on an established one, and
// the call before it was successful.
func (lw *ListWatcher) isConnectionLost(err error) bool {
	var cl *objectstore.ConnectionLostError
	if !errors.As(err, &cl) || lw.failing || lw.connectionLost {
		return false
	}
	lw.connectionLost = true
	lw.Log.WithField("kind", lw.Kind).WithField("cause", err.Error()).Info("lost a connection to the store, listing on another")
	if lw.OnConnectionLost != nil {
		lw.OnConnectionLost(err)
	}
	return true
}

// waitBackoff waits for the back-off with jitter, from half to one and a half of it. If another source reports something newer, it
// returns after at most half of the minimum back-off.
func (lw *ListWatcher) waitBackoff(ctx context.Context, backoff time.Duration) {
	deadline := time.Now().Add(backoff/2 + rand.N(backoff))
	minDelay, _ := lw.backoffBounds()
	known := lw.newestReported()
	sleep(ctx, min(minDelay/2, time.Until(deadline)))
	for lw.newestReported() == known && time.Now().Before(deadline) && ctx.Err() == nil {
		sleep(ctx, min(checkInterval, time.Until(deadline)))
	}
}

func (lw *ListWatcher) newestReported() int64 {
	if lw.NewestReported == nil {
		return 0
	}
	return lw.NewestReported()
}

// nextBackoff returns the back-off after one more consecutive failure. previous is zero after a successful call.
func (lw *ListWatcher) nextBackoff(previous time.Duration) time.Duration {
	minDelay, maxDelay := lw.backoffBounds()
	return min(maxDelay, max(minDelay, previous*2))
}

func (lw *ListWatcher) backoffBounds() (minDelay, maxDelay time.Duration) {
	if lw.Backoff == nil {
		return minBackoff, maxBackoff
	}
	return lw.Backoff()
}

func (lw *ListWatcher) list(ctx context.Context) (position.Position, error) {
	lw.waitWhileSuspended(ctx)
	asOf := time.Now()
	l, err := lw.Store.List(ctx, lw.Kind)
	if err != nil {
		return position.Position{}, errors.Wrap(err, "list")
	}
	lw.recordSuccess()
	lw.lastSuccess = asOf
	lw.detectRestore(l.Position(), asOf)
	lw.Replace(l.Items, asOf)
	lw.Confirm(asOf, lw.listedAt)
	lw.pause(ctx, true)
	return lw.listedAt, nil
}

// detectRestore records the position of a list and compares its era with the last known one. For a while after a restore from an
// older copy the store lists stale entries whose owners no longer write them, and no change event distinguishes them from the
// others. A second list after RelistDelay no longer has them. It is scheduled with jitter, so that not all instances request it
// at once.
func (lw *ListWatcher) detectRestore(at position.Position, asOf time.Time) {
	before := lw.lastPosition()
	lw.listedAt = at
	if !asOf.Before(lw.relistAt) {
		lw.relistAt = time.Time{}
	}
	if before.IsZero() || before.Era == at.Era {
		return
	}
	if lw.RelistDelay > 0 {
		lw.relistAt = asOf.Add(lw.RelistDelay + rand.N(relistJitter))
	}
	lw.Log.WithFields(log.Fields{
		"kind": lw.Kind, "era": at.Era, "era_before": before.Era, "version": at.Revision, "version_before": before.Revision,
	}).Warn("store was restored from an older copy")
	if lw.OnRestore != nil {
		lw.OnRestore(at.Era, asOf)
	}
}

// lastPosition returns the position of the newest list, or before the first list the one known from other sources.
func (lw *ListWatcher) lastPosition() position.Position {
	if !lw.listedAt.IsZero() || lw.KnownPosition == nil {
		return lw.listedAt
	}
	return lw.KnownPosition()
}

// mustList reports whether to request a list instead of a watch.
func (lw *ListWatcher) mustList() bool {
	relist := !lw.relistAt.IsZero() && !time.Now().Before(lw.relistAt)
	return relist || time.Since(lw.lastSuccess) >= maxWatchGap
}

func (lw *ListWatcher) watch(ctx context.Context, since position.Position) (position.Position, error) {
	lw.waitWhileSuspended(ctx)
	if lw.mustList() {
		return lw.list(ctx)
	}
	asOf := time.Now()
	l, err := lw.Store.Watch(ctx, lw.Kind, since, lw.WatchTimeout())
	if err != nil {
		return since, errors.Wrap(err, "watch")
	}
	lw.recordSuccess()
	if l.Era != since.Era {
		// The same revision numbers stand for other changes in the new era.
		return lw.list(ctx)
	}
	lw.lastSuccess = asOf
	for _, it := range l.Items {
		lw.Apply(it, asOf)
	}
	lw.Confirm(asOf, l.Position())
	lw.pause(ctx, len(l.Items) > 0)
	return l.Position(), nil
}

func (lw *ListWatcher) pause(ctx context.Context, changed bool) {
	if lw.Pause != nil {
		sleep(ctx, lw.Pause(changed))
	}
}

// waitWhileSuspended waits until the store has to be called again.
func (lw *ListWatcher) waitWhileSuspended(ctx context.Context) {
	for lw.Suspended != nil && lw.Suspended() && ctx.Err() == nil {
		sleep(ctx, checkInterval)
	}
}

func (lw *ListWatcher) recordFailure(err error) {
	if !lw.failing {
		lw.Log.WithField("kind", lw.Kind).WithField("cause", err.Error()).Warn("lost the store")
	}
	lw.failing = true
	lw.OnFailure(err)
}

func (lw *ListWatcher) recordSuccess() {
	if lw.failing {
		lw.Log.WithField("kind", lw.Kind).Info("regained the store")
	}
	lw.failing = false
	lw.connectionLost = false
}

func sleep(ctx context.Context, d time.Duration) {
	if d <= 0 {
		return
	}
	tm := time.NewTimer(d)
	defer tm.Stop()
	select {
	case <-tm.C:
	case <-ctx.Done():
	}
}
