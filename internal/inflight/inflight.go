// Package inflight counts background work in progress, so that a process can wait for its completion before it exits.
package inflight

import (
	"context"
	"sync/atomic"
	"time"

	"github.com/cockroachdb/errors"
)

// pollInterval is how often Wait checks the count. It is short compared with the calls that are waited for.
const pollInterval = 5 * time.Millisecond

// Counter counts the operations in progress. The zero value is ready to use, and it is safe for concurrent use. Unlike a
// sync.WaitGroup, it may be incremented from zero while a goroutine waits.
type Counter struct{ n atomic.Int64 }

// Begin counts an operation as in progress until end is called. end must be called exactly once.
func (ct *Counter) Begin() (end func()) {
	ct.n.Add(1)
	return func() { ct.n.Add(-1) }
}

// Wait blocks until no operations are in progress. It fails if ctx ends first.
func (ct *Counter) Wait(ctx context.Context) error {
	ticker := time.NewTicker(pollInterval)
	defer ticker.Stop()
	for ct.n.Load() > 0 {
		select {
		case <-ticker.C:
		case <-ctx.Done():
			return errors.Wrap(ctx.Err(), "wait for background operations")
		}
	}
	return nil
}
