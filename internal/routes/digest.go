package routes

import (
	"crypto/sha256"
	"encoding/hex"
)

// Digest names a key without telling it.
type Digest [sha256.Size]byte

// DigestOf returns the digest of a key.
func DigestOf(key string) Digest { return sha256.Sum256([]byte(key)) }

// digestShown is how many bytes of a digest are written to logs: enough to find the key among those of a
// configuration, and too few to find a key by trying.
const digestPrefixBytes = 4

// String returns the beginning of the digest in hex.
func (dg Digest) String() string { return hex.EncodeToString(dg[:digestPrefixBytes]) }
