package job

import (
	"bytes"
	"compress/gzip"
	"context"
	"encoding/json"
	"io"
	"strconv"
	"time"

	"github.com/cockroachdb/errors"

	"github.com/silvermount/silvermount/internal/objectstore"
)

const (
	// partBytes keeps a part below the store's bound on values after it is encoded as base64.
	maxPartBytes  = 700 << 10
	retryInterval = 50 * time.Millisecond
	// kindParts holds bodies and answers.
	partsKind = "jobparts"
)

// LostError says that a part of a job's body or answer is not in the store.
type PartLostError struct{ Part string }

// Error names the part.
func (le *PartLostError) Error() string { return "part " + le.Part + " is lost" }

// Store keeps jobs in the platform's store.
type Store struct {
	client *objectstore.Client
}

// NewStore returns a store of jobs.
func NewStore(client *objectstore.Client) *Store { return &Store{client: client} }

// Versioned is a record with the version of its object.
type Versioned struct {
	Record
	Version int64
}

// Add accepts a job: first the body, then the record. It returns once the store has both.
func (sr *Store) Add(ctx context.Context, rc Record, body []byte) (Versioned, error) {
	parts, err := sr.putParts(ctx, rc.ID+".in.", body)
	if err != nil {
		return Versioned{}, err
	}
	rc.Parts = parts
	version, err := sr.create(ctx, objectstore.KindJobs, rc.ID, rc)
	return Versioned{Record: rc, Version: version}, err
}

// create repeats a create until it is known to have taken effect. The name belongs to this caller alone, so that a
// conflict means that an earlier try with a lost answer took effect.
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

// Update replaces the record. After a lost answer the object is read back: it is settled whether the write took effect.
func (sr *Store) Update(ctx context.Context, v Versioned, next Record) (Versioned, error) {
	for {
		version, err := sr.client.Update(ctx, objectstore.KindJobs, v.ID, v.Version, next)
		if err == nil {
			return Versioned{Record: next, Version: version}, nil
		}
		var unknown *objectstore.UnknownError
		var away *objectstore.UnavailableError
		if !errors.As(err, &unknown) && !errors.As(err, &away) {
			return v, err
		}
		if now, gerr := sr.Get(ctx, v.ID); gerr == nil && now.Version != v.Version {
			if sameEncoding(now.Record, next) {
				return now, nil
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

func sameEncoding(a, b Record) bool {
	x, xerr := json.Marshal(a)
	y, yerr := json.Marshal(b)
	return xerr == nil && yerr == nil && bytes.Equal(x, y)
}

// Get reads a record.
func (sr *Store) Get(ctx context.Context, id string) (Versioned, error) {
	o, err := sr.client.Get(ctx, objectstore.KindJobs, id)
	if err != nil {
		return Versioned{}, err
	}
	return Decode(o)
}

// Decode reads the record in an object.
func Decode(o objectstore.Object) (Versioned, error) {
	v := Versioned{Version: o.Version}
	return v, errors.Wrap(json.Unmarshal(o.Value, &v.Record), "decode job")
}

// List reads all records.
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

// Body reads the body of a job.
func (sr *Store) Body(ctx context.Context, rc Record) ([]byte, error) {
	return sr.getParts(ctx, rc.ID+".in.", rc.Parts)
}

// Answer reads the answer of a job that is done.
func (sr *Store) Answer(ctx context.Context, rc Record) ([]byte, error) {
	return sr.getParts(ctx, rc.ID+".out.", rc.Result.Parts)
}

// PutAnswer stores an answer and returns the number of its parts.
func (sr *Store) PutAnswer(ctx context.Context, rc Record, body []byte) (int, error) {
	return sr.putParts(ctx, rc.ID+".out.", body)
}

// Remove deletes a job with all its parts.
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

// removePart deletes a part; one that stays is deleted with the job's next removal.
func (sr *Store) removePart(ctx context.Context, name string) {
	if o, err := sr.client.Get(ctx, partsKind, name); err == nil {
		_ = sr.client.Delete(ctx, partsKind, name, o.Version)
	}
}

type part struct {
	Data []byte `json:"data"`
}

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
			return nil, &PartLostError{Part: name}
		}
		buf.Write(p.Data)
	}
	zr, err := gzip.NewReader(&buf)
	if err != nil {
		return nil, &PartLostError{Part: prefix + "0"}
	}
	b, err := io.ReadAll(zr)
	return b, errors.Wrap(err, "uncompress")
}
