package dispatch

import (
	"slices"

	"github.com/silvermount/silvermount/internal/placement"
)

// late reports whether an answer is late already or is sure to be. Others need not spare it: nothing more of it is lost.
func willBeLate(rq Request, pr placement.Prompt, pl placement.Plan) bool {
	return rq.Resumed || float64(pr.Used+pl.FirstToken) > lateThreshold*float64(pr.Objective)
}

// lateFrom is the share of the objective from which a predicted first token is late for sure: predictions are off by a
// fifth.
const lateThreshold = 1.2

// worthwhile reports whether a long prompt is expected to bring more than it costs the others. One that is late already
// brings little, and read by a few targets in long passes it makes all that arrives there late as well: an overload may
// begin with one such prompt.
//
// One that is late for having waited has no better moment to wait for: refused in the end, its caller comes back once more for nothing.
func isWorthPlacing(rq Request, pr placement.Prompt, pl placement.Plan) bool {
	saved := pr.InTime
	if willBeLate(rq, pr, pl) && pr.Used > 0 {
		saved += placement.Worth(refusalCost * float64(pr.InTime))
	}
	return pl.Loss < saved
}

// refusalCost is what a caller loses by a refusal after a long wait beside the answer, as a share of its worth in time.
const refusalCost = 0.3

// hopeless reports whether a long prompt cannot be answered in its caller's time even at idle targets.
func infeasibleWhenIdle(rq Request, pr placement.Prompt, cands []placement.Target, op placement.Options) bool {
	best, ok := placement.Choose(*rq.Service.Engine, pr, withoutLoad(cands), op)
	return !ok || !meetsCallerTimeout(pr, best)
}

// begins reports whether the first token of a plan comes while the caller waits.
func meetsCallerTimeout(pr placement.Prompt, pl placement.Plan) bool {
	return pr.Patience <= 0 || pr.Used+pl.FirstToken <= pr.Patience
}

// read returns targets with nothing left to read.
func withoutPrefill(cands []placement.Target) []placement.Target {
	after := slices.Clone(cands)
	for i := range after {
		after[i].Load.Whole, after[i].Load.Parts = placement.Backlog{}, placement.Backlog{}
		after[i].Closed = false
	}
	return after
}

// idle returns targets with nothing in flight: neither slots nor memory are taken.
func withoutLoad(cands []placement.Target) []placement.Target {
	after := slices.Clone(cands)
	for i := range after {
		after[i].Load = placement.Load{}
		after[i].Helper, after[i].Closed = true, false
	}
	return after
}

const (
	// waitGain is the share of an answer's worth that waiting for others' reading to end must save.
	minWaitGain = 0.04
	// waitUpTo is the share of the objective by which the first token must still be expected after a wait.
	maxWaitFirstToken = 0.75
)

// betterLater reports whether a long prompt had better wait until what is being read now is read: the parts of two long
// prompts in one pass make the pauses of all writers there too long, one after the other they do not.
func isBetterLater(pr placement.Prompt, pl, later placement.Plan) bool {
	if float64(pr.Used+later.FirstToken) > maxWaitFirstToken*float64(pr.Objective) {
		return false
	}
	return float64(pl.Loss-later.Loss) > minWaitGain*float64(pr.InTime)
}

const (
	// deferHarm is the share of its worth in time that a late prompt may cost others at once: about one short
	// answer for a long prompt.
	minDeferHarm = 0.05
	// deferUpTo is how many objectives a late prompt waits at most. Callers give a stream up after four, and a large
	// prompt is read for over one.
	maxDeferral = 2.5
)

// defers reports whether a prompt that is late in any case had better wait: what is left of its worth does not fall with
// time, and the others at its targets are in time now.
func shouldDefer(rq Request, pr placement.Prompt, pl placement.Plan) bool {
	if !willBeLate(rq, pr, pl) {
		return false
	}
	left := pr.Left - pl.FirstToken
	if left < pr.Objective || float64(pr.Used) > maxDeferral*float64(pr.Objective) {
		return false
	}
	return float64(pl.Harm) > minDeferHarm*float64(pr.InTime)
}
