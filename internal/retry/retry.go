// Package retry decides whether a failed attempt of a request is followed by another.
package retry

import (
	"github.com/silvermount/silvermount/internal/budget"
	"github.com/silvermount/silvermount/internal/failure"
)

// ofTarget are the failures that another target may not have.
var ofTarget = map[failure.Code]bool{
	failure.TargetLost:    true,
	failure.TargetRefused: true,
	failure.TargetShed:    true,
}

// Case is what is known when an attempt has failed.
type Case struct {
	// Code is how the attempt failed.
	Code failure.Code
	// Over is set when the deadline has passed or the caller has gone.
	Over bool
	// Once is set when the request may be run once at most.
	Once bool
	// MayHaveRun is set when this or an earlier attempt may have run it.
	MayHaveRun bool
	// Attempts counts those that were made, Most bounds them.
	Attempts, Most int
	// Begun is set when the caller has a part of the answer.
	Begun bool
	// Continues reports whether a begun answer can go on at another target, and prepares it. It is called when nothing
	// else but the budget forbids a further attempt.
	Continues func() bool
	// Paid is set when the retry was taken from the budget already.
	Paid bool
}

// Again reports whether another attempt follows, and takes it from the budget.
func (cs Case) Again(rt *budget.Retries) bool {
	switch {
	case cs.Over:
		return false
	case cs.Attempts >= cs.Most:
		return false
	case !ofTarget[cs.Code]:
		return false
	case cs.Once && cs.MayHaveRun:
		return false
	case cs.Begun && !cs.Continues():
		return false
	}
	return cs.Paid || rt.Take()
}
