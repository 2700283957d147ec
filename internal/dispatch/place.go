package dispatch

import (
	"context"
	"time"

	"github.com/cespare/xxhash/v2"

	"github.com/silvermount/silvermount/internal/backoff"
	"github.com/silvermount/silvermount/internal/failure"
	"github.com/silvermount/silvermount/internal/placement"
	"github.com/silvermount/silvermount/internal/targets"
)

const (
	// worthBase and worthPerThousand give the worth of an answer by its prompt: a base, and more for each thousand tokens.
	worthBase        = 0.7
	worthPerThousand = 0.1
	// worthLate is the share of an answer's worth that is left when it is late.
	worthLate = 0.25
	// pauseUnset stands for the longest pause of a route that sets none.
	pauseUnset = time.Second
)

// prompt describes a request to the placement.
func (ds *Dispatcher) prompt(as Ask) placement.Prompt {
	worth := worthBase + worthPerThousand*float64(as.PromptTokens)/1000
	now := ds.opts.Now()
	pause := as.LongestPause
	if pause <= 0 {
		pause = pauseUnset
	}
	return placement.Prompt{
		Tokens: int64(as.PromptTokens), Answer: int64(expectedAnswer(as)),
		Objective: max(as.Objective, time.Millisecond), Used: now.Sub(as.Arrived), LongestPause: pause, Patience: as.Patience,
		InTime: placement.WorthOf(worth), Late: placement.WorthOf(worth * worthLate), Left: ds.due(as).Sub(now),
	}
}

// expectedAnswer is the caller's guess, else the usual answer, at most the bound that the caller set.
func expectedAnswer(as Ask) int {
	expected := as.AnswerHint
	if expected == 0 {
		expected = int(as.Service.Engine.UsualAnswer)
	}
	if as.MostAnswer > 0 {
		expected = min(expected, as.MostAnswer)
	}
	// An event holds the tokens of one pass.
	expected -= as.Events * as.Service.Engine.Stride
	return max(as.Service.Engine.Stride, expected)
}

// place chooses the targets of a prompt and books it there.
func (ds *Dispatcher) place(ctx context.Context, as Ask, tgs []targets.Target) (*Slot, bool, error) {
	pr := ds.prompt(as)
	sl, err := ds.choose(as, pr, tgs)
	if err != nil || sl == nil {
		return nil, false, err
	}
	if err := ds.permit(ctx, as, sl); err != nil {
		return nil, false, err
	}
	if len(sl.plan.Reserve) == 0 {
		return sl, true, nil
	}
	if !ds.takeWork(sl) {
		sl.Release()
		return nil, false, nil
	}
	if err := ds.reserve(ctx, sl, tgs); err != nil {
		sl.Release()
		if ds.avoid(err, tgs) {
			return nil, false, nil
		}
		return nil, false, failure.New(failure.NoMemory, failure.NotRun, "memory could not be set aside").
			WithCause(err).WithRetryAfter(comeBack)
	}
	return sl, true, nil
}

// takeWork reports whether all targets of a slot still take work: an order for memory begins some.
func (ds *Dispatcher) takeWork(sl *Slot) bool {
	for _, id := range sl.Targets() {
		if !ds.targets.TakesWork(id) || ds.isBackedOff(id) {
			return false
		}
	}
	return true
}

// choose books the plan of least expected loss under the book's lock, so that two requests do not see the same room. It
// returns nil when the prompt has to wait, and an error when it is refused.
func (ds *Dispatcher) choose(as Ask, pr placement.Prompt, tgs []targets.Target) (*Slot, error) {
	lag := ds.lagNow()
	ds.book.mu.Lock()
	defer ds.book.mu.Unlock()
	cands := ds.candidates(as, tgs)
	ps := newPools(as.Service.Engine, cands, ds.arriving)
	if as.long() && !as.Resumed {
		cands = ps.long
	}
	seed := xxhash.Sum64String(ds.opts.Instance + as.Request)
	op := placement.Options{
		Seed: seed, Arrivals: ds.arriving.perSecond(as.Service.Engine, cands), Reading: placement.ReadingShare(cands),
	}
	if ds.outlives(as, pr, cands, op) {
		return nil, endRefusal()
	}
	pl, ok := ds.plan(as, pr, cands, ps, op, lag)
	switch decide(as, pr, pl, ok, cands, op) {
	case decisionRefuse:
		return nil, ds.refusal(as, pr)
	case decisionWait:
		return nil, nil
	case decisionPlace:
	}
	return ds.bookPlan(as, pr, pl, tgs), nil
}

// plan returns the best plan for a prompt, if any. Short prompts go to the short pool while they are in time there, and long ones
// only where their parts are so small that nobody there has to wait for them.
func (ds *Dispatcher) plan(as Ask, pr placement.Prompt, cands []placement.Target, ps pools, op placement.Options, lag time.Duration) (placement.Plan, bool) {
	if as.Resumed || len(ps.short) == 0 || as.long() && !ps.mayKeep(as.Service.Engine, pr) {
		return ds.planAnywhere(as, pr, cands, op, lag)
	}
	within, fits := ds.chooseFrom(as, pr, ps.short, op, lag)
	if !as.long() && fits && ps.serves(as, pr, within) {
		return within, true
	}
	pl, ok := ds.planAnywhere(as, pr, cands, op, lag)
	if as.long() && fits && ps.keeps(within) && (!ok || within.Loss < pl.Loss) {
		return within, true
	}
	return pl, ok
}

// planAnywhere returns the best plan among all targets that are left. A stream that goes on elsewhere may end late: its caller reads
// already.
func (ds *Dispatcher) planAnywhere(as Ask, pr placement.Prompt, cands []placement.Target, op placement.Options, lag time.Duration) (placement.Plan, bool) {
	pl, ok := ds.chooseFrom(as, pr, cands, op, lag)
	if _, ends := ds.ends(as); ok || !as.Resumed || ends {
		return pl, ok
	}
	pr.Left = anyTime
	return placement.Choose(*as.Service.Engine, pr, cands, op)
}

// candidates returns targets with their loads as the placement takes them. The book's lock is held.
func (ds *Dispatcher) candidates(as Ask, tgs []targets.Target) []placement.Target {
	now := ds.opts.Now()
	cands := make([]placement.Target, len(tgs))
	for i, tg := range tgs {
		_, _, closed := ds.closed(as, tg.ID)
		ph, _ := ds.phase(tg.ID)
		cands[i] = placement.Target{
			Name: tg.ID, Near: tg.AvailabilityZone == ds.opts.AvailabilityZone, Load: ds.book.total(tg.ID), Pace: 1,
			Helper: ph == backoff.Available,
			Closed: closed,
		}
		if ds.book.isFull(tg.ID, now) {
			cands[i].Helper = false
			cands[i].Load.Memory = max(cands[i].Load.Memory, as.Service.Engine.Memory)
		}
	}
	return cands
}

// bookPlan books a plan at its targets. The book's lock is held.
func (ds *Dispatcher) bookPlan(as Ask, pr placement.Prompt, pl placement.Plan, tgs []targets.Target) *Slot {
	byID := make(map[string]targets.Target, len(tgs))
	for _, tg := range tgs {
		byID[tg.ID] = tg
	}
	sl := &Slot{
		ds: ds, engine: as.Service.Engine, Target: byID[pl.Main], Candidates: len(tgs), At: ds.opts.Now(), Priority: priority(as), prompt: pr, plan: pl,
		FirstPredicted: pl.FirstToken, PausePredicted: pl.Pause, arrived: as.Arrived, late: as.Resumed,
	}
	parts := 1 + len(pl.Helpers)
	reading := pr.Reading(parts)
	if late(as, pr, pl) {
		reading = pr.Overdue().Reading(parts)
	}
	if len(pl.Reserve) > 0 {
		reading = reading.WithMemory(0)
	}
	sl.book(pl.Main, reading)
	ds.tried(pl.Main)
	for _, id := range pl.Helpers {
		sl.Helpers = append(sl.Helpers, Helper{ID: id, Address: byID[id].Address})
		sl.book(id, pr.Helping(parts))
	}
	for _, sh := range pl.Reserve {
		sl.bookHeld(sh.Target, placement.Load{Memory: sh.Tokens})
	}
	return sl
}

// anyTime stands for a deadline that does not matter.
const anyTime = time.Hour

// writerPass is a usual pass of an engine with writers, some of them beside reading.
const writerPass = 90 * time.Millisecond

// answerTime returns how long a usual answer is written.
func answerTime(en *placement.Engine) time.Duration {
	passes := max(1, float64(en.UsualAnswer)/float64(max(1, en.Stride)))
	return time.Duration(passes * float64(writerPass))
}
