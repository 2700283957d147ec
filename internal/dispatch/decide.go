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
	case !planned && rq.Resumed && infeasibleResume(rq, pr, cands, op):
		return decisionRefuse
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
		return decideWaiting(rq, pr, pl, planned, cands, op)
	default:
		return decisionPlace
	}
}

// minTimeForRetry is how many times the time to the first token that is predicted on idle targets a prompt must have left, after a lost
// attempt, to wait for room. Under load, long prompts take twice the prediction or more, so that with less time the wait is in vain.
const minTimeForRetry = 2

// decideWaiting returns whether a long prompt for which this is not the best moment waits. After a lost attempt it waits only while there
// is time for another one; then it is placed if it is worth that, else refused.
func decideWaiting(rq Request, pr placement.Prompt, pl placement.Plan, planned bool, cands []placement.Target, op placement.Options) decision {
	switch {
	case !rq.AttemptLost || hasTimeForRetry(rq, pr, cands, op):
		return decisionWait
	case planned && isWorthPlacing(rq, pr, pl) && meetsCallerTimeout(pr, pl):
		return decisionPlace
	default:
		return decisionRefuse
	}
}

// hasTimeForRetry reports whether a prompt has minTimeForRetry left.
func hasTimeForRetry(rq Request, pr placement.Prompt, cands []placement.Target, op placement.Options) bool {
	best, ok := placement.Choose(*rq.Service.Engine, pr, withoutLoad(cands), op)
	best.TimeToFirstToken *= minTimeForRetry
	return ok && best.TimeToFirstToken <= pr.UntilDeadline && meetsCallerTimeout(pr, best)
}

// infeasibleResume reports whether the caller of a stream that began would have given up before its next event even if all targets were
// idle. The caller waits since the last event, and past its deadline.
func infeasibleResume(rq Request, pr placement.Prompt, cands []placement.Target, op placement.Options) bool {
	if !rq.LastEventAt.IsZero() {
		pr.Elapsed -= rq.LastEventAt.Sub(rq.Arrived)
	}
	pr.UntilDeadline = unboundedTimeLeft
	best, ok := placement.Choose(*rq.Service.Engine, pr, withoutLoad(cands), op)
	return ok && !meetsCallerTimeout(pr, best)
}
