// Package targets keeps what this instance believes of each target: whether it takes work, is leaving, gone, or failing.
package targets

import (
	"slices"
	"strings"
	"sync"
	"time"

	"github.com/silvermount/silvermount/internal/position"
)

const (
	// forgetAfter is how long a target that is gone is remembered, well past any list that still names it.
	goneRetention = 60 * time.Second
	// maxLeaving bounds the incarnations remembered as leaving that have no entry, some 100 bytes each.
	maxLeaving = 1 << 13
	// unreachableFor is how long a target that took no connection is first left out: about a restart's detection time.
	// It doubles up to unreachableMost, so that a cut of some seconds is found to have healed soon after.
	minUnreachablePause = 800 * time.Millisecond
	maxUnreachablePause = 2400 * time.Millisecond
)

// Target is one incarnation of a target as the store lists it.
type Target struct {
	// ID is unique to the incarnation and never used again.
	ID string `json:"ID"`
	// Name is what the target calls itself, which a later incarnation may bear again; empty when that is the ID.
	Name string `json:"Name"`
	// Born is when the incarnation started, by its own clock; zero when that is not told. Of two incarnations of one name the one
	// born later is the present one.
	StartedAt time.Time `json:"Born"`
	Service   string    `json:"Service"`
	// Address is an IP address and port.
	Address          string `json:"Address"`
	AvailabilityZone string `json:"AvailabilityZone"`
	// Slots is how many requests it works on at a time.
	Slots int `json:"Slots"`
	// Leaving targets take no new work.
	Leaving bool `json:"Leaving"`
}

// OwnName returns what the target calls itself.
func (tg Target) NameOrID() string {
	if tg.Name == "" {
		return tg.ID
	}
	return tg.Name
}

// entry is what is believed of one target. Its fields are guarded by the directory.
type entry struct {
	Target
	// leaving is never taken back.
	leaving bool
	// goneAt is when the entry was missed; zero while it is listed.
	missingSince time.Time
	// workUntil is how long a target whose entry lapsed while the store was away still takes work; zero for others.
	graceUntil time.Time
	// outUntil is when an ejected target may be tried again.
	ejectedUntil time.Time
	// failing is the share of failures among the last outcomes, failedAt the time of the newest.
	failureRate   float64
	lastFailureAt time.Time
	// ejections counts how often it was left out, as far as it lengthens the pause.
	ejections int
	// cutUntil is when a target that took no connection may be tried again.
	unreachableUntil time.Time
	// refusals counts connections not taken since the last one that was, as far as they lengthen the pause.
	connectFailures int
	// arrival orders the entries by when they were first listed.
	listOrder int
	// superseded is set when a later incarnation of its name is known; it is never taken back.
	superseded bool
}

// Directory is the set of known targets. It is safe for use by any goroutine.
type Directory struct {
	now func() time.Time

	// superseded is told of each incarnation that a later one of its name takes the place of, with the lock held.
	onSuperseded func(Target)

	mu      sync.Mutex
	entries map[string]*entry
	// present holds the newest incarnation known of each name.
	latest map[string]incarnation
	// arrivals counts the entries there were.
	listings int
	// leaving is when incarnations were first told to be leaving, listed or not. They stay, since an entry may come back after any time, and
	// none of them ever takes work again.
	leavingSince map[string]time.Time
	// store is what the own calls say of the store.
	ownOutage outage
	// toldUntil is how long missing entries may be the doing of the store as a peer told.
	peerGraceUntil time.Time
	// heard is the time of the newest evidence; it only grows.
	confirmedAt time.Time
	// changedAt is where in its history the store was when the list last changed, as far as known; it only grows.
	listPosition position.Position
	// restored is what follows from the newest return of the store from an older copy.
	lastRestore storeRestore
	// zones holds what is believed of each availability zone.
	zones map[string]*zone
}

// Option changes a Directory under construction.
type Option func(*Directory)

// WithSuperseded is told of each incarnation that a later one of its name takes the place of. It must not call the directory.
func WithSupersededHook(told func(Target)) Option {
	return func(dr *Directory) { dr.onSuperseded = told }
}

// New returns an empty directory.
func New(now func() time.Time, opts ...Option) *Directory {
	dr := &Directory{
		now: now, onSuperseded: func(Target) {}, entries: map[string]*entry{}, latest: map[string]incarnation{},
		leavingSince: map[string]time.Time{}, zones: map[string]*zone{},
	}
	for _, o := range opts {
		o(dr)
	}
	return dr
}

// Change is what a call changed about one target.
type Change struct {
	Target Target
	// What is one of "listed", "leaving", "gone" and "back".
	Kind string
}

// replace takes a whole list. Evidence is when the store was asked. The lock is held.
func (dr *Directory) replaceAll(list []Target, evidence time.Time) []Change {
	dr.confirm(evidence)
	var changes []Change
	listed := map[string]bool{}
	clear(dr.lastRestore.quarantined)
	for _, tg := range list {
		listed[tg.ID] = true
		if dr.staleAfterRestore(tg) {
			dr.lastRestore.quarantined[tg.ID] = tg
			continue
		}
		changes = append(changes, dr.upsert(tg)...)
	}
	for id, en := range dr.entries {
		if !listed[id] {
			changes = append(changes, dr.markMissing(en)...)
		}
	}
	dr.prune()
	return changes
}

// remove notes that the entry of a target, by its own name, is gone. The lock is held.
func (dr *Directory) removeByName(name string, evidence time.Time) []Change {
	dr.confirm(evidence)
	dr.prune()
	delete(dr.lastRestore.quarantined, dr.latest[name].id)
	if en, ok := dr.entries[dr.latest[name].id]; ok {
		return dr.markMissing(en)
	}
	return nil
}

// withdraw notes that the entry of a target, by its own name, names no target any more. It takes no work, also when the store was away
// lately. The lock is held.
func (dr *Directory) invalidate(name string, evidence time.Time) []Change {
	changes := dr.removeByName(name, evidence)
	if en, ok := dr.entries[dr.latest[name].id]; ok {
		en.graceUntil = time.Time{}
	}
	return changes
}

// Confirm notes that the list was unchanged at a time.
func (dr *Directory) Confirm(evidence time.Time) []Change {
	dr.mu.Lock()
	defer dr.mu.Unlock()
	dr.confirm(evidence)
	return dr.releaseQuarantined()
}

func (dr *Directory) confirm(evidence time.Time) {
	if evidence.After(dr.confirmedAt) {
		dr.confirmedAt = evidence
	}
}

// ChangedAt returns where in its history the store was when the list last changed, and the time of the newest evidence.
func (dr *Directory) ListPosition() (at position.Position, heard time.Time) {
	dr.mu.Lock()
	defer dr.mu.Unlock()
	return dr.listPosition, dr.confirmedAt
}

// Listed returns all listed targets, sorted by incarnation, and where in the store's history the list last changed.
func (dr *Directory) Listed() (at position.Position, list []Target) {
	dr.mu.Lock()
	defer dr.mu.Unlock()
	for _, en := range dr.entries {
		if en.missingSince.IsZero() {
			tg := en.Target
			tg.Leaving = en.leaving
			list = append(list, tg)
		}
	}
	slices.SortFunc(list, func(a, b Target) int { return strings.Compare(a.ID, b.ID) })
	return dr.listPosition, list
}

func (dr *Directory) upsert(tg Target) []Change {
	news, changes := dr.registerLatest(tg)
	if !news {
		return nil
	}
	return append(changes, dr.upsertLatest(tg)...)
}

// list notes the entry of the present incarnation of a name.
func (dr *Directory) upsertLatest(tg Target) []Change {
	en, known := dr.entries[tg.ID]
	if !known {
		dr.listings++
		en = &entry{listOrder: dr.listings}
		dr.entries[tg.ID] = en
	}
	back := known && !en.missingSince.IsZero()
	wasLeaving := en.leaving
	_, told := dr.leavingSince[tg.ID]
	en.Target = tg
	en.missingSince = time.Time{}
	en.graceUntil = time.Time{}
	en.leaving = en.leaving || tg.Leaving || told
	switch {
	case en.leaving && !wasLeaving:
		dr.leavingSince[tg.ID] = dr.now()
		return []Change{{Target: tg, Kind: "leaving"}}
	case back:
		return []Change{{Target: tg, Kind: "back"}}
	case !known:
		return []Change{{Target: tg, Kind: "listed"}}
	}
	return nil
}

func (dr *Directory) markMissing(en *entry) []Change {
	if !en.missingSince.IsZero() {
		return nil
	}
	en.missingSince = dr.now()
	en.graceUntil = dr.ownOutage.graceEnds()
	return []Change{{Target: en.Target, Kind: "gone"}}
}

func (dr *Directory) prune() {
	now := dr.now()
	for id, en := range dr.entries {
		if !en.missingSince.IsZero() && now.Sub(en.missingSince) > goneRetention {
			delete(dr.entries, id)
		}
	}
	dr.pruneNames()
	dr.pruneLeaving()
}

// forgetLeaving forgets the incarnations without an entry that were told longest ago once there are too many, some at a time.
func (dr *Directory) pruneLeaving() {
	if len(dr.leavingSince) <= maxLeaving {
		return
	}
	var unlisted []string
	for id := range dr.leavingSince {
		if dr.entries[id] == nil {
			unlisted = append(unlisted, id)
		}
	}
	slices.SortFunc(unlisted, func(a, b string) int { return dr.leavingSince[a].Compare(dr.leavingSince[b]) })
	for _, id := range unlisted[:min(len(unlisted), len(dr.leavingSince)-maxLeaving*3/4)] {
		delete(dr.leavingSince, id)
	}
}

// MarkLeaving notes that an incarnation is leaving, whoever says so. It is never taken back. It reports whether that
// was news.
func (dr *Directory) MarkLeaving(id string) bool {
	dr.mu.Lock()
	defer dr.mu.Unlock()
	if _, told := dr.leavingSince[id]; told {
		return false
	}
	dr.leavingSince[id] = dr.now()
	if en, ok := dr.entries[id]; ok {
		en.leaving = true
	}
	return true
}

// Leaving returns the incarnations known to be leaving that peers have to hear of, sorted: those with an entry, and those told lately.
func (dr *Directory) LeavingIDs() []string {
	dr.mu.Lock()
	defer dr.mu.Unlock()
	now := dr.now()
	ids := make([]string, 0, len(dr.leavingSince))
	for id, at := range dr.leavingSince {
		if dr.entries[id] != nil || now.Sub(at) <= goneRetention {
			ids = append(ids, id)
		}
	}
	slices.Sort(ids)
	return ids
}

// LenLeaving returns how many listed targets are leaving.
func (dr *Directory) LeavingCount() int {
	dr.mu.Lock()
	defer dr.mu.Unlock()
	n := 0
	for _, en := range dr.entries {
		if en.leaving && en.missingSince.IsZero() {
			n++
		}
	}
	return n
}

// Len returns how many targets are listed.
func (dr *Directory) Len() int {
	dr.mu.Lock()
	defer dr.mu.Unlock()
	n := 0
	for _, en := range dr.entries {
		if en.missingSince.IsZero() {
			n++
		}
	}
	return n
}

// HeardAt returns the time of the newest evidence of the list.
func (dr *Directory) ConfirmedAt() time.Time {
	dr.mu.Lock()
	defer dr.mu.Unlock()
	return dr.confirmedAt
}
