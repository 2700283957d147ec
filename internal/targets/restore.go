package targets

import "time"

// StaleFor is how long after it came back from an older copy the store may list targets that had gone before: an entry that nobody
// writes any more goes after three heartbeats of its target, 3.6 s.
const RestoreQuarantine = 5 * time.Second

// restored is what is known of the store's newest return from an older copy.
type storeRestore struct {
	// era is that since the return; it only grows.
	era int64
	// at is when the store was asked that showed it; zero when it never came back from a copy.
	at time.Time
	// doubted holds the targets of the newest list that were gone before the return. They are taken once entries that nobody writes
	// are gone, if they are still listed then.
	quarantined map[string]Target
}

// past reports whether the store lists no more what had gone before its return.
func (sr *storeRestore) quarantineOver(now time.Time) bool {
	return !now.Before(sr.at.Add(RestoreQuarantine))
}

// Restored notes the era of a store that came back from an older copy, as the answer to a question showed that was asked at a time. It
// is called before that answer is taken. What was known before goes before the copy: targets that it lacks are written again soon,
// and take work meanwhile; those that had gone are listed again, and take none.
func (dr *Directory) RecordStoreRestore(era int64, evidence time.Time) {
	dr.mu.Lock()
	defer dr.mu.Unlock()
	if era <= dr.lastRestore.era {
		return
	}
	dr.lastRestore = storeRestore{era: era, at: evidence, quarantined: map[string]Target{}}
	dr.ownOutage.ongoing = false
	dr.ownOutage.recoveredAt = evidence
}

// RestoredAt returns the era since the store's newest return from an older copy, and when the store was asked that showed it; zero when
// it never came back from one.
func (dr *Directory) StoreRestoredAt() (era int64, at time.Time) {
	dr.mu.Lock()
	defer dr.mu.Unlock()
	return dr.lastRestore.era, dr.lastRestore.at
}

// stale reports whether a whole list names a target only because the store came back from a copy in which its entry still stood. One
// that was written since is told of as a change.
func (dr *Directory) staleAfterRestore(tg Target) bool {
	en, known := dr.entries[tg.ID]
	if !known || en.missingSince.IsZero() || en.takesWork(dr.now()) {
		return false
	}
	return en.missingSince.Before(dr.lastRestore.at) && !dr.lastRestore.quarantineOver(dr.now())
}

// believe takes the targets that were doubted and are listed still. The lock is held.
func (dr *Directory) releaseQuarantined() []Change {
	if len(dr.lastRestore.quarantined) == 0 || !dr.lastRestore.quarantineOver(dr.now()) {
		return nil
	}
	var changes []Change
	for _, tg := range dr.lastRestore.quarantined {
		changes = append(changes, dr.upsert(tg)...)
	}
	clear(dr.lastRestore.quarantined)
	return changes
}
