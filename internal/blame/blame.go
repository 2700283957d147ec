// Package blame finds the requests that end the targets which run them, and names them again when they come under another id.
//
// Each run that a target broke off by ending is held against its request. Many requests run beside each other, so one end is held
// against many, and targets also end by themselves. A request is judged when so many targets ended under it that neither chance
// nor another request explains it; before that it is on trial, run seldom. A whole answer clears it. Instances tell each other what
// they saw, so that all judge alike.
package blame

import (
	"sync"
	"time"

	"github.com/VictoriaMetrics/metrics"
	"github.com/apex/log"

	"github.com/silvermount/silvermount/internal/fingerprint"
)

const (
	// endsLeast is how many targets end under a request before it may be judged: it is what the operators allow.
	minCrashes = 3
	// settleFor is how long after its last end a request is held back before it is judged: by then instances have heard of each other's
	// ends, and it is known which others stood under the same ones.
	settleDelay = 200 * time.Millisecond
	// endKnownFor is how long after a run was broken off its target's end may become known. The entry of a target that says nothing
	// goes after three of its heartbeats, 3.6 s.
	crashDetectionTimeout = 6 * time.Second
	// rememberFor is how long an end is held against what ran there.
	evidenceTTL = 10 * time.Minute
	// judgedFor is how long a request is first refused. It doubles with each time that a target ends under it again right afterwards,
	// up to judgedMost, so that a request which never changes ends ever fewer targets.
	initialQuarantine = 5 * time.Minute
	maxQuarantine     = 2 * time.Hour
	// tellFor is how long what this instance saw is told to peers: longer than their silence before they are taken for lost.
	gossipDuration = 15 * time.Second
	// sweepEvery is how often ends and judgements are looked through for those that are too old: well below how long they last.
	expiryInterval = time.Second
)

// The bounds of what is held, each with its memory at the most. They bound a flood of different requests; the oldest gives way.
const (
	// maxBroken bounds the runs whose targets may still turn out to have ended, 100 bytes each.
	maxInterruptedRuns = 2048
	// maxEnds bounds the ends, and maxUnder what is held at one of them, 80 bytes each.
	maxCrashRecords = 512
	maxRunsPerCrash = 64
	// maxJudged bounds the judgements and what was cleared lately, 100 bytes each.
	maxQuarantines = 256
)

// Run is one run of a request that its target broke off.
type InterruptedRun struct {
	Request fingerprint.Fingerprint
	// Target is the incarnation that ran it.
	Incarnation string
	// Exposure is how long the target had run it: since the head of its answer, or since it was sent where none came.
	Elapsed time.Duration
	// At is when it was broken off.
	At time.Time
}

// end is a target that ended.
type crash struct {
	at time.Time
	// under holds the runs that the end broke off, at most maxUnder.
	runsByRequest map[fingerprint.Fingerprint]InterruptedRun
}

// Options are the seams of a Ledger. All are set.
type Options struct {
	// Now is the steady clock.
	Now func() time.Time
	// Targets returns how many targets there are.
	TargetCount func() int
	// Gone reports whether a target is gone that never said that it would leave.
	Crashed func(incarnation string) bool
	// Changed is told when peers have to hear something new. It must not call the ledger.
	NotifyPeers func()
	Metrics     *metrics.Set
	Log         log.Interface
}

// Ledger holds what is known of requests under which targets ended. It is safe for use by any goroutine.
type Tracker struct {
	opts Options

	mu sync.Mutex
	// broken holds the runs that were broken off by targets not known to have ended, the oldest first.
	interrupted []InterruptedRun
	// ends holds the targets that ended, by incarnation.
	crashes map[string]*crash
	// own holds the runs that this instance saw end with their targets, to be told to peers.
	localEvidence []InterruptedRun
	// judgements holds those in force and those that have passed lately.
	quarantines map[fingerprint.Fingerprint]Quarantine
	// cleared holds the requests that were cleared lately.
	tombstones map[fingerprint.Fingerprint]tombstone
	// held counts the ends that are held against a request, origins the ends and judgements on requests of an origin; entries at zero
	// are removed.
	evidenceCounts map[fingerprint.Fingerprint]int
	headCounts     map[fingerprint.HeadHash]int
	// trials holds the requests on trial that were run here.
	probes map[fingerprint.Fingerprint]probe
	// sweptAt is when ends and judgements that are too old were last forgotten.
	lastExpiry time.Time
	// running holds the runs that go on here, by origin, and told those at peers of requests under which targets ended.
	activeRuns map[fingerprint.HeadHash][]*ActiveRun
	peerRuns   map[string][]ActiveRunSummary
}

// New returns an empty ledger.
func New(op Options) *Tracker {
	tr := &Tracker{
		opts: op, crashes: map[string]*crash{}, quarantines: map[fingerprint.Fingerprint]Quarantine{},
		tombstones: map[fingerprint.Fingerprint]tombstone{}, evidenceCounts: map[fingerprint.Fingerprint]int{}, headCounts: map[fingerprint.HeadHash]int{},
		activeRuns: map[fingerprint.HeadHash][]*ActiveRun{}, peerRuns: map[string][]ActiveRunSummary{}, probes: map[fingerprint.Fingerprint]probe{},
	}
	op.Metrics.NewGauge("silvermount_requests_judged", func() float64 { return float64(len(tr.Quarantines())) })
	return tr
}

// Broke notes a run that its target broke off. It is held against the request if the target turns out to have ended.
func (tr *Tracker) RecordInterrupted(rn InterruptedRun) {
	tr.mu.Lock()
	defer tr.mu.Unlock()
	tr.expire()
	if _, crashed := tr.crashes[rn.Incarnation]; crashed {
		tr.addEvidence(rn, true)
		tr.evaluateAndNotify()
		return
	}
	if len(tr.interrupted) >= maxInterruptedRuns {
		tr.interrupted = tr.interrupted[1:]
	}
	tr.interrupted = append(tr.interrupted, rn)
}

// Ended notes that a target has ended.
func (tr *Tracker) RecordCrash(incarnation string) {
	tr.mu.Lock()
	defer tr.mu.Unlock()
	tr.expire()
	if _, known := tr.crashes[incarnation]; known {
		return
	}
	tr.addCrash(incarnation, tr.opts.Now())
	tr.evaluateAndNotify()
}

// changed judges by what is known now, and has peers told. The lock is held.
func (tr *Tracker) evaluateAndNotify() {
	tr.quarantineSuspects()
	tr.opts.NotifyPeers()
}

// end notes the end of a target, and holds against their requests the runs that it broke off here. The lock is held.
func (tr *Tracker) addCrash(incarnation string, at time.Time) {
	if len(tr.crashes) >= maxCrashRecords {
		tr.evictOldestCrash()
	}
	tr.crashes[incarnation] = &crash{at: at, runsByRequest: map[fingerprint.Fingerprint]InterruptedRun{}}
	kept := tr.interrupted[:0]
	for _, rn := range tr.interrupted {
		if rn.Incarnation != incarnation {
			kept = append(kept, rn)
			continue
		}
		tr.addEvidence(rn, true)
	}
	tr.interrupted = kept
}

// hold holds the end of a target against the request that it ran. The lock is held.
func (tr *Tracker) addEvidence(rn InterruptedRun, localEvidence bool) {
	cr := tr.crashes[rn.Incarnation]
	if _, known := cr.runsByRequest[rn.Request]; known || len(cr.runsByRequest) >= maxRunsPerCrash {
		return
	}
	if ts, ok := tr.tombstones[rn.Request]; ok && !rn.At.After(ts.at) {
		return
	}
	cr.runsByRequest[rn.Request] = rn
	tr.adjustCounts(rn.Request, 1)
	if rn.At.Before(cr.at) {
		cr.at = rn.At
	}
	if localEvidence {
		tr.localEvidence = append(tr.localEvidence, rn)
	}
}

// Served notes a whole answer, which clears the request of all that happened before.
func (tr *Tracker) RecordAnswered(fp fingerprint.Fingerprint) {
	tr.mu.Lock()
	defer tr.mu.Unlock()
	tr.expire()
	if tr.clear(fp, tombstone{at: tr.opts.Now()}) {
		tr.evaluateAndNotify()
	}
}

// Knows reports whether anything is held against a request of an origin. Only then Check and Served have to be asked.
func (tr *Tracker) HasEvidence(hh fingerprint.HeadHash) bool {
	tr.mu.Lock()
	defer tr.mu.Unlock()
	if tr.detectionOverdue() {
		// Ends that the list alone tells come to light when their runs are given up for unexplained.
		tr.expire()
		tr.evaluateAndNotify()
	}
	return tr.headCounts[hh] > 0
}

// weigh counts ends that are held against a request, or no longer. The lock is held.
func (tr *Tracker) adjustCounts(fp fingerprint.Fingerprint, n int) {
	adjustCount(tr.evidenceCounts, fp, n)
	adjustCount(tr.headCounts, fp.HeadHash(), n)
}

// add changes a count, and removes it at zero.
func adjustCount[K comparable](counts map[K]int, key K, n int) {
	counts[key] += n
	if counts[key] == 0 {
		delete(counts, key)
	}
}

// forget forgets a target that ended. The lock is held.
func (tr *Tracker) removeCrash(incarnation string) {
	for fp := range tr.crashes[incarnation].runsByRequest {
		tr.adjustCounts(fp, -1)
	}
	delete(tr.crashes, incarnation)
}

// overdue reports whether the target of a broken run has to be known to have ended by now. The lock is held.
func (tr *Tracker) detectionOverdue() bool {
	return len(tr.interrupted) > 0 && tr.opts.Now().Sub(tr.interrupted[0].At) > crashDetectionTimeout
}

// expire forgets what is too old, after a last look at whether the targets of broken runs are gone. The lock is held.
func (tr *Tracker) expire() {
	now := tr.opts.Now()
	for tr.detectionOverdue() {
		rn := tr.interrupted[0]
		if tr.opts.Crashed(rn.Incarnation) {
			tr.addCrash(rn.Incarnation, rn.At)
			continue
		}
		tr.interrupted = tr.interrupted[1:]
	}
	for len(tr.localEvidence) > 0 && now.Sub(tr.localEvidence[0].At) > gossipDuration {
		tr.localEvidence = tr.localEvidence[1:]
	}
	if now.Sub(tr.lastExpiry) < expiryInterval {
		return
	}
	tr.lastExpiry = now
	for id, cr := range tr.crashes {
		if now.Sub(cr.at) > evidenceTTL {
			tr.removeCrash(id)
		}
	}
	tr.expireQuarantines(now)
	tr.expireProbes()
}

// forgetOldest forgets the end that is longest ago. The lock is held.
func (tr *Tracker) evictOldestCrash() {
	oldest := ""
	for id, cr := range tr.crashes {
		if oldest == "" || cr.at.Before(tr.crashes[oldest].at) {
			oldest = id
		}
	}
	tr.removeCrash(oldest)
}
