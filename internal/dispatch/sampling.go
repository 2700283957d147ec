package dispatch

import (
	"time"

	"github.com/silvermount/silvermount/internal/placement"
)

// minSampleSize is the smallest number of targets that a short prompt chooses from: large enough that a good target is
// nearly always among them, small enough that two instances seldom choose the same one.
const minSampleSize = 8

// SetPropagationDelay sets the function that returns how long it takes until peers know of a choice of this instance.
// Without it, choices count as known at once.
func (ds *Dispatcher) SetPropagationDelay(delay func() time.Duration) {
	ds.propagationDelayFunc.Store(&delay)
}

// propagationDelay returns how long it takes until peers know of a choice of this instance.
func (ds *Dispatcher) propagationDelay() time.Duration {
	delayFunc := ds.propagationDelayFunc.Load()
	if delayFunc == nil {
		return 0
	}
	return (*delayFunc)()
}

// chooseFromSample returns the best plan on a sample of the targets, or on all targets if the sample has none that is in
// time.
func (ds *Dispatcher) chooseFromSample(rq Request, pr placement.Prompt, cands []placement.Target, op placement.Options, delay time.Duration) (placement.Plan, bool) {
	drawn := ds.drawSample(rq, cands, delay)
	pl, ok := placement.Choose(*rq.Service.Engine, pr, drawn, op)
	if len(drawn) == len(cands) || ok && !willBeLate(rq, pr, pl) {
		return pl, ok
	}
	return placement.Choose(*rq.Service.Engine, pr, cands, op)
}

// drawSample returns the targets that a short prompt chooses from. All instances see the same target as the best one, and in
// a large fleet many prompts are placed before peers know of the first. Sent to that one target, they would fill it well
// beyond its slots. Each prompt therefore chooses from its own random sample. The sample is the smaller the more prompts are
// placed during the propagation delay, so that about one of them finds the same target best.
func (ds *Dispatcher) drawSample(rq Request, cands []placement.Target, delay time.Duration) []placement.Target {
	unseen := unpropagatedPlacements(rq.Service.Engine, cands, delay)
	size := max(minSampleSize, int(float64(len(cands))/max(1, unseen)))
	if rq.isLong() || size >= len(cands) {
		return cands
	}
	share := float64(size) / float64(len(cands))
	drawn := make([]placement.Target, 0, 2*size)
	for i := range cands {
		if hashFraction(rq.ID, ds.opts.Instance, cands[i].Name, "sample") < share {
			drawn = append(drawn, cands[i])
		}
	}
	if len(drawn) == 0 {
		return cands
	}
	return drawn
}

// unpropagatedPlacements returns how many prompts all instances place during a propagation delay. By Little's law their rate
// is the number of requests in flight divided by the time that an answer takes.
func unpropagatedPlacements(en *placement.Engine, cands []placement.Target, delay time.Duration) float64 {
	return float64(inFlight(cands)) / meanAnswerTime(en).Seconds() * delay.Seconds()
}
