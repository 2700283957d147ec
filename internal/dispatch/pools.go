package dispatch

import (
	"math"
	"slices"
	"time"

	"github.com/silvermount/silvermount/internal/placement"
)

// In a wave of long prompts, their parts reach one target after another, and each short answer that is decoded there pauses
// during the prefill of a part. With short answers spread over all targets, nearly all of them would be late, although a few
// targets could decode all of them. Targets are therefore divided into two pools.

const (
	// shortPoolUtilisation is the share of the slots in the short pool that short answers are expected to use. The rest is
	// for requests that are placed before peers know of them.
	shortPoolUtilisation = 0.6
	// minSpareShortTargets and spareShortTargetShare determine how many targets the short pool has beyond those that the known short
	// answers need, for requests that arrive next: a number, or a share of all targets if that is more. At the start of traffic
	// no answer is in flight, and the first prompts of all instances must not meet at one target.
	minSpareShortTargets  = 1
	spareShortTargetShare = 0.05
	// maxShortPoolLoss is the share of its worth that a short answer may be expected to lose in the short pool. Above it, for
	// example when memory or slots are exhausted there, the prompt is placed among all targets.
	maxShortPoolLoss = 0.5
	// maxLongPauseShare limits the pause that a part of a longer prompt may cause in the short pool, as a share of the pause
	// that short answers allow: predictions are off by up to a fifth.
	maxLongPauseShare = 0.8
)

// pools divides targets into those that decode short answers and those that prefill the parts of long prompts. All instances
// see about the same loads and order the targets alike, so that they agree without coordination. Where they disagree, a
// prompt is merely served by a less suitable target.
type pools struct {
	short, long []placement.Target
	// maxPause is the longest pause that answers in the short pool allow.
	maxPause time.Duration
}

// newPools divides the targets, which it reorders, by the worth that short answers have at risk there. The short pool is
// empty if it would leave fewer targets in the long pool than the largest number of parts of a prompt. unseen is the number of
// prompts that are placed before peers know of them.
func newPools(en *placement.Engine, cands []placement.Target, st arrivalStats, unseen float64) pools {
	// Blocked targets receive no short prompts now, so other targets take their place in the short pool.
	unblockedCount := moveUnblockedFirst(cands)
	size := shortPoolSize(en, cands[:unblockedCount], st, unseen)
	if size == 0 || size > unblockedCount || len(cands)-size < placement.MaxParts {
		return pools{long: cands}
	}
	shortCount := moveLowestHashesFirst(cands[:unblockedCount], size)
	return pools{short: cands[:shortCount], long: cands[shortCount:], maxPause: st.shortMaxPause}
}

// moveUnblockedFirst moves the targets that are not blocked to the front, and returns their number.
func moveUnblockedFirst(cands []placement.Target) int {
	count := 0
	for i := range cands {
		if !cands[i].Blocked {
			cands[count], cands[i] = cands[i], cands[count]
			count++
		}
	}
	return count
}

// moveLowestHashesFirst moves the size targets with the lowest hashes to the front, and returns how many it moved. The hash
// depends on a target's name only, so that all instances move the same ones.
func moveLowestHashesFirst(cands []placement.Target, size int) int {
	hashes := make([]float64, len(cands))
	for i := range cands {
		hashes[i] = hashFraction(cands[i].Name, "short")
	}
	sorted := slices.Clone(hashes)
	slices.Sort(sorted)
	maxHash := sorted[size-1]
	count := 0
	for i, hash := range hashes {
		if hash <= maxHash {
			cands[count], cands[i] = cands[i], cands[count]
			count++
		}
	}
	return count
}

// shortPoolSize returns how many targets the short answers in flight and the unseen ones need. It estimates the number of those in
// flight as their total worth at risk divided by the average worth at risk of one.
func shortPoolSize(en *placement.Engine, cands []placement.Target, st arrivalStats, unseen float64) int {
	if st.shortAtRisk <= 0 {
		return 0
	}
	var sum placement.Worth
	for i := range cands {
		sum += cands[i].Load.PauseRisk.SumUpTo(st.shortMaxPause)
	}
	answers := float64(sum)/float64(st.shortAtRisk) + unseen
	spare := max(minSpareShortTargets, int(spareShortTargetShare*float64(len(cands))))
	return spare + int(math.Ceil(answers/(shortPoolUtilisation*float64(en.Slots))))
}

// servesShort reports whether a plan in the short pool serves a short prompt well: with little loss, in time, and without a
// pause that is too long.
func (ps pools) servesShort(rq Request, pr placement.Prompt, pl placement.Plan) bool {
	acceptable := float64(pl.Loss) <= maxShortPoolLoss*float64(pr.InTimeWorth)
	return acceptable && !willBeLate(rq, pr, pl) && pl.PredictedPause <= pr.MaxPause
}

// canKeepPauses reports whether any plan for the prompt could satisfy keepsPauses. None can if even the smallest part takes
// too long on an otherwise idle target.
func (ps pools) canKeepPauses(en *placement.Engine, pr placement.Prompt) bool {
	smallest := pr.Part(min(placement.MaxParts, len(ps.short)))
	return ps.keepsPauses(placement.Plan{PredictedPause: en.PredictedPause(placement.Target{Slowdown: 1}, smallest)})
}

// keepsPauses reports whether a plan keeps the pauses in the short pool short enough.
func (ps pools) keepsPauses(pl placement.Plan) bool {
	return float64(pl.PredictedPause) <= maxLongPauseShare*float64(ps.maxPause)
}
