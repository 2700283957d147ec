package quarantine

import (
	"slices"
	"time"

	"github.com/silvermount/silvermount/internal/fingerprint"
)

const (
	// answerGeneration is the time after which the older half of the answer memory is forgotten.
	answerGeneration = 30 * time.Second
	// maxAnswersPerGeneration bounds each half of the answer memory; 60 bytes for each fingerprint.
	maxAnswersPerGeneration = 4096
	// announcerCount is how many instances tell the others of an answer at once. The others wait for more evidence, because an answer
	// that clears a common fingerprint is seen by all instances.
	announcerCount = 8
)

// answerMemory remembers when fingerprints were last part of a complete answer, for one generation at least unless there are very
// many.
type answerMemory struct {
	current, previous map[fingerprint.Fingerprint]time.Time
	rotatedAt         time.Time
}

// record remembers an answer.
func (am *answerMemory) record(fp fingerprint.Fingerprint, at time.Time) {
	if am.current == nil || len(am.current) >= maxAnswersPerGeneration || at.Sub(am.rotatedAt) > answerGeneration {
		am.previous, am.current, am.rotatedAt = am.current, map[fingerprint.Fingerprint]time.Time{}, at
	}
	am.current[fp] = at
}

// last returns the time of the last answer.
func (am *answerMemory) last(fp fingerprint.Fingerprint) (time.Time, bool) {
	if at, ok := am.current[fp]; ok {
		return at, true
	}
	at, ok := am.previous[fp]
	return at, ok
}

func isPart(fp fingerprint.Fingerprint) bool { return fp.Kind == fingerprint.PromptPart }

// RecordAnswered records that a request was answered completely and successfully, which voids all earlier evidence against its
// fingerprints.
func (tr *Tracker) RecordAnswered(st fingerprint.Set) {
	tr.mu.Lock()
	defer tr.mu.Unlock()
	tr.expire()
	now := tr.opts.Now()
	tr.recentAnswers.add(now, st.Shared())
	published := false
	for _, fp := range st.Shared() {
		tr.answers.record(fp, now)
		published = tr.clearAnswered(fp, now) || published
	}
	if tr.headCounts[st.HeadHash()] > 0 {
		published = tr.clear(st.Whole(), tombstone{at: now}) || published
	}
	if published {
		tr.evaluateAndNotify()
	}
}

// clearAnswered voids the evidence against a fingerprint that may be common to many requests. It reports whether peers need to be told.
// The caller holds the lock.
func (tr *Tracker) clearAnswered(fp fingerprint.Fingerprint, now time.Time) bool {
	if tr.memberCounts[fp] > 0 {
		return tr.clear(fp, tombstone{at: now})
	}
	n := tr.removeEvidence(fp, now)
	return n > 0 && tr.countCleared(fp, now, n)
}

// countCleared counts runs that are no evidence because the fingerprint was answered later. Once peers may know of so many that they
// suspect the fingerprint, it publishes a tombstone and reports true. The caller holds the lock.
func (tr *Tracker) countCleared(fp fingerprint.Fingerprint, answeredAt time.Time, n int) bool {
	tr.unpublished[fp] += n
	limit := minCrashes
	if tr.announces(fp) {
		limit--
	}
	if tr.unpublished[fp] < limit {
		return false
	}
	tr.setTombstone(fp, tombstone{at: answeredAt})
	tr.opts.NotifyPeers()
	return true
}

// announces reports whether this instance is one of the few that tell the others first. They differ between fingerprints.
func (tr *Tracker) announces(fp fingerprint.Fingerprint) bool {
	return tr.rank(fp, 0) < announcerCount
}

// knownSound reports whether a fingerprint was recently part of a complete answer, here or, as far as told, at a peer. The caller holds
// the lock.
func (tr *Tracker) knownSound(fp fingerprint.Fingerprint) bool {
	// The tombstone of a quarantine outlives it by hours, for which a path that turns fatal must not pass as sound.
	ts, ok := tr.tombstones[fp]
	if ok && !ts.byOperator && (!isPath(fp) || tr.opts.Now().Sub(ts.at) <= answerGeneration) {
		return true
	}
	_, ok = tr.answers.last(fp)
	return ok
}

// recentlyAnswered reports whether this instance itself recently answered a request with a fingerprint. The caller holds the lock.
func (tr *Tracker) recentlyAnswered(fp fingerprint.Fingerprint) bool {
	at, ok := tr.answers.last(fp)
	return ok && tr.opts.Now().Sub(at) <= answerGeneration
}

// removeLocalEvidence removes a fingerprint from the evidence of this instance up to a time. The caller holds the lock.
func (tr *Tracker) removeLocalEvidence(fp fingerprint.Fingerprint, until time.Time) {
	tr.localEvidence = slices.DeleteFunc(tr.localEvidence, func(ev Evidence) bool {
		return ev.Fingerprint == fp && !ev.At.After(until)
	})
}
