package ratelimit

import (
	"encoding/binary"
	"math"
	"time"

	"github.com/cockroachdb/errors"

	"github.com/silvermount/silvermount/internal/peercodec"
)

const (
	// maxObservations bounds the observations that one instance sends, about 30 bytes each, and so the memory that decoding
	// allocates.
	maxObservations = 2048
	// maxTargetLen bounds the length of an incarnation's name, in bytes.
	maxTargetLen = 256
	// maxAge is the highest age that is sent; it cannot overflow a Duration.
	maxAge = 24 * time.Hour
)

// Encode encodes observations for peers. Each is sent with its age at now, in whole milliseconds.
func Encode(obs []Observation, now time.Time) []byte {
	obs = obs[:min(len(obs), maxObservations)]
	b := binary.AppendUvarint(nil, uint64(len(obs)))
	for _, ob := range obs {
		b = peercodec.AppendString(b, ob.Target)
		b = peercodec.AppendDuration(b, now.Sub(ob.At), maxAge)
		b = binary.AppendUvarint(b, limitBits(ob.Limit))
	}
	return b
}

// limitBits returns zero for no limit, otherwise the bits of the limit's float64 plus one.
func limitBits(li Limit) uint64 {
	if !li.Limited {
		return 0
	}
	return math.Float64bits(li.PerSecond) + 1
}

// Decode decodes observations that were encoded at sentAt by this instance's clock. It fails with a peercodec.MalformedError.
func Decode(b []byte, sentAt time.Time) ([]Observation, error) {
	rd := peercodec.NewReader(b)
	var obs []Observation
	for n := rd.ReadUvarint(maxObservations); n > 0 && !rd.Failed(); n-- {
		obs = append(obs, readObservation(rd, sentAt))
	}
	if err := rd.Finish(); err != nil {
		return nil, errors.Wrap(err, "decode rate limit observations")
	}
	return obs, nil
}

func readObservation(rd *peercodec.Reader, sentAt time.Time) Observation {
	ob := Observation{Target: rd.ReadString(maxTargetLen)}
	if ob.Target == "" {
		rd.Fail("observation has no target")
	}
	ob.At = sentAt.Add(-rd.ReadDuration(maxAge))
	bits := rd.ReadUvarint(math.MaxUint64)
	if bits == 0 {
		return ob
	}
	perSecond := math.Float64frombits(bits - 1)
	if math.IsNaN(perSecond) || perSecond < 0 || perSecond > maxPerSecond {
		rd.Fail("rate limit out of range")
		return ob
	}
	ob.Limit = PerSecond(perSecond)
	return ob
}
