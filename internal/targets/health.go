package targets

import "time"

const (
	// failureRateWeight is the weight of a new outcome in the moving average of the failure rate: about the last ten outcomes
	// count.
	failureRateWeight = 0.2
	// ejectThreshold is the failure rate that ejects a target. Three failures in a row reach it, and four in ten reach it soon. A
	// target that fails one request in ten stays, because its failed requests can be retried elsewhere.
	ejectThreshold = 0.48
	// readmitThreshold is the failure rate below which an ejected target is readmitted early: after four successes in a row among
	// the requests in flight when it was ejected.
	readmitThreshold = 0.15
	// readmittedFailureRate is the failure rate with which a target returns from an ejection: two failures eject it again.
	readmittedFailureRate = 0.32
	// minEjection is the duration of the first ejection; it doubles with each further ejection, up to maxEjection.
	minEjection = time.Second
	maxEjection = 8 * time.Second
	// ejectionMemory is the time without failures after which earlier ejections no longer count. It is longer than any ejection.
	ejectionMemory = 20 * time.Second
	// suspectThreshold is the failure rate from which a target is suspect: two failures in a row reach it, and a success ends it.
	// Single failures also occur in normal operation.
	suspectThreshold = 0.3
	// suspectPeriod is how long a target stays suspect when it gets no requests: most platform incidents last about as long.
	suspectPeriod = 5 * time.Second
)

// RecordSuccess records a successful answer of a target.
func (dr *Directory) RecordSuccess(id string) {
	dr.mu.Lock()
	defer dr.mu.Unlock()
	if en, ok := dr.entries[id]; ok {
		en.failureRate *= 1 - failureRateWeight
		if en.failureRate < readmitThreshold {
			// The requests in flight when the target was ejected succeeded.
			en.ejectedUntil = time.Time{}
		}
		dr.recordReachable(en)
	}
}

// RecordReachable records that a target answered, whether or not with success.
func (dr *Directory) RecordReachable(id string) {
	dr.mu.Lock()
	defer dr.mu.Unlock()
	if en, ok := dr.entries[id]; ok {
		dr.recordReachable(en)
	}
}

// recordReachable ends the pause of a target, and that of its availability zone. The caller holds the lock.
func (dr *Directory) recordReachable(en *entry) {
	en.connectFailures = 0
	en.unreachableUntil = time.Time{}
	if dr.zone(en.AvailabilityZone).recordAnswer(dr.now()) {
		dr.clearZoneFailures(en.AvailabilityZone)
	}
}

// clearZoneFailures clears the connection failures of all targets of an availability zone that answers again. The caller holds
// the lock.
func (dr *Directory) clearZoneFailures(zone string) {
	for _, en := range dr.entries {
		if en.AvailabilityZone == zone {
			en.connectFailures = 0
			en.unreachableUntil = time.Time{}
		}
	}
}

// RecordFailure records a failed attempt and reports whether it ejected the target. Peers are not notified of ejections, because
// a target may fail for some callers only.
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
		// Requests that were in flight when the target was ejected do not extend the ejection.
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

// suspect reports whether a target failed recently without enough successes since.
func (en *entry) suspect(now time.Time) bool {
	return en.failureRate >= suspectThreshold && now.Sub(en.lastFailureAt) < suspectPeriod
}

// RecordUnreachable records that a target accepted no connection, which also counts against its availability zone. It reports
// whether this excludes the availability zone.
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
	return dr.zone(en.AvailabilityZone).recordFailure(id, refusalQuietPeriod, now)
}

// maxDoublings bounds how often a pause or an ejection doubles.
const maxDoublings = 3

// RecordSilence records that a target was silent for longer than a healthy one ever is. It counts only against the availability
// zone, since the attempt continues until it fails. It reports whether this excludes the availability zone.
func (dr *Directory) RecordSilence(id string) bool {
	dr.mu.Lock()
	defer dr.mu.Unlock()
	en, ok := dr.entries[id]
	return ok && dr.zone(en.AvailabilityZone).recordFailure(id, silenceQuietPeriod, dr.now())
}

// RecordPeerLoss records that an instance fell silent and that no other instance of its availability zone is alive. It reports
// whether this excludes the availability zone.
func (dr *Directory) RecordPeerLoss(zone, instance string) bool {
	dr.mu.Lock()
	defer dr.mu.Unlock()
	return dr.zone(zone).recordFailure(instance, silenceQuietPeriod, dr.now())
}

// RecordDispatch records that a request is sent to a target. When a probe of the target's availability zone is due, the request
// is that probe, and no other request is sent there until it ends or probeTimeout has passed.
func (dr *Directory) RecordDispatch(id string) {
	dr.mu.Lock()
	defer dr.mu.Unlock()
	if en, ok := dr.entries[id]; ok {
		dr.zone(en.AvailabilityZone).recordProbe(dr.now())
	}
}

// zone returns the state of an availability zone, and creates it on first use. The caller holds the lock.
func (dr *Directory) zone(name string) *zone {
	zn, ok := dr.zones[name]
	if !ok {
		zn = &zone{failures: map[string]time.Time{}}
		dr.zones[name] = zn
	}
	return zn
}
