// Package answerworth values answers by what the configuration states: the engines of a service, and the priority of route and organisation.
// It reads no clock, does no I/O and keeps no state.
package answerworth

import (
	"math"
	"time"
)

const (
	// sizeExponent makes worth grow with the square root of engine time. The engine time of a long prompt grows with the square of its
	// length; customers value the answers less than that, and the shortest ones would otherwise never be protected from long ones.
	sizeExponent = 0.5
	// perPriorityStep is the factor by which an answer counts more than one whose priority is a step less urgent.
	perPriorityStep = 2
	// maxPrioritySteps bounds the factor between the most and the least urgent at 16. Beyond it a single urgent short prompt would count
	// more than the longest prompt that an engine holds.
	maxPrioritySteps = 4
)

// Answer is what is known of an answer before it is there.
type Answer struct {
	// EngineTime is what the request takes of one engine, MeanEngineTime what a request of mean length takes. If either is not positive,
	// the request counts as one of mean length.
	EngineTime, MeanEngineTime time.Duration
	// Priority is that of the organisation or the route; 0 is the most urgent.
	Priority int
}

// Points returns the worth of an answer in time. An answer of mean length and the most urgent priority has a worth of 1.
func (an Answer) Points() float64 {
	steps := min(maxPrioritySteps, max(0, an.Priority))
	return an.size() * math.Pow(perPriorityStep, -float64(steps))
}

func (an Answer) size() float64 {
	if an.EngineTime <= 0 || an.MeanEngineTime <= 0 {
		return 1
	}
	return math.Pow(float64(an.EngineTime)/float64(an.MeanEngineTime), sizeExponent)
}
