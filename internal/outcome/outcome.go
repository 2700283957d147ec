// Package outcome combines the outcomes of all attempts of one request.
package outcome

import "github.com/silvermount/silvermount/internal/failure"

// Aggregate is the combined outcome of all attempts of a request so far. The zero value is that of a request that was never sent.
// It is not safe for concurrent use.
type Aggregate struct {
	// latest is the outcome of the last attempt that may have run the request; empty if there is none.
	latest failure.Outcome
}

// Add adds the outcome of an attempt.
func (ag *Aggregate) Add(o failure.Outcome) {
	if o != failure.NotRun {
		ag.latest = o
	}
}

// MayHaveRun reports whether an attempt may have run the request.
func (ag *Aggregate) MayHaveRun() bool { return ag.latest != "" }

// Outcome returns the outcome of the whole request.
func (ag *Aggregate) Outcome() failure.Outcome {
	if ag.MayHaveRun() {
		return ag.latest
	}
	return failure.NotRun
}

// Apply returns a failure with the outcome of the whole request. A failure that happened before anything was sent does not show
// that earlier attempts were not run.
func (ag *Aggregate) Apply(fe *failure.Error) *failure.Error {
	if fe.Outcome != failure.NotRun || !ag.MayHaveRun() {
		return fe
	}
	return fe.WithOutcome(ag.latest)
}
