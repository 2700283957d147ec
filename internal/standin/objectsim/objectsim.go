// Package objectsim is a stand-in for the users' metadata store. Callers reach it through endpoints, each of which can be
// down, slow or lossy by itself, so that a test can fail the calls of some callers and serve the others.
package objectsim

import (
	"encoding/json"
	"net/http"

	"github.com/cockroachdb/errors"
)

// defaultPageSize is the maximum number of entries that the protocol allows in one list.
const defaultPageSize = 500

// Settings are the settings of a store.
type Settings struct {
	// PageSize is the maximum number of entries in one list.
	PageSize int
}

// Option changes the settings.
type Option func(*Settings)

// WithPageSize sets the maximum number of entries in one list.
func WithPageSize(n int) Option { return func(se *Settings) { se.PageSize = n } }

// Sim is the stand-in store, together with its first endpoint.
type Sim struct {
	*Endpoint
	settings Settings
	store    *store
}

// Start starts a store on a free port of the loopback address.
func Start(opts ...Option) (*Sim, error) {
	se := Settings{PageSize: defaultPageSize}
	for _, opt := range opts {
		opt(&se)
	}
	sm := &Sim{settings: se, store: newStore()}
	ep, err := sm.OpenEndpoint()
	sm.Endpoint = ep
	return sm, err
}

// OpenEndpoint opens another endpoint of the same store, with faults of its own. The caller must close it.
func (sm *Sim) OpenEndpoint() (*Endpoint, error) { return openEndpoint(sm.store, sm.settings.PageSize) }

// PutSpec creates an object or replaces its spec, and returns its revision. No faults are injected.
func (sm *Sim) PutSpec(kind, name string, spec any) (int64, error) {
	raw, err := json.Marshal(spec)
	if err != nil {
		return 0, errors.Wrapf(err, "encode the spec of %s/%s", kind, name)
	}
	raw, err = canonical(raw)
	if err != nil {
		return 0, err
	}
	return sm.store.put(key{kind, name}, Object{Spec: raw, Status: json.RawMessage("null")}), nil
}

// Remove removes an object, or marks it as deleting while it has finalizers. It reports whether the object existed.
func (sm *Sim) Remove(kind, name string) bool {
	return sm.store.remove(key{kind, name}, 0).status == http.StatusOK
}

// Get returns an object, and reports false when there is none.
func (sm *Sim) Get(kind, name string) (Object, bool) { return sm.store.get(key{kind, name}, false) }

// Objects returns the objects of a kind, sorted by name.
func (sm *Sim) Objects(kind string) []Object {
	const all = -1 // no page has this length, so the list is not split into pages
	return sm.store.list(kind, "", all, false).Entries
}

// Revision returns the revision of the last change.
func (sm *Sim) Revision() int64 { return sm.store.currentRevision() }

// CompactHistory drops the history, so that watches from an earlier revision get status 410.
func (sm *Sim) CompactHistory() { sm.store.compactHistory() }

// FreezeStaleReads makes stale reads return the state at the time of the call, until it is called with false.
func (sm *Sim) FreezeStaleReads(on bool) { sm.store.freezeStale(on) }
