// Package lifecycle implements the state machine of the request lifecycle. All requests share one configured machine, and each request
// keeps its own state in a Record.
package lifecycle

import (
	"context"

	"github.com/cockroachdb/errors"
	"github.com/qmuntal/stateless"
)

// State is the lifecycle state of a request.
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

// String returns the name of the state in lower case.
func (st State) String() string { return stateNames[st] }

// Trigger is an event that moves a request from one state to another.
type Trigger int

// The triggers of state transitions.
const (
	// Admit puts a request into the queue for capacity.
	Admit Trigger = iota
	// Dispatch marks that an attempt is sent to a target.
	Dispatch
	// FirstToken marks that the first part of a response is forwarded to the caller.
	FirstToken
	// Retry puts a request back into the queue for another target.
	Retry
	// Finish marks that the complete response has been forwarded.
	Finish
	// Refuse ends a request that did not run.
	Refuse
	// Fail ends a request that may have run.
	Fail
)

// Record holds the state of one request. It is not safe for concurrent use.
type Record struct {
	// State must be changed only by Machine.Fire and Machine.Abort.
	State State
	// Attempts is the number of times the request was dispatched.
	Attempts int
}

// TransitionError reports a trigger that is not allowed in the current state.
type TransitionError struct {
	State   State
	Trigger Trigger
	Cause   error
}

// Error implements the error interface.
func (te *TransitionError) Error() string { return "trigger not allowed in state " + te.State.String() }

// Unwrap returns the error of the state machine library.
func (te *TransitionError) Unwrap() error { return te.Cause }

type recordKey struct{}

// Machine is the state machine shared by all requests. It is safe for concurrent use.
type Machine struct {
	sm *stateless.StateMachine
}

// New returns a configured state machine.
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

// Abort ends a request that got no complete response. It moves the request to Refused if notRun states that nothing of it ran or
// was answered, or if the request was not admitted yet, and to Failed otherwise. It takes no context, because it must also work
// after the caller has disconnected.
func (mc *Machine) Abort(rec *Record, notRun bool) error {
	if notRun || rec.State == Received {
		return mc.Fire(context.Background(), rec, Refuse)
	}
	return mc.Fire(context.Background(), rec, Fail)
}

// Fire applies a trigger to a request.
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
