package quarantine

import (
	"slices"
	"time"

	"github.com/silvermount/silvermount/internal/fingerprint"
)

const (
	// maxProbationPValue is the p-value above which a fingerprint with enough crashes is not put on probation. It is higher than
	// maxPValue: coincidence or other fingerprints may well explain the crashes.
	maxProbationPValue = 1e-2
	// initialProbeInterval is the minimum time from the crash of a target that ran a fingerprint on probation, or from the last probe
	// of the fingerprint, to its next probe on this instance. It doubles with each probe, up to maxProbeInterval.
	initialProbeInterval = time.Second
	maxProbeInterval     = 8 * time.Second
	// probeStagger is the mean time between the probes of two instances, and maxStaggerFactor bounds the additional wait of an instance,
	// as a multiple of the interval.
	probeStagger     = 200 * time.Millisecond
	maxStaggerFactor = 3
)

// probe is the last run of a fingerprint on probation on this instance.
type probe struct {
	// sentAt is when the request was let through.
	sentAt time.Time
	// interval is the minimum time from sentAt, or from a later crash of a target that ran the fingerprint, to the next probe.
	interval time.Duration
}

// Decision says whether a request may be sent to a target now.
type Decision struct {
	// Quarantined is set when the request must not be run. Quarantine is the reason.
	Quarantined bool
	Quarantine  Quarantine
	// Crashes is the number of targets that had crashed while they ran the request, or requests with what is suspected in it.
	Crashes int
	// Delay is how long the request has to wait before it is checked again; zero when it may run.
	Delay time.Duration
}

// Refused reports whether a request must not be run, and for which quarantine. Unlike Check it sends no probe.
func (tr *Tracker) Refused(st fingerprint.Set) (qu Quarantine, refused bool) {
	tr.mu.Lock()
	defer tr.mu.Unlock()
	tr.evaluate()
	now := tr.opts.Now()
	for _, qu := range tr.quarantinesOf(st) {
		if now.Before(tr.probeTurn(qu)) {
			return qu, true
		}
	}
	return Quarantine{}, false
}

// evaluate quarantines fingerprints by the present evidence, and notifies peers if there is a new quarantine. The caller holds the
// lock.
func (tr *Tracker) evaluate() {
	tr.expire()
	if tr.quarantineSuspects() {
		tr.opts.NotifyPeers()
	}
}

// quarantinesOf returns the quarantines whose members a request has all, sorted by ID. The caller holds the lock.
func (tr *Tracker) quarantinesOf(st fingerprint.Set) []Quarantine {
	var list []Quarantine
	for _, qu := range tr.quarantines {
		if st.HasAll(qu.decisive()) {
			list = append(list, qu)
		}
	}
	sortByID(list)
	return list
}

// Check decides whether a request may be sent to a target now. If it may and has a fingerprint on probation, the call counts as a probe.
func (tr *Tracker) Check(st fingerprint.Set) Decision {
	tr.mu.Lock()
	defer tr.mu.Unlock()
	tr.evaluate()
	for _, qu := range tr.quarantinesOf(st) {
		if dc := tr.refuse(qu); dc.Quarantined || dc.Delay > 0 {
			return dc
		}
	}
	var longest Decision
	for _, fp := range tr.checkedFingerprints(st) {
		dc := tr.checkFingerprint(fp)
		if dc.Delay > longest.Delay || dc.Crashes > longest.Crashes && longest.Delay == 0 {
			longest = dc
		}
	}
	return longest
}

// checkedFingerprints returns the fingerprints of a request that may delay it: the whole request and the parts of its prompt, if there
// is evidence against them. The caller holds the lock.
func (tr *Tracker) checkedFingerprints(st fingerprint.Set) []fingerprint.Fingerprint {
	var list []fingerprint.Fingerprint
	if tr.headCounts[st.HeadHash()] > 0 {
		list = append(list, st.Whole())
	}
	for _, fp := range st.Shared() {
		if isContent(fp) && (tr.evidenceCounts[fp] >= minCrashes || tr.memberCounts[fp] > 0) {
			list = append(list, fp)
		}
	}
	return list
}

// checkFingerprint decides whether a request with a fingerprint may be sent now, whatever its others. The caller holds the lock.
func (tr *Tracker) checkFingerprint(fp fingerprint.Fingerprint) Decision {
	sp := tr.suspect(fp, tr.crashesBefore(tr.opts.Now()))
	dc := Decision{Crashes: len(sp.runs)}
	switch {
	case fp.Kind != fingerprint.WholeRequest && len(sp.runs) > 0 && (tr.isOutranked(sp) || tr.isExonerated(sp) || !tr.isConclusive(sp)):
		// What all requests have in common would stop them all.
	case sp.meetsThresholds(tr.previousQuarantine(sp)):
		dc.Delay = max(0, settleDelay-tr.opts.Now().Sub(tr.settlesFrom(sp)))
	case tr.memberCounts[fp] > 0 && fp.Kind != fingerprint.WholeRequest:
		// The part is quarantined together with something else that this request does not have. Until one run has shown which of them is
		// the cause, the others wait.
		dc.Delay = tr.probeDelay(sp)
	case len(sp.runs) >= minCrashes && sp.pValue <= maxProbationPValue && !sp.knownSound:
		dc.Delay = tr.probeDelay(sp)
	}
	return dc
}

// settlesFrom returns the time from which the crashes under a suspect settle: when the last run was interrupted, or when a peer told of it.
// The caller holds the lock.
func (tr *Tracker) settlesFrom(sp suspect) time.Time {
	at := sp.lastInterrupted()
	for _, ev := range sp.runs {
		at = laterOf(at, tr.crashes[ev.Incarnation].settlesFrom())
	}
	return at
}

// isOutranked reports whether another fingerprint is clearly the better explanation for the crashes of a suspect. The caller holds the
// lock.
func (tr *Tracker) isOutranked(sp suspect) bool {
	if len(sp.runs) == 0 {
		return false
	}
	return slices.ContainsFunc(tr.assess(tr.opts.Now()).suspects, func(other suspect) bool { return other.outranks(sp) })
}

// probeDelay returns how long a fingerprint that may crash its targets has to wait before its next probe; zero when it may run now.
//
// While many targets crash, there is too little evidence to tell what crashes them from what runs beside it, above all on an instance
// that is cut off from its peers. Run seldom, the former crashes few targets, and the latter is answered completely, which clears it.
// The caller holds the lock.
func (tr *Tracker) probeDelay(sp suspect) time.Duration {
	pb, probed := tr.probes[sp.fingerprint]
	if !probed {
		pb.interval = initialProbeInterval
	}
	since := sp.lastInterrupted()
	if pb.sentAt.After(since) {
		since = pb.sentAt
	}
	now := tr.opts.Now()
	// The instances take turns, so that one learns of the outcome of another's probe before it sends its own.
	stagger := min(time.Duration(tr.opts.PeerCount())*probeStagger, maxStaggerFactor*pb.interval)
	turn := pb.interval + time.Duration(tr.position(sp.fingerprint, 0)*float64(stagger))
	if remaining := turn - now.Sub(since); remaining > 0 {
		return remaining
	}
	tr.probes[sp.fingerprint] = probe{sentAt: now, interval: min(2*pb.interval, maxProbeInterval)}
	return 0
}

// expireProbes removes the probes of fingerprints that are no longer on probation, and of quarantines that are gone. The caller holds
// the lock.
func (tr *Tracker) expireProbes() {
	for fp := range tr.probes {
		_, quarantined := tr.quarantines[fp]
		if tr.evidenceCounts[fp] < minCrashes && tr.memberCounts[fp] == 0 && !quarantined {
			delete(tr.probes, fp)
		}
	}
}
