// Package peerstate is what an instance of a gateway tells the others about itself.
package peerstate

import (
	"time"

	"github.com/silvermount/silvermount/internal/placement"
	"github.com/silvermount/silvermount/internal/position"
)

// State is one instance's state. It does not change.
type State struct {
	// Configuration is the version in force; zero for none.
	Configuration int64
	// ProofAge is the age of the newest proof that this version is the newest, when the state was made. Peers get it
	// rounded up to a millisecond, so that a proof never seems newer than it is, and at most maxProofAge.
	ProofAge time.Duration
	// Leaving are incarnations of targets that take no new work. Peers get them sorted and each once.
	Leaving []string
	// Targets is where in its history the store was when the list of targets last changed; zero for none.
	TargetsPosition position.Position
	// TargetsAge is the age of the newest evidence of that list; peers get it as ProofAge.
	TargetsAge time.Duration
	// Loads is what the instance has in flight, by incarnation of the target; empty loads are left out. Peers get them
	// as Load.Rounded returns them.
	Loads map[string]placement.Load
}
