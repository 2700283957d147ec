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
func (qu Quarantine) inForce(now time.Time) bool { return now.Before(qu.Until) }

// forgetAt is when a judgement that has passed is forgotten: until then one more end is enough for the next.
func (qu Quarantine) forgetAt() time.Time { return qu.Until.Add(qu.Until.Sub(qu.Since)) }

// term is how long a judgement of a level is in force.
func term(level int) time.Duration {
	d := judgedFor
	for range level - 1 {
		d = min(2*d, judgedMost)
	}
	return d
}

// clearance says that nothing is held against a request that happened up to a time.
type clearance struct {
	at time.Time
	// until is how long it stands against judgements that peers still tell; zero where there was none.
	until time.Time
	// lifted is set when an operator cleared it: then all instances tell it on.
	lifted bool
}

// Judgements returns those in force, by fingerprint.
func (ld *Tracker) Quarantines() []Quarantine {
	ld.mu.Lock()
	defer ld.mu.Unlock()
	now := ld.opts.Now()
	var list []Quarantine
	for _, jd := range ld.judgements {
		if jd.inForce(now) {
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
	if _, judged := ld.judgements[fp]; !judged {
		return false
	}
	ld.clear(fp, clearance{at: ld.opts.Now(), lifted: true})
	ld.changed()
	return true
}

// pass notes a judgement. The lock is held.
func (ld *Tracker) pass(jd Quarantine, fields log.Fields) {
	if len(ld.judgements) >= maxJudged {
		ld.forgetJudgement()
	}
	if _, before := ld.judgements[jd.Request]; !before {
		add(ld.origins, jd.Request.HeadHash(), 1)
	}
	ld.judgements[jd.Request] = jd
	fields["fingerprint"] = jd.Request.String()
	fields["ends"] = jd.Crashes
	fields["level"] = jd.Level
	fields["for"] = jd.Until.Sub(ld.opts.Now()).Round(time.Second).String()
	ld.opts.Log.WithFields(fields).Warn("request judged to end its targets")
}

// forgetJudgement forgets the judgement that passes first. The lock is held.
func (ld *Tracker) forgetJudgement() {
	var first Quarantine
	for _, jd := range ld.judgements {
		if first.Until.IsZero() || jd.Until.Before(first.Until) {
			first = jd
		}
	}
	ld.dropJudgement(first.Request)
}

// dropJudgement forgets a judgement. The lock is held.
func (ld *Tracker) dropJudgement(fp fingerprint.Fingerprint) {
	delete(ld.judgements, fp)
	add(ld.origins, fp.HeadHash(), -1)
}

// clear takes back all that is held against a request up to a time, and reports whether that was anything. The lock is held.
func (ld *Tracker) clear(fp fingerprint.Fingerprint, cl clearance) bool {
	held := ld.release(fp, cl.at)
	ld.own = slices.DeleteFunc(ld.own, func(rn InterruptedRun) bool { return rn.Request == fp && !rn.At.After(cl.at) })
	ld.broken = slices.DeleteFunc(ld.broken, func(rn InterruptedRun) bool { return rn.Request == fp && !rn.At.After(cl.at) })
	if jd, ok := ld.judgements[fp]; ok {
		held = true
		cl.until = jd.forgetAt()
		ld.dropJudgement(fp)
		ld.opts.Log.WithFields(log.Fields{
			"fingerprint": fp.String(), "ends": jd.Crashes, "lifted": cl.lifted,
		}).Warn("judgement taken back")
	}
	if !held {
		return false
	}
	if len(ld.cleared) >= maxJudged {
		ld.forgetCleared()
	}
	ld.cleared[fp] = cl
	return true
}

// release takes back the ends that are held against a request up to a time, and reports whether there were any. The lock is held.
func (ld *Tracker) release(fp fingerprint.Fingerprint, until time.Time) bool {
	if ld.held[fp] == 0 {
		return false
	}
	released := false
	for _, en := range ld.ends {
		if rn, ok := en.under[fp]; ok && !rn.At.After(until) {
			delete(en.under, fp)
			ld.weigh(fp, -1)
			released = true
		}
	}
	return released
}

// forgetCleared forgets the clearance that is longest ago. The lock is held.
func (ld *Tracker) forgetCleared() {
	var oldest fingerprint.Fingerprint
	for fp, cl := range ld.cleared {
		if first, ok := ld.cleared[oldest]; !ok || cl.at.Before(first.at) {
			oldest = fp
		}
	}
	delete(ld.cleared, oldest)
}

// expireJudgements forgets judgements and clearances that are too old. The lock is held.
func (ld *Tracker) expireJudgements(now time.Time) {
	for fp, jd := range ld.judgements {
		if !now.Before(jd.forgetAt()) {
			ld.dropJudgement(fp)
		}
	}
	for fp, cl := range ld.cleared {
		if now.Sub(cl.at) > tellFor && !now.Before(cl.until) {
			delete(ld.cleared, fp)
		}
	}
}

// names lists the targets of runs, separated by commas.
func names(runs []InterruptedRun) string {
	ids := make([]string, len(runs))
	for i, rn := range runs {
		ids[i] = rn.Incarnation
	}
	slices.Sort(ids)
	return strings.Join(ids, ",")
}
