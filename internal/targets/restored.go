package targets

import "time"

// StaleFor is how long after it came back from an older copy the store may list targets that had gone before: an entry that nobody
// writes any more goes after three heartbeats of its target, 3.6 s.
const RestoreQuarantine = 5 * time.Second

// restored is what is known of the store's newest return from an older copy.
type restored struct {
	// era is that since the return; it only grows.
	era int64
	// at is when the store was asked that showed it; zero when it never came back from a copy.
	at time.Time
	// doubted holds the targets of the newest list that were gone before the return. They are taken once entries that nobody writes
	// are gone, if they are still listed then.
	doubted map[string]Target
}

// past reports whether the store lists no more what had gone before its return.
func (rs *restored) past(now time.Time) bool { return !now.Before(rs.at.Add(RestoreQuarantine)) }

// Restored notes the era of a store that came back from an older copy, as the answer to a question showed that was asked at a time. It
// is called before that answer is taken. What was known before goes before the copy: targets that it lacks are written again soon,
// and take work meanwhile; those that had gone are listed again, and take none.
func (dr *Directory) RecordStoreRestore(era int64, evidence time.Time) {
	dr.mu.Lock()
	defer dr.mu.Unlock()
	if era <= dr.restored.era {
		return
	}
	dr.restored = restored{era: era, at: evidence, doubted: map[string]Target{}}
	dr.store.away = false
	dr.store.returned = evidence
}

// RestoredAt returns the era since the store's newest return from an older copy, and when the store was asked that showed it; zero when
// it never came back from one.
func (dr *Directory) StoreRestoredAt() (era int64, at time.Time) {
	dr.mu.Lock()
	defer dr.mu.Unlock()
	return dr.restored.era, dr.restored.at
}

// stale reports whether a whole list names a target only because the store came back from a copy in which its entry still stood. One
// that was written since is told of as a change.
func (dr *Directory) stale(tg Target) bool {
	en, known := dr.entries[tg.ID]
	if !known || en.goneAt.IsZero() || en.takesWork(dr.now()) {
		return false
	}
	return en.goneAt.Before(dr.restored.at) && !dr.restored.past(dr.now())
}

// believe takes the targets that were doubted and are listed still. The lock is held.
func (dr *Directory) believe() []Change {
	if len(dr.restored.doubted) == 0 || !dr.restored.past(dr.now()) {
		return nil
	}
	var changes []Change
	for _, tg := range dr.restored.doubted {
		changes = append(changes, dr.put(tg)...)
	}
	clear(dr.restored.doubted)
	return changes
}
