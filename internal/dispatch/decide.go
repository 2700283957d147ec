package dispatch

import (
	"time"

	"github.com/silvermount/silvermount/internal/completion"
	"github.com/silvermount/silvermount/internal/placement"
	"github.com/silvermount/silvermount/internal/returntimes"
)

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

// plannedPrompt is a prompt with its best plan at this moment and what the plan was chosen from.
type plannedPrompt struct {
	request Request
	prompt  placement.Prompt
	// plan is valid if planned is set.
	plan    placement.Plan
	planned bool
	// candidates are the targets that the plan was chosen from, and all those of the service.
	candidates, all []placement.Target
	options         placement.Options
}

// decide returns whether a prompt runs as planned, waits, or is refused, and the failure of a refused one. The caller holds the load table's
// lock.
func (ds *Dispatcher) decide(pp plannedPrompt) (decision, error) {
	if dc, ok := pp.decideInQueue(); ok {
		if dc == decisionRefuse {
			return dc, ds.overloadError(pp.request, pp.prompt)
		}
		return dc, nil
	}
	if ds.opts.Admission != nil && pp.request.Admission != nil && !pp.request.Resumed {
		return ds.admit(pp)
	}
	dc := pp.decide()
	if dc == decisionRefuse {
		return dc, ds.overloadError(pp.request, pp.prompt)
	}
	return dc, nil
}

// decide decides without regard to the error of predictions and to promised returns.
func (pp *plannedPrompt) decide() decision {
	switch {
	case pp.request.isLong() && !pp.request.Resumed:
		return pp.decideLong()
	case !pp.planned && pp.request.Resumed && infeasibleResume(pp.request, pp.prompt, pp.candidates, pp.options):
		return decisionRefuse
	case !pp.planned:
		return decisionWait
	case shouldShed(pp.request, pp.prompt, pp.plan, pp.candidates):
		return decisionRefuse
	default:
		return decisionPlace
	}
}

// decideLong decides on a long prompt that has not been started anywhere. It compares the plan with the one that would be best once all
// current prefill is done.
func (pp *plannedPrompt) decideLong() decision {
	rq, pr, pl := pp.request, pp.prompt, pp.plan
	later, feasible := pp.later()
	switch {
	case !feasible && infeasibleWhenIdle(rq, pr, pp.candidates, pp.options):
		return decisionRefuse
	case !feasible || !pp.planned || !isWorthPlacing(rq, pr, pl) || isBetterLater(pr, pl, later) || shouldDefer(rq, pr, pl):
		return pp.decideWaiting()
	default:
		return decisionPlace
	}
}

// minTimeForRetry is how many times the time to the first token that is predicted on idle targets a prompt must have left, after a lost
// attempt, to wait for room. Under load, long prompts take twice the prediction or more, so that with less time the wait is in vain.
const minTimeForRetry = 2

// decideWaiting returns whether a long prompt for which this is not the best moment waits. After a lost attempt it waits only while there
// is time for another one; then it is placed if it is worth that, else refused.
func (pp *plannedPrompt) decideWaiting() decision {
	rq, pr, pl := pp.request, pp.prompt, pp.plan
	switch {
	case !rq.AttemptLost || hasTimeForRetry(rq, pr, pp.candidates, pp.options):
		return decisionWait
	case pp.planned && isWorthPlacing(rq, pr, pl) && meetsCallerTimeout(pr, pl):
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

// later returns the plan that would be best once all current prefill is done, and whether it gives a first token in its caller's time.
func (pp *plannedPrompt) later() (placement.Plan, bool) {
	later, feasible := placement.Choose(*pp.request.Service.Engine, pp.prompt, withoutPrefill(pp.candidates), pp.options)
	return later, feasible && meetsCallerTimeout(pp.prompt, later)
}

// admit decides with the error of recent predictions and the promised returns.
func (ds *Dispatcher) admit(pp plannedPrompt) (decision, error) {
	ad, rq, now := ds.opts.Admission, pp.request, ds.opts.Now()
	kind := kindOf(int64(rq.PromptTokens))
	ad.returned(rq.Admission, now)
	dc := AdmissionDecision{
		Request: rq.ID, Service: rq.Service.Name, Kind: kind, Elapsed: pp.prompt.Elapsed, Predicted: pp.plan.TimeToFirstToken,
		Fleet: ad.fleet(rq, pp.prompt, pp.all, now), Return: rq.Admission.result,
	}
	er := ad.recentError(kind, now)
	dc.Error = er.FirstToken
	switch {
	case kind == completion.Long:
		dc.Outcome, dc.Reason = pp.admitLong(ad, &dc, er)
	case !pp.planned && ad.opts.CompletionAdmission && dc.Fleet.IsScarce():
		dc.Outcome, dc.Reason = completion.Refuse, completion.TooLate
	case !pp.planned:
		dc.Outcome = completion.Wait
	default:
		dc.Outcome, dc.Reason = pp.admitShort(ad, dc.Fleet, er)
	}
	return ds.applyAdmission(pp, dc, now)
}

// applyAdmission reports a decision and returns it.
func (ds *Dispatcher) applyAdmission(pp plannedPrompt, dc AdmissionDecision, now time.Time) (decision, error) {
	ad, rq := ds.opts.Admission, pp.request
	switch dc.Outcome {
	case completion.Refuse:
		err := ds.refuse(pp, &dc, now)
		ad.report(dc)
		return decisionRefuse, err
	case completion.Wait:
		if !rq.Admission.waitReported {
			rq.Admission.waitReported = true
			ad.report(dc)
		}
		return decisionWait, nil
	case completion.Place:
	}
	if dc.Reason != completion.NoReason {
		ad.report(dc)
	}
	ad.settle(rq.Admission)
	return decisionPlace, nil
}

// refuse returns the failure of a refused prompt, and sets when its caller may return.
func (ds *Dispatcher) refuse(pp plannedPrompt, dc *AdmissionDecision, now time.Time) error {
	fe := ds.overloadError(pp.request, pp.prompt)
	if ds.opts.Admission.opts.ReturnTimes && pp.request.Admission.Caller != 0 {
		ds.opts.Admission.promise(dc, pp.request, now, hashFraction(pp.request.ID, ds.opts.Instance, "return"))
		return fe.WithRetryAfter(dc.RetryAfter)
	}
	dc.RetryAfter = fe.RetryAfter
	return fe
}

// admitShort decides on a short prompt that has a plan.
func (pp *plannedPrompt) admitShort(ad *Admission, fl completion.Fleet, er completion.Error) (completion.Outcome, completion.Reason) {
	pr, st := pp.prompt, pp.request.Admission
	sp := completion.ShortPrompt{
		Elapsed: pr.Elapsed, Objective: pr.Objective, MaxPause: pr.MaxPause, FirstToken: pp.plan.TimeToFirstToken, Pause: pp.plan.PredictedPause,
		OthersLoss: float64(pp.plan.OthersLoss) / max(1, float64(pr.InTimeWorth)),
		Returned:   st.result == returntimes.OnTime || pp.request.Retried, Early: st.result == returntimes.Early,
	}
	if !ad.opts.CompletionAdmission {
		return pp.shedShort(sp, fl)
	}
	return completion.DecideShort(sp, fl, er)
}

// shedShort decides on a short prompt by its prediction alone, behind the callers that are due.
func (pp *plannedPrompt) shedShort(sp completion.ShortPrompt, fl completion.Fleet) (completion.Outcome, completion.Reason) {
	if !slotsExhausted(pp.request.Service.Engine, pp.candidates) {
		return completion.Place, completion.NoReason
	}
	if sp.Early {
		return completion.Refuse, completion.TooEarly
	}
	limit, ahead := time.Duration(maxCrowdedFirstToken*float64(pp.prompt.Objective)), time.Duration(0)
	if !sp.Returned {
		ahead = fl.DueWait()
	}
	switch predicted := sp.Elapsed + sp.FirstToken; {
	case predicted > limit:
		return completion.Refuse, completion.LateFirstToken
	case predicted+ahead > limit:
		return completion.Refuse, completion.BehindReturns
	default:
		return completion.Place, completion.NoReason
	}
}

// admitLong decides on a long prompt.
func (pp *plannedPrompt) admitLong(ad *Admission, dc *AdmissionDecision, er completion.Error) (completion.Outcome, completion.Reason) {
	rq, pr, pl := pp.request, pp.prompt, pp.plan
	if !ad.opts.CompletionAdmission {
		return pp.oldLong()
	}
	later, feasible := pp.later()
	if !feasible && infeasibleWhenIdle(rq, pr, pp.candidates, pp.options) {
		return completion.Refuse, completion.TooLate
	}
	lp := completion.LongPrompt{
		Elapsed: pr.Elapsed, Objective: pr.Objective, Planned: pp.planned, FirstToken: pl.TimeToFirstToken, Feasible: feasible,
		LaterFirstToken: later.TimeToFirstToken, GiveUp: giveUp(rq, pr), WorthPlacing: pp.planned && isWorthPlacing(rq, pr, pl),
		Patient:   feasible && isBetterLater(pr, pl, later) || shouldDefer(rq, pr, pl),
		WaitUntil: rq.Admission.waitUntil, Returned: rq.Admission.result == returntimes.OnTime || rq.Retried,
	}
	if lp.WaitUntil == 0 {
		lp.WaitUntil = completion.WaitBound(lp, dc.Fleet, er)
		rq.Admission.waitUntil = lp.WaitUntil
	}
	dc.WaitBound = lp.WaitUntil
	return completion.DecideLong(lp, dc.Fleet, er)
}

// oldLong returns the decision on a long prompt without regard to the error of predictions.
func (pp *plannedPrompt) oldLong() (completion.Outcome, completion.Reason) {
	switch pp.decideLong() {
	case decisionRefuse:
		return completion.Refuse, completion.TooLate
	case decisionWait:
		return completion.Wait, completion.NoReason
	case decisionPlace:
	}
	return completion.Place, completion.NoReason
}

// giveUp returns the time from the arrival of a prompt until its caller gives up, or until its answer could not be complete by the deadline.
func giveUp(rq Request, pr placement.Prompt) time.Duration {
	passes := max(1, pr.AnswerTokens/int64(max(1, rq.Service.Engine.StepsPerPass)))
	until := pr.Elapsed + pr.UntilDeadline - time.Duration(passes)*typicalPassTime
	if pr.CallerIdleTimeout > 0 {
		until = min(until, pr.CallerIdleTimeout)
	}
	return until
}
