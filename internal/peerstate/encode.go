package peerstate

import (
	"cmp"
	"encoding/binary"
	"slices"
	"time"

	"github.com/cockroachdb/errors"

	"github.com/silvermount/silvermount/internal/placement"
	"github.com/silvermount/silvermount/internal/set"
)

const (
	// version is the first byte of a state. It changes with the form, that of Load.Append included. The first byte of
	// the earlier JSON form, an opening brace, is never used as a version.
	formatVersion = 3
	// maxTargets bounds the targets that one state tells of, and so what decoding allocates, to a few megabytes. It is
	// some 900 times a usual fleet.
	maxTargets = 1 << 14
	// maxProofAge is the longest age that is told. It is far beyond every use of a proof, and can be taken from a time
	// with any other age and not overflow, unlike the age of the zero time.
	maxAge = 365 * 24 * time.Hour
)

// The head of each target is the number of bytes of its written incarnation, shifted by headBits, and these flags.
const (
	// flagPacked says that the incarnation is written as pack does.
	flagPacked = 1 << iota
	// flagLeaving says that the target is leaving.
	flagLeaving
	// flagLoad says that a load follows the incarnation.
	flagLoaded
)

// headBits is the number of flags; with three of them the head of a usual incarnation is one byte.
const flagBits = 3

// target is what a state says of one target.
type targetState struct {
	incarnation string
	leaving     bool
	load        placement.Load
}

// Encode returns the bytes that peers get. Equal states have equal bytes.
func (st State) Encode() ([]byte, error) {
	ts := st.targetStates()
	if len(ts) > maxTargets {
		return nil, errors.Wrap(&TooManyTargetsError{Targets: uint64(len(ts))}, "encode state")
	}
	b := []byte{formatVersion}
	b = binary.AppendUvarint(b, uint64(st.Configuration))
	b = binary.AppendUvarint(b, ceilMillis(st.ProofAge))
	b = binary.AppendUvarint(b, uint64(st.TargetsPosition.Pack()))
	b = binary.AppendUvarint(b, ceilMillis(st.TargetsAge))
	b = binary.AppendUvarint(b, uint64(len(ts)))
	for _, ta := range ts {
		b = ta.appendTo(b)
	}
	return b, nil
}

// targets returns the targets that the state tells of, by incarnation. A load that is not empty stays so when it is
// rounded.
func (st State) targetStates() []targetState {
	leaving := set.Of(st.Leaving...)
	ids := slices.Clone(st.Leaving)
	for id, lo := range st.Loads {
		if lo != (placement.Load{}) {
			ids = append(ids, id)
		}
	}
	slices.SortFunc(ids, func(a, b string) int { return cmp.Compare(sortKey(a), sortKey(b)) })
	ids = slices.Compact(ids)
	ts := make([]targetState, 0, len(ids))
	for _, id := range ids {
		ts = append(ts, targetState{incarnation: id, leaving: leaving.Has(id), load: st.Loads[id]})
	}
	return ts
}

// append appends the target.
func (ts targetState) appendTo(b []byte) []byte {
	id, flags := pack(ts.incarnation)
	if ts.leaving {
		flags |= flagLeaving
	}
	loaded := ts.load != (placement.Load{})
	if loaded {
		flags |= flagLoaded
	}
	b = binary.AppendUvarint(b, uint64(len(id))<<flagBits|flags)
	b = append(b, id...)
	if loaded {
		b = ts.load.Append(b)
	}
	return b
}

// millis returns an age in milliseconds, rounded up.
func ceilMillis(age time.Duration) uint64 {
	age = max(0, min(age, maxAge))
	return uint64((age + time.Millisecond - 1) / time.Millisecond)
}
