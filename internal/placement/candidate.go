package placement

import (
	"math"
	"time"
)

// tieShare is the share of the worth in time by which two targets may differ and still count as tied. It is the size of
// the small prices (earlyShare, partRisk), below which predictions say nothing.
const tieShare = 0.002

// farShare is the share of the worth in time that a target in another availability zone costs: a cut between zones breaks off what is
// read or written across it, and the bytes cross the border. It answers to one in a hundred answers.
const farShare = 0.01

// candidate is a target and what it costs to place a part of the prompt there.
type candidate struct {
	ta *Target
	// pace, free and usual are the target's pace, free memory and nanoseconds of reading a usual prompt.
	pace  float64
	free  int64
	usual float64
	// helps is true when the target accepts another part.
	helps bool
	// tie is a small worth drawn from the seed.
	tie float64
	// step is a step there without reading at a pace of 1, in nanoseconds.
	step float64
	// readPause is the pause there without the prompt while what waits is read, in nanoseconds.
	readPause float64
	// helpBefore and mainBefore are what writers there lose without the prompt, in a pass that reads what waits and in
	// the worse of that one and later ones.
	helpBefore, mainBefore float64
	// readersBefore is what readers there lose without the prompt.
	readersBefore float64
	// helpHold and mainHold are what writers there lose while the target holds memory of the prompt as a helper, or as
	// the main target.
	helpHold, mainHold float64
	// exposed is what the prompt is expected to lose there to long parts of prompts to come.
	exposed float64
	// slotWait is how long the prompt waits for a slot there, in nanoseconds.
	slotWait float64
	// ownPass and pausesInTime are a pass there while the prompt writes, in nanoseconds, and how likely its pauses are
	// in time.
	ownPass, pausesInTime float64
	// full is what the prompt is expected to lose to full memory there; it is 0 for reserved memory.
	full float64

	// ranked is true while the target is one of the helpers that would be chosen for another main target.
	ranked bool

	// The fields below hold for the number of parts that is judged.

	// ready is when a part is read there, and first when it is read and has a slot, in nanoseconds.
	ready, first float64
	// pause is the longest pause while a part is read there, in nanoseconds.
	pause float64
	// helpHarm and mainHarm are what the others there lose when the target helps or is the main one.
	helpHarm, mainHarm float64
	// helpKey and mainKey order the candidates; they are infinite when the target cannot be chosen.
	helpKey, mainKey float64
}

// candidate returns a target with all that depends neither on the number of parts nor on reserved memory.
func (ch *chooser) candidate(ta *Target, seed uint64) candidate {
	ca := candidate{
		ta:       ta,
		pace:     ta.pace(),
		free:     ta.free(&ch.en),
		helps:    ta.helps(&ch.en),
		tie:      tieShare * ch.stake.inTime * fraction(seed, ta.Name),
		slotWait: ch.en.slotWait(ta),
	}
	if !ta.SameZone {
		ca.tie += farShare * ch.stake.inTime
	}
	ca.exposed = ch.stake.exposure(ch.en.Slots, ta.Load.sheltered(ch.pr.LongestPause, ch.en.Slots))
	ca.usual = ca.pace * ch.usual
	ca.step = ch.en.stepAt(ta)
	ca.readPause = ch.en.readPause(ta, Backlog{}, ca.step)
	writePause := ch.en.writePass(ta, 0, 0) + ca.usual
	ca.helpBefore = ta.Load.PauseRisk.loss(ca.readPause)
	ca.mainBefore = max(ca.helpBefore, ta.Load.PauseRisk.loss(writePause))
	ca.readersBefore = ta.Load.FirstTokenRisk.loss(ch.en.readTime(ta, Backlog{}, false, ca.step))
	return ca
}

// hold sets all that depends on the memory the prompt holds at the target while it writes.
func (ch *chooser) hold(ca *candidate) {
	if ch.reserved {
		more := ca.pace * (ch.en.pass(0, ch.held) - ch.en.pass(0, 0))
		ca.full = 0
		ca.ownPass = ch.ownPass(ca, ch.held)
		ca.helpHold = ca.ta.Load.PauseRisk.loss(ca.readPause + more)
	} else {
		ca.full = ch.stake.fullLoss(&ch.en, ca.ta.Load.Memory+ch.pr.need())
		ca.ownPass = ch.ownPass(ca, ch.pr.Tokens+ch.pr.AnswerTokens/2)
		ca.helpHold = 0
	}
	ca.mainHold = ca.ta.Load.PauseRisk.loss(ca.ownPass + ca.usual)
	ca.pausesInTime = 1 - ch.stake.pause.chance(ca.ownPass+ca.usual)
}

// ownPass returns the nanoseconds of a pass at the main target while the prompt writes with a context there.
func (ch *chooser) ownPass(ca *candidate, context int64) float64 {
	ns := ch.en.writePass(ca.ta, 1, context)
	if ch.reserved {
		ns += ca.pace * float64(ch.en.StepsPerPass) * float64(ch.en.HopTime)
	}
	return ns
}

// judge sets all that depends on the number of parts.
func (ch *chooser) judge(ca *candidate) {
	split := ch.parts > 1
	ca.ready = ch.en.readTime(ca.ta, ch.part, split, ca.step)
	ca.first = ca.ready + ca.slotWait
	ca.pause = ch.en.readPause(ca.ta, ch.part, ca.step)
	reading := ca.pace * ch.reading
	writers := ca.ta.Load.PauseRisk.loss(ca.pause)
	others := ch.readersLoss(ca, split) + ch.arrivalsLoss(ca.pause, reading)
	ch.judgeMain(ca, writers, others)
	if split {
		ch.judgeHelp(ca, writers, others)
	}
	if ch.reserved {
		ch.judgeRoom(ca)
	}
}

// readersLoss returns what those are expected to lose whose own prompts are read at a target with or behind a part.
func (ch *chooser) readersLoss(ca *candidate, split bool) float64 {
	lo := &ca.ta.Load
	if lo.Prefilling == 0 {
		return 0
	}
	after := lo.FirstTokenRisk.loss(ch.en.readTime(ca.ta, ch.part, false, ca.step))
	if split {
		return after - ca.readersBefore
	}
	return wholeDelay * (after - ca.readersBefore)
}

// arrivalsLoss returns what those are expected to lose that begin to write at a target while a part is read there.
func (ch *chooser) arrivalsLoss(pause, reading float64) float64 {
	return ch.arrivals.PauseRisk.loss(pause) * reading / float64(time.Second)
}

// judgeMain sets what the target costs as the main one. Reading the part costs the writers there and the others, which
// are readers and arrivals.
func (ch *chooser) judgeMain(ca *candidate, writers, others float64) {
	if ca.ta.Closed {
		ca.mainKey = math.Inf(1)
		return
	}
	ca.mainHarm = max(writers, ca.mainHold) - ca.mainBefore + others
	ca.mainKey = ca.mainHarm + ch.stake.loss(ca.first, ca.pausesInTime) + ca.full + ca.exposed + ca.tie
}

// judgeHelp sets what the target costs as a helper, likewise.
func (ch *chooser) judgeHelp(ca *candidate, writers, others float64) {
	if !ca.helps {
		ca.helpKey = math.Inf(1)
		return
	}
	ca.helpHarm = max(writers, ca.helpHold) - ca.helpBefore + others
	ca.helpKey = ca.helpHarm + ch.stake.firstLoss(ca.ready) + ca.tie
}

// judgeRoom puts targets back that lack memory for an even share, and rules out those that have none.
func (ch *chooser) judgeRoom(ca *candidate) {
	if ca.free == 0 {
		ca.mainKey = math.Inf(1)
		ca.helpKey = math.Inf(1)
		return
	}
	lack := max(ch.held-ca.free, 0)
	price := ch.stake.inTime * float64(lack) / float64(ch.held)
	ca.mainKey += price
	ca.helpKey += price
}

// usualPart returns the reading of a usual prompt, as far as it fits into a pass.
func (en *Engine) usualPart() Backlog {
	ba := Backlog{Tokens: en.MeanPromptTokens, Pairs: en.MeanPromptTokens * en.MeanPromptTokens / 2}
	return en.within(ba, en.passRoom())
}

const (
	// fnvOffset and fnvPrime are those of the 64-bit FNV-1a hash.
	fnvOffset = 14695981039346656037
	fnvPrime  = 1099511628211
	// fractionBits is the number of bits that a float64 holds exactly.
	fractionBits = 53
)

// fraction returns a number from 0 to below 1 that depends on the seed and the name only.
func fraction(seed uint64, name string) float64 {
	ha := seed ^ fnvOffset
	for ix := range len(name) {
		ha = (ha ^ uint64(name[ix])) * fnvPrime
	}
	return float64(mix(ha)>>(64-fractionBits)) / (1 << fractionBits)
}

// mix spreads every bit of a number over all bits. It is the finalizer of SplitMix64, with its shifts and factors.
func mix(ha uint64) uint64 {
	ha = (ha ^ ha>>30) * 0xBF58476D1CE4E5B9
	ha = (ha ^ ha>>27) * 0x94D049BB133111EB
	return ha ^ ha>>31
}
