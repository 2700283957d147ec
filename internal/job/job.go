// Package job defines work that nobody waits for, kept in the platform's store until it is done.
package job

import (
	"time"

	"github.com/silvermount/silvermount/internal/failure"
)

// State is where a job stands.
type State string

// The states of a job. All but Queued and Running are final.
const (
	Queued    State = "queued"
	Running   State = "running"
	Done      State = "done"
	Failed    State = "failed"
	Cancelled State = "cancelled"
	// Unknown is the state of a job that may not be repeated and whose run was lost.
	Unknown State = "unknown"
)

// Final reports whether nothing more happens to a job in the state.
func (st State) Final() bool { return st != Queued && st != Running }

// Record is the stored object of a job. It is immutable; the With methods return copies.
type Record struct {
	// ID is unique.
	ID string `json:"id"`
	// Organisation and Class say whose work it is.
	Organisation string `json:"organisation"`
	Class        string `json:"class"`
	// Path is that of the callers' protocol, such as /v1/completions.
	Path string `json:"path"`
	// Never is set when the job may not be run twice.
	AtMostOnce bool `json:"never,omitempty"`
	// Parts is the number of stored parts of the body.
	Parts int `json:"parts"`
	// Created and Deadline are by the clock of the instance that accepted the job.
	Created  time.Time `json:"created"`
	Deadline time.Time `json:"deadline"`
	State    State     `json:"state"`
	// Owner is the incarnation that runs the job; empty unless Running.
	Owner string `json:"owner,omitempty"`
	// Dispatched is set before a job that may not be repeated is sent to a target.
	Dispatched bool `json:"dispatched,omitempty"`
	// Lost counts the runs whose target was lost, and NotBefore is when the next may begin, by the clock of the last owner.
	LostRuns  int       `json:"lost,omitempty"`
	NotBefore time.Time `json:"not_before,omitzero"`
	// Result is set once the state is final.
	Result *Result `json:"result,omitempty"`
}

// Result is the end of a job.
type Result struct {
	// Ended is by the clock of the last owner.
	Ended time.Time `json:"ended"`
	// Status, ContentType and Parts are those of the answer of a job that is done.
	Status      int    `json:"status,omitempty"`
	ContentType string `json:"content_type,omitempty"`
	Parts       int    `json:"parts,omitempty"`
	// Code, Outcome and Message are set for one that is not.
	Code    failure.Code    `json:"code,omitempty"`
	Outcome failure.Outcome `json:"outcome,omitempty"`
	Message string          `json:"message,omitempty"`
}

// WithOwner returns the record as run by an incarnation.
func (rc Record) WithOwner(incarnation string) Record {
	rc.State, rc.Owner = Running, incarnation
	return rc
}

// WithQueued returns the record as given back by its owner.
func (rc Record) WithRequeued() Record {
	rc.State, rc.Owner, rc.Dispatched = Queued, "", false
	return rc
}

const (
	// lostPause is the pause after the second run in a row whose target was lost: it doubles with each further one up to lostMost. A
	// job that ends the targets that run it then ends some 150 in a day; without a pause it was run again within lookEvery of its owner.
	minLostDelay = time.Second
	maxLostDelay = 10 * time.Minute
	// maxDoublings keeps the doubling within the numbers of a duration.
	maxDoublings = 10
)

// WithLost returns the record as given back because the target of its run was lost. The first loss is tried again at once: targets
// also end by themselves.
func (rc Record) WithTargetLost(now time.Time) Record {
	rc = rc.WithRequeued()
	if rc.LostRuns > 0 {
		rc.NotBefore = now.Add(min(maxLostDelay, minLostDelay<<min(rc.LostRuns-1, maxDoublings)))
	}
	rc.LostRuns++
	return rc
}

// WithDispatched returns the record as about to be sent to a target.
func (rc Record) WithDispatched() Record {
	rc.Dispatched = true
	return rc
}

// WithEnd returns the record in a final state.
func (rc Record) WithResult(st State, rs Result) Record {
	rc.State, rc.Owner, rc.Result = st, "", &rs
	return rc
}

// Step is what an instance does about a job next.
type Action int

// The steps.
const (
	// Leave does nothing.
	ActionNone Action = iota
	// Take claims the job and runs it.
	ActionRun
	// GiveUp ends a job whose only run was lost.
	ActionMarkUnknown
	// Expire ends a job whose deadline is past.
	ActionExpire
	// Forget deletes a job whose result was kept for its time.
	ActionDelete
)

// Keep is how long a job's result is kept.
const ResultRetention = 24 * time.Hour

// Next decides about a job that this instance is responsible for. ownerGone tells whether an incarnation has ended.
// The decision is pure; what it leads to rests on a conditional write, so that two instances that both think
// themselves responsible cost a refused write and no second run.
func NextAction(rc Record, now time.Time, ownerGone func(incarnation string) bool) Action {
	switch {
	case rc.State.Final():
		if rc.Result != nil && now.Sub(rc.Result.Ended) > ResultRetention {
			return ActionDelete
		}
		return ActionNone
	case rc.State == Queued && now.After(rc.Deadline):
		return ActionExpire
	case rc.State == Queued && now.Before(rc.NotBefore):
		return ActionNone
	case rc.State == Queued:
		return ActionRun
	case !ownerGone(rc.Owner):
		return ActionNone
	case rc.AtMostOnce && rc.Dispatched:
		return ActionMarkUnknown
	case now.After(rc.Deadline):
		return ActionExpire
	default:
		return ActionRun
	}
}
