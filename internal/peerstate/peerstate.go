// Package peerstate defines the state that each gateway instance publishes to its peers, and its wire format.
package peerstate

import (
	"time"

	"github.com/silvermount/silvermount/internal/placement"
	"github.com/silvermount/silvermount/internal/position"
)

// State is a snapshot of one instance. It is not modified after it is made.
type State struct {
	// Configuration is the version of the configuration in force; zero if there is none.
	Configuration int64
	// ProofAge is the age, when the state was made, of the latest confirmation that Configuration is the newest version.
	// It is encoded rounded up to a millisecond, so that the confirmation never seems fresher than it is, and as at most maxAge.
	ProofAge time.Duration
	// Leaving holds the incarnations of targets that accept no new work. They are encoded sorted and without duplicates.
	Leaving []string
	// TargetsPosition is the store's position at the last change of the list of targets; zero if there is none.
	TargetsPosition position.Position
	// TargetsAge is the age of the latest confirmation of that list. It is encoded like ProofAge.
	TargetsAge time.Duration
	// Loads is the in-flight load of the instance by incarnation of the target. Empty loads are not encoded; others are
	// encoded as rounded by Load.Rounded.
	Loads map[string]placement.Load
}
