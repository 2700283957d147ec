// Package peercodec decodes messages of peers: varints, strings and durations, each within a bound, so that hostile or malformed input
// makes the reader allocate memory only in proportion to the bytes that it has read.
package peercodec

import (
	"encoding/binary"
	"time"
)

// MalformedError reports input that cannot be decoded.
type MalformedError struct{ Reason string }

func (me *MalformedError) Error() string { return "malformed peer message: " + me.Reason }

// Reader decodes bytes from start to end. After the first error every read returns a zero value.
type Reader struct {
	rest []byte
	// err is the first error.
	err error
}

// NewReader returns a reader of b. The caller must not modify b while the reader is in use.
func NewReader(b []byte) *Reader { return &Reader{rest: b} }

// Fail records a MalformedError with the reason, unless an error is already recorded.
func (rd *Reader) Fail(reason string) {
	if rd.err == nil {
		rd.err = &MalformedError{Reason: reason}
	}
}

// Failed reports whether an error is recorded.
func (rd *Reader) Failed() bool { return rd.err != nil }

// Remaining returns the number of unread bytes.
func (rd *Reader) Remaining() int { return len(rd.rest) }

// Finish returns the first error, which is a MalformedError. Unread bytes count as an error.
func (rd *Reader) Finish() error {
	if len(rd.rest) > 0 {
		rd.Fail("trailing bytes")
	}
	return rd.err
}

// ReadUvarint reads an unsigned varint of at most limit.
func (rd *Reader) ReadUvarint(limit uint64) uint64 {
	if rd.err != nil {
		return 0
	}
	n, size := binary.Uvarint(rd.rest)
	if size <= 0 || n > limit {
		rd.Fail("truncated or oversized integer")
		return 0
	}
	rd.rest = rd.rest[size:]
	return n
}

// ReadBytes reads n bytes. The result is a slice of the input, not a copy.
func (rd *Reader) ReadBytes(n int) []byte {
	if n > len(rd.rest) {
		rd.Fail("truncated")
	}
	if rd.err != nil {
		return nil
	}
	b := rd.rest[:n]
	rd.rest = rd.rest[n:]
	return b
}

// ReadString reads a length-prefixed string of at most limit bytes.
func (rd *Reader) ReadString(limit int) string {
	return string(rd.ReadBytes(int(rd.ReadUvarint(uint64(limit)))))
}

// ReadDuration reads a duration in whole milliseconds of at most limit.
func (rd *Reader) ReadDuration(limit time.Duration) time.Duration {
	return time.Duration(rd.ReadUvarint(uint64(limit.Milliseconds()))) * time.Millisecond
}

// AppendString appends s in the encoding of ReadString.
func AppendString(b []byte, s string) []byte {
	b = binary.AppendUvarint(b, uint64(len(s)))
	return append(b, s...)
}

// AppendDuration appends d in the encoding of ReadDuration with the same limit. A value outside the range from 0 to limit is clamped.
func AppendDuration(b []byte, d, limit time.Duration) []byte {
	return binary.AppendUvarint(b, uint64(max(0, min(d, limit)).Milliseconds()))
}
