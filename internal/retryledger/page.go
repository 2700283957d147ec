package retryledger

import (
	"encoding/json"
	"slices"
	"sync"
	"time"

	"github.com/cockroachdb/errors"

	"github.com/silvermount/silvermount/internal/objectstore"
)

// record is a page as it is stored.
type record struct {
	Reservations []entry `json:"reservations"`
}

// entry is a reservation in a page.
type entry struct {
	ID      string `json:"id"`
	Retries int    `json:"retries"`
}

// page is what this instance knows of the page of one service.
type page struct {
	service string

	// mu is held while the store is called, so that an instance never conflicts with itself.
	mu sync.Mutex
	// known is set while version and entries are those of the last answer of the store. version is zero if there is no page.
	known   bool
	version int64
	entries []entry
	readAt  time.Time
	// seenAt is when this instance first saw each entry.
	seenAt map[string]time.Time
	// own holds the entries of this instance.
	own map[string]bool
	// blockedUntil is when retries may be reserved again after the store has lost newer reservations.
	blockedUntil time.Time
}

// accept replaces what is known by the answer of the store. The caller holds the lock.
func (pg *page) accept(ob objectstore.Object, now time.Time, lm Limits) error {
	var rc record
	if len(ob.Value) > 0 {
		if err := json.Unmarshal(ob.Value, &rc); err != nil {
			return errors.Wrap(err, "decode page of service "+pg.service)
		}
	}
	if ob.Version < pg.version {
		// The store came back from an older copy.
		pg.blockedUntil = now.Add(lm.lifetime())
	}
	pg.known, pg.version, pg.entries, pg.readAt = true, ob.Version, rc.Reservations, now
	seenAt, own := map[string]time.Time{}, map[string]bool{}
	for _, en := range rc.Reservations {
		seenAt[en.ID] = now
		if at, ok := pg.seenAt[en.ID]; ok {
			seenAt[en.ID] = at
		}
		if pg.own[en.ID] {
			own[en.ID] = true
		}
	}
	pg.seenAt, pg.own = seenAt, own
	return nil
}

// unexpired returns a copy of the entries that may still count in a window. The caller holds the lock.
func (pg *page) unexpired(now time.Time, lm Limits) []entry {
	return slices.DeleteFunc(slices.Clone(pg.entries), func(en entry) bool { return now.Sub(pg.seenAt[en.ID]) >= lm.lifetime() })
}

// tidyDue reports whether this instance should remove expired entries: its own, or those that another instance has left for a second
// lifetime. The caller holds the lock.
func (pg *page) tidyDue(now time.Time, lm Limits) bool {
	return slices.ContainsFunc(pg.entries, func(en entry) bool {
		age := now.Sub(pg.seenAt[en.ID])
		return age >= 2*lm.lifetime() || pg.own[en.ID] && age >= lm.lifetime()
	})
}

// nextExpiry returns when the next entry expires or the page is no longer blocked. The caller holds the lock.
func (pg *page) nextExpiry(lm Limits) time.Time {
	next := pg.blockedUntil
	for _, en := range pg.entries {
		if at := pg.seenAt[en.ID].Add(lm.lifetime()); next.IsZero() || at.Before(next) {
			next = at
		}
	}
	return next
}

// withoutRetries returns the entries with fewer retries in one of them. It reports false if that one is not there.
func withoutRetries(es []entry, id string, retries int) ([]entry, bool) {
	idx := slices.IndexFunc(es, func(en entry) bool { return en.ID == id })
	if idx < 0 {
		return es, false
	}
	es[idx].Retries -= retries
	if es[idx].Retries <= 0 {
		return slices.Delete(es, idx, idx+1), true
	}
	return es, true
}

// sum returns the number of retries that the entries reserve.
func sum(es []entry) int {
	n := 0
	for _, en := range es {
		n += en.Retries
	}
	return n
}
