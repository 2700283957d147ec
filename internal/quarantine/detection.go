package quarantine

import (
	"bytes"
	"cmp"
	"math"
	"slices"
	"strconv"
	"strings"
	"time"

	"github.com/apex/log"

	"github.com/silvermount/silvermount/internal/fingerprint"
)

const (
	// maxPValue is the p-value above which a request is not quarantined: the probability that as many targets would have crashed
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
	// minPValueRatio is how many times smaller the p-value of a request must be than that of another request that ran on all the
	// same targets. Between two similar requests the next crash decides, or the next complete answer.
	minPValueRatio = 100
	// tieBreakCrashes is the number of crashes from which the likelier of two similar requests is quarantined even so. Requests
	// that always run together could otherwise never be distinguished.
	tieBreakCrashes = minCrashes + 2
)

// suspect is a request with the evidence against it.
type suspect struct {
	request fingerprint.Fingerprint
	// runs are the interrupted runs on targets whose crashes no quarantined request explains, shortest first.
	runs []InterruptedRun
	// maxElapsed is the duration of the longest of the runs that pValue is computed from.
	maxElapsed time.Duration
	// pValue is the probability that as many targets crashed for other reasons within that time. It is the minimum over the
	// shortest runs, because a request that waited on a target before it was executed seems to have run there for long.
	pValue float64
}

// lastInterrupted returns when the most recent of the runs was interrupted.
func (sp suspect) lastInterrupted() time.Time {
	var at time.Time
	for _, rn := range sp.runs {
		if rn.At.After(at) {
			at = rn.At
		}
	}
	return at
}

// meetsThresholds reports whether the evidence suffices for a quarantine, provided that it is complete. previous is the last
// quarantine of the request, if any.
func (sp suspect) meetsThresholds(previous Quarantine) bool {
	if previous.Level > 0 {
		return len(sp.runs) > 0 && sp.pValue <= maxRepeatPValue
	}
	return len(sp.runs) >= minCrashes && sp.pValue <= maxPValue
}

// quarantineSuspects quarantines requests by the present evidence, the strongest suspect first: the crashes of targets that ran a
// quarantined request count as explained, and no longer as evidence against other requests. It reports whether it quarantined
// any. The caller holds the lock.
func (tr *Tracker) quarantineSuspects() bool {
	quarantined := false
	for {
		sp, ok := tr.strongestSuspect()
		if !ok {
			return quarantined
		}
		quarantined = true
		now := tr.opts.Now()
		previous := tr.quarantines[sp.request]
		level := previous.Level + 1
		qu := Quarantine{
			Request: sp.request, Crashes: previous.Crashes + len(sp.runs), Level: level,
			Since: now, Until: now.Add(quarantineDuration(level)),
		}
		tr.quarantine(qu, log.Fields{
			"source": "own", "targets": joinTargets(sp.runs), "chance": strconv.FormatFloat(sp.pValue, 'e', 1, 64),
		})
	}
}

// strongestSuspect returns the next request to quarantine. The caller holds the lock.
func (tr *Tracker) strongestSuspect() (suspect, bool) {
	suspects := tr.suspects()
	slices.SortFunc(suspects, func(a, b suspect) int {
		return cmp.Or(cmp.Compare(len(b.runs), len(a.runs)), cmp.Compare(a.pValue, b.pValue),
			bytes.Compare(a.request[:], b.request[:]))
	})
	now := tr.opts.Now()
	for i, sp := range suspects {
		previous := tr.quarantines[sp.request]
		if now.Sub(sp.lastInterrupted()) < settleDelay || !sp.meetsThresholds(previous) {
			continue
		}
		sp = tr.withoutSharedCrashes(sp, suspects[:i])
		distinct := len(sp.runs) >= tieBreakCrashes || !sp.indistinguishable(suspects)
		if sp.meetsThresholds(previous) && distinct && !tr.hasLongerActiveRun(sp) {
			return sp, true
		}
	}
	return suspect{}, false
}

// withoutSharedCrashes returns the suspect without the crashes of targets that also ran a request with more crashes. That request
// is the likelier cause of these, whether it is quarantined or not. The caller holds the lock.
func (tr *Tracker) withoutSharedCrashes(sp suspect, others []suspect) suspect {
	unexplained := tr.unexplained()
	unshared := slices.DeleteFunc(slices.Clone(unexplained), func(cr *crash) bool {
		return slices.ContainsFunc(others, func(other suspect) bool {
			_, ran := cr.runsByRequest[other.request]
			return ran && len(other.runs) > len(sp.runs)
		})
	})
	return tr.suspect(sp.request, unshared, unexplained)
}

// indistinguishable reports whether another request ran on all the same targets and has no clearly larger p-value.
func (sp suspect) indistinguishable(suspects []suspect) bool {
	return slices.ContainsFunc(suspects, func(other suspect) bool {
		return other.request != sp.request && other.pValue < minPValueRatio*sp.pValue && other.ranOnAllTargetsOf(sp.runs)
	})
}

// ranOnAllTargetsOf reports whether the request ran on the targets of all the given runs.
func (sp suspect) ranOnAllTargetsOf(runs []InterruptedRun) bool {
	for _, rn := range runs {
		if !slices.ContainsFunc(sp.runs, func(own InterruptedRun) bool { return own.Incarnation == rn.Incarnation }) {
			return false
		}
	}
	return true
}

// suspects returns the requests that may have to be quarantined. The caller holds the lock.
func (tr *Tracker) suspects() []suspect {
	var unexplained []*crash
	var list []suspect
	for fp, n := range tr.evidenceCounts {
		if _, quarantinedBefore := tr.quarantines[fp]; !quarantinedBefore && n < minCrashes {
			continue
		}
		if unexplained == nil {
			unexplained = tr.unexplained()
		}
		if sp := tr.suspect(fp, unexplained, unexplained); len(sp.runs) > 0 {
			list = append(list, sp)
		}
	}
	return list
}

// unexplained returns the crashes that no quarantined request explains. The caller holds the lock.
func (tr *Tracker) unexplained() []*crash {
	unexplained := make([]*crash, 0, len(tr.crashes))
	for _, cr := range tr.crashes {
		if !tr.explained(cr) {
			unexplained = append(unexplained, cr)
		}
	}
	return unexplained
}

// explained reports whether a crash interrupted a run of a quarantined request before the end of its quarantine. The caller holds
// the lock.
func (tr *Tracker) explained(cr *crash) bool {
	if len(tr.quarantines) == 0 {
		return false
	}
	for fp, rn := range cr.runsByRequest {
		if qu, ok := tr.quarantines[fp]; ok && rn.At.Before(qu.Until) {
			return true
		}
	}
	return false
}

// suspect returns a request with the evidence from the given crashes, assessed against all unexplained crashes. The caller holds
// the lock.
func (tr *Tracker) suspect(fp fingerprint.Fingerprint, crashes, unexplained []*crash) suspect {
	sp := suspect{request: fp, pValue: 1}
	for _, cr := range crashes {
		if rn, ran := cr.runsByRequest[fp]; ran {
			sp.runs = append(sp.runs, rn)
		}
	}
	slices.SortFunc(sp.runs, func(a, b InterruptedRun) int {
		return cmp.Or(cmp.Compare(a.Elapsed, b.Elapsed), strings.Compare(a.Incarnation, b.Incarnation))
	})
	rates := make([]float64, len(sp.runs))
	for i, rn := range sp.runs {
		rates[i] = tr.backgroundCrashRate(rn, unexplained)
	}
	for n := min(minCrashes, len(sp.runs)); n <= len(sp.runs) && n > 0; n++ {
		maxElapsed := max(minElapsed, sp.runs[n-1].Elapsed)
		if pValue := coincidenceProbability(rates, n, maxElapsed); pValue < sp.pValue {
			sp.pValue, sp.maxElapsed = pValue, maxElapsed
		}
	}
	return sp
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
// the crashes of targets on which the request did not run. The caller holds the lock.
func (tr *Tracker) backgroundCrashRate(rn InterruptedRun, unexplained []*crash) float64 {
	highest := 0.0
	for _, window := range []time.Duration{rateWindow, burstWindow} {
		highest = max(highest, tr.crashRate(rn, unexplained, window, 0))
	}
	return max(highest, tr.crashRate(rn, unexplained, rateWindow, crashPseudocount))
}

// crashRate returns the crashes per target and second within a window before and after a run; pseudocount is added to their
// number.
func (tr *Tracker) crashRate(rn InterruptedRun, unexplained []*crash, window time.Duration, pseudocount float64) float64 {
	crashes := pseudocount
	for _, cr := range unexplained {
		if _, ran := cr.runsByRequest[rn.Request]; !ran && cr.at.Sub(rn.At).Abs() <= window {
			crashes++
		}
	}
	observed := window + min(window, tr.opts.Now().Sub(rn.At))
	return crashes / (float64(max(1, tr.opts.TargetCount())) * observed.Seconds())
}
