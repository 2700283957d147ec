// Package body reads request bodies within a size limit and a shared memory budget.
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

// chunkSize is the number of bytes by which the memory reserved for a body of unknown length grows.
const chunkSize = 64 << 10

// Reader reads request bodies. It is safe for concurrent use.
type Reader struct {
	// Memory is the budget that the bodies of all requests share.
	Memory *budget.Memory
	// MaxBytes is the maximum size of one body.
	MaxBytes int64
	// RetryAfter is when a caller should retry if there was no memory for its body, or if its body timed out.
	RetryAfter time.Duration
	// IncompleteCode is the failure code for a body that ends early or cannot be read.
	IncompleteCode failure.Code
	// TimeoutCode is the failure code for a body that is incomplete at its deadline, when the caller may still be connected. If it is
	// empty, IncompleteCode is used.
	TimeoutCode failure.Code
}

// Read reads the body of a request. free returns the memory of the body to the budget. It is never nil, and must be called even
// after an error.
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

// readSized reads a body whose length is known.
func (rd Reader) readSized(src io.Reader, size int64) (b []byte, free func(), err error) {
	if size == 0 {
		return nil, func() {}, nil
	}
	if !rd.Memory.TryAcquire(size) {
		return nil, func() {}, rd.noMemory()
	}
	free = func() { rd.Memory.Release(size) }
	b = make([]byte, size)
	if _, err := io.ReadFull(src, b); err != nil {
		return nil, free, rd.readError(err)
	}
	return b, free, nil
}

// readChunked reads a body of unknown length.
func (rd Reader) readChunked(src io.Reader) (b []byte, free func(), err error) {
	var reserved int64
	free = func() { rd.Memory.Release(reserved) }
	for {
		if !rd.Memory.TryAcquire(chunkSize) {
			return nil, free, rd.noMemory()
		}
		reserved += chunkSize
		chunk, err := io.ReadAll(io.LimitReader(src, chunkSize))
		b = append(b, chunk...)
		switch {
		case err != nil:
			return nil, free, rd.readError(err)
		case int64(len(b)) > rd.MaxBytes:
			return nil, free, rd.tooLarge()
		case len(chunk) < chunkSize:
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

// readError returns the failure for an error of the connection.
func (rd Reader) readError(err error) error {
	if errors.Is(err, os.ErrDeadlineExceeded) && rd.TimeoutCode != "" {
		return failure.New(rd.TimeoutCode, failure.NotRun, "the body did not come in time").
			WithCause(errors.Wrap(err, "read body")).WithRetryAfter(rd.RetryAfter)
	}
	return failure.New(rd.IncompleteCode, failure.NotRun, "the body could not be read").WithCause(errors.Wrap(err, "read body"))
}
