package dispatch

import (
	"cmp"
	"math"
	"slices"
	"time"

	"github.com/silvermount/silvermount/internal/placement"
)

// The load that two pools of targets answer: in a wave of long prompts their parts come to target after target, and each answer to a short
// prompt that is written there pauses for as long as a part is read. Spread over all targets, short answers are late nearly
// everywhere, although a few targets could write all of them at a time.

const (
	// shortFill is the share of the slots of the short pool that short answers are expected to take. The rest is for what
	// arrives before the others know of it.
	shortFill = 0.6
	// shortSpare is how many targets are in the short pool beyond those that the short answers in flight need, for those of the next moment.
	shortSpare = 1
	// shortLoss is the share of its worth that a short answer may be expected to lose in the short pool: above it, as where
	// memory or slots are taken, it is placed among all targets.
	shortLoss = 0.5
	// longPause is the share of the pause that short answers allow up to which a pass in the short pool may be made longer by
	// parts of longer prompts: predictions are off by a fifth.
	longPause = 0.8
)

// pools divides targets by whether long parts stay away from them. All instances see about the same loads, and order the targets
// alike, so that they agree without asking each other; where they do not, an answer is written or read at a worse target.
type pools struct {
	short, long []placement.Target
	// pause is the longest pause that the answers in the short pool allow.
	pause time.Duration
}

// newPools divides targets by what short answers have at stake there. The short pool is empty where it would leave fewer targets than
// a long prompt can be read by: before 18 targets the mean worth of days with trouble was 0.663 with such a pool and 0.690 without one
// (five days, one play each).
func newPools(en *placement.Engine, cands []placement.Target, dm demand) pools {
	size := shortPoolSize(en, cands, dm)
	if size == 0 || len(cands)-size < placement.MostParts {
		return pools{long: cands}
	}
	ordered := make([]placement.Target, 0, len(cands))
	for _, ix := range poolOrder(cands) {
		ordered = append(ordered, cands[ix])
	}
	return pools{short: ordered[:size], long: ordered[size:], pause: dm.shortPause}
}

// poolOrder returns the indices of targets in an order that depends on their names alone.
func poolOrder(cands []placement.Target) []int {
	places := make([]float64, len(cands))
	order := make([]int, len(cands))
	for ix := range cands {
		places[ix] = fraction(cands[ix].Name, "short")
		order[ix] = ix
	}
	slices.SortFunc(order, func(a, b int) int { return cmp.Compare(places[a], places[b]) })
	return order
}

// shortPoolSize is how many targets the short answers in flight need, by what they have at stake together and one has usually.
func shortPoolSize(en *placement.Engine, cands []placement.Target, dm demand) int {
	if dm.shortStake <= 0 {
		return 0
	}
	var sum placement.Worth
	for i := range cands {
		sum += cands[i].Load.AtRisk.Within(dm.shortPause)
	}
	answers := float64(sum) / float64(dm.shortStake)
	return shortSpare + int(math.Ceil(answers/(shortFill*float64(en.Slots))))
}

// serves reports whether a short prompt is well served by a plan in the short pool.
func (ps pools) serves(as Ask, pr placement.Prompt, pl placement.Plan) bool {
	spared := float64(pl.Loss) <= shortLoss*float64(pr.InTime)
	return spared && !late(as, pr, pl) && pl.Pause <= pr.LongestPause
}

// keeps reports whether a plan leaves the pauses in the short pool short enough.
func (ps pools) keeps(pl placement.Plan) bool {
	return float64(pl.Pause) <= longPause*float64(ps.pause)
}
