package targets

import (
	"time"

	"github.com/silvermount/silvermount/internal/position"
)

// EntryChange is a changed entry of the store.
type EntryChange struct {
	// Name is the name that the target gives itself.
	Name string
	// Target is the decoded entry. It is not set when the entry is deleted or unreadable.
	Target Target
	// Deleted is set when the entry no longer exists, Unreadable when it exists but cannot be decoded as a target.
	Deleted, Unreadable bool
}

// The list and the position at which it last changed are updated atomically, and a list is never replaced by one of an earlier
// position. Otherwise an older answer of the store could replace a newer list from a peer, and every peer's confirmation would
// then make it look current.

// ApplyList replaces the list with the complete list of the store at a position. The names in unreadable have entries that cannot
// be decoded as targets.
func (dr *Directory) ApplyList(list []Target, unreadable []string, at position.Position, asOf time.Time) []Change {
	dr.mu.Lock()
	defer dr.mu.Unlock()
	if dr.isOlder(at) {
		return dr.confirmOnly(asOf)
	}
	dr.history.begin(at, true)
	changes := dr.replaceAll(list, asOf, dr.ownOutage.graceEnds())
	for _, name := range unreadable {
		changes = append(changes, dr.invalidate(name, asOf)...)
	}
	dr.listPosition = at
	return append(changes, dr.releaseQuarantined()...)
}

// ApplyChanges applies the changes in the store up to a position, in order. Changes that the current list already contains are
// applied again; the later ones among the changes correct the result.
func (dr *Directory) ApplyChanges(entries []EntryChange, at position.Position, asOf time.Time) []Change {
	dr.mu.Lock()
	defer dr.mu.Unlock()
	if dr.isOlder(at) {
		return dr.confirmOnly(asOf)
	}
	dr.history.begin(at, false)
	var changes []Change
	for _, ec := range entries {
		switch {
		case ec.Deleted:
			changes = append(changes, dr.removeByName(ec.Name, asOf)...)
		case ec.Unreadable:
			changes = append(changes, dr.invalidate(ec.Name, asOf)...)
		default:
			dr.confirm(asOf)
			delete(dr.lastRestore.quarantined, ec.Target.ID)
			changes = append(changes, dr.upsert(ec.Target)...)
		}
	}
	dr.listPosition = at
	return append(changes, dr.releaseQuarantined()...)
}

// ApplyPeerList replaces the list with that of a peer, which last changed at a position, unless the current list is as new.
// Targets that it newly misses are gone at once, unless the peer recently saw the store recover from an outage: an instance that
// cannot reach the store itself must not treat them as lapsed.
func (dr *Directory) ApplyPeerList(list []Target, la Lapsed, at position.Position, asOf time.Time) []Change {
	dr.mu.Lock()
	defer dr.mu.Unlock()
	if !at.After(dr.listPosition) {
		return nil
	}
	dr.listPosition = at
	dr.history.begin(at, true)
	return dr.replaceFromPeer(list, la, asOf)
}

// isOlder reports whether an answer of the store is older than the current list. The caller holds the lock.
func (dr *Directory) isOlder(at position.Position) bool { return dr.listPosition.After(at) }

// confirmOnly confirms the current list by an older answer of the store, as of when the store was asked: the current list
// also contains every write that was acknowledged before then. The caller holds the lock.
func (dr *Directory) confirmOnly(asOf time.Time) []Change {
	dr.confirm(asOf)
	return dr.releaseQuarantined()
}
