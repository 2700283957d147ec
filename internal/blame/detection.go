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
func (sp suspect) meetsThresholds(before Quarantine) bool {
	if before.Level > 0 {
		return len(sp.runs) > 0 && sp.pValue <= maxRepeatPValue
	}
	return len(sp.runs) >= minCrashes && sp.pValue <= maxPValue
}

// judge judges requests by what is known now, the most suspect first: it explains the ends under it, which are then held against
// nobody else. It reports whether it judged any. The lock is held.
func (tr *Tracker) quarantineSuspects() bool {
	judged := false
	for {
		sp, ok := tr.strongestSuspect()
		if !ok {
			return judged
		}
		judged = true
		now := tr.opts.Now()
		before := tr.quarantines[sp.request]
		level := before.Level + 1
		jd := Quarantine{
			Request: sp.request, Crashes: before.Crashes + len(sp.runs), Level: level, Since: now, Until: now.Add(quarantineDuration(level)),
		}
		tr.quarantine(jd, log.Fields{
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
	for no, sp := range suspects {
		before := tr.quarantines[sp.request]
		if now.Sub(sp.lastInterrupted()) < settleDelay || !sp.meetsThresholds(before) {
			continue
		}
		sp = tr.withoutSharedCrashes(sp, suspects[:no])
		distinct := len(sp.runs) >= tieBreakCrashes || !sp.indistinguishable(suspects)
		if sp.meetsThresholds(before) && distinct && !tr.hasLongerActiveRun(sp) {
			return sp, true
		}
	}
	return suspect{}, false
}

// alone returns what is held against a request of the ends under which none of the others ran that more ends are held against: it is
// the likelier cause there, judged or not. The lock is held.
func (tr *Tracker) withoutSharedCrashes(sp suspect, others []suspect) suspect {
	open := tr.unexplained()
	mine := slices.DeleteFunc(slices.Clone(open), func(en *crash) bool {
		return slices.ContainsFunc(others, func(other suspect) bool {
			_, ran := en.runsByRequest[other.request]
			return ran && len(other.runs) > len(sp.runs)
		})
	})
	return tr.suspect(sp.request, mine, open)
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
	var open []*crash
	var list []suspect
	for fp, n := range tr.evidenceCounts {
		if _, before := tr.quarantines[fp]; !before && n < minCrashes {
			continue
		}
		if open == nil {
			open = tr.unexplained()
		}
		if sp := tr.suspect(fp, open, open); len(sp.runs) > 0 {
			list = append(list, sp)
		}
	}
	return list
}

// open returns the ends that no judged request explains. The lock is held.
func (tr *Tracker) unexplained() []*crash {
	open := make([]*crash, 0, len(tr.crashes))
	for _, en := range tr.crashes {
		if !tr.explained(en) {
			open = append(open, en)
		}
	}
	return open
}

// explained reports whether a request that was judged afterwards explains an end. The lock is held.
func (tr *Tracker) explained(en *crash) bool {
	if len(tr.quarantines) == 0 {
		return false
	}
	for fp, rn := range en.runsByRequest {
		if jd, judged := tr.quarantines[fp]; judged && rn.At.Before(jd.Until) {
			return true
		}
	}
	return false
}

// suspect returns what some ends are held against a request, among all that are open. The lock is held.
func (tr *Tracker) suspect(fp fingerprint.Fingerprint, ends, open []*crash) suspect {
	sp := suspect{request: fp, pValue: 1}
	for _, en := range ends {
		if rn, ran := en.runsByRequest[fp]; ran {
			sp.runs = append(sp.runs, rn)
		}
	}
	slices.SortFunc(sp.runs, func(a, b InterruptedRun) int {
		return cmp.Or(cmp.Compare(a.Elapsed, b.Elapsed), strings.Compare(a.Incarnation, b.Incarnation))
	})
	rates := make([]float64, len(sp.runs))
	for i, rn := range sp.runs {
		rates[i] = tr.backgroundCrashRate(rn, open)
	}
	for n := min(minCrashes, len(sp.runs)); n <= len(sp.runs) && n > 0; n++ {
		longest := max(minElapsed, sp.runs[n-1].Elapsed)
		if chance := coincidenceProbability(rates, n, longest); chance < sp.pValue {
			sp.pValue, sp.maxElapsed = chance, longest
		}
	}
	return sp
}

// chanceOf is how likely targets ended by themselves within a time in n runs of all, by the rates at which targets ended about each.
func coincidenceProbability(rates []float64, n int, within time.Duration) float64 {
	chance := 1.0
	for i, rate := range rates[:n] {
		// The first factors make the number of ways to take n of the runs.
		chance *= float64(len(rates)-i) / float64(n-i)
		chance *= 1 - math.Exp(-rate*within.Seconds())
	}
	return chance
}

// rate is how often a target ended by itself about the time of a run, a second, by the ends under which its request did not run. The
// lock is held.
func (tr *Tracker) backgroundCrashRate(rn InterruptedRun, open []*crash) float64 {
	highest := 0.0
	for _, span := range []time.Duration{rateWindow, burstWindow} {
		highest = max(highest, tr.crashRate(rn, open, span, 0))
	}
	return max(highest, tr.crashRate(rn, open, rateWindow, crashPseudocount))
}

// density is the rate within a span before and after a run; unseen is added to the ends in it.
func (tr *Tracker) crashRate(rn InterruptedRun, open []*crash, span time.Duration, unseen float64) float64 {
	ends := unseen
	for _, en := range open {
		if _, ran := en.runsByRequest[rn.Request]; !ran && en.at.Sub(rn.At).Abs() <= span {
			ends++
		}
	}
	seen := span + min(span, tr.opts.Now().Sub(rn.At))
	return ends / (float64(max(1, tr.opts.TargetCount())) * seen.Seconds())
}
