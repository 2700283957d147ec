package peerstate

import (
	"encoding/binary"
	"encoding/hex"
	"math"
	"strconv"
	"strings"
)

// packablePrefix starts the incarnations that can be packed. An even number of lower-case hex digits follows it, and optionally a
// start time.
const packablePrefix = "i-"

const (
	// startTimeSeparator separates the hex digits from the start time, which is a number in base startTimeBase.
	startTimeSeparator = "@"
	startTimeBase      = 36
	// startTimeMarker is the first byte of every incarnation that packWithStartTime encodes, and of no other. An instance of the
	// previous build takes the encoded bytes for an incarnation that it does not know.
	startTimeMarker = 0
)

// packWithStartTime encodes an incarnation with a start time in about 13 bytes instead of 21: startTimeMarker, the number of
// bytes of its decoded hex digits, those bytes, and the time. It returns false for incarnations of any other form.
func packWithStartTime(id string) (string, bool) {
	name, startTimeText, ok := strings.Cut(id, startTimeSeparator)
	if !ok {
		return "", false
	}
	digits, flags := pack(name)
	startTime, err := strconv.ParseUint(startTimeText, startTimeBase, 64)
	if flags != flagPacked || err != nil || strconv.FormatUint(startTime, startTimeBase) != startTimeText || len(digits) > math.MaxUint8 {
		// The incarnation has another form, which is not packed.
		return "", false
	}
	b := append([]byte{startTimeMarker, byte(len(digits))}, digits...)
	return string(binary.AppendUvarint(b, startTime)), true
}

// unpackWithStartTime decodes an incarnation that packWithStartTime encoded. It returns false for any other bytes.
func unpackWithStartTime(encoded []byte) (string, bool) {
	const headerLen = 2
	if len(encoded) < headerLen || encoded[0] != startTimeMarker || len(encoded) < headerLen+int(encoded[1]) {
		return "", false
	}
	digits, rest := encoded[headerLen:headerLen+int(encoded[1])], encoded[headerLen+int(encoded[1]):]
	startTime, n := binary.Uvarint(rest)
	if n != len(rest) {
		return "", false
	}
	return packablePrefix + hex.EncodeToString(digits) + startTimeSeparator + strconv.FormatUint(startTime, startTimeBase), true
}

// sortKey returns the key by which targets are ordered: the incarnation as an instance of the previous build decodes it. Such an
// instance rejects a state in any other order.
func sortKey(id string) string {
	if b, ok := packWithStartTime(id); ok {
		return b
	}
	return id
}

// pack encodes an incarnation. If it consists only of packablePrefix and hex digits, it is encoded as the bytes of these digits,
// and pack returns flagPacked. An incarnation that also has a start time is encoded by packWithStartTime, any other as it is.
func pack(id string) (string, uint64) {
	if b, ok := packWithStartTime(id); ok {
		return b, 0
	}
	digits, ok := strings.CutPrefix(id, packablePrefix)
	if !ok {
		return id, 0
	}
	b, err := hex.DecodeString(digits)
	if err != nil || hex.EncodeToString(b) != digits {
		// The incarnation has another form, which is not packed.
		return id, 0
	}
	return string(b), flagPacked
}

// unpack decodes an incarnation from its bytes and the header of its target.
func unpack(encoded []byte, header uint64) string {
	if header&flagPacked == 0 {
		if id, ok := unpackWithStartTime(encoded); ok {
			return id
		}
		return string(encoded)
	}
	return packablePrefix + hex.EncodeToString(encoded)
}
