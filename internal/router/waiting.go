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
	ask Request
	// out is closed when the request has to make way.
	out chan struct{}
	// turn has room for one signal: the request before it in its queue has left without a place.
	turn chan struct{}
}

func newWaiter(ask Request) *waiter {
	return &waiter{ask: ask, out: make(chan struct{}), turn: make(chan struct{}, 1)}
}

// before orders waiters: class priority, then length band, then deadline.
func before(a, b *waiter) int {
	if a.ask.Priority != b.ask.Priority {
		return b.ask.Priority - a.ask.Priority
	}
	if d := policy.LengthBand(a.ask.Prompt.Tokens) - policy.LengthBand(b.ask.Prompt.Tokens); d != 0 {
		return d
	}
	return a.ask.Deadline.Compare(b.ask.Deadline)
}

// enter adds a waiter. When too many wait, the last of those that yield makes way for one that does not.
func (rt *Router) enter(wt *waiter) error {
	rt.mu.Lock()
	full := len(rt.waiting) >= rt.opts.MaxWaiting
	if full && (wt.ask.Sheddable || !rt.evict()) {
		rt.mu.Unlock()
		return rt.overloaded()
	}
	defer rt.mu.Unlock()
	i, _ := slices.BinarySearchFunc(rt.waiting, wt, before)
	rt.waiting = slices.Insert(rt.waiting, i, wt)
	return nil
}

// evict ends the last waiter that yields. It is called with the lock held.
func (rt *Router) evict() bool {
	for i, wt := range slices.Backward(rt.waiting) {
		if wt.ask.Sheddable {
			close(wt.out)
			rt.waiting = slices.Delete(rt.waiting, i, i+1)
			return true
		}
	}
	return false
}

func (rt *Router) leave(wt *waiter) {
	rt.mu.Lock()
	defer rt.mu.Unlock()
	if i := slices.Index(rt.waiting, wt); i >= 0 {
		rt.waiting = slices.Delete(rt.waiting, i, i+1)
	}
}

// wakeNext wakes the first of a queue that a waiter has left without a place: what ended one often ends all, and each would
// else notice it up to 75 ms after the one before it.
func (rt *Router) wakeNext(gone *waiter) {
	rt.mu.Lock()
	defer rt.mu.Unlock()
	i := slices.IndexFunc(rt.waiting, func(wt *waiter) bool { return sameQueue(wt, gone) })
	if i < 0 {
		return
	}
	select {
	case rt.waiting[i].turn <- struct{}{}:
	default:
		// A signal waits already.
	}
}

// first reports whether no more urgent request of the same length band and model waits.
func (rt *Router) first(wt *waiter) bool {
	rt.mu.Lock()
	defer rt.mu.Unlock()
	for _, o := range rt.waiting {
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
	return policy.LengthBand(a.ask.Prompt.Tokens) == policy.LengthBand(b.ask.Prompt.Tokens) &&
		a.ask.Filter.Model == b.ask.Filter.Model && a.ask.Filter.Service == b.ask.Filter.Service
}

// inTime refuses a request at once when those before it in its queue and its own prompt take longer than it has.
func (rt *Router) inTime(wt *waiter) error {
	rt.mu.Lock()
	tokens := wt.ask.Prompt.Tokens
	for _, o := range rt.waiting {
		if o == wt {
			break
		}
		if sameQueue(o, wt) {
			tokens += o.ask.Prompt.Tokens
		}
	}
	rt.mu.Unlock()
	need, known := rt.drainTime(wt.ask, tokens)
	if left := wt.ask.Deadline.Sub(rt.opts.Now()); known && need > left {
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
func (rt *Router) overloaded() error {
	rt.mu.Lock()
	tokens, ask := 0, Request{}
	for _, wt := range rt.waiting {
		tokens += wt.ask.Prompt.Tokens
		ask = wt.ask
	}
	n := len(rt.waiting)
	rt.mu.Unlock()
	need, _ := rt.drainTime(ask, tokens)
	return failure.New(failure.Overloaded, failure.NotRun, "%d requests wait already", n).WithRetryAfter(max(time.Second, need))
}
