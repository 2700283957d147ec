// Package leastwait implements a routing policy that chooses the target with the shortest predicted wait, based on the
// requests of this instance and on the engines' load reports, which are stale.
package leastwait

import (
	"time"

	"github.com/silvermount/silvermount/internal/policy"
)

// Name is the policy's name in settings.
const Name = "leastwait"

func init() {
	policy.Register(policy.Policy{Name: Name, Rank: 2, Choose: Choose})
}

// Choose returns the candidate with the shortest prefill time ahead of the prompt. It takes the larger of the own and the
// reported prefill, since reports are stale.
func Choose(in policy.Input) policy.Decision {
	best, wait := policy.LeastCost(len(in.Candidates), in.Sequence, func(i int) time.Duration {
		ca := in.Candidates[i]
		return ca.PrefillTime(max(policy.TotalTokens(ca.OwnPrefill), ca.ReportedPrefill))
	})
	return policy.Decision{Placed: true, Index: best, PredictedWait: wait}
}
