package ratelimit

import (
	"encoding/binary"
	"math"
	"time"

	"github.com/cockroachdb/errors"

	"github.com/silvermount/silvermount/internal/peerbytes"
)

const (
	// maxTold bounds the observations that one instance tells, some 30 bytes each, and what decoding allocates.
	maxTold = 2048
	// maxName bounds the name of an incarnation, in bytes.
	maxName = 256
	// maxAge is the longest age that is told, safe to count in a Duration.
	maxAge = 24 * time.Hour
)

// Encode returns the bytes that peers get of observations told at a time. Ages are told in whole milliseconds.
func Encode(told []Observation, now time.Time) []byte {
	told = told[:min(len(told), maxTold)]
	b := binary.AppendUvarint(nil, uint64(len(told)))
	for _, ob := range told {
		b = peerbytes.AppendString(b, ob.Target)
		b = peerbytes.AppendDuration(b, now.Sub(ob.At), maxAge)
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

// Decode reads observations that were told at a time by this instance's clock. It fails with a peerbytes.MalformedError.
func Decode(b []byte, told time.Time) ([]Observation, error) {
	rd := peerbytes.NewReader(b)
	var obs []Observation
	for no := rd.ReadUvarint(maxTold); no > 0 && !rd.Failed(); no-- {
		obs = append(obs, readObservation(rd, told))
	}
	if err := rd.Finish(); err != nil {
		return nil, errors.Wrap(err, "decode observations")
	}
	return obs, nil
}

func readObservation(rd *peerbytes.Reader, told time.Time) Observation {
	ob := Observation{Target: rd.ReadString(maxName)}
	if ob.Target == "" {
		rd.Fail("an observation of nothing")
	}
	ob.At = told.Add(-rd.ReadDuration(maxAge))
	bits := rd.ReadUvarint(math.MaxUint64)
	if bits == 0 {
		return ob
	}
	perSecond := math.Float64frombits(bits - 1)
	if math.IsNaN(perSecond) || perSecond < 0 || perSecond > mostPerSecond {
		rd.Fail("a limit out of range")
		return ob
	}
	ob.Limit = Of(perSecond)
	return ob
}
