package fault

import (
	"context"
	"slices"
	"sync"
)

// Gate admits requests to a bounded number of slots and a bounded memory, the most urgent first.
type AdmissionQueue struct {
	// slots and queue are counts of requests; memory is a count of tokens, and zero means that nothing bounds it.
	slots, queue, memory int

	mu sync.Mutex
	// running never exceeds slots, and used never exceeds memory.
	running, used int
	// requests is in the order of admission.
	requests []*waiter
	// reserves come before all requests, in the order of arrival.
	reserves []*waiter
}

type waiter struct {
	// priority is lowest for the most urgent request.
	priority int
	tokens   int
	// admitted is closed once the waiter has what it waits for.
	admitted chan struct{}
}

// NewGate returns a gate.
func NewAdmissionQueue(slots, queue, memory int) *AdmissionQueue {
	return &AdmissionQueue{slots: slots, queue: queue, memory: memory}
}

// Enter waits for a slot and memory. It reports false when the queue is full, the request can never fit, or ctx ends.
func (aq *AdmissionQueue) Acquire(ctx context.Context, priority, tokens int) bool {
	wt := aq.enqueue(priority, tokens)
	if wt == nil {
		return false
	}
	select {
	case <-wt.admitted:
		return true
	case <-ctx.Done():
		return aq.withdraw(wt)
	}
}

// enqueue returns nil when the request is refused.
func (aq *AdmissionQueue) enqueue(priority, tokens int) *waiter {
	aq.mu.Lock()
	defer aq.mu.Unlock()
	if aq.memory > 0 && tokens > aq.memory {
		return nil
	}
	wt := &waiter{priority: priority, tokens: tokens, admitted: make(chan struct{})}
	at := len(aq.requests)
	for at > 0 && aq.requests[at-1].priority > priority {
		at--
	}
	aq.requests = slices.Insert(aq.requests, at, wt)
	aq.pump()
	if len(aq.requests) > aq.queue && !wt.in() {
		aq.drop(wt)
		return nil
	}
	return wt
}

// withdraw takes a waiter back and reports whether it had been admitted by then.
func (aq *AdmissionQueue) withdraw(wt *waiter) bool {
	aq.mu.Lock()
	defer aq.mu.Unlock()
	if wt.in() {
		return true
	}
	aq.drop(wt)
	aq.pump()
	return false
}

// Leave gives a slot and memory back.
func (aq *AdmissionQueue) Release(tokens int) {
	aq.mu.Lock()
	defer aq.mu.Unlock()
	aq.running--
	aq.used -= tokens
	aq.pump()
}

// Reserve sets memory aside without a slot. It returns a channel that is closed once that is done, or nil when the
// memory is not free and wait is false.
func (aq *AdmissionQueue) Reserve(tokens int, wait bool) <-chan struct{} {
	aq.mu.Lock()
	defer aq.mu.Unlock()
	wt := &waiter{tokens: tokens, admitted: make(chan struct{})}
	aq.reserves = append(aq.reserves, wt)
	aq.pump()
	if !wt.in() && !wait {
		aq.drop(wt)
		return nil
	}
	return wt.admitted
}

// Release ends a reservation, be it granted or still waiting.
func (aq *AdmissionQueue) EndReservation(tokens int, admitted <-chan struct{}) {
	aq.mu.Lock()
	defer aq.mu.Unlock()
	at := slices.IndexFunc(aq.reserves, func(wt *waiter) bool { return wt.admitted == admitted })
	if at >= 0 {
		aq.reserves = slices.Delete(aq.reserves, at, at+1)
	} else {
		aq.used -= tokens
	}
	aq.pump()
}

// Running returns how many requests hold a slot.
func (aq *AdmissionQueue) RunningCount() int { aq.mu.Lock(); defer aq.mu.Unlock(); return aq.running }

// Waiting returns how many requests wait for a slot.
func (aq *AdmissionQueue) WaitingCount() int {
	aq.mu.Lock()
	defer aq.mu.Unlock()
	return len(aq.requests)
}

// Used returns the memory in use and set aside, in tokens.
func (aq *AdmissionQueue) UsedTokens() int { aq.mu.Lock(); defer aq.mu.Unlock(); return aq.used }

// Free returns the memory that may be set aside, in tokens; it is zero while a reservation waits.
func (aq *AdmissionQueue) FreeTokens() int {
	aq.mu.Lock()
	defer aq.mu.Unlock()
	if len(aq.reserves) > 0 {
		return 0
	}
	return aq.memory - aq.used
}

func (aq *AdmissionQueue) drop(wt *waiter) {
	same := func(other *waiter) bool { return other == wt }
	aq.requests = slices.DeleteFunc(aq.requests, same)
	aq.reserves = slices.DeleteFunc(aq.reserves, same)
}

func (aq *AdmissionQueue) pump() {
	for len(aq.reserves) > 0 && aq.fits(aq.reserves[0]) {
		aq.admit(aq.reserves[0])
		aq.reserves = aq.reserves[1:]
	}
	if len(aq.reserves) > 0 {
		return
	}
	for len(aq.requests) > 0 && aq.running < aq.slots && aq.fits(aq.requests[0]) {
		aq.running++
		aq.admit(aq.requests[0])
		aq.requests = aq.requests[1:]
	}
}

func (aq *AdmissionQueue) fits(wt *waiter) bool {
	return aq.memory == 0 || aq.used+wt.tokens <= aq.memory
}

func (aq *AdmissionQueue) admit(wt *waiter) {
	aq.used += wt.tokens
	close(wt.admitted)
}

func (wt *waiter) in() bool {
	select {
	case <-wt.admitted:
		return true
	default:
		return false
	}
}
