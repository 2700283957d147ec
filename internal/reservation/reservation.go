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
	renewing     sync.WaitGroup
	// renewalErrs holds the last error of a renewal for each allocation, since a target may still carry out a renewal
	// without an answer. It is written only by the renewals and read only after they have ended.
	renewalErrs []error
}

// ID returns the ID of the reservation at each of its targets.
func (rv *Reservation) ID() string { return rv.id }

// Acquire reserves memory for all allocations, or for none.
func (mg *Manager) Acquire(ctx context.Context, als []Allocation) (*Reservation, error) {
	rv := &Reservation{manager: mg, id: mg.NewID(), allocations: als, renewalErrs: make([]error, len(als))}
	rv.lg = mg.Log.WithField("reservation", rv.id).WithField("request", requestIDOf(ctx))
	errs := make([]error, len(als))
	var wg sync.WaitGroup
	for i, al := range als {
		wg.Go(func() { errs[i] = mg.reserveOnce(ctx, al, rv.id) })
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
		rv.releaseAll(errs).Wait()
		return nil, &AcquireError{Causes: causes}
	}
	ctx, rv.stopRenewals = context.WithCancel(context.WithoutCancel(ctx))
	rv.renewing.Go(func() { rv.renewPeriodically(ctx) })
	return rv, nil
}

func (mg *Manager) reserveOnce(ctx context.Context, al Allocation, id string) error {
	ctx, cancel := context.WithTimeout(ctx, mg.Timeout)
	defer cancel()
	pausedBefore := mg.paused()
	err := mg.Reserve(ctx, al.Address, id, al.Tokens, mg.LeaseDuration, mg.answerCallback(al))
	var re *RefusedError
	if err == nil || errors.As(err, &re) {
		return err
	}
	return &UnansweredError{Address: al.Address, Cause: err, ProcessPaused: mg.paused() > pausedBefore}
}

func (mg *Manager) paused() time.Duration {
	if mg.Paused == nil {
		return 0
	}
	return mg.Paused()
}

// renewPeriodically renews the reservation until ctx ends.
func (rv *Reservation) renewPeriodically(ctx context.Context) {
	tick := time.NewTicker(rv.manager.LeaseDuration / renewalsPerLease)
	defer tick.Stop()
	for {
		select {
		case <-tick.C:
		case <-ctx.Done():
			return
		}
		// A release does not cancel the renewal, because the target may still carry out a cancelled order.
		rv.renewAll(context.WithoutCancel(ctx))
	}
}

// renewAll renews all allocations concurrently, so that a target that does not answer does not let the others expire.
func (rv *Reservation) renewAll(ctx context.Context) {
	var wg sync.WaitGroup
	for i, al := range rv.allocations {
		if !rv.manager.isCurrent(al) {
			continue
		}
		wg.Go(func() {
			err := rv.manager.reserveOnce(ctx, al, rv.id)
			if err != nil {
				rv.renewalErrs[i] = err
			}
			if err != nil && ctx.Err() == nil {
				rv.lg.WithField("address", al.Address).WithField("cause", err.Error()).Warn("memory reservation not renewed")
			}
		})
	}
	wg.Wait()
}

// Release stops the renewals and releases the memory in the background.
func (rv *Reservation) Release() {
	rv.stopRenewals()
	ended := rv.manager.releasing.Begin()
	go func() {
		defer ended()
		// A renewal in progress could reserve the memory again after its release.
		rv.renewing.Wait()
		rv.releaseAll(rv.renewalErrs)
	}()
}

// releaseAll releases every allocation that may hold memory, given the error of the last order for each. It returns a wait
// group for the first release of those that certainly hold memory. Releases are repeated for orders without an answer.
func (rv *Reservation) releaseAll(lastErrs []error) *sync.WaitGroup {
	var firstReleases sync.WaitGroup
	for i, al := range rv.allocations {
		var re *RefusedError
		if errors.As(lastErrs[i], &re) {
			continue
		}
		released := rv.manager.releasing.Begin()
		if lastErrs[i] != nil {
			go rv.releaseWithRetries(al, true, released)
			continue
		}
		firstReleases.Add(1)
		go rv.releaseWithRetries(al, false, func() {
			released()
			firstReleases.Done()
		})
	}
	return &firstReleases
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
	ctx, cancel := context.WithTimeout(context.Background(), mg.Timeout)
	defer cancel()
	return errors.Wrap(mg.Release(ctx, al.Address, id, mg.answerCallback(al)), "release memory")
}

// answerCallback returns a function that passes the head of an answer for an allocation to OnAnswer.
func (mg *Manager) answerCallback(al Allocation) func(responsehead.Head) {
	return func(hd responsehead.Head) {
		if mg.OnAnswer != nil {
			mg.OnAnswer(al, hd)
		}
	}
}
