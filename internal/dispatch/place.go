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
	baseWorth              = 0.7
	worthPerThousandTokens = 0.1
	// worthLate is the share of an answer's worth that is left when it is late.
	lateWorthShare = 0.25
	// pauseUnset stands for the longest pause of a route that sets none.
	defaultMaxPause = time.Second
)

// prompt describes a request to the placement.
func (ds *Dispatcher) newPrompt(rq Request) placement.Prompt {
	worth := baseWorth + worthPerThousandTokens*float64(rq.PromptTokens)/1000
	now := ds.opts.Now()
	pause := rq.MaxPause
	if pause <= 0 {
		pause = defaultMaxPause
	}
	return placement.Prompt{
		Tokens: int64(rq.PromptTokens), Answer: int64(expectedAnswerTokens(rq)),
		Objective: max(rq.Objective, time.Millisecond), Used: now.Sub(rq.Arrived), LongestPause: pause, Patience: rq.CallerIdleTimeout,
		InTime: placement.WorthOf(worth), Late: placement.WorthOf(worth * lateWorthShare), Left: ds.answerDeadline(rq).Sub(now),
	}
}

// expectedAnswer is the caller's guess, else the usual answer, at most the bound that the caller set.
func expectedAnswerTokens(rq Request) int {
	expected := rq.AnswerTokensHint
	if expected == 0 {
		expected = int(rq.Service.Engine.UsualAnswer)
	}
	if rq.MaxAnswerTokens > 0 {
		expected = min(expected, rq.MaxAnswerTokens)
	}
	// An event holds the tokens of one pass.
	expected -= rq.EventsForwarded * rq.Service.Engine.Stride
	return max(rq.Service.Engine.Stride, expected)
}

// place chooses the targets of a prompt and books it there.
func (ds *Dispatcher) place(ctx context.Context, rq Request, tgs []targets.Target) (*Slot, bool, error) {
	pr := ds.newPrompt(rq)
	sl, err := ds.chooseAndBook(rq, pr, tgs)
	if err != nil || sl == nil {
		return nil, false, err
	}
	if err := ds.obtainPermit(ctx, rq, sl); err != nil {
		return nil, false, err
	}
	if len(sl.plan.Reserve) == 0 {
		return sl, true, nil
	}
	if !ds.allTakeWork(sl) {
		sl.Release()
		return nil, false, nil
	}
	if err := ds.reserveMemory(ctx, sl, tgs); err != nil {
		sl.Release()
		if ds.markReservationFailures(err, tgs) {
			return nil, false, nil
		}
		return nil, false, failure.New(failure.NoMemory, failure.NotRun, "memory could not be set aside").
			WithCause(err).WithRetryAfter(roomRetryAfter)
	}
	return sl, true, nil
}

// takeWork reports whether all targets of a slot still take work: an order for memory begins some.
func (ds *Dispatcher) allTakeWork(sl *Slot) bool {
	for _, id := range sl.TargetIDs() {
		if !ds.targets.TakesWork(id) || ds.isBackedOff(id) {
			return false
		}
	}
	return true
}

// choose books the plan of least expected loss under the book's lock, so that two requests do not see the same room. It
// returns nil when the prompt has to wait, and an error when it is refused.
func (ds *Dispatcher) chooseAndBook(rq Request, pr placement.Prompt, tgs []targets.Target) (*Slot, error) {
	lag := ds.propagationDelay()
	ds.loads.mu.Lock()
	defer ds.loads.mu.Unlock()
	cands := ds.candidates(rq, tgs)
	ps := newPools(rq.Service.Engine, cands, ds.arrivals)
	if rq.isLong() && !rq.Resumed {
		cands = ps.long
	}
	seed := xxhash.Sum64String(ds.opts.Instance + rq.ID)
	op := placement.Options{
		Seed: seed, Arrivals: ds.arrivals.perTargetPerSecond(rq.Service.Engine, cands), Reading: placement.ReadingShare(cands),
	}
	if ds.infeasibleBeforeShutdown(rq, pr, cands, op) {
		return nil, stoppingError()
	}
	pl, ok := ds.bestPlan(rq, pr, cands, ps, op, lag)
	switch decide(rq, pr, pl, ok, cands, op) {
	case decisionRefuse:
		return nil, ds.overloadError(rq, pr)
	case decisionWait:
		return nil, nil
	case decisionPlace:
	}
	return ds.bookPlan(rq, pr, pl, tgs), nil
}

// plan returns the best plan for a prompt, if any. Short prompts go to the short pool while they are in time there, and long ones
// only where their parts are so small that nobody there has to wait for them.
func (ds *Dispatcher) bestPlan(rq Request, pr placement.Prompt, cands []placement.Target, ps pools, op placement.Options, lag time.Duration) (placement.Plan, bool) {
	if rq.Resumed || len(ps.short) == 0 || rq.isLong() && !ps.canKeepPauses(rq.Service.Engine, pr) {
		return ds.bestPlanOutsidePool(rq, pr, cands, op, lag)
	}
	within, fits := ds.chooseFromSample(rq, pr, ps.short, op, lag)
	if !rq.isLong() && fits && ps.servesShort(rq, pr, within) {
		return within, true
	}
	pl, ok := ds.bestPlanOutsidePool(rq, pr, cands, op, lag)
	if rq.isLong() && fits && ps.keepsPauses(within) && (!ok || within.Loss < pl.Loss) {
		return within, true
	}
	return pl, ok
}

// planAnywhere returns the best plan among all targets that are left. A stream that goes on elsewhere may end late: its caller reads
// already.
func (ds *Dispatcher) bestPlanOutsidePool(rq Request, pr placement.Prompt, cands []placement.Target, op placement.Options, lag time.Duration) (placement.Plan, bool) {
	pl, ok := ds.chooseFromSample(rq, pr, cands, op, lag)
	if _, ends := ds.shutdownBeforeDeadline(rq); ok || !rq.Resumed || ends {
		return pl, ok
	}
	pr.Left = unboundedTimeLeft
	return placement.Choose(*rq.Service.Engine, pr, cands, op)
}

// candidates returns targets with their loads as the placement takes them. The book's lock is held.
func (ds *Dispatcher) candidates(rq Request, tgs []targets.Target) []placement.Target {
	now := ds.opts.Now()
	cands := make([]placement.Target, len(tgs))
	for i, tg := range tgs {
		_, _, closed := ds.closed(rq, tg.ID)
		ph, _ := ds.backOffPhase(tg.ID)
		cands[i] = placement.Target{
			Name: tg.ID, Near: tg.AvailabilityZone == ds.opts.AvailabilityZone, Load: ds.loads.total(tg.ID), Pace: 1,
			Helper: ph == backoff.Open,
			Closed: closed,
		}
		if ds.loads.isFull(tg.ID, now) {
			cands[i].Helper = false
			cands[i].Load.Memory = max(cands[i].Load.Memory, rq.Service.Engine.Memory)
		}
	}
	return cands
}

// bookPlan books a plan at its targets. The book's lock is held.
func (ds *Dispatcher) bookPlan(rq Request, pr placement.Prompt, pl placement.Plan, tgs []targets.Target) *Slot {
	byID := make(map[string]targets.Target, len(tgs))
	for _, tg := range tgs {
		byID[tg.ID] = tg
	}
	sl := &Slot{
		ds: ds, engine: rq.Service.Engine, Target: byID[pl.Main], CandidateCount: len(tgs), ChosenAt: ds.opts.Now(), Priority: enginePriority(rq), prompt: pr, plan: pl,
		PredictedFirstToken: pl.FirstToken, PredictedPause: pl.Pause, arrived: rq.Arrived, late: rq.Resumed,
	}
	parts := 1 + len(pl.Helpers)
	reading := pr.Reading(parts)
	if willBeLate(rq, pr, pl) {
		reading = pr.Overdue().Reading(parts)
	}
	if len(pl.Reserve) > 0 {
		reading = reading.WithMemory(0)
	}
	sl.addStageLoad(pl.Main, reading)
	ds.recordChosen(pl.Main)
	for _, id := range pl.Helpers {
		sl.Helpers = append(sl.Helpers, Helper{ID: id, Address: byID[id].Address})
		sl.addStageLoad(id, pr.Helping(parts))
	}
	for _, sh := range pl.Reserve {
		sl.addLifetimeLoad(sh.Target, placement.Load{Memory: sh.Tokens})
	}
	return sl
}

// anyTime stands for a deadline that does not matter.
const unboundedTimeLeft = time.Hour

// writerPass is a usual pass of an engine with writers, some of them beside reading.
const usualPassTime = 90 * time.Millisecond

// answerTime returns how long a usual answer is written.
func usualAnswerTime(en *placement.Engine) time.Duration {
	passes := max(1, float64(en.UsualAnswer)/float64(max(1, en.Stride)))
	return time.Duration(passes * float64(usualPassTime))
}
