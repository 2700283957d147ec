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
func (mm *Memory) TryAcquire(n int64) bool {
	mm.mu.Lock()
	defer mm.mu.Unlock()
	if mm.used+n > mm.limit {
		return false
	}
	mm.used += n
	return true
}

// Give returns n bytes.
func (mm *Memory) Release(n int64) {
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
	// retryBurst is how many retries are saved up at the most, unless set otherwise.
	defaultBurst = 20
	// retryTrickle is how many retries a second are allowed without traffic, unless set otherwise.
	defaultMinRate = 0.2
)

// Retries bounds attempts beyond the first to a share of first attempts, so that a failure cannot become a storm.
type Retries struct {
	mu    sync.Mutex
	ratio float64
	now   func() time.Time
	// burst is the most that is saved, trickle what is saved each second without traffic.
	burst, minRate float64
	// saved is between zero and burst.
	balance    float64
	refilledAt time.Time
}

// SetFloor changes how many retries are saved up at the most, and how many are allowed each second without traffic.
func (rt *Retries) SetFloor(burst, trickle float64) {
	rt.mu.Lock()
	defer rt.mu.Unlock()
	rt.burst, rt.minRate = burst, trickle
	rt.balance = min(rt.balance, burst)
}

// RetryOption changes a Retries under construction.
type RetryOption func(*Retries)

// WithBurst sets how many retries are saved up at the most.
func WithBurst(n float64) RetryOption { return func(rt *Retries) { rt.burst = n } }

// WithTrickle sets how many retries a second are allowed without traffic.
func WithMinRate(perSecond float64) RetryOption { return func(rt *Retries) { rt.minRate = perSecond } }

// NewRetries returns a budget of share retries for each first attempt.
func NewRetries(share float64, now func() time.Time, opts ...RetryOption) *Retries {
	rt := &Retries{ratio: share, now: now, burst: defaultBurst, minRate: defaultMinRate, refilledAt: now()}
	for _, o := range opts {
		o(rt)
	}
	rt.balance = rt.burst
	return rt
}

// First notes a first attempt.
func (rt *Retries) Deposit() {
	rt.mu.Lock()
	defer rt.mu.Unlock()
	rt.credit(rt.ratio)
}

// Take takes one retry and reports whether it was there.
func (rt *Retries) TryWithdraw() bool {
	rt.mu.Lock()
	defer rt.mu.Unlock()
	now := rt.now()
	rt.credit(now.Sub(rt.refilledAt).Seconds() * rt.minRate)
	rt.refilledAt = now
	if rt.balance < 1 {
		return false
	}
	rt.balance--
	return true
}

// Left reports whether a retry is there, without taking it.
func (rt *Retries) Available() bool {
	rt.mu.Lock()
	defer rt.mu.Unlock()
	return rt.balance >= 1
}

func (rt *Retries) credit(n float64) { rt.balance = min(rt.burst, rt.balance+n) }
