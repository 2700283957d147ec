package dispatch

import (
	"slices"

	"github.com/silvermount/silvermount/internal/placement"
)

// willBeLate reports whether an answer has missed its objective or is almost certain to. A late answer has nothing more to
// lose, so other requests need not be kept from delaying it.
func willBeLate(rq Request, pr placement.Prompt, pl placement.Plan) bool {
	return rq.Resumed || float64(pr.Elapsed+pl.TimeToFirstToken) > lateThreshold*float64(pr.Objective)
}

// lateThreshold is the share of the objective above which a predicted first token is considered certain to be late:
// predictions are off by up to a fifth.
const lateThreshold = 1.2

// isWorthPlacing reports whether a long prompt is expected to be worth more than the loss it causes to other requests. A
// long prompt that is already late is worth little, and when a few targets prefill it in long passes, every request that
// arrives there becomes late as well: a single such prompt can start an overload.
//
// A prompt that is late because it had to wait also gets the cost of a refusal credited: there is no better moment to wait
// for, and after a refusal its caller would only retry in vain.
func isWorthPlacing(rq Request, pr placement.Prompt, pl placement.Plan) bool {
	saved := pr.InTimeWorth
	if willBeLate(rq, pr, pl) && pr.Elapsed > 0 {
		saved += placement.Worth(refusalCost * float64(pr.InTimeWorth))
	}
	return pl.Loss < saved
}

// refusalCost is what a refusal after a long wait costs a caller on top of the lost answer, as a share of the answer's in-time
// worth.
const refusalCost = 0.3

// infeasibleWhenIdle reports whether a long prompt could not be answered within its caller's time even if all targets were
// idle.
func infeasibleWhenIdle(rq Request, pr placement.Prompt, cands []placement.Target, op placement.Options) bool {
	best, ok := placement.Choose(*rq.Service.Engine, pr, withoutLoad(cands), op)
	return !ok || !meetsCallerTimeout(pr, best)
}

// meetsCallerTimeout reports whether the first token of a plan is predicted before the caller's idle timeout.
func meetsCallerTimeout(pr placement.Prompt, pl placement.Plan) bool {
	return pr.CallerIdleTimeout <= 0 || pr.Elapsed+pl.TimeToFirstToken <= pr.CallerIdleTimeout
}

// withoutPrefill returns copies of the targets with all pending prefill done and none blocked.
func withoutPrefill(cands []placement.Target) []placement.Target {
	after := slices.Clone(cands)
	for i := range after {
		after[i].Load.WholePrefill, after[i].Load.SplitPrefill = placement.Backlog{}, placement.Backlog{}
		after[i].Blocked = false
	}
	return after
}

// withoutLoad returns copies of the targets with nothing in flight, so that no slots or memory are taken.
func withoutLoad(cands []placement.Target) []placement.Target {
	after := slices.Clone(cands)
	for i := range after {
		after[i].Load = placement.Load{}
		after[i].CanHelp, after[i].Blocked = true, false
	}
	return after
}

const (
	// minWaitGain is the least loss that waiting for current prefill to end must save, as a share of the prompt's in-time
	// worth.
	minWaitGain = 0.04
	// maxWaitFirstToken is the latest first token that may still be predicted after a wait, as a share of the objective.
	maxWaitFirstToken = 0.75
)

// isBetterLater reports whether a long prompt should wait until current prefill has ended. Parts of two long prompts in one
// engine pass make the pauses of all answers decoded there too long; one after the other they do not.
func isBetterLater(pr placement.Prompt, pl, later placement.Plan) bool {
	if float64(pr.Elapsed+later.TimeToFirstToken) > maxWaitFirstToken*float64(pr.Objective) {
		return false
	}
	return float64(pl.Loss-later.Loss) > minWaitGain*float64(pr.InTimeWorth)
}

const (
	// minDeferOthersLoss is the loss of other requests above which a late prompt is deferred, as a share of the prompt's in-time
	// worth: for a long prompt, about one short answer.
	minDeferOthersLoss = 0.05
	// maxDeferral is how long a late prompt is deferred at most, in multiples of its objective. Callers give up a stream
	// after four objectives, and the prefill of a large prompt takes more than one.
	maxDeferral = 2.5
)

// shouldDefer reports whether a prompt that will be late anyway should wait: its remaining worth does not fall with time,
// whereas other requests at its targets are in time now.
func shouldDefer(rq Request, pr placement.Prompt, pl placement.Plan) bool {
	if !willBeLate(rq, pr, pl) {
		return false
	}
	left := pr.UntilDeadline - pl.TimeToFirstToken
	if left < pr.Objective || float64(pr.Elapsed) > maxDeferral*float64(pr.Objective) {
		return false
	}
	return float64(pl.OthersLoss) > minDeferOthersLoss*float64(pr.InTimeWorth)
}
