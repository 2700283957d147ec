package objectsim

import (
	"maps"
	"net/http"
	"slices"
	"strconv"
)

// eraHeader holds, in all responses, how often the store was restored from a snapshot.
const eraHeader = "Store-Era"

// Snapshot is the state of a store at one time.
type Snapshot struct {
	objects           map[key]Object
	history           []historyEntry
	revision          int64
	compactedRevision int64
}

// Snapshot returns the current state.
func (sm *Sim) Snapshot() Snapshot { return sm.store.snapshot() }

// Restore restores the store from a snapshot: all later writes are lost, and their revisions are assigned again.
func (sm *Sim) Restore(sn Snapshot) { sm.store.restore(sn) }

// Era returns how often the store was restored from a snapshot.
func (sm *Sim) Era() int64 { return sm.store.currentEra() }

func (st *store) currentEra() int64 { st.mu.Lock(); defer st.mu.Unlock(); return st.era }

func (st *store) snapshot() Snapshot {
	st.mu.Lock()
	defer st.mu.Unlock()
	return Snapshot{objects: maps.Clone(st.objects), history: slices.Clone(st.history), revision: st.revision, compactedRevision: st.compactedRevision}
}

func (st *store) restore(sn Snapshot) {
	st.mu.Lock()
	defer st.mu.Unlock()
	st.era++
	st.objects, st.history = maps.Clone(sn.objects), slices.Clone(sn.history)
	st.revision, st.compactedRevision = sn.revision, sn.compactedRevision
	st.signal()
}

// setEra sets the header that holds the era.
func setEra(w http.ResponseWriter, era int64) { w.Header().Set(eraHeader, strconv.FormatInt(era, 10)) }
