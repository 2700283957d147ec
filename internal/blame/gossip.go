package blame

import (
	"bytes"
	"slices"
	"time"

	"github.com/apex/log"

	"github.com/silvermount/silvermount/internal/fingerprint"
)

// clearMargin is how much later than a clearance a judgement that a peer tells must have been passed to stand against it: ages told
// by peers are off by what their frames were under way.
const ageTolerance = time.Second

// Clearance tells a peer that nothing is held against a request that happened up to a time.
type Tombstone struct {
	Request fingerprint.Fingerprint
	At      time.Time
	// Lifted is set when an operator cleared it. It stands until Until.
	ByOperator bool
	Until      time.Time
}

// Notes are what an instance tells its peers. Their times are on its own clock; on the wire they are ages.
type Snapshot struct {
	// Runs are those that the instance itself saw end with their targets lately.
	Evidence []InterruptedRun
	// Clearances are its own lately, and what operators lifted anywhere.
	Tombstones []Tombstone
	// Judgements are all that it knows of, so that one that starts hears of them from whoever it meets first.
	Quarantines []Quarantine
	// Survivors are the runs that go on there of requests under which targets ended.
	ActiveRuns []ActiveRunSummary
}

// Notes returns what peers have to hear now. Equal notes are in the same order.
func (tr *Tracker) Snapshot() Snapshot {
	tr.mu.Lock()
	defer tr.mu.Unlock()
	tr.expire()
	now := tr.opts.Now()
	nt := Snapshot{Evidence: slices.Clone(tr.localEvidence), ActiveRuns: tr.activeRunSummaries()}
	for fp, cl := range tr.tombstones {
		if cl.byOperator || now.Sub(cl.at) <= gossipDuration {
			nt.Tombstones = append(nt.Tombstones, Tombstone{Request: fp, At: cl.at, ByOperator: cl.byOperator, Until: cl.until})
		}
	}
	for _, jd := range tr.quarantines {
		nt.Quarantines = append(nt.Quarantines, jd)
	}
	slices.SortFunc(nt.Tombstones, func(a, b Tombstone) int { return bytes.Compare(a.Request[:], b.Request[:]) })
	slices.SortFunc(nt.Quarantines, func(a, b Quarantine) int { return bytes.Compare(a.Request[:], b.Request[:]) })
	return nt
}

// Hear takes what a peer tells.
func (tr *Tracker) MergePeer(peer string, nt Snapshot) {
	tr.mu.Lock()
	defer tr.mu.Unlock()
	tr.expire()
	before, surviving := len(tr.localEvidence), len(tr.activeRunSummaries())
	for _, cl := range nt.Tombstones {
		tr.mergeTombstone(cl)
	}
	for _, rn := range nt.Evidence {
		if _, known := tr.crashes[rn.Incarnation]; !known {
			tr.addCrash(rn.Incarnation, rn.At)
		}
		tr.addEvidence(rn, false)
	}
	for _, jd := range nt.Quarantines {
		tr.mergeQuarantine(peer, jd)
	}
	tr.peerRuns[peer] = nt.ActiveRuns
	judged := tr.quarantineSuspects()
	if judged || len(tr.localEvidence) != before || len(tr.activeRunSummaries()) != surviving {
		tr.opts.NotifyPeers()
	}
}

// hearClearance takes a clearance that a peer tells. Only what an operator lifted is told on. The lock is held.
func (tr *Tracker) mergeTombstone(cl Tombstone) {
	if own, ok := tr.tombstones[cl.Request]; ok && !cl.At.After(own.at) {
		return
	}
	jd, judged := tr.quarantines[cl.Request]
	if judged && jd.Since.After(cl.At.Add(ageTolerance)) {
		return
	}
	tr.clear(cl.Request, tombstone{at: cl.At, until: cl.Until, byOperator: cl.ByOperator})
}

// hearJudgement takes a judgement that a peer tells: a new one, or one that was passed again. The lock is held.
func (tr *Tracker) mergeQuarantine(peer string, jd Quarantine) {
	if cl, ok := tr.tombstones[jd.Request]; ok && !jd.Since.After(cl.at.Add(ageTolerance)) {
		return
	}
	if own, ok := tr.quarantines[jd.Request]; ok && own.Level >= jd.Level {
		return
	}
	if !tr.opts.Now().Before(jd.retainedUntil()) {
		return
	}
	tr.quarantine(jd, log.Fields{"source": "peer", "peer": peer, "age": tr.opts.Now().Sub(jd.Since).Round(time.Millisecond).String()})
	tr.opts.NotifyPeers()
}
