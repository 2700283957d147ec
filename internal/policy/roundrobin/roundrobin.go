// Package roundrobin implements a routing policy that chooses targets in turn, whatever their load.
package roundrobin

import "github.com/silvermount/silvermount/internal/policy"

// Name is the policy's name in settings.
const Name = "roundrobin"

func init() {
	policy.Register(policy.Policy{Name: Name, Rank: 0, Choose: Choose})
}

// Choose returns the next candidate in the order of Input.Candidates.
func Choose(in policy.Input) policy.Decision {
	return policy.Decision{Placed: true, Index: int(in.Sequence % uint64(len(in.Candidates)))}
}
