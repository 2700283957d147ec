package ratelimit

import (
	"slices"
	"strings"
	"sync"
	"time"
)

// Observation is the rate limit stated in one answer of a target, as an instance received it.
type Observation struct {
	// Target is the incarnation of the target.
	Target string
	Limit  Limit
	// At orders observations. It is the time at which the request was sent when the answer states no limit, and the time at which
	// the head of the answer arrived when it does: answers in flight when the target states its first limit must not appear to
	// lift it.
	At time.Time
}

// Change is a change of the limit known for a target.
type Change struct {
	Observation
	// Previous is the limit known before the change.
	Previous Limit
}

// Kind returns "named" when the target had no limit before, "lifted" when it has none now, and "changed" otherwise.
func (ch Change) Kind() string {
	switch {
	case !ch.Previous.Limited:
		return "named"
	case !ch.Limit.Limited:
		return "lifted"
	default:
		return "changed"
	}
}

// record is the newest observation of one incarnation.
type record struct {
	limit Limit
	// at never decreases.
	at time.Time
	// local is set when this instance observed the limit before any peer reported it; the instance then announces it to its peers.
	local bool
}

const (
	// liftedRetention is how long an instance keeps and announces that a limit was lifted. It exceeds the time that a peer's
	// report of the limit may be in transit, and the silence after which a peer is considered lost.
	liftedRetention = 15 * time.Second
	// maxRecords bounds the number of records, 100 bytes each.
	maxRecords = 1 << 13
)

// Tracker holds the rate limits of targets that this instance knows from answers of its own requests and from its peers. It is
// safe for concurrent use.
type Tracker struct {
	now func() time.Time

	mu sync.Mutex
	// records is keyed by incarnation; it holds those that have a limit or had one recently.
	records map[string]record
	// limitedCount is the number of records with a limit.
	limitedCount int
}

// New returns an empty tracker; now is a monotonic clock.
func New(now func() time.Time) *Tracker {
	return &Tracker{now: now, records: map[string]record{}}
}

// Observe records the limit stated in an answer whose request was sent at sentAt and whose head arrived at headAt. It reports
// whether the known limit changed; peers must then be notified.
func (tr *Tracker) Observe(target string, li Limit, sentAt, headAt time.Time) (Change, bool) {
	ob := Observation{Target: target, Limit: li, At: sentAt}
	if li.Limited {
		ob.At = headAt
	}
	tr.mu.Lock()
	defer tr.mu.Unlock()
	return tr.apply(ob, true)
}

// Merge applies the observations of a peer and returns the resulting changes.
func (tr *Tracker) Merge(obs []Observation) []Change {
	tr.mu.Lock()
	defer tr.mu.Unlock()
	var changes []Change
	for _, ob := range obs {
		if ch, changed := tr.apply(ob, false); changed {
			changes = append(changes, ch)
		}
	}
	return changes
}

// apply records an observation unless the known one is newer. The caller holds the lock.
func (tr *Tracker) apply(ob Observation, local bool) (Change, bool) {
	rc, known := tr.records[ob.Target]
	// Most local answers state no limit and need no record. A peer reports that there is no limit only after it saw one lifted;
	// that is recorded, because an older report of the limit may still be in transit.
	if !known && !ob.Limit.Limited && local {
		return Change{}, false
	}
	if known && ob.At.Before(rc.at) || !known && len(tr.records) >= maxRecords {
		return Change{}, false
	}
	previous := rc.limit
	rc.at = ob.At
	if previous == ob.Limit {
		tr.records[ob.Target] = rc
		return Change{}, false
	}
	rc.limit, rc.local = ob.Limit, local
	tr.records[ob.Target] = rc
	tr.updateCount(previous, ob.Limit)
	return Change{Observation: ob, Previous: previous}, true
}

// updateCount adjusts limitedCount for a record whose limit changes. The caller holds the lock.
func (tr *Tracker) updateCount(before, after Limit) {
	if before.Limited {
		tr.limitedCount--
	}
	if after.Limited {
		tr.limitedCount++
	}
}

// Limit returns the limit known for a target.
func (tr *Tracker) Limit(target string) Limit {
	tr.mu.Lock()
	defer tr.mu.Unlock()
	if tr.limitedCount == 0 {
		return Limit{}
	}
	return tr.records[target].limit
}

// LimitedCount returns the number of targets known to have a limit.
func (tr *Tracker) LimitedCount() int {
	tr.mu.Lock()
	defer tr.mu.Unlock()
	return tr.limitedCount
}

// LocalObservations returns the observations to announce to peers, sorted by target: those that this instance made before any
// peer reported them. Across the whole fleet these are a few entries per target, however many instances observe the same limit.
func (tr *Tracker) LocalObservations() []Observation {
	tr.mu.Lock()
	defer tr.mu.Unlock()
	var obs []Observation
	for target, rc := range tr.records {
		if rc.local {
			obs = append(obs, Observation{Target: target, Limit: rc.limit, At: rc.at})
		}
	}
	slices.SortFunc(obs, func(a, b Observation) int { return strings.Compare(a.Target, b.Target) })
	return obs
}

// Prune removes records older than liftedRetention whose limit was lifted or whose target no longer exists.
func (tr *Tracker) Prune(exists func(target string) bool) {
	tr.mu.Lock()
	defer tr.mu.Unlock()
	now := tr.now()
	for target, rc := range tr.records {
		lifted := !rc.limit.Limited && now.Sub(rc.at) > liftedRetention
		if lifted || now.Sub(rc.at) > liftedRetention && !exists(target) {
			tr.updateCount(rc.limit, Limit{})
			delete(tr.records, target)
		}
	}
}
