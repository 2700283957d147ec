// Package reply passes an answer on to a caller and notices when the caller goes away.
package reply

import (
	"net/http"
	"time"

	"github.com/cockroachdb/errors"

	"github.com/silvermount/silvermount/internal/deadline"
	"github.com/silvermount/silvermount/internal/failure"
)

// Writer writes one answer and remembers whether it has begun. It is used by one goroutine.
type Writer struct {
	w  http.ResponseWriter
	rc *http.ResponseController
	// due bounds the writing; its zero value bounds nothing.
	due deadline.Deadline
	// status is what was written; zero before.
	status int
}

// New returns a writer of an answer that has not begun.
func New(w http.ResponseWriter) *Writer { return &Writer{w: w, rc: http.NewResponseController(w)} }

// Header returns the headers of the answer, which count until it begins.
func (wr *Writer) Header() http.Header { return wr.w.Header() }

// Control returns the controls of the caller's connection.
func (wr *Writer) Control() *http.ResponseController { return wr.rc }

// Due bounds the writing of an answer that has not begun by the time when it is due.
func (wr *Writer) Due(dl deadline.Deadline) { wr.due = dl }

// Started reports whether a status line was written.
func (wr *Writer) Started() bool { return wr.status != 0 }

// Status returns the status that was written; zero before.
func (wr *Writer) Status() int { return wr.status }

// Start writes the status line and the headers. An answer that has begun keeps its status.
func (wr *Writer) Start(status int) {
	if wr.Started() {
		return
	}
	wr.status = status
	if !wr.due.At.IsZero() {
		// It fails on a connection that has ended, which the next write tells, and on a writer that is none.
		_ = wr.due.BindAnswer(wr.rc, time.Now())
	}
	wr.w.WriteHeader(status)
}

// Pass writes a part of the answer, and sends it at once with flush. It fails when the caller has gone.
func (wr *Writer) Pass(part []byte, flush bool) error {
	if _, err := wr.w.Write(part); err != nil {
		return gone(errors.Wrap(err, "write to caller"))
	}
	if !flush {
		return nil
	}
	if err := wr.rc.Flush(); err != nil {
		return gone(errors.Wrap(err, "flush to caller"))
	}
	return nil
}

func gone(err error) error {
	return failure.New(failure.CallerGone, failure.Failed, "the caller went away").WithCause(err)
}
