package peersync

import (
	"time"

	"github.com/apex/log"

	"github.com/silvermount/silvermount/internal/gossip"
	"github.com/silvermount/silvermount/internal/ratelimit"
)

// joinLimits appends rate limits to notes. Without limits it returns the notes unchanged.
func joinLimits(notes []byte, obs []ratelimit.Observation, now time.Time) []byte {
	if len(obs) == 0 {
		return notes
	}
	return wrapNotes(limitsFormat, notes, ratelimit.Encode(obs, now))
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
