package targets

import "time"

const (
	// zoneSuspects is how many targets or instances of an availability zone must fail, and none answer since, for the
	// whole availability zone to be left out. One alone is a dead target, two at once are seldom chance.
	zoneSuspects = 2
	// signFor is how long a failure counts: the longest silences are noticed about 2 s apart.
	signFor = 5 * time.Second
	// zoneQuiet is the time without any answer from an availability zone after which refused connections show that it
	// is cut off: answers come many times a second from one that is not.
	zoneQuiet = 200 * time.Millisecond
	// zoneSilence is the same for silence, which a long prompt on several engines causes too: their neighbours answer
	// well within a second.
	zoneSilence = time.Second
	// probeFor is how long a probe may take: the silence after which an attempt is given up, and a margin.
	probeFor = 2 * time.Second
	// doubtFor is how long an availability zone may be left to probes: one that nobody probed is taken as sound.
	doubtFor = 5 * time.Second
)

// zone is what is believed of one availability zone. Its fields are guarded by the directory.
type zone struct {
	// reachedAt is when a target there last took a connection or answered.
	reachedAt time.Time
	// signs holds the targets and instances that failed since, and when.
	signs map[string]time.Time
	// outUntil is until when its targets are left out; zero while it is taken as sound.
	outUntil time.Time
	// cuts counts how often it was left out since the last answer, as far as it lengthens the pause.
	cuts int
	// probeUntil is when a further probe may go out.
	probeUntil time.Time
}

// answered notes an answer and reports whether the availability zone was in doubt.
func (zn *zone) answered(now time.Time) bool {
	zn.reachedAt = now
	clear(zn.signs)
	doubted := !zn.outUntil.IsZero()
	zn.outUntil, zn.probeUntil, zn.cuts = time.Time{}, time.Time{}, 0
	return doubted
}

// failed notes that a target or instance did not answer, and reports whether the availability zone is left out for it.
// It counts when nothing else has answered for longer than quiet.
func (zn *zone) failed(from string, quiet time.Duration, now time.Time) bool {
	for id, at := range zn.signs {
		if now.Sub(at) > signFor {
			delete(zn.signs, id)
		}
	}
	zn.signs[from] = now
	switch {
	case now.Sub(zn.reachedAt) <= quiet:
	case zn.doubted(now) && now.Before(zn.outUntil):
		// What was under way when it was cut off tells nothing new.
	case zn.doubted(now) || len(zn.signs) >= zoneSuspects:
		zn.leaveOut(now)
		return true
	}
	return false
}

func (zn *zone) leaveOut(now time.Time) {
	zn.outUntil = now.Add(min(unreachableMost, unreachableFor<<zn.cuts))
	zn.cuts = min(zn.cuts+1, maxDoublings)
	zn.probeUntil = time.Time{}
}

// doubted reports whether it was left out and has not answered since.
func (zn *zone) doubted(now time.Time) bool {
	return !zn.outUntil.IsZero() && now.Before(zn.outUntil.Add(doubtFor))
}

// probeDue reports whether one request may find out whether it is back.
func (zn *zone) probeDue(now time.Time) bool {
	return zn.doubted(now) && !now.Before(zn.outUntil) && !now.Before(zn.probeUntil)
}

// probed notes a request that goes there.
func (zn *zone) probed(now time.Time) {
	if zn.probeDue(now) {
		zn.probeUntil = now.Add(probeFor)
	}
}
