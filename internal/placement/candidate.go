package placement

import (
	"math"
	"time"
)

// tieShare is the share of the worth in time by which two targets may differ and still count as tied. It is the size of
// the small prices (earlyShare, partRisk), below which predictions say nothing.
const tieBreakShare = 0.002

// farShare is the share of the worth in time that a target in another availability zone costs: a cut between zones breaks off what is
// read or written across it, and the bytes cross the border. It answers to one in a hundred answers.
const crossZoneShare = 0.01

// candidate is a target and what it costs to place a part of the prompt there.
type candidate struct {
	ta *Target
	// pace, free and usual are the target's pace, free memory and nanoseconds of reading a usual prompt.
	slowdown    float64
	freeMemory  int64
	meanPrefill float64
	// helps is true when the target accepts another part.
	canTakePart bool
	// tie is a small worth drawn from the seed.
	preference float64
	// step is a step there without reading at a pace of 1, in nanoseconds.
	stepTime float64
	// readPause is the pause there without the prompt while what waits is read, in nanoseconds.
	prefillPause float64
	// helpBefore and mainBefore are what writers there lose without the prompt, in a pass that reads what waits and in
	// the worse of that one and later ones.
	helperLossBefore, mainLossBefore float64
	// readersBefore is what readers there lose without the prompt.
	prefillingLossBefore float64
	// helpHold and mainHold are what writers there lose while the target holds memory of the prompt as a helper, or as
	// the main target.
	helperLossHolding, mainLossHolding float64
	// exposed is what the prompt is expected to lose there to long parts of prompts to come.
	interferenceLoss float64
	// slotWait is how long the prompt waits for a slot there, in nanoseconds.
	slotWait float64
	// ownPass and pausesInTime are a pass there while the prompt writes, in nanoseconds, and how likely its pauses are
	// in time.
	decodePass, pausesInTimeProbability float64
	// full is what the prompt is expected to lose to full memory there; it is 0 for reserved memory.
	preemptionLoss float64

	// ranked is true while the target is one of the helpers that would be chosen for another main target.
	bestHelper bool

	// The fields below hold for the number of parts that is judged.

	// ready is when a part is read there, and first when it is read and has a slot, in nanoseconds.
	timeToPrefilled, timeToFirstToken float64
	// pause is the longest pause while a part is read there, in nanoseconds.
	longestPause float64
	// helpHarm and mainHarm are what the others there lose when the target helps or is the main one.
	helperOthersLoss, mainOthersLoss float64
	// helpKey and mainKey order the candidates; they are infinite when the target cannot be chosen.
	helperKey, mainKey float64
}

// candidate returns a target with all that depends neither on the number of parts nor on reserved memory.
func (ch *chooser) newCandidate(ta *Target, seed uint64) candidate {
	ca := candidate{
		ta:          ta,
		slowdown:    ta.slowdown(),
		freeMemory:  ta.freeMemory(&ch.en),
		canTakePart: ta.canTakePart(&ch.en),
		preference:  tieBreakShare * ch.lossModel.inTimeWorth * hashFraction(seed, ta.Name),
		slotWait:    ch.en.slotWait(ta),
	}
	if !ta.SameZone {
		ca.preference += crossZoneShare * ch.lossModel.inTimeWorth
	}
	ca.interferenceLoss = ch.lossModel.interferenceLoss(ch.en.Slots, ta.Load.protection(ch.pr.LongestPause, ch.en.Slots))
	ca.meanPrefill = ca.slowdown * ch.meanPrefill
	ca.stepTime = ch.en.stepTimeAt(ta)
	ca.prefillPause = ch.en.prefillPause(ta, Backlog{}, ca.stepTime)
	writePause := ch.en.decodePassTimeAt(ta, 0, 0) + ca.meanPrefill
	ca.helperLossBefore = ta.Load.PauseRisk.expectedLoss(ca.prefillPause)
	ca.mainLossBefore = max(ca.helperLossBefore, ta.Load.PauseRisk.expectedLoss(writePause))
	ca.prefillingLossBefore = ta.Load.FirstTokenRisk.expectedLoss(ch.en.timeToPrefilled(ta, Backlog{}, false, ca.stepTime))
	return ca
}

// hold sets all that depends on the memory the prompt holds at the target while it writes.
func (ch *chooser) setMemoryTerms(ca *candidate) {
	if ch.reserving {
		more := ca.slowdown * (ch.en.decodePassTime(0, ch.heldTokens) - ch.en.decodePassTime(0, 0))
		ca.preemptionLoss = 0
		ca.decodePass = ch.decodePassTime(ca, ch.heldTokens)
		ca.helperLossHolding = ca.ta.Load.PauseRisk.expectedLoss(ca.prefillPause + more)
	} else {
		ca.preemptionLoss = ch.lossModel.preemptionLoss(&ch.en, ca.ta.Load.Memory+ch.pr.memoryNeed())
		ca.decodePass = ch.decodePassTime(ca, ch.pr.Tokens+ch.pr.AnswerTokens/2)
		ca.helperLossHolding = 0
	}
	ca.mainLossHolding = ca.ta.Load.PauseRisk.expectedLoss(ca.decodePass + ca.meanPrefill)
	ca.pausesInTimeProbability = 1 - ch.lossModel.longestPause.exceedProbability(ca.decodePass+ca.meanPrefill)
}

// ownPass returns the nanoseconds of a pass at the main target while the prompt writes with a context there.
func (ch *chooser) decodePassTime(ca *candidate, context int64) float64 {
	ns := ch.en.decodePassTimeAt(ca.ta, 1, context)
	if ch.reserving {
		ns += ca.slowdown * float64(ch.en.StepsPerPass) * float64(ch.en.HopTime)
	}
	return ns
}

// judge sets all that depends on the number of parts.
func (ch *chooser) score(ca *candidate) {
	split := ch.parts > 1
	ca.timeToPrefilled = ch.en.timeToPrefilled(ca.ta, ch.part, split, ca.stepTime)
	ca.timeToFirstToken = ca.timeToPrefilled + ca.slotWait
	ca.longestPause = ch.en.prefillPause(ca.ta, ch.part, ca.stepTime)
	reading := ca.slowdown * ch.partPrefill
	writers := ca.ta.Load.PauseRisk.expectedLoss(ca.longestPause)
	others := ch.prefillingLoss(ca, split) + ch.arrivalsLoss(ca.longestPause, reading)
	ch.scoreMain(ca, writers, others)
	if split {
		ch.scoreHelper(ca, writers, others)
	}
	if ch.reserving {
		ch.penaliseMemoryShortage(ca)
	}
}

// readersLoss returns what those are expected to lose whose own prompts are read at a target with or behind a part.
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

// arrivalsLoss returns what those are expected to lose that begin to write at a target while a part is read there.
func (ch *chooser) arrivalsLoss(pause, reading float64) float64 {
	return ch.arrivalsPerSecond.PauseRisk.expectedLoss(pause) * reading / float64(time.Second)
}

// judgeMain sets what the target costs as the main one. Reading the part costs the writers there and the others, which
// are readers and arrivals.
func (ch *chooser) scoreMain(ca *candidate, writers, others float64) {
	if ca.ta.Closed {
		ca.mainKey = math.Inf(1)
		return
	}
	ca.mainOthersLoss = max(writers, ca.mainLossHolding) - ca.mainLossBefore + others
	ca.mainKey = ca.mainOthersLoss + ch.lossModel.expectedLoss(ca.timeToFirstToken, ca.pausesInTimeProbability) + ca.preemptionLoss + ca.interferenceLoss + ca.preference
}

// judgeHelp sets what the target costs as a helper, likewise.
func (ch *chooser) scoreHelper(ca *candidate, writers, others float64) {
	if !ca.canTakePart {
		ca.helperKey = math.Inf(1)
		return
	}
	ca.helperOthersLoss = max(writers, ca.helperLossHolding) - ca.helperLossBefore + others
	ca.helperKey = ca.helperOthersLoss + ch.lossModel.firstTokenLoss(ca.timeToPrefilled) + ca.preference
}

// judgeRoom puts targets back that lack memory for an even share, and rules out those that have none.
func (ch *chooser) penaliseMemoryShortage(ca *candidate) {
	if ca.freeMemory == 0 {
		ca.mainKey = math.Inf(1)
		ca.helperKey = math.Inf(1)
		return
	}
	lack := max(ch.heldTokens-ca.freeMemory, 0)
	price := ch.lossModel.inTimeWorth * float64(lack) / float64(ch.heldTokens)
	ca.mainKey += price
	ca.helperKey += price
}

// usualPart returns the reading of a usual prompt, as far as it fits into a pass.
func (en *Engine) meanPrompt() Backlog {
	ba := Backlog{Tokens: en.MeanPromptTokens, Pairs: en.MeanPromptTokens * en.MeanPromptTokens / 2}
	return en.capped(ba, en.passCapacity())
}

const (
	// fnvOffset and fnvPrime are those of the 64-bit FNV-1a hash.
	fnvOffset = 14695981039346656037
	fnvPrime  = 1099511628211
	// fractionBits is the number of bits that a float64 holds exactly.
	mantissaBits = 53
)

// fraction returns a number from 0 to below 1 that depends on the seed and the name only.
func hashFraction(seed uint64, name string) float64 {
	ha := seed ^ fnvOffset
	for ix := range len(name) {
		ha = (ha ^ uint64(name[ix])) * fnvPrime
	}
	return float64(mixBits(ha)>>(64-mantissaBits)) / (1 << mantissaBits)
}

// mix spreads every bit of a number over all bits. It is the finalizer of SplitMix64, with its shifts and factors.
func mixBits(ha uint64) uint64 {
	ha = (ha ^ ha>>30) * 0xBF58476D1CE4E5B9
	ha = (ha ^ ha>>27) * 0x94D049BB133111EB
	return ha ^ ha>>31
}
