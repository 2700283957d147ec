// Package evacuation tracks which availability zones operators have evacuated. The targets of an evacuated availability zone
// accept no new requests until operators withdraw the evacuation.
package evacuation

import (
	"slices"
	"strings"
	"sync"
	"time"

	"github.com/silvermount/silvermount/internal/position"
	"github.com/silvermount/silvermount/internal/set"
)

// RewritePeriod is how long operators take to write lost evacuations again after the store was restored from an older copy.
const RewritePeriod = 2 * time.Second

// State is the set of evacuated availability zones at a position in the history of the store.
type State struct {
	// At is the position of the response that the set was read from; zero if none was read yet.
	At position.Position
	// Zones holds the names of the availability zones, sorted.
	Zones []string
}

// EntryChange is a changed evacuation in the store.
type EntryChange struct {
	Zone string
	// Withdrawn is set when the evacuation no longer exists.
	Withdrawn bool
}

// Change is a change of what a Tracker knows.
type Change struct {
	Zone string
	// Evacuated is set when the evacuation begins, and not set when it is withdrawn.
	Evacuated bool
}

// Kind returns "evacuated" or "in use again".
func (ch Change) Kind() string {
	if ch.Evacuated {
		return "evacuated"
	}
	return "in use again"
}

// Tracker holds the newest state that this instance has read from the store or received from peers. It is safe for concurrent
// use.
type Tracker struct {
	now func() time.Time

	mu sync.Mutex
	// at never decreases.
	at    position.Position
	zones set.Set[string]
	// local is set when this instance read the state from the store, used once any evacuation was known. This instance announces
	// the state to its peers while both are set.
	local, used bool
	// lost holds the evacuations that a store restored from an older copy may lack although they are in force, until lostUntil.
	lost      set.Set[string]
	lostUntil time.Time
}

// New returns a Tracker that knows of no evacuation; now is a monotonic clock.
func New(now func() time.Time) *Tracker { return &Tracker{now: now} }

// ApplyList replaces the state with the complete list of the store at a position, unless a newer state is known.
func (tr *Tracker) ApplyList(zones []string, at position.Position) []Change {
	tr.mu.Lock()
	defer tr.mu.Unlock()
	if tr.at.After(at) {
		return nil
	}
	return tr.replace(set.Of(zones...), at, true)
}

// ApplyChanges applies the changes in the store up to a position, in order, unless a newer state is known. Changes that the
// state already contains may be applied again; the later ones correct the result.
func (tr *Tracker) ApplyChanges(entries []EntryChange, at position.Position) []Change {
	tr.mu.Lock()
	defer tr.mu.Unlock()
	if tr.at.After(at) {
		return nil
	}
	zones := tr.zones
	for _, ec := range entries {
		if ec.Withdrawn {
			zones = zones.Without(ec.Zone)
		} else {
			zones = zones.With(ec.Zone)
		}
	}
	return tr.replace(zones, at, true)
}

// Merge replaces the state with that of a peer if it is newer.
func (tr *Tracker) Merge(st State) []Change {
	tr.mu.Lock()
	defer tr.mu.Unlock()
	if !st.At.After(tr.at) {
		return nil
	}
	return tr.replace(set.Of(st.Zones...), st.At, false)
}

// replace sets the state and returns the changes, sorted by availability zone. The caller holds the lock.
func (tr *Tracker) replace(zones set.Set[string], at position.Position, local bool) []Change {
	if at.RestoredSince(tr.at) {
		tr.lost, tr.lostUntil = tr.zones, tr.now().Add(RewritePeriod)
	}
	previous := tr.zones
	tr.at, tr.zones, tr.local = at, zones, local
	tr.used = tr.used || zones.Len() > 0
	var changes []Change
	for zone := range previous.All() {
		if !zones.Has(zone) {
			changes = append(changes, Change{Zone: zone})
		}
	}
	for zone := range zones.All() {
		if !previous.Has(zone) {
			changes = append(changes, Change{Zone: zone, Evacuated: true})
		}
	}
	slices.SortFunc(changes, func(a, b Change) int { return strings.Compare(a.Zone, b.Zone) })
	return changes
}

// Position returns the position of the newest known state; zero if none is known.
func (tr *Tracker) Position() position.Position {
	tr.mu.Lock()
	defer tr.mu.Unlock()
	return tr.at
}

// Evacuated returns the availability zones that are evacuated now.
func (tr *Tracker) Evacuated() set.Set[string] {
	tr.mu.Lock()
	defer tr.mu.Unlock()
	zones := tr.zones
	if tr.lost.Len() == 0 {
		return zones
	}
	if !tr.now().Before(tr.lostUntil) {
		tr.lost = set.Set[string]{}
		return zones
	}
	for zone := range tr.lost.All() {
		zones = zones.With(zone)
	}
	return zones
}

// LocalState returns the state to announce to peers. It reports false if this instance did not read the newest state from the
// store itself, or if there has been no evacuation yet.
func (tr *Tracker) LocalState() (State, bool) {
	tr.mu.Lock()
	defer tr.mu.Unlock()
	return State{At: tr.at, Zones: slices.Sorted(tr.zones.All())}, tr.local && tr.used
}
