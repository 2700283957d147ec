// Package outcome adds up what the attempts of one request prove about whether it was run.
package outcome

import "github.com/silvermount/silvermount/internal/failure"

// Known is what all attempts of a request so far prove. The zero value is that of a request that was not sent. It is used
// by one goroutine.
type Aggregate struct {
	// latest is that of the last attempt that may have run the request; empty when none may have.
	latest failure.Outcome
}

// Add notes what an attempt proved.
func (ag *Aggregate) Add(o failure.Outcome) {
	if o != failure.NotRun {
		ag.latest = o
	}
}

// MayHaveRun reports whether an attempt may have run the request.
func (ag *Aggregate) MayHaveRun() bool { return ag.latest != "" }

// Outcome is what is known of the whole request.
func (ag *Aggregate) Outcome() failure.Outcome {
	if ag.MayHaveRun() {
		return ag.latest
	}
	return failure.NotRun
}

// Of returns a failure as that of the whole request: one that happened before anything was sent proves nothing about
// earlier attempts.
func (ag *Aggregate) Apply(fe *failure.Error) *failure.Error {
	if fe.Outcome != failure.NotRun || !ag.MayHaveRun() {
		return fe
	}
	return fe.WithOutcome(ag.latest)
}
