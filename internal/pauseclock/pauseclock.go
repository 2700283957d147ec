// Package pauseclock measures for how long the process was paused: suspended, on a machine that was frozen, or without processor time.
// Timers and ages that judge other processes must not count such time.
package pauseclock

import (
	"context"
	"sync"
	"time"
)

// MinPause is by how much a timer must be late to show that the process was paused. Less occurs on a busy machine.
const MinPause = 100 * time.Millisecond

// tickInterval is the time between two observations by Run. A pause is measured up to this error.
const tickInterval = 100 * time.Millisecond

// Clock measures the pauses of the process. It is safe for concurrent use.
type Clock struct {
	now func() time.Time
	// onPause is called with the length of each pause; never nil.
	onPause func(time.Duration)

	mu sync.Mutex
	// lastObserved is when the process was last known to run.
	lastObserved time.Time
	// paused is the total length of all pauses until lastObserved.
	paused time.Duration
}

// Option configures a Clock.
type Option func(*Clock)

// WithOnPause sets a function that is called with the length of each pause after its end.
func WithOnPause(onPause func(time.Duration)) Option {
	return func(ck *Clock) { ck.onPause = onPause }
}

// New returns a clock that starts now. now returns the time of a monotonic clock.
func New(now func() time.Time, opts ...Option) *Clock {
	ck := &Clock{now: now, onPause: func(time.Duration) {}, lastObserved: now()}
	for _, opt := range opts {
		opt(ck)
	}
	return ck
}

// Run observes the process until ctx ends.
func (ck *Clock) Run(ctx context.Context) {
	tick := time.NewTicker(tickInterval)
	defer tick.Stop()
	for {
		select {
		case <-tick.C:
			ck.Paused()
		case <-ctx.Done():
			return
		}
	}
}

// Paused returns the total length of all pauses since New. A pause that has just ended is included, whether or not Run has noticed it.
func (ck *Clock) Paused() time.Duration {
	total, pause := ck.observe()
	if pause > 0 {
		ck.onPause(pause)
	}
	return total
}

// observe returns the total length of all pauses, and that of a pause since the last observation.
func (ck *Clock) observe() (total, pause time.Duration) {
	ck.mu.Lock()
	defer ck.mu.Unlock()
	now := ck.now()
	if late := now.Sub(ck.lastObserved) - tickInterval; late >= MinPause {
		pause = late
		ck.paused += pause
	}
	ck.lastObserved = now
	return ck.paused, pause
}
