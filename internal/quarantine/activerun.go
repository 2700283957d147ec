package quarantine

import (
	"slices"
	"time"

	"github.com/silvermount/silvermount/internal/fingerprint"
)

// ActiveRun is a run of a request that its target has begun to answer. A request is not quarantined while one of its runs lasts
// longer than the runs that were interrupted by crashes, because that run may still be answered completely.
type ActiveRun struct {
	tracker  *Tracker
	headHash fingerprint.HeadHash
	// digest computes the fingerprint, which takes long for a long body.
	digest func() fingerprint.Fingerprint
	since  time.Time
	// reported is set once the run was part of a snapshot for peers, which must then be notified of its end, too.
	reported bool
}

// ActiveRunSummary is what an instance sends to its peers about an active run of a request with evidence against it.
type ActiveRunSummary struct {
	Request fingerprint.Fingerprint
	// Since is when the target began to answer.
	Since time.Time
}

// BeginRun records a run that its target has begun to answer. The caller must call End. digest may be called at any time until
// then.
func (tr *Tracker) BeginRun(hh fingerprint.HeadHash, digest func() fingerprint.Fingerprint) *ActiveRun {
	ar := &ActiveRun{tracker: tr, headHash: hh, digest: digest, since: tr.opts.Now()}
	tr.mu.Lock()
	defer tr.mu.Unlock()
	tr.activeRuns[hh] = append(tr.activeRuns[hh], ar)
	return ar
}

// End records that the run is over, whether it was answered or interrupted.
func (ar *ActiveRun) End() {
	tr := ar.tracker
	tr.mu.Lock()
	defer tr.mu.Unlock()
	rest := slices.DeleteFunc(tr.activeRuns[ar.headHash], func(other *ActiveRun) bool { return other == ar })
	if len(rest) == 0 {
		delete(tr.activeRuns, ar.headHash)
	} else {
		tr.activeRuns[ar.headHash] = rest
	}
	if ar.reported || tr.headCounts[ar.headHash] > 0 {
		tr.opts.NotifyPeers()
	}
}

// activeRunSummaries returns the active runs on this instance of requests that may soon be quarantined. The caller holds the
// lock.
func (tr *Tracker) activeRunSummaries() []ActiveRunSummary {
	var list []ActiveRunSummary
	for hh, runs := range tr.activeRuns {
		if tr.headCounts[hh] < minCrashes-1 {
			continue
		}
		for _, ar := range runs {
			ar.reported = true
			list = append(list, ActiveRunSummary{Request: ar.digest(), Since: ar.since})
		}
	}
	return list
}

// hasLongerActiveRun reports whether an active run of the suspect, on this instance or a peer, has lasted longer than those that
// crashes interrupted. The caller holds the lock.
func (tr *Tracker) hasLongerActiveRun(sp suspect) bool {
	startedBefore := tr.opts.Now().Add(-sp.maxElapsed)
	longer := func(sm ActiveRunSummary) bool { return sm.Request == sp.request && sm.Since.Before(startedBefore) }
	for _, ar := range tr.activeRuns[sp.request.HeadHash()] {
		if longer(ActiveRunSummary{Request: ar.digest(), Since: ar.since}) {
			return true
		}
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
}
