// Package retry decides whether a failed attempt at a request is retried at another target.
package retry

import (
	"github.com/silvermount/silvermount/internal/failure"
)

// retryable holds the failures after which an attempt at another target may succeed.
var retryable = map[failure.Code]bool{
	failure.TargetLost:    true,
	failure.TargetRefused: true,
	failure.TargetShed:    true,
}

// Reason says what prevents a retry; it is written to logs. It is empty when a retry follows, and when a retry is out of the
// question because the request has ended or the failure is not one of the target.
type Reason string

// The reasons.
const (
	// ReasonMaxAttempts means that the maximum number of attempts was made.
	ReasonMaxAttempts Reason = "attempts"
	// ReasonAtMostOnce means that the request may run at most once and may have run already.
	ReasonAtMostOnce Reason = "runs_once"
	// ReasonResponseStarted means that the caller has part of a response that another target cannot resume.
	ReasonResponseStarted Reason = "answer_begun"
	// ReasonBudgetExhausted means that the retry budget is empty.
	ReasonBudgetExhausted Reason = "budget"
)

// FailedAttempt describes a failed attempt at a request.
type FailedAttempt struct {
	Code failure.Code
	// Cancelled is set when the deadline has passed or the caller has disconnected.
	Cancelled bool
	// AtMostOnce is set when the request must not run more than once.
	AtMostOnce bool
	// MayHaveRun is set when this or an earlier attempt may have run the request.
	MayHaveRun bool
	// Attempts is the number of attempts made so far, MaxAttempts its maximum.
	Attempts, MaxAttempts int
	// ResponseStarted is set when the caller has part of the response.
	ResponseStarted bool
	// TryResume prepares another target to resume a started response, and reports whether that is possible. It is called only when
	// nothing else but the budget can prevent a retry.
	TryResume func() bool
	// BudgetTaken is set when the retry was withdrawn from the budget already.
	BudgetTaken bool
}

// Decide reports whether to retry, and if so withdraws the retry from the budget with withdraw, which reports false if the budget is
// empty. Otherwise it returns the reason.
func (fa FailedAttempt) Decide(withdraw func() bool) (bool, Reason) {
	switch {
	case fa.Cancelled || !retryable[fa.Code]:
		return false, ""
	case fa.AtMostOnce && fa.MayHaveRun:
		return false, ReasonAtMostOnce
	case fa.Attempts >= fa.MaxAttempts:
		return false, ReasonMaxAttempts
	case fa.ResponseStarted && !fa.TryResume():
		return false, ReasonResponseStarted
	case fa.BudgetTaken || withdraw():
		return true, ""
	}
	return false, ReasonBudgetExhausted
}

// ShouldRetry is Decide without the reason.
func (fa FailedAttempt) ShouldRetry(withdraw func() bool) bool {
	retry, _ := fa.Decide(withdraw)
	return retry
}
