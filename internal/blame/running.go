package blame

import (
	"slices"
	"time"

	"github.com/silvermount/silvermount/internal/fingerprint"
)

// Running is a run of a request that its target has begun to answer. While it goes on for longer than the runs that ended with their
// targets, the request is not judged: it may be answered whole.
type ActiveRun struct {
	ledger *Tracker
	origin fingerprint.HeadHash
	// request makes the fingerprint, which costs time for a long body.
	request func() fingerprint.Fingerprint
	since   time.Time
	// told is set once peers heard that it goes on: they have to hear of its end too.
	told bool
}

// Survivor tells a peer of a run that goes on of a request under which targets ended.
type ActiveRunSummary struct {
	Request fingerprint.Fingerprint
	// Since is when its target began to answer.
	Since time.Time
}

// Begin notes a run that its target has begun to answer. End must be called. request may be called at any time before that.
func (ld *Tracker) BeginRun(or fingerprint.HeadHash, request func() fingerprint.Fingerprint) *ActiveRun {
	ru := &ActiveRun{ledger: ld, origin: or, request: request, since: ld.opts.Now()}
	ld.mu.Lock()
	defer ld.mu.Unlock()
	ld.running[or] = append(ld.running[or], ru)
	return ru
}

// End notes that the run is over, however it went.
func (ar *ActiveRun) End() {
	tr := ar.ledger
	tr.mu.Lock()
	defer tr.mu.Unlock()
	rest := slices.DeleteFunc(tr.running[ar.origin], func(other *ActiveRun) bool { return other == ar })
	if len(rest) == 0 {
		delete(tr.running, ar.origin)
	} else {
		tr.running[ar.origin] = rest
	}
	if ar.told || tr.origins[ar.origin] > 0 {
		tr.opts.NotifyPeers()
	}
}

// survivors returns the runs that go on here of requests that may come to be judged. The lock is held.
func (ld *Tracker) survivors() []ActiveRunSummary {
	var list []ActiveRunSummary
	for or, runs := range ld.running {
		if ld.origins[or] < endsLeast-1 {
			continue
		}
		for _, ru := range runs {
			ru.told = true
			list = append(list, ActiveRunSummary{Request: ru.request(), Since: ru.since})
		}
	}
	return list
}

// outlived reports whether a run goes on, here or at a peer, for longer than those that ended with their targets. The lock is held.
func (ld *Tracker) outlived(sp suspect) bool {
	before := ld.opts.Now().Add(-sp.longest)
	longer := func(sv ActiveRunSummary) bool { return sv.Request == sp.request && sv.Since.Before(before) }
	for _, ru := range ld.running[sp.request.HeadHash()] {
		if longer(ActiveRunSummary{Request: ru.request(), Since: ru.since}) {
			return true
		}
	}
	for _, told := range ld.told {
		if slices.ContainsFunc(told, longer) {
			return true
		}
	}
	return false
}

// Lost forgets the runs of a peer that is lost.
func (ld *Tracker) RemovePeer(peer string) {
	ld.mu.Lock()
	defer ld.mu.Unlock()
	delete(ld.told, peer)
}
