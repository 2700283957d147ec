// Package bundlestore reads and writes bundles in the store of the platform. Large bundles are split into parts.
package bundlestore

import (
	"context"
	"encoding/json"
	"strconv"
	"sync"

	"github.com/cockroachdb/errors"

	"github.com/silvermount/silvermount/internal/bundle"
	"github.com/silvermount/silvermount/internal/objectstore"
)

// kindParts is the object kind of the parts of large bundles. Their names are their digests.
const kindParts = "bundleparts"

// Store reads and writes bundles. It is safe for concurrent use.
type Store struct {
	client *objectstore.Client

	mu sync.Mutex
	// cachedParts holds the parts of the last bundle read, by digest.
	cachedParts map[string][]byte
}

// New returns a Store that uses the client.
func New(client *objectstore.Client) *Store {
	return &Store{client: client, cachedParts: map[string][]byte{}}
}

// partObject is the stored form of a part.
type partObject struct {
	Body []byte `json:"body"`
}

// Create writes a bundle under its version: first its parts, then the index that lists them. An objectstore.ConflictError means that
// the version already exists.
func (sr *Store) Create(ctx context.Context, b bundle.Bundle) error {
	index, parts, err := b.Split()
	if err != nil {
		return err
	}
	for _, p := range parts {
		if err := sr.createPart(ctx, p); err != nil {
			return errors.Wrap(err, "write part")
		}
	}
	_, err = sr.client.Create(ctx, objectstore.KindBundles, strconv.FormatInt(b.Version, 10), index)
	return err
}

// createPart writes a part unless it exists. Its name is the digest of its content, so that a conflict means that the same part exists.
func (sr *Store) createPart(ctx context.Context, p bundle.Part) error {
	sr.mu.Lock()
	_, known := sr.cachedParts[p.Digest]
	sr.mu.Unlock()
	if known {
		return nil
	}
	_, err := sr.client.Create(ctx, kindParts, p.Digest, partObject{Body: p.Body})
	var conflict *objectstore.ConflictError
	if errors.As(err, &conflict) {
		return nil
	}
	return err
}

// Get reads a bundle. It does not read parts again that the previously read bundle also had.
func (sr *Store) Get(ctx context.Context, version int64) (bundle.Bundle, error) {
	o, err := sr.client.Get(ctx, objectstore.KindBundles, strconv.FormatInt(version, 10))
	if err != nil {
		return bundle.Bundle{}, errors.Wrap(err, "read bundle")
	}
	index, err := bundle.Parse(o.Value)
	if err != nil {
		return bundle.Bundle{}, err
	}
	used := map[string][]byte{}
	whole, err := index.Join(func(digest string) ([]byte, error) {
		body, partErr := sr.readPart(ctx, digest)
		used[digest] = body
		return body, partErr
	})
	if err != nil {
		return bundle.Bundle{}, err
	}
	sr.mu.Lock()
	sr.cachedParts = used
	sr.mu.Unlock()
	return whole, nil
}

func (sr *Store) readPart(ctx context.Context, digest string) ([]byte, error) {
	sr.mu.Lock()
	body, ok := sr.cachedParts[digest]
	sr.mu.Unlock()
	if ok {
		return body, nil
	}
	o, err := sr.client.Get(ctx, kindParts, digest)
	if err != nil {
		return nil, errors.Wrap(err, "read part")
	}
	var p partObject
	return p.Body, errors.Wrap(json.Unmarshal(o.Value, &p), "decode part")
}
