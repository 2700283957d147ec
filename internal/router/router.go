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
	recheck = 50 * time.Millisecond
	// probeTimeout bounds the probe of a target that nobody has confirmed.
	probeTimeout = 500 * time.Millisecond
	// admissionMargin is the least time that must be left after the predicted start.
	admissionMargin = 10 * time.Millisecond
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

	work  fleet.Load
	fl    *fleet.Fleet
	probe bool
	// alone is the prompt's own time; besideLong is the part of Predicted that a long prompt adds, zero without one.
	alone, besideLong time.Duration
	first             sync.Once
	release           []func()
}

// FirstToken notes that the prompt was computed, and how long after it was sent.
func (sl *Slot) RecordFirstToken(took time.Duration) {
	sl.first.Do(func() {
		if sl.besideLong > 0 {
			sl.fl.ObserveInterference(took - (sl.PredictedWait - sl.besideLong) - sl.alone)
		}
		prefill := fleet.Load{PrefillTokens: sl.work.PrefillTokens}
		sl.fl.RemoveLoad(sl.Target.Name, prefill)
		sl.work.PrefillTokens = [policy.NumLengthBands]int{}
	})
}

// Done gives the place back.
func (sl *Slot) Release() {
	sl.fl.RemoveLoad(sl.Target.Name, sl.work)
	sl.giveBack()
}

// undo gives back a place that was never used.
func (sl *Slot) undo() {
	sl.fl.RevertLoad(sl.Target.Name, sl.work)
	sl.giveBack()
}

func (sl *Slot) giveBack() {
	for _, f := range sl.release {
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
	fl   *fleet.Fleet
	opts Options
	turn atomic.Uint64
	// arriving measures the short prompts of this instance.
	arriving *demandmeter.Meter

	// decide is held from the view of the fleet to the note of the work.
	decide sync.Mutex

	mu sync.Mutex
	// waiting is ordered by before.
	waiting []*waiter
}

// New returns a router over the fleet.
func New(fl *fleet.Fleet, o Options) *Router {
	if o.Now == nil {
		o.Now = time.Now
	}
	rt := &Router{fl: fl, opts: o, arriving: demandmeter.New(assumedShort, o.Now)}
	rt.turn.Store(xxhash.Sum64String(fl.Self().Name))
	return rt
}

// Policy returns the policy in use.
func (rt *Router) Policy() policy.Policy { return rt.opts.Policy }

// Waiting returns how many requests wait for room.
func (rt *Router) QueueLength() int {
	rt.mu.Lock()
	defer rt.mu.Unlock()
	return len(rt.waiting)
}

// Acquire returns a place for the request, waiting for room until its deadline. A request whose predicted start
// lies past its deadline is refused at once.
func (rt *Router) Acquire(ctx context.Context, ask Request) (*Slot, error) {
	if !ask.Prompt.Long {
		rt.arriving.Add(ask.Prompt.Tokens)
	}
	wt := newWaiter(ask)
	if err := rt.enter(wt); err != nil {
		return nil, err
	}
	pl, err := rt.await(ctx, wt)
	if err != nil {
		rt.wakeNext(wt)
	}
	return pl, err
}

// await returns a place for a waiter that has entered; the waiter has left afterwards.
func (rt *Router) await(ctx context.Context, wt *waiter) (*Slot, error) {
	defer rt.leave(wt)
	ask := wt.ask
	for waits := false; ; waits = true {
		changed := rt.fl.Changed()
		if rt.first(wt) {
			pl, err := rt.try(ctx, ask)
			var wait *noRoomError
			if !errors.As(err, &wait) {
				return pl, err
			}
			if wait.refused {
				changed = nil
			}
		}
		if !waits {
			if err := rt.inTime(wt); err != nil {
				return nil, err
			}
		}
		// The jitter keeps those who were refused together from asking together again.
		timer := time.NewTimer(recheck/2 + rand.N(recheck))
		select {
		case <-changed:
		case <-timer.C:
		case <-wt.turn:
		case <-wt.out:
			timer.Stop()
			return nil, rt.overloaded()
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
func (rt *Router) try(ctx context.Context, ask Request) (*Slot, error) {
	left := ask.Deadline.Sub(rt.opts.Now())
	choose := rt.choose
	if rt.opts.Policy.UsesOwners && !ask.Prompt.Long && ask.Filter.Model != "" {
		choose = func(ask Request, left time.Duration) (*Slot, error) { return rt.viaOwners(ctx, ask, left) }
	}
	pl, err := choose(ask, left)
	if err != nil {
		return nil, err
	}
	if pl.probe && !rt.probe(ctx, pl.Target) {
		pl.undo()
		return nil, &noRoomError{target: pl.Target.Name}
	}
	return rt.secure(ctx, ask, pl, left)
}

// choose asks the policy and notes the work at the target, in one step, so that two requests of this instance see
// each other.
func (rt *Router) choose(ask Request, left time.Duration) (*Slot, error) {
	rt.decide.Lock()
	defer rt.decide.Unlock()
	vw := rt.fl.Candidates(ask.Filter)
	if len(vw.Candidates) == 0 {
		return nil, failure.New(failure.NoTarget, failure.NotRun, "no target serves this request now").
			WithRetryAfter(time.Second)
	}
	in := policy.Input{
		Prompt: ask.Prompt, Candidates: vw.Candidates, Limits: rt.opts.Limits, Sequence: rt.turn.Add(1),
	}
	if rt.opts.Policy.UsesDemand {
		in.Demand, in.HasDemand = rt.demand(ask), true
	}
	borrow := rt.borrowing(&in)
	dec := rt.opts.Policy.Choose(in)
	if !dec.Placed {
		return nil, &noRoomError{}
	}
	ca := in.Candidates[dec.Index]
	if need := dec.PredictedWait + ca.PrefillTime(ask.Prompt.Tokens) + admissionMargin; ca.PrefillRateKnown && need > left {
		return nil, failure.New(failure.DeadlineTooShort, failure.NotRun, "the first token is expected in %s, past the deadline",
			need.Round(time.Millisecond)).WithRetryAfter(dec.PredictedWait)
	}
	t, ok := rt.fl.Target(ca.Name)
	if !ok {
		return nil, &noRoomError{target: ca.Name}
	}
	pl := &Slot{
		Target: t, PredictedWait: dec.PredictedWait, Uncontended: policy.TotalTokens(ca.InFlightPrefill) == 0, BorrowedTokens: borrow,
		work: workOf(ask.Prompt, borrow), fl: rt.fl, probe: vw.NeedsProbe[ca.Name],
		alone: ca.PrefillTime(ask.Prompt.Tokens),
	}
	if lanes.HasLongPrefill(ca) && !ask.Prompt.Long {
		pl.besideLong = ca.InterferenceDelay
	}
	rt.fl.AddLoad(t.Name, pl.work)
	return pl, nil
}

func workOf(rq policy.Prompt, borrowed int) fleet.Load {
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
func (rt *Router) borrowing(in *policy.Input) int {
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
func (rt *Router) secure(ctx context.Context, ask Request, pl *Slot, hold time.Duration) (*Slot, error) {
	refused := &noRoomError{target: pl.Target.Name, refused: true}
	if ask.Prompt.Long && rt.opts.Policy.UsesGrants && rt.opts.RequestGrant != nil {
		release, granted := rt.opts.RequestGrant(ctx, pl.Target, pl.work.MemoryTokens, hold)
		if !granted {
			pl.undo()
			return nil, refused
		}
		pl.release = append(pl.release, release)
	}
	if pl.BorrowedTokens > 0 {
		release, err := rt.opts.ReserveMemory(ctx, pl.Target, pl.BorrowedTokens, hold)
		if err != nil {
			pl.undo()
			return nil, refused
		}
		pl.release = append(pl.release, release)
	}
	return pl, nil
}
