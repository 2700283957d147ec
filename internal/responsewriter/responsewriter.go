// Package responsewriter writes responses to callers and detects when a caller has disconnected.
package responsewriter

import (
	"net/http"
	"os"
	"time"

	"github.com/cockroachdb/errors"

	"github.com/silvermount/silvermount/internal/deadline"
	"github.com/silvermount/silvermount/internal/failure"
)

// Writer writes one response and records whether it has started. It is not safe for concurrent use.
type Writer struct {
	w  http.ResponseWriter
	rc *http.ResponseController
	// deadline is the deadline of the response; the zero value means that there is none.
	deadline deadline.Deadline
	// status is the status that was written; zero before.
	status int
}

// New returns a Writer for a response that has not started.
func New(w http.ResponseWriter) *Writer { return &Writer{w: w, rc: http.NewResponseController(w)} }

// Header returns the headers of the response. Changes have no effect once it has started.
func (wr *Writer) Header() http.Header { return wr.w.Header() }

// Controller returns the controller of the caller's connection.
func (wr *Writer) Controller() *http.ResponseController { return wr.rc }

// SetDeadline sets the deadline of the response. It must be called before the response starts. Writes after the deadline
// get an extended write deadline.
func (wr *Writer) SetDeadline(dl deadline.Deadline) { wr.deadline = dl }

// Started reports whether the status line was written.
func (wr *Writer) Started() bool { return wr.status != 0 }

// Status returns the status that was written; zero before.
func (wr *Writer) Status() int { return wr.status }

// Start writes the status line and the headers. It has no effect on a response that has started.
func (wr *Writer) Start(status int) {
	if wr.Started() {
		return
	}
	wr.status = status
	wr.extendDeadline()
	wr.w.WriteHeader(status)
}

// Forward writes part of the response, and flushes it if flush is set. It returns a failure.CallerGone error if the caller has
// disconnected, and a failure.WriteTimeout error if it did not take the part in time.
func (wr *Writer) Forward(part []byte, flush bool) error {
	wr.extendDeadline()
	if _, err := wr.w.Write(part); err != nil {
		return writeFailure(errors.Wrap(err, "write to caller"))
	}
	if !flush {
		return nil
	}
	if err := wr.rc.Flush(); err != nil {
		return writeFailure(errors.Wrap(err, "flush to caller"))
	}
	return nil
}

// Abort closes the connection of a response to a request that has started and cannot be completed. It does not return. A caller that speaks
// HTTP/1.0 takes the end of the connection for the end of the response, so that its connection is reset. Other callers miss the last chunk,
// and get all that was sent before.
func (wr *Writer) Abort(r *http.Request) {
	if !r.ProtoAtLeast(1, 1) {
		wr.reset()
	}
	panic(http.ErrAbortHandler)
}

// reset resets the connection.
func (wr *Writer) reset() {
	nc, _, err := wr.rc.Hijack()
	if err != nil {
		return // the connection is closed already, or the writer has none
	}
	if lc, ok := nc.(interface{ SetLinger(sec int) error }); ok {
		_ = lc.SetLinger(0) // fails only if the connection is closed
	}
	_ = nc.Close() // the connection is not used again
}

// extendDeadline extends the write deadline for a write after the deadline of the response. The process may have been stalled until
// the original write deadline had passed.
func (wr *Writer) extendDeadline() {
	now := time.Now()
	if wr.deadline.At.IsZero() || !now.After(wr.deadline.At) {
		return
	}
	// This fails if the connection is closed, which the write itself reports, or if the writer has no connection.
	_ = wr.deadline.ExtendWriteDeadline(wr.rc, now)
}

// writeFailure returns the failure for an error of the connection.
func writeFailure(err error) error {
	if errors.Is(err, os.ErrDeadlineExceeded) {
		return failure.New(failure.WriteTimeout, failure.Failed, "the caller did not take the response in time").WithCause(err)
	}
	return failure.New(failure.CallerGone, failure.Failed, "the caller went away").WithCause(err)
}
