// Package fingerprint names a request by what stays the same when its caller sends it again.
package fingerprint

import (
	"crypto/sha256"
	"encoding/binary"
	"encoding/hex"

	"github.com/cockroachdb/errors"
)

const (
	// originSize is what a fingerprint begins with: enough that a request with another origin is seldom taken for one with this.
	headHashSize = 4
	// digestSize is half of a SHA-256: nobody finds a request whose fingerprint is that of another caller's.
	digestSize = sha256.Size / 2
	// Size is the length of a fingerprint in bytes.
	Size = headHashSize + digestSize
)

// Fingerprint is equal for two requests of one caller with the same method, host, path, query and body.
type Fingerprint [Size]byte

// Origin is equal for two requests of one caller with the same method, host, path, query and length of the body. It costs the same
// for a short and a long body.
type HeadHash [headHashSize]byte

// Request is what a fingerprint is made of. What differs between two tries of a caller is no part of it: the id, the deadline
// and other headers.
type Request struct {
	// Organisation is whose request it is; empty for callers without a key.
	Organisation string
	Method, Host string
	// Target is the path and query as they stand on the request line.
	RequestURI string
	Body       []byte
}

// Of returns the fingerprint of a request.
func Of(rq Request) Fingerprint {
	hs := sha256.New()
	// A hash takes all that is written to it.
	_, _ = hs.Write(rq.encodeHead())
	_, _ = hs.Write(rq.Body)
	fp := Fingerprint{}
	origin := HeadHashOf(rq)
	copy(fp[copy(fp[:], origin[:]):], hs.Sum(nil))
	return fp
}

// OriginOf returns the origin of a request.
func HeadHashOf(rq Request) HeadHash {
	sum := sha256.Sum256(rq.encodeHead())
	return HeadHash(sum[:headHashSize])
}

// head returns all but the content of the body. Each part is written after its length, so that none can pass for a piece of another.
func (rq Request) encodeHead() []byte {
	var b []byte
	for _, part := range []string{rq.Organisation, rq.Method, rq.Host, rq.RequestURI} {
		b = binary.AppendUvarint(b, uint64(len(part)))
		b = append(b, part...)
	}
	return binary.AppendUvarint(b, uint64(len(rq.Body)))
}

// Origin returns the origin of the request that has the fingerprint.
func (fp Fingerprint) HeadHash() HeadHash { return HeadHash(fp[:headHashSize]) }

// String returns the fingerprint in hex.
func (fp Fingerprint) String() string { return hex.EncodeToString(fp[:]) }

// MalformedError says that a text is no fingerprint.
type MalformedError struct{ Text string }

// Error quotes the text.
func (me *MalformedError) Error() string { return "no fingerprint: " + me.Text }

// Parse reads what String wrote.
func Parse(text string) (Fingerprint, error) {
	b, err := hex.DecodeString(text)
	if err != nil || len(b) != Size {
		return Fingerprint{}, errors.Wrap(&MalformedError{Text: text}, "parse fingerprint")
	}
	return Fingerprint(b), nil
}
