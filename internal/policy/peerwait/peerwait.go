// Package peerwait implements a routing policy that chooses the target with the shortest predicted wait. It counts the load
// of peers, and engines compute shorter prompts first.
package peerwait

import (
	"time"

	"github.com/silvermount/silvermount/internal/policy"
)

// Name is the policy's name in settings.
const Name = "peerwait"

func init() {
	policy.Register(policy.Policy{Name: Name, Rank: 3, UsesEnginePriorities: true, UsesPeerLoad: true, Choose: Choose})
}

// Choose returns the candidate with the shortest prefill time ahead of the prompt, among those with enough free memory.
func Choose(in policy.Input) policy.Decision {
	band := policy.LengthBand(in.Prompt.Tokens)
	best, wait := policy.LeastCost(len(in.Candidates), in.Sequence, func(i int) time.Duration {
		ca := in.Candidates[i]
		if !ca.Fits(in.Prompt) {
			return -1
		}
		return ca.PrefillTime(policy.TokensAhead(ca.InFlightPrefill, band))
	})
	return policy.Decision{Placed: best >= 0, Index: max(0, best), PredictedWait: wait}
}
