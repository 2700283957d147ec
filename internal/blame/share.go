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
const clearMargin = time.Second

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
func (ld *Tracker) Snapshot() Snapshot {
	ld.mu.Lock()
	defer ld.mu.Unlock()
	ld.expire()
	now := ld.opts.Now()
	nt := Snapshot{Evidence: slices.Clone(ld.own), ActiveRuns: ld.survivors()}
	for fp, cl := range ld.cleared {
		if cl.lifted || now.Sub(cl.at) <= tellFor {
			nt.Tombstones = append(nt.Tombstones, Tombstone{Request: fp, At: cl.at, ByOperator: cl.lifted, Until: cl.until})
		}
	}
	for _, jd := range ld.judgements {
		nt.Quarantines = append(nt.Quarantines, jd)
	}
	slices.SortFunc(nt.Tombstones, func(a, b Tombstone) int { return bytes.Compare(a.Request[:], b.Request[:]) })
	slices.SortFunc(nt.Quarantines, func(a, b Quarantine) int { return bytes.Compare(a.Request[:], b.Request[:]) })
	return nt
}

// Hear takes what a peer tells.
func (ld *Tracker) MergePeer(peer string, nt Snapshot) {
	ld.mu.Lock()
	defer ld.mu.Unlock()
	ld.expire()
	before, surviving := len(ld.own), len(ld.survivors())
	for _, cl := range nt.Tombstones {
		ld.hearClearance(cl)
	}
	for _, rn := range nt.Evidence {
		if _, known := ld.ends[rn.Incarnation]; !known {
			ld.end(rn.Incarnation, rn.At)
		}
		ld.hold(rn, false)
	}
	for _, jd := range nt.Quarantines {
		ld.hearJudgement(peer, jd)
	}
	ld.told[peer] = nt.ActiveRuns
	judged := ld.judge()
	if judged || len(ld.own) != before || len(ld.survivors()) != surviving {
		ld.opts.NotifyPeers()
	}
}

// hearClearance takes a clearance that a peer tells. Only what an operator lifted is told on. The lock is held.
func (ld *Tracker) hearClearance(cl Tombstone) {
	if own, ok := ld.cleared[cl.Request]; ok && !cl.At.After(own.at) {
		return
	}
	jd, judged := ld.judgements[cl.Request]
	if judged && jd.Since.After(cl.At.Add(clearMargin)) {
		return
	}
	ld.clear(cl.Request, clearance{at: cl.At, until: cl.Until, lifted: cl.ByOperator})
}

// hearJudgement takes a judgement that a peer tells: a new one, or one that was passed again. The lock is held.
func (ld *Tracker) hearJudgement(peer string, jd Quarantine) {
	if cl, ok := ld.cleared[jd.Request]; ok && !jd.Since.After(cl.at.Add(clearMargin)) {
		return
	}
	if own, ok := ld.judgements[jd.Request]; ok && own.Level >= jd.Level {
		return
	}
	if !ld.opts.Now().Before(jd.forgetAt()) {
		return
	}
	ld.pass(jd, log.Fields{"source": "peer", "peer": peer, "age": ld.opts.Now().Sub(jd.Since).Round(time.Millisecond).String()})
	ld.opts.NotifyPeers()
}
