package targets

import (
	"time"

	"github.com/silvermount/silvermount/internal/position"
)

// Entry is what the store says of one entry that changed.
type EntryChange struct {
	// Name is the target's own name.
	Name string
	// Target is what the entry names; it is not set for one that is gone or unread.
	Target Target
	// Gone is set when the entry is gone, Unread when it is there and names no target.
	Deleted, Unreadable bool
}

// The list and the position at which it last changed are taken in one step, and a list is never replaced by one of an earlier position.
// Apart, an older answer of the store could take the place of a newer list that a peer had told, and every peer's word would confirm it.

// TakeList takes a whole list of the store, which was at a position then. The entries of unread names are there and name no target.
func (dr *Directory) ApplyList(list []Target, unread []string, at position.Position, evidence time.Time) []Change {
	dr.mu.Lock()
	defer dr.mu.Unlock()
	if dr.isOlder(at) {
		return dr.confirmOnly(evidence)
	}
	changes := dr.replaceAll(list, evidence)
	for _, name := range unread {
		changes = append(changes, dr.invalidate(name, evidence)...)
	}
	dr.listPosition = at
	return append(changes, dr.releaseQuarantined()...)
}

// TakeChanges takes what changed in the store up to a position, in order. What changed before the list that is held is taken again on the
// way, and what comes after it sets that right.
func (dr *Directory) ApplyChanges(entries []EntryChange, at position.Position, evidence time.Time) []Change {
	dr.mu.Lock()
	defer dr.mu.Unlock()
	if dr.isOlder(at) {
		return dr.confirmOnly(evidence)
	}
	var changes []Change
	for _, en := range entries {
		switch {
		case en.Deleted:
			changes = append(changes, dr.removeByName(en.Name, evidence)...)
		case en.Unreadable:
			changes = append(changes, dr.invalidate(en.Name, evidence)...)
		default:
			dr.confirm(evidence)
			delete(dr.lastRestore.quarantined, en.Target.ID)
			changes = append(changes, dr.upsert(en.Target)...)
		}
	}
	dr.listPosition = at
	return append(changes, dr.releaseQuarantined()...)
}

// TakeTold takes a whole list from a peer, which last changed at a position, unless the list that is held is as new. What it newly misses is
// gone at once unless the peer has seen the store return lately: an instance that cannot ask the store itself does not make a lapse of it.
func (dr *Directory) ApplyPeerList(list []Target, la Lapsed, at position.Position, evidence time.Time) []Change {
	dr.mu.Lock()
	defer dr.mu.Unlock()
	if !at.After(dr.listPosition) {
		return nil
	}
	dr.listPosition = at
	return dr.replaceFromPeer(list, la, evidence)
}

// older reports whether an answer of the store is older than the list that is held. The lock is held.
func (dr *Directory) isOlder(at position.Position) bool { return dr.listPosition.After(at) }

// confirmOnly notes the evidence of an answer that is older than the list that is held: whatever was acknowledged before the store was
// asked is in that list too. The lock is held.
func (dr *Directory) confirmOnly(evidence time.Time) []Change {
	dr.confirm(evidence)
	return dr.releaseQuarantined()
}
