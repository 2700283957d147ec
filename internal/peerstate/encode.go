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
	// formatVersion is the first byte of an encoded state. It changes with every change of the format, including that of
	// Load.Append. An opening brace is never used as a version, because the earlier JSON format starts with it.
	formatVersion = 3
	// maxTargets bounds the targets in one state, and so the memory that decoding allocates to a few megabytes. It is about
	// 900 times the size of a typical fleet.
	maxTargets = 1 << 14
	// maxAge is the longest age that is encoded. It is far longer than a confirmation is of use. Subtracting it and any other
	// age from a time does not overflow, unlike with the age of the zero time.
	maxAge = 365 * 24 * time.Hour
)

// The header of each target is the length in bytes of its encoded incarnation, shifted left by flagBits, and these flags.
const (
	// flagPacked marks an incarnation that is encoded as the bytes of its hex digits; see pack.
	flagPacked = 1 << iota
	// flagLeaving marks a target that is leaving.
	flagLeaving
	// flagLoaded marks a target whose load follows the incarnation.
	flagLoaded
)

// flagBits is the number of flags. With three, the header of a typical incarnation takes one byte.
const flagBits = 3

// targetState is the part of a state about one target.
type targetState struct {
	incarnation string
	leaving     bool
	load        placement.Load
}

// Encode returns the wire format of the state. Equal states have equal encodings.
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

// targetStates returns the targets that are leaving or loaded, ordered by sortKey. A load that is not empty does not become
// empty when it is rounded.
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

// appendTo appends the encoded target to b.
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

// ceilMillis returns an age in whole milliseconds, rounded up and limited to the range from 0 to maxAge.
func ceilMillis(age time.Duration) uint64 {
	age = max(0, min(age, maxAge))
	return uint64((age + time.Millisecond - 1) / time.Millisecond)
}
