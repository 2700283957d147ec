// Package answer holds what the head of a target's answer says. An adapter reads each head once, into a Head; nobody else looks at the
// headers.
package answer

import (
	"strconv"
	"time"

	"github.com/silvermount/silvermount/internal/ratelimit"
)

// Head is what the head of an answer says of the request and of the target that gives it. It does not change.
type Head struct {
	// Verdict is what the answer means for its request.
	Verdict Verdict
	// Request is the id of the request that is answered; empty when the head names none.
	RequestID string
	// Target is what the target that answers calls itself; empty when it does not say.
	TargetName string
	// AtFault is the address of the target that is the cause of a refusal; empty when the head names none.
	CauseAddress string
	// Leaving is set when the target that answers takes no new work from now on.
	Leaving bool
	// Limit is how many requests a second the target takes from all instances together.
	RateLimit ratelimit.Limit
	// BackOff is how long the target wants no further request from this instance, counted from the answer; zero when it does not say.
	// It is never negative.
	BackOff time.Duration
	// Malformed holds the values that cannot be read. Each counts as absent.
	Malformed []MalformedError
}

// Unread reports whether a value of a fact cannot be read.
func (hd Head) IsMalformed(fa Field) bool {
	for _, me := range hd.Malformed {
		if me.Field == fa {
			return true
		}
	}
	return false
}

// Fact names what a target says of itself.
type Field string

// The facts that may be malformed.
const (
	FieldLeaving   Field = "leaving"
	FieldRateLimit Field = "rate limit"
	FieldBackOff   Field = "back-off"
)

// MalformedError says that a target gives a value that cannot be read.
type MalformedError struct {
	Field Field
	Value string
}

// Error gives the fact, and the value as far as it is worth showing.
func (me *MalformedError) Error() string {
	const shown = 40
	return "malformed " + string(me.Field) + " " + strconv.Quote(me.Value[:min(len(me.Value), shown)])
}

// Verdict says what an answer means for its request.
type Verdict int

// The verdicts.
const (
	// Answered is an answer to pass on unchanged.
	Answered Verdict = iota
	// Failed is a failure of the target after it began; it may be passed on unchanged.
	Failed
	// Shed means that the target has not run the request and will not.
	Shed
	// Misdirected means that another incarnation has the address; it has not run the request.
	Misdirected
	// Unproven is an answer that cannot be passed on: it lacks what shows that it is whole and the target's own.
	Unverified
)
