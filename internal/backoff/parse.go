package backoff

import (
	"math"
	"net/http"
	"strconv"
	"strings"
	"time"

	"github.com/cockroachdb/errors"
)

// MaxDuration is the longest back-off; longer ones are clamped to it, so that time arithmetic cannot overflow.
const MaxDuration = 24 * time.Hour

// MalformedError reports a Retry-After value that is neither a number of seconds nor a date.
type MalformedError struct{ Value string }

// Error includes the malformed value.
func (me *MalformedError) Error() string {
	return "malformed Retry-After value " + strconv.Quote(me.Value)
}

// Parse parses the values of a Retry-After header and returns the longest back-off, zero when there is none. A value is a number
// of seconds or an HTTP date. A date is taken relative to answerDate, the Date header of the answer, so that the clocks of both
// sides need not agree; when that is missing or malformed, relative to now. Parse returns a MalformedError for the first
// malformed value, together with the longest of the others.
func Parse(values []string, answerDate string, now time.Time) (time.Duration, error) {
	var longest time.Duration
	var firstErr error
	for _, v := range values {
		d, err := parse(strings.TrimSpace(v), answerDate, now)
		if err != nil && firstErr == nil {
			firstErr = err
		}
		longest = max(longest, d)
	}
	return longest, firstErr
}

func parse(value, answerDate string, now time.Time) (time.Duration, error) {
	if seconds, err := strconv.ParseFloat(value, 64); err == nil || errors.Is(err, strconv.ErrRange) {
		return fromSeconds(value, seconds)
	}
	until, err := http.ParseTime(value)
	if err != nil {
		return 0, &MalformedError{Value: value}
	}
	from, err := http.ParseTime(answerDate)
	if err != nil {
		from = now
	}
	return min(max(0, until.Sub(from)), MaxDuration), nil
}

func fromSeconds(value string, seconds float64) (time.Duration, error) {
	switch {
	case math.IsNaN(seconds) || seconds < 0:
		return 0, &MalformedError{Value: value}
	case seconds >= MaxDuration.Seconds():
		return MaxDuration, nil
	default:
		return time.Duration(seconds * float64(time.Second)), nil
	}
}
