// Package signoff pushes bundles to the store and accepts them.
package signoff

import (
	"context"
	"encoding/json"
	"fmt"
	"slices"
	"time"

	"github.com/cockroachdb/errors"

	"github.com/silvermount/silvermount/internal/bundle"
	"github.com/silvermount/silvermount/internal/bundlestore"
	"github.com/silvermount/silvermount/internal/objectstore"
	"github.com/silvermount/silvermount/internal/rollout"
)

const retryEvery = 100 * time.Millisecond

// RaceError says that another operator's bundle was accepted first.
type RaceError struct {
	// Winner is the version in force, Digest that of its content.
	Winner int64
	Digest string
}

// Error names the winner.
func (re *RaceError) Error() string {
	return fmt.Sprintf("version %d (%.12s) was accepted first; push again on top of it", re.Winner, re.Digest)
}

// Office accepts bundles for operators.
type Office struct {
	store   *objectstore.Client
	bundles *bundlestore.Store
}

// New returns an office on the store.
func New(store *objectstore.Client) *Office {
	return &Office{store: store, bundles: bundlestore.New(store)}
}

// current returns the accepted pointer; a zero pointer before the first bundle.
func (of *Office) current(ctx context.Context) (rollout.Pointer, int64, error) {
	o, err := of.store.Get(ctx, objectstore.KindPointers, rollout.PointerName)
	var missing *objectstore.NotFoundError
	if errors.As(err, &missing) {
		return rollout.Pointer{}, 0, nil
	}
	if err != nil {
		return rollout.Pointer{}, 0, errors.Wrap(err, "read pointer")
	}
	var p rollout.Pointer
	return p, o.Version, errors.Wrap(json.Unmarshal(o.Value, &p), "decode pointer")
}

// Accepted returns the bundle that is accepted now; a zero bundle before the first.
func (of *Office) Accepted(ctx context.Context) (bundle.Bundle, error) {
	p, _, err := of.current(ctx)
	if err != nil || p.Version == 0 {
		return bundle.Bundle{}, err
	}
	return of.Pushed(ctx, p.Version)
}

// Pushed returns a pushed bundle.
func (of *Office) Pushed(ctx context.Context, version int64) (bundle.Bundle, error) {
	return of.bundles.Get(ctx, version)
}

// Push writes a bundle under the first free version after the accepted one. The same content pushed again after a lost
// answer is the same push. Nothing is in force by a push alone.
func (of *Office) Push(ctx context.Context, b bundle.Bundle) (int64, error) {
	digest, err := b.Digest()
	if err != nil {
		return 0, err
	}
	p, _, err := of.current(ctx)
	if err != nil {
		return 0, err
	}
	for version := p.Version + 1; ; {
		err := of.bundles.Create(ctx, b.WithVersion(version, p.Version))
		if err == nil {
			return version, nil
		}
		var conflict *objectstore.ConflictError
		var unknown *objectstore.UnknownOutcomeError
		if !errors.As(err, &conflict) && !errors.As(err, &unknown) {
			return 0, errors.Wrap(err, "write bundle")
		}
		there, gerr := of.Pushed(ctx, version)
		if gerr != nil {
			if werr := wait(ctx); werr != nil {
				return 0, errors.Wrap(err, "write bundle")
			}
			continue
		}
		if d, derr := there.Digest(); derr == nil && d == digest {
			return version, nil
		}
		version++
	}
}

// Sign accepts a pushed bundle by one conditional write. A lost answer is settled by reading the pointer back; the same
// sign-off again is the same sign-off.
func (of *Office) Sign(ctx context.Context, version int64) error {
	b, err := of.Pushed(ctx, version)
	if err != nil {
		return err
	}
	digest, err := b.Digest()
	if err != nil {
		return err
	}
	want := rollout.Pointer{Version: version, Digest: digest}
	for {
		now, at, err := of.current(ctx)
		if err != nil {
			return err
		}
		if now == want {
			return nil
		}
		if now.Version != b.Base {
			return &RaceError{Winner: now.Version, Digest: now.Digest}
		}
		if err := of.move(ctx, at, want); err == nil {
			return nil
		}
		if err := wait(ctx); err != nil {
			return errors.Wrap(err, "accept bundle")
		}
	}
}

func (of *Office) move(ctx context.Context, at int64, p rollout.Pointer) error {
	if at == 0 {
		_, err := of.store.Create(ctx, objectstore.KindPointers, rollout.PointerName, p)
		return err
	}
	_, err := of.store.Update(ctx, objectstore.KindPointers, rollout.PointerName, at, p)
	return err
}

func wait(ctx context.Context) error {
	select {
	case <-time.After(retryEvery):
		return nil
	case <-ctx.Done():
		return ctx.Err()
	}
}

// Diff returns a line for each part that differs between two bundles.
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
		was, ok := find(old, name(v))
		switch {
		case !ok:
			lines = append(lines, "+ "+kind+" "+name(v)+" "+text(v))
		case text(was) != text(v):
			lines = append(lines, "- "+kind+" "+name(v)+" "+text(was), "+ "+kind+" "+name(v)+" "+text(v))
		}
	}
	for _, v := range old {
		if _, ok := find(next, name(v)); !ok {
			lines = append(lines, "- "+kind+" "+name(v)+" "+text(v))
		}
	}
	return lines
}

func text(v any) string {
	b, err := json.Marshal(v)
	if err != nil {
		return err.Error()
	}
	return string(b)
}
