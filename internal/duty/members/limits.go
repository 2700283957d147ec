package members

import (
	"encoding/binary"
	"time"

	"github.com/apex/log"

	"github.com/silvermount/silvermount/internal/gossip"
	"github.com/silvermount/silvermount/internal/peerbytes"
	"github.com/silvermount/silvermount/internal/ratelimit"
)

// limitsVersion is the first byte of notes that hold rate limits beside what peers hear of requests that end targets. An instance of the
// build before reads only notes that begin with another number, and logs that it cannot read these: they are sent only while there are limits.
const limitsVersion = 200

// withLimits adds what this instance tells of rate limits to its notes.
func withLimits(notes []byte, told []ratelimit.Observation, now time.Time) []byte {
	if len(told) == 0 {
		return notes
	}
	b := binary.AppendUvarint([]byte{limitsVersion}, uint64(len(notes)))
	b = append(b, notes...)
	return append(b, ratelimit.Encode(told, now)...)
}

// splitLimits returns the notes and what stands behind them of rate limits.
func splitLimits(b []byte) (notes, limits []byte, err error) {
	if len(b) == 0 || b[0] != limitsVersion {
		return b, nil, nil
	}
	size, n := binary.Uvarint(b[1:])
	if n <= 0 || size > uint64(len(b)-1-n) {
		return nil, nil, &peerbytes.MalformedError{Reason: "notes that are cut off"}
	}
	b = b[1+n:]
	return b[:size], b[size:], nil
}

// receiveLimits takes what a peer tells of rate limits.
func (du *duty) receiveLimits(from gossip.Member, b []byte, made time.Time) {
	if len(b) == 0 {
		return
	}
	obs, err := ratelimit.Decode(b, made)
	if err != nil {
		du.lg.WithError(err).WithField("peer", from.Name).Error("peer's rate limits cannot be read")
		return
	}
	for _, ch := range du.limits.Merge(obs) {
		du.lg.WithFields(log.Fields{
			"target": ch.Target, "limit": ch.Limit.String(), "before": ch.Previous.String(), "source": "peer", "peer": from.Name,
			"age": time.Since(ch.At).Round(time.Millisecond).String(),
		}).Info("rate limit of target " + ch.Kind())
	}
}
