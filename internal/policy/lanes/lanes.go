// Package lanes implements a routing policy that restricts long prompts to a few targets and keeps short prompts away from
// targets that compute a long one.
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

// Choose places a long prompt on one of the targets for long prompts, within the limits, and a short prompt on any target,
// preferably one without a long prefill.
func Choose(in policy.Input) policy.Decision {
	if in.Prompt.Long {
		return chooseLong(in)
	}
	return chooseShort(in)
}

// chooseShort chooses the target with the shortest predicted wait. The prediction includes the delay by a long prefill, since
// an engine does not interrupt a step that it has begun.
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

// HasLongPrefill reports whether the target has a long prompt in flight and prefill left of prompts beyond the shortest band.
func HasLongPrefill(ca policy.Candidate) bool {
	return ca.InFlightLong > 0 && policy.TotalTokens(ca.InFlightPrefill) > policy.TokensAhead(ca.InFlightPrefill, 0)
}

func chooseLong(in policy.Input) policy.Decision {
	takesLong := LongPromptTargets(in)
	band := policy.LengthBand(in.Prompt.Tokens)
	best, wait := policy.LeastCost(len(in.Candidates), 0, func(i int) time.Duration {
		ca := in.Candidates[i]
		if !takesLong[i] || !ca.Fits(in.Prompt) || ca.InFlightLong >= in.Limits.MaxLongPerTarget {
			return -1
		}
		return ca.PrefillTime(policy.TokensAhead(ca.InFlightPrefill, band))
	})
	return policy.Decision{Placed: best >= 0, Index: max(0, best), PredictedWait: wait}
}

// LongPromptTargets marks the candidates that take long prompts: those whose names have the lowest hashes, up to the
// configured share. Instances with the same list of targets mark the same ones without exchanging messages.
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

// maxShortUtilisation is the share of a target's time above which short prompts wait too long for each other.
const maxShortUtilisation = 0.4

// longTargetCount returns the number of targets for long prompts, between 1 and maxCount. It leaves short prompts as many
// targets as they need, unless long prompts would then miss their deadlines.
func longTargetCount(in policy.Input, maxCount int) int {
	meanRate := 0.0
	for _, ca := range in.Candidates {
		meanRate += ca.PrefillRate
	}
	n := len(in.Candidates)
	meanRate /= float64(n)
	free := n - int(math.Ceil(in.Demand.ShortRate/(meanRate*maxShortUtilisation)))
	required := int(math.Ceil(in.Demand.RequiredLongRate / meanRate))
	return min(n, max(1, min(free, maxCount), min(required, maxCount)))
}
