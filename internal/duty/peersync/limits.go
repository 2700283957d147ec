package peersync

import (
	"encoding/binary"
	"time"

	"github.com/apex/log"

	"github.com/silvermount/silvermount/internal/gossip"
	"github.com/silvermount/silvermount/internal/peercodec"
	"github.com/silvermount/silvermount/internal/ratelimit"
)

// limitsFormat is the first byte of notes that hold rate limits besides the snapshot of requests that crash targets. An instance of
// the previous build supports only another first byte and logs an error for this one, so this format is used only while there are
// limits.
const limitsFormat = 200

// joinLimits appends rate limits to notes. Without limits it returns the notes unchanged.
func joinLimits(notes []byte, obs []ratelimit.Observation, now time.Time) []byte {
	if len(obs) == 0 {
		return notes
	}
	b := binary.AppendUvarint([]byte{limitsFormat}, uint64(len(notes)))
	b = append(b, notes...)
	return append(b, ratelimit.Encode(obs, now)...)
}

// splitLimits returns the notes and the encoded rate limits that joinLimits has appended.
func splitLimits(b []byte) (notes, limits []byte, err error) {
	if len(b) == 0 || b[0] != limitsFormat {
		return b, nil, nil
	}
	size, n := binary.Uvarint(b[1:])
	if n <= 0 || size > uint64(len(b)-1-n) {
		return nil, nil, &peercodec.MalformedError{Reason: "truncated notes"}
	}
	b = b[1+n:]
	return b[:size], b[size:], nil
}

// receiveLimits applies the rate limits that a peer knew at a time.
func (du *duty) receiveLimits(from gossip.Member, b []byte, at time.Time) {
	if len(b) == 0 {
		return
	}
	obs, err := ratelimit.Decode(b, at)
	if err != nil {
		du.lg.WithError(err).WithField("peer", from.Name).Error("cannot decode rate limits of peer")
		return
	}
	for _, ch := range du.rateLimits.Merge(obs) {
		du.lg.WithFields(log.Fields{
			"target": ch.Target, "limit": ch.Limit.String(), "before": ch.Previous.String(), "source": "peer", "peer": from.Name,
			"age": time.Since(ch.At).Round(time.Millisecond).String(),
		}).Info("rate limit of target " + ch.Kind())
	}
}
