package dispatch

import "github.com/silvermount/silvermount/internal/placement"

// decision is what becomes of a prompt now.
type decision int

const (
	// decisionPlace is to run it as planned.
	decisionPlace decision = iota
	// decisionWait is to look again later.
	decisionWait
	// decisionRefuse is to refuse it at once.
	decisionRefuse
)

// decide says whether a prompt runs as planned, looks again later, or is refused. The plan is the best one now, if any.
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

// decideLong decides about a long prompt that nobody reads yet.
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
