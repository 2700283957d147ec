package routes

import (
	"crypto/sha256"
	"encoding/hex"
)

// Digest is the SHA-256 of a key. It identifies the key without revealing it.
type Digest [sha256.Size]byte

// DigestOf returns the digest of a key.
func DigestOf(key string) Digest { return sha256.Sum256([]byte(key)) }

// digestPrefixBytes is the number of bytes of a digest that are written to logs: enough to identify the key among those of a
// configuration, but too few to find the key by brute force.
const digestPrefixBytes = 4

// String returns the first digestPrefixBytes bytes of the digest in hexadecimal.
func (dg Digest) String() string { return hex.EncodeToString(dg[:digestPrefixBytes]) }
