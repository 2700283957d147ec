package targets

import "time"

// LapseGrace is how long a lapsed entry may be missing after the store has recovered from an outage. The platform states that
// entries are back within about two seconds, and that an entry still missing then is gone.
const LapseGrace = 2 * time.Second

// outage is the newest store outage as seen by this instance's own calls.
type outage struct {
	// startedAt is when the first call failed; recoveredAt is when the first call was made that succeeded again.
	startedAt, recoveredAt time.Time
	// failedAt is when the newest call failed.
	failedAt time.Time
	ongoing  bool
	// endedByOwnCall is set if a call of this instance showed the end of the outage, rather than a confirmation by peers.
	endedByOwnCall bool
}

// recordFailure records a failed call.
func (ou *outage) recordFailure(at time.Time) {
	if !ou.ongoing {
		ou.startedAt = at
	}
	ou.failedAt = at
	ou.ongoing = true
}

// recordSuccess records the success of a call that was made at a time.
func (ou *outage) recordSuccess(at time.Time) {
	if ou.ongoing {
		ou.recoveredAt = at
		ou.endedByOwnCall = true
	}
	ou.ongoing = false
}

// recordConfirmation records that the list was current at a time, according to this instance or a peer. If that is after the newest failed
// call, the outage is over, although this instance may not call the store again for long.
func (ou *outage) recordConfirmation(asOf time.Time) {
	if ou.ongoing && asOf.After(ou.failedAt) {
		ou.recoveredAt, ou.ongoing, ou.endedByOwnCall = asOf, false, false
	}
}

// graceForPeersEnds is graceEnds for entries of the list that peers get. The store may have turned only this instance away, so that what peers
// know of an outage comes from instances that saw it end.
func (ou *outage) graceForPeersEnds() time.Time {
	if !ou.endedByOwnCall {
		return time.Time{}
	}
	return ou.graceEnds()
}

// graceEnds returns the time until which an entry may be missing because of the outage; zero when there was none.
func (ou *outage) graceEnds() time.Time {
	if ou.recoveredAt.IsZero() {
		return time.Time{}
	}
	return ou.recoveredAt.Add(LapseGrace)
}

// Lapsed describes the targets whose entries lapsed during a store outage. Instances send it to their peers along with their list.
type Lapsed struct {
	// Targets accept work although their entries are missing.
	Targets []Target `json:"Targets"`
	// GraceLeft is how much longer an entry may be missing because of the outage; zero when there was none recently.
	GraceLeft time.Duration `json:"Left"`
}

// RecordStoreFailure records that a call to the store failed.
func (dr *Directory) RecordStoreFailure() {
	dr.mu.Lock()
	dr.ownOutage.recordFailure(dr.now())
	dr.mu.Unlock()
}

// RecordStoreRecovery records that the store answered a call made at asOf. It must be called before the answer is applied.
func (dr *Directory) RecordStoreRecovery(asOf time.Time) {
	dr.mu.Lock()
	dr.ownOutage.recordSuccess(asOf)
	dr.mu.Unlock()
}

// Lapsed returns the lapsed targets that still accept work, for peers.
func (dr *Directory) Lapsed() Lapsed {
	dr.mu.Lock()
	defer dr.mu.Unlock()
	now := dr.now()
	la := Lapsed{GraceLeft: max(0, dr.ownOutage.graceForPeersEnds().Sub(now), dr.peerGraceUntil.Sub(now))}
	for _, en := range dr.entries {
		if !en.missingSince.IsZero() && en.takesWork(now) {
			la.Targets = append(la.Targets, en.Target)
		}
	}
	return la
}

// replaceFromPeer replaces the whole list with that of a peer. Entries that it newly misses get at most the peer's remaining
// grace period. The caller holds the lock.
func (dr *Directory) replaceFromPeer(list []Target, la Lapsed, asOf time.Time) []Change {
	graceUntil := dr.peerGrace(la)
	changes := dr.replaceAll(list, asOf, graceUntil)
	return append(changes, dr.addLapsed(la.Targets, graceUntil)...)
}

// peerGrace returns until when an entry that a peer's list newly misses may be missing, and records it. The caller holds the lock.
func (dr *Directory) peerGrace(la Lapsed) time.Time {
	if la.GraceLeft <= 0 {
		return time.Time{}
	}
	dr.peerGraceUntil = dr.now().Add(min(la.GraceLeft, LapseGrace))
	return dr.peerGraceUntil
}

// addLapsed adds the lapsed targets that a peer reports and this instance does not know. They are missing from the list and accept work
// until graceUntil. The caller holds the lock.
func (dr *Directory) addLapsed(lapsed []Target, graceUntil time.Time) []Change {
	grace := graceUntil.Sub(dr.now())
	if grace <= 0 {
		return nil
	}
	var changes []Change
	for _, tg := range lapsed {
		if _, known := dr.entries[tg.ID]; known {
			continue
		}
		latest, superseded := dr.registerLatest(tg)
		changes = append(changes, superseded...)
		if !latest {
			continue
		}
		_, markedLeaving := dr.leavingSince[tg.ID]
		en := &entry{Target: tg, leaving: tg.Leaving || markedLeaving}
		dr.entries[tg.ID] = en
		dr.markMissing(en, graceUntil)
		changes = append(changes, Change{Target: tg, Kind: "lapsed", Grace: grace})
	}
	return changes
}

// presumedDead reports whether a target is not listed and there is no sign that it is alive: it accepted no connection, or
// nothing in its availability zone has answered since the store outage began. The caller holds the lock.
func (dr *Directory) presumedDead(en *entry, now time.Time) bool {
	if en.missingSince.IsZero() {
		return false
	}
	return now.Before(en.unreachableUntil) || !dr.zone(en.AvailabilityZone).reachedAt.After(dr.ownOutage.startedAt)
}
