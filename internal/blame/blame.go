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
	endsLeast = 3
	// settleFor is how long after its last end a request is held back before it is judged: by then instances have heard of each other's
	// ends, and it is known which others stood under the same ones.
	settleFor = 200 * time.Millisecond
	// endKnownFor is how long after a run was broken off its target's end may become known. The entry of a target that says nothing
	// goes after three of its heartbeats, 3.6 s.
	endKnownFor = 6 * time.Second
	// rememberFor is how long an end is held against what ran there.
	rememberFor = 10 * time.Minute
	// judgedFor is how long a request is first refused. It doubles with each time that a target ends under it again right afterwards,
	// up to judgedMost, so that a request which never changes ends ever fewer targets.
	judgedFor  = 5 * time.Minute
	judgedMost = 2 * time.Hour
	// tellFor is how long what this instance saw is told to peers: longer than their silence before they are taken for lost.
	tellFor = 15 * time.Second
	// sweepEvery is how often ends and judgements are looked through for those that are too old: well below how long they last.
	sweepEvery = time.Second
)

// The bounds of what is held, each with its memory at the most. They bound a flood of different requests; the oldest gives way.
const (
	// maxBroken bounds the runs whose targets may still turn out to have ended, 100 bytes each.
	maxBroken = 2048
	// maxEnds bounds the ends, and maxUnder what is held at one of them, 80 bytes each.
	maxEnds  = 512
	maxUnder = 64
	// maxJudged bounds the judgements and what was cleared lately, 100 bytes each.
	maxJudged = 256
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
type end struct {
	at time.Time
	// under holds the runs that the end broke off, at most maxUnder.
	under map[fingerprint.Fingerprint]InterruptedRun
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
	broken []InterruptedRun
	// ends holds the targets that ended, by incarnation.
	ends map[string]*end
	// own holds the runs that this instance saw end with their targets, to be told to peers.
	own []InterruptedRun
	// judgements holds those in force and those that have passed lately.
	judgements map[fingerprint.Fingerprint]Quarantine
	// cleared holds the requests that were cleared lately.
	cleared map[fingerprint.Fingerprint]clearance
	// held counts the ends that are held against a request, origins the ends and judgements on requests of an origin; entries at zero
	// are removed.
	held    map[fingerprint.Fingerprint]int
	origins map[fingerprint.HeadHash]int
	// trials holds the requests on trial that were run here.
	trials map[fingerprint.Fingerprint]trial
	// sweptAt is when ends and judgements that are too old were last forgotten.
	sweptAt time.Time
	// running holds the runs that go on here, by origin, and told those at peers of requests under which targets ended.
	running map[fingerprint.HeadHash][]*ActiveRun
	told    map[string][]ActiveRunSummary
}

// New returns an empty ledger.
func New(op Options) *Tracker {
	ld := &Tracker{
		opts: op, ends: map[string]*end{}, judgements: map[fingerprint.Fingerprint]Quarantine{},
		cleared: map[fingerprint.Fingerprint]clearance{}, held: map[fingerprint.Fingerprint]int{}, origins: map[fingerprint.HeadHash]int{},
		running: map[fingerprint.HeadHash][]*ActiveRun{}, told: map[string][]ActiveRunSummary{}, trials: map[fingerprint.Fingerprint]trial{},
	}
	op.Metrics.NewGauge("silvermount_requests_judged", func() float64 { return float64(len(ld.Quarantines())) })
	return ld
}

// Broke notes a run that its target broke off. It is held against the request if the target turns out to have ended.
func (ld *Tracker) RecordInterrupted(rn InterruptedRun) {
	ld.mu.Lock()
	defer ld.mu.Unlock()
	ld.expire()
	if _, ended := ld.ends[rn.Incarnation]; ended {
		ld.hold(rn, true)
		ld.changed()
		return
	}
	if len(ld.broken) >= maxBroken {
		ld.broken = ld.broken[1:]
	}
	ld.broken = append(ld.broken, rn)
}

// Ended notes that a target has ended.
func (ld *Tracker) RecordCrash(incarnation string) {
	ld.mu.Lock()
	defer ld.mu.Unlock()
	ld.expire()
	if _, known := ld.ends[incarnation]; known {
		return
	}
	ld.end(incarnation, ld.opts.Now())
	ld.changed()
}

// changed judges by what is known now, and has peers told. The lock is held.
func (ld *Tracker) changed() {
	ld.judge()
	ld.opts.NotifyPeers()
}

// end notes the end of a target, and holds against their requests the runs that it broke off here. The lock is held.
func (ld *Tracker) end(incarnation string, at time.Time) {
	if len(ld.ends) >= maxEnds {
		ld.forgetOldest()
	}
	ld.ends[incarnation] = &end{at: at, under: map[fingerprint.Fingerprint]InterruptedRun{}}
	kept := ld.broken[:0]
	for _, rn := range ld.broken {
		if rn.Incarnation != incarnation {
			kept = append(kept, rn)
			continue
		}
		ld.hold(rn, true)
	}
	ld.broken = kept
}

// hold holds the end of a target against the request that it ran. The lock is held.
func (ld *Tracker) hold(rn InterruptedRun, own bool) {
	en := ld.ends[rn.Incarnation]
	if _, known := en.under[rn.Request]; known || len(en.under) >= maxUnder {
		return
	}
	if cl, ok := ld.cleared[rn.Request]; ok && !rn.At.After(cl.at) {
		return
	}
	en.under[rn.Request] = rn
	ld.weigh(rn.Request, 1)
	if rn.At.Before(en.at) {
		en.at = rn.At
	}
	if own {
		ld.own = append(ld.own, rn)
	}
}

// Served notes a whole answer, which clears the request of all that happened before.
func (ld *Tracker) RecordAnswered(fp fingerprint.Fingerprint) {
	ld.mu.Lock()
	defer ld.mu.Unlock()
	ld.expire()
	if ld.clear(fp, clearance{at: ld.opts.Now()}) {
		ld.changed()
	}
}

// Knows reports whether anything is held against a request of an origin. Only then Check and Served have to be asked.
func (ld *Tracker) HasEvidence(or fingerprint.HeadHash) bool {
	ld.mu.Lock()
	defer ld.mu.Unlock()
	if ld.overdue() {
		// Ends that the list alone tells come to light when their runs are given up for unexplained.
		ld.expire()
		ld.changed()
	}
	return ld.origins[or] > 0
}

// weigh counts ends that are held against a request, or no longer. The lock is held.
func (ld *Tracker) weigh(fp fingerprint.Fingerprint, ends int) {
	add(ld.held, fp, ends)
	add(ld.origins, fp.HeadHash(), ends)
}

// add changes a count, and removes it at zero.
func add[K comparable](counts map[K]int, key K, n int) {
	counts[key] += n
	if counts[key] == 0 {
		delete(counts, key)
	}
}

// forget forgets a target that ended. The lock is held.
func (ld *Tracker) forget(incarnation string) {
	for fp := range ld.ends[incarnation].under {
		ld.weigh(fp, -1)
	}
	delete(ld.ends, incarnation)
}

// overdue reports whether the target of a broken run has to be known to have ended by now. The lock is held.
func (ld *Tracker) overdue() bool {
	return len(ld.broken) > 0 && ld.opts.Now().Sub(ld.broken[0].At) > endKnownFor
}

// expire forgets what is too old, after a last look at whether the targets of broken runs are gone. The lock is held.
func (ld *Tracker) expire() {
	now := ld.opts.Now()
	for ld.overdue() {
		rn := ld.broken[0]
		if ld.opts.Crashed(rn.Incarnation) {
			ld.end(rn.Incarnation, rn.At)
			continue
		}
		ld.broken = ld.broken[1:]
	}
	for len(ld.own) > 0 && now.Sub(ld.own[0].At) > tellFor {
		ld.own = ld.own[1:]
	}
	if now.Sub(ld.sweptAt) < sweepEvery {
		return
	}
	ld.sweptAt = now
	for id, en := range ld.ends {
		if now.Sub(en.at) > rememberFor {
			ld.forget(id)
		}
	}
	ld.expireJudgements(now)
	ld.expireTrials()
}

// forgetOldest forgets the end that is longest ago. The lock is held.
func (ld *Tracker) forgetOldest() {
	oldest := ""
	for id, en := range ld.ends {
		if oldest == "" || en.at.Before(ld.ends[oldest].at) {
			oldest = id
		}
	}
	ld.forget(oldest)
}
