package completion

import "time"

// Outcome is what happens to a prompt now.
type Outcome int

const (
	// Place runs the prompt as planned.
	Place Outcome = iota
	// Wait keeps it waiting for another try.
	Wait
	// Refuse refuses it at once.
	Refuse
)

// Reason says why a prompt is refused, or placed although it is late.
type Reason string

// The reasons.
const (
	// NoReason is that of a prompt that is placed because it will be in time.
	NoReason Reason = ""
	// LateFirstToken and LatePause are those of a short prompt that would miss a limit.
	LateFirstToken Reason = "late_first_token"
	LatePause      Reason = "late_pause"
	// BehindReturns is that of one that would be in time but for the callers that are due to return before it.
	BehindReturns Reason = "behind_returns"
	// TooEarly is that of a caller that returns before its promised time.
	TooEarly Reason = "too_early"
	// TooLate is that of a prompt that cannot be answered within its caller's time.
	TooLate Reason = "too_late"
	// WaitOver is that of a long prompt that found no room within its wait.
	WaitOver Reason = "wait_over"
)

const (
	// ScarceShare is the share of the slots in use from which capacity counts as scarce. Below it, prompts find a target without a wait.
	ScarceShare = 0.75
	// lateShare is the share of the slots in use up to which late prompts are placed. The rest is for those that can be in time: an answer
	// occupies its slot for as long whether or not it is late, so that late prompts would keep all slots taken and make the next ones late.
	lateShare = 0.9
	// errorMargin is how far between the median and the p90 error the time of a prompt is assumed, so that about seven in ten of those placed
	// at the limit are in time. With the median alone, a third more first tokens were late, at the same goodput.
	errorMargin = 0.5
	// harmless is the loss of others, as a share of the worth of the prompt, that counts as none: predictions cannot tell less apart.
	harmless = 0.005
)

// Fleet describes the targets that a prompt can use.
type Fleet struct {
	// SlotsInUse counts the requests at the targets that are not blocked, which have Slots slots.
	SlotsInUse, Slots int
	// Idle is set if one of them has nothing in flight.
	Idle bool
	// Due is the number of callers of this kind that were promised this moment and are not back yet.
	Due int
	// FinishRate is how many prompts of this kind end in a second.
	FinishRate float64
	// Backlog is the time that all targets together need for the prefill that is in flight.
	Backlog time.Duration
}

// IsScarce reports whether so many slots are in use that a prompt may have to wait.
func (fl Fleet) IsScarce() bool {
	return !fl.Idle && fl.Slots > 0 && float64(fl.SlotsInUse) >= ScarceShare*float64(fl.Slots)
}

// DueWait returns the time in which as many prompts end as callers are due. New prompts are judged as if they came after them.
func (fl Fleet) DueWait() time.Duration {
	if fl.FinishRate <= 0 {
		return 0
	}
	return time.Duration(float64(fl.Due) / fl.FinishRate * float64(time.Second))
}

// ShortPrompt describes a short prompt with its best plan.
type ShortPrompt struct {
	// Elapsed is the time since its arrival.
	Elapsed, Objective, MaxPause time.Duration
	// FirstToken and Pause are what the plan predicts, FirstToken from now.
	FirstToken, Pause time.Duration
	// OthersLoss is what others lose by the plan, as a share of the worth of the prompt.
	OthersLoss float64
	// Returned is set for a caller that is back at its promised time, Early for one that is back before.
	Returned, Early bool
}

// Error holds the error of recent predictions of one kind.
type Error struct{ FirstToken, Pause Quantiles }

// DecideShort returns whether a short prompt is placed or refused.
func DecideShort(pr ShortPrompt, fl Fleet, er Error) (Outcome, Reason) {
	if !fl.IsScarce() {
		return Place, NoReason
	}
	reason := pr.lateness(fl, er)
	switch {
	case pr.Early:
		return Refuse, TooEarly
	case reason == NoReason:
		return Place, NoReason
	case reason != BehindReturns && pr.OthersLoss < harmless && float64(fl.SlotsInUse+fl.Due) < lateShare*float64(fl.Slots):
		return Place, reason
	default:
		return Refuse, reason
	}
}

// lateness returns why the prompt would be late; NoReason if it would be in time.
func (pr ShortPrompt) lateness(fl Fleet, er Error) Reason {
	corrected := pr.Elapsed + pr.corrected(er)
	switch {
	case corrected > pr.Objective:
		return LateFirstToken
	case pr.MaxPause > 0 && er.Pause.P50*float64(pr.Pause) > float64(pr.MaxPause):
		return LatePause
	case !pr.Returned && corrected+fl.DueWait() > pr.Objective:
		return BehindReturns
	default:
		return NoReason
	}
}

// corrected returns the time to the first token with the error of predictions and a margin.
func (pr ShortPrompt) corrected(er Error) time.Duration {
	ratio := er.FirstToken.P50 + errorMargin*(er.FirstToken.P90-er.FirstToken.P50)
	return time.Duration(ratio * float64(pr.FirstToken))
}

// LongPrompt describes a long prompt with its plans.
type LongPrompt struct {
	// Elapsed is the time since its arrival.
	Elapsed, Objective time.Duration
	// Planned is set if there is a plan, which predicts FirstToken from now.
	Planned    bool
	FirstToken time.Duration
	// LaterFirstToken is what the best plan predicts once the prefill in flight is done, from then; Feasible is set if there is one.
	Feasible        bool
	LaterFirstToken time.Duration
	// GiveUp is the time from the arrival until the caller gives up waiting for the first token, or until its answer could not be
	// complete by the deadline.
	GiveUp time.Duration
	// WorthPlacing is set if the plan is worth more than what others lose by it, Patient if it would be better to wait, although it could be
	// placed now. A prompt stays patient for two and a half objectives at most.
	WorthPlacing, Patient bool
	// WaitUntil is the end of the wait, from the arrival; zero before WaitBound was called.
	WaitUntil time.Duration
	// Returned is set for a caller that is back at its promised time.
	Returned bool
}

// minWaitShare is the least wait of a long prompt, as a share of its objective: short answers that it would delay end meanwhile, which the
// backlog says nothing of.
const minWaitShare = 0.5

// WaitBound returns when the wait of a long prompt ends, from its arrival: when the prefill ahead is done with the p90 error. It is at most the
// objective, so that a refused caller has most of its time left.
func WaitBound(pr LongPrompt, fl Fleet, er Error) time.Duration {
	ahead := time.Duration(er.FirstToken.P90 * float64(fl.Backlog))
	least := time.Duration(minWaitShare * float64(pr.Objective))
	return min(pr.Objective, max(least, pr.Elapsed+ahead))
}

// DecideLong returns whether a long prompt is placed, waits or is refused.
func DecideLong(pr LongPrompt, fl Fleet, er Error) (Outcome, Reason) {
	over := pr.Elapsed >= pr.WaitUntil
	placeable := pr.Planned && pr.WorthPlacing
	idle := fl.Idle && pr.Planned
	switch {
	case !idle && !pr.canBeServed(fl, er):
		return Refuse, TooLate
	case placeable && (pr.Returned || !pr.Patient && (pr.Feasible || over)):
		return Place, NoReason
	case placeable && pr.Patient, !over:
		return Wait, NoReason
	case fl.Idle:
		return placeIfPlanned(pr)
	default:
		return Refuse, WaitOver
	}
}

// placeIfPlanned is the outcome while a target is idle: nobody is refused if there is any plan.
func placeIfPlanned(pr LongPrompt) (Outcome, Reason) {
	if pr.Planned {
		return Place, WaitOver
	}
	return Refuse, WaitOver
}

// canBeServed reports whether the first token can come before the caller gives up, either by the plan of now or after the backlog.
func (pr LongPrompt) canBeServed(fl Fleet, er Error) bool {
	now := pr.Planned && pr.Elapsed+correctedBy(er, pr.FirstToken) <= pr.GiveUp
	later := pr.Feasible && pr.Elapsed+fl.Backlog+correctedBy(er, pr.LaterFirstToken) <= pr.GiveUp
	return now || later
}

func correctedBy(er Error, predicted time.Duration) time.Duration {
	return time.Duration(er.FirstToken.P50 * float64(predicted))
}
