package targets

import "time"

// LapseGrace is how long after the store's return a lapsed entry may be missing: the platform says that entries are back
// within about two seconds, and that one still missing then is gone.
const LapseGrace = 2 * time.Second

// outage is what an instance's own calls say of the store being away.
type outage struct {
	// since is when the first call of the newest outage failed, returned when the store was asked that answered again.
	startedAt, recoveredAt time.Time
	ongoing                bool
}

// began notes a call that failed.
func (ou *outage) recordFailure(at time.Time) {
	if !ou.ongoing {
		ou.startedAt = at
	}
	ou.ongoing = true
}

// ended notes an answer to a question asked at a time.
func (ou *outage) recordSuccess(at time.Time) {
	if ou.ongoing {
		ou.recoveredAt = at
	}
	ou.ongoing = false
}

// returnEnds is until when an entry may be missing because of the outage; zero without one.
func (ou *outage) graceEnds() time.Time {
	if ou.recoveredAt.IsZero() {
		return time.Time{}
	}
	return ou.recoveredAt.Add(LapseGrace)
}

// Lapsed is what an instance tells its peers beside its list.
type Lapsed struct {
	// Targets take work although their entries are missing.
	Targets []Target `json:"Targets"`
	// Left is how much longer a missing entry may be the doing of the store; zero when the store is well.
	GraceLeft time.Duration `json:"Left"`
}

// Trouble notes that the store could not be asked.
func (dr *Directory) RecordStoreFailure() {
	dr.mu.Lock()
	dr.ownOutage.recordFailure(dr.now())
	dr.mu.Unlock()
}

// Back notes that the store answers a question that was asked at a time. It is called before the answer is taken.
func (dr *Directory) RecordStoreRecovery(evidence time.Time) {
	dr.mu.Lock()
	dr.ownOutage.recordSuccess(evidence)
	dr.mu.Unlock()
}

// Lapsed returns what peers have to know beside the list.
func (dr *Directory) Lapsed() Lapsed {
	dr.mu.Lock()
	defer dr.mu.Unlock()
	now := dr.now()
	la := Lapsed{GraceLeft: max(0, dr.ownOutage.graceEnds().Sub(now), dr.peerGraceUntil.Sub(now))}
	for _, en := range dr.entries {
		if !en.missingSince.IsZero() && en.takesWork(now) {
			la.Targets = append(la.Targets, en.Target)
		}
	}
	return la
}

// replaceTold takes a whole list from a peer. The lock is held.
func (dr *Directory) replaceFromPeer(list []Target, la Lapsed, evidence time.Time) []Change {
	for _, tg := range la.Targets {
		dr.addLapsed(tg)
	}
	changes := dr.replaceAll(list, evidence)
	var until time.Time
	if la.GraceLeft > 0 {
		until = dr.now().Add(min(la.GraceLeft, LapseGrace))
		dr.peerGraceUntil = until
	}
	for _, ch := range changes {
		if ch.Kind == "gone" {
			dr.entries[ch.Target.ID].graceUntil = until
		}
	}
	return changes
}

// know adds a target that this instance has not heard of.
func (dr *Directory) addLapsed(tg Target) {
	if _, known := dr.entries[tg.ID]; known {
		return
	}
	if present, _ := dr.registerLatest(tg); !present {
		return
	}
	_, told := dr.leavingSince[tg.ID]
	dr.entries[tg.ID] = &entry{Target: tg, leaving: tg.Leaving || told}
}

// unheard reports whether a target is not listed and nothing shows that it lives: it took no connection, or nothing of
// its availability zone has answered since the store went away.
func (dr *Directory) presumedDead(en *entry, now time.Time) bool {
	if en.missingSince.IsZero() {
		return false
	}
	return now.Before(en.unreachableUntil) || !dr.zone(en.AvailabilityZone).reachedAt.After(dr.ownOutage.startedAt)
}
