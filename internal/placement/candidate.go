package placement

import (
	"math"
	"time"
)

// tieBreakShare is the share of the worth in time by which two targets may differ and still count as tied. It is of the
// size of the small costs (delayCostShare, helperFailureCost), below which predictions cannot tell targets apart.
const tieBreakShare = 0.002

// crossZoneShare is the share of the worth in time that a target in another availability zone costs: a network partition
// between zones breaks off requests across it, and the data crosses the zone boundary. It corresponds to the loss of one
// answer in a hundred.
const crossZoneShare = 0.01

// candidate is a target with the cost of placing a part of the prompt there.
type candidate struct {
	ta         *Target
	slowdown   float64
	freeMemory int64
	// meanPromptPrefill is the nanoseconds for the prefill of a mean prompt at the target.
	meanPromptPrefill float64
	canTakePart       bool
	// baseCost is a random tie-break drawn from the seed, plus the cost of another availability zone.
	baseCost float64
	// stepTime is the nanoseconds of a step without prefill, for a slowdown of 1.
	stepTime float64
	// prefillPause is the nanoseconds of the pause during the prefill of the backlog, without the prompt.
	prefillPause float64
	// helperLossBefore and mainLossBefore are the losses of decoding requests without the prompt: helperLossBefore in a
	// pass with the prefill of the backlog, and mainLossBefore in the worse of this pass and later ones.
	helperLossBefore, mainLossBefore float64
	// prefillingLossBefore is the loss of prefilling requests without the prompt.
	prefillingLossBefore float64
	// helperLossHolding and mainLossHolding are the losses of decoding requests while the target holds memory of the
	// prompt, as a helper and as the main target.
	helperLossHolding, mainLossHolding float64
	// interferenceLoss is the expected loss of the prompt due to parts of later long prompts at the target.
	interferenceLoss float64
	// slotWait is the nanoseconds that the prompt waits for a slot.
	slotWait float64
	// decodePass is the nanoseconds of a pass while the prompt decodes, and pausesInTimeProbability the probability that
	// its pauses are in time.
	decodePass, pausesInTimeProbability float64
	// preemptionLoss is the expected loss of the prompt due to full memory; it is 0 for reserved memory.
	preemptionLoss float64

	// bestHelper is set while the target is among the helpers that another main target would get.
	bestHelper bool

	// The following fields hold for the current number of parts of the chooser.

	// timeToPrefilled is the nanoseconds until the prefill of a part ends, and timeToFirstToken adds the wait for a slot.
	timeToPrefilled, timeToFirstToken float64
	// longestPause is the nanoseconds of the longest pause during the prefill of a part.
	longestPause float64
	// helperOthersLoss and mainOthersLoss are the losses of the other requests when the target is a helper or the main
	// target.
	helperOthersLoss, mainOthersLoss float64
	// helperKey and mainKey order the candidates, lowest first. They are infinite when the target cannot be chosen.
	helperKey, mainKey float64
}

// newCandidate sets the fields that depend neither on the number of parts nor on reserved memory.
func (ch *chooser) newCandidate(ta *Target, seed uint64) candidate {
	ca := candidate{
		ta:          ta,
		slowdown:    ta.slowdown(),
		freeMemory:  ta.freeMemory(&ch.en),
		canTakePart: ta.canTakePart(&ch.en),
		baseCost:    tieBreakShare * ch.lossModel.inTimeWorth * hashFraction(seed, ta.Name),
		slotWait:    ch.en.slotWait(ta),
	}
	if !ta.SameZone {
		ca.baseCost += crossZoneShare * ch.lossModel.inTimeWorth
	}
	ca.interferenceLoss = ch.lossModel.interferenceLoss(ch.en.Slots, ta.Load.protection(ch.pr.MaxPause, ch.en.Slots))
	ca.meanPromptPrefill = ca.slowdown * ch.meanPromptPrefill
	ca.stepTime = ch.en.stepTimeAt(ta)
	ca.prefillPause = ch.en.prefillPause(ta, Backlog{}, ca.stepTime)
	decodePause := ch.en.decodePassTimeAt(ta, 0, 0) + ca.meanPromptPrefill
	ca.helperLossBefore = ta.Load.PauseRisk.expectedLoss(ca.prefillPause)
	ca.mainLossBefore = max(ca.helperLossBefore, ta.Load.PauseRisk.expectedLoss(decodePause))
	ca.prefillingLossBefore = ta.Load.FirstTokenRisk.expectedLoss(ch.en.timeToPrefilled(ta, Backlog{}, false, ca.stepTime))
	return ca
}

// setMemoryTerms sets the fields that depend on the memory that the prompt holds at the target while it decodes.
func (ch *chooser) setMemoryTerms(ca *candidate) {
	if ch.reserving {
		addedPass := ca.slowdown * (ch.en.decodePassTime(0, ch.heldTokens) - ch.en.decodePassTime(0, 0))
		ca.preemptionLoss = 0
		ca.decodePass = ch.decodePassTime(ca, ch.heldTokens)
		ca.helperLossHolding = ca.ta.Load.PauseRisk.expectedLoss(ca.prefillPause + addedPass)
	} else {
		ca.preemptionLoss = ch.lossModel.preemptionLoss(&ch.en, ca.ta.Load.MemoryTokens+ch.pr.memoryNeed())
		ca.decodePass = ch.decodePassTime(ca, ch.pr.Tokens+ch.pr.AnswerTokens/2)
		ca.helperLossHolding = 0
	}
	ca.mainLossHolding = ca.ta.Load.PauseRisk.expectedLoss(ca.decodePass + ca.meanPromptPrefill)
	ca.pausesInTimeProbability = 1 - ch.lossModel.longestPause.exceedProbability(ca.decodePass+ca.meanPromptPrefill)
}

// decodePassTime returns the nanoseconds of a pass at a main target where the prompt decodes with contextTokens tokens
// of context.
func (ch *chooser) decodePassTime(ca *candidate, contextTokens int64) float64 {
	ns := ch.en.decodePassTimeAt(ca.ta, 1, contextTokens)
	if ch.reserving {
		ns += ca.slowdown * float64(ch.en.StepsPerPass) * float64(ch.en.HopTime)
	}
	return ns
}

// score sets the fields that depend on the number of parts.
func (ch *chooser) score(ca *candidate) {
	split := ch.parts > 1
	ca.timeToPrefilled = ch.en.timeToPrefilled(ca.ta, ch.part, split, ca.stepTime)
	ca.timeToFirstToken = ca.timeToPrefilled + ca.slotWait
	ca.longestPause = ch.en.prefillPause(ca.ta, ch.part, ca.stepTime)
	prefill := ca.slowdown * ch.partPrefill
	decodingLoss := ca.ta.Load.PauseRisk.expectedLoss(ca.longestPause)
	othersLoss := ch.prefillingLoss(ca, split) + ch.arrivalsLoss(ca.longestPause, prefill)
	ch.scoreMain(ca, decodingLoss, othersLoss)
	if split {
		ch.scoreHelper(ca, decodingLoss, othersLoss)
	}
	if ch.reserving {
		ch.penaliseMemoryShortage(ca)
	}
}

// prefillingLoss returns the expected loss of requests whose prefill at a target runs together with a part or after it.
func (ch *chooser) prefillingLoss(ca *candidate, split bool) float64 {
	lo := &ca.ta.Load
	if lo.Prefilling == 0 {
		return 0
	}
	after := lo.FirstTokenRisk.expectedLoss(ch.en.timeToPrefilled(ca.ta, ch.part, false, ca.stepTime))
	if split {
		return after - ca.prefillingLossBefore
	}
	return unsplitDelayShare * (after - ca.prefillingLossBefore)
}

// arrivalsLoss returns the expected loss of requests that begin to decode at a target during the prefill of a part.
func (ch *chooser) arrivalsLoss(pause, prefill float64) float64 {
	return ch.arrivalsPerSecond.PauseRisk.expectedLoss(pause) * prefill / float64(time.Second)
}

// scoreMain sets the cost of the candidate as the main target. During the prefill of its part, decodingLoss is the loss
// of the requests that decode there, and othersLoss that of prefilling requests and arrivals.
func (ch *chooser) scoreMain(ca *candidate, decodingLoss, othersLoss float64) {
	if ca.ta.Blocked {
		ca.mainKey = math.Inf(1)
		return
	}
	ca.mainOthersLoss = max(decodingLoss, ca.mainLossHolding) - ca.mainLossBefore + othersLoss
	ca.mainKey = ca.mainOthersLoss + ch.lossModel.expectedLoss(ca.timeToFirstToken, ca.pausesInTimeProbability) + ca.preemptionLoss + ca.interferenceLoss + ca.baseCost
}

// scoreHelper sets the cost of the candidate as a helper. The parameters are those of scoreMain.
func (ch *chooser) scoreHelper(ca *candidate, decodingLoss, othersLoss float64) {
	if !ca.canTakePart {
		ca.helperKey = math.Inf(1)
		return
	}
	ca.helperOthersLoss = max(decodingLoss, ca.helperLossHolding) - ca.helperLossBefore + othersLoss
	ca.helperKey = ca.helperOthersLoss + ch.lossModel.firstTokenLoss(ca.timeToPrefilled) + ca.baseCost
}

// penaliseMemoryShortage adds a cost to candidates without enough memory for an equal share, and excludes those without
// any free memory.
func (ch *chooser) penaliseMemoryShortage(ca *candidate) {
	if ca.freeMemory == 0 {
		ca.mainKey = math.Inf(1)
		ca.helperKey = math.Inf(1)
		return
	}
	shortage := max(ch.heldTokens-ca.freeMemory, 0)
	penalty := ch.lossModel.inTimeWorth * float64(shortage) / float64(ch.heldTokens)
	ca.mainKey += penalty
	ca.helperKey += penalty
}

// meanPromptInPass returns the prefill of a mean prompt, limited to what fits into one pass.
func (en *Engine) meanPromptInPass() Backlog {
	ba := Backlog{Tokens: en.MeanPromptTokens, Pairs: en.MeanPromptTokens * en.MeanPromptTokens / 2}
	return en.capped(ba, en.passCapacity())
}

const (
	// fnvOffset and fnvPrime are the constants of the 64-bit FNV-1a hash.
	fnvOffset = 14695981039346656037
	fnvPrime  = 1099511628211
	// mantissaBits is the size of the largest integers that a float64 represents exactly.
	mantissaBits = 53
)

// hashFraction returns a pseudo-random number in [0, 1) that depends only on the seed and the name.
func hashFraction(seed uint64, name string) float64 {
	ha := seed ^ fnvOffset
	for ix := range len(name) {
		ha = (ha ^ uint64(name[ix])) * fnvPrime
	}
	return float64(mixBits(ha)>>(64-mantissaBits)) / (1 << mantissaBits)
}

// mixBits spreads each bit of a number over all its bits. It is the finalizer of SplitMix64.
func mixBits(ha uint64) uint64 {
	ha = (ha ^ ha>>30) * 0xBF58476D1CE4E5B9
	ha = (ha ^ ha>>27) * 0x94D049BB133111EB
	return ha ^ ha>>31
}
