package objectsim

import (
	"maps"
	"net/http"
	"slices"
	"strconv"
)

// eraHeader counts, in the head of all answers, how often the store came back from an older copy.
const eraHeader = "Store-Era"

// Copy is the state of a store at one time.
type Snapshot struct {
	objects  map[key]Object
	history  []historyEntry
	revision int64
	floor    int64
}

// Copy returns the present state.
func (sm *Sim) Snapshot() Snapshot { return sm.store.snapshot() }

// Restore lets the store come back from a copy: what was written since is gone, and its revisions are given out again.
func (sm *Sim) Restore(cp Snapshot) { sm.store.restore(cp) }

// Era returns how often the store came back from a copy.
func (sm *Sim) Era() int64 { return sm.store.currentEra() }

func (st *store) currentEra() int64 { st.mu.Lock(); defer st.mu.Unlock(); return st.era }

func (st *store) snapshot() Snapshot {
	st.mu.Lock()
	defer st.mu.Unlock()
	return Snapshot{objects: maps.Clone(st.objects), history: slices.Clone(st.history), revision: st.revision, floor: st.compactedRevision}
}

func (st *store) restore(cp Snapshot) {
	st.mu.Lock()
	defer st.mu.Unlock()
	st.era++
	st.objects, st.history = maps.Clone(cp.objects), slices.Clone(cp.history)
	st.revision, st.compactedRevision = cp.revision, cp.floor
	st.signal()
}

// tellEra writes an era into the head of an answer.
func setEra(w http.ResponseWriter, era int64) { w.Header().Set(eraHeader, strconv.FormatInt(era, 10)) }
