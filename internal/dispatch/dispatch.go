// Package dispatch chooses the target of each request from what this instance and its peers have in flight.
package dispatch

import (
	"context"
	"sync/atomic"
	"time"

	"github.com/cespare/xxhash/v2"
	"github.com/cockroachdb/errors"

	"github.com/silvermount/silvermount/internal/backoff"
	"github.com/silvermount/silvermount/internal/failure"
	"github.com/silvermount/silvermount/internal/permit"
	"github.com/silvermount/silvermount/internal/placement"
	"github.com/silvermount/silvermount/internal/reservation"
	"github.com/silvermount/silvermount/internal/routes"
	"github.com/silvermount/silvermount/internal/targets"
)

// Ask is a request that needs a target.
type Ask struct {
	// Request is the caller's id; it breaks ties.
	Request string
	Service routes.Service
	// Avoid are incarnations that are not to be chosen.
	Avoid []string
	// PromptTokens, MostAnswer and AnswerHint are zero when not known.
	PromptTokens, MostAnswer, AnswerHint int
	// Events is how many events of the answer were passed on already.
	Events int
	// Objective and LongestPause are the route's; zero when it has none.
	Objective, LongestPause time.Duration
	// Patience is how long the caller waits without an event; zero is no bound.
	Patience          time.Duration
	Arrived, Deadline time.Time
	// Priority is the organisation's or the route's rank, zero first.
	Priority int
	// Resumed is set when the answer goes on after some event.
	Resumed bool
	// Caution is how sure the request must be of its target.
	Caution targets.Caution
	// Allowed returns why the request may not be sent any more, and is asked at each look for a target: what allowed it when
	// it came may be taken away while it waits. It is nil when nothing can be.
	Allowed func() error
	// Spare is set when the request can go to another target should this one turn it away, and Retried when one did.
	Spare, Retried bool
	// probe is set when the request may go to a target that is on trial after a back-off.
	probe bool
	// permitted is the target whose permit the request holds; empty for none.
	permitted string
	// refusals counts the permits that it was refused.
	refusals int
}

// Helper is a target that reads a part of the prompt.
type Helper struct {
	ID, Address string
	// Reservation names memory set aside there; empty when none is.
	Reservation string
}

// Dispatcher chooses targets. Its methods may be called by any goroutine.
type Dispatcher struct {
	targets *targets.Directory
	keeper  *reservation.Keeper
	opts    Options
	book    *book
	lag     atomic.Pointer[func() time.Duration]
	// end is when this instance ends; nil until it is asked to stop.
	end atomic.Pointer[time.Time]
	// arriving is what arrives at this instance; the book's lock guards it.
	arriving demand
}

// Options are the settings and seams of a Dispatcher.
type Options struct {
	// Instance and AvailabilityZone are this instance's own.
	Instance, AvailabilityZone string
	// Now is the steady clock.
	Now func() time.Time
	// Changed is told when what this instance has in flight changes.
	Changed func()
	// Permits is asked before a request goes to a target that names a rate limit; nil lets all go.
	Permits *permit.Client
	// BackOffs is which targets want no requests of this instance; nil for none.
	BackOffs *backoff.Tracker
	// Waits is told of each request that waits for the end of a target's back-off; it may be nil.
	Waits func(request string, tg targets.Target, wait time.Duration)
	// TurnedElsewhere is told of each request that was not let to a target; it may be nil.
	TurnedElsewhere func(request string, tg targets.Target, again time.Duration)
}

// New returns a dispatcher.
func New(dr *targets.Directory, kp *reservation.Keeper, op Options) *Dispatcher {
	return &Dispatcher{targets: dr, keeper: kp, opts: op, book: newBook()}
}

// Own returns what this instance has in flight, by incarnation.
func (ds *Dispatcher) Own() map[string]placement.Load { return ds.book.ownLoads() }

// Heard takes what a peer has in flight; nil forgets the peer.
func (ds *Dispatcher) Heard(peer string, loads map[string]placement.Load) {
	ds.book.setPeer(peer, loads)
}

const (
	// waitStep is how often a request without room looks again when nothing wakes it: a few passes of an engine.
	waitStep = 20 * time.Millisecond
	// waitShare is the share of the objective for which a request waits for room before it is refused.
	waitShare = 0.8
	// comeBack is when a caller should come back after a refusal for lack of room: a few passes of an engine.
	comeBack = 300 * time.Millisecond
)

// Acquire chooses a target and books the request there. A short prompt without room waits for a part of its objective, a
// longer one for as long as it can still be answered.
// Release must be called on the slot.
func (ds *Dispatcher) Acquire(ctx context.Context, as Ask) (*Slot, error) {
	patience := as.soon()
	if as.long() || as.Resumed {
		patience = as.Deadline
	}
	as.probe = as.probes()
	ds.arrive(as)
	for {
		woken := ds.book.woken()
		if as.Allowed != nil {
			if err := as.Allowed(); err != nil {
				return nil, err
			}
		}
		sl, ok, err := ds.try(ctx, as)
		var ne *noPermitError
		if errors.As(err, &ne) {
			as.refusals++
			continue
		}
		if err != nil {
			return nil, err
		}
		if ok {
			ds.targets.RecordDispatch(sl.Target.ID)
			return sl, nil
		}
		as, ok, err = ds.turn(ctx, as)
		if err != nil {
			return nil, err
		}
		if ok {
			continue
		}
		// A probe goes out at once or not at all.
		as.Caution = max(as.Caution, targets.RequireReachable)
		if ds.opts.Now().After(patience) {
			return nil, failure.New(failure.Overloaded, failure.NotRun, "no target has room").WithRetryAfter(comeBack)
		}
		ds.pause(ctx, as, woken)
		if ctx.Err() != nil {
			return nil, ctx.Err()
		}
	}
}

// soon is until when a request waits whose answer would else be late.
func (as Ask) soon() time.Time {
	return as.Arrived.Add(time.Duration(waitShare * float64(as.Objective)))
}

// patience is until when a request waits for a target that takes requests again. One whose caller reads already goes on as long as it can.
func (as Ask) patience() time.Time {
	if as.Resumed {
		return as.Deadline
	}
	return as.soon()
}

// arrive notes a prompt that arrives.
func (ds *Dispatcher) arrive(as Ask) {
	if as.Service.Engine == nil || as.PromptTokens == 0 || as.Resumed {
		return
	}
	pr := ds.prompt(as)
	ds.book.mu.Lock()
	ds.arriving.observe(pr, !as.long())
	ds.book.mu.Unlock()
}

// pause waits until it is time to look for room again. Long prompts of several instances wait for the same room: they
// look at different moments, the pressed ones more often, so that the first is known to the others before they look.
func (ds *Dispatcher) pause(ctx context.Context, as Ask, woken <-chan struct{}) {
	step := waitStep
	if as.long() {
		woken = nil
		left := as.Objective - ds.opts.Now().Sub(as.Arrived)
		step = time.Duration((minSpread + fraction(as.Request, ds.opts.Now().String())) * float64(min(spreadMost, max(waitStep, left/spreadShare))))
	}
	timer := time.NewTimer(step)
	defer timer.Stop()
	select {
	case <-woken:
	case <-timer.C:
	case <-ctx.Done():
	}
}

const (
	// spreadMost is the longest time over which the next looks of long prompts are spread: ten times what it takes
	// until peers know of a choice.
	spreadMost = 60 * time.Millisecond
	// spreadShare is how many looks fit into the time that is left.
	spreadShare = 20
	// minSpread keeps two looks apart.
	minSpread = 0.1
)

// try makes one choice. It reports false when there is no room now.
func (ds *Dispatcher) try(ctx context.Context, as Ask) (*Slot, bool, error) {
	tgs := ds.usable(as)
	if len(tgs) == 0 {
		return nil, false, failure.New(failure.NoTarget, failure.NotRun, "no target of the service takes work").
			WithRetryAfter(ds.ReturnAfter(as.Service.Name))
	}
	if as.Service.Engine != nil && as.PromptTokens > 0 {
		return ds.place(ctx, as, tgs)
	}
	sl := ds.leastBusy(as, tgs)
	if sl == nil {
		return nil, false, nil
	}
	if err := ds.permit(ctx, as, sl); err != nil {
		return nil, false, err
	}
	return sl, true, nil
}

// usable returns the service's targets without those to avoid.
func (ds *Dispatcher) usable(as Ask) []targets.Target {
	left := ds.allowed(as, as.caution())
	if len(left) == 0 {
		left = ds.allowed(as, targets.RequireReachable)
	}
	return left
}

func (ds *Dispatcher) allowed(as Ask, ca targets.Caution) []targets.Target {
	all := ds.targets.Usable(as.Service.Name, ca)
	left := make([]targets.Target, 0, len(all))
	for _, tg := range all {
		if !contains(as.Avoid, tg.ID) {
			left = append(left, tg)
		}
	}
	return left
}

// caution is the request's own, but for longer prompts: one that takes several targets is no probe.
func (as Ask) caution() targets.Caution {
	if as.long() {
		return max(as.Caution, targets.RequireReachable)
	}
	return as.Caution
}

func contains(ids []string, id string) bool {
	for _, have := range ids {
		if have == id {
			return true
		}
	}
	return false
}

// leastBusy chooses the target of a plain service with the fewest requests in flight, near ones first. It returns nil when all are closed.
func (ds *Dispatcher) leastBusy(as Ask, tgs []targets.Target) *Slot {
	ds.book.mu.Lock()
	defer ds.book.mu.Unlock()
	best, bestCost := -1, 0.0
	for i, tg := range tgs {
		if _, _, closed := ds.closed(as, tg.ID); closed {
			continue
		}
		cost := float64(ds.book.total(tg.ID).Writers) / float64(max(1, tg.Slots))
		if tg.AvailabilityZone != ds.opts.AvailabilityZone {
			cost += farCost
		}
		cost += tieCost * fraction(as.Request, ds.opts.Instance, tg.ID)
		if best < 0 || cost < bestCost {
			best, bestCost = i, cost
		}
	}
	if best < 0 {
		return nil
	}
	sl := &Slot{ds: ds, Target: tgs[best], Candidates: len(tgs), At: ds.opts.Now(), Priority: -1}
	sl.book(tgs[best].ID, placement.Load{Writers: 1})
	ds.tried(tgs[best].ID)
	return sl
}

const (
	// farCost is what another availability zone counts, in shares of a target's slots: one more request at the near
	// target outweighs it.
	farCost = 0.1
	// tieCost spreads equal targets and stays below one request.
	tieCost = 0.05
)

// fraction is a number in [0, 1) that differs by request, instance and target.
func fraction(parts ...string) float64 {
	var h xxhash.Digest
	h.Reset()
	for _, p := range parts {
		// A hash takes every write.
		_, _ = h.WriteString(p)
	}
	return float64(h.Sum64()>>11) / (1 << 53)
}
