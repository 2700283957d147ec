package routes

import (
	"sync"
	"time"
)

// Holder keeps the newest configuration in force and the time of the newest proof that it is the newest.
// It is safe for use by any goroutine.
type Holder struct {
	mu sync.Mutex
	// table only ever gives way to a higher version.
	table *Table
	// document is what the table was decoded from; peers may ask for it.
	document []byte
	// provenAt is on the steady clock, taken before the store was asked; it only grows.
	provenAt time.Time
	// told is the newest version that was offered or told of, in force or not; it only grows.
	newestKnown int64
	// gone maps the digest of a key that was in force here to the first version that lacked it, at most maxGone of them.
	removedKeys map[Digest]int64
}

// maxGone bounds the keys remembered after they went, 40 bytes each.
const maxRemovedKeys = 4096

// GoneSince returns the first version without a key that was in force at this instance before. It reports false for a
// key that was never in force here, or that is.
func (hd *Holder) RemovedSince(dg Digest) (version int64, known bool) {
	hd.mu.Lock()
	defer hd.mu.Unlock()
	version, known = hd.removedKeys[dg]
	return version, known
}

// remember notes the keys that a new table lacks; the caller holds mu.
func (hd *Holder) recordRemovedKeys(before, after *Table) {
	if hd.removedKeys == nil {
		hd.removedKeys = map[Digest]int64{}
	}
	for key := range before.byKey {
		if _, ok := after.byKey[key]; !ok && len(hd.removedKeys) < maxRemovedKeys {
			hd.removedKeys[DigestOf(key)] = after.version
		}
	}
	for key := range after.byKey {
		if _, ok := before.byKey[key]; !ok {
			delete(hd.removedKeys, DigestOf(key))
		}
	}
}

// Offer puts a table in force if it is newer than the present one, and reports whether it did. Evidence is the time
// before which the store cannot have held a newer version.
func (hd *Holder) ApplyIfNewer(tb *Table, document []byte, evidence time.Time) bool {
	hd.mu.Lock()
	defer hd.mu.Unlock()
	hd.newestKnown = max(hd.newestKnown, tb.version)
	newer := hd.table == nil || tb.version > hd.table.version
	if newer && hd.table != nil {
		hd.recordRemovedKeys(hd.table, tb)
	}
	if newer {
		hd.table = tb
		hd.document = document
	}
	if tb.version == hd.table.version && evidence.After(hd.provenAt) {
		hd.provenAt = evidence
	}
	return newer
}

// Confirm notes that a version was the newest at a time. It reports false when that version is not in force here yet.
func (hd *Holder) Confirm(version int64, evidence time.Time) bool {
	hd.mu.Lock()
	defer hd.mu.Unlock()
	hd.newestKnown = max(hd.newestKnown, version)
	if hd.table == nil || version > hd.table.version {
		return false
	}
	if version == hd.table.version && evidence.After(hd.provenAt) {
		hd.provenAt = evidence
	}
	return true
}

// Current returns the table in force, nil before the first, and the time of the newest proof.
func (hd *Holder) Current() (tb *Table, provenAt time.Time) {
	hd.mu.Lock()
	defer hd.mu.Unlock()
	return hd.table, hd.provenAt
}

// Told returns the newest version that this instance knows of. While it is above that in force, what the table in force
// lacks may exist.
func (hd *Holder) NewestKnownVersion() int64 {
	hd.mu.Lock()
	defer hd.mu.Unlock()
	return hd.newestKnown
}

// Document returns what the table in force was decoded from.
func (hd *Holder) Document() (version int64, document []byte) {
	hd.mu.Lock()
	defer hd.mu.Unlock()
	if hd.table == nil {
		return 0, nil
	}
	return hd.table.version, hd.document
}
