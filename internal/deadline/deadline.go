// Package deadline applies the deadline of a request to its context and to the caller's connection.
package deadline

import (
	"context"
	"net/http"
	"time"

	"github.com/cockroachdb/errors"

	"github.com/silvermount/silvermount/internal/pauseclock"
)

// writeGrace is the time that a response which starts at the deadline or later has to reach its caller.
const writeGrace = 250 * time.Millisecond

// Deadline is the deadline of a request.
type Deadline struct {
	// At is when the response must be complete.
	At time.Time
}

// ForRequest returns the deadline of a request that arrived at the given time and may take up to maxDuration. The caller may
// request a shorter duration; zero means that it requested none.
func ForRequest(arrived time.Time, maxDuration, requested time.Duration) Deadline {
	if requested > 0 {
		maxDuration = min(maxDuration, requested)
	}
	return Deadline{At: arrived.Add(maxDuration)}
}

// Context returns a context that ends at the deadline. cancel releases its resources.
func (dl Deadline) Context(ctx context.Context) (bound context.Context, cancel context.CancelFunc) {
	return context.WithDeadline(ctx, dl.At)
}

// pauseGrace is how long a request goes on whose deadline passed while the process was paused.
const pauseGrace = 200 * time.Millisecond

// ContextWithPauseGrace returns a context that ends at the deadline, with the cause context.DeadlineExceeded. If the process is paused until
// after the deadline, it ends pauseGrace after the pause, so that what has arrived meanwhile can be read. cancel releases its resources.
func (dl Deadline) ContextWithPauseGrace(ctx context.Context) (bound context.Context, cancel context.CancelFunc) {
	return dl.contextWithPauseGrace(ctx, time.Now)
}

func (dl Deadline) contextWithPauseGrace(ctx context.Context, now func() time.Time) (bound context.Context, cancel context.CancelFunc) {
	ctx, end := context.WithCancelCause(ctx)
	timer := time.AfterFunc(time.Until(dl.At), func() {
		if now().Sub(dl.At) >= pauseclock.MinPause {
			waitForGrace(ctx)
		}
		end(context.DeadlineExceeded)
	})
	return ctx, func() {
		timer.Stop()
		end(nil)
	}
}

// waitForGrace waits for pauseGrace or until ctx ends.
func waitForGrace(ctx context.Context) {
	select {
	case <-time.After(pauseGrace):
	case <-ctx.Done():
	}
}

// Apply sets the deadlines of the caller's connection for reading the body and for writing the response. The body must be
// complete by bodyBy if that is before the deadline. Apply fails if the connection is closed, or if the writer has no connection,
// as in tests.
func (dl Deadline) Apply(rc *http.ResponseController, bodyBy time.Time) error {
	if dl.At.Before(bodyBy) {
		bodyBy = dl.At
	}
	if err := rc.SetReadDeadline(bodyBy); err != nil {
		return errors.Wrap(err, "set read deadline for body")
	}
	return errors.Wrap(rc.SetWriteDeadline(dl.At.Add(writeGrace)), "set write deadline for response")
}

// ExtendWriteDeadline sets the write deadline for a write that starts now. If the process was stalled and the write is late, it gets
// as much time as one that starts at the deadline, so that the caller still learns what became of its request.
func (dl Deadline) ExtendWriteDeadline(rc *http.ResponseController, now time.Time) error {
	start := dl.At
	if now.After(start) {
		start = now
	}
	return errors.Wrap(rc.SetWriteDeadline(start.Add(writeGrace)), "set write deadline for response")
}

// ClearReadDeadline removes the read deadline after the complete body was read. If it stayed, it would later look as if the caller
// had disconnected. After an incomplete body it must stay: otherwise the server would wait for the rest of the body before it
// closes the connection.
func (dl Deadline) ClearReadDeadline(rc *http.ResponseController) error {
	return errors.Wrap(rc.SetReadDeadline(time.Time{}), "clear read deadline")
}
