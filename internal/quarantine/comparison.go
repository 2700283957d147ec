package quarantine

import (
	"slices"
	"time"

	"github.com/silvermount/silvermount/internal/fingerprint"
)

const (
	// maxRecentRuns bounds the answers, and separately the interrupted runs, with which the runs of a suspect are compared.
	maxRecentRuns = 64
	// minOtherAnswers is how many other requests must have been answered before the lack of answers to requests with a fingerprint
	// tells anything.
	minOtherAnswers = 3
	// minOtherShare is the share of the runs that ended about the time of the crashes under a fingerprint which must have been without it,
	// for a comparison of crashes with and without it.
	minOtherShare = 0.2
)

// recentRuns holds the shared fingerprints of the newest runs on this instance that ended in one way. Its zero value is empty.
type recentRuns struct {
	list [maxRecentRuns]recentRun
	next int
}

type recentRun struct {
	at     time.Time
	shared []fingerprint.Fingerprint
}

func (rr *recentRuns) add(at time.Time, shared []fingerprint.Fingerprint) {
	rr.list[rr.next] = recentRun{at: at, shared: shared}
	rr.next = (rr.next + 1) % len(rr.list)
}

// count returns the number of runs with and without a fingerprint that ended after a time. For a part only prompts count.
func (rr *recentRuns) count(fp fingerprint.Fingerprint, after time.Time) (with, without int) {
	for _, rn := range rr.list {
		switch {
		case !rn.at.After(after) || isPart(fp) && !slices.ContainsFunc(rn.shared, isPart):
		case slices.Contains(rn.shared, fp):
			with++
		default:
			without++
		}
	}
	return with, without
}

// isConclusive reports whether the runs of other requests allow a conclusion from the crashes under a suspect. The crash of a target that
// has only begun to read a request, and the lack of answers, tell nothing while no other request is answered either. And if nearly all
// requests have the fingerprint, every crash comes under it, whatever the cause. The caller holds the lock.
func (tr *Tracker) isConclusive(sp suspect) bool {
	if sp.fingerprint.Kind == fingerprint.WholeRequest {
		return true
	}
	if sp.cautious && !tr.othersAreAnswered(sp) {
		return false
	}
	// The crashes were conclusive already for what is quarantined together with others.
	return tr.memberCounts[sp.fingerprint] > 0 || tr.othersEnded(sp) || tr.isConclusiveAlone(sp)
}

// isConclusiveAlone reports whether the crashes under a suspect are conclusive although there are no other requests to compare with: they
// come from separate events, are not explained by the rate of all crashes, and nothing more specific was in several of the runs. The caller
// holds the lock.
func (tr *Tracker) isConclusiveAlone(sp suspect) bool {
	pValue, _ := tr.chance(sp, true)
	return sp.separateCrashes() >= minCrashes && pValue <= maxPValue && !tr.hasSubgroup(sp)
}

// hasSubgroup reports whether something else was in several of a suspect's interrupted runs, but not in all, or whether other content ran on
// several of the crashed targets, but not on all. The caller holds the lock.
func (tr *Tracker) hasSubgroup(sp suspect) bool {
	counts := map[fingerprint.Fingerprint]int{}
	for _, ev := range sp.runs {
		for fp, other := range tr.crashes[ev.Incarnation].runs {
			if other.Run == ev.Run || isContent(fp) {
				counts[fp]++
			}
		}
	}
	for _, n := range counts {
		if n > 1 && n < len(sp.runs) {
			return true
		}
	}
	return false
}

// othersAreAnswered reports whether other requests were answered since the first crash under a suspect. The caller holds the lock.
func (tr *Tracker) othersAreAnswered(sp suspect) bool {
	_, others := tr.recentAnswers.count(sp.fingerprint, sp.firstInterrupted())
	return others >= minOtherAnswers
}

// othersEnded reports whether enough runs without the fingerprint of a suspect were answered or interrupted about the time of its crashes. The
// caller holds the lock.
func (tr *Tracker) othersEnded(sp suspect) bool {
	from := sp.firstInterrupted().Add(-rateWindow)
	answeredWith, answeredWithout := tr.recentAnswers.count(sp.fingerprint, from)
	interruptedWith, interruptedWithout := tr.recentInterrupted.count(sp.fingerprint, from)
	without := answeredWithout + interruptedWithout
	return without > 0 && float64(without) >= minOtherShare*float64(answeredWith+interruptedWith+without)
}
