package peerstate

import (
	"encoding/binary"
	"time"

	"github.com/cockroachdb/errors"

	"github.com/silvermount/silvermount/internal/placement"
	"github.com/silvermount/silvermount/internal/position"
)

// Decode decodes the state of a peer. It fails with a VersionError, a MalformedError, a TooManyTargetsError or a
// placement.EncodingError. It allocates memory only in proportion to the bytes that it has read.
func Decode(b []byte) (State, error) {
	st, err := decode(b)
	if err != nil {
		return State{}, errors.Wrap(err, "decode state")
	}
	return st, nil
}

func decode(b []byte) (State, error) {
	if len(b) == 0 {
		return State{}, &MalformedError{Reason: "empty input"}
	}
	if b[0] != formatVersion {
		return State{}, &VersionError{Version: b[0]}
	}
	rd := reader{rest: b[1:]}
	st := State{Configuration: int64(rd.uvarint())}
	st.ProofAge = rd.age()
	st.TargetsPosition = position.Unpack(int64(rd.uvarint()))
	st.TargetsAge = rd.age()
	rd.targets(&st)
	if rd.err == nil && len(rd.rest) > 0 {
		rd.fail("trailing bytes")
	}
	return st, rd.err
}

// reader decodes a state from start to end. After the first error every read returns a zero value.
type reader struct {
	rest []byte
	// err is the first error.
	err error
}

func (rd *reader) fail(reason string) {
	if rd.err == nil {
		rd.err = &MalformedError{Reason: reason}
	}
}

func (rd *reader) uvarint() uint64 {
	if rd.err != nil {
		return 0
	}
	val, n := binary.Uvarint(rd.rest)
	if n <= 0 {
		rd.fail("truncated or oversized integer")
		return 0
	}
	rd.rest = rd.rest[n:]
	return val
}

func (rd *reader) age() time.Duration {
	ms := rd.uvarint()
	if ms > uint64(maxAge.Milliseconds()) {
		rd.fail("age above the maximum")
		return 0
	}
	return time.Duration(ms) * time.Millisecond
}

// targets decodes the targets. It requires the strictly ascending order of Encode, so that no target occurs twice.
func (rd *reader) targets(st *State) {
	count := rd.uvarint()
	if rd.err == nil && count > maxTargets {
		rd.err = &TooManyTargetsError{Targets: count}
	}
	last := ""
	for no := uint64(0); no < count && rd.err == nil; no++ {
		ta := rd.target()
		if no > 0 && sortKey(ta.incarnation) <= last {
			rd.fail("targets out of order")
		}
		last = sortKey(ta.incarnation)
		ta.addTo(st)
	}
}

// addTo adds the target to a state that is being decoded.
func (ts targetState) addTo(st *State) {
	if ts.leaving {
		st.Leaving = append(st.Leaving, ts.incarnation)
	}
	if ts.load == (placement.Load{}) {
		return
	}
	if st.Loads == nil {
		st.Loads = map[string]placement.Load{}
	}
	st.Loads[ts.incarnation] = ts.load
}

func (rd *reader) target() targetState {
	header := rd.uvarint()
	encoded := rd.bytes(header >> flagBits)
	ta := targetState{incarnation: unpack(encoded, header), leaving: header&flagLeaving != 0}
	if header&flagLoaded != 0 {
		ta.load = rd.load()
	}
	if !ta.leaving && ta.load == (placement.Load{}) {
		rd.fail("target is neither leaving nor loaded")
	}
	return ta
}

// bytes returns the next count bytes. The result is a slice of the input, not a copy.
func (rd *reader) bytes(count uint64) []byte {
	if count > uint64(len(rd.rest)) {
		rd.fail("truncated incarnation")
	}
	if rd.err != nil {
		return nil
	}
	b := rd.rest[:count]
	rd.rest = rd.rest[count:]
	return b
}

func (rd *reader) load() placement.Load {
	if rd.err != nil {
		return placement.Load{}
	}
	lo, rest, err := placement.ParseLoad(rd.rest)
	if err != nil {
		rd.err = errors.Wrap(err, "decode load")
		return placement.Load{}
	}
	rd.rest = rest
	return lo
}
