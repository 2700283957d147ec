package reservation

import (
	"sync"
	"time"
)

// lease is what this process knows of how long one allocation is reserved. It is safe for concurrent use.
type lease struct {
	mu sync.Mutex
	// until is the end of the lease by the last order that succeeded: a target counts from the arrival of an order, which is later than its
	// sending.
	until time.Time
	// gapFrom and gapTo bound the latest time in which the lease may have been over until an order succeeded again. Both are zero before.
	gapFrom, gapTo time.Time
}

// renew records an order that succeeded at now.
func (ls *lease) renew(sentAt, now time.Time, duration time.Duration) {
	ls.mu.Lock()
	defer ls.mu.Unlock()
	// The order may have arrived at any time until now.
	if !ls.until.IsZero() && now.After(ls.until) {
		ls.gapFrom, ls.gapTo = ls.until, now
	}
	ls.until = sentAt.Add(duration)
}

// end records that a target refused a renewal that was sent at a time: it did not hold the memory any more.
func (ls *lease) end(sentAt time.Time) {
	ls.mu.Lock()
	defer ls.mu.Unlock()
	if sentAt.Before(ls.until) {
		ls.until = sentAt
	}
}

// heldAt reports whether the memory was certainly reserved at a time.
func (ls *lease) heldAt(at time.Time) bool {
	ls.mu.Lock()
	defer ls.mu.Unlock()
	inGap := !at.Before(ls.gapFrom) && !at.After(ls.gapTo)
	return at.Before(ls.until) && !inGap
}

// MayHaveLapsed returns a target at which the memory may not have been reserved any more at a time, and whether there is one. A target cuts
// the response of a request whose memory has lapsed.
func (rv *Reservation) MayHaveLapsed(at time.Time) (target string, lapsed bool) {
	for i := range rv.allocations {
		if !rv.renewals[i].lease.heldAt(at) {
			return rv.allocations[i].Target, true
		}
	}
	return "", false
}
