package objectsim

import (
	"maps"
	"net/http"
	"slices"
	"sync"
)

// lapsingKind is the kind whose objects go whatever their finalizers.
const kindIgnoringFinalizers = "servers"

type key struct{ kind, name string }

type historyEntry struct {
	revision int64
	kind     string
	event    Event
}

// store is the state behind all doors.
type store struct {
	mu sync.Mutex
	// era counts the returns from an older copy.
	era int64
	// revision rises with each change, and goes back with a new era.
	revision int64
	objects  map[key]Object
	// history holds the changes after floor, in order.
	history           []historyEntry
	compactedRevision int64
	// stale is what stale reads see, with its revision; nil shows the present.
	stale         map[key]Object
	staleRevision int64
	// changed is closed and replaced at each change, and when history is forgotten.
	changed chan struct{}
}

func newStore() *store {
	return &store{objects: map[key]Object{}, changed: make(chan struct{})}
}

// page is one answer to a list.
type listPage struct {
	Entries []Object `json:"entries"`
	More    bool     `json:"more"`
	At      int64    `json:"at"`
	era     int64
}

func (st *store) list(kind, after string, size int, stale bool) listPage {
	st.mu.Lock()
	defer st.mu.Unlock()
	objects, at := st.readableState(stale)
	pg := listPage{Entries: []Object{}, At: at, era: st.era}
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

// batch is one answer to a watch.
type watchResult struct {
	Events []Event `json:"events"`
	At     int64   `json:"at"`
	era    int64
}

// since returns the changes of a kind after a revision, and a channel that is closed at the next change. It reports
// false when the history is gone, or when there is no such revision.
func (st *store) since(kind string, after int64) (watchResult, <-chan struct{}, bool) {
	st.mu.Lock()
	defer st.mu.Unlock()
	bt := watchResult{Events: []Event{}, At: st.revision, era: st.era}
	if after < st.compactedRevision || after > st.revision {
		return bt, nil, false
	}
	for _, ch := range st.history {
		if ch.revision > after && ch.kind == kind {
			bt.Events = append(bt.Events, ch.event)
		}
	}
	return bt, st.changed, true
}

// verdict is the outcome of a writing call.
type writeResult struct {
	status int
	// object is the object as it is after the call; it is nil with 404.
	object *Object
}

// alter replaces an object by what edit makes of it, if it is there and has the revision; zero sets no condition.
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

// create makes an object that is not there yet.
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

// put makes an object or replaces its spec.
func (st *store) put(ky key, ob Object) int64 {
	for {
		if vd := st.create(ky, ob); vd.status == http.StatusOK {
			return vd.object.Metadata.Revision
		}
		vd := st.update(ky, 0, func(old Object) Object {
			old.Spec = ob.Spec
			return old
		})
		if vd.status == http.StatusOK {
			return vd.object.Metadata.Revision
		}
	}
}

// remove marks an object as deleting, and drops it when it has no finalizers.
func (st *store) remove(ky key, revision int64) writeResult {
	return st.update(ky, revision, func(ob Object) Object {
		ob.Metadata.Deleting = true
		return ob
	})
}

// keep stores a changed object, or drops it when it is deleting and nothing holds it; it is called with the lock held.
func (st *store) commit(ky key, ob Object) Object {
	st.revision++
	ob.Metadata.Revision = st.revision
	if ob.Metadata.Finalizers == nil {
		ob.Metadata.Finalizers = []string{}
	}
	gone := ob.Metadata.Deleting && (len(ob.Metadata.Finalizers) == 0 || ky.kind == kindIgnoringFinalizers)
	if gone {
		delete(st.objects, ky)
	} else {
		st.objects[ky] = ob
	}
	st.history = append(st.history, historyEntry{revision: st.revision, kind: ky.kind, event: Event{Deleted: gone, Object: ob}})
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
