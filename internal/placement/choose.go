package placement

import (
	"math"
	"slices"
	"time"
)

const (
	// MostParts is the most parts of a prompt: those of one main target and the 16 helpers that a request can name.
	MaxParts = 17
	// mostReserved is one fewer, since the main target then takes one of the 16 places for its own memory.
	maxReservedParts = 16
	// leastPart is the smallest part, in tokens, that a prompt is split into: half a usual chunk of 2,048, below which
	// a further helper saves less than a step.
	minPartTokens = 1024
	// stackTargets is the number of targets up to which choosing needs no heap for them: three times a usual fleet.
	maxStackTargets = 64
)

// counts are the numbers of parts that are tried. They lie close together, as a part more or less often decides whether
// a prompt is in time with the targets that are free.
var partCounts = [...]int{1, 2, 3, 4, 5, 6, 7, 8, 9, 10, 12, 14, 16, MaxParts}

// Choose returns the plan of least expected loss for a prompt. It returns false when no placement is expected to finish
// before the deadline, or when the prompt is larger than an engine and not enough memory is free.
func Choose(en Engine, pr Prompt, ts []Target, op Options) (Plan, bool) {
	var buf [maxStackTargets]candidate
	cs := buf[:0]
	if len(ts) > maxStackTargets {
		cs = make([]candidate, 0, len(ts))
	}
	ch := chooser{
		en:                en,
		pr:                pr,
		lossModel:         pr.lossModel(),
		arrivalsPerSecond: op.ArrivalsPerSecond,
		meanPrefill:       en.prefillTime(en.meanPrompt()),
	}
	ch.helperCost = ch.lossModel.inTimeWorth * (helperFailureCost + helperContentionCost*op.PrefillShare)
	for ix := range ts {
		cs = append(cs, ch.newCandidate(&ts[ix], op.Seed))
	}
	ch.candidates = cs
	pi, ok := ch.choose()
	if !ok {
		return Plan{}, false
	}
	return ch.plan(&pi), true
}

// chooser holds one choice while it is made.
type chooser struct {
	en        Engine
	pr        Prompt
	lossModel lossModel
	// arrivals is what begins to write at a usual target in a second.
	arrivalsPerSecond Load
	// usual is the nanoseconds of reading a usual prompt at a pace of 1.
	meanPrefill float64
	// helperPrice is the worth that each helper costs.
	helperCost float64
	candidates []candidate
	// reserved is true while plans that set memory aside are judged.
	reserving bool
	// parts, part and held are the number of parts, the backlog of each and the memory each sets aside.
	parts      int
	part       Backlog
	heldTokens int64
	// reading is the nanoseconds of reading a part at a pace of 1.
	partPrefill float64
}

// pick is a judged set of candidates.
type selection struct {
	// chosen are indices of candidates, the main one first; parts of them are set.
	chosen [MaxParts]int
	shares [MaxParts]int64
	parts  int
	// reserved is true when shares are set.
	reserved         bool
	timeToFirstToken float64
	longestPause     float64
	loss             float64
	// harm is the part of loss that others lose.
	othersLoss float64
}

// choose returns the best pick. Memory is reserved only for a prompt that no target has room for.
func (ch *chooser) choose() (selection, bool) {
	if ch.anyFits() {
		return ch.bestSelection()
	}
	ch.reserving = true
	pi, ok := ch.bestSelection()
	if ok || ch.pr.memoryNeed() > ch.en.MemoryTokens {
		return pi, ok
	}
	ch.reserving = false
	return ch.bestSelection()
}

// fits reports whether any target has room for the prompt and its answer.
func (ch *chooser) anyFits() bool {
	for ix := range ch.candidates {
		if ch.candidates[ix].freeMemory >= ch.pr.memoryNeed() {
			return true
		}
	}
	return false
}

// best returns the pick of least loss over all numbers of parts; fewer parts win a tie.
func (ch *chooser) bestSelection() (selection, bool) {
	best := selection{loss: math.Inf(1)}
	ch.setMemoryTermsOfAll()
	for _, pa := range partCounts {
		if !ch.allowsParts(pa) {
			continue
		}
		ch.setParts(pa)
		pi, ok := ch.selectWithFallbacks()
		if ok && pi.loss < best.loss {
			best = pi
		}
	}
	return best, best.parts > 0
}

// allows reports whether a prompt can be split into a number of parts.
func (ch *chooser) allowsParts(parts int) bool {
	if parts > len(ch.candidates) {
		return false
	}
	if ch.reserving && (parts > maxReservedParts || ch.pr.memoryNeed() > int64(parts)*ch.en.MemoryTokens) {
		return false
	}
	return parts == 1 || ch.pr.Tokens >= int64(parts)*minPartTokens
}

// split sets the number of parts and judges all candidates for it.
func (ch *chooser) setParts(parts int) {
	ch.parts = parts
	ch.part = ch.pr.Part(parts)
	ch.partPrefill = ch.en.prefillTime(ch.part)
	if ch.reserving {
		ch.heldTokens = ceilDiv(ch.pr.memoryNeed(), int64(parts))
		ch.setMemoryTermsOfAll()
	}
	for ix := range ch.candidates {
		ch.score(&ch.candidates[ix])
	}
}

// holdAll sets what depends on the memory that the prompt holds.
func (ch *chooser) setMemoryTermsOfAll() {
	for ix := range ch.candidates {
		ch.setMemoryTerms(&ch.candidates[ix])
	}
}

// pick selects candidates for the number of parts and judges them together. When those of least loss lack memory or
// time, it tries those with the most memory, and then the fastest.
func (ch *chooser) selectWithFallbacks() (selection, bool) {
	pi := selection{parts: ch.parts, reserved: ch.reserving}
	if ch.trySelect(&pi) {
		return pi, true
	}
	if ch.reserving {
		ch.rankByFreeMemory()
		if ch.trySelect(&pi) {
			return pi, true
		}
	}
	ch.rankBySpeed()
	return pi, ch.trySelect(&pi)
}

// try fills a pick in from the keys of the candidates. It reports false when they lack memory or time.
func (ch *chooser) trySelect(pi *selection) bool {
	if !ch.selectLeastKeys(pi) {
		return false
	}
	if ch.reserving && !ch.divideMemory(pi) {
		return false
	}
	return ch.evaluate(pi)
}

// total sets the predictions and the loss of a pick, and reports whether it finishes before the deadline.
func (ch *chooser) evaluate(pi *selection) bool {
	main := &ch.candidates[pi.chosen[0]]
	if pi.reserved {
		ch.applyLargestShare(pi)
	}
	pi.timeToFirstToken = main.timeToFirstToken
	pi.longestPause = max(main.longestPause, main.decodePass)
	harm := main.mainOthersLoss
	for _, ix := range pi.chosen[1:pi.parts] {
		he := &ch.candidates[ix]
		pi.timeToFirstToken = max(pi.timeToFirstToken, he.timeToPrefilled)
		pi.longestPause = max(pi.longestPause, he.longestPause)
		harm += he.helperOthersLoss
	}
	risk := ch.helperCost * float64(pi.parts-1)
	pi.othersLoss = harm
	pi.loss = harm + ch.lossModel.expectedLoss(pi.timeToFirstToken, main.pausesInTimeProbability) + main.preemptionLoss + main.interferenceLoss + risk
	return pi.timeToFirstToken+ch.decodeTime(main) <= float64(ch.pr.UntilDeadline)
}

// writing returns the nanoseconds of writing the answer at a candidate.
func (ch *chooser) decodeTime(ca *candidate) float64 {
	passes := ceilDiv(ch.pr.AnswerTokens, int64(ch.en.StepsPerPass))
	return float64(passes) * ca.decodePass
}

// holdShares sets what the main candidate of a pick pays for the largest share, which may be more than an even one.
func (ch *chooser) applyLargestShare(pi *selection) {
	ch.heldTokens = slices.Max(pi.shares[:pi.parts])
	ch.setMemoryTerms(&ch.candidates[pi.chosen[0]])
}

// plan returns a pick as a plan.
func (ch *chooser) plan(pi *selection) Plan {
	pl := Plan{
		Main:             ch.candidates[pi.chosen[0]].ta.Name,
		Part:             ch.pr.Part(pi.parts),
		TimeToFirstToken: time.Duration(pi.timeToFirstToken),
		LongestPause:     time.Duration(pi.longestPause),
		Loss:             Worth(pi.loss),
		OthersLoss:       Worth(pi.othersLoss),
	}
	if pi.parts > 1 {
		pl.Helpers = make([]string, 0, pi.parts-1)
	}
	for _, ix := range pi.chosen[1:pi.parts] {
		pl.Helpers = append(pl.Helpers, ch.candidates[ix].ta.Name)
	}
	if pi.reserved {
		pl.MemoryShares = ch.memoryShares(pi)
	}
	return pl
}

// reserve returns the shares of a pick.
func (ch *chooser) memoryShares(pi *selection) []MemoryShare {
	sh := make([]MemoryShare, pi.parts)
	for no := range sh {
		sh[no] = MemoryShare{Target: ch.candidates[pi.chosen[no]].ta.Name, Tokens: pi.shares[no]}
	}
	return sh
}
