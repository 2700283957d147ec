package dispatch

import (
	"cmp"
	"math"
	"slices"

	"github.com/silvermount/silvermount/internal/placement"
)

// The load that a shelter answers: in a wave of long prompts their parts come to target after target, and each answer to a short
// prompt that is written there pauses for as long as a part is read. Spread over all targets, short answers are late nearly
// everywhere, although a few targets could write all of them at a time.

const (
	// shelterFill is the share of the slots of sheltered targets that short answers are expected to take. The rest is for what
	// arrives before the others know of it.
	shelterFill = 0.6
	// shelterSpare is how many targets are sheltered beyond those that the short answers in flight need, for those of the next moment.
	shelterSpare = 1
	// shelterLoss is the share of its worth that a short answer may be expected to lose at a sheltered target: above it, as where
	// memory or slots are taken, it is placed among all targets.
	shelterLoss = 0.5
	// shelterPause is the share of the pause that short answers allow up to which a pass at a sheltered target may be made longer by
	// parts of longer prompts: predictions are off by a fifth.
	shelterPause = 0.8
)

// shelter divides targets by whether long parts stay away from them. All instances see about the same loads, and order the targets
// alike, so that they agree without asking each other; where they do not, an answer is written or read at a worse target.
type shelter struct {
	sheltered, open []placement.Target
	// demand is that of the short answers that are sheltered.
	demand demand
}

// newShelter divides targets by what short answers have at stake there. None are sheltered where that would leave fewer than a long
// prompt can be read by: before 18 targets the mean worth of days with trouble was 0.663 with such a shelter and 0.690 without one (five
// days, one play each).
func newShelter(en *placement.Engine, cands []placement.Target, dm demand) shelter {
	size := shelterSize(en, cands, dm)
	if len(cands)-size < placement.MostParts {
		size = 0
	}
	ordered := make([]placement.Target, 0, len(cands))
	for _, ix := range shelterOrder(cands) {
		ordered = append(ordered, cands[ix])
	}
	return shelter{sheltered: ordered[:size], open: ordered[size:], demand: dm}
}

// shelterOrder returns the indices of targets in an order that depends on their names alone.
func shelterOrder(cands []placement.Target) []int {
	places := make([]float64, len(cands))
	order := make([]int, len(cands))
	for ix := range cands {
		places[ix] = fraction(cands[ix].Name, "shelter")
		order[ix] = ix
	}
	slices.SortFunc(order, func(a, b int) int { return cmp.Compare(places[a], places[b]) })
	return order
}

// shelterSize is how many targets the short answers in flight need, by what they have at stake together and one has usually.
func shelterSize(en *placement.Engine, cands []placement.Target, dm demand) int {
	if dm.shortStake <= 0 {
		return 0
	}
	var sum placement.Worth
	for i := range cands {
		sum += cands[i].Load.AtRisk.Within(dm.shortPause)
	}
	answers := float64(sum) / float64(dm.shortStake)
	return shelterSpare + int(math.Ceil(answers/(shelterFill*float64(en.Slots))))
}

// serves reports whether a short prompt is well served by a plan at sheltered targets.
func (sh shelter) serves(as Ask, pr placement.Prompt, pl placement.Plan) bool {
	spared := float64(pl.Loss) <= shelterLoss*float64(pr.InTime)
	return spared && !late(as, pr, pl) && pl.Pause <= pr.LongestPause
}

// keeps reports whether a plan leaves the pauses at sheltered targets short enough.
func (sh shelter) keeps(pl placement.Plan) bool {
	return float64(pl.Pause) <= shelterPause*float64(sh.demand.shortPause)
}
