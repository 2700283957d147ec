// Package ratelimit holds what targets say of how many requests a second they take from all instances together.
package ratelimit

import (
	"math"
	"strconv"
	"strings"
)

// Limit is what one answer of a target says of its rate limit. The zero value says that there is none.
type Limit struct {
	// Named is false when the answer names no limit; PerSecond is then zero.
	Limited bool
	// PerSecond is finite, from zero to mostPerSecond.
	PerSecond float64
}

// mostPerSecond is the highest limit that is told apart: far beyond the load of any fleet, and safe to divide a second by.
const maxPerSecond = 1e6

// Of returns the limit of so many requests a second.
func PerSecond(perSecond float64) Limit {
	return Limit{Limited: true, PerSecond: max(0, min(perSecond, maxPerSecond))}
}

// String returns the number as a target writes it, "none" for none.
func (li Limit) String() string {
	if !li.Limited {
		return "none"
	}
	return strconv.FormatFloat(li.PerSecond, 'g', -1, 64)
}

// MalformedError says that a target names a limit that is no number of requests.
type MalformedError struct{ Value string }

// Error gives the value, as far as it is worth showing.
func (me *MalformedError) Error() string {
	const shown = 40
	return "malformed rate limit " + strconv.Quote(me.Value[:min(len(me.Value), shown)])
}

// Parse reads the limits that one answer names and returns the lowest; none when there are no values. It fails with a MalformedError for
// the first that is not a decimal number from zero, and still returns the lowest of the others.
func Parse(values []string) (Limit, error) {
	var lowest Limit
	var failed error
	for _, v := range values {
		n, err := strconv.ParseFloat(strings.TrimSpace(v), 64)
		if err != nil || math.IsNaN(n) || math.IsInf(n, 0) || n < 0 {
			if failed == nil {
				failed = &MalformedError{Value: v}
			}
			continue
		}
		if !lowest.Limited || n < lowest.PerSecond {
			lowest = PerSecond(n)
		}
	}
	return lowest, failed
}
