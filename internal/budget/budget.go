// Package budget bounds resources that all requests of an instance share: memory for bodies, and retries.
package budget

import (
	"sync"
	"time"
)

// Memory is a budget of bytes that all requests of an instance share.
type Memory struct {
	mu sync.Mutex
	// used never exceeds limit.
	used, limit int64
	// ending is what the accounts hold that were ended and are not closed yet.
	ending int64
	// transfers are the accounts with a transfer in progress.
	transfers map[*Account]struct{}
	// freed is closed at the next release; nil if nobody waits for it.
	freed chan struct{}
}

// NewMemory returns a budget of limit bytes.
func NewMemory(limit int64) *Memory { return &Memory{limit: limit, transfers: map[*Account]struct{}{}} }

// TryAcquire acquires n bytes, or returns false when fewer are free.
func (mm *Memory) TryAcquire(n int64) bool {
	mm.mu.Lock()
	defer mm.mu.Unlock()
	if mm.used+n > mm.limit {
		return false
	}
	mm.used += n
	return true
}

// Release returns n acquired bytes to the budget.
func (mm *Memory) Release(n int64) {
	mm.mu.Lock()
	defer mm.mu.Unlock()
	mm.release(n)
}

// release is Release. The lock is held.
func (mm *Memory) release(n int64) {
	mm.used -= n
	if mm.freed != nil && n > 0 {
		close(mm.freed)
		mm.freed = nil
	}
}

// Used returns the number of acquired bytes.
func (mm *Memory) Used() int64 {
	mm.mu.Lock()
	defer mm.mu.Unlock()
	return mm.used
}

const (
	// defaultBurst is the default maximum balance, in retries.
	defaultBurst = 20
	// defaultMinRate is the default number of retries per second that are allowed without traffic.
	defaultMinRate = 0.2
)

// Retries is a retry budget: it limits retries to a ratio of first attempts, so that a failure cannot cause a retry storm.
type Retries struct {
	mu sync.Mutex
	// ratio is the number of retries that each first attempt adds to the balance.
	ratio float64
	now   func() time.Time
	// burst is the maximum balance; minRate is what the balance gains per second without traffic.
	burst, minRate float64
	// balance is between zero and burst.
	balance    float64
	refilledAt time.Time
}

// RetryOption configures a retry budget in NewRetries.
type RetryOption func(*Retries)

// WithBurst sets the maximum balance, in retries.
func WithBurst(n float64) RetryOption { return func(rt *Retries) { rt.burst = n } }

// WithMinRate sets how many retries per second are allowed without traffic.
func WithMinRate(perSecond float64) RetryOption { return func(rt *Retries) { rt.minRate = perSecond } }

// NewRetries returns a retry budget that allows ratio retries per first attempt. It starts with a balance of burst.
func NewRetries(ratio float64, now func() time.Time, opts ...RetryOption) *Retries {
	rt := &Retries{ratio: ratio, now: now, burst: defaultBurst, minRate: defaultMinRate, refilledAt: now()}
	for _, o := range opts {
		o(rt)
	}
	rt.balance = rt.burst
	return rt
}

// Deposit adds ratio retries to the balance; it is called for each first attempt.
func (rt *Retries) Deposit() {
	rt.mu.Lock()
	defer rt.mu.Unlock()
	rt.credit(rt.ratio)
}

// TryWithdraw withdraws one retry from the balance. It returns false if there is none.
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

// Available reports whether the balance allows a retry, without withdrawing it.
func (rt *Retries) Available() bool {
	rt.mu.Lock()
	defer rt.mu.Unlock()
	return rt.balance >= 1
}

// credit adds n retries to the balance, up to burst. The caller holds the lock.
func (rt *Retries) credit(n float64) { rt.balance = min(rt.burst, rt.balance+n) }
