package fault

import (
	"context"
	"slices"
	"sync"
)

// Gate admits requests to a bounded number of slots and a bounded memory, the most urgent first.
type AdmissionQueue struct {
	// slots and queue are counts of requests; memory is a count of tokens, and zero means that nothing bounds it.
	slots, maxWaiting, memoryTokens int

	mu sync.Mutex
	// running never exceeds slots, and used never exceeds memory.
	runningCount, usedTokens int
	// requests is in the order of admission.
	waiting []*waiter
	// reserves come before all requests, in the order of arrival.
	reservations []*waiter
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
	return &AdmissionQueue{slots: slots, maxWaiting: queue, memoryTokens: memory}
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
	if aq.memoryTokens > 0 && tokens > aq.memoryTokens {
		return nil
	}
	wt := &waiter{priority: priority, tokens: tokens, admitted: make(chan struct{})}
	at := len(aq.waiting)
	for at > 0 && aq.waiting[at-1].priority > priority {
		at--
	}
	aq.waiting = slices.Insert(aq.waiting, at, wt)
	aq.admitWaiting()
	if len(aq.waiting) > aq.maxWaiting && !wt.isAdmitted() {
		aq.remove(wt)
		return nil
	}
	return wt
}

// withdraw takes a waiter back and reports whether it had been admitted by then.
func (aq *AdmissionQueue) withdraw(wt *waiter) bool {
	aq.mu.Lock()
	defer aq.mu.Unlock()
	if wt.isAdmitted() {
		return true
	}
	aq.remove(wt)
	aq.admitWaiting()
	return false
}

// Leave gives a slot and memory back.
func (aq *AdmissionQueue) Release(tokens int) {
	aq.mu.Lock()
	defer aq.mu.Unlock()
	aq.runningCount--
	aq.usedTokens -= tokens
	aq.admitWaiting()
}

// Reserve sets memory aside without a slot. It returns a channel that is closed once that is done, or nil when the
// memory is not free and wait is false.
func (aq *AdmissionQueue) Reserve(tokens int, wait bool) <-chan struct{} {
	aq.mu.Lock()
	defer aq.mu.Unlock()
	wt := &waiter{tokens: tokens, admitted: make(chan struct{})}
	aq.reservations = append(aq.reservations, wt)
	aq.admitWaiting()
	if !wt.isAdmitted() && !wait {
		aq.remove(wt)
		return nil
	}
	return wt.admitted
}

// Release ends a reservation, be it granted or still waiting.
func (aq *AdmissionQueue) EndReservation(tokens int, admitted <-chan struct{}) {
	aq.mu.Lock()
	defer aq.mu.Unlock()
	at := slices.IndexFunc(aq.reservations, func(wt *waiter) bool { return wt.admitted == admitted })
	if at >= 0 {
		aq.reservations = slices.Delete(aq.reservations, at, at+1)
	} else {
		aq.usedTokens -= tokens
	}
	aq.admitWaiting()
}

// Running returns how many requests hold a slot.
func (aq *AdmissionQueue) RunningCount() int {
	aq.mu.Lock()
	defer aq.mu.Unlock()
	return aq.runningCount
}

// Waiting returns how many requests wait for a slot.
func (aq *AdmissionQueue) WaitingCount() int {
	aq.mu.Lock()
	defer aq.mu.Unlock()
	return len(aq.waiting)
}

// Used returns the memory in use and set aside, in tokens.
func (aq *AdmissionQueue) UsedTokens() int { aq.mu.Lock(); defer aq.mu.Unlock(); return aq.usedTokens }

// Free returns the memory that may be set aside, in tokens; it is zero while a reservation waits.
func (aq *AdmissionQueue) FreeTokens() int {
	aq.mu.Lock()
	defer aq.mu.Unlock()
	if len(aq.reservations) > 0 {
		return 0
	}
	return aq.memoryTokens - aq.usedTokens
}

func (aq *AdmissionQueue) remove(wt *waiter) {
	same := func(other *waiter) bool { return other == wt }
	aq.waiting = slices.DeleteFunc(aq.waiting, same)
	aq.reservations = slices.DeleteFunc(aq.reservations, same)
}

func (aq *AdmissionQueue) admitWaiting() {
	for len(aq.reservations) > 0 && aq.fits(aq.reservations[0]) {
		aq.admit(aq.reservations[0])
		aq.reservations = aq.reservations[1:]
	}
	if len(aq.reservations) > 0 {
		return
	}
	for len(aq.waiting) > 0 && aq.runningCount < aq.slots && aq.fits(aq.waiting[0]) {
		aq.runningCount++
		aq.admit(aq.waiting[0])
		aq.waiting = aq.waiting[1:]
	}
}

func (aq *AdmissionQueue) fits(wt *waiter) bool {
	return aq.memoryTokens == 0 || aq.usedTokens+wt.tokens <= aq.memoryTokens
}

func (aq *AdmissionQueue) admit(wt *waiter) {
	aq.usedTokens += wt.tokens
	close(wt.admitted)
}

func (wt *waiter) isAdmitted() bool {
	select {
	case <-wt.admitted:
		return true
	default:
		return false
	}
}
