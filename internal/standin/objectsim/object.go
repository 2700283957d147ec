package objectsim

import (
	"bytes"
	"encoding/json"
	"slices"

	"github.com/cockroachdb/errors"
)

// Metadata is the metadata that the store keeps with an object.
type Metadata struct {
	Name string `json:"name"`
	// Revision is the revision of the last change, and CreateRevision of the first one. In a call, a Revision of zero sets
	// no condition.
	Revision       int64    `json:"revision"`
	CreateRevision int64    `json:"made"`
	Finalizers     []string `json:"finalizers"`
	// Deleting is set once the object is to be removed as soon as its last finalizer is removed.
	Deleting bool `json:"deleting"`
}

// Object is one object; it is immutable once stored.
type Object struct {
	Metadata Metadata        `json:"metadata"`
	Spec     json.RawMessage `json:"spec"`
	Status   json.RawMessage `json:"status"`
}

// Event reports one change of an object.
type Event struct {
	// Deleted is set when the object was removed; Object is then its last state.
	Deleted bool   `json:"gone"`
	Object  Object `json:"object"`
}

// sameState reports whether two states of an object differ in nothing but their revision.
func (ob Object) sameState(other Object) bool {
	return bytes.Equal(ob.Spec, other.Spec) && bytes.Equal(ob.Status, other.Status) &&
		slices.Equal(ob.Metadata.Finalizers, other.Metadata.Finalizers) &&
		ob.Metadata.Deleting == other.Metadata.Deleting
}

// canonical returns JSON with sorted keys and without white space, so that equal values have equal bytes.
func canonical(raw []byte) (json.RawMessage, error) {
	if len(bytes.TrimSpace(raw)) == 0 {
		return json.RawMessage("null"), nil
	}
	dec := json.NewDecoder(bytes.NewReader(raw))
	dec.UseNumber()
	var v any
	if err := dec.Decode(&v); err != nil {
		return nil, errors.Wrap(err, "decode a JSON value")
	}
	out, err := json.Marshal(v)
	return out, errors.Wrap(err, "encode a JSON value")
}
