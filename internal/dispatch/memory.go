package dispatch

import (
	"context"
	"time"

	"github.com/cockroachdb/errors"

	"github.com/silvermount/silvermount/internal/reservation"
	"github.com/silvermount/silvermount/internal/targets"
)

const (
	// fullFor is how long a target that refused to set memory aside counts as full: about an answer's time, in which
	// some of its requests end.
	fullPeriod = 500 * time.Millisecond
	// absentFor is the same for a target that another one named as an absent helper, and for one that gave no answer to
	// an order: about the time in which peers and the store tell that it is gone.
	absentPeriod = 2 * time.Second
)

// avoid leaves the targets out for a while that refused or did not answer an order for memory: all of them, since each
// further plan that names one of them sets memory aside elsewhere for nobody. It reports whether there are any.
func (ds *Dispatcher) markReservationFailures(err error, tgs []targets.Target) bool {
	var te *reservation.TakeError
	if !errors.As(err, &te) {
		return false
	}
	for _, cause := range te.Causes {
		var re *reservation.RefusedError
		var ue *reservation.UnansweredError
		switch {
		case errors.As(cause, &re):
			ds.markFull(re.Address, tgs, fullPeriod)
		case errors.As(cause, &ue):
			ds.markFull(ue.Address, tgs, absentPeriod)
		}
	}
	return true
}

func (ds *Dispatcher) markFull(address string, tgs []targets.Target, span time.Duration) {
	for _, tg := range tgs {
		if tg.Address == address {
			ds.loads.markFull(tg.ID, ds.opts.Now().Add(span))
		}
	}
}

// reserve sets aside the memory of a plan. The main target's own reservation comes first among the helpers.
func (ds *Dispatcher) reserveMemory(ctx context.Context, sl *Slot, tgs []targets.Target) error {
	address := map[string]string{}
	for _, tg := range tgs {
		address[tg.ID] = tg.Address
	}
	places := make([]reservation.Place, 0, len(sl.plan.Reserve))
	for _, sh := range sl.plan.Reserve {
		places = append(places, reservation.Place{Target: sh.Target, Address: address[sh.Target], Tokens: sh.Tokens})
	}
	rv, err := ds.keeper.Take(ctx, places)
	if err != nil {
		return err
	}
	sl.reservation = rv
	sl.Helpers = nil
	for _, sh := range sl.plan.Reserve {
		sl.Helpers = append(sl.Helpers, Helper{ID: sh.Target, Address: address[sh.Target], Reservation: rv.ID()})
	}
	return nil
}
