// Package boundedread reads what an outside system writes, up to a maximum. What exceeds it is a typed failure, never a shorter result.
package boundedread

import (
	"encoding/json"
	"io"
	"strconv"

	"github.com/cockroachdb/errors"
)

// MaxHeadBytes bounds the head of a response for clients on http.Transport, whose own default is 10 MiB.
const MaxHeadBytes = 64 << 10

// TooLargeError reports that an input exceeds its maximum.
type TooLargeError struct{ MaxBytes int64 }

// Error includes the maximum.
func (te *TooLargeError) Error() string {
	return "more than the maximum of " + strconv.FormatInt(te.MaxBytes, 10) + " bytes"
}

// Reader reads from a source, and fails with a TooLargeError beyond a maximum. It is not safe for concurrent use.
type Reader struct {
	src      io.Reader
	maxBytes int64
	// left is the part of maxBytes that was not read yet; negative once the source has exceeded it.
	left int64
}

// NewReader returns a reader of at most maxBytes of src.
func NewReader(src io.Reader, maxBytes int64) *Reader {
	return &Reader{src: src, maxBytes: maxBytes, left: maxBytes}
}

// Read implements io.Reader.
func (rd *Reader) Read(b []byte) (int, error) {
	if rd.left < 0 {
		return 0, &TooLargeError{MaxBytes: rd.maxBytes}
	}
	// One more byte shows whether the source ends at the maximum.
	b = b[:min(int64(len(b)), rd.left+1)]
	n, err := rd.src.Read(b)
	rd.left -= int64(n)
	if rd.left < 0 {
		return n - 1, &TooLargeError{MaxBytes: rd.maxBytes}
	}
	return n, err
}

// All reads src to its end.
func All(src io.Reader, maxBytes int64) ([]byte, error) {
	b, err := io.ReadAll(NewReader(src, maxBytes))
	if err != nil {
		return nil, errors.Wrap(err, "read")
	}
	return b, nil
}

// Discard reads src to its end and drops what it reads.
func Discard(src io.Reader, maxBytes int64) error {
	_, err := io.Copy(io.Discard, NewReader(src, maxBytes))
	return errors.Wrap(err, "discard")
}

// JSON decodes the first JSON value of src.
func JSON(src io.Reader, maxBytes int64, into any) error {
	return errors.Wrap(json.NewDecoder(NewReader(src, maxBytes)).Decode(into), "decode")
}
