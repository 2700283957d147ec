// Package responsehead defines the information in the head of a target's response: its status and headers. An adapter reads each head
// once into a Head. No other code interprets the headers.
package responsehead

import (
	"strconv"
	"time"

	"github.com/silvermount/silvermount/internal/ratelimit"
)

// Head is the information in the head of a response about the request and about the target that responds. It is immutable.
type Head struct {
	// Verdict is the meaning of the response for the request.
	Verdict Verdict
	// RequestID is the id of the request that the response belongs to; empty if the head names none.
	RequestID string
	// TargetName is the name that the responding target uses for itself; empty if the head names none.
	TargetName string
	// CauseAddress is the address of the target that caused a rejection; empty if the head names none.
	CauseAddress string
	// Leaving is set if the responding target accepts no new requests from now on.
	Leaving bool
	// RateLimit is how many requests a second the target accepts from all instances together.
	RateLimit ratelimit.Limit
	// BackOff is how long this instance must send no further requests to the target, counted from the response; zero if the target asks
	// for no back-off. It is never negative.
	BackOff time.Duration
	// Malformed lists the header values that cannot be parsed. The fields are set as if these values were absent.
	Malformed []MalformedError
}

// IsMalformed reports whether a value of a field cannot be parsed.
func (hd Head) IsMalformed(fd Field) bool {
	for _, me := range hd.Malformed {
		if me.Field == fd {
			return true
		}
	}
	return false
}

// Field names a property that a target states about itself.
type Field string

// The fields whose values may be malformed.
const (
	FieldLeaving   Field = "leaving"
	FieldRateLimit Field = "rate limit"
	FieldBackOff   Field = "back-off"
)

// MalformedError means that the head of a response contains a value that cannot be parsed.
type MalformedError struct {
	Field Field
	Value string
}

// Error names the field and the beginning of the value.
func (me *MalformedError) Error() string {
	const maxShown = 40
	return "malformed " + string(me.Field) + " " + strconv.Quote(me.Value[:min(len(me.Value), maxShown)])
}

// Verdict is the meaning of a response for the request.
type Verdict int

// The verdicts.
const (
	// Answered means that the response is to be forwarded unchanged.
	Answered Verdict = iota
	// Failed means that the target failed after it had begun to run the request. The response may be forwarded unchanged.
	Failed
	// Shed means that the target rejected the request: it has not run it and will not.
	Shed
	// Misdirected means that the address now belongs to another incarnation, which has not run the request.
	Misdirected
	// Unverified means that the response cannot be forwarded, because nothing in it shows that it is complete and comes from the
	// target itself.
	Unverified
)
