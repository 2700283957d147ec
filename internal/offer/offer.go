// Package offer defines the offer of a target for one short prompt that the target's owner makes to another instance.
package offer

import "time"

// Offer is an offer that an instance received. The owner counts the prompt as load on the target until the offer is released, or
// until the prompt should have been computed.
type Offer struct {
	// Target is the name of the engine.
	Target string
	// PredictedWait is the predicted time until the engine starts to compute the prompt.
	PredictedWait time.Duration
	// Release tells the owner that the offer is no longer needed.
	Release func()
}
