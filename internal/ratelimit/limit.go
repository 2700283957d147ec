// Package ratelimit tracks the rate limits that targets state in their answers. A limit is in requests per second and applies to
// all instances together.
package ratelimit

import (
	"math"
	"strconv"
	"strings"
)

// Limit is the rate limit that a target states in an answer. The zero value means that it states none.
type Limit struct {
	// Limited is false when the answer states no limit; PerSecond is then zero.
	Limited bool
	// PerSecond is finite, and between zero and maxPerSecond.
	PerSecond float64
}

// maxPerSecond is the highest limit; higher ones are clamped to it. It is far above the load of any fleet, and one second divided
// by it is still a valid interval.
const maxPerSecond = 1e6

// PerSecond returns a limit of n requests per second, clamped to the range of Limit.PerSecond.
func PerSecond(n float64) Limit {
	return Limit{Limited: true, PerSecond: max(0, min(n, maxPerSecond))}
}

// Lower returns the lower of two limits, of which none, one or both may be set.
func (li Limit) Lower(other Limit) Limit {
	if !li.Limited || other.Limited && other.PerSecond < li.PerSecond {
		return other
	}
	return li
}

// String returns the limit in the form that targets use, or "none".
func (li Limit) String() string {
	if !li.Limited {
		return "none"
	}
	return strconv.FormatFloat(li.PerSecond, 'g', -1, 64)
}

// MalformedError reports a stated limit that is not a non-negative decimal number.
type MalformedError struct{ Value string }

// Error includes the malformed value, shortened to its first bytes.
func (me *MalformedError) Error() string {
	const maxLen = 40
	return "malformed rate limit " + strconv.Quote(me.Value[:min(len(me.Value), maxLen)])
}

// Parse parses the limits that one answer states and returns the lowest, or none when there are no values. It returns a
// MalformedError for the first value that is not a non-negative decimal number, together with the lowest of the others.
func Parse(values []string) (Limit, error) {
	var lowest Limit
	var firstErr error
	for _, v := range values {
		n, err := strconv.ParseFloat(strings.TrimSpace(v), 64)
		if err != nil || math.IsNaN(n) || math.IsInf(n, 0) || n < 0 {
			if firstErr == nil {
				firstErr = &MalformedError{Value: v}
			}
			continue
		}
		if !lowest.Limited || n < lowest.PerSecond {
			lowest = PerSecond(n)
		}
	}
	return lowest, firstErr
}
