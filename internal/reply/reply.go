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
	// due is when the answer is due; its zero value bounds nothing.
	deadline deadline.Deadline
	// status is what was written; zero before.
	status int
}

// New returns a writer of an answer that has not begun.
func New(w http.ResponseWriter) *Writer { return &Writer{w: w, rc: http.NewResponseController(w)} }

// Header returns the headers of the answer, which count until it begins.
func (wr *Writer) Header() http.Header { return wr.w.Header() }

// Control returns the controls of the caller's connection.
func (wr *Writer) Controller() *http.ResponseController { return wr.rc }

// Due sets when the answer is due, before it begins: what is written later is bound anew.
func (wr *Writer) SetDeadline(dl deadline.Deadline) { wr.deadline = dl }

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
	wr.extendDeadline()
	wr.w.WriteHeader(status)
}

// Pass writes a part of the answer, and sends it at once with flush. It fails when the caller has gone.
func (wr *Writer) Forward(part []byte, flush bool) error {
	wr.extendDeadline()
	if _, err := wr.w.Write(part); err != nil {
		return callerGone(errors.Wrap(err, "write to caller"))
	}
	if !flush {
		return nil
	}
	if err := wr.rc.Flush(); err != nil {
		return callerGone(errors.Wrap(err, "flush to caller"))
	}
	return nil
}

// bindLate bounds anew what is written after the answer was due: the process may have been held up, and the bound passed meanwhile.
func (wr *Writer) extendDeadline() {
	now := time.Now()
	if wr.deadline.At.IsZero() || !now.After(wr.deadline.At) {
		return
	}
	// It fails on a connection that has ended, which the write tells, and on a writer that is none.
	_ = wr.deadline.ExtendWriteDeadline(wr.rc, now)
}

func callerGone(err error) error {
	return failure.New(failure.CallerGone, failure.Failed, "the caller went away").WithCause(err)
}
