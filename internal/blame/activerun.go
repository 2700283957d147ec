package blame

import (
	"slices"
	"time"

	"github.com/silvermount/silvermount/internal/fingerprint"
)

// Running is a run of a request that its target has begun to answer. While it goes on for longer than the runs that ended with their
// targets, the request is not judged: it may be answered whole.
type ActiveRun struct {
	tracker  *Tracker
	headHash fingerprint.HeadHash
	// request makes the fingerprint, which costs time for a long body.
	digest func() fingerprint.Fingerprint
	since  time.Time
	// told is set once peers heard that it goes on: they have to hear of its end too.
	reported bool
}

// Survivor tells a peer of a run that goes on of a request under which targets ended.
type ActiveRunSummary struct {
	Request fingerprint.Fingerprint
	// Since is when its target began to answer.
	Since time.Time
}

// Begin notes a run that its target has begun to answer. End must be called. request may be called at any time before that.
func (tr *Tracker) BeginRun(hh fingerprint.HeadHash, digest func() fingerprint.Fingerprint) *ActiveRun {
	ar := &ActiveRun{tracker: tr, headHash: hh, digest: digest, since: tr.opts.Now()}
	tr.mu.Lock()
	defer tr.mu.Unlock()
	tr.activeRuns[hh] = append(tr.activeRuns[hh], ar)
	return ar
}

// End notes that the run is over, however it went.
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

// survivors returns the runs that go on here of requests that may come to be judged. The lock is held.
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

// outlived reports whether a run goes on, here or at a peer, for longer than those that ended with their targets. The lock is held.
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

// Lost forgets the runs of a peer that is lost.
func (tr *Tracker) RemovePeer(peer string) {
	tr.mu.Lock()
	defer tr.mu.Unlock()
	delete(tr.peerRuns, peer)
}
