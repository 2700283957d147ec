// Package queue provides a bounded queue for passing items between goroutines.
package queue

import (
	"context"
	"sync/atomic"
)

// Queue is a bounded FIFO queue. It is safe for concurrent use.
type Queue[T any] struct {
	// items has a buffer of the queue's capacity.
	items chan T
	// dropped counts the dropped items. It never decreases.
	dropped atomic.Uint64
}

// New returns a queue that holds at most capacity items.
func New[T any](capacity int) *Queue[T] {
	return &Queue[T]{items: make(chan T, capacity)}
}

// Offer adds an item and returns true. If the queue is full, it drops the item, counts it and returns false.
func (qu *Queue[T]) Offer(item T) bool {
	select {
	case qu.items <- item:
		return true
	default:
		qu.dropped.Add(1)
		return false
	}
}

// Put adds an item. While the queue is full, it blocks until ctx ends, and then returns the error of ctx.
func (qu *Queue[T]) Put(ctx context.Context, item T) error {
	select {
	case qu.items <- item:
		return nil
	case <-ctx.Done():
		return ctx.Err()
	}
}

// Items returns the channel from which queued items are received.
func (qu *Queue[T]) Items() <-chan T { return qu.items }

// Len returns the number of queued items.
func (qu *Queue[T]) Len() int { return len(qu.items) }

// Dropped returns the number of items that Offer has dropped.
func (qu *Queue[T]) Dropped() uint64 { return qu.dropped.Load() }
