// Package deadline bounds the exchange with a caller by the time when its answer is due.
package deadline

import (
	"context"
	"net/http"
	"time"

	"github.com/cockroachdb/errors"
)

// answerGrace is the time that an answer has to reach its caller which begins when the answer is due, or later.
const writeGrace = 250 * time.Millisecond

// Deadline is when a caller's answer is due.
type Deadline struct {
	// At is when the answer must be whole.
	At time.Time
}

// Of returns the deadline of a request that arrived at a time and may take so long at the most. A caller may ask for less;
// zero asks for nothing.
func ForRequest(arrived time.Time, most, asked time.Duration) Deadline {
	if asked > 0 {
		most = min(most, asked)
	}
	return Deadline{At: arrived.Add(most)}
}

// Context returns a context that ends with the deadline. cancel frees it.
func (dl Deadline) Context(ctx context.Context) (bound context.Context, cancel context.CancelFunc) {
	return context.WithDeadline(ctx, dl.At)
}

// Bind bounds the reading of the body and the writing of the answer. bodyBy bounds the body further. It fails where the
// connection has ended, and where the writer is none, as in tests.
func (dl Deadline) Apply(rc *http.ResponseController, bodyBy time.Time) error {
	if dl.At.Before(bodyBy) {
		bodyBy = dl.At
	}
	if err := rc.SetReadDeadline(bodyBy); err != nil {
		return errors.Wrap(err, "bound the body")
	}
	return errors.Wrap(rc.SetWriteDeadline(dl.At.Add(writeGrace)), "bound the answer")
}

// BindAnswer bounds the writing of what is written now. What is late, as the process was held up, gets as long as what is in time: its
// caller still learns what became of the request.
func (dl Deadline) ExtendWriteDeadline(rc *http.ResponseController, now time.Time) error {
	by := dl.At
	if now.After(by) {
		by = now
	}
	return errors.Wrap(rc.SetWriteDeadline(by.Add(writeGrace)), "bound the answer")
}

// BodyRead ends the bound for the body, which is read to its end: left in place it would look like a caller that goes
// away. After a body that did not come it stays, else the server would wait for the rest before it ends the connection.
func (dl Deadline) ClearReadDeadline(rc *http.ResponseController) error {
	return errors.Wrap(rc.SetReadDeadline(time.Time{}), "lift the bound of the body")
}
