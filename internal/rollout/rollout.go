// Package rollout holds the bundle in force at one instance. Its version never goes back.
package rollout

import (
	"slices"
	"sync"
	"sync/atomic"

	"github.com/silvermount/silvermount/internal/bundle"
)

// Pointer is the object whose conditional update accepts a bundle.
type Pointer struct {
	// Version is the accepted bundle's version.
	Version int64 `json:"version"`
	// Digest is that of its content.
	Digest string `json:"digest"`
}

// PointerName is the name of the pointer object.
const PointerName = "bundle"

// InForce is a bundle with its index. It is immutable.
type IndexedBundle struct {
	bundle.Bundle
	byKeyDigest map[string]bundle.Organisation
}

// Organisation returns who a bearer key belongs to.
func (ib *IndexedBundle) OrganisationByKey(key string) (bundle.Organisation, bool) {
	o, ok := ib.byKeyDigest[bundle.KeyDigest(key)]
	return o, ok
}

// OrganisationNamed returns an organisation by its name.
func (ib *IndexedBundle) OrganisationByName(name string) (bundle.Organisation, bool) {
	i := slices.IndexFunc(ib.Organisations, func(o bundle.Organisation) bool { return o.Name == name })
	if i < 0 {
		return bundle.Organisation{}, false
	}
	return ib.Organisations[i], true
}

// MayUse reports whether an organisation may use a model.
func (ib *IndexedBundle) MayUse(o bundle.Organisation, model string) bool {
	return len(o.Models) == 0 || slices.Contains(o.Models, model)
}

// Holder is safe for use by any goroutine.
type Holder struct {
	current atomic.Pointer[IndexedBundle]
	mu      sync.Mutex
	// floor is the highest accepted version heard of from anyone; it never falls.
	newestAccepted int64
	changed        chan struct{}
}

// New returns a holder without a bundle.
func New() *Holder { return &Holder{changed: make(chan struct{})} }

// Current returns the bundle in force, or nil before the first.
func (hd *Holder) Current() *IndexedBundle { return hd.current.Load() }

// Version returns the version in force; zero before the first.
func (hd *Holder) Version() int64 {
	if c := hd.current.Load(); c != nil {
		return c.Version
	}
	return 0
}

// Hear raises the floor to an accepted version that somebody named.
func (hd *Holder) ObserveAccepted(version int64) {
	hd.mu.Lock()
	defer hd.mu.Unlock()
	if version > hd.newestAccepted {
		hd.newestAccepted = version
		close(hd.changed)
		hd.changed = make(chan struct{})
	}
}

// Behind returns the version to fetch, or zero when the bundle in force is the newest heard of.
func (hd *Holder) PendingVersion() int64 {
	hd.mu.Lock()
	defer hd.mu.Unlock()
	if hd.newestAccepted > hd.Version() {
		return hd.newestAccepted
	}
	return 0
}

// Changed returns a channel that is closed when the floor rises.
func (hd *Holder) Changed() <-chan struct{} {
	hd.mu.Lock()
	defer hd.mu.Unlock()
	return hd.changed
}

// Apply puts an accepted bundle in force, unless the one in force is as new. It reports whether it did.
func (hd *Holder) Apply(b bundle.Bundle) bool {
	hd.mu.Lock()
	defer hd.mu.Unlock()
	if b.Version <= hd.Version() {
		return false
	}
	hd.newestAccepted = max(hd.newestAccepted, b.Version)
	inf := &IndexedBundle{Bundle: b, byKeyDigest: map[string]bundle.Organisation{}}
	for _, o := range b.Organisations {
		for _, d := range o.KeyDigests {
			inf.byKeyDigest[d] = o
		}
	}
	hd.current.Store(inf)
	return true
}
