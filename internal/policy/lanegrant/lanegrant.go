// Package lanegrant implements a routing policy that extends lanes: each long prompt needs a grant from the target's owner.
package lanegrant

import (
	"github.com/silvermount/silvermount/internal/policy"
	"github.com/silvermount/silvermount/internal/policy/lanes"
)

// Name is the policy's name in settings.
const Name = "lanegrant"

func init() {
	policy.Register(policy.Policy{
		Name: Name, Rank: 5, UsesEnginePriorities: true, UsesPeerLoad: true, UsesGrants: true, Choose: lanes.Choose,
	})
}
