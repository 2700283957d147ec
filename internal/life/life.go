// Package life is the state machine of one request. One configured machine serves all requests; each request
// keeps its own state in a Record.
package life

import (
	"context"

	"github.com/cockroachdb/errors"
	"github.com/qmuntal/stateless"
)

// State is where a request stands.
type State int

// The states of a request. Finished, Refused and Failed are final.
const (
	Received State = iota
	Waiting
	Dispatched
	Streaming
	Finished
	Refused
	Failed
)

var stateNames = [...]string{"received", "waiting", "dispatched", "streaming", "finished", "refused", "failed"}

// String returns the lower-case name.
func (st State) String() string { return stateNames[st] }

// Trigger is what happens to a request.
type Trigger int

// The triggers.
const (
	// Admit lets a request wait for room.
	Admit Trigger = iota
	// Dispatch sends an attempt to a target.
	Dispatch
	// FirstToken is the first part of an answer passed on.
	FirstToken
	// Retry takes a request back to wait for another target.
	Retry
	// Finish is a whole answer passed on.
	Finish
	// Refuse ends a request that nothing was sent of.
	Refuse
	// Fail ends a request that was sent.
	Fail
)

// Record is the state of one request. It is used by one goroutine.
type Record struct {
	// State is changed by Machine.Fire only.
	State State
	// Attempts counts dispatches.
	Attempts int
}

// TransitionError says that a trigger is not allowed in a state.
type TransitionError struct {
	State   State
	Trigger Trigger
	Cause   error
}

// Error names the state.
func (te *TransitionError) Error() string { return "no such transition from " + te.State.String() }

// Unwrap returns the library's error.
func (te *TransitionError) Unwrap() error { return te.Cause }

type recordKey struct{}

// Machine is the configured machine. It is safe for use by any goroutine.
type Machine struct {
	sm *stateless.StateMachine
}

// New returns the machine that all requests share.
func New() *Machine {
	sm := stateless.NewStateMachineWithExternalStorage(load, store, stateless.FiringImmediate)
	configure(sm)
	return &Machine{sm: sm}
}

func load(ctx context.Context) (stateless.State, error) {
	return ctx.Value(recordKey{}).(*Record).State, nil
}

func store(ctx context.Context, s stateless.State) error {
	ctx.Value(recordKey{}).(*Record).State = s.(State)
	return nil
}

func configure(sm *stateless.StateMachine) {
	sm.Configure(Received).Permit(Admit, Waiting).Permit(Refuse, Refused)
	sm.Configure(Waiting).Permit(Dispatch, Dispatched).Permit(Refuse, Refused).Permit(Fail, Failed)
	sm.Configure(Dispatched).
		Permit(FirstToken, Streaming).Permit(Retry, Waiting).Permit(Finish, Finished).
		Permit(Refuse, Refused).Permit(Fail, Failed)
	sm.Configure(Streaming).Permit(Retry, Waiting).Permit(Finish, Finished).Permit(Fail, Failed)
	sm.Configure(Finished)
	sm.Configure(Refused)
	sm.Configure(Failed)
}

// End closes the life of a request that got no whole answer. notRun says that nothing of it was run or answered. It does
// not depend on the caller, who may have gone.
func (mc *Machine) Abort(rec *Record, notRun bool) error {
	if notRun || rec.State == Received {
		return mc.Fire(context.Background(), rec, Refuse)
	}
	return mc.Fire(context.Background(), rec, Fail)
}

// Fire moves a request on.
func (mc *Machine) Fire(ctx context.Context, rec *Record, tr Trigger) error {
	from := rec.State
	if err := mc.sm.FireCtx(context.WithValue(ctx, recordKey{}, rec), tr); err != nil {
		return errors.WithStack(&TransitionError{State: from, Trigger: tr, Cause: err})
	}
	if tr == Dispatch {
		rec.Attempts++
	}
	return nil
}
