// Package tokengen generates the output of stand-in engines, which depends on the prompt alone.
package tokengen

import (
	"crypto/sha256"
	"encoding/hex"
	"hash"
	"strings"
)

// tokenBytes is the number of hash bytes in a token.
const tokenBytes = 4

// Generator generates tokens one by one. A generator for a prompt with its first tokens appended continues after these
// tokens.
type Generator struct {
	state hash.Hash
}

// New returns the generator for a prompt.
func New(prompt string) *Generator {
	h := sha256.New()
	h.Write([]byte(prompt))
	return &Generator{state: h}
}

// Next returns the next token, which ends in a space.
func (gn *Generator) Next() string {
	sum := gn.state.Sum(nil)
	token := hex.EncodeToString(sum[:tokenBytes]) + " "
	gn.state.Write([]byte(token))
	return token
}

// Generate returns the first n tokens for a prompt.
func Generate(prompt string, n int) string {
	ch := New(prompt)
	var sb strings.Builder
	for range n {
		sb.WriteString(ch.Next())
	}
	return sb.String()
}
