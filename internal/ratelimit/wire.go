package ratelimit

import (
	"encoding/binary"
	"math"
	"time"

	"github.com/cockroachdb/errors"
)

const (
	// maxTold bounds the observations that one instance tells, some 30 bytes each, and what decoding allocates.
	maxTold = 2048
	// maxName bounds the name of an incarnation, in bytes.
	maxName = 256
	// maxAge is the longest age that is told, safe to count in a Duration.
	maxAge = 24 * time.Hour
)

// WireError says that a peer's observations cannot be read.
type WireError struct{ Reason string }

// Error gives the reason.
func (we *WireError) Error() string { return "malformed observations: " + we.Reason }

// Encode returns the bytes that peers get of observations told at a time. Ages are told in whole milliseconds.
func Encode(told []Observation, now time.Time) []byte {
	told = told[:min(len(told), maxTold)]
	b := binary.AppendUvarint(nil, uint64(len(told)))
	for _, ob := range told {
		b = binary.AppendUvarint(b, uint64(len(ob.Target)))
		b = append(b, ob.Target...)
		b = binary.AppendUvarint(b, uint64(max(0, min(now.Sub(ob.At), maxAge)).Milliseconds()))
		b = binary.AppendUvarint(b, limitBits(ob.Limit))
	}
	return b
}

// limitBits is zero for no limit, else one more than the bits of its number.
func limitBits(li Limit) uint64 {
	if !li.Named {
		return 0
	}
	return math.Float64bits(li.PerSecond) + 1
}

// Decode reads observations that were told at a time by this instance's clock. It fails with a WireError.
func Decode(b []byte, told time.Time) ([]Observation, error) {
	rd := reader{rest: b}
	count := rd.number(maxTold)
	var obs []Observation
	for no := uint64(0); no < count && rd.failed == nil; no++ {
		obs = append(obs, rd.observation(told))
	}
	if rd.failed == nil && len(rd.rest) > 0 {
		rd.fail("bytes after the end")
	}
	if rd.failed != nil {
		return nil, errors.Wrap(rd.failed, "decode observations")
	}
	return obs, nil
}

// reader reads observations. After a failure it reads zeros.
type reader struct {
	rest []byte
	// failed is the first failure.
	failed error
}

func (rd *reader) fail(reason string) {
	if rd.failed == nil {
		rd.failed = &WireError{Reason: reason}
	}
}

func (rd *reader) observation(told time.Time) Observation {
	ob := Observation{Target: rd.name()}
	ob.At = told.Add(-time.Duration(rd.number(uint64(maxAge.Milliseconds()))) * time.Millisecond)
	bits := rd.number(math.MaxUint64)
	if bits == 0 {
		return ob
	}
	perSecond := math.Float64frombits(bits - 1)
	if math.IsNaN(perSecond) || perSecond < 0 || perSecond > mostPerSecond {
		rd.fail("a limit out of range")
		return ob
	}
	ob.Limit = Of(perSecond)
	return ob
}

func (rd *reader) number(most uint64) uint64 {
	if rd.failed != nil {
		return 0
	}
	n, size := binary.Uvarint(rd.rest)
	if size <= 0 || n > most {
		rd.fail("a number that is cut off or too large")
		return 0
	}
	rd.rest = rd.rest[size:]
	return n
}

func (rd *reader) name() string {
	size := rd.number(maxName)
	if rd.failed == nil && (size == 0 || size > uint64(len(rd.rest))) {
		rd.fail("a name that is empty or cut off")
	}
	if rd.failed != nil {
		return ""
	}
	name := string(rd.rest[:size])
	rd.rest = rd.rest[size:]
	return name
}
