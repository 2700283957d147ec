// Package retrybudget bounds the retries of a fleet: for each service, over all instances and all their lives, those of any window stay
// within a ratio of the requests plus a floor.
//
// An account for each service gains the ratio with every request and holds no more than its capacity, so that the retries of a window
// exceed the ratio of its requests by the capacities at most. A new process begins with empty accounts: what an earlier one spent is not
// spent again. The capacities share out the floor. A small part of it belongs to the instances; the rest is reserved from a ledger when an
// account is empty, for a short time.
package retrybudget

import (
	"context"
	"math"
	"sync"
	"time"

	"github.com/apex/log"
	"github.com/cockroachdb/errors"

	"github.com/silvermount/silvermount/internal/retryledger"
)

const (
	// reserveTimeout bounds the wait for a reservation.
	reserveTimeout = 300 * time.Millisecond
	// releaseTimeout bounds the return of retries that were not used.
	releaseTimeout = time.Second
	// minBackOff and maxBackOff bound the time without reservations after one that failed.
	minBackOff = 100 * time.Millisecond
	maxBackOff = time.Second
	// minReservation is the least number of retries to reserve at once.
	minReservation = 4
)

// Source is where a retry was withdrawn from.
type Source string

// The sources. The zero value means that no retry was withdrawn.
const (
	// SourceOwn is an account of this instance.
	SourceOwn Source = "own"
	// SourceZone is an account that the instances of an availability zone share.
	SourceZone Source = "zone"
	// SourceLedger is a reservation that was made for this retry.
	SourceLedger Source = "ledger"
)

// Withdrawal is the result of a request for one retry, with the inputs of the decision.
type Withdrawal struct {
	// Source is empty if the retry was denied.
	Source Source
	// Balance is what the account of the instance holds after the decision, of at most Capacity.
	Balance, Capacity float64
	// Share is the part of Capacity that needs no reservation, Sharers the number of instances that the share was divided among.
	Share   float64
	Sharers int
	// Free is the number of retries that the ledger had left after the last reservation.
	Free int
	// Cause is why the ledger gave nothing; nil otherwise.
	Cause error
}

// Granted reports whether the retry was withdrawn.
func (wd Withdrawal) Granted() bool { return wd.Source != "" }

// ReserveFunc reserves up to n retries of a service.
type ReserveFunc func(ctx context.Context, service string, n int) (retryledger.Reservation, error)

// ReleaseFunc returns retries of a reservation that were not used.
type ReleaseFunc func(ctx context.Context, rs retryledger.Reservation, unused int) error

// BorrowFunc withdraws a retry from the account that the instances of an availability zone share. credit is the balance of this instance,
// which it hands over. It fails if the account's holder does not answer.
type BorrowFunc func(service string, credit float64) (bool, error)

// Options configures a Budget. All fields are required.
type Options struct {
	// Ratio is the number of retries that each request adds.
	Ratio   float64
	Reserve ReserveFunc
	Release ReleaseFunc
	// Spawn calls a function that may wait for the store, without waiting for its end.
	Spawn func(func())
	// Now returns the time of a monotonic clock.
	Now func() time.Time
	Log log.Interface
}

// Budget holds the accounts of one process. It is safe for concurrent use.
type Budget struct {
	opts Options

	mu sync.Mutex
	// share is the capacity of each account without reservations. sharers is the number of instances that it was divided among.
	share   float64
	sharers int
	// borrow is nil unless the instances of the availability zone share an account.
	borrow   BorrowFunc
	accounts map[string]*account
}

// New returns a budget without a share.
func New(o Options) *Budget { return &Budget{opts: o, accounts: map[string]*account{}} }

// SetShare sets the capacity that each account has without reservations, and the number of instances that it was divided among.
func (bd *Budget) SetShare(retries float64, sharers int) {
	bd.mu.Lock()
	defer bd.mu.Unlock()
	bd.share, bd.sharers = retries, sharers
	for _, ac := range bd.accounts {
		ac.balance = min(ac.balance, ac.capacity(bd.share))
	}
}

// SetBorrow sets the function that withdraws from the account of the availability zone; nil if there is none.
func (bd *Budget) SetBorrow(borrow BorrowFunc) {
	bd.mu.Lock()
	defer bd.mu.Unlock()
	bd.borrow = borrow
}

// Retain removes the accounts of all other services. If such a service is configured again, its account begins empty.
func (bd *Budget) Retain(services func(name string) bool) {
	bd.mu.Lock()
	defer bd.mu.Unlock()
	for name := range bd.accounts {
		if !services(name) {
			delete(bd.accounts, name)
		}
	}
}

// Deposit credits the account of a service for one request.
func (bd *Budget) Deposit(service string) { bd.Credit(service, bd.opts.Ratio) }

// Credit adds retries to the account of a service.
func (bd *Budget) Credit(service string, retries float64) {
	bd.mu.Lock()
	defer bd.mu.Unlock()
	ac := bd.account(service)
	bd.expire(ac, bd.opts.Now())
	ac.balance = min(ac.balance+retries, ac.capacity(bd.share))
}

// Available reports whether a retry may be granted, without withdrawing it.
func (bd *Budget) Available(service string) bool {
	bd.mu.Lock()
	defer bd.mu.Unlock()
	ac, now := bd.account(service), bd.opts.Now()
	bd.expire(ac, now)
	return ac.balance >= 1 || bd.borrow != nil || !now.Before(ac.deniedUntil)
}

// Withdraw withdraws a retry of a service: from the account of this instance, from that of its availability zone, or by a reservation. It
// may wait for a peer and for the store.
func (bd *Budget) Withdraw(service string) Withdrawal {
	if wd := bd.take(service, SourceOwn); wd.Granted() {
		return wd
	}
	borrow, credit := bd.handOver(service)
	if borrow == nil {
		return bd.reserve(service)
	}
	granted, err := borrow(service, credit)
	switch {
	case err != nil:
		// The holder may have been lost. The ledger does not need it.
		return bd.reserve(service)
	case granted:
		return Withdrawal{Source: SourceZone}
	}
	return Withdrawal{}
}

// handOver empties the account of this instance if there is one of its availability zone. It returns the function that withdraws from that,
// and the balance to hand over.
func (bd *Budget) handOver(service string) (BorrowFunc, float64) {
	bd.mu.Lock()
	defer bd.mu.Unlock()
	if bd.borrow == nil {
		return nil, 0
	}
	ac := bd.account(service)
	credit := ac.balance
	ac.balance = 0
	return bd.borrow, credit
}

// take withdraws a retry from the account of this instance.
func (bd *Budget) take(service string, from Source) Withdrawal {
	bd.mu.Lock()
	defer bd.mu.Unlock()
	return bd.takeLocked(bd.account(service), from)
}

// takeLocked is take for a caller that holds the lock.
func (bd *Budget) takeLocked(ac *account, from Source) Withdrawal {
	bd.expire(ac, bd.opts.Now())
	wd := Withdrawal{Balance: ac.balance, Capacity: ac.capacity(bd.share), Share: bd.share, Sharers: bd.sharers, Free: ac.free}
	if ac.balance < 1 {
		return wd
	}
	ac.balance--
	wd.Source, wd.Balance = from, ac.balance
	return wd
}

// reserve withdraws a retry after a reservation. Calls for one service wait for each other, and each tries the account first, so that
// failures of many requests at once need few reservations.
func (bd *Budget) reserve(service string) Withdrawal {
	ac := bd.join(service)
	ac.reserving.Lock()
	defer ac.reserving.Unlock()
	defer ac.waiting.Add(-1)
	wd := bd.take(service, SourceLedger)
	if wd.Granted() {
		return wd
	}
	if err := bd.reserveMore(service, ac, func() { wd = bd.takeLocked(ac, SourceLedger) }); err != nil {
		wd.Cause = err
	}
	return wd
}

// TryWithdraw withdraws a retry from an account without waiting. If that is empty, it begins a reservation, and reports whether it is worth
// trying again.
func (bd *Budget) TryWithdraw(service string) (granted, pending bool) {
	if bd.take(service, SourceOwn).Granted() {
		return true, false
	}
	ac := bd.join(service)
	if ac.reserving.TryLock() {
		bd.opts.Spawn(func() { bd.reserveForWaiting(service, ac) })
	}
	return false, bd.Available(service)
}

// reserveForWaiting makes one reservation for all calls of TryWithdraw that found the account empty. The caller has locked ac.reserving.
func (bd *Budget) reserveForWaiting(service string, ac *account) {
	defer ac.reserving.Unlock()
	_ = bd.reserveMore(service, ac, func() {}) // it is logged there
	ac.waiting.Store(0)
}

// join returns the account of a service after counting this call as waiting for a reservation.
func (bd *Budget) join(service string) *account {
	bd.mu.Lock()
	defer bd.mu.Unlock()
	ac := bd.account(service)
	ac.waiting.Add(1)
	return ac
}

// BackOffError means that no reservation was tried, because the last one failed.
type BackOffError struct{ Cause error }

// Error includes the cause of the last failure.
func (be *BackOffError) Error() string { return "no reservation is tried yet: " + be.Cause.Error() }

// Unwrap returns the cause of the last failure.
func (be *BackOffError) Unwrap() error { return be.Cause }

// reserveMore adds a reservation to an account, and then calls reserved with the lock held, so that no other call takes all of it first. The
// caller holds ac.reserving.
func (bd *Budget) reserveMore(service string, ac *account, reserved func()) error {
	n, err := bd.wanted(ac)
	if err != nil {
		return err
	}
	ctx, cancel := context.WithTimeout(context.Background(), reserveTimeout)
	defer cancel()
	rs, err := bd.opts.Reserve(ctx, service, n)
	now := bd.opts.Now()
	bd.mu.Lock()
	defer bd.mu.Unlock()
	if err != nil {
		ac.deniedUntil, ac.denial = now.Add(backOff(err, now)), err
		bd.opts.Log.WithError(err).WithField("service", service).Warn("cannot reserve retries")
		return err
	}
	ac.add(rs, bd.share)
	reserved()
	bd.opts.Log.WithFields(log.Fields{"service": service, "retries": rs.Retries, "free": rs.Free}).Info("retries reserved")
	return nil
}

// wanted returns the number of retries to reserve, or an error if it is too soon to try again.
func (bd *Budget) wanted(ac *account) (int, error) {
	bd.mu.Lock()
	defer bd.mu.Unlock()
	if bd.opts.Now().Before(ac.deniedUntil) {
		return 0, &BackOffError{Cause: ac.denial}
	}
	return ac.wanted(), nil
}

// backOff returns how long to reserve nothing after an error.
func backOff(err error, now time.Time) time.Duration {
	var ee *retryledger.ExhaustedError
	var ce *retryledger.ContentionError
	switch {
	case errors.As(err, &ee):
		return min(maxBackOff, max(minBackOff, ee.Until.Sub(now)))
	case errors.As(err, &ce):
		return minBackOff
	}
	return maxBackOff
}

// Expire ends the reservations whose validity is over, and returns what they did not use to the ledger. Call it regularly.
func (bd *Budget) Expire() {
	bd.mu.Lock()
	defer bd.mu.Unlock()
	now := bd.opts.Now()
	for _, ac := range bd.accounts {
		bd.expire(ac, now)
	}
}

// expire ends the reservations of an account whose validity is over. The caller holds the lock.
func (bd *Budget) expire(ac *account, now time.Time) {
	for len(ac.reservations) > 0 && !now.Before(ac.reservations[0].Until) {
		rs := ac.reservations[0]
		ac.reservations = ac.reservations[1:]
		lost := ac.balance - ac.capacity(bd.share)
		if lost <= 0 {
			continue
		}
		ac.balance -= lost
		if unused := min(rs.Retries, int(math.Floor(lost))); unused > 0 {
			bd.opts.Spawn(func() { bd.release(rs, unused) })
		}
	}
}

// release returns retries to the ledger. If that fails, they remain reserved until the reservation expires there.
func (bd *Budget) release(rs retryledger.Reservation, unused int) {
	ctx, cancel := context.WithTimeout(context.Background(), releaseTimeout)
	defer cancel()
	if err := bd.opts.Release(ctx, rs, unused); err != nil {
		bd.opts.Log.WithError(err).WithField("service", rs.Service).Warn("cannot return unused retries")
	}
}

// account returns the account of a service. The caller holds the lock.
func (bd *Budget) account(service string) *account {
	ac, ok := bd.accounts[service]
	if !ok {
		ac = &account{}
		bd.accounts[service] = ac
	}
	return ac
}
