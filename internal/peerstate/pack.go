package peerstate

import (
	"encoding/binary"
	"encoding/hex"
	"math"
	"strconv"
	"strings"
)

// packedPrefix begins the incarnations that can be packed: those of it and an even number of lower-case hex digits, and of these and a
// time of birth.
const packablePrefix = "i-"

const (
	// bornMark stands between an id and the time of birth, which is written to bornBase.
	birthSeparator = "@"
	birthBase      = 36
	// packedBorn begins an incarnation with a time of birth that is written as packBorn does; no other begins with it. An instance of
	// the build before takes it for an incarnation that it does not know.
	birthMarker = 0
)

// packBorn returns an incarnation with a time of birth in some 13 bytes in place of 21: the mark, the number of the bytes that its hex
// digits stand for, these, and the time.
func packWithBirth(id string) (string, bool) {
	name, birth, ok := strings.Cut(id, birthSeparator)
	if !ok {
		return "", false
	}
	digits, flags := pack(name)
	born, err := strconv.ParseUint(birth, birthBase, 64)
	if flags != flagPacked || err != nil || strconv.FormatUint(born, birthBase) != birth || len(digits) > math.MaxUint8 {
		// It is of another form, which need not be packed.
		return "", false
	}
	b := append([]byte{birthMarker, byte(len(digits))}, digits...)
	return string(binary.AppendUvarint(b, born)), true
}

// unpackBorn returns the incarnation that packBorn wrote; false when it is none.
func unpackWithBirth(written []byte) (string, bool) {
	const head = 2
	if len(written) < head || written[0] != birthMarker || len(written) < head+int(written[1]) {
		return "", false
	}
	digits, rest := written[head:head+int(written[1])], written[head+int(written[1]):]
	born, n := binary.Uvarint(rest)
	if n != len(rest) {
		return "", false
	}
	return packablePrefix + hex.EncodeToString(digits) + birthSeparator + strconv.FormatUint(born, birthBase), true
}

// place returns what targets are in the order of: the incarnation as an instance of the build before reads it, which refuses any other
// order.
func sortKey(id string) string {
	if b, ok := packWithBirth(id); ok {
		return b
	}
	return id
}

// pack returns an incarnation as it is written, and flagPacked when that is the bytes that its hex digits stand for.
// Other incarnations are written as they are.
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
		// It is of another form, which need not be packed.
		return id, 0
	}
	return string(b), flagPacked
}

// unpack returns the incarnation that was written with a head.
func unpack(written []byte, head uint64) string {
	if head&flagPacked == 0 {
		if id, ok := unpackWithBirth(written); ok {
			return id
		}
		return string(written)
	}
	return packablePrefix + hex.EncodeToString(written)
}
