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
	mostReserved = 16
	// leastPart is the smallest part, in tokens, that a prompt is split into: half a usual chunk of 2,048, below which
	// a further helper saves less than a step.
	leastPart = 1024
	// stackTargets is the number of targets up to which choosing needs no heap for them: three times a usual fleet.
	stackTargets = 64
)

// counts are the numbers of parts that are tried. They lie close together, as a part more or less often decides whether
// a prompt is in time with the targets that are free.
var counts = [...]int{1, 2, 3, 4, 5, 6, 7, 8, 9, 10, 12, 14, 16, MaxParts}

// Choose returns the plan of least expected loss for a prompt. It returns false when no placement is expected to finish
// before the deadline, or when the prompt is larger than an engine and not enough memory is free.
func Choose(en Engine, pr Prompt, ts []Target, op Options) (Plan, bool) {
	var buf [stackTargets]candidate
	cs := buf[:0]
	if len(ts) > stackTargets {
		cs = make([]candidate, 0, len(ts))
	}
	ch := chooser{
		en:       en,
		pr:       pr,
		stake:    pr.stake(),
		arrivals: op.ArrivalsPerSecond,
		usual:    en.reading(en.usualPart()),
	}
	ch.helperPrice = ch.stake.inTime * (partRisk + meetRisk*op.PrefillShare)
	for ix := range ts {
		cs = append(cs, ch.candidate(&ts[ix], op.Seed))
	}
	ch.cs = cs
	pi, ok := ch.choose()
	if !ok {
		return Plan{}, false
	}
	return ch.plan(&pi), true
}

// chooser holds one choice while it is made.
type chooser struct {
	en    Engine
	pr    Prompt
	stake stake
	// arrivals is what begins to write at a usual target in a second.
	arrivals Load
	// usual is the nanoseconds of reading a usual prompt at a pace of 1.
	usual float64
	// helperPrice is the worth that each helper costs.
	helperPrice float64
	cs          []candidate
	// reserved is true while plans that set memory aside are judged.
	reserved bool
	// parts, part and held are the number of parts, the backlog of each and the memory each sets aside.
	parts int
	part  Backlog
	held  int64
	// reading is the nanoseconds of reading a part at a pace of 1.
	reading float64
}

// pick is a judged set of candidates.
type pick struct {
	// chosen are indices of candidates, the main one first; parts of them are set.
	chosen [MaxParts]int
	shares [MaxParts]int64
	parts  int
	// reserved is true when shares are set.
	reserved bool
	first    float64
	pause    float64
	loss     float64
	// harm is the part of loss that others lose.
	harm float64
}

// choose returns the best pick. Memory is reserved only for a prompt that no target has room for.
func (ch *chooser) choose() (pick, bool) {
	if ch.fits() {
		return ch.best()
	}
	ch.reserved = true
	pi, ok := ch.best()
	if ok || ch.pr.need() > ch.en.MemoryTokens {
		return pi, ok
	}
	ch.reserved = false
	return ch.best()
}

// fits reports whether any target has room for the prompt and its answer.
func (ch *chooser) fits() bool {
	for ix := range ch.cs {
		if ch.cs[ix].free >= ch.pr.need() {
			return true
		}
	}
	return false
}

// best returns the pick of least loss over all numbers of parts; fewer parts win a tie.
func (ch *chooser) best() (pick, bool) {
	best := pick{loss: math.Inf(1)}
	ch.holdAll()
	for _, pa := range counts {
		if !ch.allows(pa) {
			continue
		}
		ch.split(pa)
		pi, ok := ch.pick()
		if ok && pi.loss < best.loss {
			best = pi
		}
	}
	return best, best.parts > 0
}

// allows reports whether a prompt can be split into a number of parts.
func (ch *chooser) allows(parts int) bool {
	if parts > len(ch.cs) {
		return false
	}
	if ch.reserved && (parts > mostReserved || ch.pr.need() > int64(parts)*ch.en.MemoryTokens) {
		return false
	}
	return parts == 1 || ch.pr.Tokens >= int64(parts)*leastPart
}

// split sets the number of parts and judges all candidates for it.
func (ch *chooser) split(parts int) {
	ch.parts = parts
	ch.part = ch.pr.Part(parts)
	ch.reading = ch.en.reading(ch.part)
	if ch.reserved {
		ch.held = ceilDiv(ch.pr.need(), int64(parts))
		ch.holdAll()
	}
	for ix := range ch.cs {
		ch.judge(&ch.cs[ix])
	}
}

// holdAll sets what depends on the memory that the prompt holds.
func (ch *chooser) holdAll() {
	for ix := range ch.cs {
		ch.hold(&ch.cs[ix])
	}
}

// pick selects candidates for the number of parts and judges them together. When those of least loss lack memory or
// time, it tries those with the most memory, and then the fastest.
func (ch *chooser) pick() (pick, bool) {
	pi := pick{parts: ch.parts, reserved: ch.reserved}
	if ch.try(&pi) {
		return pi, true
	}
	if ch.reserved {
		ch.preferFree()
		if ch.try(&pi) {
			return pi, true
		}
	}
	ch.preferFast()
	return pi, ch.try(&pi)
}

// try fills a pick in from the keys of the candidates. It reports false when they lack memory or time.
func (ch *chooser) try(pi *pick) bool {
	if !ch.selectLeast(pi) {
		return false
	}
	if ch.reserved && !ch.fill(pi) {
		return false
	}
	return ch.total(pi)
}

// total sets the predictions and the loss of a pick, and reports whether it finishes before the deadline.
func (ch *chooser) total(pi *pick) bool {
	main := &ch.cs[pi.chosen[0]]
	if pi.reserved {
		ch.holdShares(pi)
	}
	pi.first = main.first
	pi.pause = max(main.pause, main.ownPass)
	harm := main.mainHarm
	for _, ix := range pi.chosen[1:pi.parts] {
		he := &ch.cs[ix]
		pi.first = max(pi.first, he.ready)
		pi.pause = max(pi.pause, he.pause)
		harm += he.helpHarm
	}
	risk := ch.helperPrice * float64(pi.parts-1)
	pi.harm = harm
	pi.loss = harm + ch.stake.loss(pi.first, main.pausesInTime) + main.full + main.exposed + risk
	return pi.first+ch.writing(main) <= float64(ch.pr.UntilDeadline)
}

// writing returns the nanoseconds of writing the answer at a candidate.
func (ch *chooser) writing(ca *candidate) float64 {
	passes := ceilDiv(ch.pr.AnswerTokens, int64(ch.en.StepsPerPass))
	return float64(passes) * ca.ownPass
}

// holdShares sets what the main candidate of a pick pays for the largest share, which may be more than an even one.
func (ch *chooser) holdShares(pi *pick) {
	ch.held = slices.Max(pi.shares[:pi.parts])
	ch.hold(&ch.cs[pi.chosen[0]])
}

// plan returns a pick as a plan.
func (ch *chooser) plan(pi *pick) Plan {
	pl := Plan{
		Main:             ch.cs[pi.chosen[0]].ta.Name,
		Part:             ch.pr.Part(pi.parts),
		TimeToFirstToken: time.Duration(pi.first),
		LongestPause:     time.Duration(pi.pause),
		Loss:             Worth(pi.loss),
		OthersLoss:       Worth(pi.harm),
	}
	if pi.parts > 1 {
		pl.Helpers = make([]string, 0, pi.parts-1)
	}
	for _, ix := range pi.chosen[1:pi.parts] {
		pl.Helpers = append(pl.Helpers, ch.cs[ix].ta.Name)
	}
	if pi.reserved {
		pl.MemoryShares = ch.reserve(pi)
	}
	return pl
}

// reserve returns the shares of a pick.
func (ch *chooser) reserve(pi *pick) []MemoryShare {
	sh := make([]MemoryShare, pi.parts)
	for no := range sh {
		sh[no] = MemoryShare{Target: ch.cs[pi.chosen[no]].ta.Name, Tokens: pi.shares[no]}
	}
	return sh
}
