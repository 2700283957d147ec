package fault

import (
	"context"
	"slices"
	"sync"
)

// Gate admits requests to a bounded number of slots and a bounded memory, the most urgent first.
type Gate struct {
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
func NewGate(slots, queue, memory int) *Gate {
	return &Gate{slots: slots, queue: queue, memory: memory}
}

// Enter waits for a slot and memory. It reports false when the queue is full, the request can never fit, or ctx ends.
func (gt *Gate) Enter(ctx context.Context, priority, tokens int) bool {
	wt := gt.enqueue(priority, tokens)
	if wt == nil {
		return false
	}
	select {
	case <-wt.admitted:
		return true
	case <-ctx.Done():
		return gt.withdraw(wt)
	}
}

// enqueue returns nil when the request is refused.
func (gt *Gate) enqueue(priority, tokens int) *waiter {
	gt.mu.Lock()
	defer gt.mu.Unlock()
	if gt.memory > 0 && tokens > gt.memory {
		return nil
	}
	wt := &waiter{priority: priority, tokens: tokens, admitted: make(chan struct{})}
	at := len(gt.requests)
	for at > 0 && gt.requests[at-1].priority > priority {
		at--
	}
	gt.requests = slices.Insert(gt.requests, at, wt)
	gt.pump()
	if len(gt.requests) > gt.queue && !wt.in() {
		gt.drop(wt)
		return nil
	}
	return wt
}

// withdraw takes a waiter back and reports whether it had been admitted by then.
func (gt *Gate) withdraw(wt *waiter) bool {
	gt.mu.Lock()
	defer gt.mu.Unlock()
	if wt.in() {
		return true
	}
	gt.drop(wt)
	gt.pump()
	return false
}

// Leave gives a slot and memory back.
func (gt *Gate) Leave(tokens int) {
	gt.mu.Lock()
	defer gt.mu.Unlock()
	gt.running--
	gt.used -= tokens
	gt.pump()
}

// Reserve sets memory aside without a slot. It returns a channel that is closed once that is done, or nil when the
// memory is not free and wait is false.
func (gt *Gate) Reserve(tokens int, wait bool) <-chan struct{} {
	gt.mu.Lock()
	defer gt.mu.Unlock()
	wt := &waiter{tokens: tokens, admitted: make(chan struct{})}
	gt.reserves = append(gt.reserves, wt)
	gt.pump()
	if !wt.in() && !wait {
		gt.drop(wt)
		return nil
	}
	return wt.admitted
}

// Release ends a reservation, be it granted or still waiting.
func (gt *Gate) Release(tokens int, admitted <-chan struct{}) {
	gt.mu.Lock()
	defer gt.mu.Unlock()
	at := slices.IndexFunc(gt.reserves, func(wt *waiter) bool { return wt.admitted == admitted })
	if at >= 0 {
		gt.reserves = slices.Delete(gt.reserves, at, at+1)
	} else {
		gt.used -= tokens
	}
	gt.pump()
}

// Running returns how many requests hold a slot.
func (gt *Gate) Running() int { gt.mu.Lock(); defer gt.mu.Unlock(); return gt.running }

// Waiting returns how many requests wait for a slot.
func (gt *Gate) Waiting() int { gt.mu.Lock(); defer gt.mu.Unlock(); return len(gt.requests) }

// Used returns the memory in use and set aside, in tokens.
func (gt *Gate) Used() int { gt.mu.Lock(); defer gt.mu.Unlock(); return gt.used }

// Free returns the memory that may be set aside, in tokens; it is zero while a reservation waits.
func (gt *Gate) Free() int {
	gt.mu.Lock()
	defer gt.mu.Unlock()
	if len(gt.reserves) > 0 {
		return 0
	}
	return gt.memory - gt.used
}

func (gt *Gate) drop(wt *waiter) {
	same := func(other *waiter) bool { return other == wt }
	gt.requests = slices.DeleteFunc(gt.requests, same)
	gt.reserves = slices.DeleteFunc(gt.reserves, same)
}

func (gt *Gate) pump() {
	for len(gt.reserves) > 0 && gt.fits(gt.reserves[0]) {
		gt.admit(gt.reserves[0])
		gt.reserves = gt.reserves[1:]
	}
	if len(gt.reserves) > 0 {
		return
	}
	for len(gt.requests) > 0 && gt.running < gt.slots && gt.fits(gt.requests[0]) {
		gt.running++
		gt.admit(gt.requests[0])
		gt.requests = gt.requests[1:]
	}
}

func (gt *Gate) fits(wt *waiter) bool { return gt.memory == 0 || gt.used+wt.tokens <= gt.memory }

func (gt *Gate) admit(wt *waiter) {
	gt.used += wt.tokens
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
