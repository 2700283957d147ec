package targets

import "time"

// RestoreQuarantine is how long after its restore from an older copy the store may list targets that were already gone: an entry
// that is no longer written expires after three heartbeats of its target, 3.6 s.
const RestoreQuarantine = 5 * time.Second

// storeRestore is the newest known restore of the store from an older copy.
type storeRestore struct {
	// era is the era that began with the restore; it never decreases.
	era int64
	// at is when the call that revealed the restore was made; zero when the store was never restored.
	at time.Time
	// quarantined holds the targets of the newest list that were gone before the restore. They are accepted if they are still
	// listed after RestoreQuarantine, when entries that are no longer written have expired.
	quarantined map[string]Target
}

// quarantineOver reports whether the entries of targets that were gone before the restore have expired in the store.
func (sr *storeRestore) quarantineOver(now time.Time) bool {
	return !now.Before(sr.at.Add(RestoreQuarantine))
}

// RecordStoreRestore records that the store was restored from an older copy into a new era, as revealed by the answer to a call
// made at asOf. It must be called before that answer is applied. What this instance knew before takes precedence over the copy:
// targets that the copy lacks are written again soon, and accept work meanwhile; targets that were gone are listed again, but get
// no work.
func (dr *Directory) RecordStoreRestore(era int64, asOf time.Time) {
	dr.mu.Lock()
	defer dr.mu.Unlock()
	if era <= dr.lastRestore.era {
		return
	}
	dr.lastRestore = storeRestore{era: era, at: asOf, quarantined: map[string]Target{}}
	dr.ownOutage.ongoing = false
	dr.ownOutage.recoveredAt = asOf
	dr.ownOutage.endedByOwnCall = true
}

// StoreRestoredAt returns the era that began with the newest restore of the store from an older copy, and when the call that
// revealed it was made; zero when the store was never restored.
func (dr *Directory) StoreRestoredAt() (era int64, at time.Time) {
	dr.mu.Lock()
	defer dr.mu.Unlock()
	return dr.lastRestore.era, dr.lastRestore.at
}

// staleAfterRestore reports whether a complete list may contain a target only because the store was restored from a copy that
// still had its entry. A target whose entry is written after the restore arrives as a change, which is not checked. The caller
// holds the lock.
func (dr *Directory) staleAfterRestore(tg Target) bool {
	en, known := dr.entries[tg.ID]
	if !known || en.missingSince.IsZero() || en.takesWork(dr.now()) {
		return false
	}
	return en.missingSince.Before(dr.lastRestore.at) && !dr.lastRestore.quarantineOver(dr.now())
}

// releaseQuarantined accepts the quarantined targets once the quarantine is over. The caller holds the lock.
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
