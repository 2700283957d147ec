package storesync

import (
	"time"

	"github.com/apex/log"

	"github.com/silvermount/silvermount/internal/duty/gatewaydeps"
	"github.com/silvermount/silvermount/internal/evacuation"
	"github.com/silvermount/silvermount/internal/listwatch"
	"github.com/silvermount/silvermount/internal/objectstore"
	"github.com/silvermount/silvermount/internal/position"
)

// evacuationSync is the part of one response about evacuations that has been read so far, and what was read before. It is used by
// one goroutine.
type evacuationSync struct {
	// isList is set if the response is a complete list, whose zones are in list. Otherwise changes holds the changes, in order.
	isList  bool
	list    []string
	changes []evacuation.EntryChange
	// answeredAt is when the last successful call was sent; zero before the first.
	answeredAt time.Time
	// targetAnswers is the number of successful calls about targets at that time.
	targetAnswers int64
}

// evacuationWatcher returns the ListWatcher of the evacuations, which must be known within a bound.
func (sy *syncer) evacuationWatcher(st listwatch.Store, lg log.Interface, bound time.Duration) *listwatch.ListWatcher {
	pp := sy.newPollPolicy(sy.ad.EvacuationKind, bound)
	es := &evacuationSync{}
	return &listwatch.ListWatcher{
		Store: st, Kind: sy.ad.EvacuationKind, Log: lg, Pause: pp.pause, WatchTimeout: pp.watchTimeout,
		Replace: func(items []objectstore.Object, _ time.Time) {
			es.isList = true
			for _, it := range items {
				es.list = append(es.list, it.Name)
			}
		},
		Apply: func(it objectstore.Object, _ time.Time) {
			es.changes = append(es.changes, evacuation.EntryChange{Zone: it.Name, Withdrawn: len(it.Value) == 0})
		},
		KnownPosition: sy.evacuations.Position, OnRestore: sy.dr.RecordStoreRestore,
		Confirm: func(asOf time.Time, at position.Position) {
			sy.detector.recordSuccess()
			sy.reportEvacuations(es.apply(sy.evacuations, at), at, asOf)
			es.answeredAt, es.targetAnswers = asOf, sy.targetAnswers.Load()
		},
		Suspended: func() bool {
			if pp.role() >= gatewaydeps.RoleStandby && (sy.firstStart || !es.answeredAt.IsZero()) {
				// Followers announce every change. They reach the store as long as the list of targets from peers is fresh: this
				// instance calls the store only after it had to call it for the targets.
				return es.targetAnswers == sy.targetAnswers.Load()
			}
			return pp.suspended(es.answeredAt)
		},
		Backoff:          func() (minDelay, maxDelay time.Duration) { return pp.backoffBounds(sy.dr.ConfirmedAt()) },
		OnFailure:        func(error) { sy.detector.recordFailure() },
		OnConnectionLost: func(error) { sy.detector.recordFailure() },
	}
}

// apply applies the response that was read, which reflects the store at a position, and returns the resulting changes.
func (es *evacuationSync) apply(tr *evacuation.Tracker, at position.Position) []evacuation.Change {
	defer func() { es.isList, es.list, es.changes = false, nil, nil }()
	switch {
	case es.isList:
		return tr.ApplyList(es.list, at)
	case len(es.changes) > 0:
		return tr.ApplyChanges(es.changes, at)
	default:
		return nil
	}
}

// reportEvacuations logs changes of evacuations that were read from the store, and notifies peers of them.
func (sy *syncer) reportEvacuations(changes []evacuation.Change, at position.Position, asOf time.Time) {
	for _, ch := range changes {
		sy.lg.WithFields(log.Fields{
			"zone": ch.Zone, "era": at.Era, "version": at.Revision, "source": "store", "age": time.Since(asOf).Round(time.Millisecond).String(),
		}).Info("availability zone " + ch.Kind())
	}
	if len(changes) > 0 {
		sy.notesNotifier.Notify()
	}
}
