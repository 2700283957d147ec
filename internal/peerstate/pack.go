package peerstate

import (
	"encoding/binary"
	"encoding/hex"
	"math"
	"strconv"
	"strings"
)

// packablePrefix starts the incarnations that can be packed. An even number of lower-case hex digits follows it, and optionally a
// time of birth.
const packablePrefix = "i-"

const (
	// birthSeparator separates the hex digits from the time of birth, which is a number in base birthBase.
	birthSeparator = "@"
	birthBase      = 36
	// birthMarker is the first byte of every incarnation that packWithBirth encodes, and of no other. An instance of the previous
	// build takes the encoded bytes for an incarnation that it does not know.
	birthMarker = 0
)

// packWithBirth encodes an incarnation with a time of birth in about 13 bytes instead of 21: birthMarker, the number of bytes of its
// decoded hex digits, those bytes, and the time. It returns false for incarnations of any other form.
func packWithBirth(id string) (string, bool) {
	name, birthText, ok := strings.Cut(id, birthSeparator)
	if !ok {
		return "", false
	}
	digits, flags := pack(name)
	birthTime, err := strconv.ParseUint(birthText, birthBase, 64)
	if flags != flagPacked || err != nil || strconv.FormatUint(birthTime, birthBase) != birthText || len(digits) > math.MaxUint8 {
		// The incarnation has another form, which is not packed.
		return "", false
	}
	b := append([]byte{birthMarker, byte(len(digits))}, digits...)
	return string(binary.AppendUvarint(b, birthTime)), true
}

// unpackWithBirth decodes an incarnation that packWithBirth encoded. It returns false for any other bytes.
func unpackWithBirth(encoded []byte) (string, bool) {
	const headerLen = 2
	if len(encoded) < headerLen || encoded[0] != birthMarker || len(encoded) < headerLen+int(encoded[1]) {
		return "", false
	}
	digits, rest := encoded[headerLen:headerLen+int(encoded[1])], encoded[headerLen+int(encoded[1]):]
	birth, n := binary.Uvarint(rest)
	if n != len(rest) {
		return "", false
	}
	return packablePrefix + hex.EncodeToString(digits) + birthSeparator + strconv.FormatUint(birth, birthBase), true
}

// sortKey returns the key by which targets are ordered: the incarnation as an instance of the previous build decodes it. Such an
// instance rejects a state in any other order.
func sortKey(id string) string {
	if b, ok := packWithBirth(id); ok {
		return b
	}
	return id
}

// pack encodes an incarnation. If it consists only of packablePrefix and hex digits, it is encoded as the bytes of these digits,
// and pack returns flagPacked. An incarnation that also has a time of birth is encoded by packWithBirth, any other as it is.
func pack(id string) (string, uint64) {
	if b, ok := packWithBirth(id); ok {
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
		if id, ok := unpackWithBirth(encoded); ok {
			return id
		}
		return string(encoded)
	}
	return packablePrefix + hex.EncodeToString(encoded)
}
