// Package demandmeter estimates how many prompt tokens a second of short prompts arrive.
package demandmeter

import (
	"math"
	"sync"
	"time"
)

// Span is the time over which arrivals are averaged.
const TimeConstant = 2 * time.Second

// Meter is an exponentially weighted rate. It is safe for use by any goroutine.
type Meter struct {
	now func() time.Time

	mu sync.Mutex
	// rate is tokens a second as of last.
	rate      float64
	updatedAt time.Time
}

// New returns a meter that starts from an assumed rate, since the first requests of an event come before anything was
// measured.
func New(assumed float64, now func() time.Time) *Meter {
	return &Meter{now: now, rate: assumed, updatedAt: now()}
}

// Add counts the tokens of a prompt.
func (mt *Meter) Add(tokens int) {
	mt.mu.Lock()
	defer mt.mu.Unlock()
	mt.decay()
	mt.rate += float64(tokens) / TimeConstant.Seconds()
}

// Rate returns tokens a second.
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
