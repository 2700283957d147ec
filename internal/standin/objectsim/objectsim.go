// Package objectsim is a stand-in for the users' metadata store. Callers reach it through doors, which can be down,
// slow or lossy one by one, so that a test can turn away some callers and serve the others.
package objectsim

import (
	"encoding/json"
	"net/http"

	"github.com/cockroachdb/errors"
)

// defaultPage is the protocol's bound on the entries of a list.
const defaultPageSize = 500

// Settings are the sizes of a store.
type Settings struct {
	// Page bounds the entries of one list.
	PageSize int
}

// Option changes the settings.
type Option func(*Settings)

// WithPage bounds the entries of one list.
func WithPageSize(n int) Option { return func(se *Settings) { se.PageSize = n } }

// Sim is the stand-in, and its own first door.
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
	dr, err := sm.OpenEndpoint()
	sm.Endpoint = dr
	return sm, err
}

// OpenDoor returns one more address of the same store, with faults of its own. It is closed by itself.
func (sm *Sim) OpenEndpoint() (*Endpoint, error) { return openEndpoint(sm.store, sm.settings.PageSize) }

// PutSpec makes an object or replaces its spec, and returns its revision. No fault touches it.
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

// Remove removes an object, or marks it deleting while it has finalizers. It reports whether the object was there.
func (sm *Sim) Remove(kind, name string) bool {
	return sm.store.remove(key{kind, name}, 0).status == http.StatusOK
}

// Get returns an object.
func (sm *Sim) Get(kind, name string) (Object, bool) { return sm.store.get(key{kind, name}, false) }

// Objects returns the objects of a kind in the order of their names.
func (sm *Sim) Objects(kind string) []Object {
	const all = -1 // no page is that small
	return sm.store.list(kind, "", all, false).Entries
}

// Revision returns the store's revision.
func (sm *Sim) Revision() int64 { return sm.store.currentRevision() }

// Forget drops the history, so that watches from before it are told so.
func (sm *Sim) CompactHistory() { sm.store.compactHistory() }

// FreezeStale makes stale reads show the present state until it is called with false.
func (sm *Sim) FreezeStaleReads(on bool) { sm.store.freezeStale(on) }
