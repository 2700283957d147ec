package peersync

import (
	"time"

	"github.com/silvermount/silvermount/internal/gossip"
	"github.com/silvermount/silvermount/internal/quarantine"
)

// encodeNotes returns the notes for peers: the snapshot of requests that crash targets, and rate limits.
func (du *duty) encodeNotes() []byte {
	now := time.Now()
	return joinLimits(du.tr.Snapshot().Encode(now), du.rateLimits.LocalObservations(), now)
}

// receiveNotes applies the notes that a peer had at a time.
func (du *duty) receiveNotes(from gossip.Member, b []byte, at time.Time) {
	b, limits, err := splitLimits(b)
	if err != nil {
		du.lg.WithError(err).WithField("peer", from.Name).Error("cannot decode notes of peer")
		return
	}
	du.receiveLimits(from, limits, at)
	if len(b) == 0 {
		return
	}
	sn, err := quarantine.Decode(b, at)
	if err != nil {
		du.lg.WithError(err).WithField("peer", from.Name).Error("cannot decode notes of peer")
		return
	}
	du.tr.MergePeer(from.Name, sn)
}
