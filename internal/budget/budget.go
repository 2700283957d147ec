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
}

// NewMemory returns a budget of limit bytes.
func NewMemory(limit int64) *Memory { return &Memory{limit: limit} }

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
	mm.used -= n
	mm.mu.Unlock()
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
	// sharers is the number of instances that the floor was divided by; zero if it was not divided.
	sharers int
	// borrow withdraws a retry from a budget that several instances share; nil if there is none.
	borrow func() bool
}

// Source is the budget that a retry was withdrawn from.
type Source string

// The sources. The zero value means that no retry was withdrawn.
const (
	SourceOwn    Source = "own"
	SourceShared Source = "shared"
)

// Withdrawal is the result of a request for one retry, with the inputs of the decision.
type Withdrawal struct {
	// Source is empty if the retry was denied.
	Source Source
	// Balance is what was left in the budget of the instance after the decision, of at most Burst.
	Balance, Burst float64
	// Sharers is the number of instances that the floor was divided by; zero if it was not divided.
	Sharers int
}

// Granted reports whether the retry was withdrawn.
func (wd Withdrawal) Granted() bool { return wd.Source != "" }

// SetSharers sets the number of instances that the floor was divided by.
func (rt *Retries) SetSharers(n int) {
	rt.mu.Lock()
	defer rt.mu.Unlock()
	rt.sharers = n
}

// SetShared sets the function that withdraws a retry from a budget shared by several instances. It is called when the balance is
// below one, without the lock held, and may block. Nil disables it.
func (rt *Retries) SetShared(borrow func() bool) {
	rt.mu.Lock()
	defer rt.mu.Unlock()
	rt.borrow = borrow
}

// SetFloor changes the retries that are allowed without traffic: burst is the maximum balance, minRate the number per second.
func (rt *Retries) SetFloor(burst, minRate float64) {
	rt.mu.Lock()
	defer rt.mu.Unlock()
	rt.burst, rt.minRate = burst, minRate
	rt.balance = min(rt.balance, burst)
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

// TryWithdraw withdraws one retry from the balance, or else from the shared budget. It returns false when neither has one.
func (rt *Retries) TryWithdraw() bool { return rt.Withdraw().Granted() }

// Withdraw is TryWithdraw with the inputs of the decision.
func (rt *Retries) Withdraw() Withdrawal {
	wd, borrow := rt.withdraw()
	if !wd.Granted() && borrow != nil && borrow() {
		wd.Source = SourceShared
	}
	return wd
}

// withdraw withdraws one retry from the balance. If the balance is below one, it returns the function for the shared budget.
func (rt *Retries) withdraw() (wd Withdrawal, borrow func() bool) {
	rt.mu.Lock()
	defer rt.mu.Unlock()
	now := rt.now()
	rt.credit(now.Sub(rt.refilledAt).Seconds() * rt.minRate)
	rt.refilledAt = now
	wd = Withdrawal{Balance: rt.balance, Burst: rt.burst, Sharers: rt.sharers}
	if rt.balance < 1 {
		return wd, rt.borrow
	}
	rt.balance--
	wd.Balance, wd.Source = rt.balance, SourceOwn
	return wd, nil
}

// Available reports whether the balance allows a retry, or a shared budget may, without withdrawing it.
func (rt *Retries) Available() bool {
	rt.mu.Lock()
	defer rt.mu.Unlock()
	return rt.balance >= 1 || rt.borrow != nil
}

// credit adds n retries to the balance, up to burst. The caller holds the lock.
func (rt *Retries) credit(n float64) { rt.balance = min(rt.burst, rt.balance+n) }
