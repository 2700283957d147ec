// Package offer is a place for one short prompt that the owner of a target holds ready for another instance.
package offer

import "time"

// Offer is made by an owner and counted by it until released or surely used up.
type Offer struct {
	// Target is the name of an engine.
	Target string
	// Wait is the predicted time until the prompt starts.
	PredictedWait time.Duration
	// Release gives the offer back.
	Release func()
}
