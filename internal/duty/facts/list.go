package facts

import (
	"time"

	"github.com/silvermount/silvermount/internal/objectstore"
	"github.com/silvermount/silvermount/internal/position"
	"github.com/silvermount/silvermount/internal/targets"
)

// list returns the targets that entries name, and the names of the entries that name none.
func (rd *reader) list(items []objectstore.Object) (list []targets.Target, unread []string) {
	var read []targets.Target
	born := 0
	for _, it := range items {
		tg, ok := rd.target(it)
		if !ok {
			unread = append(unread, it.Name)
			continue
		}
		read = append(read, tg)
		if !tg.StartedAt.IsZero() {
			born++
		}
	}
	rd.tellBirth = 2*born > len(read)
	for _, tg := range read {
		if rd.written(tg) {
			list = append(list, tg)
		} else {
			unread = append(unread, tg.NameOrID())
		}
	}
	return list, unread
}

// heard is what one answer of the store holds of targets. It is taken as a whole, together with the position of the answer.
type heard struct {
	// whole is set for a list; its entries of unread names are there and name no target.
	whole  bool
	list   []targets.Target
	unread []string
	// changes are those of a watch, in order.
	changes []targets.EntryChange
}

// take takes what was heard up to a position, and returns what that changed.
func (rd *reader) take(at position.Position, evidence time.Time) []targets.Change {
	he := rd.heard
	rd.heard = heard{}
	switch {
	case he.whole:
		return rd.dr.ApplyList(he.list, he.unread, at, evidence)
	case len(he.changes) > 0:
		return rd.dr.ApplyChanges(he.changes, at, evidence)
	default:
		return rd.dr.Confirm(evidence)
	}
}

// entry decodes an entry that changed.
func (rd *reader) entry(it objectstore.Object) targets.EntryChange {
	if len(it.Value) == 0 {
		return targets.EntryChange{Name: it.Name, Deleted: true}
	}
	tg, ok := rd.target(it)
	if !ok || !rd.written(tg) {
		return targets.EntryChange{Name: it.Name, Unreadable: true}
	}
	return targets.EntryChange{Name: it.Name, Target: tg}
}

// target decodes an entry. One that cannot be read is of another writer, and names no target.
func (rd *reader) target(it objectstore.Object) (targets.Target, bool) {
	tg, err := rd.ad.Target(it)
	if err != nil {
		rd.lg.WithError(err).WithField("target", it.Name).WithField("version", it.Version).
			Error("target cannot be read and is left out")
		return tg, false
	}
	return tg, true
}

// written reports whether a target wrote an entry. Where most tell when they were born, one that does not is of another writer;
// elsewhere none tells it.
func (rd *reader) written(tg targets.Target) bool {
	if !rd.tellBirth || !tg.StartedAt.IsZero() {
		return true
	}
	rd.lg.WithField("target", tg.NameOrID()).WithField("error", "no time of birth").Error("target cannot be read and is left out")
	return false
}
