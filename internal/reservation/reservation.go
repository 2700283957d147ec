// Package reservation sets memory aside at several targets for one prompt, keeps it while the request runs, and gives
// it back whatever happens: what this process cannot give back lapses by itself soon after.
package reservation

import (
	"context"
	"strconv"
	"sync"
	"time"

	"github.com/apex/log"
	"github.com/cockroachdb/errors"

	"github.com/silvermount/silvermount/internal/answer"
	"github.com/silvermount/silvermount/internal/pending"
)

const (
	// renewals is how often memory is renewed within a hold: two tries may fail.
	renewalsPerLease = 3
)

// releaseAgain are the pauses after which an order is given back once more when an answer was lost: a lost order may
// still be carried out up to about twelve seconds later.
var releaseRetryDelays = []time.Duration{500 * time.Millisecond, 2 * time.Second, 4 * time.Second, 7 * time.Second}

// Place is memory wanted at one target.
type Allocation struct {
	// Target is the incarnation that is meant.
	Target string
	// Address is an IP address and port.
	Address string
	// Tokens is above zero.
	Tokens int64
}

// RefusedError says that a target has not enough free memory.
type RefusedError struct{ Address string }

// Error names the target.
func (re *RefusedError) Error() string { return "no memory free at " + re.Address }

// UnansweredError says that a target may have set memory aside or not: it took no connection, or gave no answer.
type UnansweredError struct {
	Address string
	Cause   error
}

// Error names the target and the cause.
func (ue *UnansweredError) Error() string {
	return "set memory aside at " + ue.Address + ": " + ue.Cause.Error()
}

// Unwrap returns the cause.
func (ue *UnansweredError) Unwrap() error { return ue.Cause }

// TakeError says that memory was not set aside at some of the places.
type AcquireError struct {
	// Causes are the failures, one for each place without memory, in the order of the places; it is not empty.
	Causes []error
}

// Error gives the first failure and their number.
func (ae *AcquireError) Error() string {
	return ae.Causes[0].Error() + ", places without memory: " + strconv.Itoa(len(ae.Causes))
}

// Unwrap returns the failures.
func (ae *AcquireError) Unwrap() []error { return ae.Causes }

// Keeper sets memory aside. It is safe for use by any goroutine.
type Manager struct {
	// Reserve sets memory aside or renews it; a RefusedError says that it surely did not. Seams of the adapter.
	Reserve func(ctx context.Context, address, id string, tokens int64, hold time.Duration, heard func(answer.Head)) error
	// Release gives memory back; it succeeds also when there is none.
	Release func(ctx context.Context, address, id string, heard func(answer.Head)) error
	// Heard is told of the head of each answer to an order; nil for nobody.
	OnAnswer func(pc Allocation, hd answer.Head)
	// NewID returns an id that is used once.
	NewID func() string
	// Present reports whether a target's process, by its incarnation, has not started again: memory at one that has is gone, and an
	// order for it would set memory aside at its successor, or give that one's back. nil for always.
	IsCurrent func(target string) bool
	// Timeout bounds one order.
	Timeout time.Duration
	// Hold is how long memory stays set aside after the last renewal.
	LeaseDuration time.Duration
	Log           log.Interface
	// releasing counts the orders that give memory back, up to their first end.
	releasing pending.Count
}

// Released waits until all memory that was released is given back at targets that answer. An instance that ends before would
// leave it set aside for nobody until it lapses.
func (mg *Manager) WaitReleased(ctx context.Context) error { return mg.releasing.Wait(ctx) }

// Reservation is memory set aside for one request.
type Reservation struct {
	manager *Manager
	id      string
	// lg names the request.
	lg           log.Interface
	allocations  []Allocation
	stopRenewals context.CancelFunc
	renewing     sync.WaitGroup
	// unsure holds the last renewal's error at each place, as a lost renewal may still be carried out. It is written by
	// the renewals only, and read once they have ended.
	renewalErrs []error
}

// ID names the reservation at each of its targets.
func (rv *Reservation) ID() string { return rv.id }

// Take sets memory aside at all places, or at none.
func (mg *Manager) Acquire(ctx context.Context, places []Allocation) (*Reservation, error) {
	rv := &Reservation{manager: mg, id: mg.NewID(), allocations: places, renewalErrs: make([]error, len(places))}
	rv.lg = mg.Log.WithField("reservation", rv.id).WithField("request", requestOf(ctx))
	errs := make([]error, len(places))
	var wg sync.WaitGroup
	for i, pc := range places {
		wg.Go(func() { errs[i] = mg.reserveOnce(ctx, pc, rv.id) })
	}
	wg.Wait()
	var causes []error
	for i, err := range errs {
		if err == nil {
			continue
		}
		causes = append(causes, err)
		rv.lg.WithField("address", places[i].Address).
			WithField("tokens", strconv.FormatInt(places[i].Tokens, 10)).WithField("cause", err.Error()).Info("memory not set aside")
	}
	if len(causes) > 0 {
		// The next plan must not find memory taken by this one: it would take a target with room for a full one.
		rv.releaseAll(errs).Wait()
		return nil, &AcquireError{Causes: causes}
	}
	ctx, rv.stopRenewals = context.WithCancel(context.WithoutCancel(ctx))
	rv.renewing.Go(func() { rv.renewPeriodically(ctx) })
	return rv, nil
}

func (mg *Manager) reserveOnce(ctx context.Context, pc Allocation, id string) error {
	ctx, cancel := context.WithTimeout(ctx, mg.Timeout)
	defer cancel()
	err := mg.Reserve(ctx, pc.Address, id, pc.Tokens, mg.LeaseDuration, mg.answerCallback(pc))
	var re *RefusedError
	if err == nil || errors.As(err, &re) {
		return err
	}
	return &UnansweredError{Address: pc.Address, Cause: err}
}

// keep renews until it is stopped.
func (rv *Reservation) renewPeriodically(ctx context.Context) {
	tick := time.NewTicker(rv.manager.LeaseDuration / renewalsPerLease)
	defer tick.Stop()
	for {
		select {
		case <-tick.C:
		case <-ctx.Done():
			return
		}
		// Not cut off by a release: an order that is given up may still be carried out.
		rv.renewAll(context.WithoutCancel(ctx))
	}
}

// renew asks at all places at once: one that is silent must not let the others lapse.
func (rv *Reservation) renewAll(ctx context.Context) {
	var wg sync.WaitGroup
	for i, pc := range rv.allocations {
		if !rv.manager.isCurrent(pc) {
			continue
		}
		wg.Go(func() {
			err := rv.manager.reserveOnce(ctx, pc, rv.id)
			if err != nil {
				rv.renewalErrs[i] = err
			}
			if err != nil && ctx.Err() == nil {
				rv.lg.WithField("address", pc.Address).WithField("cause", err.Error()).Warn("memory not renewed")
			}
		})
	}
	wg.Wait()
}

// Release ends the renewals and gives the memory back in the background.
func (rv *Reservation) Release() {
	rv.stopRenewals()
	begun := rv.manager.releasing.Begin()
	go func() {
		defer begun()
		// A renewal under way could set the memory aside once more.
		rv.renewing.Wait()
		rv.releaseAll(rv.renewalErrs)
	}()
}

// giveBack releases at every place that may hold memory, and returns a wait for the first tries at those that surely do. Those whose
// order had no answer are told again later.
func (rv *Reservation) releaseAll(asked []error) *sync.WaitGroup {
	var sure sync.WaitGroup
	for i, pc := range rv.allocations {
		var re *RefusedError
		if errors.As(asked[i], &re) {
			continue
		}
		released := rv.manager.releasing.Begin()
		if asked[i] != nil {
			go rv.releaseWithRetries(pc, true, released)
			continue
		}
		sure.Add(1)
		go rv.releaseWithRetries(pc, false, func() {
			released()
			sure.Done()
		})
	}
	return &sure
}

func (mg *Manager) isCurrent(pc Allocation) bool {
	return mg.IsCurrent == nil || mg.IsCurrent(pc.Target)
}

// release gives the memory at one place back, and calls released after the first try.
func (rv *Reservation) releaseWithRetries(pc Allocation, unsure bool, released func()) {
	if !rv.manager.isCurrent(pc) {
		released()
		rv.lg.WithField("address", pc.Address).Info("memory went with its target, which has started again")
		return
	}
	err := rv.manager.releaseOnce(pc, rv.id)
	released()
	for _, pause := range releaseRetryDelays {
		if err == nil && !unsure {
			return
		}
		time.Sleep(pause)
		if !rv.manager.isCurrent(pc) {
			return
		}
		err = rv.manager.releaseOnce(pc, rv.id)
	}
	if err != nil {
		rv.lg.WithField("address", pc.Address).WithField("cause", err.Error()).Warn("memory not given back; it lapses")
	}
}

func (mg *Manager) releaseOnce(pc Allocation, id string) error {
	ctx, cancel := context.WithTimeout(context.Background(), mg.Timeout)
	defer cancel()
	return errors.Wrap(mg.Release(ctx, pc.Address, id, mg.answerCallback(pc)), "give memory back")
}

// heard returns what is told of the head of an answer to an order at a place.
func (mg *Manager) answerCallback(pc Allocation) func(answer.Head) {
	return func(hd answer.Head) {
		if mg.OnAnswer != nil {
			mg.OnAnswer(pc, hd)
		}
	}
}
