// Package failure defines the typed error that every refused or failed request ends in.
package failure

import (
	"fmt"
	"net/http"
	"time"

	"github.com/cockroachdb/errors"
)

// Outcome says what is known about whether a request was run.
type Outcome string

// The outcomes a caller can be told.
const (
	// NotRun means that nothing of the request reached a target, or that the target said it did not start it.
	NotRun Outcome = "not_run"
	// Failed means that the request was started and did not give a whole answer.
	Failed Outcome = "failed"
	// Unknown means that it cannot be told whether the request took effect.
	Unknown Outcome = "unknown"
)

// Code names the kind of a failure.
type Code string

// The kinds of failure.
const (
	BadRequest          Code = "bad_request"
	Unauthorized        Code = "unauthorized"
	Forbidden           Code = "forbidden"
	NotFound            Code = "not_found"
	TooLarge            Code = "too_large"
	Overloaded          Code = "overloaded"
	NoMemory            Code = "no_memory"
	LimitReached        Code = "limit_reached"
	DeadlineTooShort    Code = "deadline_too_short"
	DeadlineExceeded    Code = "deadline_exceeded"
	CallerGone          Code = "caller_gone"
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
	// ProofTooOld means that the configuration was not confirmed for so long that a key may have been taken away.
	ProofTooOld Code = "proof_too_old"
	// TargetUnreachable means that nothing was sent to the target.
	TargetUnreachable Code = "target_unreachable"
	// TargetShed means that the target turned the request away without running it.
	TargetShed Code = "target_shed"
	// EndsTargets means that the request ends the targets that run it, whatever is known of its earlier attempts.
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

// Error is a failure with its kind and outcome. It is immutable; the With methods return copies.
type Error struct {
	// Code is never empty.
	Code Code
	// Outcome is never empty.
	Outcome Outcome
	// Message is one sentence for a person.
	Message string
	// RetryAfter is zero when trying again cannot help.
	RetryAfter time.Duration
	// Cause is nil when the failure starts here.
	Cause error
}

// New returns a failure of the given kind and outcome.
func New(code Code, outcome Outcome, format string, args ...any) *Error {
	return &Error{Code: code, Outcome: outcome, Message: fmt.Sprintf(format, args...)}
}

// Of returns the failure in an error. An error without one is a fault inside this instance: it proves nothing.
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

// WithRetryAfter returns a copy that tells the caller when to come back.
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

// Status returns the HTTP status of the failure.
func (fe *Error) Status() int {
	if s, ok := statusByCode[fe.Code]; ok {
		return s
	}
	return http.StatusInternalServerError
}

// Error returns the kind, the outcome and the message.
func (fe *Error) Error() string {
	s := string(fe.Code) + " (" + string(fe.Outcome) + "): " + fe.Message
	if fe.Cause != nil {
		s += ": " + fe.Cause.Error()
	}
	return s
}

// Unwrap returns the cause.
func (fe *Error) Unwrap() error { return fe.Cause }
