package placement

import (
	"math"
	"slices"
	"time"
)

const (
	// MaxParts is the maximum number of parts of a prompt: one at the main target and one at each of the 16 helpers that a
	// request can name.
	MaxParts = 17
	// maxReservedParts is one fewer, because the main target with its own reservation is then one of the 16 helpers.
	maxReservedParts = 16
	// minPartTokens is the minimum size of a part of a split prompt. It is half the usual chunk of 2,048 tokens, below
	// which another helper saves less than one step.
	minPartTokens = 1024
	// maxStackTargets is the number of targets up to which Choose keeps its candidates on the stack. It is three times the
	// size of a usual fleet.
	maxStackTargets = 64
)

// partCounts are the numbers of parts that are tried. They lie close together, because one part more or less often
// decides whether a prompt is in time at the targets that are free.
var partCounts = [...]int{1, 2, 3, 4, 5, 6, 7, 8, 9, 10, 12, 14, 16, MaxParts}

// Choose returns the plan with the lowest expected loss for a prompt. It returns false when no placement is expected to
// finish before the deadline, or when the prompt does not fit into one engine and the free memory is not sufficient.
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
		meanPromptPrefill: en.prefillTime(en.meanPromptInPass()),
	}
	ch.helperCost = ch.lossModel.inTimeWorth * (helperFailureCost + helperContentionCost*op.PrefillShare)
	for ix := range ts {
		cs = append(cs, ch.newCandidate(&ts[ix], op.Seed))
	}
	ch.candidates = cs
	se, ok := ch.choose()
	if !ok {
		return Plan{}, false
	}
	return ch.plan(&se), true
}

// chooser holds the state of one call of Choose.
type chooser struct {
	en        Engine
	pr        Prompt
	lossModel lossModel
	// arrivalsPerSecond is the load that begins to decode at an average target each second.
	arrivalsPerSecond Load
	// meanPromptPrefill is the nanoseconds for the prefill of a mean prompt at a slowdown of 1.
	meanPromptPrefill float64
	// helperCost is the worth that each helper costs.
	helperCost float64
	candidates []candidate
	// reserving is set while plans with reserved memory are evaluated.
	reserving bool
	// parts is the current number of parts, part the prefill of each, and heldTokens the memory that each reserves.
	parts      int
	part       Backlog
	heldTokens int64
	// partPrefill is the nanoseconds for the prefill of a part at a slowdown of 1.
	partPrefill float64
}

// selection is a set of candidates with the predictions for it.
type selection struct {
	// chosen and shares hold the indices and memory shares of the candidates, the main target first. The first parts
	// elements are set.
	chosen [MaxParts]int
	shares [MaxParts]int64
	parts  int
	// reserved is set when shares holds values.
	reserved         bool
	timeToFirstToken float64
	longestPause     float64
	loss             float64
	// othersLoss is the part of loss that other requests lose.
	othersLoss float64
}

// choose returns the best selection. Memory is reserved only for a prompt that fits into the free memory of no target.
func (ch *chooser) choose() (selection, bool) {
	if ch.anyFits() {
		return ch.bestSelection()
	}
	ch.reserving = true
	se, ok := ch.bestSelection()
	if ok || ch.pr.memoryNeed() > ch.en.MemoryTokens {
		return se, ok
	}
	ch.reserving = false
	return ch.bestSelection()
}

// anyFits reports whether any target has enough free memory for the prompt and its answer.
func (ch *chooser) anyFits() bool {
	for ix := range ch.candidates {
		if ch.candidates[ix].freeMemory >= ch.pr.memoryNeed() {
			return true
		}
	}
	return false
}

// bestSelection returns the selection with the lowest loss over all numbers of parts. Fewer parts win a tie.
func (ch *chooser) bestSelection() (selection, bool) {
	best := selection{loss: math.Inf(1)}
	ch.setAllMemoryTerms()
	for _, pa := range partCounts {
		if !ch.allowsParts(pa) {
			continue
		}
		ch.setParts(pa)
		se, ok := ch.selectWithFallbacks()
		if ok && se.loss < best.loss {
			best = se
		}
	}
	return best, best.parts > 0
}

// allowsParts reports whether the prompt can be split into this number of parts.
func (ch *chooser) allowsParts(parts int) bool {
	if parts > len(ch.candidates) {
		return false
	}
	if ch.reserving && (parts > maxReservedParts || ch.pr.memoryNeed() > int64(parts)*ch.en.MemoryTokens) {
		return false
	}
	return parts == 1 || ch.pr.Tokens >= int64(parts)*minPartTokens
}

// setParts sets the number of parts and scores all candidates for it.
func (ch *chooser) setParts(parts int) {
	ch.parts = parts
	ch.part = ch.pr.Part(parts)
	ch.partPrefill = ch.en.prefillTime(ch.part)
	if ch.reserving {
		ch.heldTokens = ceilDiv(ch.pr.memoryNeed(), int64(parts))
		ch.setAllMemoryTerms()
	}
	for ix := range ch.candidates {
		ch.score(&ch.candidates[ix])
	}
}

// setAllMemoryTerms calls setMemoryTerms for all candidates.
func (ch *chooser) setAllMemoryTerms() {
	for ix := range ch.candidates {
		ch.setMemoryTerms(&ch.candidates[ix])
	}
}

// selectWithFallbacks selects and evaluates candidates for the current number of parts. If those with the lowest loss
// have too little memory or would miss the deadline, it tries those with the most free memory, and then the fastest.
func (ch *chooser) selectWithFallbacks() (selection, bool) {
	se := selection{parts: ch.parts, reserved: ch.reserving}
	if ch.trySelect(&se) {
		return se, true
	}
	if ch.reserving {
		ch.rankByFreeMemory()
		if ch.trySelect(&se) {
			return se, true
		}
	}
	ch.rankBySpeed()
	return se, ch.trySelect(&se)
}

// trySelect selects candidates by their keys. It reports false when they have too little memory or miss the deadline.
func (ch *chooser) trySelect(se *selection) bool {
	if !ch.selectLeastKeys(se) {
		return false
	}
	if ch.reserving && !ch.divideMemory(se) {
		return false
	}
	return ch.evaluate(se)
}

// evaluate sets the predictions and the loss of a selection, and reports whether it finishes before the deadline.
func (ch *chooser) evaluate(se *selection) bool {
	main := &ch.candidates[se.chosen[0]]
	if se.reserved {
		ch.applyLargestShare(se)
	}
	se.timeToFirstToken = main.timeToFirstToken
	se.longestPause = max(main.longestPause, main.decodePass)
	othersLoss := main.mainOthersLoss
	for _, ix := range se.chosen[1:se.parts] {
		he := &ch.candidates[ix]
		se.timeToFirstToken = max(se.timeToFirstToken, he.timeToPrefilled)
		se.longestPause = max(se.longestPause, he.longestPause)
		othersLoss += he.helperOthersLoss
	}
	helpersCost := ch.helperCost * float64(se.parts-1)
	se.othersLoss = othersLoss
	se.loss = othersLoss + ch.lossModel.expectedLoss(se.timeToFirstToken, main.pausesInTimeProbability) + main.preemptionLoss + main.interferenceLoss + helpersCost
	return se.timeToFirstToken+ch.decodeTime(main) <= float64(ch.pr.UntilDeadline)
}

// decodeTime returns the nanoseconds for decoding the answer at a candidate.
func (ch *chooser) decodeTime(ca *candidate) float64 {
	passes := ceilDiv(ch.pr.AnswerTokens, int64(ch.en.StepsPerPass))
	return float64(passes) * ca.decodePass
}

// applyLargestShare updates the main candidate of a selection for the largest share, which may be above an equal one.
func (ch *chooser) applyLargestShare(se *selection) {
	ch.heldTokens = slices.Max(se.shares[:se.parts])
	ch.setMemoryTerms(&ch.candidates[se.chosen[0]])
}

// plan converts a selection to a plan.
func (ch *chooser) plan(se *selection) Plan {
	pl := Plan{
		Main:             ch.candidates[se.chosen[0]].ta.Name,
		Part:             ch.pr.Part(se.parts),
		TimeToFirstToken: time.Duration(se.timeToFirstToken),
		PredictedPause:   time.Duration(se.longestPause),
		Loss:             Worth(se.loss),
		OthersLoss:       Worth(se.othersLoss),
	}
	if se.parts > 1 {
		pl.Helpers = make([]string, 0, se.parts-1)
	}
	for _, ix := range se.chosen[1:se.parts] {
		pl.Helpers = append(pl.Helpers, ch.candidates[ix].ta.Name)
	}
	if se.reserved {
		pl.MemoryShares = ch.memoryShares(se)
	}
	return pl
}

// memoryShares returns the memory shares of a selection.
func (ch *chooser) memoryShares(se *selection) []MemoryShare {
	sh := make([]MemoryShare, se.parts)
	for no := range sh {
		sh[no] = MemoryShare{Target: ch.candidates[se.chosen[no]].ta.Name, Tokens: se.shares[no]}
	}
	return sh
}
