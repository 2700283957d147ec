// Package owners is lanegrant with short prompts sent to targets that the instance owns and so knows exactly; when
// those are busy, two other owners are asked for a better place.
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
