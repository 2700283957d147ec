// Package ring provides the bounded queue that joins two duties.
package ring

import (
	"context"
	"sync/atomic"
)

// Ring is a bounded first-in first-out queue. Its methods may be called by any goroutine.
type Queue[T any] struct {
	// items has the ring's fixed capacity.
	items chan T
	// shed only grows.
	shed atomic.Uint64
}

// New returns a ring that holds at most capacity items.
func New[T any](capacity int) *Queue[T] {
	return &Queue[T]{items: make(chan T, capacity)}
}

// Offer adds an item, or drops it and counts it when the ring is full.
func (rg *Queue[T]) Offer(item T) bool {
	select {
	case rg.items <- item:
		return true
	default:
		rg.shed.Add(1)
		return false
	}
}

// Put adds an item and waits for room until ctx ends.
func (rg *Queue[T]) Put(ctx context.Context, item T) error {
	select {
	case rg.items <- item:
		return nil
	case <-ctx.Done():
		return ctx.Err()
	}
}

// Items returns the channel to receive from.
func (rg *Queue[T]) Items() <-chan T { return rg.items }

// Len returns how many items wait.
func (rg *Queue[T]) Len() int { return len(rg.items) }

// Shed returns how many items were dropped.
func (rg *Queue[T]) Dropped() uint64 { return rg.shed.Load() }
