// Package signoff implements how operators push bundles to the store and accept one of them for the fleet.
package signoff

import (
	"context"
	"encoding/json"
	"fmt"
	"slices"
	"time"

	"github.com/cockroachdb/errors"

	"github.com/silvermount/silvermount/internal/bundle"
	"github.com/silvermount/silvermount/internal/bundlestate"
	"github.com/silvermount/silvermount/internal/bundlestore"
	"github.com/silvermount/silvermount/internal/objectstore"
)

// retryInterval is the time between two attempts of a call with an unknown or failed result.
const retryInterval = 100 * time.Millisecond

// RaceError means that another bundle was accepted since the bundle was pushed.
type RaceError struct {
	// AcceptedVersion is the version that is accepted now, Digest the digest of its content.
	AcceptedVersion int64
	Digest          string
}

// Error includes the accepted version.
func (re *RaceError) Error() string {
	return fmt.Sprintf("version %d (%.12s) was accepted first; push again on top of it", re.AcceptedVersion, re.Digest)
}

// Client pushes and accepts bundles on behalf of an operator.
type Client struct {
	store   *objectstore.Client
	bundles *bundlestore.Store
}

// New returns a Client that uses the store.
func New(store *objectstore.Client) *Client {
	return &Client{store: store, bundles: bundlestore.New(store)}
}

// acceptedPointer returns the pointer to the accepted bundle and its object version in the store. Both are zero before the first bundle
// is accepted.
func (cl *Client) acceptedPointer(ctx context.Context) (bundlestate.Pointer, int64, error) {
	o, err := cl.store.Get(ctx, objectstore.KindPointers, bundlestate.PointerName)
	var missing *objectstore.NotFoundError
	if errors.As(err, &missing) {
		return bundlestate.Pointer{}, 0, nil
	}
	if err != nil {
		return bundlestate.Pointer{}, 0, errors.Wrap(err, "read pointer")
	}
	var p bundlestate.Pointer
	return p, o.Version, errors.Wrap(json.Unmarshal(o.Value, &p), "decode pointer")
}

// Accepted returns the accepted bundle, or a zero Bundle before the first is accepted.
func (cl *Client) Accepted(ctx context.Context) (bundle.Bundle, error) {
	p, _, err := cl.acceptedPointer(ctx)
	if err != nil || p.Version == 0 {
		return bundle.Bundle{}, err
	}
	return cl.Pushed(ctx, p.Version)
}

// Pushed returns a bundle that was pushed, accepted or not.
func (cl *Client) Pushed(ctx context.Context, version int64) (bundle.Bundle, error) {
	return cl.bundles.Get(ctx, version)
}

// Push writes a bundle under the first free version after the accepted one. If a version after the accepted one already has the same
// content, for instance because the response to an earlier push was lost, Push returns that version with its earlier base. A pushed
// bundle is not in force until it is accepted.
func (cl *Client) Push(ctx context.Context, b bundle.Bundle) (int64, error) {
	digest, err := b.Digest()
	if err != nil {
		return 0, err
	}
	p, _, err := cl.acceptedPointer(ctx)
	if err != nil {
		return 0, err
	}
	for version := p.Version + 1; ; {
		err := cl.bundles.Create(ctx, b.WithVersion(version, p.Version))
		if err == nil {
			return version, nil
		}
		var conflict *objectstore.ConflictError
		var unknown *objectstore.UnknownOutcomeError
		if !errors.As(err, &conflict) && !errors.As(err, &unknown) {
			return 0, errors.Wrap(err, "write bundle")
		}
		existing, readErr := cl.Pushed(ctx, version)
		if readErr != nil {
			if waitErr := waitRetry(ctx); waitErr != nil {
				return 0, errors.Wrap(err, "write bundle")
			}
			continue
		}
		if d, digestErr := existing.Digest(); digestErr == nil && d == digest {
			return version, nil
		}
		version++
	}
}

// Accept accepts a pushed bundle by one conditional write of the pointer. If the response is lost, it reads the pointer to learn the
// result. Accepting the same bundle again has no effect.
func (cl *Client) Accept(ctx context.Context, version int64) error {
	b, err := cl.Pushed(ctx, version)
	if err != nil {
		return err
	}
	digest, err := b.Digest()
	if err != nil {
		return err
	}
	want := bundlestate.Pointer{Version: version, Digest: digest}
	for {
		accepted, objectVersion, err := cl.acceptedPointer(ctx)
		if err != nil {
			return err
		}
		if accepted == want {
			return nil
		}
		if accepted.Version != b.Base {
			return &RaceError{AcceptedVersion: accepted.Version, Digest: accepted.Digest}
		}
		if err := cl.writePointer(ctx, objectVersion, want); err == nil {
			return nil
		}
		if err := waitRetry(ctx); err != nil {
			return errors.Wrap(err, "accept bundle")
		}
	}
}

// writePointer creates the pointer if objectVersion is zero, and otherwise updates it if it still has that version.
func (cl *Client) writePointer(ctx context.Context, objectVersion int64, p bundlestate.Pointer) error {
	if objectVersion == 0 {
		_, err := cl.store.Create(ctx, objectstore.KindPointers, bundlestate.PointerName, p)
		return err
	}
	_, err := cl.store.Update(ctx, objectstore.KindPointers, bundlestate.PointerName, objectVersion, p)
	return err
}

func waitRetry(ctx context.Context) error {
	select {
	case <-time.After(retryInterval):
		return nil
	case <-ctx.Done():
		return ctx.Err()
	}
}

// Diff returns the differences between two bundles: a line beginning with - for each removed entry and with + for each added one. A
// changed entry has both.
func Diff(old, next bundle.Bundle) []string {
	var lines []string
	lines = append(lines, diff("organisation", old.Organisations, next.Organisations, func(o bundle.Organisation) string { return o.Name })...)
	lines = append(lines, diff("class", old.Classes, next.Classes, func(c bundle.Class) string { return c.Name })...)
	lines = append(lines, diff("model", old.Models, next.Models, func(m bundle.Model) string { return m.Name })...)
	return append(lines, diff("service", old.Services, next.Services, func(s string) string { return s })...)
}

func diff[T any](kind string, old, next []T, name func(T) string) []string {
	var lines []string
	find := func(all []T, n string) (T, bool) {
		i := slices.IndexFunc(all, func(v T) bool { return name(v) == n })
		if i < 0 {
			var zero T
			return zero, false
		}
		return all[i], true
	}
	for _, v := range next {
		previous, ok := find(old, name(v))
		switch {
		case !ok:
			lines = append(lines, "+ "+kind+" "+name(v)+" "+jsonText(v))
		case jsonText(previous) != jsonText(v):
			lines = append(lines, "- "+kind+" "+name(v)+" "+jsonText(previous), "+ "+kind+" "+name(v)+" "+jsonText(v))
		}
	}
	for _, v := range old {
		if _, ok := find(next, name(v)); !ok {
			lines = append(lines, "- "+kind+" "+name(v)+" "+jsonText(v))
		}
	}
	return lines
}

func jsonText(v any) string {
	b, err := json.Marshal(v)
	if err != nil {
		return err.Error()
	}
	return string(b)
}
