package targets

import "time"

const (
	// zoneSuspects is how many targets or instances of an availability zone must fail, and none answer since, for the
	// whole availability zone to be left out. One alone is a dead target, two at once are seldom chance.
	minZoneFailures = 2
	// signFor is how long a failure counts: the longest silences are noticed about 2 s apart.
	zoneFailureWindow = 5 * time.Second
	// zoneQuiet is the time without any answer from an availability zone after which refused connections show that it
	// is cut off: answers come many times a second from one that is not.
	refusalQuiet = 200 * time.Millisecond
	// zoneSilence is the same for silence, which a long prompt on several engines causes too: their neighbours answer
	// well within a second.
	silenceQuiet = time.Second
	// probeFor is how long a probe may take: the silence after which an attempt is given up, and a margin.
	probeTimeout = 2 * time.Second
	// doubtFor is how long an availability zone may be left to probes: one that nobody probed is taken as sound.
	maxUnverified = 5 * time.Second
)

// zone is what is believed of one availability zone. Its fields are guarded by the directory.
type zone struct {
	// reachedAt is when a target there last took a connection or answered.
	reachedAt time.Time
	// signs holds the targets and instances that failed since, and when.
	failures map[string]time.Time
	// outUntil is until when its targets are left out; zero while it is taken as sound.
	excludedUntil time.Time
	// cuts counts how often it was left out since the last answer, as far as it lengthens the pause.
	exclusions int
	// probeUntil is when a further probe may go out.
	nextProbeAt time.Time
}

// answered notes an answer and reports whether the availability zone was in doubt.
func (zn *zone) recordAnswer(now time.Time) bool {
	zn.reachedAt = now
	clear(zn.failures)
	doubted := !zn.excludedUntil.IsZero()
	zn.excludedUntil, zn.nextProbeAt, zn.exclusions = time.Time{}, time.Time{}, 0
	return doubted
}

// failed notes that a target or instance did not answer, and reports whether the availability zone is left out for it.
// It counts when nothing else has answered for longer than quiet.
func (zn *zone) recordFailure(from string, quiet time.Duration, now time.Time) bool {
	for id, at := range zn.failures {
		if now.Sub(at) > zoneFailureWindow {
			delete(zn.failures, id)
		}
	}
	zn.failures[from] = now
	switch {
	case now.Sub(zn.reachedAt) <= quiet:
	case zn.unverified(now) && now.Before(zn.excludedUntil):
		// What was under way when it was cut off tells nothing new.
	case zn.unverified(now) || len(zn.failures) >= minZoneFailures:
		zn.exclude(now)
		return true
	}
	return false
}

func (zn *zone) exclude(now time.Time) {
	zn.excludedUntil = now.Add(min(maxUnreachablePause, minUnreachablePause<<zn.exclusions))
	zn.exclusions = min(zn.exclusions+1, maxDoublings)
	zn.nextProbeAt = time.Time{}
}

// doubted reports whether it was left out and has not answered since.
func (zn *zone) unverified(now time.Time) bool {
	return !zn.excludedUntil.IsZero() && now.Before(zn.excludedUntil.Add(maxUnverified))
}

// probeDue reports whether one request may find out whether it is back.
func (zn *zone) probeDue(now time.Time) bool {
	return zn.unverified(now) && !now.Before(zn.excludedUntil) && !now.Before(zn.nextProbeAt)
}

// probed notes a request that goes there.
func (zn *zone) recordProbe(now time.Time) {
	if zn.probeDue(now) {
		zn.nextProbeAt = now.Add(probeTimeout)
	}
}
