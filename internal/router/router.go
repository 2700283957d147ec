// Package router chooses a target for each request according to the routing policy, and queues requests for which no target
// has room.
package router

import (
	"context"
	"math/rand/v2"
	"sync"
	"sync/atomic"
	"time"

	"github.com/cespare/xxhash/v2"
	"github.com/cockroachdb/errors"

	"github.com/silvermount/silvermount/internal/failure"
	"github.com/silvermount/silvermount/internal/fleet"
	"github.com/silvermount/silvermount/internal/memoryreservation"
	"github.com/silvermount/silvermount/internal/offer"
	"github.com/silvermount/silvermount/internal/policy"
	"github.com/silvermount/silvermount/internal/policy/lanes"
	"github.com/silvermount/silvermount/internal/ratemeter"
)

const (
	// recheckInterval is the mean interval at which the first waiter of a queue tries again if nothing wakes it earlier.
	// With jitter, the interval is between 25 and 75 ms.
	recheckInterval = 50 * time.Millisecond
	// probeTimeout limits the probe of a target that neither this instance nor the owner has heard from lately.
	probeTimeout = 500 * time.Millisecond
	// minAdmissionMargin is the minimum time between the predicted first token and the deadline of an admitted request.
	minAdmissionMargin = 10 * time.Millisecond
)

// Request is one request for a Slot.
type Request struct {
	// Prompt is the input of the policy.
	Prompt policy.Prompt
	// Filter selects the targets that can serve the request.
	Filter fleet.Filter
	// Priority is that of the class; higher values are served first.
	Priority int
	// Sheddable is set for work that is shed first under overload.
	Sheddable bool
	// Deadline is the time by which the answer is due.
	Deadline time.Time
}

// Slot is the right to send one attempt to a target, which counts as load there. Release must be called exactly once.
type Slot struct {
	Target fleet.Target
	// PredictedWait is the predicted time until the target starts to compute the prompt.
	PredictedWait time.Duration
	// Uncontended is set if no other prefill was known at the target when the slot was taken.
	Uncontended bool
	// BorrowedTokens is the memory in tokens, reserved before the attempt on several engines, for a prompt larger than one
	// engine; zero for other prompts.
	BorrowedTokens int

	load       fleet.Load
	fleet      *fleet.Fleet
	needsProbe bool
	// prefillTime is the time to compute the prompt itself. interferenceDelay is the part of PredictedWait that is due to a
	// long prompt on the target; zero without one.
	prefillTime, interferenceDelay time.Duration
	firstTokenOnce                 sync.Once
	releaseFuncs                   []func()
}

// RecordFirstToken records that the first token arrived this long after the request was sent, and removes the prefill from the
// target's load. Calls after the first have no effect.
func (sl *Slot) RecordFirstToken(took time.Duration) {
	sl.firstTokenOnce.Do(func() {
		if sl.interferenceDelay > 0 {
			sl.fleet.ObserveInterference(took - (sl.PredictedWait - sl.interferenceDelay) - sl.prefillTime)
		}
		prefill := fleet.Load{PrefillTokens: sl.load.PrefillTokens}
		sl.fleet.RemoveLoad(sl.Target.Name, prefill)
		sl.load.PrefillTokens = [policy.NumLengthBands]int{}
	})
}

// Release removes the load of the slot, and releases its grant and reserved memory.
func (sl *Slot) Release() {
	sl.fleet.RemoveLoad(sl.Target.Name, sl.load)
	sl.runReleaseFuncs()
}

// rollBack releases a slot to which nothing was sent. Unlike Release it does not wake waiters.
func (sl *Slot) rollBack() {
	sl.fleet.RevertLoad(sl.Target.Name, sl.load)
	sl.runReleaseFuncs()
}

func (sl *Slot) runReleaseFuncs() {
	for _, f := range sl.releaseFuncs {
		f()
	}
}

// Options are the settings and dependencies of a Router.
type Options struct {
	// Policy chooses the target of each request.
	Policy policy.Policy
	// Limits are passed to the policy.
	Limits policy.Limits
	// MaxWaiting is the maximum number of requests in the queue.
	MaxWaiting int
	// Now is the clock; nil means time.Now.
	Now func() time.Time
	// ExpectedShortRate returns the rate of short prompts, in prompt tokens per second over all instances, that is expected
	// now because of announced events; nil means that none is expected.
	ExpectedShortRate func() float64
	// Probe checks whether a target is reachable; nil means that targets are used without a probe.
	Probe func(ctx context.Context, t fleet.Target) error
	// RequestGrant asks the owner of a target for a grant for a long prompt, held for at most maxHold. If it is nil, no grants
	// are needed.
	RequestGrant func(ctx context.Context, t fleet.Target, memory int, maxHold time.Duration) (release func(), granted bool)
	// RequestOffers asks other owners to offer a target for a short prompt; nil means that none is asked.
	RequestOffers func(ctx context.Context, model string, pr policy.Prompt) []offer.Offer
	// ReserveMemory reserves memory on the main target and on other engines for a prompt larger than one engine. If it is
	// nil, such a prompt is passed to the policy like any other.
	ReserveMemory func(ctx context.Context, main fleet.Target, tokens int, maxHold time.Duration) (release func(), err error)
}

// Router assigns requests to targets and queues those that must wait. It is safe for concurrent use.
type Router struct {
	fl       *fleet.Fleet
	opts     Options
	sequence atomic.Uint64
	// shortArrivals measures the rate of short prompts that arrive at this instance.
	shortArrivals *ratemeter.Meter

	// decideMu is held from reading the candidates until the load of the decision is added, so that concurrent decisions of
	// this instance see each other's load.
	decideMu sync.Mutex

	mu sync.Mutex
	// queue is sorted by compareWaiters.
	queue []*waiter
}

// New returns a router for the targets of the fleet.
func New(fl *fleet.Fleet, o Options) *Router {
	if o.Now == nil {
		o.Now = time.Now
	}
	rt := &Router{fl: fl, opts: o, shortArrivals: ratemeter.New(initialShortRate, o.Now)}
	rt.sequence.Store(xxhash.Sum64String(fl.Self().Name))
	return rt
}

// Policy returns the routing policy that the router was created with.
func (rt *Router) Policy() policy.Policy { return rt.opts.Policy }

// QueueLength returns the number of requests that wait for a slot.
func (rt *Router) QueueLength() int {
	rt.mu.Lock()
	defer rt.mu.Unlock()
	return len(rt.queue)
}

// Acquire returns a slot for the request. It waits for room until ctx is done, and refuses the request at once if it is
// predicted to miss its deadline.
func (rt *Router) Acquire(ctx context.Context, rq Request) (*Slot, error) {
	if !rq.Prompt.Long {
		rt.shortArrivals.Add(rq.Prompt.Tokens)
	}
	wt := newWaiter(rq)
	if err := rt.enqueue(wt); err != nil {
		return nil, err
	}
	sl, err := rt.waitForSlot(ctx, wt)
	if err != nil {
		rt.wakeNext(wt)
	}
	return sl, err
}

// waitForSlot returns a slot for a waiter in the queue, and removes it from the queue in any case.
func (rt *Router) waitForSlot(ctx context.Context, wt *waiter) (*Slot, error) {
	defer rt.dequeue(wt)
	rq := wt.request
	for waited := false; ; waited = true {
		changed := rt.fl.Changed()
		if rt.isFirst(wt) {
			sl, err := rt.tryOnce(ctx, rq)
			var noRoom *noRoomError
			if !errors.As(err, &noRoom) {
				return sl, err
			}
			if noRoom.refused {
				changed = nil
			}
		}
		if !waited {
			if err := rt.checkDeadline(wt); err != nil {
				return nil, err
			}
		}
		// The jitter keeps requests that were refused at the same time from trying again at the same time.
		timer := time.NewTimer(recheckInterval/2 + rand.N(recheckInterval))
		select {
		case <-changed:
		case <-timer.C:
		case <-wt.wake:
		case <-wt.evicted:
			timer.Stop()
			return nil, rt.overloadError()
		case <-ctx.Done():
			timer.Stop()
			return nil, failure.New(failure.DeadlineExceeded, failure.NotRun, "no room came free in time").
				WithCause(ctx.Err()).WithRetryAfter(time.Second)
		}
		timer.Stop()
	}
}

// noRoomError is returned for a request that has to wait.
type noRoomError struct {
	// target is the one that was tried; empty if the policy chose none.
	target string
	// refused is set if the grant or the memory reservation was refused, so that an immediate retry would most likely fail too.
	refused bool
}

// Error includes the target.
func (nr *noRoomError) Error() string { return "no room at target " + nr.target }

// tryOnce makes one attempt to obtain a slot. It returns a noRoomError if the request has to wait.
func (rt *Router) tryOnce(ctx context.Context, rq Request) (*Slot, error) {
	timeLeft := rq.Deadline.Sub(rt.opts.Now())
	choose := rt.choose
	if rt.opts.Policy.UsesOwners && !rq.Prompt.Long && rq.Filter.Model != "" {
		choose = func(rq Request, timeLeft time.Duration) (*Slot, error) { return rt.chooseViaOwners(ctx, rq, timeLeft) }
	}
	sl, err := choose(rq, timeLeft)
	if err != nil {
		return nil, err
	}
	if sl.needsProbe && !rt.probe(ctx, sl.Target) {
		sl.rollBack()
		return nil, &noRoomError{target: sl.Target.Name}
	}
	return rt.obtainGrantAndMemory(ctx, rq, sl, timeLeft)
}

// choose calls the policy and adds the load to the chosen target in one step, so that concurrent requests of this instance
// see each other's load.
func (rt *Router) choose(rq Request, timeLeft time.Duration) (*Slot, error) {
	rt.decideMu.Lock()
	defer rt.decideMu.Unlock()
	cs := rt.fl.Candidates(rq.Filter)
	if len(cs.Candidates) == 0 {
		return nil, failure.New(failure.NoTarget, failure.NotRun, "no target serves this request now").
			WithRetryAfter(time.Second)
	}
	in := policy.Input{
		Prompt: rq.Prompt, Candidates: cs.Candidates, Limits: rt.opts.Limits, Sequence: rt.sequence.Add(1),
	}
	if rt.opts.Policy.UsesDemand {
		in.Demand, in.HasDemand = rt.estimateDemand(rq), true
	}
	reserved := rt.limitToOneEngine(&in)
	dec := rt.opts.Policy.Choose(in)
	if !dec.Placed {
		return nil, &noRoomError{}
	}
	ca := in.Candidates[dec.Index]
	if need := dec.PredictedWait + ca.PrefillTime(rq.Prompt.Tokens) + minAdmissionMargin; ca.PrefillRateKnown && need > timeLeft {
		return nil, failure.New(failure.DeadlineTooShort, failure.NotRun, "the first token is expected in %s, past the deadline",
			need.Round(time.Millisecond)).WithRetryAfter(dec.PredictedWait)
	}
	t, ok := rt.fl.Target(ca.Name)
	if !ok {
		return nil, &noRoomError{target: ca.Name}
	}
	sl := &Slot{
		Target: t, PredictedWait: dec.PredictedWait, Uncontended: policy.TotalTokens(ca.InFlightPrefill) == 0, BorrowedTokens: reserved,
		load: loadOf(rq.Prompt, reserved), fleet: rt.fl, needsProbe: cs.NeedsProbe[ca.Name],
		prefillTime: ca.PrefillTime(rq.Prompt.Tokens),
	}
	if lanes.HasLongPrefill(ca) && !rq.Prompt.Long {
		sl.interferenceDelay = ca.InterferenceDelay
	}
	rt.fl.AddLoad(t.Name, sl.load)
	return sl, nil
}

// loadOf returns the load that a prompt adds to its main target, without the memory that is reserved for it separately.
func loadOf(pr policy.Prompt, reserved int) fleet.Load {
	lo := fleet.Load{Requests: 1, MemoryTokens: pr.MemoryTokens() - reserved}
	lo.PrefillTokens[policy.LengthBand(pr.Tokens)] = pr.Tokens
	if pr.Long {
		lo.LongPrompts = 1
	}
	return lo
}

// limitToOneEngine reduces a prompt that is larger than any engine to the part that its main engine holds, and returns the
// memory to reserve for the whole prompt. It returns zero for smaller prompts, and if the memory of a candidate is unknown. The
// part on the main engine is reserved together with the others: two prompts that reserved only the rest and then waited for
// their main engines would deadlock.
func (rt *Router) limitToOneEngine(in *policy.Input) int {
	largest := 0
	for _, ca := range in.Candidates {
		if ca.MemoryTotal == 0 {
			return 0
		}
		largest = max(largest, ca.MemoryTotal)
	}
	need := in.Prompt.MemoryTokens()
	if need <= largest || rt.opts.ReserveMemory == nil {
		return 0
	}
	in.Prompt.Tokens, in.Prompt.MaxOutputTokens = largest/memoryreservation.LendableDivisor, 0
	return need
}

// probe reports whether the target is reachable, and marks it unreachable if the probe fails.
func (rt *Router) probe(ctx context.Context, t fleet.Target) bool {
	if rt.opts.Probe == nil {
		return true
	}
	ctx, cancel := context.WithTimeout(ctx, probeTimeout)
	defer cancel()
	if err := rt.opts.Probe(ctx, t); err != nil {
		rt.fl.MarkUnreachable(t.Name)
		return false
	}
	return true
}

// obtainGrantAndMemory completes a slot for a long prompt: it obtains the grant of the target's owner, and reserves memory on
// several engines if the prompt is larger than one. On failure it rolls the slot back.
func (rt *Router) obtainGrantAndMemory(ctx context.Context, rq Request, sl *Slot, maxHold time.Duration) (*Slot, error) {
	refused := &noRoomError{target: sl.Target.Name, refused: true}
	if rq.Prompt.Long && rt.opts.Policy.UsesGrants && rt.opts.RequestGrant != nil {
		release, granted := rt.opts.RequestGrant(ctx, sl.Target, sl.load.MemoryTokens, maxHold)
		if !granted {
			sl.rollBack()
			return nil, refused
		}
		sl.releaseFuncs = append(sl.releaseFuncs, release)
	}
	if sl.BorrowedTokens > 0 {
		release, err := rt.opts.ReserveMemory(ctx, sl.Target, sl.BorrowedTokens, maxHold)
		if err != nil {
			sl.rollBack()
			return nil, refused
		}
		sl.releaseFuncs = append(sl.releaseFuncs, release)
	}
	return sl, nil
}
