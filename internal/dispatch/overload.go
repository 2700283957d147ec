package dispatch

import (
	"time"

	"github.com/silvermount/silvermount/internal/failure"
	"github.com/silvermount/silvermount/internal/placement"
)

const (
	// overloadThreshold is the share of all slots above which a service counts as overloaded. It is below 1 because loads are
	// some milliseconds old and slots are never all in use at once.
	overloadThreshold = 0.9
	// maxCrowdedFirstToken is the latest predicted first token that is accepted in overload, as a share of the objective.
	// Peers may place prompts at the same moment that are not known yet, and one more prompt in a queue costs half the
	// objective. With a share of 1, half of the first tokens that were predicted in time were late.
	maxCrowdedFirstToken = 0.85
	// minRetryShare and maxRetryShare bound when a refused short prompt may be retried, as shares of the time of a mean
	// answer. By then that share of the slots has become free, and the range spreads the retries of prompts refused at the
	// same moment.
	minRetryShare = 0.4
	maxRetryShare = 0.9
)

// shouldShed reports whether a short prompt is refused at once, because all slots are in use and its first token is unlikely
// to be in time. If it were admitted, the next one would be late as well, and eventually all of them, because an answer
// occupies a slot for as long whether or not it is in time.
func shouldShed(rq Request, pr placement.Prompt, pl placement.Plan, cands []placement.Target) bool {
	if rq.Resumed {
		return false
	}
	inTime := float64(pr.Elapsed+pl.TimeToFirstToken) <= maxCrowdedFirstToken*float64(pr.Objective)
	return !inTime && slotsExhausted(rq.Service.Engine, cands)
}

// slotsExhausted reports whether nearly all slots of the targets that are not blocked are in use.
func slotsExhausted(en *placement.Engine, cands []placement.Target) bool {
	taken, slots := 0, 0
	for i := range cands {
		if cands[i].Blocked {
			continue
		}
		taken += cands[i].Load.Prefilling + cands[i].Load.Decoding
		slots += en.Slots
	}
	return float64(taken) > overloadThreshold*float64(slots)
}

// inFlight returns the number of requests that are prefilling or decoding at the given targets.
func inFlight(cands []placement.Target) int {
	sum := 0
	for i := range cands {
		sum += cands[i].Load.Prefilling + cands[i].Load.Decoding
	}
	return sum
}

// longRetryShare is when a refused long prompt may be retried, as a share of the time left until its deadline. The load that
// keeps it out changes within seconds, and callers do not heed longer retry delays.
const longRetryShare = 0.33

// overloadError returns the refusal of a prompt that was not placed, with the time after which to retry.
func (ds *Dispatcher) overloadError(rq Request, pr placement.Prompt) *failure.Error {
	if rq.isLong() {
		after := time.Duration(longRetryShare * float64(max(pr.UntilDeadline, 0)))
		return failure.New(failure.Overloaded, failure.NotRun, "the prompt cannot be answered in its caller's time").WithRetryAfter(after)
	}
	share := minRetryShare + (maxRetryShare-minRetryShare)*hashFraction(rq.ID, ds.opts.Instance, "come back")
	after := time.Duration(share * float64(meanAnswerTime(rq.Service.Engine)))
	return failure.New(failure.Overloaded, failure.NotRun, "all slots are taken").WithRetryAfter(after)
}
