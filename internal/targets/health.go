package targets

import "time"

const (
	// outcomeWeight is what one outcome counts in the share of failures: about the last ten count.
	outcomeWeight = 0.2
	// ejectFrom is the share of failures that takes a target out: three in a row, or soon when four in ten fail. A target
	// that fails one in ten stays: its requests can be asked for elsewhere.
	ejectFrom = 0.48
	// wellBelow is the share below which a target comes back early: four good answers in a row of what was under way.
	wellBelow = 0.15
	// ejectTrial is the share with which it comes back: two failures take it out again.
	ejectTrial = 0.32
	// ejectFor is how long a target is first left out; it doubles with each further ejection up to ejectMost.
	ejectFor  = time.Second
	ejectMost = 8 * time.Second
	// calmFor is the time without failures after which earlier ejections are forgotten: longer than a target is left out.
	calmFor = 20 * time.Second
	// suspectFrom is the share of failures from which a target is suspect: two in a row, until a good answer. Single
	// failures occur on calm days too.
	suspectFrom = 0.3
	// suspectFor is how long it stays so when it gets no requests: most troubles of the platform last about as long.
	suspectFor = 5 * time.Second
)

// Success notes a good answer.
func (dr *Directory) RecordSuccess(id string) {
	dr.mu.Lock()
	defer dr.mu.Unlock()
	if en, ok := dr.entries[id]; ok {
		en.failing *= 1 - outcomeWeight
		if en.failing < wellBelow {
			// What was under way when it was left out went well.
			en.outUntil = time.Time{}
		}
		dr.reached(en)
	}
}

// Reached notes that a target answered, whatever it said.
func (dr *Directory) RecordReachable(id string) {
	dr.mu.Lock()
	defer dr.mu.Unlock()
	if en, ok := dr.entries[id]; ok {
		dr.reached(en)
	}
}

func (dr *Directory) reached(en *entry) {
	en.refusals = 0
	en.cutUntil = time.Time{}
	if dr.zone(en.AvailabilityZone).answered(dr.now()) {
		dr.reopen(en.AvailabilityZone)
	}
}

// reopen forgets what was held against the targets of an availability zone that answers again.
func (dr *Directory) reopen(zone string) {
	for _, en := range dr.entries {
		if en.AvailabilityZone == zone {
			en.refusals = 0
			en.cutUntil = time.Time{}
		}
	}
}

// Failure notes a failed attempt and reports whether it took the target out. A target may fail for some callers only,
// so that peers are not told.
func (dr *Directory) RecordFailure(id string) bool {
	dr.mu.Lock()
	defer dr.mu.Unlock()
	en, ok := dr.entries[id]
	if !ok {
		return false
	}
	now := dr.now()
	if now.Sub(en.failedAt) > calmFor {
		en.failing, en.ejections = 0, 0
	}
	en.failedAt = now
	if now.Before(en.outUntil) {
		// What was under way when it was left out tells nothing new.
		return false
	}
	en.failing += (1 - en.failing) * outcomeWeight
	if en.failing < ejectFrom {
		return false
	}
	en.failing = ejectTrial
	en.outUntil = now.Add(min(ejectMost, ejectFor<<en.ejections))
	en.ejections = min(en.ejections+1, maxDoublings)
	return true
}

// suspect reports whether a target failed lately and has not made up for it by good answers.
func (en *entry) suspect(now time.Time) bool {
	return en.failing >= suspectFrom && now.Sub(en.failedAt) < suspectFor
}

// Unreachable notes that a target took no connection, which also counts against its availability zone. It reports whether
// that is left out for it.
func (dr *Directory) RecordUnreachable(id string) bool {
	dr.mu.Lock()
	defer dr.mu.Unlock()
	en, ok := dr.entries[id]
	if !ok {
		return false
	}
	now := dr.now()
	en.cutUntil = now.Add(min(unreachableMost, unreachableFor<<en.refusals))
	en.refusals = min(en.refusals+1, maxDoublings)
	return dr.zone(en.AvailabilityZone).failed(id, zoneQuiet, now)
}

// maxDoublings keeps the doubling of pauses within bounds.
const maxDoublings = 3

// Silent notes that a target said nothing for longer than it ever should, which counts against its availability zone
// only: the attempt goes on until it fails. It reports whether that is left out for it.
func (dr *Directory) RecordSilence(id string) bool {
	dr.mu.Lock()
	defer dr.mu.Unlock()
	en, ok := dr.entries[id]
	return ok && dr.zone(en.AvailabilityZone).failed(id, zoneSilence, dr.now())
}

// PeerLost notes that an instance fell silent with which all other instances of its availability zone are lost too. It
// reports whether that is left out for it.
func (dr *Directory) RecordPeerLoss(zone, instance string) bool {
	dr.mu.Lock()
	defer dr.mu.Unlock()
	return dr.zone(zone).failed(instance, zoneSilence, dr.now())
}

// Chosen notes that a request goes to a target. In an availability zone that may be back it is the probe: no other
// request is sent there until it ends.
func (dr *Directory) RecordDispatch(id string) {
	dr.mu.Lock()
	defer dr.mu.Unlock()
	if en, ok := dr.entries[id]; ok {
		dr.zone(en.AvailabilityZone).probed(dr.now())
	}
}

func (dr *Directory) zone(name string) *zone {
	zn, ok := dr.zones[name]
	if !ok {
		zn = &zone{signs: map[string]time.Time{}}
		dr.zones[name] = zn
	}
	return zn
}
