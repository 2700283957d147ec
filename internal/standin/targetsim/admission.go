package targetsim

import (
	"context"
	"slices"
	"sync"
)

// AdmissionQueue admits requests, the most urgent first, to a limited number of slots and a limited memory.
type AdmissionQueue struct {
	// slots and maxWaiting limit the number of requests. A memoryTokens of zero means unlimited memory.
	slots, maxWaiting, memoryTokens int

	mu sync.Mutex
	// runningCount never exceeds slots, and usedTokens never exceeds a memoryTokens above zero.
	runningCount, usedTokens int
	// waiting holds the waiting requests in the order of admission.
	waiting []*waiter
	// reservations holds the waiting reservations in the order of arrival. They are admitted before all requests.
	reservations []*waiter
}

// waiter is a request or reservation that waits for admission.
type waiter struct {
	// priority is lower for more urgent requests.
	priority int
	tokens   int
	// admitted is closed once the waiter has its memory and, for a request, its slot.
	admitted chan struct{}
}

// NewAdmissionQueue returns an empty queue. A memoryTokens of zero means unlimited memory.
func NewAdmissionQueue(slots, maxWaiting, memoryTokens int) *AdmissionQueue {
	return &AdmissionQueue{slots: slots, maxWaiting: maxWaiting, memoryTokens: memoryTokens}
}

// Acquire waits for a slot and memory. It reports false when the queue is full, the request needs more memory than there
// is in total, or ctx ends.
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

// enqueue returns nil when the request does not fit the total memory or the queue is full.
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

// withdraw removes a waiter from the queue. It reports true when the waiter was admitted before it could be removed.
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

// Release frees the slot and the memory of a request.
func (aq *AdmissionQueue) Release(tokens int) {
	aq.mu.Lock()
	defer aq.mu.Unlock()
	aq.runningCount--
	aq.usedTokens -= tokens
	aq.admitWaiting()
}

// Reserve reserves memory without a slot. It returns a channel that is closed once the memory is granted, or nil when
// the memory is not free and wait is false.
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

// EndReservation ends a reservation, whether it is granted or still waiting.
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

// RunningCount returns how many requests hold a slot.
func (aq *AdmissionQueue) RunningCount() int {
	aq.mu.Lock()
	defer aq.mu.Unlock()
	return aq.runningCount
}

// WaitingCount returns how many requests wait for a slot.
func (aq *AdmissionQueue) WaitingCount() int {
	aq.mu.Lock()
	defer aq.mu.Unlock()
	return len(aq.waiting)
}

// UsedTokens returns the memory that requests use and reservations hold, in tokens.
func (aq *AdmissionQueue) UsedTokens() int { aq.mu.Lock(); defer aq.mu.Unlock(); return aq.usedTokens }

// FreeTokens returns the memory that can be reserved, in tokens. It is zero while a reservation waits.
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

// admitWaiting admits all waiters that fit. It admits no requests while a reservation waits.
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
