package quarantine

import (
	"bytes"
	"slices"
	"strings"
	"time"

	"github.com/apex/log"

	"github.com/silvermount/silvermount/internal/fingerprint"
)

// Quarantine is the decision that a request crashes its targets and is refused for a time.
type Quarantine struct {
	Request fingerprint.Fingerprint
	// Crashes is the number of targets that had crashed while they ran the request.
	Crashes int
	// Level is the number of consecutive quarantines of the request, from 1.
	Level int
	// Since is when the request was quarantined, Until when it is no longer refused.
	Since, Until time.Time
}

// activeAt reports whether the request is refused at a time.
func (qu Quarantine) activeAt(now time.Time) bool { return now.Before(qu.Until) }

// retainedUntil returns when a quarantine that has ended is forgotten. Until then a single crash can lead to the next quarantine.
func (qu Quarantine) retainedUntil() time.Time { return qu.Until.Add(qu.Until.Sub(qu.Since)) }

// quarantineDuration returns the duration of a quarantine of the given level.
func quarantineDuration(level int) time.Duration {
	d := initialQuarantine
	for range level - 1 {
		d = min(2*d, maxQuarantine)
	}
	return d
}

// tombstone voids the evidence against a request up to a time.
type tombstone struct {
	// at is the time up to which evidence and quarantines are void.
	at time.Time
	// until is how long the tombstone overrides quarantines that peers still send; zero if there was no quarantine.
	until time.Time
	// byOperator is set when an operator lifted the quarantine. All instances then forward the tombstone.
	byOperator bool
}

// Quarantines returns the active quarantines, sorted by fingerprint.
func (tr *Tracker) Quarantines() []Quarantine {
	tr.mu.Lock()
	defer tr.mu.Unlock()
	now := tr.opts.Now()
	var list []Quarantine
	for _, qu := range tr.quarantines {
		if qu.activeAt(now) {
			list = append(list, qu)
		}
	}
	slices.SortFunc(list, func(a, b Quarantine) int { return bytes.Compare(a.Request[:], b.Request[:]) })
	return list
}

// LiftQuarantine ends the quarantine of a request on all instances, at the request of an operator. It reports whether there was
// one.
func (tr *Tracker) LiftQuarantine(fp fingerprint.Fingerprint) bool {
	tr.mu.Lock()
	defer tr.mu.Unlock()
	tr.expire()
	if _, ok := tr.quarantines[fp]; !ok {
		return false
	}
	tr.clear(fp, tombstone{at: tr.opts.Now(), byOperator: true})
	tr.evaluateAndNotify()
	return true
}

// quarantine stores a quarantine and logs it. The caller holds the lock.
func (tr *Tracker) quarantine(qu Quarantine, fields log.Fields) {
	if len(tr.quarantines) >= maxQuarantines {
		tr.evictQuarantine()
	}
	if _, quarantinedBefore := tr.quarantines[qu.Request]; !quarantinedBefore {
		adjustCount(tr.headCounts, qu.Request.HeadHash(), 1)
	}
	tr.quarantines[qu.Request] = qu
	fields["fingerprint"] = qu.Request.String()
	fields["ends"] = qu.Crashes
	fields["level"] = qu.Level
	fields["for"] = qu.Until.Sub(tr.opts.Now()).Round(time.Second).String()
	tr.opts.Log.WithFields(fields).Warn("request quarantined: targets crashed while they ran it")
}

// evictQuarantine removes the quarantine that ends first. The caller holds the lock.
func (tr *Tracker) evictQuarantine() {
	var first Quarantine
	for _, qu := range tr.quarantines {
		if first.Until.IsZero() || qu.Until.Before(first.Until) {
			first = qu
		}
	}
	tr.removeQuarantine(first.Request)
}

// removeQuarantine removes the quarantine of a request. The caller holds the lock.
func (tr *Tracker) removeQuarantine(fp fingerprint.Fingerprint) {
	delete(tr.quarantines, fp)
	adjustCount(tr.headCounts, fp.HeadHash(), -1)
}

// clear voids the evidence against a request up to the time of the tombstone, and any quarantine. It reports whether there was
// anything to void. The caller holds the lock.
func (tr *Tracker) clear(fp fingerprint.Fingerprint, ts tombstone) bool {
	cleared := tr.removeEvidence(fp, ts.at)
	tr.localEvidence = slices.DeleteFunc(tr.localEvidence, func(rn InterruptedRun) bool {
		return rn.Request == fp && !rn.At.After(ts.at)
	})
	tr.interrupted = slices.DeleteFunc(tr.interrupted, func(rn InterruptedRun) bool {
		return rn.Request == fp && !rn.At.After(ts.at)
	})
	if qu, ok := tr.quarantines[fp]; ok {
		cleared = true
		ts.until = qu.retainedUntil()
		tr.removeQuarantine(fp)
		tr.opts.Log.WithFields(log.Fields{
			"fingerprint": fp.String(), "ends": qu.Crashes, "lifted": ts.byOperator,
		}).Warn("quarantine cleared")
	}
	if !cleared {
		return false
	}
	if len(tr.tombstones) >= maxQuarantines {
		tr.evictOldestTombstone()
	}
	tr.tombstones[fp] = ts
	return true
}

// removeEvidence removes the evidence against a request up to a time, and reports whether there was any. The caller holds the
// lock.
func (tr *Tracker) removeEvidence(fp fingerprint.Fingerprint, until time.Time) bool {
	if tr.evidenceCounts[fp] == 0 {
		return false
	}
	removed := false
	for _, cr := range tr.crashes {
		if rn, ok := cr.runsByRequest[fp]; ok && !rn.At.After(until) {
			delete(cr.runsByRequest, fp)
			tr.adjustCounts(fp, -1)
			removed = true
		}
	}
	return removed
}

// evictOldestTombstone removes the oldest tombstone. The caller holds the lock.
func (tr *Tracker) evictOldestTombstone() {
	var oldest fingerprint.Fingerprint
	for fp, ts := range tr.tombstones {
		if oldestTombstone, ok := tr.tombstones[oldest]; !ok || ts.at.Before(oldestTombstone.at) {
			oldest = fp
		}
	}
	delete(tr.tombstones, oldest)
}

// expireQuarantines removes quarantines and tombstones that are too old. The caller holds the lock.
func (tr *Tracker) expireQuarantines(now time.Time) {
	for fp, qu := range tr.quarantines {
		if !now.Before(qu.retainedUntil()) {
			tr.removeQuarantine(fp)
		}
	}
	for fp, ts := range tr.tombstones {
		if now.Sub(ts.at) > gossipDuration && !now.Before(ts.until) {
			delete(tr.tombstones, fp)
		}
	}
}

// joinTargets returns the targets of the runs, sorted and separated by commas.
func joinTargets(runs []InterruptedRun) string {
	ids := make([]string, len(runs))
	for i, rn := range runs {
		ids[i] = rn.Incarnation
	}
	slices.Sort(ids)
	return strings.Join(ids, ",")
}
