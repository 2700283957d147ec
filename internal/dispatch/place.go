package dispatch

import (
	"context"
	"time"

	"github.com/cespare/xxhash/v2"
	"github.com/cockroachdb/errors"

	"github.com/silvermount/silvermount/internal/failure"
	"github.com/silvermount/silvermount/internal/placement"
	"github.com/silvermount/silvermount/internal/reservation"
	"github.com/silvermount/silvermount/internal/targets"
)

const (
	// worthBase and worthPerThousand give the worth of an answer: the users' sheets rank their kinds of request about
	// like this (1.3 at 5,000 tokens, 3.9 at 45,000, 15 at 133,000).
	worthBase        = 0.7
	worthPerThousand = 0.1
	// worthLate is the share of an answer's worth that is left when it is late, on all sheets.
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
		Objective: max(as.Objective, time.Millisecond), Used: now.Sub(as.Arrived), LongestPause: pause,
		InTime: placement.WorthOf(worth), Late: placement.WorthOf(worth * worthLate), Left: as.Deadline.Sub(now),
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
	if len(sl.plan.Reserve) == 0 {
		return sl, true, nil
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

// choose books the plan of least expected loss under the book's lock, so that two requests do not see the same room. It
// returns nil when the prompt has to wait, and an error when it is refused.
func (ds *Dispatcher) choose(as Ask, pr placement.Prompt, tgs []targets.Target) (*Slot, error) {
	lag := ds.lagNow()
	ds.book.mu.Lock()
	defer ds.book.mu.Unlock()
	cands := ds.candidates(as.Service.Engine, tgs)
	seed := xxhash.Sum64String(ds.opts.Instance + as.Request)
	op := placement.Options{Seed: seed, Arrivals: arrivals(as.Service.Engine, cands)}
	pl, ok := ds.chooseFrom(as, pr, cands, op, lag)
	if !ok && as.Resumed {
		// The caller reads already: a late end is better than none.
		pr.Left = anyTime
		pl, ok = placement.Choose(*as.Service.Engine, pr, cands, op)
	}
	if ok && sheds(as, pr, pl, cands) {
		return nil, ds.refusal(as)
	}
	if !ok || better(as, pr, pl, cands, op) || defers(as, pr, pl) {
		return nil, nil
	}
	return ds.bookPlan(as, pr, pl, tgs), nil
}

// candidates returns targets with their loads as the placement takes them. The book's lock is held.
func (ds *Dispatcher) candidates(en *placement.Engine, tgs []targets.Target) []placement.Target {
	now := ds.opts.Now()
	cands := make([]placement.Target, len(tgs))
	for i, tg := range tgs {
		cands[i] = placement.Target{
			Name: tg.ID, Near: tg.AvailabilityZone == ds.opts.AvailabilityZone, Load: ds.book.total(tg.ID), Pace: 1, Helper: true,
		}
		if ds.book.isFull(tg.ID, now) {
			cands[i].Helper = false
			cands[i].Load.Memory = max(cands[i].Load.Memory, en.Memory)
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
	if len(pl.Reserve) > 0 {
		reading = reading.WithMemory(0)
	}
	if late(as, pr, pl) {
		reading = reading.WithoutStake()
	}
	sl.book(pl.Main, reading)
	for _, id := range pl.Helpers {
		sl.Helpers = append(sl.Helpers, Helper{ID: id, Address: byID[id].Address})
		sl.book(id, pr.Helping(parts))
	}
	for _, sh := range pl.Reserve {
		sl.bookHeld(sh.Target, placement.Load{Memory: sh.Tokens})
	}
	return sl
}

// late reports whether an answer is late already or is sure to be. Others need not spare it: nothing more of it is lost.
func late(as Ask, pr placement.Prompt, pl placement.Plan) bool {
	return as.Resumed || float64(pr.Used+pl.FirstToken) > lateFrom*float64(pr.Objective)
}

// lateFrom is the share of the objective from which a predicted first token is late for sure: predictions are off by a
// fifth.
const lateFrom = 1.2

// anyTime stands for a deadline that does not matter.
const anyTime = time.Hour

// writerPass is a usual pass of an engine with writers, some of them beside reading; the users' engines take 45 ms
// without and up to 250 ms with it.
const writerPass = 90 * time.Millisecond

// arrivals returns what begins to write at a usual target in a second: by Little's law what writes now, over the time
// for which an answer is written.
func arrivals(en *placement.Engine, cands []placement.Target) placement.Load {
	var sum placement.Load
	for i := range cands {
		for cl, worth := range cands[i].Load.AtRisk {
			sum.AtRisk[cl] += worth
		}
	}
	life := answerTime(en).Seconds()
	for cl := range sum.AtRisk {
		sum.AtRisk[cl] = placement.Worth(float64(sum.AtRisk[cl]) / life / float64(len(cands)))
	}
	return sum
}

// answerTime returns how long a usual answer is written.
func answerTime(en *placement.Engine) time.Duration {
	passes := max(1, float64(en.UsualAnswer)/float64(max(1, en.Stride)))
	return time.Duration(passes * float64(writerPass))
}

const (
	// waitGain is the share of an answer's worth that waiting for others' reading to end must save.
	waitGain = 0.04
	// waitUpTo is the share of the objective by which the first token must still be expected after a wait.
	waitUpTo = 0.75
)

// better reports whether a long prompt had better wait until what is being read now is read: the parts of two long
// prompts in one pass make the pauses of all writers there too long, one after the other they do not.
func better(as Ask, pr placement.Prompt, pl placement.Plan, cands []placement.Target, op placement.Options) bool {
	if as.Resumed || as.PromptTokens <= shortTokens {
		return false
	}
	clear := make([]placement.Target, len(cands))
	for i := range cands {
		clear[i] = cands[i]
		clear[i].Load.Whole, clear[i].Load.Parts = placement.Backlog{}, placement.Backlog{}
	}
	later, ok := placement.Choose(*as.Service.Engine, pr, clear, op)
	if !ok || float64(pr.Used+later.FirstToken) > waitUpTo*float64(pr.Objective) {
		return false
	}
	return float64(pl.Loss-later.Loss) > waitGain*float64(pr.InTime)
}

const (
	// fullFor is how long a target that refused to set memory aside counts as full: about an answer's time, in which
	// some of its requests end.
	fullFor = 500 * time.Millisecond
	// absentFor is the same for a target that another one named as an absent helper, and for one that gave no answer to
	// an order: about the time in which peers and the store tell that it is gone.
	absentFor = 2 * time.Second
)

// avoid leaves the target out for a while that refused or did not answer an order for memory. It reports whether there is
// one.
func (ds *Dispatcher) avoid(err error, tgs []targets.Target) bool {
	var re *reservation.RefusedError
	var ue *reservation.UnansweredError
	switch {
	case errors.As(err, &re):
		ds.noteFull(re.Address, tgs, fullFor)
	case errors.As(err, &ue):
		ds.noteFull(ue.Address, tgs, absentFor)
	default:
		return false
	}
	return true
}

func (ds *Dispatcher) noteFull(address string, tgs []targets.Target, span time.Duration) {
	for _, tg := range tgs {
		if tg.Address == address {
			ds.book.full(tg.ID, ds.opts.Now().Add(span))
		}
	}
}

const (
	// deferHarm is the share of its worth in time that a late prompt may cost others at once. It is a guess: about one
	// short answer for a long prompt.
	deferHarm = 0.05
	// deferUpTo is how many objectives a late prompt waits at most. Callers give a stream up after four, and a large
	// prompt is read for over one. 3.4 up to the first token, together with a price of slots, lost in a trial.
	deferUpTo = 2.5
)

// defers reports whether a prompt that is late in any case had better wait: what is left of its worth does not fall with
// time, and the others at its targets are in time now.
func defers(as Ask, pr placement.Prompt, pl placement.Plan) bool {
	if as.Resumed || as.PromptTokens <= shortTokens || !late(as, pr, pl) {
		return false
	}
	left := pr.Left - pl.FirstToken
	if left < pr.Objective || float64(pr.Used) > deferUpTo*float64(pr.Objective) {
		return false
	}
	return float64(pl.Harm) > deferHarm*float64(pr.InTime)
}

// reserve sets aside the memory of a plan. The main target's own reservation comes first among the helpers.
func (ds *Dispatcher) reserve(ctx context.Context, sl *Slot, tgs []targets.Target) error {
	address := map[string]string{}
	for _, tg := range tgs {
		address[tg.ID] = tg.Address
	}
	places := make([]reservation.Place, 0, len(sl.plan.Reserve))
	for _, sh := range sl.plan.Reserve {
		places = append(places, reservation.Place{Address: address[sh.Target], Tokens: sh.Tokens})
	}
	rv, err := ds.keeper.Take(ctx, places)
	if err != nil {
		return err
	}
	sl.reservation = rv
	sl.Helpers = nil
	for _, sh := range sl.plan.Reserve {
		sl.Helpers = append(sl.Helpers, Helper{ID: sh.Target, Address: address[sh.Target], Reservation: rv.ID()})
	}
	return nil
}

// The ranks of prompts at an engine, most urgent first. Short prompts have the shortest objectives; a stream that goes
// on elsewhere has a caller who already reads.
const (
	rankResumed = 0
	rankShort   = 1
	rankMiddle  = 3
	rankLong    = 5
	rankGiant   = 6

	shortTokens  = 16_000
	middleTokens = 80_000
	longTokens   = 200_000
)

// rankMost is the least urgent rank.
const rankMost = 9

// priority is the rank at the engine: that of the caller's organisation or route, and within about the same rank short
// prompts before long ones.
func priority(as Ask) int {
	if as.Resumed {
		return rankResumed
	}
	return min(rankMost, max(0, as.Priority)+lengthRank(as))
}

func lengthRank(as Ask) int {
	switch {
	case as.PromptTokens <= shortTokens:
		return rankShort
	case as.PromptTokens <= middleTokens:
		return rankMiddle
	case as.PromptTokens <= longTokens:
		return rankLong
	default:
		return rankGiant
	}
}
