package quarantine

import (
	"bytes"
	"slices"
	"time"

	"github.com/apex/log"

	"github.com/silvermount/silvermount/internal/fingerprint"
)

// ageTolerance is the minimum time by which a peer's quarantine must be newer than a tombstone to override it. Ages received from
// peers are off by the transit time of their frames.
const ageTolerance = time.Second

// Tombstone tells a peer that the evidence against a request is void up to a time.
type Tombstone struct {
	Request fingerprint.Fingerprint
	At      time.Time
	// ByOperator is set when an operator lifted the quarantine. The tombstone then holds until Until.
	ByOperator bool
	Until      time.Time
}

// Snapshot is the state that an instance gossips to its peers. Times are on the local clock; on the wire they are ages.
type Snapshot struct {
	// Evidence holds recent interrupted runs of the instance itself whose targets crashed.
	Evidence []InterruptedRun
	// Tombstones holds the recent tombstones of the instance itself, and those by operators on any instance.
	Tombstones []Tombstone
	// Quarantines holds all quarantines that the instance knows, so that a starting instance learns of them from the first peer it
	// reaches.
	Quarantines []Quarantine
	// ActiveRuns holds the active runs of requests with evidence against them.
	ActiveRuns []ActiveRunSummary
}

// Snapshot returns the state to send to peers. Its tombstones and quarantines are sorted by fingerprint.
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

// MergePeer merges the snapshot of a peer.
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

// mergeTombstone merges a tombstone from a peer. Only those by operators are forwarded to other peers. The caller holds the lock.
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

// mergeQuarantine merges a quarantine from a peer if it is new here or has a higher level. The caller holds the lock.
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
	tr.quarantine(qu, log.Fields{
		"source": "peer", "peer": peer, "age": tr.opts.Now().Sub(qu.Since).Round(time.Millisecond).String(),
	})
	tr.opts.NotifyPeers()
}
