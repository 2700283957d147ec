package waitqueue

import "time"

const (
	// MaxSummaryAge is the age from which the summary of a peer is ignored. Reports are sent every 100 ms at most, and most requests
	// with a short objective have left the queue after this time.
	MaxSummaryAge = 500 * time.Millisecond
	// clearlyMoreUrgent is by how much less slack the head of a peer must have for this instance to yield: half of a report's usual
	// age. Smaller differences are not worth a delay.
	clearlyMoreUrgent = 50 * time.Millisecond
)

// Summary is what an instance tells its peers of the queue of one service.
type Summary struct {
	// Length is the number of waiting requests; at least 1 unless nothing is told.
	Length int
	// EngineTime is the engine time that their answers take.
	EngineTime time.Duration
	// HeadSlack is the slack of the head when the summary was made.
	HeadSlack time.Duration
}

// Summary returns that of the queue; zero if it is empty.
func (qu *Queue[T]) Summary(now time.Time) Summary {
	head := qu.Head(now)
	if head == nil {
		return Summary{}
	}
	return Summary{Length: len(qu.waiters), EngineTime: qu.engineTime, HeadSlack: head.Slack(now)}
}

// IsFresh reports whether a summary of that age may be used.
func (su Summary) IsFresh(age time.Duration) bool {
	return su.Length > 0 && age >= 0 && age <= MaxSummaryAge
}

// GoesBefore reports whether the head that the summary of a peer describes is clearly more urgent than one with the given slack. age is
// that of the summary. A head that can no longer be in time is never more urgent: it has probably left.
func (su Summary) GoesBefore(slack, age time.Duration) bool {
	if !su.IsFresh(age) {
		return false
	}
	peerSlack := su.HeadSlack - age
	return peerSlack >= 0 && peerSlack+clearlyMoreUrgent <= slack
}
