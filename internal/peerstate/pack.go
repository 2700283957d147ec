package peerstate

import (
	"encoding/hex"
	"strings"
)

// packedPrefix begins the incarnations that can be packed: those of it and an even number of lower-case hex digits.
const packedPrefix = "i-"

// pack returns an incarnation as it is written, and flagPacked when that is the bytes that its hex digits stand for.
// Other incarnations are written as they are.
func pack(id string) (string, uint64) {
	digits, ok := strings.CutPrefix(id, packedPrefix)
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
		return string(written)
	}
	return packedPrefix + hex.EncodeToString(written)
}
