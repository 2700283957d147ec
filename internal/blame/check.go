package blame

import (
	"time"

	"github.com/silvermount/silvermount/internal/fingerprint"
)

const (
	// chanceTrial is how likely it may be, at the most, that chance or other requests ended the targets under a request, for it to be
	// run only on trial.
	maxProbationPValue = 1e-2
	// trialPause is how long after an end under it, and after its trial, a request on trial is next run here. It doubles with each trial,
	// up to trialPauseMost.
	initialProbeInterval = time.Second
	maxProbeInterval     = 8 * time.Second
)

// trial is the last run of a request on trial at this instance.
type probe struct {
	// at is when it was let through, pause how long it is not run after that, or after a later end.
	sentAt   time.Time
	interval time.Duration
}

// Verdict says what is to be done with a request.
type Decision struct {
	// Judged is set when it is not to be run.
	Quarantined bool
	// Ends is how many targets had ended under it.
	Crashes int
	// Hold is how long it is to wait before it is looked at again; zero when it may run.
	Delay time.Duration
}

// Judged reports whether a request is not to be run, and how many targets had ended under it.
func (tr *Tracker) Quarantined(fp fingerprint.Fingerprint) (crashes int, quarantined bool) {
	tr.mu.Lock()
	defer tr.mu.Unlock()
	tr.evaluate()
	qu, ok := tr.quarantines[fp]
	return qu.Crashes, ok && qu.activeAt(tr.opts.Now())
}

// refresh judges by what is known now. The lock is held.
func (tr *Tracker) evaluate() {
	tr.expire()
	if tr.quarantineSuspects() {
		tr.opts.NotifyPeers()
	}
}

// Check says what is to be done with a request that is about to be sent to a target. Where it may run, that is its trial if it is on
// trial.
func (tr *Tracker) Check(fp fingerprint.Fingerprint) Decision {
	tr.mu.Lock()
	defer tr.mu.Unlock()
	tr.evaluate()
	now := tr.opts.Now()
	if qu, ok := tr.quarantines[fp]; ok && qu.activeAt(now) {
		return Decision{Quarantined: true, Crashes: qu.Crashes}
	}
	unexplained := tr.unexplained()
	sp := tr.suspect(fp, unexplained, unexplained)
	if sp.meetsThresholds(tr.quarantines[fp]) {
		return Decision{Crashes: len(sp.runs), Delay: max(0, settleDelay-now.Sub(sp.lastInterrupted()))}
	}
	return Decision{Crashes: len(sp.runs), Delay: tr.probeDelay(sp)}
}

// untilTrial returns how long a request that may end its targets is to wait before it is run again; zero when it may run now.
//
// While many targets end, too little tells the requests that end them from those beside them, above all at an instance that hears of no
// peer. Run seldom, the former end few targets, and the latter are answered whole, which clears them. The lock is held.
func (tr *Tracker) probeDelay(sp suspect) time.Duration {
	if len(sp.runs) < minCrashes || sp.pValue > maxProbationPValue {
		return 0
	}
	pb, probed := tr.probes[sp.request]
	if !probed {
		pb.interval = initialProbeInterval
	}
	since := sp.lastInterrupted()
	if pb.sentAt.After(since) {
		since = pb.sentAt
	}
	now := tr.opts.Now()
	if remaining := pb.interval - now.Sub(since); remaining > 0 {
		return remaining
	}
	tr.probes[sp.request] = probe{sentAt: now, interval: min(2*pb.interval, maxProbeInterval)}
	return 0
}

// expireTrials forgets the trials of requests that are no longer on trial. The lock is held.
func (tr *Tracker) expireProbes() {
	for fp := range tr.probes {
		if tr.evidenceCounts[fp] < minCrashes {
			delete(tr.probes, fp)
		}
	}
}
