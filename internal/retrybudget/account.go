package retrybudget

import (
	"sync"
	"sync/atomic"
	"time"

	"github.com/silvermount/silvermount/internal/retryledger"
)

// account holds the retries of one service.
type account struct {
	// balance is between zero and the capacity.
	balance float64
	// reservations add to the capacity until their validity ends, in that order.
	reservations []retryledger.Reservation
	// free is the number of retries that the ledger had left after the last reservation.
	free int
	// lastReserved is the size of the last reservation.
	lastReserved int
	// deniedUntil is when a reservation may be tried again after denial, the last failure.
	deniedUntil time.Time
	denial      error

	// reserving is held during a reservation, and waiting counts the calls that need one.
	reserving sync.Mutex
	waiting   atomic.Int64
}

// capacity returns the maximum balance.
func (ac *account) capacity(share float64) float64 {
	for _, rs := range ac.reservations {
		share += float64(rs.Retries)
	}
	return share
}

// add adds a reservation to the account.
func (ac *account) add(rs retryledger.Reservation, share float64) {
	ac.reservations = append(ac.reservations, rs)
	ac.balance = min(ac.balance+float64(rs.Retries), ac.capacity(share))
	ac.free, ac.lastReserved = rs.Free, rs.Retries
}

// wanted returns the number of retries to reserve: enough for all who wait, and twice as many as last time if those were used up before
// they expired.
func (ac *account) wanted() int {
	n := max(minReservation, int(ac.waiting.Load()))
	if len(ac.reservations) > 0 {
		n = max(n, 2*ac.lastReserved)
	}
	return n
}
