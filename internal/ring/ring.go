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
	dropped atomic.Uint64
}

// New returns a ring that holds at most capacity items.
func New[T any](capacity int) *Queue[T] {
	return &Queue[T]{items: make(chan T, capacity)}
}

// Offer adds an item, or drops it and counts it when the ring is full.
func (qu *Queue[T]) Offer(item T) bool {
	select {
	case qu.items <- item:
		return true
	default:
		qu.dropped.Add(1)
		return false
	}
}

// Put adds an item and waits for room until ctx ends.
func (qu *Queue[T]) Put(ctx context.Context, item T) error {
	select {
	case qu.items <- item:
		return nil
	case <-ctx.Done():
		return ctx.Err()
	}
}

// Items returns the channel to receive from.
func (qu *Queue[T]) Items() <-chan T { return qu.items }

// Len returns how many items wait.
func (qu *Queue[T]) Len() int { return len(qu.items) }

// Shed returns how many items were dropped.
func (qu *Queue[T]) Dropped() uint64 { return qu.dropped.Load() }
