package upstream

import (
	"io"
	"net"
	"time"

	"github.com/cockroachdb/errors"
)

// InvalidBodyError reports that the framing of a body is invalid: a chunk line or the trailers exceed the maximum size, or are malformed.
type InvalidBodyError struct{ Cause error }

// Error includes the cause.
func (be *InvalidBodyError) Error() string { return "invalid response body: " + be.Cause.Error() }

// Unwrap returns the cause.
func (be *InvalidBodyError) Unwrap() error { return be.Cause }

// checkedBody gives failures of the framing a type. net/http bounds a chunk line to 4 KiB, the extensions of all chunks in proportion to
// their data, and the trailers to the size of the read buffer.
type checkedBody struct{ io.ReadCloser }

// Read returns an InvalidBodyError for an error that is none of the connection.
func (cb *checkedBody) Read(b []byte) (int, error) {
	n, err := cb.ReadCloser.Read(b)
	var ne net.Error
	if err == nil || errors.Is(err, io.EOF) || errors.Is(err, io.ErrUnexpectedEOF) || errors.As(err, &ne) {
		return n, err
	}
	return n, &InvalidBodyError{Cause: err}
}

// connectionBody is a body that ends with its connection. The kernel reports a reset of the connection only once: if the write of the request
// receives it, the next read receives the end of the data.
type connectionBody struct {
	io.ReadCloser
	cn *conn
	// writeFailed reports whether the write of the request has failed.
	writeFailed func() bool
	// endedAt is the latest time at which the end of the data can have been received; zero before the end was read.
	endedAt time.Time
}

// Read returns io.ErrUnexpectedEOF at the end of the data if the connection may have been reset.
func (cb *connectionBody) Read(b []byte) (int, error) {
	n, err := cb.ReadCloser.Read(b)
	if !errors.Is(err, io.EOF) {
		return n, err
	}
	if cb.endedAt.IsZero() {
		cb.endedAt = cb.cn.lastReceiptBefore(time.Now())
	}
	if cb.writeFailed() {
		err = io.ErrUnexpectedEOF
	}
	return n, err
}
