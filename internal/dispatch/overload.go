package dispatch

import (
	"time"

	"github.com/silvermount/silvermount/internal/failure"
	"github.com/silvermount/silvermount/internal/placement"
)

const (
	// overloadedFrom is the share of all slots from which a service counts as overloaded. Loads are some milliseconds
	// old and slots are never all taken at once.
	overloadThreshold = 0.9
	// crowdedFrom is the share of the objective up to which a first token must be predicted while slots are taken. What
	// others place at the same moment is not known yet, and one prompt more in a queue costs half the objective: with
	// the objective itself, half of the first tokens were late that were predicted in time.
	maxCrowdedFirstToken = 0.85
	// comeBackLeast and comeBackMost are the shares of the time for a usual answer after which a short prompt that was
	// refused may come back: by then that share of the slots have come free, and those refused at the same moment do not
	// come back together.
	minRetryShare = 0.4
	maxRetryShare = 0.9
)

// sheds reports whether a short prompt is refused at once: all slots are taken, and its first token would hardly be in
// time. Let in, it would make the next one late as well, and in the end all of them: every answer takes a slot for as
// long, in time or not.
func shouldShed(rq Request, pr placement.Prompt, pl placement.Plan, cands []placement.Target) bool {
	if rq.Resumed {
		return false
	}
	inTime := float64(pr.Used+pl.FirstToken) <= maxCrowdedFirstToken*float64(pr.Objective)
	return !inTime && slotsExhausted(rq.Service.Engine, cands)
}

// slotsTaken reports whether the targets that take requests have about as many as slots.
func slotsExhausted(en *placement.Engine, cands []placement.Target) bool {
	taken, slots := 0, 0
	for i := range cands {
		if cands[i].Closed {
			continue
		}
		taken += cands[i].Load.Readers + cands[i].Load.Writers
		slots += en.Slots
	}
	return float64(taken) > overloadThreshold*float64(slots)
}

// inFlight returns how many requests are read or written at some targets.
func inFlight(cands []placement.Target) int {
	sum := 0
	for i := range cands {
		sum += cands[i].Load.Readers + cands[i].Load.Writers
	}
	return sum
}

// longReturn is the share of its caller's time left after which a long prompt that was refused may come back: what keeps
// it out changes in seconds, and callers heed no longer time.
const longRetryShare = 0.33

// refusal tells the caller of a prompt that was not placed when to come back.
func (ds *Dispatcher) overloadError(rq Request, pr placement.Prompt) error {
	if rq.isLong() {
		after := time.Duration(longRetryShare * float64(max(pr.Left, 0)))
		return failure.New(failure.Overloaded, failure.NotRun, "the prompt cannot be answered in its caller's time").WithRetryAfter(after)
	}
	share := minRetryShare + (maxRetryShare-minRetryShare)*hashFraction(rq.ID, ds.opts.Instance, "come back")
	after := time.Duration(share * float64(usualAnswerTime(rq.Service.Engine)))
	return failure.New(failure.Overloaded, failure.NotRun, "all slots are taken").WithRetryAfter(after)
}
