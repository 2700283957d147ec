package dispatch

import (
	"context"
	"time"

	"github.com/cockroachdb/errors"

	"github.com/silvermount/silvermount/internal/reservation"
	"github.com/silvermount/silvermount/internal/targets"
)

const (
	// fullPeriod is how long a target that refused a memory reservation counts as full: about the time of one answer, within
	// which some of its requests end.
	fullPeriod = 500 * time.Millisecond
	// absentPeriod is the same for a target that another one reported as an absent helper, and for one that did not answer a
	// reservation: about the time until peers and the store report that it is gone.
	absentPeriod = 2 * time.Second
)

// markReservationFailures marks all targets as full that refused a memory reservation, or did not answer it although this
// process was running. All are marked at once, since every further plan that includes one of them would reserve memory at
// the others in vain. It reports whether the error is a failed reservation.
func (ds *Dispatcher) markReservationFailures(err error, tgs []targets.Target) bool {
	var ae *reservation.AcquireError
	if !errors.As(err, &ae) {
		return false
	}
	for _, cause := range ae.Causes {
		var re *reservation.RefusedError
		var ue *reservation.UnansweredError
		switch {
		case errors.As(cause, &re):
			ds.markAddressFull(re.Address, tgs, fullPeriod)
		case errors.As(cause, &ue) && !ue.ProcessPaused:
			ds.markAddressFull(ue.Address, tgs, absentPeriod)
		}
	}
	return true
}

func (ds *Dispatcher) markAddressFull(address string, tgs []targets.Target, span time.Duration) {
	for _, tg := range tgs {
		if tg.Address == address {
			ds.loadTable.markFull(tg.ID, ds.opts.Now().Add(span))
		}
	}
}

// reserveMemory reserves the memory of a slot's plan. The reservation at the main target is the first of the slot's helpers.
func (ds *Dispatcher) reserveMemory(ctx context.Context, sl *Slot, tgs []targets.Target) error {
	addressByID := map[string]string{}
	for _, tg := range tgs {
		addressByID[tg.ID] = tg.Address
	}
	als := make([]reservation.Allocation, 0, len(sl.plan.MemoryShares))
	for _, sh := range sl.plan.MemoryShares {
		als = append(als, reservation.Allocation{Target: sh.Target, Address: addressByID[sh.Target], Tokens: sh.Tokens})
	}
	rv, err := ds.reservations.Acquire(ctx, als)
	if err != nil {
		return err
	}
	sl.reservation = rv
	sl.Helpers = nil
	for _, sh := range sl.plan.MemoryShares {
		sl.Helpers = append(sl.Helpers, Helper{ID: sh.Target, Address: addressByID[sh.Target], Reservation: rv.ID()})
	}
	return nil
}
