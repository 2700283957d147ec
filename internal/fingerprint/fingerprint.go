// Package fingerprint identifies what requests have in common: the whole request, when its caller sends it again, and single traits
// of it, such as a part of its prompt.
package fingerprint

import (
	"bytes"
	"crypto/sha256"
	"encoding/binary"
	"encoding/hex"
	"slices"
	"strings"

	"github.com/cockroachdb/errors"
)

const (
	// headHashSize is the length of the head hash at the start of the digest of a whole request. Four bytes make a collision of two
	// heads rare.
	headHashSize = 4
	// digestSize is half the length of a SHA-256 hash: enough that nobody can find a request whose fingerprint equals that of
	// another caller's request.
	digestSize = sha256.Size / 2
	// Size is the length of a digest in bytes.
	Size = headHashSize + digestSize
	// hashMark is the first byte of the digest of a name that does not fit into it or has other characters than plainName allows.
	hashMark = 0xff
)

// Kind says what a fingerprint identifies.
type Kind byte

// The kinds of fingerprints. Their values are part of the protocol between instances.
const (
	// WholeRequest is a request that its caller may send again under another id.
	WholeRequest Kind = iota
	// PromptPart is a part of a prompt, whatever its place in the prompt.
	PromptPart
	// Path is the method, host and path of a request.
	Path
	// Organisation is the owner of a request.
	Organisation
	// Combination is a set of other fingerprints.
	Combination
)

var kindNames = map[Kind]string{
	WholeRequest: "request", PromptPart: "part", Path: "path", Organisation: "organisation", Combination: "combination",
}

// String returns the name of the kind.
func (kd Kind) String() string { return kindNames[kd] }

// Fingerprint is equal for two requests that have a trait in common.
type Fingerprint struct {
	Kind Kind
	// Digest is a hash of the trait. That of a prompt part or an organisation is its name, padded with zeros, if it is short.
	Digest [Size]byte
}

// HeadHash is equal for two requests of one caller with the same method, host, path, query and body length. Its cost does not
// depend on the length of the body.
type HeadHash [headHashSize]byte

// Request holds what the fingerprint of a whole request is computed from. Parts that differ between two attempts of a caller are left
// out: the id, the deadline and other headers.
type Request struct {
	// Organisation is the owner of the request; empty for callers without a key.
	Organisation string
	Method, Host string
	// RequestURI is the path and query as they stand on the request line.
	RequestURI string
	Body       []byte
}

// Of returns the fingerprint of a whole request.
func Of(rq Request) Fingerprint {
	hs := sha256.New()
	// Writing to a hash never fails.
	_, _ = hs.Write(rq.encodeHead())
	_, _ = hs.Write(rq.Body)
	fp := Fingerprint{Kind: WholeRequest}
	headHash := HeadHashOf(rq)
	copy(fp.Digest[copy(fp.Digest[:], headHash[:]):], hs.Sum(nil))
	return fp
}

// HeadHashOf returns the head hash of a request.
func HeadHashOf(rq Request) HeadHash {
	sum := sha256.Sum256(rq.encodeHead())
	return HeadHash(sum[:headHashSize])
}

// encodeHead encodes everything but the content of the body.
func (rq Request) encodeHead() []byte {
	b := appendStrings(nil, rq.Organisation, rq.Method, rq.Host, rq.RequestURI)
	return binary.AppendUvarint(b, uint64(len(rq.Body)))
}

// appendStrings appends each string with its length in front, so that moving bytes from one to the next changes the encoding.
func appendStrings(b []byte, list ...string) []byte {
	for _, s := range list {
		b = binary.AppendUvarint(b, uint64(len(s)))
		b = append(b, s...)
	}
	return b
}

// OfPart returns the fingerprint of a part of a prompt.
func OfPart(id string) Fingerprint { return ofName(PromptPart, id) }

// OfOrganisation returns the fingerprint of an organisation.
func OfOrganisation(name string) Fingerprint { return ofName(Organisation, name) }

// OfPath returns the fingerprint of the method, host and path of a request, without its query.
func OfPath(rq Request) Fingerprint {
	path, _, _ := strings.Cut(rq.RequestURI, "?")
	return Fingerprint{Kind: Path, Digest: hash(appendStrings(nil, rq.Method, rq.Host, path))}
}

// OfCombination returns the fingerprint of a set of others, which must be sorted by Compare. That of a single one is this one itself.
func OfCombination(fps []Fingerprint) Fingerprint {
	if len(fps) == 1 {
		return fps[0]
	}
	var b []byte
	for _, fp := range fps {
		b = append(append(b, byte(fp.Kind)), fp.Digest[:]...)
	}
	return Fingerprint{Kind: Combination, Digest: hash(b)}
}

func ofName(kd Kind, name string) Fingerprint {
	if !isPlain(name) {
		return Fingerprint{Kind: kd, Digest: hash([]byte(name))}
	}
	fp := Fingerprint{Kind: kd}
	copy(fp.Digest[:], name)
	return fp
}

// isPlain reports whether a name can be a digest itself.
func isPlain(name string) bool {
	const plain = "0123456789abcdefghijklmnopqrstuvwxyzABCDEFGHIJKLMNOPQRSTUVWXYZ-_."
	return name != "" && len(name) <= Size && strings.Trim(name, plain) == ""
}

// hash returns a digest that is not the digest of a plain name.
func hash(b []byte) (digest [Size]byte) {
	digest[0] = hashMark
	sum := sha256.Sum256(b)
	copy(digest[1:], sum[:])
	return digest
}

// HeadHash returns the head hash of the request that has the fingerprint. It is meaningful for whole requests only.
func (fp Fingerprint) HeadHash() HeadHash { return HeadHash(fp.Digest[:headHashSize]) }

// Compare orders fingerprints by kind and digest.
func (fp Fingerprint) Compare(other Fingerprint) int {
	if fp.Kind != other.Kind {
		return int(fp.Kind) - int(other.Kind)
	}
	return bytes.Compare(fp.Digest[:], other.Digest[:])
}

// String returns the digest in hexadecimal for a whole request, and otherwise the kind, a colon and the name or the digest.
func (fp Fingerprint) String() string {
	digits := hex.EncodeToString(fp.Digest[:])
	if fp.Kind == WholeRequest {
		return digits
	}
	if name := string(bytes.TrimRight(fp.Digest[:], "\x00")); isPlain(name) {
		digits = name
	}
	return fp.Kind.String() + ":" + digits
}

// MalformedError means that a text is not a fingerprint.
type MalformedError struct{ Text string }

// Error quotes the text.
func (me *MalformedError) Error() string { return "no fingerprint: " + me.Text }

// Parse reads the output of String.
func Parse(text string) (Fingerprint, error) {
	kind, name, named := strings.Cut(text, ":")
	if !named {
		kind, name = WholeRequest.String(), text
	}
	for kd, kindName := range kindNames {
		if kindName != kind {
			continue
		}
		if b, err := hex.DecodeString(name); err == nil && len(b) == Size {
			return Fingerprint{Kind: kd, Digest: [Size]byte(b)}, nil
		}
		if isPlain(name) && slices.Contains([]Kind{PromptPart, Organisation}, kd) {
			return ofName(kd, name), nil
		}
	}
	return Fingerprint{}, errors.Wrap(&MalformedError{Text: text}, "parse fingerprint")
}
