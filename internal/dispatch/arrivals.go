package dispatch

import (
	"time"

	"github.com/silvermount/silvermount/internal/placement"
)

// arrivalWeight is the weight of one request in the moving average of arrivals. About the last 20 requests count, which an
// instance receives within one to a few seconds, so the average follows a change of the traffic mix within that time.
const arrivalWeight = 0.05

// arrivalStats is a moving average of the worth that arriving requests have at risk, by class. The load in flight is no
// substitute: in overload its answers are late and have nothing left at risk, so long prompts were placed as if no requests
// arrived, which made each following answer late as well.
type arrivalStats struct {
	atRisk placement.RiskByLimit
	// hasSample is false before the first request.
	hasSample bool
	// shortAtRisk is the average worth that a short answer has at risk, and shortMaxPause the longest pause that the latest
	// short request allows. Both are zero before the first short request.
	shortAtRisk   placement.Worth
	shortMaxPause time.Duration
	// answerTime is the time that an engine of the latest prompt's service takes for an answer of mean length; zero before.
	answerTime time.Duration
}

// observe adds an arriving request to the average.
func (st *arrivalStats) observe(pr placement.Prompt, short bool) {
	if short {
		st.observeShort(pr)
	}
	next := pr.DecodeLoad().PauseRisk
	if !st.hasSample {
		st.atRisk, st.hasSample = next, true
		return
	}
	for cl := range st.atRisk {
		st.atRisk[cl] = updateMean(st.atRisk[cl], next[cl])
	}
}

// updateMean returns the moving average after one more sample.
func updateMean(mean, next placement.Worth) placement.Worth {
	return mean + placement.Worth(arrivalWeight*float64(next-mean))
}

// observeShort adds an arriving short prompt to the average of short prompts.
func (st *arrivalStats) observeShort(pr placement.Prompt) {
	st.shortMaxPause = pr.MaxPause
	worthAtRisk := pr.InTimeWorth - pr.LateWorth
	if st.shortAtRisk == 0 {
		st.shortAtRisk = worthAtRisk
		return
	}
	st.shortAtRisk = updateMean(st.shortAtRisk, worthAtRisk)
}

// perTargetPerSecond returns the expected load of the answers that start at one target within a second. By Little's law
// their rate is the number of requests in flight divided by the time that an answer takes.
func (st *arrivalStats) perTargetPerSecond(en *placement.Engine, cands []placement.Target) placement.Load {
	rate := float64(inFlight(cands)) / meanAnswerTime(en).Seconds() / float64(len(cands))
	var sum placement.Load
	for cl := range sum.PauseRisk {
		sum.PauseRisk[cl] = placement.Worth(rate * float64(st.atRisk[cl]))
	}
	return sum
}
