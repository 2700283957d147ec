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
func decide(as Request, pr placement.Prompt, pl placement.Plan, planned bool, cands []placement.Target, op placement.Options) decision {
	switch {
	case as.long() && !as.Resumed:
		return decideLong(as, pr, pl, planned, cands, op)
	case !planned:
		return decisionWait
	case sheds(as, pr, pl, cands):
		return decisionRefuse
	default:
		return decisionPlace
	}
}

// decideLong decides about a long prompt that nobody reads yet.
func decideLong(as Request, pr placement.Prompt, pl placement.Plan, planned bool, cands []placement.Target, op placement.Options) decision {
	later, feasible := placement.Choose(*as.Service.Engine, pr, read(cands), op)
	feasible = feasible && begins(pr, later)
	switch {
	case !feasible && hopeless(as, pr, cands, op):
		return decisionRefuse
	case !feasible || !planned || !worthwhile(as, pr, pl) || betterLater(pr, pl, later) || defers(as, pr, pl):
		return decisionWait
	default:
		return decisionPlace
	}
}
