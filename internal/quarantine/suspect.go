package quarantine

import (
	"cmp"
	"math"
	"slices"
	"strings"
	"time"

	"github.com/silvermount/silvermount/internal/fingerprint"
)

const (
	// maxPValue is the p-value above which a fingerprint is not quarantined: the probability that as many targets would have crashed
	// for other reasons during its runs.
	maxPValue = 1e-7
	// maxRepeatPValue takes the place of maxPValue for a single crash soon after a quarantine has ended.
	maxRepeatPValue = 1e-2
	// rateWindow is the time before and after a crash in which other crashes show how often targets crash for other reasons.
	rateWindow = 5 * time.Second
	// burstWindow is a shorter window that shows the start of a burst of crashes, which rateWindow would show too late.
	burstWindow = time.Second
	// crashPseudocount is added to the crashes observed in rateWindow, so that a window without crashes does not give a rate of
	// zero.
	crashPseudocount = 0.5
	// minElapsed is the minimum time that a run counts as having been on its target: one round trip.
	minElapsed = time.Millisecond
	// minSharedElapsed takes the place of minElapsed for what many requests have in common: one of its many runs has often just begun
	// when a target crashes.
	minSharedElapsed = 50 * time.Millisecond
	// minPValueRatio is how many times smaller the p-value of a fingerprint must be than that of another one that ran on all the
	// same targets. Between two similar ones the next crash decides, or the next complete answer.
	minPValueRatio = 100
	// minCautiousCrashes is the number of targets that must crash before something is quarantined that was part of complete answers.
	minCautiousCrashes = tieBreakCrashes
	// minMemoryAge is the time after the start of an instance until it knows what was part of complete answers.
	minMemoryAge = 10 * time.Second
	// minOverlap is the share of the crashes of each of two fingerprints that must be those of the other, too, for them to explain the
	// same crashes.
	minOverlap = 0.8
)

// suspect is a fingerprint with the evidence against it.
type suspect struct {
	fingerprint fingerprint.Fingerprint
	// runs are the interrupted runs on targets whose crashes no other quarantine explains, shortest first, and freshCount is how many
	// of these crashes no quarantine explains at all: not even one of the fingerprint together with others.
	runs       []Evidence
	freshCount int
	// maxElapsed is the duration of the longest of the runs that pValue is computed from.
	maxElapsed time.Duration
	// pValue is the probability that as many targets crashed for other reasons within that time. It is the minimum over the
	// shortest runs, because a request that waited on a target before it was executed seems to have run there for long.
	pValue float64
	// knownSound is set if the fingerprint was recently part of a complete answer, and cautious also if that cannot be known yet, for paths,
	// and if the targets had begun to answer too few of the runs: they may have crashed while the requests waited there. A cautious
	// judgement needs stronger evidence.
	knownSound, cautious bool
}

// isContent reports whether a fingerprint identifies something in the content of requests. Any other, such as an organisation, is common
// to requests that differ in all that a target processes. It narrows a quarantine as a member. An organisation is not quarantined for
// itself, because that would refuse too many.
func isContent(fp fingerprint.Fingerprint) bool {
	return fp.Kind == fingerprint.WholeRequest || fp.Kind == fingerprint.PromptPart
}

// isPath reports whether a fingerprint is a path, which is quarantined for itself only for crashes under different requests that no
// part of prompts explains.
func isPath(fp fingerprint.Fingerprint) bool { return fp.Kind == fingerprint.Path }

// lastInterrupted returns when the most recent of the runs was interrupted.
func (sp suspect) lastInterrupted() time.Time {
	var at time.Time
	for _, ev := range sp.runs {
		at = laterOf(at, ev.At)
	}
	return at
}

// firstInterrupted returns when the earliest of the runs was interrupted.
func (sp suspect) firstInterrupted() time.Time {
	at := sp.runs[0].At
	for _, ev := range sp.runs {
		if ev.At.Before(at) {
			at = ev.At
		}
	}
	return at
}

// countBegun returns how many of the runs their targets had begun to answer.
func (sp suspect) countBegun() int {
	n := 0
	for _, ev := range sp.runs {
		if ev.Answering {
			n++
		}
	}
	return n
}

// separateCrashes returns how many events the crashes come from: targets that crash at nearly the same moment may have a common cause.
func (sp suspect) separateCrashes() int {
	events := 0
	var last time.Time
	for _, ev := range slices.SortedFunc(slices.Values(sp.runs), func(a, b Evidence) int { return a.At.Compare(b.At) }) {
		if events == 0 || ev.At.Sub(last) >= settleDelay {
			events, last = events+1, ev.At
		}
	}
	return events
}

// meetsThresholds reports whether the evidence suffices for a quarantine, provided that it is complete. previous is the last
// quarantine of the fingerprint, if any.
func (sp suspect) meetsThresholds(previous Quarantine) bool {
	if sp.freshCount == 0 {
		return false
	}
	if previous.Level > 0 {
		return sp.pValue <= maxRepeatPValue
	}
	required := minCrashes
	if sp.cautious {
		required = minCautiousCrashes
	}
	return len(sp.runs) >= required && sp.pValue <= maxPValue
}

// elapsedOn returns for how long a run with the fingerprint was on a crashed target, and whether there was one.
func (sp suspect) elapsedOn(incarnation string) (time.Duration, bool) {
	for _, ev := range sp.runs {
		if ev.Incarnation == incarnation {
			return max(minElapsed, ev.Elapsed), true
		}
	}
	return 0, false
}

// compareStrength orders suspects by their evidence, the strongest first.
func (sp suspect) compareStrength(other suspect) int {
	return cmp.Or(
		cmp.Compare(len(other.runs), len(sp.runs)), cmp.Compare(sp.pValue, other.pValue), sp.fingerprint.Compare(other.fingerprint),
	)
}

// outranks reports whether a suspect is clearly the better explanation for the crashes that it shares with another, although the other
// may have more crashes: nearly all crashes of both are the same, and the other is a part of prompts that was answered completely before,
// or that ran much longer on the targets before they crashed.
func (sp suspect) outranks(other suspect) bool {
	if sp.fingerprint == other.fingerprint || other.fingerprint.Kind == fingerprint.WholeRequest {
		return false
	}
	if sp.overlap(other) < minOverlap || other.overlap(sp) < minOverlap {
		return false
	}
	if sp.knownSound != other.knownSound {
		return other.knownSound
	}
	logRatio := 0.0
	for _, ev := range other.runs {
		if elapsed, ran := sp.elapsedOn(ev.Incarnation); ran {
			logRatio += math.Log(max(minElapsed, ev.Elapsed).Seconds() / elapsed.Seconds())
		}
	}
	return logRatio >= math.Log(minPValueRatio)
}

// overlap returns the share of another suspect's crashes that are those of the suspect too.
func (sp suspect) overlap(other suspect) float64 {
	shared := 0
	for _, ev := range other.runs {
		if _, ran := sp.elapsedOn(ev.Incarnation); ran {
			shared++
		}
	}
	return float64(shared) / float64(len(other.runs))
}

// indistinguishable reports whether another fingerprint ran on all the same targets and has no clearly larger p-value.
func (sp suspect) indistinguishable(suspects []suspect) bool {
	return slices.ContainsFunc(suspects, func(other suspect) bool {
		return other.fingerprint != sp.fingerprint && !sp.outranks(other) &&
			other.pValue < minPValueRatio*sp.pValue && other.ranOnAllTargetsOf(sp.runs)
	})
}

// ranOnAllTargetsOf reports whether the fingerprint ran on the targets of all the given runs.
func (sp suspect) ranOnAllTargetsOf(runs []Evidence) bool {
	return !slices.ContainsFunc(runs, func(ev Evidence) bool {
		_, ran := sp.elapsedOn(ev.Incarnation)
		return !ran
	})
}

// suspect returns a fingerprint with the evidence from the given crashes. The caller holds the lock.
func (tr *Tracker) suspect(fp fingerprint.Fingerprint, crashes []*crash) suspect {
	sp := suspect{fingerprint: fp, pValue: 1}
	for _, cr := range crashes {
		ev, ran := cr.runs[fp]
		if !ran || tr.isExplainedWithout(fp, cr) {
			continue
		}
		sp.runs = append(sp.runs, ev)
		if len(tr.explanations(cr)) == 0 {
			sp.freshCount++
		}
	}
	slices.SortFunc(sp.runs, func(a, b Evidence) int {
		return cmp.Or(cmp.Compare(a.Elapsed, b.Elapsed), strings.Compare(a.Incarnation, b.Incarnation))
	})
	if fp.Kind != fingerprint.WholeRequest {
		sp.knownSound = tr.knownSound(fp)
		sp.cautious = sp.knownSound || isPath(fp) || tr.opts.Now().Sub(tr.startedAt) < minMemoryAge ||
			tr.memberCounts[fp] == 0 && sp.countBegun() < min(minCrashes, len(sp.runs))
	}
	if sp.freshCount > 0 {
		sp.pValue, sp.maxElapsed = tr.chance(sp, sp.cautious)
	}
	return sp
}

// chance returns the p-value of a suspect, and the duration of the longest run that it is computed from. With countOwn, other targets may
// have crashed under the suspect for other reasons too. The caller holds the lock.
func (tr *Tracker) chance(sp suspect, countOwn bool) (pValue float64, maxElapsed time.Duration) {
	pValue = 1
	shortest := minElapsed
	if sp.fingerprint.Kind != fingerprint.WholeRequest {
		shortest = minSharedElapsed
	}
	unexplained := tr.unexplained()
	rates := make([]float64, len(sp.runs))
	for i, ev := range sp.runs {
		rates[i] = tr.backgroundCrashRate(ev, unexplained, countOwn)
	}
	for n := min(minCrashes, len(sp.runs)); n <= len(sp.runs) && n > 0; n++ {
		within := max(shortest, sp.runs[n-1].Elapsed)
		if probability := coincidenceProbability(rates, n, within); probability < pValue {
			pValue, maxElapsed = probability, within
		}
	}
	return pValue, maxElapsed
}

// coincidenceProbability returns the probability that targets crashed for other reasons in n of the runs, each within the given
// time. rates are the background crash rates at the times of all the runs.
func coincidenceProbability(rates []float64, n int, within time.Duration) float64 {
	probability := 1.0
	for i, rate := range rates[:n] {
		// The product of these factors is the binomial coefficient: the number of ways to choose n of the runs.
		probability *= float64(len(rates)-i) / float64(n-i)
		probability *= 1 - math.Exp(-rate*within.Seconds())
	}
	return probability
}

// backgroundCrashRate returns how many times per second a target crashed for other reasons around the time of a run. It counts
// the crashes of targets on which the fingerprint did not run, and with countOwn the others too. The caller holds the lock.
func (tr *Tracker) backgroundCrashRate(ev Evidence, unexplained []*crash, countOwn bool) float64 {
	highest := 0.0
	for _, window := range []time.Duration{rateWindow, burstWindow} {
		highest = max(highest, tr.crashRate(ev, unexplained, window, 0, countOwn))
	}
	return max(highest, tr.crashRate(ev, unexplained, rateWindow, crashPseudocount, countOwn))
}

// crashRate returns the crashes per target and second within a window before and after a run; pseudocount is added to their
// number.
func (tr *Tracker) crashRate(ev Evidence, unexplained []*crash, window time.Duration, pseudocount float64, countOwn bool) float64 {
	crashes := pseudocount
	for _, cr := range unexplained {
		if _, ran := cr.runs[ev.Fingerprint]; (!ran || countOwn) && cr.at.Sub(ev.At).Abs() <= window {
			crashes++
		}
	}
	observed := window + min(window, tr.opts.Now().Sub(ev.At))
	return crashes / (float64(max(1, tr.opts.TargetCount())) * observed.Seconds())
}
