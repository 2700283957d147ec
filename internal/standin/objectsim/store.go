package objectsim

import (
	"maps"
	"net/http"
	"slices"
	"sync"
)

// kindIgnoringFinalizers is the kind whose objects are removed at once even if they have finalizers.
const kindIgnoringFinalizers = "servers"

type key struct{ kind, name string }

type historyEntry struct {
	revision int64
	kind     string
	event    Event
}

// store is the state that all endpoints share.
type store struct {
	mu sync.Mutex
	// era counts how often the store was restored from a snapshot.
	era int64
	// revision grows by one with each change, and goes back to an earlier value at the start of an era.
	revision int64
	objects  map[key]Object
	// history holds the changes after compactedRevision, in order.
	history           []historyEntry
	compactedRevision int64
	// stale holds the objects that stale reads return, as of staleRevision; with nil they return the current ones.
	stale         map[key]Object
	staleRevision int64
	// changed is closed and replaced at each change, and when the history is compacted or the store restored.
	changed chan struct{}
}

func newStore() *store {
	return &store{objects: map[key]Object{}, changed: make(chan struct{})}
}

// listPage is the response to a list.
type listPage struct {
	Entries []Object `json:"entries"`
	More    bool     `json:"more"`
	At      int64    `json:"at"`
	era     int64
}

func (st *store) list(kind, after string, size int, stale bool) listPage {
	st.mu.Lock()
	defer st.mu.Unlock()
	objects, revision := st.readableState(stale)
	pg := listPage{Entries: []Object{}, At: revision, era: st.era}
	for _, name := range namesOf(objects, kind) {
		if name <= after {
			continue
		}
		if len(pg.Entries) == size {
			pg.More = true
			break
		}
		pg.Entries = append(pg.Entries, objects[key{kind, name}])
	}
	return pg
}

func (st *store) readableState(stale bool) (map[key]Object, int64) {
	if stale && st.stale != nil {
		return st.stale, st.staleRevision
	}
	return st.objects, st.revision
}

func namesOf(objects map[key]Object, kind string) []string {
	var names []string
	for ky := range objects {
		if ky.kind == kind {
			names = append(names, ky.name)
		}
	}
	slices.Sort(names)
	return names
}

func (st *store) get(ky key, stale bool) (Object, bool) {
	st.mu.Lock()
	defer st.mu.Unlock()
	objects, _ := st.readableState(stale)
	ob, ok := objects[ky]
	return ob, ok
}

// watchResult is the response to a watch.
type watchResult struct {
	Events []Event `json:"events"`
	At     int64   `json:"at"`
	era    int64
}

// since returns the changes of a kind after a revision, and a channel that is closed at the next change. It reports
// false when the history no longer reaches back to the revision, or when the revision has not been assigned yet.
func (st *store) since(kind string, after int64) (watchResult, <-chan struct{}, bool) {
	st.mu.Lock()
	defer st.mu.Unlock()
	res := watchResult{Events: []Event{}, At: st.revision, era: st.era}
	if after < st.compactedRevision || after > st.revision {
		return res, nil, false
	}
	for _, he := range st.history {
		if he.revision > after && he.kind == kind {
			res.Events = append(res.Events, he.event)
		}
	}
	return res, st.changed, true
}

// writeResult is the result of a write.
type writeResult struct {
	status int
	// object is the state of the object after the call; it is nil with status 404.
	object *Object
}

// update replaces an object by the result of edit if it exists and has the given revision. A revision of zero sets no
// condition.
func (st *store) update(ky key, revision int64, edit func(Object) Object) writeResult {
	st.mu.Lock()
	defer st.mu.Unlock()
	ob, ok := st.objects[ky]
	if !ok {
		return writeResult{status: http.StatusNotFound}
	}
	if revision != 0 && revision != ob.Metadata.Revision {
		return writeResult{status: http.StatusConflict, object: &ob}
	}
	next := edit(ob)
	if next.sameState(ob) {
		return writeResult{status: http.StatusOK, object: &ob}
	}
	next = st.commit(ky, next)
	return writeResult{status: http.StatusOK, object: &next}
}

// create creates an object unless it exists.
func (st *store) create(ky key, ob Object) writeResult {
	st.mu.Lock()
	defer st.mu.Unlock()
	if old, ok := st.objects[ky]; ok {
		return writeResult{status: http.StatusConflict, object: &old}
	}
	ob.Metadata = Metadata{Name: ky.name, CreateRevision: st.revision + 1, Finalizers: ob.Metadata.Finalizers}
	ob = st.commit(ky, ob)
	return writeResult{status: http.StatusOK, object: &ob}
}

// put creates an object or replaces its spec, and returns its revision.
func (st *store) put(ky key, ob Object) int64 {
	for {
		if wr := st.create(ky, ob); wr.status == http.StatusOK {
			return wr.object.Metadata.Revision
		}
		wr := st.update(ky, 0, func(old Object) Object {
			old.Spec = ob.Spec
			return old
		})
		if wr.status == http.StatusOK {
			return wr.object.Metadata.Revision
		}
	}
}

// remove marks an object as deleting, and removes it when nothing holds it.
func (st *store) remove(ky key, revision int64) writeResult {
	return st.update(ky, revision, func(ob Object) Object {
		ob.Metadata.Deleting = true
		return ob
	})
}

// commit stores a changed object under a new revision, or removes it when it is deleting and no finalizer holds it. The
// caller must hold the lock.
func (st *store) commit(ky key, ob Object) Object {
	st.revision++
	ob.Metadata.Revision = st.revision
	if ob.Metadata.Finalizers == nil {
		ob.Metadata.Finalizers = []string{}
	}
	deleted := ob.Metadata.Deleting && (len(ob.Metadata.Finalizers) == 0 || ky.kind == kindIgnoringFinalizers)
	if deleted {
		delete(st.objects, ky)
	} else {
		st.objects[ky] = ob
	}
	st.history = append(st.history, historyEntry{revision: st.revision, kind: ky.kind, event: Event{Deleted: deleted, Object: ob}})
	st.signal()
	return ob
}

func (st *store) signal() {
	close(st.changed)
	st.changed = make(chan struct{})
}

func (st *store) compactHistory() {
	st.mu.Lock()
	defer st.mu.Unlock()
	st.history = nil
	st.compactedRevision = st.revision
	st.signal()
}

func (st *store) freezeStale(on bool) {
	st.mu.Lock()
	defer st.mu.Unlock()
	st.stale = nil
	if on {
		st.stale = maps.Clone(st.objects)
		st.staleRevision = st.revision
	}
}

func (st *store) currentRevision() int64 { st.mu.Lock(); defer st.mu.Unlock(); return st.revision }
