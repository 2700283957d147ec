// Package waitqueue orders the requests that wait for the targets of one service at one instance, and compares them with what waits at
// its peers.
//
// The package reads no clock, takes no lock and starts no goroutine.
package waitqueue

import "time"

// Waiter is a request in a queue, with a value of the caller.
type Waiter[T any] struct {
	Entry

	// Value is the caller's.
	Value T
	// number orders requests by when they joined.
	number uint64
	// index is the place of the waiter in the queue's slice; -1 once it has left.
	index int
	// hasTurn is set from Take until Return.
	hasTurn bool
	// lookedAt is when the waiter last returned a turn, or joined.
	lookedAt time.Time
}

// Queue holds waiting requests. The caller guards it by a lock.
//
// Finding the first request is a scan, since the order of two requests changes with time.
type Queue[T any] struct {
	limits Limits
	// waiters are in no order.
	waiters []*Waiter[T]
	joined  uint64
	// bytes and engineTime are the sums over waiters.
	bytes      int64
	engineTime time.Duration
}

// Limits bounds a queue.
type Limits struct {
	// Waiters and Bytes are the maximum number of requests, and of bytes that they hold.
	Waiters int
	Bytes   int64
}

// New returns an empty queue.
func New[T any](li Limits) *Queue[T] { return &Queue[T]{limits: li} }

// Len returns the number of waiting requests.
func (qu *Queue[T]) Len() int { return len(qu.waiters) }

// Join adds a request. It returns nil if the queue is full.
func (qu *Queue[T]) Join(en Entry, value T, now time.Time) *Waiter[T] {
	if len(qu.waiters) >= qu.limits.Waiters || qu.bytes+en.Bytes > qu.limits.Bytes {
		return nil
	}
	qu.joined++
	wa := &Waiter[T]{Entry: en.prepared(), Value: value, number: qu.joined, index: len(qu.waiters), lookedAt: now}
	qu.waiters = append(qu.waiters, wa)
	qu.bytes += en.Bytes
	qu.engineTime += en.EngineTime
	return wa
}

// Remove removes a waiter. It reports whether the waiter had a turn that it has not returned. Further calls have no effect.
func (qu *Queue[T]) Remove(wa *Waiter[T]) (hadTurn bool) {
	if wa.index < 0 {
		return false
	}
	last := len(qu.waiters) - 1
	qu.waiters[wa.index] = qu.waiters[last]
	qu.waiters[wa.index].index = wa.index
	qu.waiters[last] = nil
	qu.waiters = qu.waiters[:last]
	wa.index = -1
	qu.bytes -= wa.Bytes
	qu.engineTime -= wa.EngineTime
	hadTurn, wa.hasTurn = wa.hasTurn, false
	return hadTurn
}

// Head returns the first waiter, whether or not it has a turn; nil if the queue is empty.
func (qu *Queue[T]) Head(now time.Time) *Waiter[T] {
	return qu.first(now, func(*Waiter[T]) bool { return true })
}

// Take gives a turn to the first waiter without one whose need is below a bound, and returns it; nil if there is none.
func (qu *Queue[T]) Take(now time.Time, needBelow int64) *Waiter[T] {
	return qu.take(qu.first(now, func(wa *Waiter[T]) bool { return !wa.hasTurn && wa.Need < needBelow }))
}

// TakeAfter gives a turn to the first waiter without one that may find room where failed, which had a turn, found none; nil if there is
// none.
func (qu *Queue[T]) TakeAfter(failed *Waiter[T], now time.Time) *Waiter[T] {
	return qu.take(qu.first(now, func(wa *Waiter[T]) bool {
		return wa != failed && !wa.hasTurn && (failed.Selective && wa.lookedAt.Before(now) || wa.Need < failed.Need)
	}))
}

// TakeLongestUnseen gives a turn to the waiter that has not looked for the longest time, among those that a failed look of another says
// least of: requests that need more than minNeed, and selective ones. It returns nil if there is none.
func (qu *Queue[T]) TakeLongestUnseen(minNeed int64) *Waiter[T] {
	var found *Waiter[T]
	for _, wa := range qu.waiters {
		if wa.hasTurn || wa.Need <= minNeed && !wa.Selective {
			continue
		}
		if found == nil || wa.lookedAt.Before(found.lookedAt) || wa.lookedAt.Equal(found.lookedAt) && wa.number < found.number {
			found = wa
		}
	}
	return qu.take(found)
}

func (qu *Queue[T]) take(wa *Waiter[T]) *Waiter[T] {
	if wa != nil {
		wa.hasTurn = true
	}
	return wa
}

// Return ends the turn of a waiter that found no room.
func (qu *Queue[T]) Return(wa *Waiter[T], now time.Time) {
	wa.hasTurn, wa.lookedAt = false, now
}

// ReturnLate ends the turn of a waiter that found room where it would be late. From now on it goes after all that can be in time.
func (qu *Queue[T]) ReturnLate(wa *Waiter[T], now time.Time) {
	qu.Return(wa, now)
	wa.Late = true
}

// first returns the first waiter that matches.
func (qu *Queue[T]) first(now time.Time, matches func(*Waiter[T]) bool) *Waiter[T] {
	var found *Waiter[T]
	var foundRank rank
	for _, wa := range qu.waiters {
		if !matches(wa) {
			continue
		}
		rk := wa.rank(now)
		if found != nil {
			order := compare(&wa.Entry, &found.Entry, rk, foundRank)
			if order > 0 || order == 0 && wa.number > found.number {
				continue
			}
		}
		found, foundRank = wa, rk
	}
	return found
}

// Yields reports whether a request that arrives now must join without a look: another goes before it, needs no more, and waits for
// any target.
func (qu *Queue[T]) Yields(en Entry, now time.Time) bool {
	if en.Selective {
		return false
	}
	en = en.prepared()
	rk := en.rank(now)
	for _, wa := range qu.waiters {
		if !wa.Selective && wa.Need <= en.Need && sameKind(wa.Need, en.Need) && compare(&wa.Entry, &en, wa.rank(now), rk) <= 0 {
			return true
		}
	}
	return false
}

// sameKind reports whether two needs are of the same kind: those that need only a slot, or those that need more.
func sameKind(a, b int64) bool { return (a == 0) == (b == 0) }

// Ahead returns how many waiting requests of its kind go before one.
func (qu *Queue[T]) Ahead(en Entry, now time.Time) int {
	en = en.prepared()
	rk := en.rank(now)
	count := 0
	for _, wa := range qu.waiters {
		if sameKind(wa.Need, en.Need) && compare(&wa.Entry, &en, wa.rank(now), rk) < 0 {
			count++
		}
	}
	return count
}

// IsWaiting reports whether the waiter has not left its queue.
func (wa *Waiter[T]) IsWaiting() bool { return wa.index >= 0 }
