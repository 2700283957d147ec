package quarantine

import (
	"slices"
	"time"
)

const (
	// maxCancelGap is how long before a crash a run may have been cancelled and still be its cause: a target may go on with a request for a
	// while after its caller has left.
	maxCancelGap = time.Second
	// maxCancelledRuns bounds the cancelled runs that are remembered; 3 KB each with many fingerprints.
	maxCancelledRuns = 256
)

// RecordCancelled records a run that ended because its caller left or its deadline passed. It counts against its fingerprints if its target
// crashes within maxCancelGap.
func (tr *Tracker) RecordCancelled(rn InterruptedRun) {
	tr.mu.Lock()
	defer tr.mu.Unlock()
	tr.forgetCancelled(func(other InterruptedRun) bool { return rn.At.Sub(other.At) > crashDetectionTimeout })
	if len(tr.cancelled) >= maxCancelledRuns {
		tr.cancelled = slices.Delete(tr.cancelled, 0, 1)
	}
	tr.cancelled = append(tr.cancelled, rn)
}

// addCancelled turns the runs that were cancelled shortly before the crash of their target into evidence. The caller holds the lock.
func (tr *Tracker) addCancelled(incarnation string, crashedAt time.Time) {
	for _, rn := range tr.cancelled {
		if rn.Incarnation == incarnation && crashedAt.Sub(rn.At) <= maxCancelGap {
			tr.addLocalEvidence(rn)
		}
	}
	tr.forgetCancelled(func(rn InterruptedRun) bool { return rn.Incarnation == incarnation })
}

// forgetCancelled removes the cancelled runs that match. The caller holds the lock.
func (tr *Tracker) forgetCancelled(matches func(InterruptedRun) bool) {
	tr.cancelled = slices.DeleteFunc(tr.cancelled, matches)
}
