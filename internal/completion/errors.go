// Package completion decides, from predictions and from how far recent predictions were off, whether a prompt is placed, waits or is refused.
// It reads no clock and has no lock: times are parameters, and its caller serialises the calls.
package completion

import (
	"slices"
	"time"
)

// Kind separates prompts whose prediction errors have different causes.
type Kind int

const (
	// Short prompts are prefilled within one pass of one engine.
	Short Kind = iota
	// Long prompts are prefilled in parts, at several engines or in several passes.
	Long

	kindCount
)

// String returns the name of the kind.
func (kd Kind) String() string {
	if kd == Long {
		return "long"
	}
	return "short"
}

const (
	// errorWindow is the age up to which samples count: a change of pace must show within 2 s.
	errorWindow = 2 * time.Second
	// maxSamples bounds the samples of one series. Quantiles of more would not be more exact than predictions need.
	maxSamples = 64
	// sparseSamples is how many samples count beyond the window, up to sparseWindow, where fewer fall into it: an instance that gets one
	// prompt a second has two in the window.
	sparseSamples = 5
	sparseWindow  = 8 * time.Second
	// minSamples is the smallest number of samples that a quantile is taken of. With two, either could be the odd one.
	minSamples = 3
	// maxRatio limits a ratio, so that a prediction of almost nothing gives no infinite one.
	maxRatio = 1000
)

// Quantiles describes recent samples.
type Quantiles struct {
	// P50 and P90 are 1 if there are too few samples.
	P50, P90 float64
	Samples  int
}

// Errors holds the recent ratios of observed to predicted times by kind. The zero value has no samples. It is not safe for concurrent use.
type Errors struct {
	firstToken, pause, duration [kindCount]series
}

// ObserveFirstToken adds the ratio of the observed to the predicted time to a first token that came at a time.
func (es *Errors) ObserveFirstToken(kd Kind, observed, predicted time.Duration, at time.Time) {
	es.firstToken[kd].add(ratio(observed, predicted), at)
}

// ObservePause adds the ratio of the longest observed pause to the predicted one, of an answer that ended at a time.
func (es *Errors) ObservePause(kd Kind, observed, predicted time.Duration, at time.Time) {
	es.pause[kd].add(ratio(observed, predicted), at)
}

// ObserveDuration adds how long a prompt that ended at a time was at its target.
func (es *Errors) ObserveDuration(kd Kind, took time.Duration, at time.Time) {
	es.duration[kd].add(took.Seconds(), at)
}

// FirstToken returns the quantiles of the ratios of observed to predicted times to the first token.
func (es *Errors) FirstToken(kd Kind, now time.Time) Quantiles {
	return es.firstToken[kd].quantiles(now)
}

// Pause returns the quantiles of the ratios of observed to predicted pauses.
func (es *Errors) Pause(kd Kind, now time.Time) Quantiles { return es.pause[kd].quantiles(now) }

// Duration returns the median time that prompts were at their target, and false if there are too few samples.
func (es *Errors) Duration(kd Kind, now time.Time) (time.Duration, bool) {
	qs := es.duration[kd].quantiles(now)
	return time.Duration(qs.P50 * float64(time.Second)), qs.Samples >= minSamples
}

func ratio(observed, predicted time.Duration) float64 {
	if predicted <= 0 {
		return 1
	}
	return min(maxRatio, max(0, float64(observed)/float64(predicted)))
}

// sample is a value that was seen at a time.
type sample struct {
	value float64
	at    time.Time
}

// series holds recent samples.
type series struct {
	// samples are ordered by time, oldest first; at most maxSamples.
	samples []sample
}

func (sr *series) add(value float64, at time.Time) {
	if len(sr.samples) == maxSamples {
		sr.samples = append(sr.samples[:0], sr.samples[1:]...)
	}
	sr.samples = append(sr.samples, sample{value: value, at: at})
}

// recent returns the samples that count at a time.
func (sr *series) recent(now time.Time) []sample {
	from := sr.countFrom(now.Add(-errorWindow))
	if sparse := max(0, len(sr.samples)-sparseSamples); sparse < from {
		from = max(sparse, sr.countFrom(now.Add(-sparseWindow)))
	}
	return sr.samples[from:]
}

// countFrom returns the index of the first sample that is not older than a time.
func (sr *series) countFrom(oldest time.Time) int {
	from := 0
	for from < len(sr.samples) && sr.samples[from].at.Before(oldest) {
		from++
	}
	return from
}

// quantiles returns the quantiles of the samples that count. Neither is ever the largest of them: of a few samples, it may be an odd one.
func (sr *series) quantiles(now time.Time) Quantiles {
	recent := sr.recent(now)
	if len(recent) < minSamples {
		return Quantiles{P50: 1, P90: 1, Samples: len(recent)}
	}
	var buf [maxSamples]float64
	values := buf[:0]
	for _, sa := range recent {
		values = append(values, sa.value)
	}
	slices.Sort(values)
	return Quantiles{P50: quantile(values, 0.5), P90: quantile(values, 0.9), Samples: len(values)}
}

// quantile returns a quantile of sorted values, rounded down to one of them.
func quantile(values []float64, share float64) float64 {
	return values[int(share*float64(len(values)-1))]
}
