package dispatch

import (
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
	shortPoolUtilisation = 0.6
	// shortSpare is how many targets are in the short pool beyond those that the short answers in flight need, for those of the next moment.
	spareShortTargets = 1
	// shortLoss is the share of its worth that a short answer may be expected to lose in the short pool: above it, as where
	// memory or slots are taken, it is placed among all targets.
	maxShortPoolLoss = 0.5
	// longPause is the share of the pause that short answers allow up to which a pass in the short pool may be made longer by
	// parts of longer prompts: predictions are off by a fifth.
	maxLongPauseShare = 0.8
)

// pools divides targets by whether long parts stay away from them. All instances see about the same loads, and order the targets
// alike, so that they agree without asking each other; where they do not, an answer is written or read at a worse target.
type pools struct {
	short, long []placement.Target
	// pause is the longest pause that the answers in the short pool allow.
	shortMaxPause time.Duration
}

// newPools divides targets, whose order it changes, by what short answers have at stake there. The short pool is empty where it would leave fewer targets than
// a long prompt can be read by.
func newPools(en *placement.Engine, cands []placement.Target, st arrivalStats) pools {
	// Targets that take no request now write no short answers: others take their place in the short pool.
	open := moveOpenFirst(cands)
	size := shortPoolSize(en, cands[:open], st)
	if size == 0 || size > open || len(cands)-size < placement.MostParts {
		return pools{long: cands}
	}
	at := moveLowestHashesFirst(cands[:open], size)
	return pools{short: cands[:at], long: cands[at:], shortMaxPause: st.shortMaxPause}
}

// openFirst puts the targets that take requests first, and returns how many those are.
func moveOpenFirst(cands []placement.Target) int {
	at := 0
	for ix := range cands {
		if !cands[ix].Closed {
			cands[at], cands[ix] = cands[ix], cands[at]
			at++
		}
	}
	return at
}

// partition puts so many targets first, by places that depend on their names alone, and returns how many that are.
func moveLowestHashesFirst(cands []placement.Target, size int) int {
	places := make([]float64, len(cands))
	for ix := range cands {
		places[ix] = hashFraction(cands[ix].Name, "short")
	}
	sorted := slices.Clone(places)
	slices.Sort(sorted)
	last := sorted[size-1]
	at := 0
	for ix, place := range places {
		if place <= last {
			cands[at], cands[ix] = cands[ix], cands[at]
			at++
		}
	}
	return at
}

// shortPoolSize is how many targets the short answers in flight need, by what they have at stake together and one has usually.
func shortPoolSize(en *placement.Engine, cands []placement.Target, st arrivalStats) int {
	if st.shortAtRisk <= 0 {
		return 0
	}
	var sum placement.Worth
	for i := range cands {
		sum += cands[i].Load.AtRisk.Within(st.shortMaxPause)
	}
	answers := float64(sum) / float64(st.shortAtRisk)
	return spareShortTargets + int(math.Ceil(answers/(shortPoolUtilisation*float64(en.Slots))))
}

// serves reports whether a short prompt is well served by a plan in the short pool.
func (ps pools) servesShort(rq Request, pr placement.Prompt, pl placement.Plan) bool {
	spared := float64(pl.Loss) <= maxShortPoolLoss*float64(pr.InTime)
	return spared && !willBeLate(rq, pr, pl) && pl.Pause <= pr.LongestPause
}

// mayKeep reports whether any plan for a prompt could do as keeps wants: not when the smallest part takes too long by itself.
func (ps pools) canKeepPauses(en *placement.Engine, pr placement.Prompt) bool {
	smallest := pr.Part(min(placement.MostParts, len(ps.short)))
	return ps.keepsPauses(placement.Plan{Pause: en.Pause(placement.Target{Pace: 1}, smallest)})
}

// keeps reports whether a plan leaves the pauses in the short pool short enough.
func (ps pools) keepsPauses(pl placement.Plan) bool {
	return float64(pl.Pause) <= maxLongPauseShare*float64(ps.shortMaxPause)
}
