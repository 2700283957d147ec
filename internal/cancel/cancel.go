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
	queueSize      = 4096
	initialBackoff = 50 * time.Millisecond
	maxBackoff     = 5 * time.Second
	callTimeout    = 2 * time.Second
	// giveUp is when the sweeper of the target's owner has surely freed the attempt.
	retryTimeout = 5 * time.Minute
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
	queue *ring.Queue[Request]
}

// New returns a canceller; Run does its work.
func New() *Canceller { return &Canceller{queue: ring.New[Request](queueSize)} }

// Cancel asks for an attempt to be cancelled. When too many wait it is left to the sweeper.
func (ca *Canceller) Cancel(o Request) { ca.queue.Offer(o) }

// Shed returns how many cancels were left to the sweeper.
func (ca *Canceller) Dropped() uint64 { return ca.queue.Dropped() }

// Run sends cancels until ctx ends, and then once those that wait: they are of the last requests of a stop, and their
// engines would work on until another instance sweeps them.
func (ca *Canceller) Run(ctx context.Context) {
	for {
		select {
		case o := <-ca.queue.Items():
			if !trySend(ctx, o) {
				go retry(ctx, o)
			}
		case <-ctx.Done():
			ca.sendQueued(ctx)
			return
		}
	}
}

// sendWaiting sends the cancels that wait beside each other, so that they take no longer than one call.
func (ca *Canceller) sendQueued(ctx context.Context) {
	var wg sync.WaitGroup
	for range ca.queue.Len() {
		o := <-ca.queue.Items()
		wg.Go(func() { trySend(ctx, o) })
	}
	wg.Wait()
}

// once sends a cancel. A call on its way goes on when ctx ends.
func trySend(ctx context.Context, o Request) bool {
	ctx, cancel := context.WithTimeout(context.WithoutCancel(ctx), callTimeout)
	defer cancel()
	err := o.Client.Cancel(ctx, o.Attempt)
	var se *engine.StatusError
	return err == nil || errors.As(err, &se)
}

func retry(ctx context.Context, o Request) {
	ctx, cancel := context.WithTimeout(ctx, retryTimeout)
	defer cancel()
	for pause := initialBackoff; ; pause = min(2*pause, maxBackoff) {
		select {
		case <-time.After(pause):
		case <-ctx.Done():
			return
		}
		if trySend(ctx, o) {
			return
		}
	}
}
