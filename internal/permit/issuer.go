// Package permit bounds how many requests a target gets from all instances together.
//
// Each target that names a rate limit has one instance that issues permits for it, chosen alike by all from those that are live. Whoever
// wants to send a request there asks the issuer first. So the bound is kept in one place, however many instances there are, and any of
// them may use all of it. An issuer begins with nothing to give, so that a change of issuer is no burst.
package permit

import (
	"sync"
	"time"

	"github.com/silvermount/silvermount/internal/ratelimit"
)

const (
	// burst is how many permits may be issued at once after a pause: one more than a steady flow needs, so that a permit that is
	// asked for a moment late is not lost.
	burst = 2
	// leastPerSecond is the rate for targets that name less, or nothing at all: one request in ten seconds, by which an instance learns
	// when they take more again.
	leastPerSecond = 0.1
	// holdAfter is how long nothing is issued after a start or a freeze: instances find each other within it, and another one may issue
	// permits until they do.
	holdAfter = time.Second
	// frozenAfter is the time between two beats from which the process counts as having been frozen: several beats.
	frozenAfter = time.Second
	// askAgainMost bounds the time after which a refused instance may ask again, unless even the next turn comes later: limits change, and
	// others that were refused may not come back.
	askAgainMost = 2 * time.Second
	// forgetAfter is how long a target is remembered for which nobody asks: longer than the pause between two permits of the lowest rate.
	forgetAfter = 30 * time.Second
)

// Answer is an issuer's answer.
type Decision struct {
	// Granted says that a request may be sent.
	Granted bool
	// After is when it may be sent; of an answer that grants nothing, when to ask again.
	Delay time.Duration
}

// flow is what was issued for one target.
type flow struct {
	// due is when the next permit would be issued in a steady flow. It may lie in the future by the turns that wait.
	due time.Time
	// interval is the time between two permits in a steady flow, above zero.
	interval time.Duration
	// refused counts those that were refused since the last permit.
	refused int
	// asked is when somebody asked last.
	asked time.Time
}

// Issuer issues permits. It is safe for use by any goroutine.
type Issuer struct {
	now func() time.Time

	mu    sync.Mutex
	flows map[string]flow
	// heldUntil is when permits are issued again after a start or a freeze.
	heldUntil time.Time
	// beat is when Beat was last called.
	beat time.Time
}

// NewIssuer returns an issuer; now is the steady clock.
func NewIssuer(now func() time.Time) *Issuer {
	at := now()
	return &Issuer{now: now, flows: map[string]flow{}, heldUntil: at.Add(holdAfter), beat: at}
}

// Beat is to be called several times a second: a longer pause shows that the process was frozen.
func (is *Issuer) Tick() {
	is.mu.Lock()
	defer is.mu.Unlock()
	now := is.now()
	is.awake(now)
	is.beat = now
	for target, fl := range is.flows {
		if now.Sub(fl.asked) > forgetAfter {
			delete(is.flows, target)
		}
	}
}

// awake holds permits back after a freeze: meanwhile another instance has taken over. The lock is held.
func (is *Issuer) awake(now time.Time) {
	if now.Sub(is.beat) > frozenAfter {
		is.heldUntil = now.Add(holdAfter)
		is.beat = now
		clear(is.flows)
	}
}

// Issue answers one that wants to send a request to a target and may wait for its turn. Share is the part of the limit that this instance
// may give out, above zero and at most one.
func (is *Issuer) Issue(target string, li ratelimit.Limit, share float64, wait time.Duration) Decision {
	is.mu.Lock()
	defer is.mu.Unlock()
	now := is.now()
	is.awake(now)
	fl, known := is.flows[target]
	if !known {
		fl = newFlow(later(now, is.heldUntil), interval(li, share))
	}
	fl = fl.withInterval(now, interval(li, share))
	fl.asked = now
	an := fl.issue(now, max(wait, 0))
	is.flows[target] = fl
	return an
}

func later(a, b time.Time) time.Time {
	if a.After(b) {
		return a
	}
	return b
}

// interval is the time between two permits in a steady flow.
func interval(li ratelimit.Limit, share float64) time.Duration {
	return time.Duration(float64(time.Second) / (max(leastPerSecond, li.PerSecond) * share))
}

// newFlow returns a flow that begins empty.
func newFlow(from time.Time, interval time.Duration) flow {
	return flow{due: from.Add(burst * interval), interval: interval}
}

// withInterval returns the flow at another rate: it owes as many permits as before.
func (fl flow) withInterval(now time.Time, interval time.Duration) flow {
	if owed := fl.due.Sub(now); owed > 0 && interval != fl.interval {
		fl.due = now.Add(time.Duration(float64(owed) * float64(interval) / float64(fl.interval)))
	}
	fl.interval = interval
	return fl
}

// issue grants the next turn if it comes in time.
func (fl *flow) issue(now time.Time, wait time.Duration) Decision {
	fl.due = later(fl.due, now)
	after := max(0, fl.due.Add(-(burst-1)*fl.interval).Sub(now))
	if after > wait {
		// Those that were refused come back one after the other, not all for the same turn.
		again := after + time.Duration(fl.refused)*fl.interval/2
		fl.refused++
		return Decision{Delay: min(again, max(after, askAgainMost))}
	}
	fl.due = fl.due.Add(fl.interval)
	fl.refused = 0
	return Decision{Granted: true, Delay: after}
}
