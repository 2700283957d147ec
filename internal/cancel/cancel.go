// Package cancel sends cancel requests to engines and retries them until an engine answers, so that no engine keeps holding memory
// for an attempt whose result nobody waits for.
package cancel

import (
	"context"
	"sync"
	"time"

	"github.com/cockroachdb/errors"

	"github.com/silvermount/silvermount/internal/engine"
	"github.com/silvermount/silvermount/internal/queue"
)

const (
	queueSize      = 4096
	initialBackoff = 50 * time.Millisecond
	maxBackoff     = 5 * time.Second
	callTimeout    = 2 * time.Second
	// retryTimeout is long enough for the sweep by the target's owner to have cancelled the attempt in the meantime.
	retryTimeout = 5 * time.Minute
)

// Request asks for one attempt to be cancelled.
type Request struct {
	// Attempt is the id of the attempt.
	Attempt string
	// Client calls the engine that runs the attempt.
	Client *engine.Client
}

// Canceller queues cancel requests and sends them in Run.
type Canceller struct {
	queue *queue.Queue[Request]
}

// New returns a canceller with an empty queue. The caller must call Run to have requests sent.
func New() *Canceller { return &Canceller{queue: queue.New[Request](queueSize)} }

// Cancel queues a request without blocking. If the queue is full, the request is dropped and the attempt is left to the sweep.
func (ca *Canceller) Cancel(req Request) { ca.queue.Offer(req) }

// Dropped returns the number of requests that were dropped because the queue was full.
func (ca *Canceller) Dropped() uint64 { return ca.queue.Dropped() }

// Run sends queued requests until ctx ends. It then sends those that are still queued once, because they belong to the last
// requests before the instance stops, and their engines would work on until the sweep of another instance cancels the attempts.
func (ca *Canceller) Run(ctx context.Context) {
	for {
		select {
		case req := <-ca.queue.Items():
			if !trySend(ctx, req) {
				go retry(ctx, req)
			}
		case <-ctx.Done():
			ca.sendQueued(ctx)
			return
		}
	}
}

// sendQueued sends the queued requests concurrently, so that together they take no longer than one call.
func (ca *Canceller) sendQueued(ctx context.Context) {
	var wg sync.WaitGroup
	for range ca.queue.Len() {
		req := <-ca.queue.Items()
		wg.Go(func() { trySend(ctx, req) })
	}
	wg.Wait()
}

// trySend sends a request once and reports whether the engine answered, with any status. The end of ctx does not abort the call.
func trySend(ctx context.Context, req Request) bool {
	ctx, cancel := context.WithTimeout(context.WithoutCancel(ctx), callTimeout)
	defer cancel()
	err := req.Client.Cancel(ctx, req.Attempt)
	var se *engine.StatusError
	return err == nil || errors.As(err, &se)
}

// retry repeats a request with exponential back-off until the engine answers, ctx ends or retryTimeout has passed.
func retry(ctx context.Context, req Request) {
	ctx, cancel := context.WithTimeout(ctx, retryTimeout)
	defer cancel()
	for backoff := initialBackoff; ; backoff = min(2*backoff, maxBackoff) {
		select {
		case <-time.After(backoff):
		case <-ctx.Done():
			return
		}
		if trySend(ctx, req) {
			return
		}
	}
}
