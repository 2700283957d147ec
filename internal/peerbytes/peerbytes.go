// Package peerbytes reads what a peer has encoded: numbers of variable length, names and times, each within a bound, so that hostile or
// broken bytes cost no more than what was read so far calls for.
package peerbytes

import (
	"encoding/binary"
	"time"
)

// MalformedError says that bytes cannot be read.
type MalformedError struct{ Reason string }

// Error gives the reason.
func (me *MalformedError) Error() string { return "malformed bytes: " + me.Reason }

// Reader reads bytes from their start. After a failure it reads zeros.
type Reader struct {
	rest []byte
	// failed is the first failure.
	err error
}

// NewReader returns a reader of bytes, which must not change while it is used.
func NewReader(b []byte) *Reader { return &Reader{rest: b} }

// Fail notes a failure, unless there was one.
func (rd *Reader) Fail(reason string) {
	if rd.err == nil {
		rd.err = &MalformedError{Reason: reason}
	}
}

// Failed reports whether anything could not be read.
func (rd *Reader) Failed() bool { return rd.err != nil }

// End returns the first failure, a MalformedError; bytes that are left are one.
func (rd *Reader) Finish() error {
	if len(rd.rest) > 0 {
		rd.Fail("bytes after the end")
	}
	return rd.err
}

// Number reads a number that is at most a bound.
func (rd *Reader) ReadUvarint(most uint64) uint64 {
	if rd.err != nil {
		return 0
	}
	n, size := binary.Uvarint(rd.rest)
	if size <= 0 || n > most {
		rd.Fail("a number that is cut off or too large")
		return 0
	}
	rd.rest = rd.rest[size:]
	return n
}

// Bytes reads so many bytes. They are part of what is read, not a copy.
func (rd *Reader) ReadBytes(n int) []byte {
	if n > len(rd.rest) {
		rd.Fail("cut off")
	}
	if rd.err != nil {
		return nil
	}
	b := rd.rest[:n]
	rd.rest = rd.rest[n:]
	return b
}

// Name reads a text of at most so many bytes, behind its length.
func (rd *Reader) ReadString(most int) string {
	return string(rd.ReadBytes(int(rd.ReadUvarint(uint64(most)))))
}

// Span reads a time in whole milliseconds that is at most a bound.
func (rd *Reader) ReadDuration(most time.Duration) time.Duration {
	return time.Duration(rd.ReadUvarint(uint64(most.Milliseconds()))) * time.Millisecond
}

// AppendName appends a text as Name reads it.
func AppendString(b []byte, name string) []byte {
	b = binary.AppendUvarint(b, uint64(len(name)))
	return append(b, name...)
}

// AppendSpan appends a time as Span reads it with the same bound; one out of range is told as the nearest that is not.
func AppendDuration(b []byte, span, most time.Duration) []byte {
	return binary.AppendUvarint(b, uint64(max(0, min(span, most)).Milliseconds()))
}
