package dispatch

import (
	"time"

	"github.com/silvermount/silvermount/internal/failure"
	"github.com/silvermount/silvermount/internal/placement"
)

// ComeBackElsewhere is when a caller of an instance that ends should come back, over a new connection to another one: about a
// round trip.
const RetryElsewhereAfter = 50 * time.Millisecond

// SetEnd sets when this instance ends. From now on an answer must be whole by then; a request that waits for room looks
// again at once.
func (ds *Dispatcher) SetShutdownTime(at time.Time) {
	ds.shutdownAt.Store(&at)
	ds.loads.wakeWaiters()
}

// ends returns when this instance ends, if that is before a request's deadline. It does not count for an answer that has
// begun: that one goes on for as long as it can, and its caller loses nothing by what still comes.
func (ds *Dispatcher) shutdownBeforeDeadline(rq Request) (at time.Time, earlier bool) {
	end := ds.shutdownAt.Load()
	if end == nil || rq.EventsForwarded > 0 || rq.Deadline.Before(*end) {
		return time.Time{}, false
	}
	return *end, true
}

// due is when the answer must be whole: at the request's deadline, or earlier at the end of this instance.
func (ds *Dispatcher) answerDeadline(rq Request) time.Time {
	if end, earlier := ds.shutdownBeforeDeadline(rq); earlier {
		return end
	}
	return rq.Deadline
}

// outlives reports whether the answer to a prompt is expected to end after this instance even at idle targets. It is refused
// at once, while its caller still has the time to be answered by another instance. One that may end in time is
// not: callers come back once or twice, often to the next instance that ends.
func (ds *Dispatcher) infeasibleBeforeShutdown(rq Request, pr placement.Prompt, cands []placement.Target, op placement.Options) bool {
	_, earlier := ds.shutdownBeforeDeadline(rq)
	return earlier && infeasibleWhenIdle(rq, pr, cands, op)
}

// endRefusal tells a caller that this instance ends before it could answer.
func stoppingError() error {
	return failure.New(failure.Stopping, failure.NotRun, "the instance ends before the answer would; another takes the request").
		WithRetryAfter(RetryElsewhereAfter)
}
