// Package lanes keeps long prompts on few targets and short prompts away from them.
package lanes

import (
	"cmp"
	"math"
	"slices"
	"time"

	"github.com/cespare/xxhash/v2"

	"github.com/silvermount/silvermount/internal/policy"
)

// Name is the policy's name in settings.
const Name = "lanes"

func init() {
	policy.Register(policy.Policy{Name: Name, Rank: 4, UsesEnginePriorities: true, UsesPeerLoad: true, Choose: Choose})
}

// Choose packs long prompts on targets that already hold one, up to the limits, and spreads short ones over the rest.
func Choose(in policy.Input) policy.Decision {
	if in.Prompt.Long {
		return chooseLong(in)
	}
	return chooseShort(in)
}

// chooseShort counts the extra time beside a long prompt, since an engine does not break off a step.
func chooseShort(in policy.Input) policy.Decision {
	band := policy.LengthBand(in.Prompt.Tokens)
	best, wait := policy.LeastCost(len(in.Candidates), in.Sequence, func(i int) time.Duration {
		ca := in.Candidates[i]
		if !ca.Fits(in.Prompt) {
			return -1
		}
		cost := ca.PrefillTime(policy.TokensAhead(ca.InFlightPrefill, band))
		if HasLongPrefill(ca) {
			cost += ca.InterferenceDelay
		}
		return cost
	})
	return policy.Decision{Placed: best >= 0, Index: max(0, best), PredictedWait: wait}
}

// Blocked reports whether a long prompt is being computed on the target.
func HasLongPrefill(ca policy.Candidate) bool {
	return ca.InFlightLong > 0 && policy.TotalTokens(ca.InFlightPrefill) > policy.TokensAhead(ca.InFlightPrefill, 0)
}

func chooseLong(in policy.Input) policy.Decision {
	lanes := LongPromptTargets(in)
	band := policy.LengthBand(in.Prompt.Tokens)
	best, wait := policy.LeastCost(len(in.Candidates), 0, func(i int) time.Duration {
		ca := in.Candidates[i]
		if !lanes[i] || !ca.Fits(in.Prompt) || ca.InFlightLong >= in.Limits.MaxLongPerTarget {
			return -1
		}
		return ca.PrefillTime(policy.TokensAhead(ca.InFlightPrefill, band))
	})
	return policy.Decision{Placed: best >= 0, Index: max(0, best), PredictedWait: wait}
}

// LaneTargets marks the candidates that take long prompts: those with the lowest hash of their name, up to the share.
// Every instance with the same list of targets marks the same ones, so that no message is needed.
func LongPromptTargets(in policy.Input) []bool {
	n := len(in.Candidates)
	count := min(n, max(1, int(math.Round(in.Limits.MaxLongTargetShare*float64(n)))))
	if in.HasDemand {
		count = longTargetCount(in, count)
	}
	order := make([]int, n)
	for i := range order {
		order[i] = i
	}
	slices.SortFunc(order, func(a, b int) int {
		return cmp.Compare(xxhash.Sum64String(in.Candidates[a].Name), xxhash.Sum64String(in.Candidates[b].Name))
	})
	marks := make([]bool, n)
	for _, i := range order[:count] {
		marks[i] = true
	}
	return marks
}

// shortUse is the share of a target's time that short prompts may take before they wait for each other too long.
const maxShortUtilisation = 0.4

// demanded returns the number of targets for long prompts: at most most, and none that short prompts need, unless long
// prompts would be late.
func longTargetCount(in policy.Input, most int) int {
	rate := 0.0
	for _, ca := range in.Candidates {
		rate += ca.PrefillRate
	}
	n := len(in.Candidates)
	rate /= float64(n)
	free := n - int(math.Ceil(in.Demand.ShortRate/(rate*maxShortUtilisation)))
	late := int(math.Ceil(in.Demand.RequiredLongRate / rate))
	return min(n, max(1, min(free, most), min(late, most)))
}
