// Package quarantine detects what crashes the targets that run it, and quarantines it. It looks for the cause among all that requests
// have in common: the whole request, when its caller sends it again under another id, the parts of prompts, the path and the
// organisation. All of these are fingerprints, and are handled alike.
//
// Each run that is interrupted by the crash of its target is evidence against all its fingerprints. One crash interrupts many
// concurrent runs, and targets also crash for other reasons. A fingerprint is therefore quarantined only when more targets crashed
// while running it than coincidence or another fingerprint explains. Fingerprints that the evidence cannot tell apart are quarantined
// together: only requests that have all of them are refused. On weaker evidence a request or part is put on probation: it is run only
// as an occasional probe. A complete answer clears all fingerprints of its request. Instances exchange their evidence, so that all
// come to the same decision.
package quarantine

import (
	"math/rand/v2"
	"slices"
	"sync"
	"time"

	"github.com/VictoriaMetrics/metrics"
	"github.com/apex/log"

	"github.com/silvermount/silvermount/internal/fingerprint"
)

const (
	// minCrashes is the number of targets that must crash while they run a fingerprint before it may be quarantined. Operators accept
	// this many crashes per request.
	minCrashes = 3
	// settleDelay is the time from the interruption of a run until it may lead to a quarantine. Requests with a suspected fingerprint
	// are delayed meanwhile, so that instances learn of each other's crashes, of what else ran on the same targets, and of answers.
	settleDelay = 200 * time.Millisecond
	// crashDetectionTimeout bounds the time between the interruption of a run and the detection of its target's crash. The entry
	// of a target that stops sending heartbeats is removed after three heartbeats, 3.6 s.
	crashDetectionTimeout = 6 * time.Second
	// evidenceTTL is how long a crash counts against what ran on the target.
	evidenceTTL = 10 * time.Minute
	// gossipDuration is how long local evidence is sent to peers. It exceeds the silence after which a peer is considered lost.
	gossipDuration = 15 * time.Second
	// expiryInterval is the time between two scans for expired crashes and quarantines. It is far below their lifetimes.
	expiryInterval = time.Second
)

// Bounds of the state, with the maximum memory of an entry. They hold in a flood of different requests: old entries are evicted,
// and fingerprints beyond maxRunsPerCrash are ignored.
const (
	// maxInterruptedRuns bounds the runs whose targets may still prove to have crashed; 100 bytes each, and 21 for each fingerprint.
	maxInterruptedRuns = 2048
	// maxCrashRecords bounds the crashes, and maxRunsPerCrash the fingerprints recorded for each of them; 80 bytes each.
	maxCrashRecords = 512
	maxRunsPerCrash = 256
	// maxQuarantines bounds the quarantines, and separately the tombstones; 150 bytes each.
	maxQuarantines = 256
	// maxUnpublished bounds the fingerprints with cleared evidence that peers are not told of; 40 bytes each.
	maxUnpublished = 4096
)

// Change is a quarantine that has begun, has changed or has ended on this instance.
type Change struct {
	Quarantine Quarantine
	Ended      bool
	// Rank is about how many instances come before this one where a few of all instances suffice for a task. It differs between
	// quarantines.
	Rank float64
}

// Options are the dependencies of a Tracker. All fields are required but Instance and PeerCount, which an instance without peers may
// leave out, and OnChange.
type Options struct {
	// Instance is the name of this instance.
	Instance string
	// Now returns the time of a monotonic clock.
	Now func() time.Time
	// TargetCount returns the current number of targets, PeerCount that of live peers.
	TargetCount, PeerCount func() int
	// Crashed reports whether a target has disappeared without having announced that it would leave.
	Crashed func(incarnation string) bool
	// NotifyPeers is called when peers need a new snapshot. It must not call the Tracker.
	NotifyPeers func()
	// OnChange is called when a quarantine begins, changes or ends. It must not block or call the Tracker.
	OnChange func(Change)
	Metrics  *metrics.Set
	Log      log.Interface
}

// Tracker holds the evidence against fingerprints and their quarantines. It is safe for concurrent use.
type Tracker struct {
	opts Options

	mu sync.Mutex
	// interrupted holds the runs whose targets are not known to have crashed, oldest first.
	interrupted []InterruptedRun
	// cancelled holds recent runs that were cancelled while their targets were not known to have crashed, oldest first.
	cancelled []InterruptedRun
	// crashes holds the targets that crashed, by incarnation.
	crashes map[string]*crash
	// localEvidence holds the interrupted runs of this instance whose targets crashed. It is sent to peers.
	localEvidence []Evidence
	// quarantines holds the active quarantines and those that ended recently, by their ID. memberCounts counts the quarantines that a
	// fingerprint is a member of, and refusedAt is when a request was last refused for a quarantine here.
	quarantines  map[fingerprint.Fingerprint]Quarantine
	memberCounts map[fingerprint.Fingerprint]int
	refusedAt    map[fingerprint.Fingerprint]time.Time
	// tombstones holds the fingerprints that were cleared recently.
	tombstones map[fingerprint.Fingerprint]tombstone
	// answers holds what was recently answered completely by this instance, and unpublished how many runs with a fingerprint were
	// cleared by that since peers were last told.
	answers     answerMemory
	unpublished map[fingerprint.Fingerprint]int
	// recentAnswers holds the newest of these answers, recentInterrupted the newest runs that were interrupted.
	recentAnswers, recentInterrupted recentRuns
	// evidenceCounts counts the crashes that are evidence against a fingerprint; headCounts counts those crashes and the quarantines
	// of all requests with a head hash. Entries at zero are removed.
	evidenceCounts map[fingerprint.Fingerprint]int
	headCounts     map[fingerprint.HeadHash]int
	// probes holds the last probes that this instance sent, by the fingerprint on probation or the ID of the quarantine.
	probes map[fingerprint.Fingerprint]probe
	// startedAt is when the answer memory began to be filled.
	startedAt time.Time
	// lastExpiry is the time of the last scan for expired crashes and quarantines.
	lastExpiry time.Time
	// revision changes with the evidence, the quarantines and the active runs, and quarantineRevision with the quarantines only. Both
	// are above zero.
	revision, quarantineRevision int
	// evaluatedRevision is the revision at the last evaluation, and evaluateAgainAt when the next one is due even if nothing changes.
	evaluatedRevision int
	evaluateAgainAt   time.Time
	// activeRuns holds the runs in progress on this instance; peerRuns holds those that each peer reports for fingerprints with
	// evidence against them.
	activeRuns map[*ActiveRun]struct{}
	peerRuns   map[string][]ActiveRunSummary
}

// New returns a Tracker without any evidence.
func New(op Options) *Tracker {
	if op.PeerCount == nil {
		op.PeerCount = func() int { return 0 }
	}
	if op.OnChange == nil {
		op.OnChange = func(Change) {}
	}
	tr := &Tracker{
		opts: op, crashes: map[string]*crash{}, quarantines: map[fingerprint.Fingerprint]Quarantine{},
		memberCounts: map[fingerprint.Fingerprint]int{}, refusedAt: map[fingerprint.Fingerprint]time.Time{},
		tombstones: map[fingerprint.Fingerprint]tombstone{}, unpublished: map[fingerprint.Fingerprint]int{},
		evidenceCounts: map[fingerprint.Fingerprint]int{}, headCounts: map[fingerprint.HeadHash]int{},
		probes: map[fingerprint.Fingerprint]probe{}, activeRuns: map[*ActiveRun]struct{}{}, peerRuns: map[string][]ActiveRunSummary{},
		startedAt: op.Now(), revision: 1, quarantineRevision: 1,
	}
	op.Metrics.NewGauge("silvermount_requests_judged", func() float64 { return float64(len(tr.Quarantines())) })
	return tr
}

// RecordInterrupted records a run that was interrupted. The run counts against its fingerprints if its target proves to have crashed.
func (tr *Tracker) RecordInterrupted(rn InterruptedRun) {
	tr.mu.Lock()
	defer tr.mu.Unlock()
	tr.expire()
	tr.recentInterrupted.add(rn.At, rn.Fingerprints)
	if _, crashed := tr.crashes[rn.Incarnation]; crashed {
		tr.addLocalEvidence(rn)
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

// evaluateAndNotify quarantines fingerprints by the present evidence and notifies peers. The caller holds the lock.
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
	tr.crashes[incarnation] = &crash{at: at, runs: map[fingerprint.Fingerprint]Evidence{}}
	kept := tr.interrupted[:0]
	for _, rn := range tr.interrupted {
		if rn.Incarnation != incarnation {
			kept = append(kept, rn)
			continue
		}
		tr.addLocalEvidence(rn)
	}
	tr.interrupted = kept
	tr.addCancelled(incarnation, at)
}

// addLocalEvidence counts the crash of a target against all fingerprints of a run of this instance. The caller holds the lock.
func (tr *Tracker) addLocalEvidence(rn InterruptedRun) {
	run := rand.Uint32()
	for _, fp := range rn.Fingerprints {
		ev := Evidence{Fingerprint: fp, Run: run, Incarnation: rn.Incarnation, Elapsed: rn.Elapsed, Answering: rn.Answering, At: rn.At}
		if !tr.addEvidence(ev) {
			continue
		}
		same := func(own Evidence) bool { return own.Fingerprint == fp && own.Incarnation == ev.Incarnation }
		tr.localEvidence = append(slices.DeleteFunc(tr.localEvidence, same), ev)
	}
}

// addEvidence counts the crash of a target against a fingerprint. It reports whether that says more than was known. The caller holds
// the lock.
func (tr *Tracker) addEvidence(ev Evidence) bool {
	cr := tr.crashes[ev.Incarnation]
	if known, ok := cr.runs[ev.Fingerprint]; ok {
		cr.setRun(known.telling(ev))
		tr.revision++
		return cr.runs[ev.Fingerprint] == ev && known != ev
	}
	if len(cr.runs) >= maxRunsPerCrash {
		return false
	}
	if ts, ok := tr.tombstones[ev.Fingerprint]; ok && !ev.At.After(ts.at) {
		return false
	}
	if answeredAt, ok := tr.answers.last(ev.Fingerprint); ok && !ev.At.After(answeredAt) {
		tr.countCleared(ev.Fingerprint, answeredAt, 1)
		return false
	}
	cr.setRun(ev)
	tr.adjustCounts(ev.Fingerprint, 1)
	if ev.At.Before(cr.at) {
		cr.at = ev.At
	}
	return true
}

// HasEvidence reports whether a request may have to be refused or delayed. If not, calls of Check and Refused are not needed.
func (tr *Tracker) HasEvidence(st fingerprint.Set) bool {
	tr.mu.Lock()
	defer tr.mu.Unlock()
	if tr.detectionOverdue() {
		// A crash that only the list of targets shows is detected when the time limit of the interrupted run expires.
		tr.expire()
		tr.evaluateAndNotify()
	}
	if tr.headCounts[st.HeadHash()] > 0 {
		return true
	}
	return slices.ContainsFunc(st.Shared(), func(fp fingerprint.Fingerprint) bool {
		return tr.evidenceCounts[fp] >= minCrashes || tr.memberCounts[fp] > 0
	})
}

// adjustCounts changes the number of crashes that are evidence against a fingerprint. The caller holds the lock.
func (tr *Tracker) adjustCounts(fp fingerprint.Fingerprint, n int) {
	tr.revision++
	adjustCount(tr.evidenceCounts, fp, n)
	if fp.Kind == fingerprint.WholeRequest {
		adjustCount(tr.headCounts, fp.HeadHash(), n)
	}
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
	for fp := range tr.crashes[incarnation].runs {
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
	if len(tr.crashes) == 0 || len(tr.unpublished) > maxUnpublished {
		clear(tr.unpublished)
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
