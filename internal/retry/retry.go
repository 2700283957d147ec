// Package retry decides whether a failed attempt of a request is followed by another.
package retry

import (
	"github.com/silvermount/silvermount/internal/budget"
	"github.com/silvermount/silvermount/internal/failure"
)

// ofTarget are the failures that another target may not have.
var retryable = map[failure.Code]bool{
	failure.TargetLost:    true,
	failure.TargetRefused: true,
	failure.TargetShed:    true,
}

// Reason names what forbids another attempt, for logs. It is empty when nothing does, and when there is nothing to try
// again: the time is over, or the failure is not one of the target.
type Reason string

// The reasons.
const (
	// AllAttempts means that as many attempts were made as are allowed.
	ReasonMaxAttempts Reason = "attempts"
	// RunsOnce means that the request may have run, and may not run again.
	ReasonAtMostOnce Reason = "runs_once"
	// AnswerBegun means that the caller has a part of an answer that cannot go on elsewhere.
	ReasonResponseStarted Reason = "answer_begun"
	// BudgetSpent means that the budget of retries has none left.
	ReasonBudgetExhausted Reason = "budget"
)

// Case is what is known when an attempt has failed.
type FailedAttempt struct {
	// Code is how the attempt failed.
	Code failure.Code
	// Over is set when the deadline has passed or the caller has gone.
	Cancelled bool
	// Once is set when the request may be run once at most.
	AtMostOnce bool
	// MayHaveRun is set when this or an earlier attempt may have run it.
	MayHaveRun bool
	// Attempts counts those that were made, Most bounds them.
	Attempts, MaxAttempts int
	// Begun is set when the caller has a part of the answer.
	ResponseStarted bool
	// Continues reports whether a begun answer can go on at another target, and prepares it. It is called when nothing
	// else but the budget forbids a further attempt.
	TryResume func() bool
	// Paid is set when the retry was taken from the budget already.
	BudgetTaken bool
}

// Decide reports whether another attempt follows, and takes it from the budget; else it says what forbids it.
func (fa FailedAttempt) Decide(rt *budget.Retries) (bool, Reason) {
	switch {
	case fa.Cancelled || !retryable[fa.Code]:
		return false, ""
	case fa.AtMostOnce && fa.MayHaveRun:
		return false, ReasonAtMostOnce
	case fa.Attempts >= fa.MaxAttempts:
		return false, ReasonMaxAttempts
	case fa.ResponseStarted && !fa.TryResume():
		return false, ReasonResponseStarted
	case fa.BudgetTaken || rt.TryWithdraw():
		return true, ""
	}
	return false, ReasonBudgetExhausted
}

// Again reports whether another attempt follows, and takes it from the budget.
func (fa FailedAttempt) ShouldRetry(rt *budget.Retries) bool {
	again, _ := fa.Decide(rt)
	return again
}
