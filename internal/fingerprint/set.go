package fingerprint

import (
	"slices"
	"sync"
)

// maxParts is the maximum number of parts of a prompt that are looked at. It bounds the cost of a request.
const maxParts = 128

// Set holds the fingerprints of one request. It is immutable and safe for concurrent use.
type Set struct {
	headHash HeadHash
	// whole computes the fingerprint of the whole request. The digest of a long body is expensive, and rarely needed.
	whole func() Fingerprint
	// shared holds the other fingerprints, each once.
	shared []Fingerprint
}

// SetOf returns the fingerprints of a request with the given parts of its prompt. The last part is left out, because it belongs to the
// request or its session. The body must not be modified while the set is in use.
func SetOf(rq Request, parts []string) Set {
	var shared []Fingerprint
	for _, id := range parts[:min(max(0, len(parts)-1), maxParts)] {
		shared = append(shared, OfPart(id))
	}
	shared = append(shared, OfPath(rq))
	if rq.Organisation != "" {
		shared = append(shared, OfOrganisation(rq.Organisation))
	}
	return NewSet(HeadHashOf(rq), sync.OnceValue(func() Fingerprint { return Of(rq) }), shared...)
}

// NewSet returns a set with the fingerprint of the whole request, which whole computes, and with others.
func NewSet(hh HeadHash, whole func() Fingerprint, shared ...Fingerprint) Set {
	slices.SortFunc(shared, Fingerprint.Compare)
	return Set{headHash: hh, whole: whole, shared: slices.Compact(shared)}
}

// HeadHash returns the head hash of the request.
func (st Set) HeadHash() HeadHash { return st.headHash }

// Whole returns the fingerprint of the whole request. Its first call takes long for a long body.
func (st Set) Whole() Fingerprint { return st.whole() }

// Shared returns the fingerprints that other requests may have too, sorted. The caller must not modify it.
func (st Set) Shared() []Fingerprint { return st.shared }

// All returns all fingerprints, with that of the whole request first.
func (st Set) All() []Fingerprint { return append([]Fingerprint{st.Whole()}, st.shared...) }

// Has reports whether the request has a fingerprint. It computes that of the whole request only if the head hash fits.
func (st Set) Has(fp Fingerprint) bool {
	if fp.Kind == WholeRequest {
		return st.headHash == fp.HeadHash() && st.Whole() == fp
	}
	_, found := slices.BinarySearchFunc(st.shared, fp, Fingerprint.Compare)
	return found
}

// HasAll reports whether the request has all of the fingerprints.
func (st Set) HasAll(fps []Fingerprint) bool {
	return !slices.ContainsFunc(fps, func(fp Fingerprint) bool { return !st.Has(fp) })
}
