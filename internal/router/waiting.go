package router

import (
	"slices"
	"time"

	"github.com/silvermount/silvermount/internal/failure"
	"github.com/silvermount/silvermount/internal/fleet"
	"github.com/silvermount/silvermount/internal/policy"
)

// waiter is a request in the queue. Requests of the same length band and the same model or service form a queue of their own
// within it, of which only the first waiter looks for a slot.
type waiter struct {
	request Request
	// evicted is closed when the waiter is removed in favour of a request that is not sheddable.
	evicted chan struct{}
	// wake receives a signal when a waiter of the same queue has left without a slot. It is buffered for one signal.
	wake chan struct{}
}

func newWaiter(rq Request) *waiter {
	return &waiter{request: rq, evicted: make(chan struct{}), wake: make(chan struct{}, 1)}
}

// compareWaiters orders waiters by class priority (highest first), then length band (shortest first), then deadline.
func compareWaiters(a, b *waiter) int {
	if a.request.Priority != b.request.Priority {
		return b.request.Priority - a.request.Priority
	}
	if d := policy.LengthBand(a.request.Prompt.Tokens) - policy.LengthBand(b.request.Prompt.Tokens); d != 0 {
		return d
	}
	return a.request.Deadline.Compare(b.request.Deadline)
}

// enqueue adds a waiter. If the queue is full, a waiter that is not sheddable evicts the last sheddable one; any other is
// refused.
func (rt *Router) enqueue(wt *waiter) error {
	rt.mu.Lock()
	full := len(rt.queue) >= rt.opts.MaxWaiting
	if full && (wt.request.Sheddable || !rt.evictSheddable()) {
		rt.mu.Unlock()
		return rt.overloadError()
	}
	defer rt.mu.Unlock()
	i, _ := slices.BinarySearchFunc(rt.queue, wt, compareWaiters)
	rt.queue = slices.Insert(rt.queue, i, wt)
	return nil
}

// evictSheddable evicts the last sheddable waiter and reports whether there was one. The caller holds the lock.
func (rt *Router) evictSheddable() bool {
	for i, wt := range slices.Backward(rt.queue) {
		if wt.request.Sheddable {
			close(wt.evicted)
			rt.queue = slices.Delete(rt.queue, i, i+1)
			return true
		}
	}
	return false
}

func (rt *Router) dequeue(wt *waiter) {
	rt.mu.Lock()
	defer rt.mu.Unlock()
	if i := slices.Index(rt.queue, wt); i >= 0 {
		rt.queue = slices.Delete(rt.queue, i, i+1)
	}
}

// wakeNext wakes the first waiter of the queue that this waiter has left without a slot. What ended one waiter, such as the
// loss of all targets, often ends the others too, and without the signal each would notice up to 75 ms after the one before it.
func (rt *Router) wakeNext(left *waiter) {
	rt.mu.Lock()
	defer rt.mu.Unlock()
	i := slices.IndexFunc(rt.queue, func(wt *waiter) bool { return sameQueue(wt, left) })
	if i < 0 {
		return
	}
	select {
	case rt.queue[i].wake <- struct{}{}:
	default:
		// A signal is already pending.
	}
}

// isFirst reports whether the waiter is the first of its queue.
func (rt *Router) isFirst(wt *waiter) bool {
	rt.mu.Lock()
	defer rt.mu.Unlock()
	for _, other := range rt.queue {
		if other == wt {
			return true
		}
		if sameQueue(other, wt) {
			return false
		}
	}
	return true
}

// sameQueue reports whether two waiters have the same length band and the same model or service.
func sameQueue(a, b *waiter) bool {
	return policy.LengthBand(a.request.Prompt.Tokens) == policy.LengthBand(b.request.Prompt.Tokens) &&
		a.request.Filter.Model == b.request.Filter.Model && a.request.Filter.Service == b.request.Filter.Service
}

// checkDeadline returns an error if the prompts ahead of a waiter in its queue and its own prompt are predicted to take longer
// than the time left until its deadline.
func (rt *Router) checkDeadline(wt *waiter) error {
	rt.mu.Lock()
	tokens := wt.request.Prompt.Tokens
	for _, other := range rt.queue {
		if other == wt {
			break
		}
		if sameQueue(other, wt) {
			tokens += other.request.Prompt.Tokens
		}
	}
	rt.mu.Unlock()
	need, known := rt.drainTime(wt.request, tokens)
	if timeLeft := wt.request.Deadline.Sub(rt.opts.Now()); known && need > timeLeft {
		return failure.New(failure.DeadlineTooShort, failure.NotRun, "the queue before it takes about %s, past the deadline",
			need.Round(time.Millisecond)).WithRetryAfter(need - timeLeft)
	}
	return nil
}

// drainTime returns the time that the targets that can serve the request need to compute this number of prompt tokens. It is
// unknown while no target has a known prefill rate.
func (rt *Router) drainTime(rq Request, tokens int) (need time.Duration, known bool) {
	totalRate := 0.0
	for _, ca := range rt.fl.Candidates(fleet.Filter{Model: rq.Filter.Model, Service: rq.Filter.Service}).Candidates {
		if ca.PrefillRateKnown {
			totalRate += ca.PrefillRate
		}
	}
	if rq.Prompt.Long {
		totalRate *= rt.opts.Limits.MaxLongTargetShare
	}
	if totalRate <= 0 {
		return 0, false
	}
	return time.Duration(float64(tokens) / totalRate * float64(time.Second)), true
}

// overloadError returns an error that tells the caller to retry after the time needed to drain the queue, at least 1 s.
func (rt *Router) overloadError() error {
	rt.mu.Lock()
	tokens, rq := 0, Request{}
	for _, wt := range rt.queue {
		tokens += wt.request.Prompt.Tokens
		rq = wt.request
	}
	n := len(rt.queue)
	rt.mu.Unlock()
	need, _ := rt.drainTime(rq, tokens)
	return failure.New(failure.Overloaded, failure.NotRun, "%d requests wait already", n).WithRetryAfter(max(time.Second, need))
}
