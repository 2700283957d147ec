// Package router decides where a request runs, and keeps those that must wait.
package router

import (
	"context"
	"math/rand/v2"
	"sync"
	"sync/atomic"
	"time"

	"github.com/cespare/xxhash/v2"
	"github.com/cockroachdb/errors"

	"github.com/silvermount/silvermount/internal/demandmeter"
	"github.com/silvermount/silvermount/internal/failure"
	"github.com/silvermount/silvermount/internal/fleet"
	"github.com/silvermount/silvermount/internal/offer"
	"github.com/silvermount/silvermount/internal/policy"
	"github.com/silvermount/silvermount/internal/policy/lanes"
	"github.com/silvermount/silvermount/internal/room"
)

const (
	// recheck bounds the time between two looks at a waiting request when no news comes.
	recheckInterval = 50 * time.Millisecond
	// probeTimeout bounds the probe of a target that nobody has confirmed.
	probeTimeout = 500 * time.Millisecond
	// admissionMargin is the least time that must be left after the predicted start.
	minAdmissionMargin = 10 * time.Millisecond
)

// Ask is a request for a place to run.
type Request struct {
	// Request is what the policy sees.
	Prompt policy.Prompt
	// Wanted selects targets.
	Filter fleet.Filter
	// Priority is that of the class; higher goes first.
	Priority int
	// Yields is set for work that is refused first.
	Sheddable bool
	// Deadline is when the answer is due.
	Deadline time.Time
}

// Place is a target taken for one attempt. Done is called exactly once.
type Slot struct {
	Target fleet.Target
	// Predicted is the expected time until the prompt starts.
	PredictedWait time.Duration
	// Alone is set when no other prefill was known at the target.
	Uncontended bool
	// Borrowed is memory in tokens that is reserved before the attempt, for a prompt larger than one engine.
	BorrowedTokens int

	load       fleet.Load
	fleet      *fleet.Fleet
	needsProbe bool
	// alone is the prompt's own time; besideLong is the part of Predicted that a long prompt adds, zero without one.
	prefillTime, interferenceDelay time.Duration
	firstTokenOnce                 sync.Once
	releaseFuncs                   []func()
}

// FirstToken notes that the prompt was computed, and how long after it was sent.
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

// Done gives the place back.
func (sl *Slot) Release() {
	sl.fleet.RemoveLoad(sl.Target.Name, sl.load)
	sl.runReleaseFuncs()
}

// undo gives back a place that was never used.
func (sl *Slot) rollBack() {
	sl.fleet.RevertLoad(sl.Target.Name, sl.load)
	sl.runReleaseFuncs()
}

func (sl *Slot) runReleaseFuncs() {
	for _, f := range sl.releaseFuncs {
		f()
	}
}

// Options are the bounds and seams of a Router.
type Options struct {
	// Policy decides.
	Policy policy.Policy
	// Limits are passed to the policy.
	Limits policy.Limits
	// MaxWaiting bounds waiting requests.
	MaxWaiting int
	// Now is the clock.
	Now func() time.Time
	// Expected returns the tokens a second of short prompts that events bring now, over all instances; nil means none.
	ExpectedShortRate func() float64
	// Probe asks a target whether it is there; nil takes every target as confirmed.
	Probe func(ctx context.Context, t fleet.Target) error
	// Grant asks the owner of a target for room for a long prompt; nil grants always.
	RequestGrant func(ctx context.Context, t fleet.Target, memory int, hold time.Duration) (release func(), granted bool)
	// AskShort asks other owners for a place for a short prompt; nil asks nobody.
	RequestOffers func(ctx context.Context, model string, rq policy.Prompt) []offer.Offer
	// Borrow reserves memory on the main and other engines for a prompt larger than one.
	ReserveMemory func(ctx context.Context, main fleet.Target, tokens int, hold time.Duration) (release func(), err error)
}

// Router is safe for use by any goroutine.
type Router struct {
	fl       *fleet.Fleet
	opts     Options
	sequence atomic.Uint64
	// arriving measures the short prompts of this instance.
	shortArrivals *demandmeter.Meter

	// decide is held from the view of the fleet to the note of the work.
	decideMu sync.Mutex

	mu sync.Mutex
	// waiting is ordered by before.
	queue []*waiter
}

// New returns a router over the fleet.
func New(fl *fleet.Fleet, o Options) *Router {
	if o.Now == nil {
		o.Now = time.Now
	}
	rt := &Router{fl: fl, opts: o, shortArrivals: demandmeter.New(initialShortRate, o.Now)}
	rt.sequence.Store(xxhash.Sum64String(fl.Self().Name))
	return rt
}

// Policy returns the policy in use.
func (rt *Router) Policy() policy.Policy { return rt.opts.Policy }

// Waiting returns how many requests wait for room.
func (rt *Router) QueueLength() int {
	rt.mu.Lock()
	defer rt.mu.Unlock()
	return len(rt.queue)
}

// Acquire returns a place for the request, waiting for room until its deadline. A request whose predicted start
// lies past its deadline is refused at once.
func (rt *Router) Acquire(ctx context.Context, ask Request) (*Slot, error) {
	if !ask.Prompt.Long {
		rt.shortArrivals.Add(ask.Prompt.Tokens)
	}
	wt := newWaiter(ask)
	if err := rt.enqueue(wt); err != nil {
		return nil, err
	}
	pl, err := rt.waitForSlot(ctx, wt)
	if err != nil {
		rt.wakeNext(wt)
	}
	return pl, err
}

// await returns a place for a waiter that has entered; the waiter has left afterwards.
func (rt *Router) waitForSlot(ctx context.Context, wt *waiter) (*Slot, error) {
	defer rt.dequeue(wt)
	ask := wt.request
	for waits := false; ; waits = true {
		changed := rt.fl.Changed()
		if rt.isFirst(wt) {
			pl, err := rt.tryOnce(ctx, ask)
			var wait *noRoomError
			if !errors.As(err, &wait) {
				return pl, err
			}
			if wait.refused {
				changed = nil
			}
		}
		if !waits {
			if err := rt.checkDeadline(wt); err != nil {
				return nil, err
			}
		}
		// The jitter keeps those who were refused together from asking together again.
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

// noRoomError says that a request has to wait.
type noRoomError struct {
	target string
	// refused is set when the target or its owner refused, so that asking again at once is of no use.
	refused bool
}

// Error names the target that was tried last.
func (nr *noRoomError) Error() string { return "no room at " + nr.target }

// try decides once. It returns a noRoomError when the request has to wait.
func (rt *Router) tryOnce(ctx context.Context, ask Request) (*Slot, error) {
	left := ask.Deadline.Sub(rt.opts.Now())
	choose := rt.choose
	if rt.opts.Policy.UsesOwners && !ask.Prompt.Long && ask.Filter.Model != "" {
		choose = func(ask Request, left time.Duration) (*Slot, error) { return rt.chooseViaOwners(ctx, ask, left) }
	}
	pl, err := choose(ask, left)
	if err != nil {
		return nil, err
	}
	if pl.needsProbe && !rt.probe(ctx, pl.Target) {
		pl.rollBack()
		return nil, &noRoomError{target: pl.Target.Name}
	}
	return rt.obtainGrantAndMemory(ctx, ask, pl, left)
}

// choose asks the policy and notes the work at the target, in one step, so that two requests of this instance see
// each other.
func (rt *Router) choose(ask Request, left time.Duration) (*Slot, error) {
	rt.decideMu.Lock()
	defer rt.decideMu.Unlock()
	vw := rt.fl.Candidates(ask.Filter)
	if len(vw.Candidates) == 0 {
		return nil, failure.New(failure.NoTarget, failure.NotRun, "no target serves this request now").
			WithRetryAfter(time.Second)
	}
	in := policy.Input{
		Prompt: ask.Prompt, Candidates: vw.Candidates, Limits: rt.opts.Limits, Sequence: rt.sequence.Add(1),
	}
	if rt.opts.Policy.UsesDemand {
		in.Demand, in.HasDemand = rt.estimateDemand(ask), true
	}
	borrow := rt.limitToOneEngine(&in)
	dec := rt.opts.Policy.Choose(in)
	if !dec.Placed {
		return nil, &noRoomError{}
	}
	ca := in.Candidates[dec.Index]
	if need := dec.PredictedWait + ca.PrefillTime(ask.Prompt.Tokens) + minAdmissionMargin; ca.PrefillRateKnown && need > left {
		return nil, failure.New(failure.DeadlineTooShort, failure.NotRun, "the first token is expected in %s, past the deadline",
			need.Round(time.Millisecond)).WithRetryAfter(dec.PredictedWait)
	}
	t, ok := rt.fl.Target(ca.Name)
	if !ok {
		return nil, &noRoomError{target: ca.Name}
	}
	pl := &Slot{
		Target: t, PredictedWait: dec.PredictedWait, Uncontended: policy.TotalTokens(ca.InFlightPrefill) == 0, BorrowedTokens: borrow,
		load: loadOf(ask.Prompt, borrow), fleet: rt.fl, needsProbe: vw.NeedsProbe[ca.Name],
		prefillTime: ca.PrefillTime(ask.Prompt.Tokens),
	}
	if lanes.HasLongPrefill(ca) && !ask.Prompt.Long {
		pl.interferenceDelay = ca.InterferenceDelay
	}
	rt.fl.AddLoad(t.Name, pl.load)
	return pl, nil
}

func loadOf(rq policy.Prompt, borrowed int) fleet.Load {
	wk := fleet.Load{Requests: 1, MemoryTokens: rq.MemoryTokens() - borrowed}
	wk.PrefillTokens[policy.LengthBand(rq.Tokens)] = rq.Tokens
	if rq.Long {
		wk.LongPrompts = 1
	}
	return wk
}

// borrowing cuts a prompt larger than any one engine to what it takes on its main engine. It returns the whole
// memory to reserve: the main engine's part is reserved with the others, for two prompts that hold the rest while
// they wait for their main engines would wait for each other.
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
	in.Prompt.Tokens, in.Prompt.MaxOutputTokens = largest/room.LendableDivisor, 0
	return need
}

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

// secure gets what a long prompt needs besides the decision: the owner's grant, and memory on several engines.
func (rt *Router) obtainGrantAndMemory(ctx context.Context, ask Request, pl *Slot, hold time.Duration) (*Slot, error) {
	refused := &noRoomError{target: pl.Target.Name, refused: true}
	if ask.Prompt.Long && rt.opts.Policy.UsesGrants && rt.opts.RequestGrant != nil {
		release, granted := rt.opts.RequestGrant(ctx, pl.Target, pl.load.MemoryTokens, hold)
		if !granted {
			pl.rollBack()
			return nil, refused
		}
		pl.releaseFuncs = append(pl.releaseFuncs, release)
	}
	if pl.BorrowedTokens > 0 {
		release, err := rt.opts.ReserveMemory(ctx, pl.Target, pl.BorrowedTokens, hold)
		if err != nil {
			pl.rollBack()
			return nil, refused
		}
		pl.releaseFuncs = append(pl.releaseFuncs, release)
	}
	return pl, nil
}
