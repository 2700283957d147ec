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
	forgetAfter = 60 * time.Second
	// maxLeaving bounds the incarnations remembered as leaving that have no entry, some 100 bytes each.
	maxLeaving = 1 << 13
	// unreachableFor is how long a target that took no connection is first left out: about a restart's detection time.
	// It doubles up to unreachableMost, so that a cut of some seconds is found to have healed soon after.
	unreachableFor  = 800 * time.Millisecond
	unreachableMost = 2400 * time.Millisecond
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
	goneAt time.Time
	// workUntil is how long a target whose entry lapsed while the store was away still takes work; zero for others.
	workUntil time.Time
	// outUntil is when an ejected target may be tried again.
	outUntil time.Time
	// failing is the share of failures among the last outcomes, failedAt the time of the newest.
	failing  float64
	failedAt time.Time
	// ejections counts how often it was left out, as far as it lengthens the pause.
	ejections int
	// cutUntil is when a target that took no connection may be tried again.
	cutUntil time.Time
	// refusals counts connections not taken since the last one that was, as far as they lengthen the pause.
	refusals int
	// arrival orders the entries by when they were first listed.
	arrival int
	// superseded is set when a later incarnation of its name is known; it is never taken back.
	superseded bool
}

// Directory is the set of known targets. It is safe for use by any goroutine.
type Directory struct {
	now func() time.Time

	// superseded is told of each incarnation that a later one of its name takes the place of, with the lock held.
	superseded func(Target)

	mu      sync.Mutex
	entries map[string]*entry
	// present holds the newest incarnation known of each name.
	present map[string]presence
	// arrivals counts the entries there were.
	arrivals int
	// leaving is when incarnations were first told to be leaving, listed or not. They stay, since an entry may come back after any time, and
	// none of them ever takes work again.
	leaving map[string]time.Time
	// store is what the own calls say of the store.
	store outage
	// toldUntil is how long missing entries may be the doing of the store as a peer told.
	toldUntil time.Time
	// heard is the time of the newest evidence; it only grows.
	heard time.Time
	// changedAt is where in its history the store was when the list last changed, as far as known; it only grows.
	changedAt position.Position
	// restored is what follows from the newest return of the store from an older copy.
	restored restored
	// zones holds what is believed of each availability zone.
	zones map[string]*zone
}

// Option changes a Directory under construction.
type Option func(*Directory)

// WithSuperseded is told of each incarnation that a later one of its name takes the place of. It must not call the directory.
func WithSupersededHook(told func(Target)) Option {
	return func(dr *Directory) { dr.superseded = told }
}

// New returns an empty directory.
func New(now func() time.Time, opts ...Option) *Directory {
	dr := &Directory{
		now: now, superseded: func(Target) {}, entries: map[string]*entry{}, present: map[string]presence{},
		leaving: map[string]time.Time{}, zones: map[string]*zone{},
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
func (dr *Directory) replace(list []Target, evidence time.Time) []Change {
	dr.confirm(evidence)
	var changes []Change
	listed := map[string]bool{}
	clear(dr.restored.doubted)
	for _, tg := range list {
		listed[tg.ID] = true
		if dr.stale(tg) {
			dr.restored.doubted[tg.ID] = tg
			continue
		}
		changes = append(changes, dr.put(tg)...)
	}
	for id, en := range dr.entries {
		if !listed[id] {
			changes = append(changes, dr.miss(en)...)
		}
	}
	dr.forget()
	return changes
}

// remove notes that the entry of a target, by its own name, is gone. The lock is held.
func (dr *Directory) remove(name string, evidence time.Time) []Change {
	dr.confirm(evidence)
	dr.forget()
	delete(dr.restored.doubted, dr.present[name].id)
	if en, ok := dr.entries[dr.present[name].id]; ok {
		return dr.miss(en)
	}
	return nil
}

// withdraw notes that the entry of a target, by its own name, names no target any more. It takes no work, also when the store was away
// lately. The lock is held.
func (dr *Directory) withdraw(name string, evidence time.Time) []Change {
	changes := dr.remove(name, evidence)
	if en, ok := dr.entries[dr.present[name].id]; ok {
		en.workUntil = time.Time{}
	}
	return changes
}

// Confirm notes that the list was unchanged at a time.
func (dr *Directory) Confirm(evidence time.Time) []Change {
	dr.mu.Lock()
	defer dr.mu.Unlock()
	dr.confirm(evidence)
	return dr.believe()
}

func (dr *Directory) confirm(evidence time.Time) {
	if evidence.After(dr.heard) {
		dr.heard = evidence
	}
}

// ChangedAt returns where in its history the store was when the list last changed, and the time of the newest evidence.
func (dr *Directory) ListPosition() (at position.Position, heard time.Time) {
	dr.mu.Lock()
	defer dr.mu.Unlock()
	return dr.changedAt, dr.heard
}

// Listed returns all listed targets, sorted by incarnation, and where in the store's history the list last changed.
func (dr *Directory) Listed() (at position.Position, list []Target) {
	dr.mu.Lock()
	defer dr.mu.Unlock()
	for _, en := range dr.entries {
		if en.goneAt.IsZero() {
			tg := en.Target
			tg.Leaving = en.leaving
			list = append(list, tg)
		}
	}
	slices.SortFunc(list, func(a, b Target) int { return strings.Compare(a.ID, b.ID) })
	return dr.changedAt, list
}

func (dr *Directory) put(tg Target) []Change {
	news, changes := dr.succeed(tg)
	if !news {
		return nil
	}
	return append(changes, dr.list(tg)...)
}

// list notes the entry of the present incarnation of a name.
func (dr *Directory) list(tg Target) []Change {
	en, known := dr.entries[tg.ID]
	if !known {
		dr.arrivals++
		en = &entry{arrival: dr.arrivals}
		dr.entries[tg.ID] = en
	}
	back := known && !en.goneAt.IsZero()
	wasLeaving := en.leaving
	_, told := dr.leaving[tg.ID]
	en.Target = tg
	en.goneAt = time.Time{}
	en.workUntil = time.Time{}
	en.leaving = en.leaving || tg.Leaving || told
	switch {
	case en.leaving && !wasLeaving:
		dr.leaving[tg.ID] = dr.now()
		return []Change{{Target: tg, Kind: "leaving"}}
	case back:
		return []Change{{Target: tg, Kind: "back"}}
	case !known:
		return []Change{{Target: tg, Kind: "listed"}}
	}
	return nil
}

func (dr *Directory) miss(en *entry) []Change {
	if !en.goneAt.IsZero() {
		return nil
	}
	en.goneAt = dr.now()
	en.workUntil = dr.store.returnEnds()
	return []Change{{Target: en.Target, Kind: "gone"}}
}

func (dr *Directory) forget() {
	now := dr.now()
	for id, en := range dr.entries {
		if !en.goneAt.IsZero() && now.Sub(en.goneAt) > forgetAfter {
			delete(dr.entries, id)
		}
	}
	dr.forgetNames()
	dr.forgetLeaving()
}

// forgetLeaving forgets the incarnations without an entry that were told longest ago once there are too many, some at a time.
func (dr *Directory) forgetLeaving() {
	if len(dr.leaving) <= maxLeaving {
		return
	}
	var unlisted []string
	for id := range dr.leaving {
		if dr.entries[id] == nil {
			unlisted = append(unlisted, id)
		}
	}
	slices.SortFunc(unlisted, func(a, b string) int { return dr.leaving[a].Compare(dr.leaving[b]) })
	for _, id := range unlisted[:min(len(unlisted), len(dr.leaving)-maxLeaving*3/4)] {
		delete(dr.leaving, id)
	}
}

// MarkLeaving notes that an incarnation is leaving, whoever says so. It is never taken back. It reports whether that
// was news.
func (dr *Directory) MarkLeaving(id string) bool {
	dr.mu.Lock()
	defer dr.mu.Unlock()
	if _, told := dr.leaving[id]; told {
		return false
	}
	dr.leaving[id] = dr.now()
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
	ids := make([]string, 0, len(dr.leaving))
	for id, at := range dr.leaving {
		if dr.entries[id] != nil || now.Sub(at) <= forgetAfter {
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
		if en.leaving && en.goneAt.IsZero() {
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
		if en.goneAt.IsZero() {
			n++
		}
	}
	return n
}

// HeardAt returns the time of the newest evidence of the list.
func (dr *Directory) ConfirmedAt() time.Time {
	dr.mu.Lock()
	defer dr.mu.Unlock()
	return dr.heard
}
