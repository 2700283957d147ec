// Package leastwait takes the target with the least predicted wait, from own knowledge and lagging load reports.
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

// Choose takes the candidate whose prompts ahead take the least time.
func Choose(in policy.Input) policy.Decision {
	best, wait := policy.LeastCost(len(in.Candidates), in.Sequence, func(i int) time.Duration {
		ca := in.Candidates[i]
		return ca.PrefillTime(max(policy.TotalTokens(ca.OwnPrefill), ca.ReportedPrefill))
	})
	return policy.Decision{Placed: true, Index: best, PredictedWait: wait}
}
