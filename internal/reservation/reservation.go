// Package reservation reserves memory at several targets for one prompt, renews the reservation while the request runs,
// and releases it afterwards. A reservation is a lease: memory that this process cannot release expires on its own soon
// after the last renewal.
//
// An order is a call to a target that reserves, renews or releases memory.
package reservation

import (
	"context"
	"strconv"
	"sync"
	"sync/atomic"
	"time"

	"github.com/apex/log"
	"github.com/cockroachdb/errors"

	"github.com/silvermount/silvermount/internal/inflight"
	"github.com/silvermount/silvermount/internal/responsehead"
)

const (
	// renewalsPerLease is the number of renewals within one lease duration. Two of them may fail without losing the lease.
	renewalsPerLease = 3
)

// releaseRetryDelays are the delays between repeated releases after an order without an answer. A target may still carry
// out such an order up to about 12 s later.
var releaseRetryDelays = []time.Duration{500 * time.Millisecond, 2 * time.Second, 4 * time.Second, 7 * time.Second}

// Allocation is memory to reserve at one target.
type Allocation struct {
	// Target is the incarnation of the target.
	Target string
	// Address is an IP address and port.
	Address string
	// Tokens is the amount of memory; it is above 0.
	Tokens int64
}

// RefusedError is returned when a target refuses a reservation for lack of free memory.
type RefusedError struct{ Address string }

// Error includes the address of the target.
func (re *RefusedError) Error() string { return "not enough free memory at " + re.Address }

// UnansweredError is returned when it is unknown whether a target has reserved memory, because it did not accept a
// connection or did not answer.
type UnansweredError struct {
	Address string
	Cause   error
	// ProcessPaused is set when this process was paused while it waited. The missing answer is then no evidence against the target.
	ProcessPaused bool
}

// Error includes the address of the target and the cause.
func (ue *UnansweredError) Error() string {
	return "reserve memory at " + ue.Address + ": " + ue.Cause.Error()
}

// Unwrap returns the cause.
func (ue *UnansweredError) Unwrap() error { return ue.Cause }

// AcquireError is returned when some of the allocations of a reservation failed.
type AcquireError struct {
	// Causes holds one error for each failed allocation, in the order of the allocations. It is not empty.
	Causes []error
}

// Error includes the first cause and the number of causes.
func (ae *AcquireError) Error() string {
	return ae.Causes[0].Error() + ", failed allocations: " + strconv.Itoa(len(ae.Causes))
}

// Unwrap returns the causes.
func (ae *AcquireError) Unwrap() []error { return ae.Causes }

// Manager acquires, renews and releases reservations. It is safe for concurrent use.
type Manager struct {
	// Reserve reserves or renews memory for the duration of a lease. After a RefusedError the order was certainly not
	// carried out; after any other error this is unknown. The adapter provides Reserve and Release.
	Reserve func(ctx context.Context, address, id string, tokens int64, leaseDuration time.Duration, onAnswer func(responsehead.Head)) error
	// Release releases memory. It also succeeds when none is reserved.
	Release func(ctx context.Context, address, id string, onAnswer func(responsehead.Head)) error
	// OnAnswer is called with the head of each answer to an order. It may be nil.
	OnAnswer func(al Allocation, hd responsehead.Head)
	// OnUnanswered is called with each order that got no answer although this process was running and nobody cancelled it. sentAt is
	// when it was sent. It may be nil.
	OnUnanswered func(al Allocation, sentAt time.Time, ue *UnansweredError)
	// NewID returns a unique ID.
	NewID func() string
	// IsCurrent reports whether an incarnation of a target has not been superseded by a restart. A restart frees the
	// memory, and a further order would reserve or release memory of the next incarnation. If it is nil, all incarnations
	// are current.
	IsCurrent func(target string) bool
	// Timeout is the timeout of one order.
	Timeout time.Duration
	// Paused returns the total time for which this process was paused so far. If it is nil, pauses are not known.
	Paused func() time.Duration
	// LeaseDuration is the time from the last renewal until reserved memory expires.
	LeaseDuration time.Duration
	Log           log.Interface
	// releasing counts the releases in progress. Retries are not counted.
	releasing inflight.Counter
}

// WaitReleased waits until the targets that answer have released all memory for which Release was called. If an instance
// exits before that, the memory stays reserved without use until it expires.
func (mg *Manager) WaitReleased(ctx context.Context) error { return mg.releasing.Wait(ctx) }

// Reservation is memory that is reserved for one request.
type Reservation struct {
	manager *Manager
	id      string
	// lg includes the ID of the reservation and of the request in each line.
	lg           log.Interface
	allocations  []Allocation
	stopRenewals context.CancelFunc
	// renewals holds the renewals of each allocation, in the order of the allocations.
	renewals []renewal
}

// renewal holds the renewals of one allocation. Each allocation is renewed by itself, so that a target that does not answer delays
// neither the renewals nor the release at the others.
type renewal struct {
	running sync.WaitGroup
	// err is the last error of a renewal, since a target may still carry out a renewal without an answer. It is written only by
	// the renewals and read only after they have ended.
	err error
	// lease is updated by each order that succeeds.
	lease lease
}

// ID returns the ID of the reservation at each of its targets.
func (rv *Reservation) ID() string { return rv.id }

// Acquire reserves memory for all allocations, or for none.
func (mg *Manager) Acquire(ctx context.Context, als []Allocation) (*Reservation, error) {
	rv := &Reservation{manager: mg, id: mg.NewID(), allocations: als, renewals: make([]renewal, len(als))}
	rv.lg = mg.Log.WithField("reservation", rv.id).WithField("request", requestIDOf(ctx))
	errs := make([]error, len(als))
	var wg sync.WaitGroup
	for i, al := range als {
		wg.Go(func() { errs[i] = rv.reserve(ctx, al, &rv.renewals[i]) })
	}
	wg.Wait()
	var causes []error
	for i, err := range errs {
		if err == nil {
			continue
		}
		causes = append(causes, err)
		rv.lg.WithField("address", als[i].Address).
			WithField("tokens", strconv.FormatInt(als[i].Tokens, 10)).WithField("cause", err.Error()).Info("memory reservation failed")
	}
	if len(causes) > 0 {
		// The next plan must not find this memory still in use, or it would take a target with free memory for a full one.
		rv.releaseAll(errs)
		return nil, &AcquireError{Causes: causes}
	}
	ctx, rv.stopRenewals = context.WithCancel(context.WithoutCancel(ctx))
	for i, al := range als {
		rv.renewals[i].running.Go(func() { rv.renewPeriodically(ctx, al, &rv.renewals[i]) })
	}
	return rv, nil
}

// reserve reserves or renews memory at one target, and records for how long it is reserved.
func (rv *Reservation) reserve(ctx context.Context, al Allocation, rn *renewal) error {
	sentAt := time.Now()
	err := rv.manager.reserveOnce(ctx, al, rv.id)
	var re *RefusedError
	switch {
	case err == nil:
		rn.lease.renew(sentAt, time.Now(), rv.manager.LeaseDuration)
	case errors.As(err, &re):
		rn.lease.end(sentAt)
	}
	return err
}

// reserveOnce reserves or renews memory at one target.
func (mg *Manager) reserveOnce(ctx context.Context, al Allocation, id string) error {
	ue := mg.send(ctx, al, func(ctx context.Context, onAnswer func(responsehead.Head)) error {
		return mg.Reserve(ctx, al.Address, id, al.Tokens, mg.LeaseDuration, onAnswer)
	})
	var re *RefusedError
	switch {
	case ue == nil:
		return nil
	case errors.As(ue.Cause, &re):
		return ue.Cause
	default:
		return ue
	}
}

// send sends one order and bounds it by the timeout. It returns nil after a success, and reports an order without an answer.
func (mg *Manager) send(ctx context.Context, al Allocation, order func(ctx context.Context, onAnswer func(responsehead.Head)) error) *UnansweredError {
	orderCtx, cancel := context.WithTimeout(ctx, mg.Timeout)
	defer cancel()
	sentAt, pausedBefore := time.Now(), mg.paused()
	var answered atomic.Bool
	err := order(orderCtx, func(hd responsehead.Head) {
		answered.Store(true)
		if mg.OnAnswer != nil {
			mg.OnAnswer(al, hd)
		}
	})
	if err == nil {
		return nil
	}
	ue := &UnansweredError{Address: al.Address, Cause: err, ProcessPaused: mg.paused() > pausedBefore}
	var re *RefusedError
	if !errors.As(err, &re) && !answered.Load() && ctx.Err() == nil && !ue.ProcessPaused && mg.OnUnanswered != nil {
		mg.OnUnanswered(al, sentAt, ue)
	}
	return ue
}

func (mg *Manager) paused() time.Duration {
	if mg.Paused == nil {
		return 0
	}
	return mg.Paused()
}

// renewPeriodically renews one allocation until ctx ends.
func (rv *Reservation) renewPeriodically(ctx context.Context, al Allocation, rn *renewal) {
	tick := time.NewTicker(rv.manager.LeaseDuration / renewalsPerLease)
	defer tick.Stop()
	for {
		select {
		case <-tick.C:
		case <-ctx.Done():
			return
		}
		if !rv.manager.isCurrent(al) {
			continue
		}
		// A release does not cancel the renewal, because the target may still carry out a cancelled order.
		if err := rv.reserve(context.WithoutCancel(ctx), al, rn); err != nil {
			rn.err = err
			rv.lg.WithField("address", al.Address).WithField("cause", err.Error()).Warn("memory reservation not renewed")
		}
	}
}

// Release stops the renewals and releases the memory in the background, at each target as soon as no renewal is in progress there.
func (rv *Reservation) Release() {
	rv.stopRenewals()
	for i, al := range rv.allocations {
		ended := rv.manager.releasing.Begin()
		go func() {
			defer ended()
			// A renewal in progress could reserve the memory again after its release.
			rv.renewals[i].running.Wait()
			rv.release(al, rv.renewals[i].err, func() {})
		}()
	}
}

// releaseAll releases every allocation that may hold memory, given the error of the last order for each. It waits for the first release
// of those that certainly hold memory.
func (rv *Reservation) releaseAll(lastErrs []error) {
	var firstReleases sync.WaitGroup
	for i, al := range rv.allocations {
		done := func() {}
		if lastErrs[i] == nil {
			firstReleases.Add(1)
			done = firstReleases.Done
		}
		rv.release(al, lastErrs[i], done)
	}
	firstReleases.Wait()
}

// release releases an allocation in the background unless its last order was refused, given the error of that order. Releases are
// repeated for orders without an answer. done is called after the first release.
func (rv *Reservation) release(al Allocation, lastErr error, done func()) {
	var re *RefusedError
	if errors.As(lastErr, &re) {
		done()
		return
	}
	released := rv.manager.releasing.Begin()
	go rv.releaseWithRetries(al, lastErr != nil, func() {
		released()
		done()
	})
}

func (mg *Manager) isCurrent(al Allocation) bool {
	return mg.IsCurrent == nil || mg.IsCurrent(al.Target)
}

// releaseWithRetries releases one allocation, and calls released after the first attempt. If uncertain is set, it repeats
// even a successful release, since an earlier order without an answer may still reserve the memory.
func (rv *Reservation) releaseWithRetries(al Allocation, uncertain bool, released func()) {
	if !rv.manager.isCurrent(al) {
		released()
		rv.lg.WithField("address", al.Address).Info("memory reservation gone: target has restarted")
		return
	}
	err := rv.manager.releaseOnce(al, rv.id)
	released()
	for _, delay := range releaseRetryDelays {
		if err == nil && !uncertain {
			return
		}
		time.Sleep(delay)
		if !rv.manager.isCurrent(al) {
			return
		}
		err = rv.manager.releaseOnce(al, rv.id)
	}
	if err != nil {
		rv.lg.WithField("address", al.Address).WithField("cause", err.Error()).Warn("memory reservation not released; it expires on its own")
	}
}

func (mg *Manager) releaseOnce(al Allocation, id string) error {
	ue := mg.send(context.Background(), al, func(ctx context.Context, onAnswer func(responsehead.Head)) error {
		return mg.Release(ctx, al.Address, id, onAnswer)
	})
	if ue == nil {
		return nil
	}
	return errors.Wrap(ue.Cause, "release memory")
}
