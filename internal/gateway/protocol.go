package gateway

import (
	"net/http"
	"time"

	"github.com/silvermount/silvermount/internal/answer"
)

// Facts are what a caller's request says of itself.
type RequestInfo struct {
	// RequestID is unique to one try of a caller.
	RequestID string
	// Key is the secret that names the organisation; empty when none was sent.
	Key string
	// Wait is how long the caller waits; zero when it does not say.
	Timeout time.Duration
	// PromptTokens is zero for requests to plain services.
	PromptTokens int
	// MostAnswerTokens bounds the answer; zero when unknown.
	MaxAnswerTokens int
	// AnswerHint is the caller's guess of the answer's tokens; zero when it has none.
	AnswerTokensHint int
	// ResumeAfter is the last event that the caller already has; negative when it starts anew.
	LastEventID int64
}

// Attempt is what a target is told beyond the caller's own request.
type Attempt struct {
	// Target is what the target that is meant calls itself; any other must not run the request.
	TargetName string
	// Organisation is empty on routes without keys.
	Organisation string
	// Left is how long the target may work.
	Timeout time.Duration
	// Priority is the rank at the target, zero first; negative leaves it out.
	Priority int
	// Helpers are the targets that read a share of the prompt.
	Helpers []Helper
	// ResumeAfter is the last event that was passed on; negative when the answer starts anew.
	LastEventID int64
}

// Helper is another target that reads a part of a prompt.
type Helper struct {
	// Address is an IP address and port.
	Address string
	// Reservation names memory set aside there; empty when none is.
	Reservation string
}

// Protocol translates between the callers' and targets' protocol and this package. All fields are set.
type Protocol struct {
	// Read returns the facts of a caller's request.
	ReadRequest func(*http.Request) (RequestInfo, error)
	// Write completes the headers of a request to a target; h starts as a copy of the caller's.
	WriteAttempt func(h http.Header, at Attempt)
	// Head reads what the head of an answer says.
	ReadHead func(*http.Response) answer.Head
}
