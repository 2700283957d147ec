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
	ds.end.Store(&at)
	ds.book.wake()
}

// ends returns when this instance ends, if that is before a request's deadline. It does not count for an answer that has
// begun: that one goes on for as long as it can, and its caller loses nothing by what still comes.
func (ds *Dispatcher) ends(as Request) (at time.Time, earlier bool) {
	end := ds.end.Load()
	if end == nil || as.EventsForwarded > 0 || as.Deadline.Before(*end) {
		return time.Time{}, false
	}
	return *end, true
}

// due is when the answer must be whole: at the request's deadline, or earlier at the end of this instance.
func (ds *Dispatcher) due(as Request) time.Time {
	if end, earlier := ds.ends(as); earlier {
		return end
	}
	return as.Deadline
}

// outlives reports whether the answer to a prompt is expected to end after this instance even at idle targets. It is refused
// at once, while its caller still has the time to be answered by another instance. One that may end in time is
// not: callers come back once or twice, often to the next instance that ends.
func (ds *Dispatcher) outlives(as Request, pr placement.Prompt, cands []placement.Target, op placement.Options) bool {
	_, earlier := ds.ends(as)
	return earlier && hopeless(as, pr, cands, op)
}

// endRefusal tells a caller that this instance ends before it could answer.
func endRefusal() error {
	return failure.New(failure.Stopping, failure.NotRun, "the instance ends before the answer would; another takes the request").
		WithRetryAfter(RetryElsewhereAfter)
}
