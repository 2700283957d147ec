// Package bundlestate tracks the bundle in force at one instance and the newest accepted version known. The version in force never
// decreases.
package bundlestate

import (
	"slices"
	"sync"
	"sync/atomic"

	"github.com/silvermount/silvermount/internal/bundle"
)

// Pointer is the object in the store that names the accepted bundle. A bundle is accepted by a conditional update of it.
type Pointer struct {
	// Version is the version of the accepted bundle.
	Version int64 `json:"version"`
	// Digest is the digest of its content.
	Digest string `json:"digest"`
}

// PointerName is the name of the Pointer object in the store.
const PointerName = "bundle"

// IndexedBundle is a bundle with an index of its keys. It is immutable.
type IndexedBundle struct {
	bundle.Bundle
	// byKeyDigest holds the organisations by the digests of their keys.
	byKeyDigest map[string]bundle.Organisation
}

// OrganisationByKey returns the organisation that owns a bearer key.
func (ib *IndexedBundle) OrganisationByKey(key string) (bundle.Organisation, bool) {
	o, ok := ib.byKeyDigest[bundle.KeyDigest(key)]
	return o, ok
}

// OrganisationByName returns the organisation with a name.
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

// Holder holds the bundle in force and the newest accepted version known. It is safe for concurrent use.
type Holder struct {
	current atomic.Pointer[IndexedBundle]
	mu      sync.Mutex
	// newestAccepted is the highest accepted version known, from any source. It never decreases.
	newestAccepted int64
	// changed is closed and replaced when ObserveAccepted raises newestAccepted.
	changed chan struct{}
}

// New returns a Holder without a bundle.
func New() *Holder { return &Holder{changed: make(chan struct{})} }

// Current returns the bundle in force, or nil if there is none yet.
func (hd *Holder) Current() *IndexedBundle { return hd.current.Load() }

// Version returns the version in force, or zero if there is none yet.
func (hd *Holder) Version() int64 {
	if c := hd.current.Load(); c != nil {
		return c.Version
	}
	return 0
}

// ObserveAccepted records that a version is accepted, as learned from the store or a peer.
func (hd *Holder) ObserveAccepted(version int64) {
	hd.mu.Lock()
	defer hd.mu.Unlock()
	if version > hd.newestAccepted {
		hd.newestAccepted = version
		close(hd.changed)
		hd.changed = make(chan struct{})
	}
}

// PendingVersion returns the version to fetch, or zero if the bundle in force is the newest one known.
func (hd *Holder) PendingVersion() int64 {
	hd.mu.Lock()
	defer hd.mu.Unlock()
	if hd.newestAccepted > hd.Version() {
		return hd.newestAccepted
	}
	return 0
}

// Changed returns a channel that is closed when a newer accepted version is observed.
func (hd *Holder) Changed() <-chan struct{} {
	hd.mu.Lock()
	defer hd.mu.Unlock()
	return hd.changed
}

// Apply puts an accepted bundle in force, unless its version is not newer than the one in force. It reports whether it did.
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
