// Package pending counts work that goes on in the background, so that the end of a process can wait for it.
package pending

import (
	"context"
	"sync/atomic"
	"time"

	"github.com/cockroachdb/errors"
)

// look is how often a waiter looks at the count: short beside the calls that it waits for.
const look = 5 * time.Millisecond

// Count is the number of pieces of work that have begun and not ended. The zero value is ready, and it is safe for use by any
// goroutine; unlike a sync.WaitGroup it may grow while somebody waits.
type Counter struct{ n atomic.Int64 }

// Begin notes that a piece of work begins. end notes its end, and is called once.
func (ct *Counter) Begin() (end func()) {
	ct.n.Add(1)
	return func() { ct.n.Add(-1) }
}

// Wait waits until no work is left. It fails when ctx ends before.
func (ct *Counter) Wait(ctx context.Context) error {
	tick := time.NewTicker(look)
	defer tick.Stop()
	for ct.n.Load() > 0 {
		select {
		case <-tick.C:
		case <-ctx.Done():
			return errors.Wrap(ctx.Err(), "wait for work in the background")
		}
	}
	return nil
}
