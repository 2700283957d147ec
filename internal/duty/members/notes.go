package members

import (
	"time"

	"github.com/silvermount/silvermount/internal/blame"
	"github.com/silvermount/silvermount/internal/gossip"
)

// notes returns what peers hear of requests that end targets, and of rate limits.
func (du *duty) notes() []byte {
	now := time.Now()
	return withLimits(du.ld.Snapshot().Encode(now), du.limits.LocalObservations(), now)
}

// receiveNotes takes what a peer tells of them.
func (du *duty) receiveNotes(from gossip.Member, b []byte, made time.Time) {
	b, limits, err := splitLimits(b)
	if err != nil {
		du.lg.WithError(err).WithField("peer", from.Name).Error("peer's notes cannot be read")
		return
	}
	du.receiveLimits(from, limits, made)
	if len(b) == 0 {
		return
	}
	nt, err := blame.Decode(b, made)
	if err != nil {
		du.lg.WithError(err).WithField("peer", from.Name).Error("peer's notes cannot be read")
		return
	}
	du.ld.MergePeer(from.Name, nt)
}
