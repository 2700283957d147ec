// Package failure defines the typed error that every refused or failed request ends in.
package failure

import (
	"fmt"
	"net/http"
	"time"

	"github.com/cockroachdb/errors"
)

// Outcome says whether a request was run, as far as it is known.
type Outcome string

// The outcomes that are reported to callers.
const (
	// NotRun means that no part of the request reached a target, or that the target reported that it did not start it.
	NotRun Outcome = "not_run"
	// Failed means that the request was started and gave no complete answer.
	Failed Outcome = "failed"
	// Unknown means that it is not known whether the request took effect.
	Unknown Outcome = "unknown"
)

// Code is the kind of a failure.
type Code string

// The codes of failures.
const (
	BadRequest       Code = "bad_request"
	Unauthorized     Code = "unauthorized"
	Forbidden        Code = "forbidden"
	NotFound         Code = "not_found"
	TooLarge         Code = "too_large"
	Overloaded       Code = "overloaded"
	NoMemory         Code = "no_memory"
	LimitReached     Code = "limit_reached"
	DeadlineTooShort Code = "deadline_too_short"
	DeadlineExceeded Code = "deadline_exceeded"
	CallerGone       Code = "caller_gone"
	// WriteTimeout means that the caller was connected and did not take its response in time.
	WriteTimeout        Code = "write_timeout"
	NoTarget            Code = "no_target"
	TargetRefused       Code = "target_refused"
	TargetLost          Code = "target_lost"
	Stopping            Code = "stopping"
	InstanceEnded       Code = "instance_ended"
	KeyInUse            Code = "key_in_use"
	KeyMismatch         Code = "key_mismatch"
	TicketUnknown       Code = "ticket_unknown"
	StoreUnavailable    Code = "store_unavailable"
	StoreOutcomeUnknown Code = "store_outcome_unknown"
	Conflict            Code = "conflict"
	NotReady            Code = "not_ready"
	// ProofTooOld means that the configuration was last confirmed so long ago that a key may have been revoked since.
	ProofTooOld Code = "proof_too_old"
	// TargetUnreachable means that nothing was sent to the target.
	TargetUnreachable Code = "target_unreachable"
	// TargetShed means that the target rejected the request without running it.
	TargetShed Code = "target_shed"
	// EndsTargets means that the request crashes the targets that run it. It says nothing about the outcome of earlier attempts.
	EndsTargets Code = "ends_targets"
)

var statusByCode = map[Code]int{
	BadRequest:          http.StatusBadRequest,
	Unauthorized:        http.StatusUnauthorized,
	Forbidden:           http.StatusForbidden,
	NotFound:            http.StatusNotFound,
	TooLarge:            http.StatusRequestEntityTooLarge,
	Overloaded:          http.StatusServiceUnavailable,
	NoMemory:            http.StatusServiceUnavailable,
	LimitReached:        http.StatusTooManyRequests,
	DeadlineTooShort:    http.StatusServiceUnavailable,
	DeadlineExceeded:    http.StatusGatewayTimeout,
	CallerGone:          499,
	WriteTimeout:        499,
	NoTarget:            http.StatusServiceUnavailable,
	TargetRefused:       http.StatusBadGateway,
	TargetLost:          http.StatusBadGateway,
	Stopping:            http.StatusServiceUnavailable,
	InstanceEnded:       http.StatusBadGateway,
	KeyInUse:            http.StatusConflict,
	KeyMismatch:         http.StatusUnprocessableEntity,
	TicketUnknown:       http.StatusConflict,
	StoreUnavailable:    http.StatusServiceUnavailable,
	StoreOutcomeUnknown: http.StatusServiceUnavailable,
	Conflict:            http.StatusConflict,
	NotReady:            http.StatusServiceUnavailable,

	ProofTooOld:       http.StatusServiceUnavailable,
	TargetUnreachable: http.StatusServiceUnavailable,
	TargetShed:        http.StatusServiceUnavailable,
	EndsTargets:       http.StatusBadRequest,
}

// Error is a failure with its code and outcome. It is immutable; the With methods return copies.
type Error struct {
	// Code is never empty.
	Code Code
	// Outcome is never empty.
	Outcome Outcome
	// Message is one sentence for humans.
	Message string
	// RetryAfter is zero when a retry cannot help.
	RetryAfter time.Duration
	// Cause is nil when the failure has no underlying error.
	Cause error
}

// New returns a failure with the given code and outcome.
func New(code Code, outcome Outcome, format string, args ...any) *Error {
	return &Error{Code: code, Outcome: outcome, Message: fmt.Sprintf(format, args...)}
}

// FromError returns the failure that an error wraps. Any other error is an internal fault of this instance, so its outcome is
// unknown.
func FromError(err error) *Error {
	var fe *Error
	if errors.As(err, &fe) {
		return fe
	}
	return New(TargetLost, Unknown, "internal failure").WithCause(err)
}

// WithCause returns a copy that wraps err.
func (fe *Error) WithCause(err error) *Error {
	c := *fe
	c.Cause = err
	return &c
}

// WithRetryAfter returns a copy that tells the caller when to retry.
func (fe *Error) WithRetryAfter(d time.Duration) *Error {
	c := *fe
	c.RetryAfter = d
	return &c
}

// WithOutcome returns a copy with another outcome.
func (fe *Error) WithOutcome(o Outcome) *Error {
	c := *fe
	c.Outcome = o
	return &c
}

// Status returns the HTTP status code of the failure.
func (fe *Error) Status() int {
	if s, ok := statusByCode[fe.Code]; ok {
		return s
	}
	return http.StatusInternalServerError
}

// Error returns the code, the outcome, the message and the cause.
func (fe *Error) Error() string {
	s := string(fe.Code) + " (" + string(fe.Outcome) + "): " + fe.Message
	if fe.Cause != nil {
		s += ": " + fe.Cause.Error()
	}
	return s
}

// Unwrap returns the cause.
func (fe *Error) Unwrap() error { return fe.Cause }
