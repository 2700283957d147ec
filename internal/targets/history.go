package targets

import (
	"slices"
	"strings"
	"time"

	"github.com/silvermount/silvermount/internal/position"
)

// history is what a directory remembers of past changes of the list. With it an instance sends a peer that has an older list only what
// changed: in a large fleet the whole list changes too often to be sent to every instance each time.
type history struct {
	// start is the position since which all changes are remembered.
	start position.Position
	// applying is the position of the list that is being applied.
	applying position.Position
	// removals holds the targets that are no longer listed, by ID, for goneRetention.
	removals map[string]removal
}

// removal is when a target was removed from the list.
type removal struct {
	position position.Position
	at       time.Time
}

// begin records that a list or changes up to a position are applied. A complete list does not say what was listed and removed before
// it, so the history starts anew.
func (hi *history) begin(at position.Position, completeList bool) {
	hi.applying = at
	if completeList {
		hi.start = at
	}
}

func (hi *history) recordRemoval(id string, now time.Time) {
	hi.removals[id] = removal{position: hi.applying, at: now}
}

// prune forgets old removals, and with them the history before.
func (hi *history) prune(now time.Time) {
	for id, rm := range hi.removals {
		if now.Sub(rm.at) <= goneRetention {
			continue
		}
		delete(hi.removals, id)
		if rm.position.After(hi.start) {
			hi.start = rm.position
		}
	}
}

// covers reports whether all changes after a position are remembered.
func (hi *history) covers(since position.Position) bool {
	return !since.IsZero() && since.Era == hi.start.Era && !hi.start.After(since)
}

// sameEntry reports whether a target is listed as it was before.
func (en *entry) sameEntry(tg Target) bool {
	if !en.StartedAt.Equal(tg.StartedAt) {
		return false
	}
	tg.StartedAt = en.StartedAt
	return en.Target == tg
}

// PeerChanges are the changes of a list between two positions. Instances send them to peers that have the list of the first one.
type PeerChanges struct {
	// Since and At are the positions, both of one era.
	Since, At position.Position
	// Changed holds the targets that are listed anew or differently, Removed the IDs of those that are no longer listed. Both may contain
	// targets that did not change.
	Changed []Target
	Removed []string
}

// ChangesSince returns the changes of the list since a position, sorted by ID. It reports false if the directory does not remember them,
// or has no newer list.
func (dr *Directory) ChangesSince(since position.Position) (PeerChanges, bool) {
	dr.mu.Lock()
	defer dr.mu.Unlock()
	pc := PeerChanges{Since: since, At: dr.listPosition}
	if !pc.At.After(since) || pc.At.Era != since.Era || !dr.history.covers(since) {
		return PeerChanges{}, false
	}
	now := dr.now()
	for _, en := range dr.entries {
		if en.missingSince.IsZero() && en.changedAt.After(since) {
			pc.Changed = append(pc.Changed, en.listed(now))
		}
	}
	for id, rm := range dr.history.removals {
		if rm.position.After(since) {
			pc.Removed = append(pc.Removed, id)
		}
	}
	slices.SortFunc(pc.Changed, func(a, b Target) int { return strings.Compare(a.ID, b.ID) })
	slices.Sort(pc.Removed)
	return pc, true
}

// ApplyPeerChanges applies changes from a peer to the list of the position that they start from. If this instance has another list by
// now, it does nothing. Removed targets are gone at once, unless the peer recently saw the store recover from an outage.
func (dr *Directory) ApplyPeerChanges(pc PeerChanges, la Lapsed, asOf time.Time) []Change {
	dr.mu.Lock()
	defer dr.mu.Unlock()
	if dr.listPosition != pc.Since || !pc.At.After(pc.Since) {
		return nil
	}
	dr.listPosition = pc.At
	dr.history.begin(pc.At, false)
	dr.confirm(asOf)
	graceUntil := dr.peerGrace(la)
	var changes []Change
	for _, id := range pc.Removed {
		changes = append(changes, dr.removeForPeer(id, graceUntil)...)
	}
	for _, tg := range pc.Changed {
		delete(dr.lastRestore.quarantined, tg.ID)
		changes = append(changes, dr.upsert(tg)...)
	}
	changes = append(changes, dr.addLapsed(la.Targets, graceUntil)...)
	dr.prune()
	return append(changes, dr.releaseQuarantined()...)
}

// removeForPeer records that a peer's list has no entry of a target any more. The removal of an unknown target is remembered too, for
// peers that know it. The caller holds the lock.
func (dr *Directory) removeForPeer(id string, graceUntil time.Time) []Change {
	en, known := dr.entries[id]
	if !known {
		dr.history.recordRemoval(id, dr.now())
		return nil
	}
	return dr.markMissing(en, graceUntil)
}
