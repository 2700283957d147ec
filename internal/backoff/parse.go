package backoff

import (
	"math"
	"net/http"
	"strconv"
	"strings"
	"time"

	"github.com/cockroachdb/errors"
)

// Most is the longest back-off: longer ones are taken as this one. It keeps sums of times within bounds.
const MaxDuration = 24 * time.Hour

// MalformedError says that a value is neither a number of seconds nor a date.
type MalformedError struct{ Value string }

// Error gives the value.
func (me *MalformedError) Error() string { return "malformed back-off " + strconv.Quote(me.Value) }

// Parse reads the values of a Retry-After header and returns the longest back-off; zero when there is none. A value is a number of seconds,
// or a date, which is taken relative to the date of the answer itself: the clocks of both sides need not agree. Without such a date it is
// relative to now. It fails with a MalformedError for the first value that cannot be read, and still returns the longest of the others.
func Parse(values []string, answered string, now time.Time) (time.Duration, error) {
	var longest time.Duration
	var failed error
	for _, v := range values {
		span, err := parse(strings.TrimSpace(v), answered, now)
		if err != nil && failed == nil {
			failed = err
		}
		longest = max(longest, span)
	}
	return longest, failed
}

func parse(value, answered string, now time.Time) (time.Duration, error) {
	if seconds, err := strconv.ParseFloat(value, 64); err == nil || errors.Is(err, strconv.ErrRange) {
		return fromSeconds(value, seconds)
	}
	until, err := http.ParseTime(value)
	if err != nil {
		return 0, &MalformedError{Value: value}
	}
	from, err := http.ParseTime(answered)
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
