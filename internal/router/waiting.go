package router

import (
	"slices"
	"time"

	"github.com/silvermount/silvermount/internal/failure"
	"github.com/silvermount/silvermount/internal/fleet"
	"github.com/silvermount/silvermount/internal/policy"
)

// waiter is a request that has no place yet.
type waiter struct {
	request Request
	// out is closed when the request has to make way.
	evicted chan struct{}
	// turn has room for one signal: the request before it in its queue has left without a place.
	wake chan struct{}
}

func newWaiter(ask Request) *waiter {
	return &waiter{request: ask, evicted: make(chan struct{}), wake: make(chan struct{}, 1)}
}

// before orders waiters: class priority, then length band, then deadline.
func compareWaiters(a, b *waiter) int {
	if a.request.Priority != b.request.Priority {
		return b.request.Priority - a.request.Priority
	}
	if d := policy.LengthBand(a.request.Prompt.Tokens) - policy.LengthBand(b.request.Prompt.Tokens); d != 0 {
		return d
	}
	return a.request.Deadline.Compare(b.request.Deadline)
}

// enter adds a waiter. When too many wait, the last of those that yield makes way for one that does not.
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

// evict ends the last waiter that yields. It is called with the lock held.
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

// wakeNext wakes the first of a queue that a waiter has left without a place: what ended one often ends all, and each would
// else notice it up to 75 ms after the one before it.
func (rt *Router) wakeNext(gone *waiter) {
	rt.mu.Lock()
	defer rt.mu.Unlock()
	i := slices.IndexFunc(rt.queue, func(wt *waiter) bool { return sameQueue(wt, gone) })
	if i < 0 {
		return
	}
	select {
	case rt.queue[i].wake <- struct{}{}:
	default:
		// A signal waits already.
	}
}

// first reports whether no more urgent request of the same length band and model waits.
func (rt *Router) isFirst(wt *waiter) bool {
	rt.mu.Lock()
	defer rt.mu.Unlock()
	for _, o := range rt.queue {
		if o == wt {
			return true
		}
		if sameQueue(o, wt) {
			return false
		}
	}
	return true
}

func sameQueue(a, b *waiter) bool {
	return policy.LengthBand(a.request.Prompt.Tokens) == policy.LengthBand(b.request.Prompt.Tokens) &&
		a.request.Filter.Model == b.request.Filter.Model && a.request.Filter.Service == b.request.Filter.Service
}

// inTime refuses a request at once when those before it in its queue and its own prompt take longer than it has.
func (rt *Router) checkDeadline(wt *waiter) error {
	rt.mu.Lock()
	tokens := wt.request.Prompt.Tokens
	for _, o := range rt.queue {
		if o == wt {
			break
		}
		if sameQueue(o, wt) {
			tokens += o.request.Prompt.Tokens
		}
	}
	rt.mu.Unlock()
	need, known := rt.drainTime(wt.request, tokens)
	if left := wt.request.Deadline.Sub(rt.opts.Now()); known && need > left {
		return failure.New(failure.DeadlineTooShort, failure.NotRun, "the queue before it takes about %s, past the deadline",
			need.Round(time.Millisecond)).WithRetryAfter(need - left)
	}
	return nil
}

// drainTime is how long the targets that may take a request need for some prompt tokens. It is not known while no
// target has told its speed.
func (rt *Router) drainTime(ask Request, tokens int) (need time.Duration, known bool) {
	sum := 0.0
	for _, ca := range rt.fl.Candidates(fleet.Filter{Model: ask.Filter.Model, Service: ask.Filter.Service}).Candidates {
		if ca.PrefillRateKnown {
			sum += ca.PrefillRate
		}
	}
	if ask.Prompt.Long {
		sum *= rt.opts.Limits.MaxLongTargetShare
	}
	if sum <= 0 {
		return 0, false
	}
	return time.Duration(float64(tokens) / sum * float64(time.Second)), true
}

// overloaded tells the caller to come back when what waits now is done.
func (rt *Router) overloadError() error {
	rt.mu.Lock()
	tokens, ask := 0, Request{}
	for _, wt := range rt.queue {
		tokens += wt.request.Prompt.Tokens
		ask = wt.request
	}
	n := len(rt.queue)
	rt.mu.Unlock()
	need, _ := rt.drainTime(ask, tokens)
	return failure.New(failure.Overloaded, failure.NotRun, "%d requests wait already", n).WithRetryAfter(max(time.Second, need))
}
