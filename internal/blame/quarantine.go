package blame

import (
	"bytes"
	"slices"
	"strings"
	"time"

	"github.com/apex/log"

	"github.com/silvermount/silvermount/internal/fingerprint"
)

// Judgement says that a request ends the targets that run it.
type Quarantine struct {
	Request fingerprint.Fingerprint
	// Ends is how many targets had ended under it.
	Crashes int
	// Level counts the judgements in a row, from 1.
	Level int
	// Since is when it was judged, Until how long it is refused.
	Since, Until time.Time
}

// inForce reports whether the request is refused at a time.
func (qu Quarantine) activeAt(now time.Time) bool { return now.Before(qu.Until) }

// forgetAt is when a judgement that has passed is forgotten: until then one more end is enough for the next.
func (qu Quarantine) retainedUntil() time.Time { return qu.Until.Add(qu.Until.Sub(qu.Since)) }

// term is how long a judgement of a level is in force.
func quarantineDuration(level int) time.Duration {
	d := initialQuarantine
	for range level - 1 {
		d = min(2*d, maxQuarantine)
	}
	return d
}

// clearance says that nothing is held against a request that happened up to a time.
type tombstone struct {
	at time.Time
	// until is how long it stands against judgements that peers still tell; zero where there was none.
	until time.Time
	// lifted is set when an operator cleared it: then all instances tell it on.
	byOperator bool
}

// Judgements returns those in force, by fingerprint.
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

// Lift takes a judgement back at all instances. It reports whether there was one.
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

// pass notes a judgement. The lock is held.
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
	tr.opts.Log.WithFields(fields).Warn("request judged to end its targets")
}

// forgetJudgement forgets the judgement that passes first. The lock is held.
func (tr *Tracker) evictQuarantine() {
	var first Quarantine
	for _, qu := range tr.quarantines {
		if first.Until.IsZero() || qu.Until.Before(first.Until) {
			first = qu
		}
	}
	tr.removeQuarantine(first.Request)
}

// dropJudgement forgets a judgement. The lock is held.
func (tr *Tracker) removeQuarantine(fp fingerprint.Fingerprint) {
	delete(tr.quarantines, fp)
	adjustCount(tr.headCounts, fp.HeadHash(), -1)
}

// clear takes back all that is held against a request up to a time, and reports whether that was anything. The lock is held.
func (tr *Tracker) clear(fp fingerprint.Fingerprint, ts tombstone) bool {
	cleared := tr.removeEvidence(fp, ts.at)
	tr.localEvidence = slices.DeleteFunc(tr.localEvidence, func(rn InterruptedRun) bool { return rn.Request == fp && !rn.At.After(ts.at) })
	tr.interrupted = slices.DeleteFunc(tr.interrupted, func(rn InterruptedRun) bool { return rn.Request == fp && !rn.At.After(ts.at) })
	if qu, ok := tr.quarantines[fp]; ok {
		cleared = true
		ts.until = qu.retainedUntil()
		tr.removeQuarantine(fp)
		tr.opts.Log.WithFields(log.Fields{
			"fingerprint": fp.String(), "ends": qu.Crashes, "lifted": ts.byOperator,
		}).Warn("judgement taken back")
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

// release takes back the ends that are held against a request up to a time, and reports whether there were any. The lock is held.
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

// forgetCleared forgets the clearance that is longest ago. The lock is held.
func (tr *Tracker) evictOldestTombstone() {
	var oldest fingerprint.Fingerprint
	for fp, ts := range tr.tombstones {
		if oldestTombstone, ok := tr.tombstones[oldest]; !ok || ts.at.Before(oldestTombstone.at) {
			oldest = fp
		}
	}
	delete(tr.tombstones, oldest)
}

// expireJudgements forgets judgements and clearances that are too old. The lock is held.
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

// names lists the targets of runs, separated by commas.
func joinTargets(runs []InterruptedRun) string {
	ids := make([]string, len(runs))
	for i, rn := range runs {
		ids[i] = rn.Incarnation
	}
	slices.Sort(ids)
	return strings.Join(ids, ",")
}
