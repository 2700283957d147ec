package dispatch

import "github.com/silvermount/silvermount/internal/placement"

// decision is the outcome of looking for a plan for a prompt.
type decision int

const (
	// decisionPlace runs the prompt as planned.
	decisionPlace decision = iota
	// decisionWait keeps the prompt waiting for another try.
	decisionWait
	// decisionRefuse refuses the prompt at once.
	decisionRefuse
)

// decide returns whether a prompt runs as planned, waits, or is refused. pl is the best plan at this moment, and planned is
// false if there is none.
func decide(rq Request, pr placement.Prompt, pl placement.Plan, planned bool, cands []placement.Target, op placement.Options) decision {
	switch {
	case rq.isLong() && !rq.Resumed:
		return decideLong(rq, pr, pl, planned, cands, op)
	case !planned:
		return decisionWait
	case shouldShed(rq, pr, pl, cands):
		return decisionRefuse
	default:
		return decisionPlace
	}
}

// decideLong decides on a long prompt that has not been started anywhere. It compares pl with the plan that would be best
// once all current prefill is done.
func decideLong(rq Request, pr placement.Prompt, pl placement.Plan, planned bool, cands []placement.Target, op placement.Options) decision {
	later, feasible := placement.Choose(*rq.Service.Engine, pr, withoutPrefill(cands), op)
	feasible = feasible && meetsCallerTimeout(pr, later)
	switch {
	case !feasible && infeasibleWhenIdle(rq, pr, cands, op):
		return decisionRefuse
	case !feasible || !planned || !isWorthPlacing(rq, pr, pl) || isBetterLater(pr, pl, later) || shouldDefer(rq, pr, pl):
		return decisionWait
	default:
		return decisionPlace
	}
}
