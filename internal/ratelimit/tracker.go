package ratelimit

import (
	"slices"
	"strings"
	"sync"
	"time"
)

// Observation is what one instance saw in an answer of a target.
type Observation struct {
	// Target is its incarnation.
	Target string
	Limit  Limit
	// At is when the target said so. Of an answer without a limit it is when the request was sent, of one with a limit when its head
	// came: answers that were under way when the target named its first limit must not seem to lift it.
	At time.Time
}

// Change is a belief that changed.
type Change struct {
	Observation
	// Before is what was believed until then.
	Previous Limit
}

// What says what became of the limit.
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

// belief is what is believed of one incarnation.
type record struct {
	limit Limit
	// at only grows.
	at time.Time
	// witness is set when this instance saw it, and nobody had told: it then tells the others.
	local bool
}

const (
	// liftedFor is how long an instance tells, and remembers, that a limit was lifted: longer than the others' word of the limit may be
	// under way, and than their silence before they are taken for lost.
	liftedRetention = 15 * time.Second
	// maxBeliefs bounds the targets believed limited, 100 bytes each.
	maxRecords = 1 << 13
)

// Book is what this instance believes of the rate limits of targets, by its own answers and its peers' word. It is safe for use by any
// goroutine.
type Tracker struct {
	now func() time.Time

	mu sync.Mutex
	// beliefs holds incarnations that are limited, or were lately.
	records map[string]record
	// limited counts the beliefs in a limit.
	limitedCount int
}

// New returns an empty book; now is the steady clock.
func New(now func() time.Time) *Tracker {
	return &Tracker{now: now, records: map[string]record{}}
}

// Observe takes what this instance saw in an answer to a request that was sent at one time and whose head came at another. It reports
// whether the belief changed; peers must then be told.
func (tr *Tracker) Observe(target string, li Limit, sent, head time.Time) (Change, bool) {
	ob := Observation{Target: target, Limit: li, At: sent}
	if li.Limited {
		ob.At = head
	}
	tr.mu.Lock()
	defer tr.mu.Unlock()
	return tr.apply(ob, true)
}

// Hear takes what a peer tells, and returns what that changed.
func (tr *Tracker) Merge(told []Observation) []Change {
	tr.mu.Lock()
	defer tr.mu.Unlock()
	var changes []Change
	for _, ob := range told {
		if ch, changed := tr.apply(ob, false); changed {
			changes = append(changes, ch)
		}
	}
	return changes
}

// take takes an observation unless what is believed is newer. The lock is held.
func (tr *Tracker) apply(ob Observation, own bool) (Change, bool) {
	be, known := tr.records[ob.Target]
	// An own answer without a limit is the usual one. A peer that tells of one saw a limit lifted: an older word of that limit may still be
	// under way.
	if !known && !ob.Limit.Limited && own {
		return Change{}, false
	}
	if known && ob.At.Before(be.at) || !known && len(tr.records) >= maxRecords {
		return Change{}, false
	}
	before := be.limit
	be.at = ob.At
	if before == ob.Limit {
		tr.records[ob.Target] = be
		return Change{}, false
	}
	be.limit, be.local = ob.Limit, own
	tr.records[ob.Target] = be
	tr.updateCount(before, ob.Limit)
	return Change{Observation: ob, Previous: before}, true
}

func (tr *Tracker) updateCount(before, after Limit) {
	if before.Limited {
		tr.limitedCount--
	}
	if after.Limited {
		tr.limitedCount++
	}
}

// Of returns the limit of a target.
func (tr *Tracker) Limit(target string) Limit {
	tr.mu.Lock()
	defer tr.mu.Unlock()
	if tr.limitedCount == 0 {
		return Limit{}
	}
	return tr.records[target].limit
}

// Limited returns how many targets are believed to name a limit.
func (tr *Tracker) LimitedCount() int {
	tr.mu.Lock()
	defer tr.mu.Unlock()
	return tr.limitedCount
}

// Told returns what peers hear: what this instance was the first to see, by target. That is a few entries for each target over the whole
// fleet, however many instances see the same.
func (tr *Tracker) LocalObservations() []Observation {
	tr.mu.Lock()
	defer tr.mu.Unlock()
	var told []Observation
	for target, be := range tr.records {
		if be.local {
			told = append(told, Observation{Target: target, Limit: be.limit, At: be.at})
		}
	}
	slices.SortFunc(told, func(a, b Observation) int { return strings.Compare(a.Target, b.Target) })
	return told
}

// Forget drops the beliefs in targets that are not there any more, and in limits that were lifted some time ago.
func (tr *Tracker) Prune(there func(target string) bool) {
	tr.mu.Lock()
	defer tr.mu.Unlock()
	now := tr.now()
	for target, be := range tr.records {
		lifted := !be.limit.Limited && now.Sub(be.at) > liftedRetention
		if lifted || now.Sub(be.at) > liftedRetention && !there(target) {
			tr.updateCount(be.limit, Limit{})
			delete(tr.records, target)
		}
	}
}
