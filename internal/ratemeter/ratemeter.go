// Package ratemeter estimates the demand from short prompts, in prompt tokens per second.
package ratemeter

import (
	"math"
	"sync"
	"time"
)

// TimeConstant is the time constant of the exponential decay: without arrivals, the rate falls to 1/e of its value in this time.
const TimeConstant = 2 * time.Second

// Meter is an exponentially weighted moving average of a rate. It is safe for concurrent use.
type Meter struct {
	now func() time.Time

	mu sync.Mutex
	// rate is in tokens per second, at the time updatedAt.
	rate      float64
	updatedAt time.Time
}

// New returns a meter that starts from an assumed rate, because no rate has been measured yet when the first requests of an event
// arrive.
func New(assumed float64, now func() time.Time) *Meter {
	return &Meter{now: now, rate: assumed, updatedAt: now()}
}

// Add counts the tokens of a prompt that arrives now.
func (mt *Meter) Add(tokens int) {
	mt.mu.Lock()
	defer mt.mu.Unlock()
	mt.decay()
	mt.rate += float64(tokens) / TimeConstant.Seconds()
}

// Rate returns the present rate in tokens per second.
func (mt *Meter) Rate() float64 {
	mt.mu.Lock()
	defer mt.mu.Unlock()
	mt.decay()
	return mt.rate
}

func (mt *Meter) decay() {
	now := mt.now()
	mt.rate *= math.Exp(-now.Sub(mt.updatedAt).Seconds() / TimeConstant.Seconds())
	mt.updatedAt = now
}
