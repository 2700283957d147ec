// Package fingerprint names a request by what stays the same when its caller sends it again.
package fingerprint

import (
	"crypto/sha256"
	"encoding/binary"
	"encoding/hex"

	"github.com/cockroachdb/errors"
)

// Size is the length of a fingerprint in bytes: half of a SHA-256, so that nobody finds a request whose fingerprint is that of
// another caller's.
const Size = sha256.Size / 2

// Fingerprint is equal for two requests of one caller with the same method, host, path, query and body.
type Fingerprint [Size]byte

// Request is what a fingerprint is made of. What differs between two tries of a caller is no part of it: the id, the deadline
// and other headers.
type Request struct {
	// Organisation is whose request it is; empty for callers without a key.
	Organisation string
	Method, Host string
	// Target is the path and query as they stand on the request line.
	Target string
	Body   []byte
}

// Of returns the fingerprint of a request. Each part is written after its length, so that none can pass for a piece of another.
func Of(rq Request) Fingerprint {
	var head []byte
	for _, part := range []string{rq.Organisation, rq.Method, rq.Host, rq.Target} {
		head = binary.AppendUvarint(head, uint64(len(part)))
		head = append(head, part...)
	}
	hs := sha256.New()
	// A hash takes all that is written to it.
	_, _ = hs.Write(head)
	_, _ = hs.Write(rq.Body)
	return Fingerprint(hs.Sum(nil)[:Size])
}

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
