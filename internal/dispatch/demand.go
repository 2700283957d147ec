package dispatch

import (
	"time"

	"github.com/silvermount/silvermount/internal/placement"
)

// demandWeight is what one request counts in the mean of what arrives: about the last twenty count, a second or a few of
// an instance's requests, so that a swing of the mix is followed within about that time.
const demandWeight = 0.05

// demand is what a usual request has at stake when it arrives, by class. What is in flight would tell less: under
// overload its answers are late and have nothing left at stake, and long prompts were then placed as if nobody arrived,
// which kept every next answer late as well.
type demand struct {
	atRisk placement.RiskByLimit
	// known is false before the first request.
	known bool
	// shortStake is what a usual short answer has at stake, and shortPause the longest pause that the newest one allows; zero before
	// the first.
	shortStake placement.Worth
	shortPause time.Duration
}

// observe takes a request that arrives, and whether it is a short one.
func (dm *demand) observe(pr placement.Prompt, short bool) {
	if short {
		dm.observeShort(pr)
	}
	next := pr.DecodeLoad().PauseRisk
	if !dm.known {
		dm.atRisk, dm.known = next, true
		return
	}
	for cl := range dm.atRisk {
		dm.atRisk[cl] = blend(dm.atRisk[cl], next[cl])
	}
}

// blend returns a mean once one more request has come.
func blend(mean, next placement.Worth) placement.Worth {
	return mean + placement.Worth(demandWeight*float64(next-mean))
}

// observeShort takes a short prompt that arrives.
func (dm *demand) observeShort(pr placement.Prompt) {
	dm.shortPause = pr.LongestPause
	stake := pr.InTimeWorth - pr.LateWorth
	if dm.shortStake == 0 {
		dm.shortStake = stake
		return
	}
	dm.shortStake = blend(dm.shortStake, stake)
}

// perSecond returns what begins to write at one of some targets in a second: by Little's law what is in flight there,
// over the time for which an answer is written.
func (dm *demand) perSecond(en *placement.Engine, cands []placement.Target) placement.Load {
	rate := float64(inFlight(cands)) / answerTime(en).Seconds() / float64(len(cands))
	var sum placement.Load
	for cl := range sum.PauseRisk {
		sum.PauseRisk[cl] = placement.Worth(rate * float64(dm.atRisk[cl]))
	}
	return sum
}
