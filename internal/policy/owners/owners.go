// Package owners implements a routing policy that extends lanegrant: it sends short prompts to targets that the instance
// owns, whose load it knows exactly. If those are busy, it asks two other owners for a target with a shorter wait.
package owners

import (
	"github.com/silvermount/silvermount/internal/policy"
	"github.com/silvermount/silvermount/internal/policy/lanes"
)

// Name is the policy's name in settings.
const Name = "owners"

func init() {
	policy.Register(policy.Policy{
		Name: Name, Rank: 6, UsesEnginePriorities: true, UsesPeerLoad: true, UsesGrants: true, UsesOwners: true, Choose: lanes.Choose,
	})
}
