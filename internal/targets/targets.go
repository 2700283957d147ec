// Package targets keeps the directory of targets: which of them accept work, are leaving, are gone, or are failing, as far as this
// instance knows.
package targets

import (
	"slices"
	"strings"
	"sync"
	"time"

	"github.com/silvermount/silvermount/internal/position"
	"github.com/silvermount/silvermount/internal/set"
)

const (
	// goneRetention is how long a target that is gone is kept, well beyond the age of any list that may still contain it.
	goneRetention = 60 * time.Second
	// maxLeaving bounds the incarnations kept as leaving that have no entry, about 100 bytes each.
	maxLeaving = 1 << 13
	// minUnreachablePause is how long a target is excluded after its first failed connection: about the time in which a restart is
	// detected. It doubles with each further failure up to maxUnreachablePause, so that the end of a network partition of some
	// seconds is noticed soon.
	minUnreachablePause = 800 * time.Millisecond
	maxUnreachablePause = 2400 * time.Millisecond
)

// Target is one incarnation of a target, as listed in the store.
type Target struct {
	// ID is unique to the incarnation and is never reused.
	ID string `json:"ID"`
	// Name is the name that the target gives itself, which later incarnations may reuse. It is empty when it equals the ID.
	Name string `json:"Name"`
	// StartedAt is when the incarnation started, by its own clock; zero when unknown. Of two incarnations with the same name, the
	// one that started later is current.
	StartedAt time.Time `json:"Born"`
	Service   string    `json:"Service"`
	// Address is an IP address and port.
	Address          string `json:"Address"`
	AvailabilityZone string `json:"AvailabilityZone"`
	// Slots is how many requests the target processes concurrently.
	Slots int `json:"Slots"`
	// Leaving targets accept no new work.
	Leaving bool `json:"Leaving"`
	// WarmUp is how much longer the target stays cold, counted from when the entry was read; zero for a warm target.
	WarmUp time.Duration `json:"WarmUp,omitempty"`
}

// NameOrID returns the name that the target gives itself, which is its ID when Name is empty.
func (tg Target) NameOrID() string {
	if tg.Name == "" {
		return tg.ID
	}
	return tg.Name
}

// entry is the state of one target. Its fields are guarded by the lock of the directory.
type entry struct {
	Target
	// leaving is never reset.
	leaving bool
	// missingSince is when the target was first missing from the list; zero while it is listed.
	missingSince time.Time
	// warmAt is when the target has warmed up; zero or in the past for a warm target.
	warmAt time.Time
	// graceUntil is the time until which a target whose entry lapsed during a store outage still accepts work; zero for others.
	graceUntil time.Time
	// ejectedUntil is when an ejected target may be tried again.
	ejectedUntil time.Time
	// failureRate is a moving average over the most recent outcomes; lastFailureAt is the time of the newest failure.
	failureRate   float64
	lastFailureAt time.Time
	// ejections counts the ejections so far, up to maxDoublings; each doubles the duration of the next.
	ejections int
	// unreachableUntil is when a target that accepted no connection may be tried again.
	unreachableUntil time.Time
	// connectFailures counts failed connections since the target was last reachable, up to maxDoublings; each doubles the next
	// pause.
	connectFailures int
	// changedAt is the position at which the listed target last changed.
	changedAt position.Position
	// listOrder orders the entries by when they were first listed.
	listOrder int
	// superseded is set when a later incarnation with the same name is known; it is never reset.
	superseded bool
}

// Directory is the set of known targets. It is safe for concurrent use.
type Directory struct {
	now func() time.Time

	// onSuperseded is called, with the lock held, for each incarnation that a later one with the same name replaces.
	onSuperseded func(Target)

	// onGone is called, with the lock held, for each target whose entry is gone.
	onGone func(Target)

	// evacuated returns the availability zones whose targets accept no new requests.
	evacuated func() set.Set[string]

	mu sync.Mutex
	// entries is keyed by incarnation.
	entries map[string]*entry
	// latest holds the latest known incarnation of each name.
	latest map[string]incarnation
	// listings counts the entries ever listed.
	listings int
	// leavingSince holds when each incarnation, listed or not, was first known to be leaving. Incarnations stay in it, because an
	// entry may be listed again after any time and a leaving incarnation must never get work again.
	leavingSince map[string]time.Time
	// ownOutage is the newest store outage seen by this instance's own calls.
	ownOutage outage
	// peerGraceUntil is the time until which, according to a peer, entries may be missing because of a store outage.
	peerGraceUntil time.Time
	// confirmedAt is the newest time as of which the list is known to be current; it never decreases.
	confirmedAt time.Time
	// listPosition is the position in the store's history at which the list last changed, as far as known; it never decreases.
	listPosition position.Position
	// history holds what peers with an older list need to update it.
	history history
	// lastRestore is the newest known restore of the store from an older copy.
	lastRestore storeRestore
	// zones is keyed by the name of the availability zone.
	zones map[string]*zone
}

// Option configures a Directory in New.
type Option func(*Directory)

// WithSupersededHook sets a function that is called for each incarnation that a later one with the same name replaces. It is
// called with the lock held, so it must not call the directory.
func WithSupersededHook(hook func(Target)) Option {
	return func(dr *Directory) { dr.onSuperseded = hook }
}

// WithGoneHook sets a function that is called for each target whose entry is gone, whether or not it still accepts work for a while. It is
// called with the lock held, so it must not call the directory.
func WithGoneHook(hook func(Target)) Option {
	return func(dr *Directory) { dr.onGone = hook }
}

// WithEvacuations sets a function that returns the evacuated availability zones. It may be called with the lock held, so it must
// not call the directory.
func WithEvacuations(evacuated func() set.Set[string]) Option {
	return func(dr *Directory) { dr.evacuated = evacuated }
}

// New returns an empty directory; now is its clock.
func New(now func() time.Time, opts ...Option) *Directory {
	dr := &Directory{
		now: now, onSuperseded: func(Target) {}, onGone: func(Target) {}, evacuated: func() set.Set[string] { return set.Set[string]{} }, entries: map[string]*entry{}, latest: map[string]incarnation{},
		leavingSince: map[string]time.Time{}, zones: map[string]*zone{}, history: history{removals: map[string]removal{}},
	}
	for _, o := range opts {
		o(dr)
	}
	return dr
}

// Change is a change to one target.
type Change struct {
	Target Target
	// Kind is one of "listed", "leaving", "gone", "lapsed" and "back". A peer reported a lapsed target that was unknown here.
	Kind string
	// Grace is how much longer a gone or lapsed target accepts work; zero for others.
	Grace time.Duration
}

// replaceAll replaces the whole list with one that was current as of asOf, when the store was asked. Targets that it newly misses accept
// work until graceUntil. The caller holds the lock.
func (dr *Directory) replaceAll(list []Target, asOf, graceUntil time.Time) []Change {
	dr.confirm(asOf)
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
			changes = append(changes, dr.markMissing(en, graceUntil)...)
		}
	}
	dr.prune()
	return changes
}

// removeByName records that the entry of the target with the given name is gone. The caller holds the lock.
func (dr *Directory) removeByName(name string, asOf time.Time) []Change {
	dr.confirm(asOf)
	dr.prune()
	delete(dr.lastRestore.quarantined, dr.latest[name].id)
	if en, ok := dr.entries[dr.latest[name].id]; ok {
		return dr.markMissing(en, dr.ownOutage.graceEnds())
	}
	return nil
}

// invalidate records that the entry of the target with the given name exists but can no longer be decoded as a target. The target
// gets no work, not even during the grace period after a store outage. The caller holds the lock.
func (dr *Directory) invalidate(name string, asOf time.Time) []Change {
	changes := dr.removeByName(name, asOf)
	if en, ok := dr.entries[dr.latest[name].id]; ok {
		en.graceUntil = time.Time{}
	}
	return changes
}

// Confirm records that the list was unchanged as of asOf. It returns the changes that follow when a quarantine is over.
func (dr *Directory) Confirm(asOf time.Time) []Change {
	dr.mu.Lock()
	defer dr.mu.Unlock()
	dr.confirm(asOf)
	return dr.releaseQuarantined()
}

// confirm advances confirmedAt. The caller holds the lock.
func (dr *Directory) confirm(asOf time.Time) {
	if asOf.After(dr.confirmedAt) {
		dr.confirmedAt = asOf
	}
	dr.ownOutage.recordConfirmation(asOf)
}

// ListPosition returns the position in the store's history at which the list last changed, and the newest time as of which the
// list is known to be current.
func (dr *Directory) ListPosition() (at position.Position, confirmedAt time.Time) {
	dr.mu.Lock()
	defer dr.mu.Unlock()
	return dr.listPosition, dr.confirmedAt
}

// Listed returns all listed targets, sorted by ID, and the position in the store's history at which the list last changed.
func (dr *Directory) Listed() (at position.Position, list []Target) {
	dr.mu.Lock()
	defer dr.mu.Unlock()
	now := dr.now()
	for _, en := range dr.entries {
		if en.missingSince.IsZero() {
			list = append(list, en.listed(now))
		}
	}
	slices.SortFunc(list, func(a, b Target) int { return strings.Compare(a.ID, b.ID) })
	return dr.listPosition, list
}

// listed returns the target as it is listed for peers.
func (en *entry) listed(now time.Time) Target {
	tg := en.Target
	tg.Leaving = en.leaving
	tg.WarmUp = max(0, en.warmAt.Sub(now))
	return tg
}

// upsert adds or updates a listed target, unless a later incarnation is known. The caller holds the lock.
func (dr *Directory) upsert(tg Target) []Change {
	latest, changes := dr.registerLatest(tg)
	if !latest {
		return nil
	}
	return append(changes, dr.upsertLatest(tg)...)
}

// upsertLatest adds or updates the entry of the latest incarnation of a name. The caller holds the lock.
func (dr *Directory) upsertLatest(tg Target) []Change {
	en, known := dr.entries[tg.ID]
	if !known {
		dr.listings++
		en = &entry{listOrder: dr.listings}
		dr.entries[tg.ID] = en
	}
	if !known || tg.WarmUp != en.WarmUp {
		// An entry that states the same warm-up again was not written again.
		en.warmAt = dr.now().Add(tg.WarmUp)
	}
	relisted := known && !en.missingSince.IsZero()
	wasLeaving := en.leaving
	_, markedLeaving := dr.leavingSince[tg.ID]
	if !known || relisted || !en.sameEntry(tg) {
		en.changedAt = dr.history.applying
		delete(dr.history.removals, tg.ID)
	}
	en.Target = tg
	en.missingSince = time.Time{}
	en.graceUntil = time.Time{}
	en.leaving = en.leaving || tg.Leaving || markedLeaving
	switch {
	case en.leaving && !wasLeaving:
		dr.leavingSince[tg.ID] = dr.now()
		return []Change{{Target: tg, Kind: "leaving"}}
	case relisted:
		return []Change{{Target: tg, Kind: "back"}}
	case !known:
		return []Change{{Target: tg, Kind: "listed"}}
	}
	return nil
}

// markMissing records that an entry is no longer listed, and that its target accepts work until graceUntil, if that is set. The caller
// holds the lock.
func (dr *Directory) markMissing(en *entry, graceUntil time.Time) []Change {
	if !en.missingSince.IsZero() {
		return nil
	}
	now := dr.now()
	en.missingSince = now
	en.graceUntil = graceUntil
	dr.history.recordRemoval(en.ID, now)
	dr.onGone(en.Target)
	return []Change{{Target: en.Target, Kind: "gone", Grace: max(0, graceUntil.Sub(now))}}
}

// prune removes entries, names and leaving incarnations that need not be kept any longer. The caller holds the lock.
func (dr *Directory) prune() {
	now := dr.now()
	for id, en := range dr.entries {
		if !en.missingSince.IsZero() && now.Sub(en.missingSince) > goneRetention {
			delete(dr.entries, id)
		}
	}
	dr.pruneNames()
	dr.pruneLeaving()
	dr.history.prune(now)
}

// pruneLeaving evicts the oldest leaving incarnations that have no entry once there are more than maxLeaving. It evicts down to
// three quarters of maxLeaving at a time. The caller holds the lock.
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

// MarkLeaving records that an incarnation is leaving, whatever the source. It cannot be undone. It reports whether the
// incarnation was not marked before.
func (dr *Directory) MarkLeaving(id string) bool {
	dr.mu.Lock()
	defer dr.mu.Unlock()
	if _, marked := dr.leavingSince[id]; marked {
		return false
	}
	dr.leavingSince[id] = dr.now()
	if en, ok := dr.entries[id]; ok {
		en.leaving = true
	}
	return true
}

// IsLeaving reports whether an incarnation is leaving: it may refuse connections while it finishes its requests.
func (dr *Directory) IsLeaving(id string) bool {
	dr.mu.Lock()
	defer dr.mu.Unlock()
	_, leaving := dr.leavingSince[id]
	return leaving
}

// LeavingIDs returns the sorted IDs of leaving incarnations to announce to peers: those with an entry, and those marked within
// goneRetention.
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

// LeavingCount returns the number of listed targets that are leaving.
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

// Len returns the number of listed targets.
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

// ConfirmedAt returns the newest time as of which the list is known to be current.
func (dr *Directory) ConfirmedAt() time.Time {
	dr.mu.Lock()
	defer dr.mu.Unlock()
	return dr.confirmedAt
}
