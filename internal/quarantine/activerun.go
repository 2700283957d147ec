package quarantine

import (
	"slices"
	"time"

	"github.com/silvermount/silvermount/internal/fingerprint"
)

// ActiveRun is a run of a request that its target has begun to answer. A fingerprint is not quarantined while a run with it lasts
// longer than the runs that were interrupted by crashes, because that run may still be answered completely.
type ActiveRun struct {
	tracker *Tracker
	request fingerprint.Set
	since   time.Time
	// reported is set once the run was part of a snapshot for peers, which must then be notified of its end, too.
	reported bool
}

// ActiveRunSummary is what an instance sends to its peers about its longest active run with a fingerprint that has evidence against
// it.
type ActiveRunSummary struct {
	Fingerprint fingerprint.Fingerprint
	// Since is when the target began to answer.
	Since time.Time
}

// BeginRun records a run that its target has begun to answer. The caller must call End.
func (tr *Tracker) BeginRun(st fingerprint.Set) *ActiveRun {
	ar := &ActiveRun{tracker: tr, request: st, since: tr.opts.Now()}
	tr.mu.Lock()
	defer tr.mu.Unlock()
	tr.activeRuns[ar] = struct{}{}
	return ar
}

// End records that the run is over, whether it was answered or interrupted.
func (ar *ActiveRun) End() {
	tr := ar.tracker
	tr.mu.Lock()
	defer tr.mu.Unlock()
	delete(tr.activeRuns, ar)
	tr.revision++
	if ar.reported {
		tr.opts.NotifyPeers()
	}
}

// activeRunSummaries returns the longest active run on this instance with each fingerprint that may soon be quarantined, sorted by
// fingerprint. The caller holds the lock.
func (tr *Tracker) activeRunSummaries() []ActiveRunSummary {
	longest := map[fingerprint.Fingerprint]*ActiveRun{}
	for ar := range tr.activeRuns {
		for _, fp := range tr.suspectedFingerprints(ar.request) {
			if known, ok := longest[fp]; !ok || ar.since.Before(known.since) {
				longest[fp] = ar
			}
		}
	}
	var list []ActiveRunSummary
	for fp, ar := range longest {
		ar.reported = true
		list = append(list, ActiveRunSummary{Fingerprint: fp, Since: ar.since})
	}
	slices.SortFunc(list, func(a, b ActiveRunSummary) int { return a.Fingerprint.Compare(b.Fingerprint) })
	return list
}

// suspectedFingerprints returns the fingerprints of a request with enough evidence against them that one more crash may lead to their
// quarantine. The caller holds the lock.
func (tr *Tracker) suspectedFingerprints(st fingerprint.Set) []fingerprint.Fingerprint {
	var list []fingerprint.Fingerprint
	for _, fp := range st.Shared() {
		if tr.evidenceCounts[fp] >= minCrashes-1 {
			list = append(list, fp)
		}
	}
	if tr.headCounts[st.HeadHash()] >= minCrashes-1 {
		list = append(list, st.Whole())
	}
	return list
}

// hasLongerActiveRun reports whether an active run with the suspect, on this instance or a peer, has lasted longer than those that
// crashes interrupted. A run with what many requests have in common counts once it has lasted longer than the shortest of these: new
// ones are held back while it is awaited. The caller holds the lock.
func (tr *Tracker) hasLongerActiveRun(sp suspect) bool {
	elapsed := sp.maxElapsed
	if sp.fingerprint.Kind != fingerprint.WholeRequest && len(sp.runs) > 0 {
		elapsed = sp.runs[0].Elapsed
	}
	startedBefore := tr.opts.Now().Add(-elapsed)
	for ar := range tr.activeRuns {
		if ar.since.Before(startedBefore) && ar.request.Has(sp.fingerprint) {
			return true
		}
	}
	longer := func(sm ActiveRunSummary) bool {
		return sm.Fingerprint == sp.fingerprint && sm.Since.Before(startedBefore)
	}
	for _, peerRuns := range tr.peerRuns {
		if slices.ContainsFunc(peerRuns, longer) {
			return true
		}
	}
	return false
}

// RemovePeer discards the active runs of a lost peer.
func (tr *Tracker) RemovePeer(peer string) {
	tr.mu.Lock()
	defer tr.mu.Unlock()
	delete(tr.peerRuns, peer)
	tr.revision++
}
