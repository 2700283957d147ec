package dispatch

import (
	"time"

	"github.com/silvermount/silvermount/internal/failure"
	"github.com/silvermount/silvermount/internal/placement"
)

// RetryElsewhereAfter is when the caller of a stopping instance should retry over a new connection to another instance:
// after about one round trip.
const RetryElsewhereAfter = 50 * time.Millisecond

// SetShutdownTime sets when this instance stops. From now on an answer must be complete by then. Requests that wait for room
// are woken to check this at once.
func (ds *Dispatcher) SetShutdownTime(at time.Time) {
	ds.shutdownAt.Store(&at)
	ds.loadTable.wakeWaiters()
	ds.queues.wakeAll()
}

// shutdownBeforeDeadline returns when this instance stops, if that is before the request's deadline. It ignores the shutdown
// for an answer that has begun: that one continues for as long as possible, and its caller loses nothing by what still
// arrives.
func (ds *Dispatcher) shutdownBeforeDeadline(rq Request) (at time.Time, earlier bool) {
	shutdownAt := ds.shutdownAt.Load()
	if shutdownAt == nil || rq.EventsForwarded > 0 || rq.Deadline.Before(*shutdownAt) {
		return time.Time{}, false
	}
	return *shutdownAt, true
}

// answerDeadline is when the answer must be complete: the request's deadline, or the shutdown of this instance if that is
// earlier.
func (ds *Dispatcher) answerDeadline(rq Request) time.Time {
	if shutdownAt, earlier := ds.shutdownBeforeDeadline(rq); earlier {
		return shutdownAt
	}
	return rq.Deadline
}

// infeasibleByShutdown reports whether the answer to a prompt is predicted to end after the shutdown of this instance even
// if all targets were idle. Such a request is refused at once, while its caller still has time for another instance. One
// that may finish in time is not refused: callers retry only once or twice, and often reach the next instance that is
// stopping.
func (ds *Dispatcher) infeasibleByShutdown(rq Request, pr placement.Prompt, cands []placement.Target, op placement.Options) bool {
	_, earlier := ds.shutdownBeforeDeadline(rq)
	return earlier && infeasibleWhenIdle(rq, pr, cands, op)
}

// stoppingError tells a caller that this instance stops before it could answer.
func stoppingError() error {
	return failure.New(failure.Stopping, failure.NotRun, "the instance ends before the answer would; another takes the request").
		WithRetryAfter(RetryElsewhereAfter)
}
