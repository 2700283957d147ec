// Package follow keeps a copy of one kind of object of the store up to date by lists and watches.
package follow

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
	// retryLeast and retryMost bound the pause after a failed call. The most keeps several tries within the few
	// seconds in which a change must be in force.
	retryLeast = 100 * time.Millisecond
	retryMost  = 800 * time.Millisecond
	// historyLeast is the age of the last answer from which a watch is likely to be told that the history it asks for is
	// gone, and a list is asked for at once: half of the 20 s that the users' store keeps.
	historyLeast = 10 * time.Second
	// relistSpread is the time over which the followers of a fleet ask for that list, so that they do not ask at once.
	relistSpread = time.Second
	// restStep is how often a follower that rests looks whether it has to ask itself.
	restStep = 100 * time.Millisecond
)

// Store asks the store. Both fields are set.
type Store struct {
	// List returns all objects of a kind.
	List func(ctx context.Context, kind string) (objectstore.Listing, error)
	// Watch waits at most wait for changes after a position. A HistoryGoneError asks for a new list. An answer of another era does
	// not tell what changed.
	Watch func(ctx context.Context, kind string, since position.Position, wait time.Duration) (objectstore.Listing, error)
}

// Follower follows one kind. Its function fields are called by one goroutine. Evidence is the time on the steady clock
// just before the store was asked: what the answer says held then or later.
type ListWatcher struct {
	Store Store
	Kind  string
	// Wait returns the bound of one watch; while it waits in silence the newest evidence grows old.
	WatchTimeout func() time.Duration
	// Replace takes a whole list.
	Replace func(items []objectstore.Object, evidence time.Time)
	// Change takes one change; a removed object has no value.
	Apply func(item objectstore.Object, evidence time.Time)
	// Confirm is told that all changes up to the evidence were taken, and where in its history the store was then.
	Confirm func(evidence time.Time, at position.Position)
	// Known returns where in its history the store was by what is known from elsewhere; nil for nowhere.
	KnownPosition func() position.Position
	// Settle is how long after it came back from an older copy the store may list what had gone before; what is still listed then is
	// there. Zero asks for no second list.
	RelistDelay time.Duration
	// Restored is told the era of a store that came back from an older copy, before the list that shows it is taken; nil for none.
	OnRestore func(era int64, evidence time.Time)
	// Rest reports whether others tell enough, so that the store need not be asked now; nil for never.
	Suspended func() bool
	// Pause returns how long the store is left alone after a good answer; news says that the answer was a list or held
	// changes. What changes meanwhile comes with one answer. nil for no pause.
	Pause func(news bool) time.Duration
	// Retry returns the first and the longest pause after failed calls; nil for the defaults.
	Backoff func() (least, most time.Duration)
	// Newest returns a number that grows when others tell of something newer in the store: the store then answers, and a
	// pause after a failed call ends early; nil for none.
	NewestReported func() int64
	// Trouble is told of each failed call.
	OnFailure func(err error)
	Log       log.Interface

	// lost is set between a failed call and the next good one.
	lost bool
	// answered is when the newest good answer was asked for.
	answered time.Time
	// at is where in its history the store was at the newest list; zero before the first.
	at position.Position
	// relistAt is when a list is asked for once more after the store came back from an older copy; zero for never.
	relistAt time.Time
}

// Run follows until ctx ends.
func (lw *ListWatcher) Run(ctx context.Context) {
	var pause time.Duration
	gone := false
	for ctx.Err() == nil {
		since, err := lw.list(ctx)
		for err == nil {
			since, err = lw.watch(ctx, since)
			if err == nil {
				pause = 0
				gone = false
			}
		}
		var hg *objectstore.HistoryGoneError
		// History that is gone again right after a list is trouble like any other.
		if errors.As(err, &hg) && !gone {
			gone = true
			lw.Log.WithField("kind", lw.Kind).WithField("version", since.Revision).Info("history gone, listing again")
			continue
		}
		if ctx.Err() != nil {
			return
		}
		lw.failed(err)
		pause = lw.longer(pause)
		lw.waitForStore(ctx, pause)
	}
}

// waitForStore waits after a failed call: about the pause, and no more than half of the least when others tell of
// something newer.
func (lw *ListWatcher) waitForStore(ctx context.Context, pause time.Duration) {
	over := time.Now().Add(pause/2 + rand.N(pause))
	least, _ := lw.retry()
	known := lw.newest()
	wait(ctx, min(least/2, time.Until(over)))
	for lw.newest() == known && time.Now().Before(over) && ctx.Err() == nil {
		wait(ctx, min(restStep, time.Until(over)))
	}
}

func (lw *ListWatcher) newest() int64 {
	if lw.NewestReported == nil {
		return 0
	}
	return lw.NewestReported()
}

// longer returns the pause after one more failed call in a row; the one before is zero after a good call.
func (lw *ListWatcher) longer(before time.Duration) time.Duration {
	least, most := lw.retry()
	return min(most, max(least, before*2))
}

func (lw *ListWatcher) retry() (least, most time.Duration) {
	if lw.Backoff == nil {
		return retryLeast, retryMost
	}
	return lw.Backoff()
}

func (lw *ListWatcher) list(ctx context.Context) (position.Position, error) {
	lw.rest(ctx)
	evidence := time.Now()
	l, err := lw.Store.List(ctx, lw.Kind)
	if err != nil {
		return position.Position{}, errors.Wrap(err, "list")
	}
	lw.regained()
	lw.answered = evidence
	lw.reach(l.Position(), evidence)
	lw.Replace(l.Items, evidence)
	lw.Confirm(evidence, lw.at)
	lw.pause(ctx, true)
	return lw.at, nil
}

// reach notes where in its history the store was at a list. After a return from an older copy, entries that nobody writes any more
// are listed for a while, and there is no change that tells which stay: one more list does, at a moment of each follower's own, so
// that a fleet does not ask at once.
func (lw *ListWatcher) reach(at position.Position, evidence time.Time) {
	before := lw.known()
	lw.at = at
	if !evidence.Before(lw.relistAt) {
		lw.relistAt = time.Time{}
	}
	if before.IsZero() || before.Era == at.Era {
		return
	}
	if lw.RelistDelay > 0 {
		lw.relistAt = evidence.Add(lw.RelistDelay + rand.N(relistSpread))
	}
	lw.Log.WithFields(log.Fields{
		"kind": lw.Kind, "era": at.Era, "era_before": before.Era, "version": at.Revision, "version_before": before.Revision,
	}).Warn("store came back from an older copy")
	if lw.OnRestore != nil {
		lw.OnRestore(at.Era, evidence)
	}
}

// known returns where in its history the store was before: at the newest list, or by what others tell.
func (lw *ListWatcher) known() position.Position {
	if !lw.at.IsZero() || lw.KnownPosition == nil {
		return lw.at
	}
	return lw.KnownPosition()
}

// relists reports whether the list has to be asked for in place of what changed.
func (lw *ListWatcher) relists() bool {
	settled := !lw.relistAt.IsZero() && !time.Now().Before(lw.relistAt)
	return settled || time.Since(lw.answered) >= historyLeast
}

func (lw *ListWatcher) watch(ctx context.Context, since position.Position) (position.Position, error) {
	lw.rest(ctx)
	if lw.relists() {
		return lw.list(ctx)
	}
	evidence := time.Now()
	l, err := lw.Store.Watch(ctx, lw.Kind, since, lw.WatchTimeout())
	if err != nil {
		return since, errors.Wrap(err, "watch")
	}
	lw.regained()
	if l.Era != since.Era {
		// The same revisions stand for other changes there.
		return lw.list(ctx)
	}
	lw.answered = evidence
	for _, it := range l.Items {
		lw.Apply(it, evidence)
	}
	lw.Confirm(evidence, l.Position())
	lw.pause(ctx, len(l.Items) > 0)
	return l.Position(), nil
}

func (lw *ListWatcher) pause(ctx context.Context, news bool) {
	if lw.Pause != nil {
		wait(ctx, lw.Pause(news))
	}
}

// rest waits while others tell enough.
func (lw *ListWatcher) rest(ctx context.Context) {
	for lw.Suspended != nil && lw.Suspended() && ctx.Err() == nil {
		wait(ctx, restStep)
	}
}

func (lw *ListWatcher) failed(err error) {
	if !lw.lost {
		lw.Log.WithField("kind", lw.Kind).WithField("cause", err.Error()).Warn("lost the store")
	}
	lw.lost = true
	lw.OnFailure(err)
}

func (lw *ListWatcher) regained() {
	if lw.lost {
		lw.Log.WithField("kind", lw.Kind).Info("regained the store")
	}
	lw.lost = false
}

func wait(ctx context.Context, d time.Duration) {
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
