// Package demand is owners with the number of targets for long prompts taken from the demand: what the short prompts
// that arrive, or that an event is expected to bring, do not need, and at least what long prompts need to be in time.
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
