package dispatch

import (
	"context"
	"time"

	"github.com/cespare/xxhash/v2"

	"github.com/silvermount/silvermount/internal/answerworth"
	"github.com/silvermount/silvermount/internal/backoff"
	"github.com/silvermount/silvermount/internal/failure"
	"github.com/silvermount/silvermount/internal/placement"
	"github.com/silvermount/silvermount/internal/targets"
)

const (
	// baseWorth and worthPerThousandTokens define the worth of an answer: a base, and an addition for each 1,000 tokens of
	// its prompt.
	baseWorth              = 0.7
	worthPerThousandTokens = 0.1
	// lateWorthShare is the share of its worth that a late answer keeps.
	lateWorthShare = 0.25
	// defaultMaxPause is the longest pause for a route that sets none.
	defaultMaxPause = time.Second
)

// newPrompt converts a request to the form that package placement plans with.
func (ds *Dispatcher) newPrompt(rq Request) placement.Prompt {
	worth := ds.answerWorth(rq)
	now := ds.opts.Now()
	pause := rq.MaxPause
	if pause <= 0 {
		pause = defaultMaxPause
	}
	return placement.Prompt{
		Tokens: int64(rq.PromptTokens), AnswerTokens: int64(expectedAnswerTokens(rq)),
		Objective: max(rq.Objective, time.Millisecond), Elapsed: now.Sub(rq.Arrived), MaxPause: pause, CallerIdleTimeout: rq.CallerIdleTimeout,
		InTimeWorth: placement.WorthOf(worth), LateWorth: placement.WorthOf(worth * lateWorthShare), UntilDeadline: ds.answerDeadline(rq).Sub(now),
	}
}

// answerWorth returns the points that an answer in time is worth.
func (ds *Dispatcher) answerWorth(rq Request) float64 {
	en := rq.Service.Engine
	if !ds.opts.NeutralWorth || en == nil {
		return baseWorth + worthPerThousandTokens*float64(rq.PromptTokens)/1000
	}
	answer := en.MeanAnswerTokens
	return answerworth.Answer{
		EngineTime: en.EngineTimeOf(int64(rq.PromptTokens), answer), MeanEngineTime: en.EngineTimeOf(en.MeanPromptTokens, answer), Priority: rq.Priority,
	}.Points()
}

// expectedAnswerTokens returns how many tokens of the answer are still expected: the caller's hint or else the mean number,
// at most the caller's limit, less what was already forwarded.
func expectedAnswerTokens(rq Request) int {
	expected := rq.AnswerTokensHint
	if expected == 0 {
		expected = int(rq.Service.Engine.MeanAnswerTokens)
	}
	if rq.MaxAnswerTokens > 0 {
		expected = min(expected, rq.MaxAnswerTokens)
	}
	// One event carries the tokens of one pass.
	expected -= rq.EventsForwarded * rq.Service.Engine.StepsPerPass
	return max(rq.Service.Engine.StepsPerPass, expected)
}

// place chooses the targets of a prompt and adds its load there.
func (ds *Dispatcher) place(ctx context.Context, rq Request, tgs []targets.Target) (*Slot, bool, error) {
	pr := ds.newPrompt(rq)
	sl, err := ds.chooseAndAddLoad(rq, pr, tgs)
	if err != nil || sl == nil {
		return nil, false, err
	}
	if err := ds.obtainPermit(ctx, rq, sl); err != nil {
		return nil, false, err
	}
	if len(sl.plan.MemoryShares) == 0 {
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

// allTakeWork reports whether all targets of a slot still take work. It is checked before a memory reservation, which
// already starts work on them.
func (ds *Dispatcher) allTakeWork(sl *Slot) bool {
	for _, id := range sl.TargetIDs() {
		if !ds.targets.TakesWork(id) || ds.targets.IsEvacuated(id) || ds.isBackedOff(id) {
			return false
		}
	}
	return true
}

// chooseAndAddLoad chooses the plan with the least expected loss and adds its load. It holds the load table's lock throughout, so
// that two requests are not planned into the same room. It returns nil if the prompt has to wait, and an error if it is refused.
func (ds *Dispatcher) chooseAndAddLoad(rq Request, pr placement.Prompt, tgs []targets.Target) (*Slot, error) {
	delay := ds.propagationDelay()
	ds.loadTable.mu.Lock()
	defer ds.loadTable.mu.Unlock()
	cands := ds.candidates(rq, tgs)
	all := cands
	ps := newPools(rq.Service.Engine, cands, ds.arrivals, unpropagatedPlacements(rq.Service.Engine, cands, delay))
	ds.limitReturning(rq, cands)
	if rq.isLong() && !rq.Resumed {
		cands = ps.long
	}
	seed := xxhash.Sum64String(ds.opts.Instance + rq.ID)
	op := placement.Options{
		Seed: seed, ArrivalsPerSecond: ds.arrivals.perTargetPerSecond(rq.Service.Engine, cands), PrefillShare: placement.PrefillShareOf(cands),
	}
	if ds.infeasibleByShutdown(rq, pr, cands, op) {
		return nil, stoppingError()
	}
	pl, ok := ds.bestPlan(rq, pr, cands, ps, op, delay)
	dc, err := ds.decide(plannedPrompt{request: rq, prompt: pr, plan: pl, planned: ok, candidates: cands, all: all, options: op})
	dc, refusal := ds.applyShares(rq, pr, pl, ok, tgs, dc)
	switch {
	case refusal != nil:
		return nil, refusal
	case dc == decisionRefuse:
		return nil, err
	case dc == decisionWait:
		return nil, nil
	}
	return ds.addPlanLoad(rq, pr, pl, tgs), nil
}

// bestPlan returns the best plan for a prompt, if there is one. A short prompt goes to the short pool while it is served in
// time there. A long prompt uses the short pool only if its parts are so small that no answer there pauses for too long.
func (ds *Dispatcher) bestPlan(rq Request, pr placement.Prompt, cands []placement.Target, ps pools, op placement.Options, delay time.Duration) (placement.Plan, bool) {
	if rq.Resumed || len(ps.short) == 0 || rq.isLong() && !ps.canKeepPauses(rq.Service.Engine, pr) {
		return ds.bestPlanAmongAll(rq, pr, cands, op, delay)
	}
	poolPlan, poolOK := ds.chooseFromSample(rq, pr, ps.short, op, delay)
	if !rq.isLong() && poolOK && ps.servesShort(rq, pr, poolPlan) {
		return poolPlan, true
	}
	pl, ok := ds.bestPlanAmongAll(rq, pr, cands, op, delay)
	if rq.isLong() && poolOK && ps.keepsPauses(poolPlan) && (!ok || poolPlan.Loss < pl.Loss) {
		return poolPlan, true
	}
	return pl, ok
}

// bestPlanAmongAll returns the best plan among all candidates. A resumed stream may end after its deadline, since its caller
// is already reading the answer.
func (ds *Dispatcher) bestPlanAmongAll(rq Request, pr placement.Prompt, cands []placement.Target, op placement.Options, delay time.Duration) (placement.Plan, bool) {
	pl, ok := ds.chooseFromSample(rq, pr, cands, op, delay)
	if _, stopsFirst := ds.shutdownBeforeDeadline(rq); ok || !rq.Resumed || stopsFirst {
		return pl, ok
	}
	pr.UntilDeadline = unboundedTimeLeft
	return placement.Choose(*rq.Service.Engine, pr, cands, op)
}

// candidates converts targets and their loads to the form that package placement plans with. The caller holds the load
// table's lock.
func (ds *Dispatcher) candidates(rq Request, tgs []targets.Target) []placement.Target {
	now := ds.opts.Now()
	cands := make([]placement.Target, len(tgs))
	for i, tg := range tgs {
		_, _, blocked := ds.blocked(rq, tg.ID)
		returning, _ := ds.returning(tg.ID)
		ph, _ := ds.backOffPhase(tg.ID)
		cands[i] = placement.Target{
			Name: tg.ID, SameZone: tg.AvailabilityZone == ds.opts.AvailabilityZone, Load: ds.loadTable.total(tg.ID), Slowdown: ds.slowdown(tg.ID),
			CanHelp: ph == backoff.Available,
			Blocked: blocked && !returning,
		}
		if ds.loadTable.isFull(tg.ID, now) {
			cands[i].CanHelp = false
			cands[i].Load.MemoryTokens = max(cands[i].Load.MemoryTokens, rq.Service.Engine.MemoryTokens)
		}
	}
	return cands
}

// addPlanLoad adds the load of a plan at its targets, and returns its slot. The caller holds the load table's lock.
func (ds *Dispatcher) addPlanLoad(rq Request, pr placement.Prompt, pl placement.Plan, tgs []targets.Target) *Slot {
	byID := make(map[string]targets.Target, len(tgs))
	for _, tg := range tgs {
		byID[tg.ID] = tg
	}
	sl := &Slot{
		ds: ds, engine: rq.Service.Engine, Target: byID[pl.Main], CandidateCount: len(tgs), ChosenAt: ds.opts.Now(), Priority: enginePriority(rq), prompt: pr, plan: pl,
		PredictedFirstToken: pl.TimeToFirstToken, PredictedPause: pl.PredictedPause, arrived: rq.Arrived, late: rq.Resumed, pausedBefore: ds.opts.Admission.paused(),
		usage: ds.newSlotUsage(rq, pr),
	}
	parts := 1 + len(pl.Helpers)
	prefillLoad := pr.PrefillLoad(parts)
	if willBeLate(rq, pr, pl) {
		prefillLoad = pr.AsLate().PrefillLoad(parts)
	}
	if len(pl.MemoryShares) > 0 {
		prefillLoad = prefillLoad.WithMemory(0)
	}
	sl.addStageLoad(pl.Main, prefillLoad)
	ds.recordDispatch(pl.Main)
	for _, id := range pl.Helpers {
		sl.Helpers = append(sl.Helpers, Helper{ID: id, Address: byID[id].Address})
		sl.addStageLoad(id, pr.HelperLoad(parts))
	}
	for _, sh := range pl.MemoryShares {
		sl.addLifetimeLoad(sh.Target, placement.Load{MemoryTokens: sh.Tokens})
	}
	return sl
}

// unboundedTimeLeft replaces the time left when the deadline does not apply.
const unboundedTimeLeft = time.Hour

// typicalPassTime is the typical time of an engine pass that decodes answers, sometimes together with prefill.
const typicalPassTime = 90 * time.Millisecond

// meanAnswerTime returns how long an engine takes to decode an answer of mean length.
func meanAnswerTime(en *placement.Engine) time.Duration {
	passes := max(1, float64(en.MeanAnswerTokens)/float64(max(1, en.StepsPerPass)))
	return time.Duration(passes * float64(typicalPassTime))
}
