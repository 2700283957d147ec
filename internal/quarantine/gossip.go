package quarantine

import (
	"slices"
	"time"

	"github.com/apex/log"

	"github.com/silvermount/silvermount/internal/fingerprint"
)

// ageTolerance is the maximum error of a time that a peer sent as an age, which is off by the transit time of the frame.
const ageTolerance = time.Second

// Tombstone tells a peer that the evidence against a fingerprint is void up to a time.
type Tombstone struct {
	Fingerprint fingerprint.Fingerprint
	At          time.Time
	// ByOperator is set when an operator lifted the quarantine. The tombstone then holds until Until.
	ByOperator bool
	Until      time.Time
}

// Snapshot is the state that an instance gossips to its peers. Times are on the local clock; on the wire they are ages.
type Snapshot struct {
	// Evidence holds recent interrupted runs of the instance itself whose targets crashed.
	Evidence []Evidence
	// Tombstones holds the recent tombstones of the instance itself, and those by operators on any instance.
	Tombstones []Tombstone
	// Quarantines holds all quarantines that the instance knows, so that a starting instance learns of them from the first peer it
	// reaches.
	Quarantines []Quarantine
	// ActiveRuns holds the longest active run with each fingerprint that has evidence against it.
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
		if ts.byOperator || !ts.fromPeer && now.Sub(ts.at) <= gossipDuration {
			sn.Tombstones = append(sn.Tombstones, Tombstone{Fingerprint: fp, At: ts.at, ByOperator: ts.byOperator, Until: ts.until})
		}
	}
	for _, qu := range tr.quarantines {
		sn.Quarantines = append(sn.Quarantines, qu)
	}
	slices.SortFunc(sn.Tombstones, func(a, b Tombstone) int { return a.Fingerprint.Compare(b.Fingerprint) })
	sortByID(sn.Quarantines)
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
	for _, ev := range sn.Evidence {
		if _, known := tr.crashes[ev.Incarnation]; !known {
			tr.addCrash(ev.Incarnation, ev.At)
			tr.crashes[ev.Incarnation].learnedAt = tr.opts.Now()
		}
		tr.addEvidence(ev)
	}
	for _, qu := range sn.Quarantines {
		tr.mergeQuarantine(peer, qu)
	}
	tr.peerRuns[peer] = sn.ActiveRuns
	tr.revision++
	quarantined := tr.quarantineSuspects()
	if quarantined || len(tr.localEvidence) != evidenceBefore || len(tr.activeRunSummaries()) != activeBefore {
		tr.opts.NotifyPeers()
	}
}

// mergeTombstone merges a tombstone from a peer. Only those by operators are forwarded to other peers. The caller holds the lock.
func (tr *Tracker) mergeTombstone(ts Tombstone) {
	if own, ok := tr.tombstones[ts.Fingerprint]; ok && !ts.At.After(own.at) {
		return
	}
	merged := tombstone{at: ts.At, until: ts.Until, byOperator: ts.ByOperator, fromPeer: true}
	if !tr.clear(ts.Fingerprint, merged) {
		// Evidence that this instance has not heard of yet is void too.
		tr.setTombstone(ts.Fingerprint, merged)
	}
}

// mergeQuarantine merges a quarantine from a peer, or from the store if that is empty, if it is new here, has a higher level or lasts
// clearly longer. The caller holds the lock.
func (tr *Tracker) mergeQuarantine(peer string, qu Quarantine) {
	for _, fp := range qu.Members {
		if !tr.isClearedSince(fp, qu.EvidenceFrom) && !tr.isRefuted(fp, qu) {
			continue
		}
		if qu.endsWithout(fp) {
			return
		}
		qu = qu.WithoutMember(fp)
	}
	if len(qu.Members) == 0 || !tr.opts.Now().Before(tr.retainedUntil(qu)) {
		return
	}
	own, ok := tr.quarantines[qu.ID()]
	if ok && (own.Level > qu.Level || own.Level == qu.Level && qu.Until.Sub(own.Until) <= ageTolerance) {
		return
	}
	fs := log.Fields{"source": "peer", "peer": peer, "age": tr.opts.Now().Sub(qu.Since).Round(time.Millisecond).String()}
	if peer == "" {
		delete(fs, "peer")
		fs["source"] = sourceStore
	}
	tr.quarantine(qu, fs)
	tr.opts.NotifyPeers()
}

// isClearedSince reports whether a fingerprint was cleared after a time. Peers that do not know of the answer that cleared it are told.
// The caller holds the lock.
func (tr *Tracker) isClearedSince(fp fingerprint.Fingerprint, at time.Time) bool {
	if ts, ok := tr.tombstones[fp]; ok && !at.After(ts.at) {
		return true
	}
	answeredAt, ok := tr.answers.last(fp)
	if !ok || at.After(answeredAt) {
		return false
	}
	tr.setTombstone(fp, tombstone{at: answeredAt})
	tr.opts.NotifyPeers()
	return true
}

// isRefuted reports whether a quarantine is one of a path for itself that this instance has recently answered itself. The peer that judged
// it did not know of the answer, and is told. A tombstone from a peer does not count, because instances would refute on each other's
// tombstones long after the last answer. The caller holds the lock.
func (tr *Tracker) isRefuted(fp fingerprint.Fingerprint, qu Quarantine) bool {
	if !isPath(fp) || slices.ContainsFunc(qu.Members, isContent) || !tr.recentlyAnswered(fp) {
		return false
	}
	tr.setTombstone(fp, tombstone{at: tr.opts.Now()})
	tr.opts.NotifyPeers()
	return true
}

// sourceStore is the source of quarantines that were read from the store.
const sourceStore = "store"

// Restore adds quarantines that were kept in the store, unless they are known, were cleared since or have ended long ago. It returns the
// latter.
func (tr *Tracker) Restore(list []Quarantine) (expired []Quarantine) {
	tr.mu.Lock()
	defer tr.mu.Unlock()
	tr.expire()
	for _, qu := range list {
		if !tr.opts.Now().Before(tr.retainedUntil(qu)) {
			expired = append(expired, qu)
			continue
		}
		tr.mergeQuarantine("", qu)
	}
	return expired
}
