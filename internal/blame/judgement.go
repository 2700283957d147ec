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
func (ld *Tracker) Quarantines() []Quarantine {
	ld.mu.Lock()
	defer ld.mu.Unlock()
	now := ld.opts.Now()
	var list []Quarantine
	for _, jd := range ld.quarantines {
		if jd.activeAt(now) {
			list = append(list, jd)
		}
	}
	slices.SortFunc(list, func(a, b Quarantine) int { return bytes.Compare(a.Request[:], b.Request[:]) })
	return list
}

// Lift takes a judgement back at all instances. It reports whether there was one.
func (ld *Tracker) LiftQuarantine(fp fingerprint.Fingerprint) bool {
	ld.mu.Lock()
	defer ld.mu.Unlock()
	ld.expire()
	if _, judged := ld.quarantines[fp]; !judged {
		return false
	}
	ld.clear(fp, tombstone{at: ld.opts.Now(), byOperator: true})
	ld.evaluateAndNotify()
	return true
}

// pass notes a judgement. The lock is held.
func (ld *Tracker) quarantine(jd Quarantine, fields log.Fields) {
	if len(ld.quarantines) >= maxQuarantines {
		ld.evictQuarantine()
	}
	if _, before := ld.quarantines[jd.Request]; !before {
		adjustCount(ld.headCounts, jd.Request.HeadHash(), 1)
	}
	ld.quarantines[jd.Request] = jd
	fields["fingerprint"] = jd.Request.String()
	fields["ends"] = jd.Crashes
	fields["level"] = jd.Level
	fields["for"] = jd.Until.Sub(ld.opts.Now()).Round(time.Second).String()
	ld.opts.Log.WithFields(fields).Warn("request judged to end its targets")
}

// forgetJudgement forgets the judgement that passes first. The lock is held.
func (ld *Tracker) evictQuarantine() {
	var first Quarantine
	for _, jd := range ld.quarantines {
		if first.Until.IsZero() || jd.Until.Before(first.Until) {
			first = jd
		}
	}
	ld.removeQuarantine(first.Request)
}

// dropJudgement forgets a judgement. The lock is held.
func (ld *Tracker) removeQuarantine(fp fingerprint.Fingerprint) {
	delete(ld.quarantines, fp)
	adjustCount(ld.headCounts, fp.HeadHash(), -1)
}

// clear takes back all that is held against a request up to a time, and reports whether that was anything. The lock is held.
func (ld *Tracker) clear(fp fingerprint.Fingerprint, cl tombstone) bool {
	held := ld.removeEvidence(fp, cl.at)
	ld.localEvidence = slices.DeleteFunc(ld.localEvidence, func(rn InterruptedRun) bool { return rn.Request == fp && !rn.At.After(cl.at) })
	ld.interrupted = slices.DeleteFunc(ld.interrupted, func(rn InterruptedRun) bool { return rn.Request == fp && !rn.At.After(cl.at) })
	if jd, ok := ld.quarantines[fp]; ok {
		held = true
		cl.until = jd.retainedUntil()
		ld.removeQuarantine(fp)
		ld.opts.Log.WithFields(log.Fields{
			"fingerprint": fp.String(), "ends": jd.Crashes, "lifted": cl.byOperator,
		}).Warn("judgement taken back")
	}
	if !held {
		return false
	}
	if len(ld.tombstones) >= maxQuarantines {
		ld.evictOldestTombstone()
	}
	ld.tombstones[fp] = cl
	return true
}

// release takes back the ends that are held against a request up to a time, and reports whether there were any. The lock is held.
func (ld *Tracker) removeEvidence(fp fingerprint.Fingerprint, until time.Time) bool {
	if ld.evidenceCounts[fp] == 0 {
		return false
	}
	released := false
	for _, en := range ld.crashes {
		if rn, ok := en.runsByRequest[fp]; ok && !rn.At.After(until) {
			delete(en.runsByRequest, fp)
			ld.adjustCounts(fp, -1)
			released = true
		}
	}
	return released
}

// forgetCleared forgets the clearance that is longest ago. The lock is held.
func (ld *Tracker) evictOldestTombstone() {
	var oldest fingerprint.Fingerprint
	for fp, cl := range ld.tombstones {
		if first, ok := ld.tombstones[oldest]; !ok || cl.at.Before(first.at) {
			oldest = fp
		}
	}
	delete(ld.tombstones, oldest)
}

// expireJudgements forgets judgements and clearances that are too old. The lock is held.
func (ld *Tracker) expireQuarantines(now time.Time) {
	for fp, jd := range ld.quarantines {
		if !now.Before(jd.retainedUntil()) {
			ld.removeQuarantine(fp)
		}
	}
	for fp, cl := range ld.tombstones {
		if now.Sub(cl.at) > gossipDuration && !now.Before(cl.until) {
			delete(ld.tombstones, fp)
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
