package gateway

import (
	"net/http"
	"time"

	"github.com/silvermount/silvermount/internal/responsehead"
)

// RequestInfo holds what the headers of a caller's request state about it.
type RequestInfo struct {
	// RequestID is unique to one attempt of a caller.
	RequestID string
	// Key is the secret that identifies the organisation; empty if none was sent.
	Key string
	// Timeout is how long the caller waits for the complete response; zero if it is not stated.
	Timeout time.Duration
	// PromptTokens is zero for requests to plain services.
	PromptTokens int
	// MaxAnswerTokens is the maximum length of the answer; zero if unknown.
	MaxAnswerTokens int
	// AnswerTokensHint is the caller's estimate of the length of the answer; zero if it gives none.
	AnswerTokensHint int
	// PromptParts identifies the parts of the prompt in order; empty if unknown. Requests share parts, except for the last, which
	// belongs to the request or its session.
	PromptParts []string
	// LastEventID is the id of the last event that the caller has received of the stream that it resumes; negative for a new
	// request.
	LastEventID int64
}

// Attempt holds what a target is sent in addition to the caller's request.
type Attempt struct {
	// TargetName is the name that the intended target uses for itself. Any other target must not run the request.
	TargetName string
	// Organisation is empty on routes that need no key.
	Organisation string
	// Timeout is the time that remains until the deadline of the request.
	Timeout time.Duration
	// Priority is the priority at the target, 0 being the most urgent. A negative priority is not sent.
	Priority int
	// Helpers are the targets that each prefill part of the prompt for the main target.
	Helpers []Helper
	// LastEventID is the id of the last event that the caller has; negative if the response starts from the beginning.
	LastEventID int64
}

// Helper is a target that prefills part of a prompt for the main target.
type Helper struct {
	// Address is an IP address and port.
	Address string
	// Reservation identifies memory reserved at the helper; empty if none is.
	Reservation string
}

// Protocol translates between the HTTP headers of callers and targets and the types of this package. All fields are required.
type Protocol struct {
	// ReadRequest reads the headers of a caller's request.
	ReadRequest func(*http.Request) (RequestInfo, error)
	// WriteAttempt sets the headers of a request to a target. h is initially a copy of the caller's headers.
	WriteAttempt func(h http.Header, at Attempt)
	// ReadHead reads the status and the headers of a target's response.
	ReadHead func(*http.Response) responsehead.Head
}
