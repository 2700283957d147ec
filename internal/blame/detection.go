package blame

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
	// chanceMost is how likely it may be, at the most, that targets ended by themselves just while a request ran, for it to be
	// judged.
	maxPValue = 1e-7
	// chanceAgain is the same for a single end soon after a judgement has passed.
	maxRepeatPValue = 1e-2
	// nearby is the time before and after an end in which other ends tell how often targets end anyway.
	rateWindow = 5 * time.Second
	// closeBy is the same for the beginning of a bad time, which the longer span would show too late.
	burstWindow = time.Second
	// endsUnseen is added to the ends that were seen nearby, so that none seen is not taken for none possible.
	crashPseudocount = 0.5
	// exposureLeast is the least time that a run is taken to have been at its target: a round trip.
	minElapsed = time.Millisecond
	// clearer is how much less likely by chance the ends under a request must be than those under another that stood under all of
	// them too. Between two that are alike the next end decides, or the next whole answer.
	minPValueRatio = 100
	// alikeEnds is how many ends judge the likeliest even so: requests that always come together would never be told apart.
	tieBreakCrashes = minCrashes + 2
)

// suspect is a request with what is held against it.
type suspect struct {
	request fingerprint.Fingerprint
	// runs are those at targets whose ends nothing else explains, the shortest first.
	runs []InterruptedRun
	// longest is the longest time that one of the runs ran which chance is taken of.
	maxElapsed time.Duration
	// chance is how likely targets ended by themselves within that time, in so many of the runs. It is the least over the shortest
	// runs: at a target where it waited before it ran, a request that ends targets seems to have run for long.
	pValue float64
}

// last returns when the newest of the runs was broken off.
func (sp suspect) lastInterrupted() time.Time {
	var at time.Time
	for _, rn := range sp.runs {
		if rn.At.After(at) {
			at = rn.At
		}
	}
	return at
}

// likely reports whether so many targets ended under the request that it is to be judged, once all is known of them. before is its
// judgement that has passed, if any.
func (sp suspect) meetsThresholds(previous Quarantine) bool {
	if previous.Level > 0 {
		return len(sp.runs) > 0 && sp.pValue <= maxRepeatPValue
	}
	return len(sp.runs) >= minCrashes && sp.pValue <= maxPValue
}

// judge judges requests by what is known now, the most suspect first: it explains the ends under it, which are then held against
// nobody else. It reports whether it judged any. The lock is held.
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
			Request: sp.request, Crashes: previous.Crashes + len(sp.runs), Level: level, Since: now, Until: now.Add(quarantineDuration(level)),
		}
		tr.quarantine(qu, log.Fields{
			"source": "own", "targets": joinTargets(sp.runs), "chance": strconv.FormatFloat(sp.pValue, 'e', 1, 64),
		})
	}
}

// mostSuspect returns the request that is to be judged next. The lock is held.
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

// alone returns what is held against a request of the ends under which none of the others ran that more ends are held against: it is
// the likelier cause there, judged or not. The lock is held.
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

// alike reports whether another request stood under all the same ends and is not clearly less suspect.
func (sp suspect) indistinguishable(suspects []suspect) bool {
	return slices.ContainsFunc(suspects, func(other suspect) bool {
		return other.request != sp.request && other.pValue < minPValueRatio*sp.pValue && other.ranOnAllTargetsOf(sp.runs)
	})
}

// covers reports whether all runs were at targets that the request ran at too.
func (sp suspect) ranOnAllTargetsOf(runs []InterruptedRun) bool {
	for _, rn := range runs {
		if !slices.ContainsFunc(sp.runs, func(own InterruptedRun) bool { return own.Incarnation == rn.Incarnation }) {
			return false
		}
	}
	return true
}

// suspects returns the requests that may have to be judged. The lock is held.
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

// open returns the ends that no judged request explains. The lock is held.
func (tr *Tracker) unexplained() []*crash {
	unexplained := make([]*crash, 0, len(tr.crashes))
	for _, cr := range tr.crashes {
		if !tr.explained(cr) {
			unexplained = append(unexplained, cr)
		}
	}
	return unexplained
}

// explained reports whether a request that was judged afterwards explains an end. The lock is held.
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

// suspect returns what some ends are held against a request, among all that are open. The lock is held.
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

// chanceOf is how likely targets ended by themselves within a time in n runs of all, by the rates at which targets ended about each.
func coincidenceProbability(rates []float64, n int, within time.Duration) float64 {
	probability := 1.0
	for i, rate := range rates[:n] {
		// The first factors make the number of ways to take n of the runs.
		probability *= float64(len(rates)-i) / float64(n-i)
		probability *= 1 - math.Exp(-rate*within.Seconds())
	}
	return probability
}

// rate is how often a target ended by itself about the time of a run, a second, by the ends under which its request did not run. The
// lock is held.
func (tr *Tracker) backgroundCrashRate(rn InterruptedRun, unexplained []*crash) float64 {
	highest := 0.0
	for _, window := range []time.Duration{rateWindow, burstWindow} {
		highest = max(highest, tr.crashRate(rn, unexplained, window, 0))
	}
	return max(highest, tr.crashRate(rn, unexplained, rateWindow, crashPseudocount))
}

// density is the rate within a span before and after a run; unseen is added to the ends in it.
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
