// Package ident generates random identifiers of processes, requests and attempts.
package ident

import (
	"crypto/rand"
	"encoding/hex"
)

const randomBytes = 8

// New returns a random identifier with a prefix that states its kind.
func New(prefix string) string {
	var b [randomBytes]byte
	_, _ = rand.Read(b[:]) // crypto/rand.Read never fails
	return prefix + "-" + hex.EncodeToString(b[:])
}
