// Package job defines asynchronous requests, which are kept in the platform's store until they are done.
package job

import (
	"time"

	"github.com/silvermount/silvermount/internal/failure"
)

// State is the state of a job.
type State string

// States of a job. All but Queued and Running are final.
const (
	Queued    State = "queued"
	Running   State = "running"
	Done      State = "done"
	Failed    State = "failed"
	Cancelled State = "cancelled"
	// Unknown is the state of an at-most-once job whose run ended without a known result.
	Unknown State = "unknown"
)

// Final reports whether a job in this state does not change its state again.
func (st State) Final() bool { return st != Queued && st != Running }

// Record is the stored object of a job. It is immutable; the With methods return copies.
type Record struct {
	// ID is unique over all instances.
	ID string `json:"id"`
	// Organisation and Class are those of the caller that submitted the job.
	Organisation string `json:"organisation"`
	Class        string `json:"class"`
	// Path is the path of the request in the callers' protocol, such as /v1/completions.
	Path string `json:"path"`
	// AtMostOnce is set if the job must not be run twice.
	AtMostOnce bool `json:"never,omitempty"`
	// Parts is the number of stored parts of the body.
	Parts int `json:"parts"`
	// Created and Deadline are times on the clock of the instance that accepted the job.
	Created  time.Time `json:"created"`
	Deadline time.Time `json:"deadline"`
	State    State     `json:"state"`
	// Owner is the incarnation that runs the job; empty unless the state is Running.
	Owner string `json:"owner,omitempty"`
	// Dispatched is set before an at-most-once job is sent to a target.
	Dispatched bool `json:"dispatched,omitempty"`
	// LostRuns counts the runs whose target was lost. NotBefore is the earliest time of the next run on the clock of the last
	// owner.
	LostRuns  int       `json:"lost,omitempty"`
	NotBefore time.Time `json:"not_before,omitzero"`
	// Result is nil until the state is final.
	Result *Result `json:"result,omitempty"`
}

// Result is the result of a job in a final state.
type Result struct {
	// Ended is a time on the clock of the last owner.
	Ended time.Time `json:"ended"`
	// Status and ContentType are those of the answer of a job that is Done, Parts the number of stored parts of its body.
	Status      int    `json:"status,omitempty"`
	ContentType string `json:"content_type,omitempty"`
	Parts       int    `json:"parts,omitempty"`
	// Code, Outcome and Message describe the failure of a job in another final state.
	Code    failure.Code    `json:"code,omitempty"`
	Outcome failure.Outcome `json:"outcome,omitempty"`
	Message string          `json:"message,omitempty"`
}

// WithOwner returns the record with the state Running and this incarnation as the owner.
func (rc Record) WithOwner(incarnation string) Record {
	rc.State, rc.Owner = Running, incarnation
	return rc
}

// WithRequeued returns the record with the state Queued and without an owner.
func (rc Record) WithRequeued() Record {
	rc.State, rc.Owner, rc.Dispatched = Queued, "", false
	return rc
}

const (
	// minLostDelay is the delay after the second run whose target was lost. It doubles with each further one, up to maxLostDelay.
	// A job that crashes the targets that run it then crashes some 150 of them in a day. Without a delay, it was run again within
	// 1 s, the interval at which its owner checks all jobs.
	minLostDelay = time.Second
	maxLostDelay = 10 * time.Minute
	// maxDoublings prevents an overflow of the delay.
	maxDoublings = 10
)

// WithTargetLost returns the record requeued after a run whose target was lost. After the first loss there is no delay, since
// targets also end for reasons unrelated to the job.
func (rc Record) WithTargetLost(now time.Time) Record {
	rc = rc.WithRequeued()
	if rc.LostRuns > 0 {
		rc.NotBefore = now.Add(min(maxLostDelay, minLostDelay<<min(rc.LostRuns-1, maxDoublings)))
	}
	rc.LostRuns++
	return rc
}

// WithDispatched returns the record with Dispatched set. It must be stored before the job is sent to a target.
func (rc Record) WithDispatched() Record {
	rc.Dispatched = true
	return rc
}

// WithResult returns the record in the given final state with its result.
func (rc Record) WithResult(st State, rs Result) Record {
	rc.State, rc.Owner, rc.Result = st, "", &rs
	return rc
}

// Action is what the instance responsible for a job does with it next.
type Action int

// Actions on a job.
const (
	ActionNone Action = iota
	// ActionRun claims the job and runs it.
	ActionRun
	// ActionMarkUnknown ends an at-most-once job with the state Unknown, since the owner of its only run has ended.
	ActionMarkUnknown
	// ActionExpire ends a job that missed its deadline.
	ActionExpire
	// ActionDelete deletes a job whose result has been kept for ResultRetention.
	ActionDelete
)

// ResultRetention is the time for which the result of a job is kept.
const ResultRetention = 24 * time.Hour

// NextAction decides what to do with a job for which this instance is responsible. The function ownerEnded reports whether an
// incarnation has ended. The decision has no side effects. Carrying it out begins with a conditional write, so if two instances
// consider themselves responsible, one write is refused and the job is not run twice.
func NextAction(rc Record, now time.Time, ownerEnded func(incarnation string) bool) Action {
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
	case !ownerEnded(rc.Owner):
		return ActionNone
	case rc.AtMostOnce && rc.Dispatched:
		return ActionMarkUnknown
	case now.After(rc.Deadline):
		return ActionExpire
	default:
		return ActionRun
	}
}
