// Package demand implements a routing policy that extends owners: the number of targets for long prompts depends on the
// demand. It is the number that short prompts, which arrive now or are expected for an event, leave free, but at least the
// number that long prompts need to meet their deadlines.
package demand

import (
	"github.com/silvermount/silvermount/internal/policy"
	"github.com/silvermount/silvermount/internal/policy/lanes"
)

// Name is the policy's name in settings.
const Name = "demand"

func init() {
	policy.Register(policy.Policy{
		Name: Name, Rank: 7, UsesEnginePriorities: true, UsesPeerLoad: true, UsesGrants: true, UsesOwners: true, UsesDemand: true, Choose: lanes.Choose,
	})
}
