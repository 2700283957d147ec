// Package body reads the bodies of callers' requests.
package body

import (
	"io"
	"net/http"
	"os"
	"time"

	"github.com/cockroachdb/errors"

	"github.com/silvermount/silvermount/internal/budget"
	"github.com/silvermount/silvermount/internal/failure"
)

// chunkStep is how much of a body of unknown length is accounted for at a time, in bytes.
const chunkSize = 64 << 10

// Reader reads bodies within a bound and within the memory that all requests share.
type Reader struct {
	Memory *budget.Memory
	// Most bounds one body, in bytes.
	MaxBytes int64
	// ComeBack is when a caller should come back for whom there is no memory, or whose body did not come in time.
	RetryAfter time.Duration
	// Broken is the kind of failure of a body that does not come whole.
	IncompleteCode failure.Code
	// Late is the kind of failure of a body that does not come whole in its time, whose caller may still be there; empty for Broken.
	TimeoutCode failure.Code
}

// Read reads a body. free gives its memory back, also after a failure, and is never nil.
func (rd Reader) Read(r *http.Request) (b []byte, free func(), err error) {
	size := r.ContentLength
	if size > rd.MaxBytes {
		return nil, func() {}, rd.tooLarge()
	}
	if size >= 0 {
		return rd.readSized(r.Body, size)
	}
	return rd.readChunked(r.Body)
}

func (rd Reader) readSized(from io.Reader, size int64) (b []byte, free func(), err error) {
	if size == 0 {
		return nil, func() {}, nil
	}
	if !rd.Memory.Take(size) {
		return nil, func() {}, rd.noMemory()
	}
	free = func() { rd.Memory.Give(size) }
	b = make([]byte, size)
	if _, err := io.ReadFull(from, b); err != nil {
		return nil, free, rd.readError(err)
	}
	return b, free, nil
}

func (rd Reader) readChunked(from io.Reader) (b []byte, free func(), err error) {
	var taken int64
	free = func() { rd.Memory.Give(taken) }
	for {
		if !rd.Memory.Take(chunkSize) {
			return nil, free, rd.noMemory()
		}
		taken += chunkSize
		part, err := io.ReadAll(io.LimitReader(from, chunkSize))
		b = append(b, part...)
		switch {
		case err != nil:
			return nil, free, rd.readError(err)
		case int64(len(b)) > rd.MaxBytes:
			return nil, free, rd.tooLarge()
		case len(part) < chunkSize:
			return b, free, nil
		}
	}
}

func (rd Reader) tooLarge() error {
	return failure.New(failure.TooLarge, failure.NotRun, "the body is larger than %d bytes", rd.MaxBytes)
}

func (rd Reader) noMemory() error {
	return failure.New(failure.NoMemory, failure.NotRun, "no memory for the body").WithRetryAfter(rd.RetryAfter)
}

func (rd Reader) readError(err error) error {
	if errors.Is(err, os.ErrDeadlineExceeded) && rd.TimeoutCode != "" {
		return failure.New(rd.TimeoutCode, failure.NotRun, "the body did not come in time").
			WithCause(errors.Wrap(err, "read body")).WithRetryAfter(rd.RetryAfter)
	}
	return failure.New(rd.IncompleteCode, failure.NotRun, "the body could not be read").WithCause(errors.Wrap(err, "read body"))
}
