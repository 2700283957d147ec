// Package gradualreturn decides how many requests per second a target may be sent after it was away: few at first, and twice as many each
// quarter of a second while it answers as predicted.
//
// It has no clock and no lock; time is a parameter.
package gradualreturn

import (
	"time"
)

const (
	// firstShare is the first rate as a share of the rate at which the slots turn over. With stepInterval, a target that carries 7 requests of
	// 2.4 s in the steady state gets 4 within the first second and 8 within 1.4 s.
	firstShare = 0.2
	// stepInterval is the time between two changes of the rate: several network delays, and the first token of a short prompt on an idle
	// engine with a margin, so that each rate is judged by answers.
	stepInterval = 250 * time.Millisecond
	// stepFactor is the factor of one change, up or down.
	stepFactor = 2
	// minRate is the lowest rate in requests/s: one probe in two seconds finds the end of a fault soon, and is about what an engine at a fifth
	// of its pace serves.
	minRate = 0.5
	// goodPeriod is how long a good answer allows the rate to rise: one interval between requests at the first rate of an engine.
	goodPeriod = time.Second
	// firstRequestRate is the limit until the first outcome while nothing is in flight, in requests/s: one request at once, and no second one
	// before peers know of the first.
	firstRequestRate = 20
	// fillTime is the time in which all slots are filled at the rate at which a return ends, unless they turn over faster: from there on the
	// slots limit the target.
	fillTime = time.Second
	// provingPeriod is how long a target without good answers stays closed to long prompts, from its return or its last bad answer on. Where
	// short prompts have targets of their own, no others may come to prove it, and long prompts would do without it until the end of the return.
	provingPeriod = 2 * stepInterval
	// maxQuiet is how long a return lasts without any outcome: a target carries its share within this time.
	maxQuiet = 3 * time.Second
)

// Situation is what an instance knows of a service when one of its targets returns.
type Situation struct {
	// Slots is how many requests the target processes concurrently, AnswerTime how long one takes; both are above zero.
	Slots      int
	AnswerTime time.Duration
	// All is the number of targets of the service that take work now, and Steady the number of those that do not return.
	All, Steady int
	// Scarce is set if the steady targets use three quarters of their slots.
	Scarce bool
}

// turnover returns the rate in requests/s at which the slots turn over.
func (si Situation) turnover() float64 { return float64(si.Slots) / si.AnswerTime.Seconds() }

// firstRate returns the first rate of a return in requests/s, and false if the target needs no limit. When few targets are steady, the
// demand that they cannot carry is more than a few requests for each of the others.
func (si Situation) firstRate() (float64, bool) {
	if si.Steady == 0 || si.Slots <= 0 || si.AnswerTime <= 0 || si.Scarce && 2*si.Steady <= si.All {
		return 0, false
	}
	factor := float64(si.All) / float64(si.Steady)
	if !si.Scarce {
		factor /= 2
	}
	share := firstShare * max(1, factor)
	return share * si.turnover(), share < 1
}

// Evidence is what happened at a target since the last step.
type Evidence struct {
	// Good and Bad count the outcomes of requests of all instances.
	Good, Bad int
	// InFlight is the number of requests of all instances at the target now, OthersMean the mean of the steady targets.
	InFlight   int
	OthersMean float64
}

// Kind is the kind of an event of a return.
type Kind string

// The kinds. None is used by steps that change nothing.
const (
	None    Kind = ""
	Began   Kind = "began"
	Raised  Kind = "raised"
	Lowered Kind = "lowered"
	Ended   Kind = "ended"
)

// Ramp is the return of one target. It is immutable.
type Ramp struct {
	// rate and full are the rates now and at the end, in requests/s, at least minRate.
	rate, full float64
	// startedAt is when the return began, steppedAt when the rate last changed.
	startedAt, steppedAt time.Time
	// goodAt, badAt and outcomeAt are when the newest good, bad or any outcome was counted. outcomeAt is the begin before the first.
	goodAt, badAt, outcomeAt time.Time
	// inFlight is the number of requests at the target at the last step.
	inFlight int
}

// Begin returns the return of a target that becomes available, and false if it needs no limit.
func Begin(now time.Time, si Situation) (Ramp, bool) {
	first, limited := si.firstRate()
	if !limited {
		return Ramp{}, false
	}
	full := max(float64(si.Slots)/fillTime.Seconds(), si.turnover())
	return Ramp{rate: max(first, minRate), full: full, startedAt: now, steppedAt: now, outcomeAt: now}, true
}

// PerSecond returns the limit in requests/s of all instances.
func (ra Ramp) PerSecond() float64 {
	if ra.inFlight == 0 && ra.goodAt.IsZero() && ra.badAt.IsZero() {
		return max(firstRequestRate, ra.rate)
	}
	return ra.rate
}

// Proven reports whether long prompts, and parts of split prompts, may start at the target: once it answers as predicted, or the proving
// period is over. A failure there would cost all the work on such a prompt, also at other targets.
func (ra Ramp) Proven(now time.Time) bool {
	closedFrom := ra.startedAt
	if ra.badAt.After(closedFrom) {
		closedFrom = ra.badAt
	}
	return ra.goodAt.After(ra.badAt) || now.Sub(closedFrom) >= provingPeriod
}

// Step returns the ramp after new evidence, what changed, and the reason. After a pause of the process it makes one step at most.
func (ra Ramp) Step(now time.Time, ev Evidence) (next Ramp, kind Kind, reason string) {
	ra = ra.with(now, ev)
	answers := ra.answers(now)
	switch due := now.Sub(ra.steppedAt) >= stepInterval; {
	case answers && ev.InFlight > 0 && float64(ev.InFlight) >= ev.OthersMean:
		return ra, Ended, "carries as much as the others"
	case ev.Bad > 0 && due && ra.rate > minRate:
		ra.rate = max(ra.rate/stepFactor, minRate)
		ra.steppedAt = now
		return ra, Lowered, "bad answers"
	case now.Sub(ra.outcomeAt) >= maxQuiet:
		return ra, Ended, "not needed"
	case !answers || !due:
		return ra, None, ""
	}
	ra.rate *= stepFactor
	ra.steppedAt = now
	if ra.rate >= ra.full {
		return ra, Ended, "carries what its slots allow"
	}
	return ra, Raised, "good answers"
}

// with returns the ramp with the times of new evidence.
func (ra Ramp) with(now time.Time, ev Evidence) Ramp {
	ra.inFlight = ev.InFlight
	if ev.Good+ev.Bad > 0 {
		ra.outcomeAt = now
	}
	if ev.Good > 0 {
		ra.goodAt = now
	}
	if ev.Bad > 0 {
		ra.badAt = now
	}
	return ra
}

// answers reports whether the newest outcomes are good.
func (ra Ramp) answers(now time.Time) bool {
	return ra.goodAt.After(ra.badAt) && now.Sub(ra.goodAt) < goodPeriod
}

const (
	// goodRatio and badRatio are the ratios of the observed to the predicted time up to which an outcome is good, and from which it is bad.
	// In between it changes nothing: the predicted time to the first token has a p90 error of 2.9 under load.
	goodRatio, badRatio = 2, 3
	// goodDelay and badDelay are the delays beyond the prediction that are always good, and up to which an outcome is never bad: one short
	// and two short passes of an engine.
	goodDelay, badDelay = 50 * time.Millisecond, 100 * time.Millisecond
)

// Judge returns whether a time speaks for or against a target, compared with its prediction. Both are zero if nothing is predicted; an
// answer alone then speaks for it.
func Judge(predicted, observed time.Duration) (good, bad bool) {
	delay, ratio := observed-predicted, float64(observed)/float64(max(1, predicted))
	good = delay <= goodDelay || ratio <= goodRatio
	return good, !good && delay > badDelay && ratio > badRatio
}
