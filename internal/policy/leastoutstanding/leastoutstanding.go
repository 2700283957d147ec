// Package leastoutstanding implements a routing policy that chooses the target with the fewest outstanding requests of this
// instance.
package leastoutstanding

import (
	"time"

	"github.com/silvermount/silvermount/internal/policy"
)

// Name is the policy's name in settings.
const Name = "leastoutstanding"

func init() {
	policy.Register(policy.Policy{Name: Name, Rank: 1, Choose: Choose})
}

// Choose returns the candidate with the fewest requests of this instance in flight. It predicts no wait.
func Choose(in policy.Input) policy.Decision {
	best, _ := policy.LeastCost(len(in.Candidates), in.Sequence, func(i int) time.Duration {
		return time.Duration(in.Candidates[i].OwnRequests)
	})
	return policy.Decision{Placed: true, Index: best}
}
