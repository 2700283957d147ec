// Package quarantine detects requests that crash the targets which run them, and quarantines them. It identifies requests by
// fingerprint, so that a quarantine also holds when the caller sends the request again under another id.
//
// Each run that is interrupted by the crash of its target is evidence against its request. One crash interrupts many concurrent
// runs, and targets also crash for other reasons. A request is therefore quarantined only when more targets crashed while running
// it than coincidence or another request explains. On weaker evidence it is put on probation: it is run only as an occasional
// probe. A complete answer clears it. Instances exchange their evidence, so that all come to the same decision.
package quarantine

import (
	"sync"
	"time"

	"github.com/VictoriaMetrics/metrics"
	"github.com/apex/log"

	"github.com/silvermount/silvermount/internal/fingerprint"
)

const (
	// minCrashes is the number of targets that must crash while they run a request before it may be quarantined. Operators accept
	// this many crashes per request.
	minCrashes = 3
	// settleDelay is the time between the last crash of a target that ran a request and the quarantine of the request. The request
	// is delayed meanwhile, so that instances learn of each other's crashes and of the other requests that ran on the same targets.
	settleDelay = 200 * time.Millisecond
	// crashDetectionTimeout bounds the time between the interruption of a run and the detection of its target's crash. The entry
	// of a target that stops sending heartbeats is removed after three heartbeats, 3.6 s.
	crashDetectionTimeout = 6 * time.Second
	// evidenceTTL is how long a crash counts against the requests that ran on the target.
	evidenceTTL = 10 * time.Minute
	// initialQuarantine is the duration of the first quarantine. The duration doubles, up to maxQuarantine, each time that
	// another target crashes while it runs the request soon after the quarantine ends, so that a request that always crashes
	// its target crashes ever fewer of them.
	initialQuarantine = 5 * time.Minute
	maxQuarantine     = 2 * time.Hour
	// gossipDuration is how long local evidence is sent to peers. It exceeds the silence after which a peer is considered lost.
	gossipDuration = 15 * time.Second
	// expiryInterval is the time between two scans for expired crashes and quarantines. It is far below their lifetimes.
	expiryInterval = time.Second
)

// Bounds of the state, with the maximum memory of an entry. They hold in a flood of different requests: old entries are evicted,
// and runs beyond maxRunsPerCrash are ignored.
const (
	// maxInterruptedRuns bounds the runs whose targets may still prove to have crashed; 100 bytes each.
	maxInterruptedRuns = 2048
	// maxCrashRecords bounds the crashes, and maxRunsPerCrash the runs recorded for each of them; 80 bytes each.
	maxCrashRecords = 512
	maxRunsPerCrash = 64
	// maxQuarantines bounds the quarantines, and separately the tombstones; 100 bytes each.
	maxQuarantines = 256
)

// InterruptedRun is a run of a request that its target interrupted: it sent no answer, or an incomplete one.
type InterruptedRun struct {
	Request fingerprint.Fingerprint
	// Incarnation identifies the process of the target that ran the request.
	Incarnation string
	// Elapsed is how long the target had run the request: since the head of its answer, or since the request was sent if no head
	// came.
	Elapsed time.Duration
	// At is when the run was interrupted.
	At time.Time
}

// crash is the crash of one incarnation of a target.
type crash struct {
	at time.Time
	// runsByRequest holds the runs that the crash interrupted, at most maxRunsPerCrash.
	runsByRequest map[fingerprint.Fingerprint]InterruptedRun
}

// Options are the dependencies of a Tracker. All fields are required.
type Options struct {
	// Now returns the time of a monotonic clock.
	Now func() time.Time
	// TargetCount returns the current number of targets.
	TargetCount func() int
	// Crashed reports whether a target has disappeared without having announced that it would leave.
	Crashed func(incarnation string) bool
	// NotifyPeers is called when peers need a new snapshot. It must not call the Tracker.
	NotifyPeers func()
	Metrics     *metrics.Set
	Log         log.Interface
}

// Tracker holds the evidence against requests and their quarantines. It is safe for concurrent use.
type Tracker struct {
	opts Options

	mu sync.Mutex
	// interrupted holds the runs whose targets are not known to have crashed, oldest first.
	interrupted []InterruptedRun
	// crashes holds the targets that crashed, by incarnation.
	crashes map[string]*crash
	// localEvidence holds the interrupted runs of this instance whose targets crashed. They are sent to peers.
	localEvidence []InterruptedRun
	// quarantines holds the active quarantines and those that ended recently.
	quarantines map[fingerprint.Fingerprint]Quarantine
	// tombstones holds the requests that were cleared recently.
	tombstones map[fingerprint.Fingerprint]tombstone
	// evidenceCounts counts the crashes that are evidence against a request; headCounts counts those crashes and the quarantines of
	// all requests with a head hash. Entries at zero are removed.
	evidenceCounts map[fingerprint.Fingerprint]int
	headCounts     map[fingerprint.HeadHash]int
	// probes holds the last probes that this instance sent of requests on probation.
	probes map[fingerprint.Fingerprint]probe
	// lastExpiry is the time of the last scan for expired crashes and quarantines.
	lastExpiry time.Time
	// activeRuns holds the runs in progress on this instance, by head hash; peerRuns holds those that each peer reports for
	// requests with evidence against them.
	activeRuns map[fingerprint.HeadHash][]*ActiveRun
	peerRuns   map[string][]ActiveRunSummary
}

// New returns a Tracker without any evidence.
func New(op Options) *Tracker {
	tr := &Tracker{
		opts: op, crashes: map[string]*crash{}, quarantines: map[fingerprint.Fingerprint]Quarantine{},
		tombstones: map[fingerprint.Fingerprint]tombstone{}, evidenceCounts: map[fingerprint.Fingerprint]int{},
		headCounts: map[fingerprint.HeadHash]int{}, activeRuns: map[fingerprint.HeadHash][]*ActiveRun{},
		peerRuns: map[string][]ActiveRunSummary{}, probes: map[fingerprint.Fingerprint]probe{},
	}
	op.Metrics.NewGauge("silvermount_requests_judged", func() float64 { return float64(len(tr.Quarantines())) })
	return tr
}

// RecordInterrupted records a run that was interrupted. The run counts against the request if its target proves to have crashed.
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

// RecordCrash records that an incarnation of a target has crashed.
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

// evaluateAndNotify quarantines requests by the present evidence and notifies peers. The caller holds the lock.
func (tr *Tracker) evaluateAndNotify() {
	tr.quarantineSuspects()
	tr.opts.NotifyPeers()
}

// addCrash records the crash of a target and turns the runs that it interrupted on this instance into evidence. The caller holds
// the lock.
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

// addEvidence counts the crash of a target against the request of an interrupted run. The caller holds the lock.
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

// RecordAnswered records a complete answer, which voids all earlier evidence against the request.
func (tr *Tracker) RecordAnswered(fp fingerprint.Fingerprint) {
	tr.mu.Lock()
	defer tr.mu.Unlock()
	tr.expire()
	if tr.clear(fp, tombstone{at: tr.opts.Now()}) {
		tr.evaluateAndNotify()
	}
}

// HasEvidence reports whether there is evidence or a quarantine for any request with a head hash. If there is none, calls of
// Check and RecordAnswered are not needed.
func (tr *Tracker) HasEvidence(hh fingerprint.HeadHash) bool {
	tr.mu.Lock()
	defer tr.mu.Unlock()
	if tr.detectionOverdue() {
		// A crash that only the list of targets shows is detected when the time limit of the interrupted run expires.
		tr.expire()
		tr.evaluateAndNotify()
	}
	return tr.headCounts[hh] > 0
}

// adjustCounts changes the number of crashes that are evidence against a request. The caller holds the lock.
func (tr *Tracker) adjustCounts(fp fingerprint.Fingerprint, n int) {
	adjustCount(tr.evidenceCounts, fp, n)
	adjustCount(tr.headCounts, fp.HeadHash(), n)
}

// adjustCount changes a count and deletes it at zero.
func adjustCount[K comparable](counts map[K]int, key K, n int) {
	counts[key] += n
	if counts[key] == 0 {
		delete(counts, key)
	}
}

// removeCrash removes the crash of a target and the evidence that it gave. The caller holds the lock.
func (tr *Tracker) removeCrash(incarnation string) {
	for fp := range tr.crashes[incarnation].runsByRequest {
		tr.adjustCounts(fp, -1)
	}
	delete(tr.crashes, incarnation)
}

// detectionOverdue reports whether the crash of the target of the oldest interrupted run, if it crashed, must be visible by now.
// The caller holds the lock.
func (tr *Tracker) detectionOverdue() bool {
	return len(tr.interrupted) > 0 && tr.opts.Now().Sub(tr.interrupted[0].At) > crashDetectionTimeout
}

// expire removes what is too old. It first checks a last time whether the targets of interrupted runs have crashed. The caller
// holds the lock.
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

// evictOldestCrash removes the oldest crash. The caller holds the lock.
func (tr *Tracker) evictOldestCrash() {
	oldest := ""
	for id, cr := range tr.crashes {
		if oldest == "" || cr.at.Before(tr.crashes[oldest].at) {
			oldest = id
		}
	}
	tr.removeCrash(oldest)
}
