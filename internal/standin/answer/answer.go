// Package answer gives the text that a stand-in engine generates, which depends on the prompt alone.
package answer

import (
	"crypto/sha256"
	"encoding/hex"
	"hash"
	"strings"
)

const tokenBytes = 4

// Chain generates tokens one by one. A chain over a prompt plus its first tokens goes on where the first stopped.
type Generator struct {
	state hash.Hash
}

// New returns the chain of a prompt.
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

// Of returns the first n tokens for a prompt.
func Generate(prompt string, n int) string {
	ch := New(prompt)
	var sb strings.Builder
	for range n {
		sb.WriteString(ch.Next())
	}
	return sb.String()
}
