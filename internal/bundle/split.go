package bundle

import (
	"crypto/sha256"
	"encoding/hex"
	"encoding/json"

	"github.com/cespare/xxhash/v2"
	"github.com/cockroachdb/errors"
)

const (
	// minSplitOrganisations is the number of organisations from which a bundle is split into parts.
	minSplitOrganisations = 64
	// partCount is the maximum number of parts. The hash of its name determines the part of an organisation.
	partCount = 64
)

// Part contains some of the organisations of a bundle. It is stored under the digest of its content.
type Part struct {
	// Digest is the SHA-256 digest of Body in hex.
	Digest string
	// Body is the JSON list of the organisations.
	Body []byte
}

// MissingPartError means that a part of a bundle is missing or does not match its digest.
type MissingPartError struct{ Digest string }

// Error includes the digest of the part.
func (mp *MissingPartError) Error() string { return "bundle part " + mp.Digest + " is missing" }

// Split returns an index, which is the bundle with its organisations replaced by the digests of parts, and these parts. A change of one
// organisation changes only one part, so that the others need not be read again. A bundle with fewer than minSplitOrganisations is
// returned unchanged.
func (bd Bundle) Split() (Bundle, []Part, error) {
	if len(bd.Organisations) < minSplitOrganisations {
		return bd, nil, nil
	}
	groups := make([][]Organisation, partCount)
	for _, o := range bd.Organisations {
		i := xxhash.Sum64String(o.Name) % partCount
		groups[i] = append(groups[i], o)
	}
	index := bd
	index.Organisations, index.Parts = nil, nil
	var parts []Part
	for _, g := range groups {
		if len(g) == 0 {
			continue
		}
		body, err := json.Marshal(g)
		if err != nil {
			return Bundle{}, nil, errors.Wrap(err, "encode part")
		}
		p := Part{Digest: digest(body), Body: body}
		parts = append(parts, p)
		index.Parts = append(index.Parts, p.Digest)
	}
	return index, parts, nil
}

// Join returns the whole bundle of an index. The readPart function returns the body of a part.
func (bd Bundle) Join(readPart func(digest string) ([]byte, error)) (Bundle, error) {
	whole := bd
	whole.Parts = nil
	for _, d := range bd.Parts {
		body, err := readPart(d)
		if err != nil {
			return Bundle{}, err
		}
		var g []Organisation
		if digest(body) != d || json.Unmarshal(body, &g) != nil {
			return Bundle{}, &MissingPartError{Digest: d}
		}
		whole.Organisations = append(whole.Organisations, g...)
	}
	return whole, whole.Check().ErrorOrNil()
}

func digest(b []byte) string {
	sum := sha256.Sum256(b)
	return hex.EncodeToString(sum[:])
}
