package storesync

import (
	"time"

	"github.com/silvermount/silvermount/internal/objectstore"
	"github.com/silvermount/silvermount/internal/position"
	"github.com/silvermount/silvermount/internal/targets"
)

// decodeList returns the targets in a list, and the names of the entries that are not targets.
func (sy *syncer) decodeList(items []objectstore.Object) (list []targets.Target, unreadable []string) {
	var decoded []targets.Target
	withStartTime := 0
	for _, it := range items {
		tg, ok := sy.decodeTarget(it)
		if !ok {
			unreadable = append(unreadable, it.Name)
			continue
		}
		decoded = append(decoded, tg)
		if !tg.StartedAt.IsZero() {
			withStartTime++
		}
	}
	sy.startTimeRequired = 2*withStartTime > len(decoded)
	for _, tg := range decoded {
		if sy.writtenByTarget(tg) {
			list = append(list, tg)
		} else {
			unreadable = append(unreadable, tg.NameOrID())
		}
	}
	return list, unreadable
}

// targetUpdate is the content of one response about targets. It is applied as a whole, together with the position of the response.
type targetUpdate struct {
	// isList is set if the response is a complete list. unreadable holds the names of entries that exist but are not targets.
	isList     bool
	list       []targets.Target
	unreadable []string
	// changes are the changes returned by a watch, in order.
	changes []targets.EntryChange
}

// applyTargets applies the pending response, which reflects the store at a position, and returns the resulting changes.
func (sy *syncer) applyTargets(at position.Position, asOf time.Time) []targets.Change {
	tu := sy.pending
	sy.pending = targetUpdate{}
	switch {
	case tu.isList:
		return sy.dr.ApplyList(tu.list, tu.unreadable, at, asOf)
	case len(tu.changes) > 0:
		return sy.dr.ApplyChanges(tu.changes, at, asOf)
	default:
		return sy.dr.Confirm(asOf)
	}
}

// decodeEntry decodes a changed entry.
func (sy *syncer) decodeEntry(it objectstore.Object) targets.EntryChange {
	if len(it.Value) == 0 {
		return targets.EntryChange{Name: it.Name, Deleted: true}
	}
	tg, ok := sy.decodeTarget(it)
	if !ok || !sy.writtenByTarget(tg) {
		return targets.EntryChange{Name: it.Name, Unreadable: true}
	}
	return targets.EntryChange{Name: it.Name, Target: tg}
}

// decodeTarget decodes an entry. An entry that cannot be decoded was written by something else and is not a target.
func (sy *syncer) decodeTarget(it objectstore.Object) (targets.Target, bool) {
	tg, err := sy.ad.Target(it)
	if err != nil {
		sy.lg.WithError(err).WithField("target", it.Name).WithField("version", it.Version).
			Error("target cannot be decoded and is left out")
		return tg, false
	}
	return tg, true
}

// writtenByTarget reports whether an entry was written by a target. If most entries state when the target started, an entry
// without a start time was written by something else. Otherwise the targets of the fleet do not state it.
func (sy *syncer) writtenByTarget(tg targets.Target) bool {
	if !sy.startTimeRequired || !tg.StartedAt.IsZero() {
		return true
	}
	sy.lg.WithField("target", tg.NameOrID()).WithField("error", "entry has no start time").Error("target cannot be decoded and is left out")
	return false
}
