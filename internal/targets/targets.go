// Package targets keeps what this instance believes of each target: whether it takes work, is leaving, gone, or failing.
package targets

import (
	"slices"
	"strings"
	"sync"
	"time"
)

const (
	// goneGrace is how long a target whose entry lapsed while the store was in trouble still takes work. It stays
	// under the two seconds after which a target that left must get no new work.
	goneGrace = 1700 * time.Millisecond
	// massGrace is the same when most targets of a service lapsed at once, which is the store's doing: it shows live
	// targets again about two seconds after it is back.
	massGrace = 2500 * time.Millisecond
	// massShare is the share of a service's targets from which a lapse is a mass lapse.
	massShare = 0.5
	// forgetAfter is how long a target that is gone is remembered, well past any list that still names it.
	forgetAfter = 60 * time.Second
	// ejectAfter is the number of failures in a row that takes a target out.
	ejectAfter = 3
	// ejectFor is how long a target is first left out; it doubles with each further ejection up to ejectMost.
	ejectFor  = time.Second
	ejectMost = 8 * time.Second
	// unreachableFor is how long a target that took no connection is first left out: about a restart's detection time.
	// It doubles up to unreachableMost, so that a cut of some seconds is found to have healed soon after.
	unreachableFor  = 800 * time.Millisecond
	unreachableMost = 2400 * time.Millisecond
	// zoneSuspects is how many targets of an availability zone must be unreachable, and none reached since, for the
	// whole availability zone to be left out. One alone is a dead target, two at once are seldom chance.
	zoneSuspects = 2
	// ejectShare bounds the share of a service's targets that are left out for failing.
	ejectShare = 0.5
)

// Target is one incarnation of a target as the store lists it.
type Target struct {
	// ID is unique to the incarnation and never used again.
	ID      string
	Service string
	// Address is an IP address and port.
	Address          string
	AvailabilityZone string
	// Slots is how many requests it works on at a time.
	Slots int
	// Leaving targets take no new work.
	Leaving bool
}

// entry is what is believed of one target. Its fields are guarded by the directory.
type entry struct {
	Target
	// leaving is never taken back.
	leaving bool
	// goneAt is when the entry was missed; zero while it is listed.
	goneAt time.Time
	// lapsed is set when the entry went while the store was in trouble, mass when most others went with it.
	lapsed, mass bool
	// outUntil is when an ejected target may be tried again.
	outUntil time.Time
	// failures counts those in a row; ejections those since the last success.
	failures, ejections int
	// cutUntil is when a target that took no connection may be tried again.
	cutUntil time.Time
	// refusals counts connections not taken since the last one that was.
	refusals int
	// arrival orders the entries by when they were first listed.
	arrival int
}

// Directory is the set of known targets. It is safe for use by any goroutine.
type Directory struct {
	now func() time.Time

	mu      sync.Mutex
	entries map[string]*entry
	// arrivals counts the entries there were.
	arrivals int
	// leaving holds incarnations that were told to be leaving before they were listed.
	leaving map[string]time.Time
	// troubleAt is when the store was last seen in trouble.
	troubleAt time.Time
	// heard is the time of the newest evidence; it only grows.
	heard time.Time
	// version is the store's when the list last changed, as far as known; it only grows.
	version int64
	// reachedAt is when a target of an availability zone last took a connection or answered.
	reachedAt map[string]time.Time
}

// New returns an empty directory.
func New(now func() time.Time) *Directory {
	return &Directory{now: now, entries: map[string]*entry{}, leaving: map[string]time.Time{}, reachedAt: map[string]time.Time{}}
}

// Change is what a call changed about one target.
type Change struct {
	Target Target
	// What is one of "listed", "leaving", "gone" and "back".
	What string
}

// storeTroubleWindow is how long after trouble of the store a missing entry is taken as lapsed, not as gone.
const storeTroubleWindow = 5 * time.Second

// Trouble notes that the store could not be asked.
func (dr *Directory) Trouble() {
	dr.mu.Lock()
	dr.troubleAt = dr.now()
	dr.mu.Unlock()
}

// Replace takes a whole list. Evidence is when the store was asked.
func (dr *Directory) Replace(list []Target, evidence time.Time) []Change {
	dr.mu.Lock()
	defer dr.mu.Unlock()
	dr.confirm(evidence)
	var changes []Change
	listed := map[string]bool{}
	for _, tg := range list {
		listed[tg.ID] = true
		changes = append(changes, dr.put(tg)...)
	}
	for id, en := range dr.entries {
		if !listed[id] {
			changes = append(changes, dr.miss(en)...)
		}
	}
	dr.markMass(changes)
	dr.forget()
	return changes
}

// markMass marks the targets of services most of which went with one list.
func (dr *Directory) markMass(changes []Change) {
	went := map[string]int{}
	for _, ch := range changes {
		if ch.What == "gone" {
			went[ch.Target.Service]++
		}
	}
	there := map[string]int{}
	for _, en := range dr.entries {
		if en.goneAt.IsZero() {
			there[en.Service]++
		}
	}
	for _, ch := range changes {
		n := went[ch.Target.Service]
		if ch.What == "gone" && float64(n) > massShare*float64(n+there[ch.Target.Service]) {
			dr.entries[ch.Target.ID].mass = true
		}
	}
}

// Put takes one listed target.
func (dr *Directory) Put(tg Target, evidence time.Time) []Change {
	dr.mu.Lock()
	defer dr.mu.Unlock()
	dr.confirm(evidence)
	return dr.put(tg)
}

// Remove notes that a target's entry is gone.
func (dr *Directory) Remove(id string, evidence time.Time) []Change {
	dr.mu.Lock()
	defer dr.mu.Unlock()
	dr.confirm(evidence)
	dr.forget()
	if en, ok := dr.entries[id]; ok {
		return dr.miss(en)
	}
	return nil
}

// Confirm notes that the list was unchanged at a time.
func (dr *Directory) Confirm(evidence time.Time) {
	dr.mu.Lock()
	dr.confirm(evidence)
	dr.mu.Unlock()
}

func (dr *Directory) confirm(evidence time.Time) {
	if evidence.After(dr.heard) {
		dr.heard = evidence
	}
}

// Changed notes the store's version after a change of the list.
func (dr *Directory) Changed(version int64) {
	dr.mu.Lock()
	defer dr.mu.Unlock()
	dr.version = max(dr.version, version)
}

// Version returns the store's version when the list last changed, and the time of the newest evidence.
func (dr *Directory) Version() (version int64, heard time.Time) {
	dr.mu.Lock()
	defer dr.mu.Unlock()
	return dr.version, dr.heard
}

// Listed returns all listed targets, sorted by incarnation, and the version of the list.
func (dr *Directory) Listed() (version int64, list []Target) {
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
	return dr.version, list
}

func (dr *Directory) put(tg Target) []Change {
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
	en.lapsed, en.mass = false, false
	en.leaving = en.leaving || tg.Leaving || told
	switch {
	case en.leaving && !wasLeaving:
		dr.leaving[tg.ID] = dr.now()
		return []Change{{Target: tg, What: "leaving"}}
	case back:
		return []Change{{Target: tg, What: "back"}}
	case !known:
		return []Change{{Target: tg, What: "listed"}}
	}
	return nil
}

func (dr *Directory) miss(en *entry) []Change {
	if !en.goneAt.IsZero() {
		return nil
	}
	now := dr.now()
	en.goneAt = now
	en.lapsed = !dr.troubleAt.IsZero() && now.Sub(dr.troubleAt) < storeTroubleWindow
	return []Change{{Target: en.Target, What: "gone"}}
}

func (dr *Directory) forget() {
	now := dr.now()
	for id, en := range dr.entries {
		if !en.goneAt.IsZero() && now.Sub(en.goneAt) > forgetAfter {
			delete(dr.entries, id)
		}
	}
	for id, at := range dr.leaving {
		if now.Sub(at) > forgetAfter && dr.entries[id] == nil {
			delete(dr.leaving, id)
		}
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

// Leaving returns the incarnations known to be leaving, sorted.
func (dr *Directory) Leaving() []string {
	dr.mu.Lock()
	defer dr.mu.Unlock()
	ids := make([]string, 0, len(dr.leaving))
	for id := range dr.leaving {
		ids = append(ids, id)
	}
	slices.Sort(ids)
	return ids
}

// Usable returns the targets of a service that may get work now, sorted by incarnation. Those that take no connection
// are left out while others do; failing ones are left out unless too few are left. Of several at one address it returns
// the one listed last.
func (dr *Directory) Usable(service string) []Target {
	dr.mu.Lock()
	defer dr.mu.Unlock()
	now := dr.now()
	var good, failing, cut []Target
	for _, en := range dr.entries {
		switch {
		case en.Service != service || !en.takesWork(now):
		case now.Before(en.cutUntil):
			cut = append(cut, en.Target)
		case now.Before(en.outUntil):
			failing = append(failing, en.Target)
		default:
			good = append(good, en.Target)
		}
	}
	if float64(len(failing)) > ejectShare*float64(len(good)+len(failing)) {
		good = append(good, failing...)
	}
	if len(good) == 0 {
		good = append(failing, cut...)
	}
	good = dr.newest(good)
	slices.SortFunc(good, func(a, b Target) int { return strings.Compare(a.ID, b.ID) })
	return good
}

// newest leaves out each target whose address another one has that was listed later: the address is that of one process,
// and memory set aside there twice for one request would be the same memory.
func (dr *Directory) newest(tgs []Target) []Target {
	last := map[string]int{}
	for _, tg := range tgs {
		last[tg.Address] = max(last[tg.Address], dr.entries[tg.ID].arrival)
	}
	return slices.DeleteFunc(tgs, func(tg Target) bool {
		return tg.Address != "" && dr.entries[tg.ID].arrival < last[tg.Address]
	})
}

// TakesWork reports whether a target may be sent a request at this moment.
func (dr *Directory) TakesWork(id string) bool {
	dr.mu.Lock()
	defer dr.mu.Unlock()
	en, ok := dr.entries[id]
	return ok && en.takesWork(dr.now())
}

func (en *entry) takesWork(now time.Time) bool {
	if en.leaving {
		return false
	}
	if en.goneAt.IsZero() {
		return true
	}
	grace := goneGrace
	if en.mass {
		grace = massGrace
	}
	return en.lapsed && now.Sub(en.goneAt) < grace
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
func (dr *Directory) HeardAt() time.Time {
	dr.mu.Lock()
	defer dr.mu.Unlock()
	return dr.heard
}
