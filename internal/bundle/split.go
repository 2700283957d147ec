package bundle

import (
	"crypto/sha256"
	"encoding/hex"
	"encoding/json"

	"github.com/cespare/xxhash/v2"
	"github.com/cockroachdb/errors"
)

const (
	// splitFrom is the number of organisations from which they are stored in parts.
	minSplitOrganisations = 64
	// partCount is the number of parts; an organisation's part is given by the hash of its name.
	partCount = 64
)

// Part is some organisations of a bundle, stored under the digest of its content.
type Part struct {
	// Digest is that of Body.
	Digest string
	// Body is the organisations in JSON.
	Body []byte
}

// MissingPartError says that a part of a bundle is not there, or not what its digest says.
type MissingPartError struct{ Digest string }

// Error names the part.
func (mp *MissingPartError) Error() string { return "bundle part " + mp.Digest + " is missing" }

// Split returns the bundle without its organisations, and these in parts, when there are many. A change of one
// organisation changes one part only, so that the others need not be read again.
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

// Join returns the whole bundle of an index. part returns the body of a part.
func (bd Bundle) Join(part func(digest string) ([]byte, error)) (Bundle, error) {
	whole := bd
	whole.Parts = nil
	for _, d := range bd.Parts {
		body, err := part(d)
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
