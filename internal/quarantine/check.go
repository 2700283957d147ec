package quarantine

import (
	"time"

	"github.com/silvermount/silvermount/internal/fingerprint"
)

const (
	// maxProbationPValue is the p-value above which a request with enough crashes is not put on probation. It is higher than
	// maxPValue: coincidence or other requests may well explain the crashes.
	maxProbationPValue = 1e-2
	// initialProbeInterval is the minimum time from the crash of a target that ran a request on probation, or from the last probe of
	// the request, to its next probe on this instance. It doubles with each probe, up to maxProbeInterval.
	initialProbeInterval = time.Second
	maxProbeInterval     = 8 * time.Second
)

// probe is the last run of a request on probation on this instance.
type probe struct {
	// sentAt is when the request was let through.
	sentAt time.Time
	// interval is the minimum time from sentAt, or from a later crash of a target that ran the request, to the next probe.
	interval time.Duration
}

// Decision says whether a request may be sent to a target now.
type Decision struct {
	// Quarantined is set when the request must not be run.
	Quarantined bool
	// Crashes is the number of targets that had crashed while they ran the request.
	Crashes int
	// Delay is how long the request has to wait before it is checked again; zero when it may run.
	Delay time.Duration
}

// Quarantined reports whether a request must not be run, and how many targets had crashed while they ran it. Unlike Check
// it sends no probe.
func (tr *Tracker) Quarantined(fp fingerprint.Fingerprint) (crashes int, quarantined bool) {
	tr.mu.Lock()
	defer tr.mu.Unlock()
	tr.evaluate()
	qu, ok := tr.quarantines[fp]
	return qu.Crashes, ok && qu.activeAt(tr.opts.Now())
}

// evaluate quarantines requests by the present evidence, and notifies peers if there is a new quarantine. The caller holds the
// lock.
func (tr *Tracker) evaluate() {
	tr.expire()
	if tr.quarantineSuspects() {
		tr.opts.NotifyPeers()
	}
}

// Check decides whether a request may be sent to a target now. If it may and is on probation, the call counts as its probe.
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

// probeDelay returns how long a request that may crash its targets has to wait before its next probe; zero when it may run now.
//
// While many targets crash, there is too little evidence to tell the requests that crash them from those that run beside them,
// above all on an instance that is cut off from its peers. Run seldom, the former crash few targets, and the latter are answered
// completely, which clears them. The caller holds the lock.
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

// expireProbes removes the probes of requests that are no longer on probation. The caller holds the lock.
func (tr *Tracker) expireProbes() {
	for fp := range tr.probes {
		if tr.evidenceCounts[fp] < minCrashes {
			delete(tr.probes, fp)
		}
	}
}
