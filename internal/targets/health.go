package targets

import "time"

const (
	// outcomeWeight is what one outcome counts in the share of failures: about the last ten count.
	failureRateWeight = 0.2
	// ejectFrom is the share of failures that takes a target out: three in a row, or soon when four in ten fail. A target
	// that fails one in ten stays: its requests can be asked for elsewhere.
	ejectThreshold = 0.48
	// wellBelow is the share below which a target comes back early: four good answers in a row of what was under way.
	readmitThreshold = 0.15
	// ejectTrial is the share with which it comes back: two failures take it out again.
	readmittedFailureRate = 0.32
	// ejectFor is how long a target is first left out; it doubles with each further ejection up to ejectMost.
	minEjection = time.Second
	maxEjection = 8 * time.Second
	// calmFor is the time without failures after which earlier ejections are forgotten: longer than a target is left out.
	ejectionMemory = 20 * time.Second
	// suspectFrom is the share of failures from which a target is suspect: two in a row, until a good answer. Single
	// failures occur on calm days too.
	suspectThreshold = 0.3
	// suspectFor is how long it stays so when it gets no requests: most troubles of the platform last about as long.
	maxSuspicion = 5 * time.Second
)

// Success notes a good answer.
func (dr *Directory) RecordSuccess(id string) {
	dr.mu.Lock()
	defer dr.mu.Unlock()
	if en, ok := dr.entries[id]; ok {
		en.failureRate *= 1 - failureRateWeight
		if en.failureRate < readmitThreshold {
			// What was under way when it was left out went well.
			en.ejectedUntil = time.Time{}
		}
		dr.recordReachable(en)
	}
}

// Reached notes that a target answered, whatever it said.
func (dr *Directory) RecordReachable(id string) {
	dr.mu.Lock()
	defer dr.mu.Unlock()
	if en, ok := dr.entries[id]; ok {
		dr.recordReachable(en)
	}
}

func (dr *Directory) recordReachable(en *entry) {
	en.connectFailures = 0
	en.unreachableUntil = time.Time{}
	if dr.zone(en.AvailabilityZone).recordAnswer(dr.now()) {
		dr.clearZoneFailures(en.AvailabilityZone)
	}
}

// reopen forgets what was held against the targets of an availability zone that answers again.
func (dr *Directory) clearZoneFailures(zone string) {
	for _, en := range dr.entries {
		if en.AvailabilityZone == zone {
			en.connectFailures = 0
			en.unreachableUntil = time.Time{}
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
	if now.Sub(en.lastFailureAt) > ejectionMemory {
		en.failureRate, en.ejections = 0, 0
	}
	en.lastFailureAt = now
	if now.Before(en.ejectedUntil) {
		// What was under way when it was left out tells nothing new.
		return false
	}
	en.failureRate += (1 - en.failureRate) * failureRateWeight
	if en.failureRate < ejectThreshold {
		return false
	}
	en.failureRate = readmittedFailureRate
	en.ejectedUntil = now.Add(min(maxEjection, minEjection<<en.ejections))
	en.ejections = min(en.ejections+1, maxDoublings)
	return true
}

// suspect reports whether a target failed lately and has not made up for it by good answers.
func (en *entry) suspect(now time.Time) bool {
	return en.failureRate >= suspectThreshold && now.Sub(en.lastFailureAt) < maxSuspicion
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
	en.unreachableUntil = now.Add(min(maxUnreachablePause, minUnreachablePause<<en.connectFailures))
	en.connectFailures = min(en.connectFailures+1, maxDoublings)
	return dr.zone(en.AvailabilityZone).recordFailure(id, refusalQuiet, now)
}

// maxDoublings keeps the doubling of pauses within bounds.
const maxDoublings = 3

// Silent notes that a target said nothing for longer than it ever should, which counts against its availability zone
// only: the attempt goes on until it fails. It reports whether that is left out for it.
func (dr *Directory) RecordSilence(id string) bool {
	dr.mu.Lock()
	defer dr.mu.Unlock()
	en, ok := dr.entries[id]
	return ok && dr.zone(en.AvailabilityZone).recordFailure(id, silenceQuiet, dr.now())
}

// PeerLost notes that an instance fell silent with which all other instances of its availability zone are lost too. It
// reports whether that is left out for it.
func (dr *Directory) RecordPeerLoss(zone, instance string) bool {
	dr.mu.Lock()
	defer dr.mu.Unlock()
	return dr.zone(zone).recordFailure(instance, silenceQuiet, dr.now())
}

// Chosen notes that a request goes to a target. In an availability zone that may be back it is the probe: no other
// request is sent there until it ends.
func (dr *Directory) RecordDispatch(id string) {
	dr.mu.Lock()
	defer dr.mu.Unlock()
	if en, ok := dr.entries[id]; ok {
		dr.zone(en.AvailabilityZone).recordProbe(dr.now())
	}
}

func (dr *Directory) zone(name string) *zone {
	zn, ok := dr.zones[name]
	if !ok {
		zn = &zone{failures: map[string]time.Time{}}
		dr.zones[name] = zn
	}
	return zn
}
