// Package inflightattempts knows which attempts are in flight at which target, and ends those that a lost target can no longer answer.
package inflightattempts

import (
	"context"
	"slices"
	"sync"
	"time"

	"github.com/silvermount/silvermount/internal/targetloss"
)

// LostTargetError is the cause with which the context of an attempt is cancelled when a target of it is lost.
type LostTargetError struct {
	Evidence targetloss.Evidence
}

// Error names the target and the evidence.
func (le *LostTargetError) Error() string {
	return "target " + le.Evidence.Target + " is lost: " + le.Evidence.String()
}

// Attempt describes an attempt. Its functions are called from other goroutines.
type Attempt struct {
	// Target is the incarnation that the request is sent to.
	Target string
	// Memory holds the incarnations at which memory is reserved for the request; it may include Target.
	Memory []string
	// AtMostOnce is set for a request that must not run more than once.
	AtMostOnce bool
	// MaxSilence returns the longest silence within a response that is expected now.
	MaxSilence func() time.Duration
	// Status returns what has been received so far.
	Status func() Status
	// HasOther reports whether another target can be tried. It is asked before the request is sent, since no retry is spent then.
	HasOther func() bool
	// TryRetry takes the retry that follows the end of the attempt, and reports whether another target can be tried.
	TryRetry func() bool
}

// Status is what an attempt has received so far.
type Status struct {
	// Sent is set once the attempt has a connection on which its request is sent.
	Sent bool
	// Answered is set once the head of the response was received.
	Answered bool
	// LastDataAt is when data was last received; zero before.
	LastDataAt time.Time
	// HasUnreadData is set if data was received that was not read yet.
	HasUnreadData bool
}

// Handle is an attempt in flight.
type Handle struct {
	registry *Registry
	attempt  Attempt
	cancel   context.CancelCauseFunc

	mu sync.Mutex
	// ended is set by End, retryTaken if TryRetry succeeded.
	ended, retryTaken bool
}

// Registry holds the attempts in flight of this instance. It is safe for concurrent use.
type Registry struct {
	now func() time.Time

	mu sync.Mutex
	// byTarget holds the attempts at each incarnation, also those that only have memory there. Empty lists are removed.
	byTarget map[string][]*Handle
}

// New returns an empty registry; now is its clock.
func New(now func() time.Time) *Registry {
	return &Registry{now: now, byTarget: map[string][]*Handle{}}
}

// Begin adds an attempt. The returned context is cancelled with a LostTargetError when the attempt is to end. End must be called.
func (rg *Registry) Begin(ctx context.Context, at Attempt) (context.Context, *Handle) {
	ctx, cancel := context.WithCancelCause(ctx)
	hd := &Handle{registry: rg, attempt: at, cancel: cancel}
	rg.mu.Lock()
	defer rg.mu.Unlock()
	for _, id := range at.targets() {
		rg.byTarget[id] = append(rg.byTarget[id], hd)
	}
	return ctx, hd
}

// targets returns the incarnations that the attempt depends on, each once.
func (at Attempt) targets() []string {
	ids := []string{at.Target}
	for _, id := range at.Memory {
		if !slices.Contains(ids, id) {
			ids = append(ids, id)
		}
	}
	return ids
}

// End removes the attempt, cancels its context, and reports whether the retry that follows the attempt was taken. It may be called again.
func (hd *Handle) End() bool {
	hd.mu.Lock()
	hd.ended = true
	retryTaken := hd.retryTaken
	hd.mu.Unlock()
	hd.cancel(nil)
	rg := hd.registry
	rg.mu.Lock()
	defer rg.mu.Unlock()
	for _, id := range hd.attempt.targets() {
		rest := slices.DeleteFunc(rg.byTarget[id], func(other *Handle) bool { return other == hd })
		if len(rest) == 0 {
			delete(rg.byTarget, id)
			continue
		}
		rg.byTarget[id] = rest
	}
	return retryTaken
}

// RetryTaken reports whether the retry that follows the attempt was taken when it was ended.
func (hd *Handle) RetryTaken() bool {
	hd.mu.Lock()
	defer hd.mu.Unlock()
	return hd.retryTaken
}

// Record ends the attempts that certain evidence ends. An attempt that goes on for now is ended by later evidence at the earliest.
func (rg *Registry) Record(ev targetloss.Evidence) {
	rg.mu.Lock()
	hds := slices.Clone(rg.byTarget[ev.Target])
	rg.mu.Unlock()
	for _, hd := range hds {
		hd.consider(ev, rg.now())
	}
}

// InFlight reports whether any attempt depends on an incarnation.
func (rg *Registry) InFlight(target string) bool {
	rg.mu.Lock()
	defer rg.mu.Unlock()
	return len(rg.byTarget[target]) > 0
}

// LastDataAt returns when an attempt in flight at an incarnation last received data; zero if none did.
func (rg *Registry) LastDataAt(target string) time.Time {
	rg.mu.Lock()
	hds := slices.Clone(rg.byTarget[target])
	rg.mu.Unlock()
	var last time.Time
	for _, hd := range hds {
		if hd.attempt.Target != target {
			continue
		}
		if at := hd.lastDataAt(); at.After(last) {
			last = at
		}
	}
	return last
}

// lastDataAt returns when the attempt last received data; zero if it received none or has ended.
func (hd *Handle) lastDataAt() time.Time {
	hd.mu.Lock()
	defer hd.mu.Unlock()
	if hd.ended {
		return time.Time{}
	}
	return hd.attempt.Status().LastDataAt
}

// consider ends the attempt if the evidence calls for it.
func (hd *Handle) consider(ev targetloss.Evidence, now time.Time) {
	hd.mu.Lock()
	defer hd.mu.Unlock()
	if hd.ended {
		return
	}
	st := hd.attempt.Status()
	dc := hd.attempt.decide(ev, st, now)
	if dc == goOn {
		return
	}
	if dc == endIfRetried && !st.Sent && !hd.attempt.HasOther() {
		return
	}
	if dc == endIfRetried && st.Sent && !hd.retryTaken {
		if !hd.attempt.TryRetry() {
			return
		}
		hd.retryTaken = true
	}
	hd.ended = true
	hd.cancel(&LostTargetError{Evidence: ev})
}
