// Package cancel repeats cancels at engines until they are acknowledged, so that no engine loses memory to an
// attempt that nobody waits for.
package cancel

import (
	"context"
	"sync"
	"time"

	"github.com/cockroachdb/errors"

	"github.com/silvermount/silvermount/internal/engine"
	"github.com/silvermount/silvermount/internal/ring"
)

const (
	ringSize   = 4096
	firstPause = 50 * time.Millisecond
	maxPause   = 5 * time.Second
	callLimit  = 2 * time.Second
	// giveUp is when the sweeper of the target's owner has surely freed the attempt.
	giveUp = 5 * time.Minute
)

// Order is one attempt to cancel.
type Request struct {
	// Attempt is the attempt's id.
	Attempt string
	// Client calls the engine that holds it.
	Client *engine.Client
}

// Canceller is the duty that sends cancels.
type Canceller struct {
	orders *ring.Queue[Request]
}

// New returns a canceller; Run does its work.
func New() *Canceller { return &Canceller{orders: ring.New[Request](ringSize)} }

// Cancel asks for an attempt to be cancelled. When too many wait it is left to the sweeper.
func (cn *Canceller) Cancel(o Request) { cn.orders.Offer(o) }

// Shed returns how many cancels were left to the sweeper.
func (cn *Canceller) Dropped() uint64 { return cn.orders.Dropped() }

// Run sends cancels until ctx ends, and then once those that wait: they are of the last requests of a stop, and their
// engines would work on until another instance sweeps them.
func (cn *Canceller) Run(ctx context.Context) {
	for {
		select {
		case o := <-cn.orders.Items():
			if !once(ctx, o) {
				go repeat(ctx, o)
			}
		case <-ctx.Done():
			cn.sendWaiting(ctx)
			return
		}
	}
}

// sendWaiting sends the cancels that wait beside each other, so that they take no longer than one call.
func (cn *Canceller) sendWaiting(ctx context.Context) {
	var wg sync.WaitGroup
	for range cn.orders.Len() {
		o := <-cn.orders.Items()
		wg.Go(func() { once(ctx, o) })
	}
	wg.Wait()
}

// once sends a cancel. A call on its way goes on when ctx ends.
func once(ctx context.Context, o Request) bool {
	ctx, cancel := context.WithTimeout(context.WithoutCancel(ctx), callLimit)
	defer cancel()
	err := o.Client.Cancel(ctx, o.Attempt)
	var se *engine.StatusError
	return err == nil || errors.As(err, &se)
}

func repeat(ctx context.Context, o Request) {
	ctx, cancel := context.WithTimeout(ctx, giveUp)
	defer cancel()
	for pause := firstPause; ; pause = min(2*pause, maxPause) {
		select {
		case <-time.After(pause):
		case <-ctx.Done():
			return
		}
		if once(ctx, o) {
			return
		}
	}
}
