package peersync

import (
	"encoding/binary"
	"time"

	"github.com/apex/log"

	"github.com/silvermount/silvermount/internal/evacuation"
	"github.com/silvermount/silvermount/internal/gossip"
	"github.com/silvermount/silvermount/internal/peercodec"
	"github.com/silvermount/silvermount/internal/quarantine"
)

// encodeNotes returns the notes for peers: the snapshot of requests that crash targets, rate limits, and evacuations.
func (du *duty) encodeNotes() []byte {
	now := time.Now()
	notes := joinLimits(du.tr.Snapshot().Encode(now), du.rateLimits.LocalObservations(), now)
	if st, local := du.evacuations.LocalState(); local {
		return wrapNotes(evacuationsFormat, notes, st.Encode())
	}
	return notes
}

// receiveNotes applies the notes that a peer had at a time.
func (du *duty) receiveNotes(from gossip.Member, b []byte, at time.Time) {
	b, evacuations, err := unwrapNotes(evacuationsFormat, b)
	if err != nil {
		du.logMalformedNotes(from, err)
		return
	}
	du.receiveEvacuations(from, evacuations, at)
	b, limits, err := unwrapNotes(limitsFormat, b)
	if err != nil {
		du.logMalformedNotes(from, err)
		return
	}
	du.receiveLimits(from, limits, at)
	if len(b) == 0 {
		return
	}
	sn, err := quarantine.Decode(b, at)
	if err != nil {
		du.logMalformedNotes(from, err)
		return
	}
	du.tr.MergePeer(from.Name, sn)
}

func (du *duty) logMalformedNotes(from gossip.Member, err error) {
	du.lg.WithError(err).WithField("peer", from.Name).Error("cannot decode notes of peer")
}

// receiveEvacuations applies the evacuations that a peer knew at a time.
func (du *duty) receiveEvacuations(from gossip.Member, b []byte, at time.Time) {
	if len(b) == 0 {
		return
	}
	st, err := evacuation.Decode(b)
	if err != nil {
		du.lg.WithError(err).WithField("peer", from.Name).Error("cannot decode evacuations of peer")
		return
	}
	for _, ch := range du.evacuations.Merge(st) {
		du.lg.WithFields(log.Fields{
			"zone": ch.Zone, "era": st.At.Era, "version": st.At.Revision, "source": "peer", "peer": from.Name,
			"age": time.Since(at).Round(time.Millisecond).String(),
		}).Info("availability zone " + ch.Kind())
	}
}

// The first byte of notes that hold more than the snapshot of requests that crash targets. An instance of a previous build does not
// support such notes and logs an error for them, so each format is used only while there is something to say in it. Notes with
// evacuations may hold notes with rate limits.
const (
	limitsFormat      = 200
	evacuationsFormat = 201
)

// wrapNotes returns notes of a format, which consist of other notes and what the format adds to them.
func wrapNotes(format byte, notes, added []byte) []byte {
	b := binary.AppendUvarint([]byte{format}, uint64(len(notes)))
	b = append(b, notes...)
	return append(b, added...)
}

// unwrapNotes returns the notes and what was added to them by wrapNotes. Notes of another format are returned unchanged.
func unwrapNotes(format byte, b []byte) (notes, added []byte, err error) {
	if len(b) == 0 || b[0] != format {
		return b, nil, nil
	}
	size, n := binary.Uvarint(b[1:])
	if n <= 0 || size > uint64(len(b)-1-n) {
		return nil, nil, &peercodec.MalformedError{Reason: "truncated notes"}
	}
	b = b[1+n:]
	return b[:size], b[size:], nil
}
