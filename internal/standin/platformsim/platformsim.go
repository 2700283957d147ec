// Package platformsim is a small stand-in for the object API of the platform, for tests and the demo.
package platformsim

import (
	"encoding/json"
	"io"
	"net/http"
	"strconv"
	"sync"
	"time"

	"github.com/go-chi/chi/v5"

	"github.com/silvermount/silvermount/internal/jsonreply"
	"github.com/silvermount/silvermount/internal/objectstore"
)

const maxWatchWait = 30 * time.Second

type historyEntry struct {
	kind   string
	object objectstore.Object
}

// Store is a stand-in object store. Its faults may be set at any time.
type Store struct {
	mu      sync.Mutex
	version int64
	objects map[string]map[string]objectstore.Object
	history []historyEntry
	changed chan struct{}
	down    bool
	delay   time.Duration
	// responsesToLose is the number of next writes that take effect and then break the connection.
	responsesToLose int
	// frozen holds, for each frozen kind, the list at the time of Freeze.
	frozen     map[string]objectstore.Listing
	readCount  int
	writeCount int
}

// New returns an empty store.
func New() *Store {
	return &Store{
		objects: map[string]map[string]objectstore.Object{},
		changed: make(chan struct{}),
		frozen:  map[string]objectstore.Listing{},
	}
}

// SetDown starts or ends an outage.
func (st *Store) SetDown(down bool) { st.mu.Lock(); st.down = down; st.mu.Unlock() }

// SetDelay delays each call by d.
func (st *Store) SetDelay(d time.Duration) { st.mu.Lock(); st.delay = d; st.mu.Unlock() }

// LoseResponses makes the next n writes take effect and break the connection instead of sending a response.
func (st *Store) LoseResponses(n int) { st.mu.Lock(); st.responsesToLose = n; st.mu.Unlock() }

// Freeze makes lists of a kind return its current state, and watches report no changes, until Thaw.
func (st *Store) Freeze(kind string) {
	st.mu.Lock()
	st.frozen[kind] = st.listing(kind)
	st.mu.Unlock()
}

// Thaw ends the effect of Freeze for a kind.
func (st *Store) Thaw(kind string) { st.mu.Lock(); delete(st.frozen, kind); st.mu.Unlock() }

// CallCounts returns how many reads and writes were received.
func (st *Store) CallCounts() (reads, writes int) {
	st.mu.Lock()
	defer st.mu.Unlock()
	return st.readCount, st.writeCount
}

// Put writes an object as the platform itself does, without faults or a version check.
func (st *Store) Put(kind, name string, value any) error {
	b, err := json.Marshal(value)
	if err != nil {
		return err
	}
	st.mu.Lock()
	st.put(kind, name, b)
	st.mu.Unlock()
	return nil
}

// Object returns an object from the current state, even if its kind is frozen.
func (st *Store) Object(kind, name string) (objectstore.Object, bool) {
	st.mu.Lock()
	defer st.mu.Unlock()
	o, ok := st.objects[kind][name]
	return o, ok
}

// Handler returns the HTTP handler of the object API.
func (st *Store) Handler() http.Handler {
	rt := chi.NewRouter()
	rt.Use(st.withFaults)
	rt.Get("/objects/{kind}", func(w http.ResponseWriter, r *http.Request) {
		st.mu.Lock()
		ls := st.listing(chi.URLParam(r, "kind"))
		st.mu.Unlock()
		jsonreply.Write(w, ls)
	})
	rt.Get("/objects/{kind}/{name}", st.handleGet)
	rt.Put("/objects/{kind}/{name}", st.handleWrite)
	rt.Delete("/objects/{kind}/{name}", st.handleWrite)
	rt.Get("/watch/{kind}", st.handleWatch)
	return rt
}

// withFaults counts each call and injects outages and delays.
func (st *Store) withFaults(next http.Handler) http.Handler {
	return http.HandlerFunc(func(w http.ResponseWriter, r *http.Request) {
		st.mu.Lock()
		down, slow := st.down, st.delay
		if r.Method == http.MethodGet {
			st.readCount++
		} else {
			st.writeCount++
		}
		st.mu.Unlock()
		time.Sleep(slow)
		if down {
			w.WriteHeader(http.StatusServiceUnavailable)
			return
		}
		next.ServeHTTP(w, r)
	})
}

func (st *Store) handleGet(w http.ResponseWriter, r *http.Request) {
	st.mu.Lock()
	o, ok := st.objects[chi.URLParam(r, "kind")][chi.URLParam(r, "name")]
	st.mu.Unlock()
	if !ok {
		w.WriteHeader(http.StatusNotFound)
		return
	}
	jsonreply.Write(w, o)
}

func (st *Store) handleWrite(w http.ResponseWriter, r *http.Request) {
	kind, name := chi.URLParam(r, "kind"), chi.URLParam(r, "name")
	want, _ := strconv.ParseInt(r.URL.Query().Get("if_version"), 10, 64)
	body, err := io.ReadAll(io.LimitReader(r.Body, objectstore.MaxValueBytes+1))
	if err != nil || len(body) > objectstore.MaxValueBytes {
		w.WriteHeader(http.StatusRequestEntityTooLarge)
		return
	}
	st.mu.Lock()
	defer st.mu.Unlock()
	if st.objects[kind][name].Version != want {
		w.WriteHeader(http.StatusConflict)
		return
	}
	if r.Method == http.MethodDelete {
		body = nil
	}
	o := st.put(kind, name, body)
	if st.responsesToLose > 0 {
		st.responsesToLose--
		panic(http.ErrAbortHandler)
	}
	jsonreply.Write(w, o)
}

func (st *Store) handleWatch(w http.ResponseWriter, r *http.Request) {
	kind := chi.URLParam(r, "kind")
	since, _ := strconv.ParseInt(r.URL.Query().Get("since"), 10, 64)
	wait, _ := time.ParseDuration(r.URL.Query().Get("wait"))
	timer := time.NewTimer(min(wait, maxWatchWait))
	defer timer.Stop()
	for {
		st.mu.Lock()
		ls := st.changesSince(kind, since)
		changed, down := st.changed, st.down
		st.mu.Unlock()
		if down {
			w.WriteHeader(http.StatusServiceUnavailable)
			return
		}
		if len(ls.Items) > 0 {
			jsonreply.Write(w, ls)
			return
		}
		select {
		case <-changed:
		case <-timer.C:
			jsonreply.Write(w, ls)
			return
		case <-r.Context().Done():
			return
		}
	}
}

// put stores a value under a new version, or deletes the object if the value is nil. The caller must hold the lock.
func (st *Store) put(kind, name string, value []byte) objectstore.Object {
	st.version++
	o := objectstore.Object{Name: name, Version: st.version, Value: value}
	if st.objects[kind] == nil {
		st.objects[kind] = map[string]objectstore.Object{}
	}
	if value == nil {
		delete(st.objects[kind], name)
	} else {
		st.objects[kind][name] = o
	}
	st.history = append(st.history, historyEntry{kind: kind, object: o})
	close(st.changed)
	st.changed = make(chan struct{})
	return o
}

// listing returns the list of a kind, or its frozen list. The caller must hold the lock.
func (st *Store) listing(kind string) objectstore.Listing {
	if ls, ok := st.frozen[kind]; ok {
		return ls
	}
	ls := objectstore.Listing{Version: st.version}
	for _, o := range st.objects[kind] {
		ls.Items = append(ls.Items, o)
	}
	return ls
}

// changesSince returns the changes of a kind after a version; a frozen kind has none. The caller must hold the lock.
func (st *Store) changesSince(kind string, version int64) objectstore.Listing {
	ls := objectstore.Listing{Version: version}
	if _, ok := st.frozen[kind]; ok {
		return ls
	}
	for _, he := range st.history {
		if he.kind == kind && he.object.Version > version {
			ls.Items = append(ls.Items, he.object)
			ls.Version = he.object.Version
		}
	}
	return ls
}
