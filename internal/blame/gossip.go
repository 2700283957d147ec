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
	sn := Snapshot{Evidence: slices.Clone(tr.localEvidence), ActiveRuns: tr.activeRunSummaries()}
	for fp, ts := range tr.tombstones {
		if ts.byOperator || now.Sub(ts.at) <= gossipDuration {
			sn.Tombstones = append(sn.Tombstones, Tombstone{Request: fp, At: ts.at, ByOperator: ts.byOperator, Until: ts.until})
		}
	}
	for _, qu := range tr.quarantines {
		sn.Quarantines = append(sn.Quarantines, qu)
	}
	slices.SortFunc(sn.Tombstones, func(a, b Tombstone) int { return bytes.Compare(a.Request[:], b.Request[:]) })
	slices.SortFunc(sn.Quarantines, func(a, b Quarantine) int { return bytes.Compare(a.Request[:], b.Request[:]) })
	return sn
}

// Hear takes what a peer tells.
func (tr *Tracker) MergePeer(peer string, sn Snapshot) {
	tr.mu.Lock()
	defer tr.mu.Unlock()
	tr.expire()
	evidenceBefore, activeBefore := len(tr.localEvidence), len(tr.activeRunSummaries())
	for _, ts := range sn.Tombstones {
		tr.mergeTombstone(ts)
	}
	for _, rn := range sn.Evidence {
		if _, known := tr.crashes[rn.Incarnation]; !known {
			tr.addCrash(rn.Incarnation, rn.At)
		}
		tr.addEvidence(rn, false)
	}
	for _, qu := range sn.Quarantines {
		tr.mergeQuarantine(peer, qu)
	}
	tr.peerRuns[peer] = sn.ActiveRuns
	quarantined := tr.quarantineSuspects()
	if quarantined || len(tr.localEvidence) != evidenceBefore || len(tr.activeRunSummaries()) != activeBefore {
		tr.opts.NotifyPeers()
	}
}

// hearClearance takes a clearance that a peer tells. Only what an operator lifted is told on. The lock is held.
func (tr *Tracker) mergeTombstone(ts Tombstone) {
	if own, ok := tr.tombstones[ts.Request]; ok && !ts.At.After(own.at) {
		return
	}
	qu, quarantined := tr.quarantines[ts.Request]
	if quarantined && qu.Since.After(ts.At.Add(ageTolerance)) {
		return
	}
	tr.clear(ts.Request, tombstone{at: ts.At, until: ts.Until, byOperator: ts.ByOperator})
}

// hearJudgement takes a judgement that a peer tells: a new one, or one that was passed again. The lock is held.
func (tr *Tracker) mergeQuarantine(peer string, qu Quarantine) {
	if ts, ok := tr.tombstones[qu.Request]; ok && !qu.Since.After(ts.at.Add(ageTolerance)) {
		return
	}
	if own, ok := tr.quarantines[qu.Request]; ok && own.Level >= qu.Level {
		return
	}
	if !tr.opts.Now().Before(qu.retainedUntil()) {
		return
	}
	tr.quarantine(qu, log.Fields{"source": "peer", "peer": peer, "age": tr.opts.Now().Sub(qu.Since).Round(time.Millisecond).String()})
	tr.opts.NotifyPeers()
}
