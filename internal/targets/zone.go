package targets

import "time"

const (
	// minZoneFailures is how many targets or instances of an availability zone must fail, with no answer from the zone since, to
	// exclude the whole zone. One alone is a dead target; two at once are rarely a coincidence.
	minZoneFailures = 2
	// zoneFailureWindow is how long a failure counts. The longest silences are detected about 2 s apart.
	zoneFailureWindow = 5 * time.Second
	// refusalQuietPeriod is the time without any answer from an availability zone after which failed connections count against
	// it. A zone that is not cut off answers many times per second.
	refusalQuietPeriod = 200 * time.Millisecond
	// silenceQuietPeriod is the same for silence. Several engines may also be silent because of long prompts, but then other
	// targets of the zone answer well within a second.
	silenceQuietPeriod = time.Second
	// probeTimeout is how long a probe may take: the silence after which an attempt is aborted, plus a margin.
	probeTimeout = 2 * time.Second
	// probeOnlyPeriod is how long after its pause an availability zone gets only probes. A zone that was not probed by then is
	// taken as reachable.
	probeOnlyPeriod = 5 * time.Second
)

// zone is the state of one availability zone. Its fields are guarded by the lock of the directory.
type zone struct {
	// reachedAt is when a target of the zone last accepted a connection or answered.
	reachedAt time.Time
	// failures holds when targets and instances of the zone failed since reachedAt, by their IDs and names.
	failures map[string]time.Time
	// excludedUntil is when the pause of the zone ends; zero while the zone is taken as reachable.
	excludedUntil time.Time
	// exclusions counts the exclusions since the last answer, up to maxDoublings; each doubles the next pause.
	exclusions int
	// nextProbeAt is when another probe may be sent.
	nextProbeAt time.Time
}

// recordAnswer records an answer and reports whether it ends an exclusion of the zone.
func (zn *zone) recordAnswer(now time.Time) bool {
	zn.reachedAt = now
	wasExcluded := !zn.excludedUntil.IsZero()
	zn.forgetFailures()
	return wasExcluded
}

// forgetFailures ends an exclusion and clears the failures that may lead to one.
func (zn *zone) forgetFailures() {
	clear(zn.failures)
	zn.excludedUntil, zn.nextProbeAt, zn.exclusions = time.Time{}, time.Time{}, 0
}

// recordFailure records that a target or instance failed to answer, and reports whether this excludes the zone. It does so only
// when nothing in the zone has answered for longer than quiet.
func (zn *zone) recordFailure(source string, quiet time.Duration, now time.Time) bool {
	for id, at := range zn.failures {
		if now.Sub(at) > zoneFailureWindow {
			delete(zn.failures, id)
		}
	}
	zn.failures[source] = now
	switch {
	case now.Sub(zn.reachedAt) <= quiet:
	case zn.unverified(now) && now.Before(zn.excludedUntil):
		// Requests in flight when the zone was excluded do not extend the exclusion.
	case zn.unverified(now) || len(zn.failures) >= minZoneFailures:
		zn.exclude(now)
		return true
	}
	return false
}

// exclude starts a pause, which doubles with each exclusion since the last answer.
func (zn *zone) exclude(now time.Time) {
	zn.excludedUntil = now.Add(min(maxUnreachablePause, minUnreachablePause<<zn.exclusions))
	zn.exclusions = min(zn.exclusions+1, maxDoublings)
	zn.nextProbeAt = time.Time{}
}

// unverified reports whether the zone was excluded and has not answered since. It ends at the latest probeOnlyPeriod after the
// pause.
func (zn *zone) unverified(now time.Time) bool {
	return !zn.excludedUntil.IsZero() && now.Before(zn.excludedUntil.Add(probeOnlyPeriod))
}

// probeDue reports whether one request may be sent to the zone to find out whether it is reachable again.
func (zn *zone) probeDue(now time.Time) bool {
	return zn.unverified(now) && !now.Before(zn.excludedUntil) && !now.Before(zn.nextProbeAt)
}

// recordProbe records a request sent to the zone, which is the probe if one is due.
func (zn *zone) recordProbe(now time.Time) {
	if zn.probeDue(now) {
		zn.nextProbeAt = now.Add(probeTimeout)
	}
}
