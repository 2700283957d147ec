package routes

import (
	"sync"
	"time"
)

// Holder holds the configuration in force at this instance, and the time as of which it is proven to be the newest in the store.
// It is safe for concurrent use.
type Holder struct {
	mu sync.Mutex
	// table is replaced only by a higher version.
	table *Table
	// document is the encoded configuration of the table, which peers can request.
	document []byte
	// provenAt is the time as of which the table is proven to be the newest version. It is a monotonic clock reading from before
	// the request to the store was sent, and never decreases.
	provenAt time.Time
	// newestKnown is the highest version that this instance has received or heard of, in force or not. It never decreases.
	newestKnown int64
	// removedKeys maps the digest of each key that was in force here to the first version without it. It holds at most
	// maxRemovedKeys.
	removedKeys map[Digest]int64
	// everUsedKeys is set once a table that uses keys was in force. It is never reset.
	everUsedKeys bool
}

// maxRemovedKeys is the maximum number of removed keys that are remembered, at 40 bytes each.
const maxRemovedKeys = 4096

// RemovedSince returns the first version without a key that was in force at this instance before. It reports false for a key
// that is in force, or never was at this instance.
func (hd *Holder) RemovedSince(dg Digest) (version int64, known bool) {
	hd.mu.Lock()
	defer hd.mu.Unlock()
	version, known = hd.removedKeys[dg]
	return version, known
}

// EverUsedKeys reports whether a table that uses keys is in force at this instance, or was before.
func (hd *Holder) EverUsedKeys() bool {
	hd.mu.Lock()
	defer hd.mu.Unlock()
	return hd.everUsedKeys
}

// recordRemovedKeys updates removedKeys when a table replaces another. The caller holds mu.
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

// ApplyIfNewer puts a table in force if it is newer than the current one, and reports whether it did. At the time asOf, the store
// had no newer version; a zero asOf proves nothing.
func (hd *Holder) ApplyIfNewer(tb *Table, document []byte, asOf time.Time) bool {
	hd.mu.Lock()
	defer hd.mu.Unlock()
	hd.newestKnown = max(hd.newestKnown, tb.version)
	newer := hd.table == nil || tb.version > hd.table.version
	if newer && hd.table != nil {
		hd.recordRemovedKeys(hd.table, tb)
	}
	if newer {
		hd.everUsedKeys = hd.everUsedKeys || tb.UsesKeys()
		hd.table = tb
		hd.document = document
	}
	if tb.version == hd.table.version && asOf.After(hd.provenAt) {
		hd.provenAt = asOf
	}
	return newer
}

// Confirm records that a version was the newest one at the time asOf. It reports false if that version is not in force here yet.
func (hd *Holder) Confirm(version int64, asOf time.Time) bool {
	hd.mu.Lock()
	defer hd.mu.Unlock()
	hd.newestKnown = max(hd.newestKnown, version)
	if hd.table == nil || version > hd.table.version {
		return false
	}
	if version == hd.table.version && asOf.After(hd.provenAt) {
		hd.provenAt = asOf
	}
	return true
}

// Current returns the table in force, or nil if there is none yet, and the time as of which it is proven to be the newest.
func (hd *Holder) Current() (tb *Table, provenAt time.Time) {
	hd.mu.Lock()
	defer hd.mu.Unlock()
	return hd.table, hd.provenAt
}

// NewestKnownVersion returns the highest version that this instance knows of. While it is above the version in force, entries
// that the table in force lacks may exist, such as keys.
func (hd *Holder) NewestKnownVersion() int64 {
	hd.mu.Lock()
	defer hd.mu.Unlock()
	return hd.newestKnown
}

// Document returns the encoded configuration of the table in force and its version; zero and nil if there is none yet.
func (hd *Holder) Document() (version int64, document []byte) {
	hd.mu.Lock()
	defer hd.mu.Unlock()
	if hd.table == nil {
		return 0, nil
	}
	return hd.table.version, hd.document
}
