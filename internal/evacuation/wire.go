package evacuation

import (
	"encoding/binary"
	"math"

	"github.com/cockroachdb/errors"

	"github.com/silvermount/silvermount/internal/peercodec"
	"github.com/silvermount/silvermount/internal/position"
)

const (
	// maxZones bounds the availability zones in an encoded state, and so the memory that decoding allocates.
	maxZones = 256
	// maxZoneLen bounds the length of the name of an availability zone, in bytes.
	maxZoneLen = 256
)

// Encode encodes the state for peers.
func (st State) Encode() []byte {
	zones := st.Zones[:min(len(st.Zones), maxZones)]
	b := binary.AppendUvarint(nil, uint64(st.At.Pack()))
	b = binary.AppendUvarint(b, uint64(len(zones)))
	for _, zone := range zones {
		b = peercodec.AppendString(b, zone)
	}
	return b
}

// Decode decodes a state. It fails with a peercodec.MalformedError.
func Decode(b []byte) (State, error) {
	rd := peercodec.NewReader(b)
	st := State{At: position.Unpack(int64(rd.ReadUvarint(math.MaxInt64)))}
	for n := rd.ReadUvarint(maxZones); n > 0 && !rd.Failed(); n-- {
		st.Zones = append(st.Zones, rd.ReadString(maxZoneLen))
	}
	if err := rd.Finish(); err != nil {
		return State{}, errors.Wrap(err, "decode evacuations")
	}
	return st, nil
}
