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

// growthFactor is by how much the buffer of a body of known length grows. A small factor leaves as much garbage behind as the body has bytes.
const growthFactor = 8

// Reader reads request bodies. It is safe for concurrent use.
type Reader struct {
	// Memory is the budget that the bodies of all requests share.
	Memory *budget.Memory
	// Account is charged in place of Memory if it is set.
	Account *budget.Account
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

// acquire acquires memory for the next part of a body.
func (rd Reader) acquire(n int64) bool {
	if rd.Account != nil {
		return rd.Account.Acquire(n)
	}
	return rd.Memory.TryAcquire(n)
}

func (rd Reader) release(n int64) {
	if rd.Account != nil {
		rd.Account.Release(n)
		return
	}
	rd.Memory.Release(n)
}

// readSized reads a body whose length is known. Memory is acquired as the body arrives: a caller that sends slowly holds what it has sent,
// not what it has announced.
func (rd Reader) readSized(src io.Reader, size int64) (b []byte, free func(), err error) {
	var reserved int64
	free = func() { rd.release(reserved) }
	if rd.Account != nil {
		rd.Account.Expect(size)
	}
	for int64(len(b)) < size {
		target := min(size, max(chunkSize, growthFactor*int64(len(b))))
		if !rd.acquire(target - reserved) {
			return nil, free, rd.noMemory()
		}
		reserved = target
		grown := make([]byte, target)
		n := copy(grown, b)
		if _, err := io.ReadFull(src, grown[n:]); err != nil {
			return nil, free, rd.readError(err)
		}
		b = grown
	}
	return b, free, nil
}

// readChunked reads a body of unknown length.
func (rd Reader) readChunked(src io.Reader) (b []byte, free func(), err error) {
	var reserved int64
	free = func() { rd.release(reserved) }
	for {
		if !rd.acquire(chunkSize) {
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
