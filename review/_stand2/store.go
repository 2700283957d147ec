package main

import (
	"encoding/json"
	"net"
	"net/http"
	"sort"
	"strconv"
	"strings"
	"sync"
	"time"
)

// store is a stand-in of the platform's metadata store. It keeps objects by kind and name, and serves lists, watches and conditional
// writes as PROTOCOL.md describes them.
type store struct {
	mu       sync.Mutex
	revision int64
	kinds    map[string]map[string]*object
	history  []change
	// changed is closed and replaced at each change.
	changed chan struct{}
	server  *http.Server
	address string
	// era counts how often the store came back from an older copy, away is set while it answers 503.
	era  int
	away bool
	// onList is called with the kind of each list; nil for none.
	onList func(kind string)
}

type metadata struct {
	Name       string   `json:"name"`
	Revision   int64    `json:"revision"`
	Made       int64    `json:"made"`
	Finalizers []string `json:"finalizers"`
	Deleting   bool     `json:"deleting"`
}

type object struct {
	Metadata metadata        `json:"metadata"`
	Spec     json.RawMessage `json:"spec"`
	Status   json.RawMessage `json:"status"`
}

type change struct {
	revision int64
	kind     string
	object   object
	gone     bool
}

func newStore() (*store, error) {
	st := &store{kinds: map[string]map[string]*object{}, changed: make(chan struct{}), revision: 100}
	l, err := net.Listen("tcp", "127.0.0.1:0")
	if err != nil {
		return nil, err
	}
	st.address = l.Addr().String()
	st.server = &http.Server{Handler: http.HandlerFunc(st.serve)}
	go func() { _ = st.server.Serve(l) }()
	return st, nil
}

// copyOfStore is a copy that the store can come back from.
type copyOfStore struct {
	revision int64
	kinds    map[string]map[string]*object
	history  []change
}

func (st *store) copy() copyOfStore {
	st.mu.Lock()
	defer st.mu.Unlock()
	cp := copyOfStore{revision: st.revision, kinds: map[string]map[string]*object{}, history: append([]change{}, st.history...)}
	for kind, objects := range st.kinds {
		cp.kinds[kind] = map[string]*object{}
		for name, ob := range objects {
			kept := *ob
			cp.kinds[kind][name] = &kept
		}
	}
	return cp
}

// goAway makes the store answer 503 until it comes back.
func (st *store) goAway() {
	st.mu.Lock()
	defer st.mu.Unlock()
	st.away = true
	close(st.changed)
	st.changed = make(chan struct{})
}

// comeBack makes the store answer again, from an older copy.
func (st *store) comeBack(cp copyOfStore) {
	st.mu.Lock()
	defer st.mu.Unlock()
	st.away = false
	st.era++
	st.revision, st.kinds, st.history = cp.revision, cp.kinds, cp.history
	close(st.changed)
	st.changed = make(chan struct{})
}

// watchLists calls f with the kind of each list from now on.
func (st *store) watchLists(f func(kind string)) {
	st.mu.Lock()
	defer st.mu.Unlock()
	st.onList = f
}

// put writes an object as the operator or an engine does, and returns when the write is acknowledged.
func (st *store) put(kind, name string, spec any) time.Time {
	b, err := json.Marshal(spec)
	if err != nil {
		panic(err)
	}
	st.mu.Lock()
	defer st.mu.Unlock()
	st.write(kind, name, b, nil)
	return time.Now()
}

// remove deletes an object and returns when that is acknowledged.
func (st *store) remove(kind, name string) time.Time {
	st.mu.Lock()
	defer st.mu.Unlock()
	st.delete(kind, name)
	return time.Now()
}

func (st *store) write(kind, name string, spec json.RawMessage, finalizers []string) *object {
	objects := st.kinds[kind]
	if objects == nil {
		objects = map[string]*object{}
		st.kinds[kind] = objects
	}
	ob := objects[name]
	if ob != nil && string(ob.Spec) == string(spec) {
		return ob
	}
	st.revision++
	next := object{Metadata: metadata{Name: name, Revision: st.revision, Made: st.revision, Finalizers: []string{}}, Spec: spec, Status: json.RawMessage("null")}
	if ob != nil {
		next.Metadata.Made, next.Status = ob.Metadata.Made, ob.Status
	}
	if finalizers != nil {
		next.Metadata.Finalizers = finalizers
	}
	objects[name] = &next
	st.record(change{revision: st.revision, kind: kind, object: next})
	return &next
}

func (st *store) delete(kind, name string) {
	ob := st.kinds[kind][name]
	if ob == nil {
		return
	}
	delete(st.kinds[kind], name)
	st.revision++
	gone := *ob
	gone.Metadata.Revision = st.revision
	st.record(change{revision: st.revision, kind: kind, object: gone, gone: true})
}

func (st *store) record(ch change) {
	st.history = append(st.history, ch)
	close(st.changed)
	st.changed = make(chan struct{})
}

func (st *store) serve(w http.ResponseWriter, r *http.Request) {
	path, ok := strings.CutPrefix(r.URL.Path, "/objects/")
	if !ok {
		w.WriteHeader(http.StatusNotFound)
		return
	}
	st.mu.Lock()
	away := st.away
	w.Header().Set("Store-Era", strconv.Itoa(st.era))
	st.mu.Unlock()
	if away {
		w.WriteHeader(http.StatusServiceUnavailable)
		return
	}
	kind, name, _ := strings.Cut(path, "/")
	name, isStatus := strings.CutSuffix(name, "/status")
	switch {
	case r.Method == http.MethodGet && name == "" && r.URL.Query().Has("watch"):
		st.watch(w, r, kind)
	case r.Method == http.MethodGet && name == "":
		st.list(w, r, kind)
	case r.Method == http.MethodGet:
		st.get(w, kind, name)
	default:
		st.change(w, r, kind, name, isStatus)
	}
}

const pageSize = 500

func (st *store) list(w http.ResponseWriter, r *http.Request, kind string) {
	after := r.URL.Query().Get("after_revision")
	st.mu.Lock()
	defer st.mu.Unlock()
	if st.onList != nil {
		st.onList(kind)
	}
	var names []string
	for name := range st.kinds[kind] {
		if name > after {
			names = append(names, name)
		}
	}
	sort.Strings(names)
	more := len(names) > pageSize
	names = names[:min(len(names), pageSize)]
	entries := make([]object, 0, len(names))
	for _, name := range names {
		entries = append(entries, *st.kinds[kind][name])
	}
	reply(w, http.StatusOK, map[string]any{"entries": entries, "more": more, "at": st.revision})
}

func (st *store) get(w http.ResponseWriter, kind, name string) {
	st.mu.Lock()
	defer st.mu.Unlock()
	ob := st.kinds[kind][name]
	if ob == nil {
		w.WriteHeader(http.StatusNotFound)
		return
	}
	reply(w, http.StatusOK, ob)
}

func (st *store) watch(w http.ResponseWriter, r *http.Request, kind string) {
	since, _ := strconv.ParseInt(r.URL.Query().Get("watch"), 10, 64)
	wait, _ := strconv.Atoi(r.URL.Query().Get("wait_ms"))
	timeout := time.After(time.Duration(min(wait, 30000)) * time.Millisecond)
	for expired := false; ; {
		st.mu.Lock()
		w.Header().Set("Store-Era", strconv.Itoa(st.era))
		if st.away || since > st.revision {
			away := st.away
			st.mu.Unlock()
			if away {
				panic(http.ErrAbortHandler)
			}
			w.WriteHeader(http.StatusGone)
			return
		}
		events := []map[string]any{}
		for _, ch := range st.history {
			if ch.kind == kind && ch.revision > since {
				events = append(events, map[string]any{"object": ch.object, "gone": ch.gone})
			}
		}
		at, changed := st.revision, st.changed
		st.mu.Unlock()
		if len(events) > 0 || expired {
			reply(w, http.StatusOK, map[string]any{"events": events, "at": at})
			return
		}
		select {
		case <-changed:
		case <-timeout:
			expired = true
		case <-r.Context().Done():
			return
		}
	}
}

func (st *store) change(w http.ResponseWriter, r *http.Request, kind, name string, isStatus bool) {
	var in object
	if r.Method != http.MethodDelete {
		if err := json.NewDecoder(r.Body).Decode(&in); err != nil {
			w.WriteHeader(http.StatusBadRequest)
			return
		}
	}
	if rev, err := strconv.ParseInt(r.URL.Query().Get("revision"), 10, 64); err == nil {
		in.Metadata.Revision = rev
	}
	if r.Method == http.MethodPost {
		name = in.Metadata.Name
	}
	st.mu.Lock()
	defer st.mu.Unlock()
	ob := st.kinds[kind][name]
	switch {
	case r.Method == http.MethodPost && ob != nil:
		reply(w, http.StatusConflict, ob)
	case r.Method == http.MethodPost:
		reply(w, http.StatusOK, st.write(kind, name, in.Spec, in.Metadata.Finalizers))
	case ob == nil:
		w.WriteHeader(http.StatusNotFound)
	case in.Metadata.Revision != 0 && in.Metadata.Revision != ob.Metadata.Revision:
		reply(w, http.StatusConflict, ob)
	case r.Method == http.MethodDelete:
		st.delete(kind, name)
		w.WriteHeader(http.StatusOK)
	case isStatus:
		ob.Status = in.Status
		reply(w, http.StatusOK, ob)
	default:
		reply(w, http.StatusOK, st.write(kind, name, in.Spec, in.Metadata.Finalizers))
	}
}

func reply(w http.ResponseWriter, status int, body any) {
	w.Header().Set("Content-Type", "application/json")
	w.WriteHeader(status)
	_ = json.NewEncoder(w).Encode(body)
}
