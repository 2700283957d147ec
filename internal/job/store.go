package job

import (
	"bytes"
	"compress/gzip"
	"context"
	"encoding/json"
	"strconv"
	"time"

	"github.com/cockroachdb/errors"

	"github.com/silvermount/silvermount/internal/boundedread"
	"github.com/silvermount/silvermount/internal/objectstore"
)

const (
	// maxPartBytes keeps a part below the store's maximum size of values after it is encoded as base64.
	maxPartBytes = 700 << 10
	// maxUncompressedBytes bounds what the parts of a body or a result are uncompressed to.
	maxUncompressedBytes = 64 << 20
	retryInterval        = 50 * time.Millisecond
	// partsKind is the kind of the objects that hold the parts of bodies and answers.
	partsKind = "jobparts"
)

// PartCorruptError is returned for a job whose body or answer cannot be read from its stored parts.
type PartCorruptError struct{ Part string }

// Error includes the name of the part.
func (pe *PartCorruptError) Error() string { return "part " + pe.Part + " is corrupt" }

// Store reads and writes jobs in the platform's store.
type Store struct {
	client *objectstore.Client
}

// NewStore returns a Store that uses the client.
func NewStore(client *objectstore.Client) *Store { return &Store{client: client} }

// Versioned is a record with the version of its object in the store.
type Versioned struct {
	Record
	Version int64
}

// Add stores a new job: first the body, then the record. It returns once the store has both.
func (sr *Store) Add(ctx context.Context, rc Record, body []byte) (Versioned, error) {
	parts, err := sr.putParts(ctx, rc.ID+".in.", body)
	if err != nil {
		return Versioned{}, err
	}
	rc.Parts = parts
	version, err := sr.create(ctx, objectstore.KindJobs, rc.ID, rc)
	return Versioned{Record: rc, Version: version}, err
}

// create retries a create until it is known to have taken effect. Only this caller uses the name, so a conflict means that an
// earlier try took effect whose answer was lost.
func (sr *Store) create(ctx context.Context, kind, name string, value any) (int64, error) {
	for {
		version, err := sr.client.Create(ctx, kind, name, value)
		var conflict *objectstore.ConflictError
		switch {
		case err == nil:
			return version, nil
		case errors.As(err, &conflict):
			o, gerr := sr.client.Get(ctx, kind, name)
			if gerr == nil {
				return o.Version, nil
			}
		}
		select {
		case <-time.After(retryInterval):
		case <-ctx.Done():
			return 0, errors.Wrap(err, "create "+kind)
		}
	}
}

// Update replaces the record. If the answer of the store is lost, it reads the object back to find out whether the write took
// effect, and retries if it did not. A record that another instance has changed meanwhile results in a ConflictError.
func (sr *Store) Update(ctx context.Context, v Versioned, next Record) (Versioned, error) {
	for {
		version, err := sr.client.Update(ctx, objectstore.KindJobs, v.ID, v.Version, next)
		if err == nil {
			return Versioned{Record: next, Version: version}, nil
		}
		var unknown *objectstore.UnknownOutcomeError
		var unavailable *objectstore.UnavailableError
		if !errors.As(err, &unknown) && !errors.As(err, &unavailable) {
			return v, err
		}
		if stored, gerr := sr.Get(ctx, v.ID); gerr == nil && stored.Version != v.Version {
			if sameEncoding(stored.Record, next) {
				return stored, nil
			}
			return v, &objectstore.ConflictError{Kind: objectstore.KindJobs, Name: v.ID}
		}
		select {
		case <-time.After(retryInterval):
		case <-ctx.Done():
			return v, err
		}
	}
}

// sameEncoding reports whether two records have the same JSON encoding.
func sameEncoding(a, b Record) bool {
	x, xerr := json.Marshal(a)
	y, yerr := json.Marshal(b)
	return xerr == nil && yerr == nil && bytes.Equal(x, y)
}

// Get reads the record of a job.
func (sr *Store) Get(ctx context.Context, id string) (Versioned, error) {
	o, err := sr.client.Get(ctx, objectstore.KindJobs, id)
	if err != nil {
		return Versioned{}, err
	}
	return Decode(o)
}

// Decode decodes the record in an object of the store.
func Decode(o objectstore.Object) (Versioned, error) {
	v := Versioned{Version: o.Version}
	return v, errors.Wrap(json.Unmarshal(o.Value, &v.Record), "decode job")
}

// List reads the records of all jobs. It skips those that it cannot decode.
func (sr *Store) List(ctx context.Context) ([]Versioned, error) {
	l, err := sr.client.List(ctx, objectstore.KindJobs)
	if err != nil {
		return nil, err
	}
	var all []Versioned
	for _, o := range l.Items {
		if v, err := Decode(o); err == nil {
			all = append(all, v)
		}
	}
	return all, nil
}

// Body reads the request body of a job from its parts.
func (sr *Store) Body(ctx context.Context, rc Record) ([]byte, error) {
	return sr.getParts(ctx, rc.ID+".in.", rc.Parts)
}

// Answer reads the body of the answer of a job in the state Done.
func (sr *Store) Answer(ctx context.Context, rc Record) ([]byte, error) {
	return sr.getParts(ctx, rc.ID+".out.", rc.Result.Parts)
}

// PutAnswer stores the body of an answer and returns the number of its parts.
func (sr *Store) PutAnswer(ctx context.Context, rc Record, body []byte) (int, error) {
	return sr.putParts(ctx, rc.ID+".out.", body)
}

// Remove deletes a job: first its parts, then the record.
func (sr *Store) Remove(ctx context.Context, v Versioned) error {
	for i := range v.Parts {
		sr.removePart(ctx, v.ID+".in."+strconv.Itoa(i))
	}
	if v.Result != nil {
		for i := range v.Result.Parts {
			sr.removePart(ctx, v.ID+".out."+strconv.Itoa(i))
		}
	}
	return sr.client.Delete(ctx, objectstore.KindJobs, v.ID, v.Version)
}

// removePart deletes a part. It ignores errors: while the record remains, the next Remove of the job tries again.
func (sr *Store) removePart(ctx context.Context, name string) {
	if o, err := sr.client.Get(ctx, partsKind, name); err == nil {
		_ = sr.client.Delete(ctx, partsKind, name, o.Version)
	}
}

// part is the stored object of one part.
type part struct {
	Data []byte `json:"data"`
}

// putParts compresses the body, stores it in parts named by the prefix and a number, and returns the number of parts.
func (sr *Store) putParts(ctx context.Context, prefix string, body []byte) (int, error) {
	var buf bytes.Buffer
	zw := gzip.NewWriter(&buf)
	if _, err := zw.Write(body); err != nil {
		return 0, errors.Wrap(err, "compress")
	}
	if err := zw.Close(); err != nil {
		return 0, errors.Wrap(err, "compress")
	}
	n := 0
	for chunk := range splitParts(buf.Bytes()) {
		if _, err := sr.create(ctx, partsKind, prefix+strconv.Itoa(n), part{Data: chunk}); err != nil {
			return 0, err
		}
		n++
	}
	return n, nil
}

// splitParts yields slices of b of at most maxPartBytes.
func splitParts(b []byte) func(yield func([]byte) bool) {
	return func(yield func([]byte) bool) {
		for len(b) > 0 {
			n := min(maxPartBytes, len(b))
			if !yield(b[:n]) {
				return
			}
			b = b[n:]
		}
	}
}

// getParts reads and uncompresses the body that putParts stored in n parts.
func (sr *Store) getParts(ctx context.Context, prefix string, n int) ([]byte, error) {
	var buf bytes.Buffer
	for i := range n {
		name := prefix + strconv.Itoa(i)
		o, err := sr.client.Get(ctx, partsKind, name)
		if err != nil {
			return nil, err
		}
		var p part
		if err := json.Unmarshal(o.Value, &p); err != nil {
			return nil, &PartCorruptError{Part: name}
		}
		buf.Write(p.Data)
	}
	zr, err := gzip.NewReader(&buf)
	if err != nil {
		return nil, &PartCorruptError{Part: prefix + "0"}
	}
	b, err := boundedread.All(zr, maxUncompressedBytes)
	return b, errors.Wrap(err, "uncompress")
}
