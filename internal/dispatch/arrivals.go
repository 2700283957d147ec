package dispatch

import (
	"time"

	"github.com/silvermount/silvermount/internal/placement"
)

// demandWeight is what one request counts in the mean of what arrives: about the last twenty count, a second or a few of
// an instance's requests, so that a swing of the mix is followed within about that time.
const arrivalWeight = 0.05

// demand is what a usual request has at stake when it arrives, by class. What is in flight would tell less: under
// overload its answers are late and have nothing left at stake, and long prompts were then placed as if nobody arrived,
// which kept every next answer late as well.
type arrivalStats struct {
	atRisk placement.Classes
	// known is false before the first request.
	hasSample bool
	// shortStake is what a usual short answer has at stake, and shortPause the longest pause that the newest one allows; zero before
	// the first.
	shortAtRisk   placement.Worth
	shortMaxPause time.Duration
}

// observe takes a request that arrives, and whether it is a short one.
func (st *arrivalStats) observe(pr placement.Prompt, short bool) {
	if short {
		st.observeShort(pr)
	}
	next := pr.Writing().AtRisk
	if !st.hasSample {
		st.atRisk, st.hasSample = next, true
		return
	}
	for cl := range st.atRisk {
		st.atRisk[cl] = updateMean(st.atRisk[cl], next[cl])
	}
}

// blend returns a mean once one more request has come.
func updateMean(mean, next placement.Worth) placement.Worth {
	return mean + placement.Worth(arrivalWeight*float64(next-mean))
}

// observeShort takes a short prompt that arrives.
func (st *arrivalStats) observeShort(pr placement.Prompt) {
	st.shortMaxPause = pr.LongestPause
	stake := pr.InTime - pr.Late
	if st.shortAtRisk == 0 {
		st.shortAtRisk = stake
		return
	}
	st.shortAtRisk = updateMean(st.shortAtRisk, stake)
}

// perSecond returns what begins to write at one of some targets in a second: by Little's law what is in flight there,
// over the time for which an answer is written.
func (st *arrivalStats) perTargetPerSecond(en *placement.Engine, cands []placement.Target) placement.Load {
	rate := float64(inFlight(cands)) / usualAnswerTime(en).Seconds() / float64(len(cands))
	var sum placement.Load
	for cl := range sum.AtRisk {
		sum.AtRisk[cl] = placement.Worth(rate * float64(st.atRisk[cl]))
	}
	return sum
}
