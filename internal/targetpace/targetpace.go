// Package targetpace estimates by what factor each target is slower than its service states, from the durations of engine passes that this
// instance and its peers observed.
//
// It has no clock and no lock; time is a parameter.
package targetpace

import (
	"slices"
	"strings"
	"time"
)

const (
	// maxSamples is the number of passes that an estimate is based on. The median of three changes after two slow passes, which at a fifth of the
	// pace last half a second or, with parts of long prompts, several seconds; a single outlier does not change it. With five, recognition took
	// a second longer in the simulated fleet, and healthy targets counted as slow in 0.3% of the updates rather than 0.4%.
	maxSamples = 3
	// minSamples is the smallest number of passes that an estimate is based on, so that no single pass makes a target slow.
	minSamples = 2
	// sampleSpan is how much older than the newest sample the others may be: three passes of an engine that is eight times slower.
	sampleSpan = 1500 * time.Millisecond
	// samePassPeriod is the time within which the events of all answers of one pass arrive.
	samePassPeriod = 5 * time.Millisecond
	// MaxSlowdown bounds an estimate: an engine this slow keeps no objective.
	MaxSlowdown = 16
	// maxAlone bounds what one peer alone makes of a target: requests then prefer others that are not loaded more, and a wrong peer does not
	// empty the target.
	maxAlone = 2
	// minSlowdown is the smallest estimate that counts. Predictions of passes are off by a tenth, and by more while a prefill is known late.
	minSlowdown = 1.3
	// decayStart is the age of the newest sample from which an estimate decays; it exceeds the passes of an engine that is eight times slower.
	// With decayHalfLife, a slowdown of 5 is forgotten after 2.5 s, so that a target is in full use within 3 s of becoming fast again.
	decayStart    = time.Second
	decayHalfLife = 400 * time.Millisecond
	// maxAge is the age at which an estimate is dropped: even MaxSlowdown has decayed below minSlowdown then.
	maxAge = 4 * time.Second
	// maxTargets bounds the number of targets with samples, about 200 bytes each.
	maxTargets = 1 << 12
)

// sample is one pass.
type sample struct {
	ratio   float64
	endedAt time.Time
}

// window holds the most recent passes of one target, oldest first.
type window struct {
	samples [maxSamples]sample
	count   int
}

// add adds a pass. Passes that end within samePassPeriod are one, and its lowest ratio counts: an event can be delayed on its way, but
// never comes early.
func (wi *window) add(sa sample) {
	if wi.count > 0 {
		last := &wi.samples[wi.count-1]
		if gap := sa.endedAt.Sub(last.endedAt); gap < samePassPeriod {
			last.ratio = min(last.ratio, sa.ratio)
			return
		}
	}
	if wi.count == maxSamples {
		copy(wi.samples[:], wi.samples[1:])
		wi.count--
	}
	wi.samples[wi.count] = sa
	wi.count++
}

// newest returns when the newest pass ended.
func (wi *window) newest() time.Time { return wi.samples[wi.count-1].endedAt }

// median returns the lower median of the passes, or 1 with fewer than minSamples.
func (wi *window) median() float64 {
	var ratios []float64
	for _, sa := range wi.samples[:wi.count] {
		if wi.newest().Sub(sa.endedAt) <= sampleSpan {
			ratios = append(ratios, sa.ratio)
		}
	}
	if len(ratios) < minSamples {
		return 1
	}
	return lowerMedian(ratios)
}

// lowerMedian returns the lower median of values, which it sorts.
func lowerMedian(values []float64) float64 {
	slices.Sort(values)
	return values[(len(values)-1)/2]
}

// Estimate is the slowdown of one target as one instance sees it.
type Estimate struct {
	// Target is the incarnation.
	Target string
	// Slowdown is at least 1 and at most MaxSlowdown.
	Slowdown float64
	// SampledAt is when the newest pass ended.
	SampledAt time.Time
}

// at returns the slowdown at a time, decayed by the age of the newest sample.
func (es Estimate) at(now time.Time) float64 {
	age := now.Sub(es.SampledAt)
	if age >= maxAge {
		return 1
	}
	slowdown := min(max(es.Slowdown, 1), MaxSlowdown)
	for left := age - decayStart; left > 0; left -= decayHalfLife {
		share := min(1, float64(left)/float64(decayHalfLife))
		slowdown = 1 + (slowdown-1)*(1-share/2)
	}
	return slowdown
}

// isRelevant reports whether an estimate tells how fast its target is by now. The usual pace, seen more than decayStart ago, says nothing of a target that
// others have seen slow since.
func (es Estimate) isRelevant(now, lastSlow time.Time) bool {
	age := now.Sub(es.SampledAt)
	return age < maxAge && (age < decayStart || es.at(now) >= minSlowdown || es.SampledAt.After(lastSlow))
}

// Tracker holds the samples of this instance and the estimates of its peers. It is not safe for concurrent use.
type Tracker struct {
	own map[string]*window
	// byTarget holds the peers' estimates by target and peer. It holds no empty maps.
	byTarget map[string]map[string]Estimate
}

// New returns a Tracker without samples.
func New() *Tracker {
	return &Tracker{own: map[string]*window{}, byTarget: map[string]map[string]Estimate{}}
}

// Observe records a pass of a target that this instance observed.
func (tr *Tracker) Observe(target string, predicted, observed time.Duration, endedAt time.Time) {
	if predicted <= 0 || observed <= 0 {
		return
	}
	wi, known := tr.own[target]
	if !known {
		if len(tr.own) >= maxTargets {
			return
		}
		wi = &window{}
		tr.own[target] = wi
	}
	wi.add(sample{ratio: min(max(1, float64(observed)/float64(predicted)), MaxSlowdown), endedAt: endedAt})
}

// ownEstimate returns the estimate of this instance alone, and false without samples.
func (tr *Tracker) ownEstimate(target string) (Estimate, bool) {
	wi, known := tr.own[target]
	if !known {
		return Estimate{}, false
	}
	return Estimate{Target: target, Slowdown: wi.median(), SampledAt: wi.newest()}, true
}

// Slowdown returns the slowdown of a target: the lower median of the own estimate and those of the peers. What one peer alone says counts up to
// maxAlone.
func (tr *Tracker) Slowdown(target string, now time.Time) float64 {
	var all []Estimate
	own, known := tr.ownEstimate(target)
	if known {
		all = append(all, own)
	}
	for _, es := range tr.byTarget[target] {
		all = append(all, es)
	}
	lastSlow := lastSlowSample(all, now)
	hasOwn := known && own.isRelevant(now, lastSlow)
	var values []float64
	for _, es := range all {
		if es.isRelevant(now, lastSlow) {
			values = append(values, es.at(now))
		}
	}
	switch {
	case len(values) == 0:
		return 1
	case len(values) == 1 && !hasOwn:
		return significant(min(values[0], maxAlone))
	default:
		return significant(lowerMedian(values))
	}
}

// lastSlowSample returns when the newest sample of the estimates that show a slowdown was made; zero without one.
func lastSlowSample(all []Estimate, now time.Time) time.Time {
	var last time.Time
	for _, es := range all {
		if es.at(now) >= minSlowdown && es.SampledAt.After(last) {
			last = es.SampledAt
		}
	}
	return last
}

// significant returns a slowdown, or 1 if it is too small to count.
func significant(slowdown float64) float64 {
	if slowdown < minSlowdown {
		return 1
	}
	return slowdown
}

// Slow returns the slowdowns of all targets for which it is not 1.
func (tr *Tracker) Slow(now time.Time) map[string]float64 {
	slow := map[string]float64{}
	add := func(target string) {
		if slowdown := tr.Slowdown(target, now); slowdown > 1 {
			slow[target] = slowdown
		}
	}
	for target := range tr.own {
		add(target)
	}
	for target := range tr.byTarget {
		add(target)
	}
	return slow
}

// Own returns the estimates of this instance alone, for peers, sorted by target: those that differ from 1, and those that contradict a peer by
// samples of the last second.
func (tr *Tracker) Own(now time.Time) []Estimate {
	var all []Estimate
	for target := range tr.own {
		es, _ := tr.ownEstimate(target)
		contradicts := len(tr.byTarget[target]) > 0 && now.Sub(es.SampledAt) < decayStart
		if es.at(now) >= minSlowdown || contradicts {
			all = append(all, es)
		}
	}
	slices.SortFunc(all, func(a, b Estimate) int { return strings.Compare(a.Target, b.Target) })
	return all
}

// SetPeer replaces the estimates of a peer.
func (tr *Tracker) SetPeer(peer string, all []Estimate) {
	tr.Forget(peer)
	for _, es := range all {
		if tr.byTarget[es.Target] == nil {
			if len(tr.byTarget) >= maxTargets {
				return
			}
			tr.byTarget[es.Target] = map[string]Estimate{}
		}
		tr.byTarget[es.Target][peer] = es
	}
}

// Forget removes the estimates of a peer.
func (tr *Tracker) Forget(peer string) {
	for target, reports := range tr.byTarget {
		delete(reports, peer)
		if len(reports) == 0 {
			delete(tr.byTarget, target)
		}
	}
}

// Expire removes what is too old to count.
func (tr *Tracker) Expire(now time.Time) {
	for target, wi := range tr.own {
		if now.Sub(wi.newest()) >= maxAge {
			delete(tr.own, target)
		}
	}
	for target, reports := range tr.byTarget {
		for peer, es := range reports {
			if now.Sub(es.SampledAt) >= maxAge {
				delete(reports, peer)
			}
		}
		if len(reports) == 0 {
			delete(tr.byTarget, target)
		}
	}
}
