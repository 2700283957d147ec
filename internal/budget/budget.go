// Package budget bounds what requests share: memory for bodies and attempts beyond the first.
package budget

import (
	"sync"
	"time"
)

// Memory is a bounded number of bytes shared by all requests of an instance.
type Memory struct {
	mu sync.Mutex
	// used never exceeds limit.
	used, limit int64
}

// NewMemory returns a budget of limit bytes.
func NewMemory(limit int64) *Memory { return &Memory{limit: limit} }

// Take takes n bytes and reports whether they were there.
func (mm *Memory) Take(n int64) bool {
	mm.mu.Lock()
	defer mm.mu.Unlock()
	if mm.used+n > mm.limit {
		return false
	}
	mm.used += n
	return true
}

// Give returns n bytes.
func (mm *Memory) Give(n int64) {
	mm.mu.Lock()
	mm.used -= n
	mm.mu.Unlock()
}

// Used returns the bytes taken.
func (mm *Memory) Used() int64 {
	mm.mu.Lock()
	defer mm.mu.Unlock()
	return mm.used
}

const (
	// retryBurst is how many retries are saved up at the most.
	retryBurst = 20
	// retryTrickle is how many retries a second are allowed without traffic.
	retryTrickle = 0.2
)

// Retries bounds attempts beyond the first to a share of first attempts, so that a failure cannot become a storm.
type Retries struct {
	mu    sync.Mutex
	share float64
	now   func() time.Time
	// saved is between zero and retryBurst.
	saved float64
	last  time.Time
}

// NewRetries returns a budget of share retries for each first attempt.
func NewRetries(share float64, now func() time.Time) *Retries {
	return &Retries{share: share, now: now, saved: retryBurst, last: now()}
}

// First notes a first attempt.
func (rt *Retries) First() {
	rt.mu.Lock()
	defer rt.mu.Unlock()
	rt.add(rt.share)
}

// Take takes one retry and reports whether it was there.
func (rt *Retries) Take() bool {
	rt.mu.Lock()
	defer rt.mu.Unlock()
	now := rt.now()
	rt.add(now.Sub(rt.last).Seconds() * retryTrickle)
	rt.last = now
	if rt.saved < 1 {
		return false
	}
	rt.saved--
	return true
}

func (rt *Retries) add(n float64) { rt.saved = min(retryBurst, rt.saved+n) }
