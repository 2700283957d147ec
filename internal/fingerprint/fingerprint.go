// Package fingerprint identifies a request by the parts that stay the same when its caller sends it again.
package fingerprint

import (
	"crypto/sha256"
	"encoding/binary"
	"encoding/hex"

	"github.com/cockroachdb/errors"
)

const (
	// headHashSize is the length of the head hash at the start of a fingerprint. Four bytes make a collision of two heads rare.
	headHashSize = 4
	// digestSize is half the length of a SHA-256 hash: enough that nobody can find a request whose fingerprint equals that of
	// another caller's request.
	digestSize = sha256.Size / 2
	// Size is the length of a fingerprint in bytes.
	Size = headHashSize + digestSize
)

// Fingerprint is equal for two requests of one caller with the same method, host, path, query and body.
type Fingerprint [Size]byte

// HeadHash is equal for two requests of one caller with the same method, host, path, query and body length. Its cost does not
// depend on the length of the body.
type HeadHash [headHashSize]byte

// Request holds what a fingerprint is computed from. Parts that differ between two attempts of a caller are left out: the id, the
// deadline and other headers.
type Request struct {
	// Organisation is the owner of the request; empty for callers without a key.
	Organisation string
	Method, Host string
	// RequestURI is the path and query as they stand on the request line.
	RequestURI string
	Body       []byte
}

// Of returns the fingerprint of a request.
func Of(rq Request) Fingerprint {
	hs := sha256.New()
	// Writing to a hash never fails.
	_, _ = hs.Write(rq.encodeHead())
	_, _ = hs.Write(rq.Body)
	fp := Fingerprint{}
	headHash := HeadHashOf(rq)
	copy(fp[copy(fp[:], headHash[:]):], hs.Sum(nil))
	return fp
}

// HeadHashOf returns the head hash of a request.
func HeadHashOf(rq Request) HeadHash {
	sum := sha256.Sum256(rq.encodeHead())
	return HeadHash(sum[:headHashSize])
}

// encodeHead encodes everything but the content of the body. Each part is prefixed with its length, so that moving bytes from one
// part to the next changes the encoding.
func (rq Request) encodeHead() []byte {
	var b []byte
	for _, part := range []string{rq.Organisation, rq.Method, rq.Host, rq.RequestURI} {
		b = binary.AppendUvarint(b, uint64(len(part)))
		b = append(b, part...)
	}
	return binary.AppendUvarint(b, uint64(len(rq.Body)))
}

// HeadHash returns the head hash of the request that has the fingerprint.
func (fp Fingerprint) HeadHash() HeadHash { return HeadHash(fp[:headHashSize]) }

// String returns the fingerprint in hexadecimal.
func (fp Fingerprint) String() string { return hex.EncodeToString(fp[:]) }

// MalformedError means that a text is not a fingerprint.
type MalformedError struct{ Text string }

// Error quotes the text.
func (me *MalformedError) Error() string { return "no fingerprint: " + me.Text }

// Parse reads the output of String.
func Parse(text string) (Fingerprint, error) {
	b, err := hex.DecodeString(text)
	if err != nil || len(b) != Size {
		return Fingerprint{}, errors.Wrap(&MalformedError{Text: text}, "parse fingerprint")
	}
	return Fingerprint(b), nil
}
