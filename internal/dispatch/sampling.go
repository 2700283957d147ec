package dispatch

import (
	"time"

	"github.com/silvermount/silvermount/internal/placement"
)

// leastSample is the fewest targets that a short prompt chooses from: enough that one of them is nearly always a good
// one, few enough that two instances seldom choose the same.
const minSampleSize = 8

// SetLag sets what tells how long it takes until an instance's choice is known to the others. Without it the choice
// counts as known at once.
func (ds *Dispatcher) SetPropagationDelay(lag func() time.Duration) {
	ds.propagationDelayFunc.Store(&lag)
}

// lagNow returns how long it takes until an instance's choice is known to the others.
func (ds *Dispatcher) propagationDelay() time.Duration {
	lag := ds.propagationDelayFunc.Load()
	if lag == nil {
		return 0
	}
	return (*lag)()
}

// chooseFrom returns the best plan of a sample of the targets, and of all when that one would be late.
func (ds *Dispatcher) chooseFromSample(rq Request, pr placement.Prompt, cands []placement.Target, op placement.Options, lag time.Duration) (placement.Plan, bool) {
	drawn := ds.drawSample(rq, cands, lag)
	pl, ok := placement.Choose(*rq.Service.Engine, pr, drawn, op)
	if len(drawn) == len(cands) || ok && !willBeLate(rq, pr, pl) {
		return pl, ok
	}
	return placement.Choose(*rq.Service.Engine, pr, cands, op)
}

// sample returns the targets that a short prompt chooses from. All instances see the same target as the best one, and
// in a large fleet many prompts are placed before the others hear of the first: sent to one target they would fill it
// well beyond its slots. So each prompt chooses from targets drawn by itself, the fewer the more prompts are placed
// unseen, such that about one of these finds the same target the best.
func (ds *Dispatcher) drawSample(rq Request, cands []placement.Target, lag time.Duration) []placement.Target {
	unseen := unpropagatedPlacements(rq.Service.Engine, cands, lag)
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

// unseenPlacements returns how many prompts are placed in a time by all instances: by Little's law what is in flight,
// over the time for which an answer is written.
func unpropagatedPlacements(en *placement.Engine, cands []placement.Target, lag time.Duration) float64 {
	return float64(inFlight(cands)) / usualAnswerTime(en).Seconds() * lag.Seconds()
}
