package quarantine_test

import (
	"fmt"
	"math/rand/v2"
	"slices"
	"testing"
	"time"

	. "github.com/onsi/gomega"

	"github.com/silvermount/silvermount/internal/fingerprint"
	"github.com/silvermount/silvermount/internal/quarantine"
)

const (
	// step is the interval of the simulated clock.
	step = 5 * time.Millisecond
	// quarantineDeadline is the time after the third crash in which all instances must quarantine a request that crashes targets.
	quarantineDeadline = 2900 * time.Millisecond
	// downtime is how long a crashed target takes to restart.
	downtime = 2 * time.Second
	// maxTries is how often an interrupted request is sent, by retries of its instance and of its caller.
	maxTries = 4
)

// scenario describes a small fleet and its load.
type scenario struct {
	instances, targets int
	// fatal is the number of different requests that crash their targets; each is sent fatalRate times per second.
	fatal, fatalRate int
	// crashRate is how many targets per second crash for other reasons.
	crashRate float64
	// repeated is the number of harmless requests that are sent repeatedly. All others are sent once.
	repeated int
	// meanDuration is the mean duration of a run.
	meanDuration time.Duration
	// maxGossipDelay is the maximum time until peers receive the snapshot of an instance.
	maxGossipDelay time.Duration
	// isolated is the number of instances that neither send gossip nor receive any. Crashes and runs through them are not
	// counted.
	isolated int
	// traits returns what a request has in common with others, apart from the whole request: a fatal one of the given number, or a
	// harmless one, whose number is negative. With traits, no two requests are alike. It is nil if only whole requests count.
	traits func(rd *rand.Rand, fatal int) []fingerprint.Fingerprint
	// warmUp is the time before the first fatal request and the first crash.
	warmUp time.Duration
	// turning is what turns fatal after the warm-up: all harmless requests with it do. It is zero if nothing turns fatal.
	turning fingerprint.Fingerprint
	// crashLimit is the number of targets that each fatal request, or trait of one, may crash before it must be quarantined; 3 if
	// zero.
	crashLimit int
}

// job is a request that a target runs.
type job struct {
	// name identifies what is counted: a repeated request, or a fatal request or trait.
	name   string
	set    fingerprint.Set
	entry  *instance
	target int
	// sentAt is when the request was sent, headAt when its target begins to answer, and endsAt when it will be answered or, if fatal,
	// crash its target.
	sentAt, headAt, endsAt time.Time
	fatal                  bool
	tries                  int
	activeRun              *quarantine.ActiveRun
}

// message is a snapshot on its way from one instance to another.
type message struct {
	snapshot  quarantine.Snapshot
	to        *instance
	deliverAt time.Time
}

// simulation is a small fleet on a simulated clock.
type simulation struct {
	scenario
	rd        *rand.Rand
	ck        *clock
	fleet     []*instance
	startedAt time.Time
	// incarnations counts the restarts of each target; downUntil is when the next incarnation starts.
	incarnations []int
	downUntil    []time.Time
	jobs         []*job
	messages     []message
	gossiped     []int
	// lastAllowedCrash is when a fatal request had crashed as many targets as crashLimit allows. crashes counts the crashes of targets
	// that ran it, and lateRuns its runs after the deadline for its quarantine.
	lastAllowedCrash map[string]time.Time
	crashes          map[string]int
	lateRuns         map[string]int
	// sent numbers the requests that are like no other.
	sent int
	// refused counts the harmless requests that were refused, by name; served counts those that were answered.
	refused map[string]int
	// delayed counts the harmless requests that had to wait.
	served, delayed int
}

func newSimulation(seed uint64, sc scenario) *simulation {
	sm := &simulation{
		scenario: sc, rd: rand.New(rand.NewPCG(seed, 0)), ck: newClock(), incarnations: make([]int, sc.targets),
		downUntil: make([]time.Time, sc.targets), gossiped: make([]int, sc.instances),
		lastAllowedCrash: map[string]time.Time{}, crashes: map[string]int{}, lateRuns: map[string]int{}, refused: map[string]int{},
	}
	sm.startedAt = sm.ck.now
	for i := range sc.instances {
		sm.fleet = append(sm.fleet, newPeer(sm.ck, sc.targets, fmt.Sprint("instance-", i), sc.instances-1))
	}
	return sm
}

// run simulates the given time.
func (sm *simulation) run(length time.Duration) {
	for end := sm.ck.now.Add(length); sm.ck.now.Before(end); sm.ck.advance(step) {
		sm.arrive()
		sm.finish()
		if sm.isWarm() && sm.happens(sm.crashRate) {
			sm.crash(sm.rd.IntN(sm.targets))
		}
		sm.deliverGossip()
	}
}

// isWarm reports whether the time without faults is over.
func (sm *simulation) isWarm() bool { return sm.ck.now.Sub(sm.startedAt) >= sm.warmUp }

// happens reports whether an event of the given rate occurs in this step.
func (sm *simulation) happens(perSecond float64) bool {
	return sm.rd.Float64() < perSecond*step.Seconds()
}

func (sm *simulation) arrive() {
	for i := range sm.fatal {
		if sm.isWarm() && sm.happens(float64(sm.fatalRate)) {
			sm.send(job{name: fmt.Sprint("fatal-", i), fatal: true, set: sm.newSet(fmt.Sprint("fatal-", i), i)})
		}
	}
	const perSecond = 40
	if !sm.happens(perSecond) {
		return
	}
	name := fmt.Sprint("once-", sm.ck.now.UnixMilli())
	if sm.rd.IntN(2) == 0 {
		name = fmt.Sprint("body-", sm.rd.IntN(sm.repeated))
	}
	jb := job{name: name, set: sm.newSet(name, -1)}
	if sm.turning != (fingerprint.Fingerprint{}) && jb.set.Has(sm.turning) && sm.ck.now.Sub(sm.startedAt) > sm.warmUp {
		jb.name, jb.fatal = "turned", true
	}
	sm.send(jb)
}

// newSet returns the fingerprints of a request.
func (sm *simulation) newSet(name string, fatal int) fingerprint.Set {
	if sm.traits == nil {
		return setOf(request(name))
	}
	sm.sent++
	return setOf(append([]fingerprint.Fingerprint{request(fmt.Sprint("once-", sm.sent))}, sm.traits(sm.rd, fatal)...)...)
}

// send sends a request through a random instance to a random target that is up.
func (sm *simulation) send(jb job) {
	jb.entry = sm.fleet[sm.rd.IntN(len(sm.fleet))]
	jb.tries++
	dc := jb.entry.Tracker.Check(jb.set)
	switch {
	case dc.Quarantined && !jb.fatal:
		sm.refused[jb.name]++
		return
	case dc.Delay > 0 && !jb.fatal:
		sm.delayed++
		return
	case dc.Quarantined || dc.Delay > 0:
		return // Fatal and repeated requests arrive again anyway.
	}
	up := slices.DeleteFunc(indices(sm.targets), func(i int) bool { return sm.ck.now.Before(sm.downUntil[i]) })
	if len(up) == 0 {
		return
	}
	jb.target = up[sm.rd.IntN(len(up))]
	jb.sentAt, jb.headAt = sm.ck.now, sm.ck.now
	if sm.traits != nil {
		jb.headAt = sm.ck.now.Add(time.Duration(sm.rd.Int64N(int64(sm.meanDuration))))
	}
	jb.endsAt = sm.ck.now.Add(time.Duration(sm.rd.ExpFloat64() * float64(sm.meanDuration)))
	if sm.traits != nil {
		jb.endsAt = jb.headAt.Add(time.Duration(sm.rd.ExpFloat64() * float64(sm.meanDuration)))
	}
	if jb.fatal {
		jb.endsAt = jb.headAt.Add(20*time.Millisecond + time.Duration(sm.rd.IntN(280))*time.Millisecond)
		if last, ok := sm.lastAllowedCrash[jb.name]; ok && sm.ck.now.Sub(last) > quarantineDeadline && sm.connected(jb) {
			sm.lateRuns[jb.name]++
		}
	}
	if sm.traits == nil {
		jb.activeRun = jb.entry.Tracker.BeginRun(jb.set)
	}
	sm.jobs = append(sm.jobs, &jb)
}

func indices(n int) []int {
	list := make([]int, n)
	for i := range list {
		list[i] = i
	}
	return list
}

// finish ends the requests whose time has come.
func (sm *simulation) finish() {
	for _, jb := range slices.Clone(sm.jobs) {
		if jb.activeRun == nil && !sm.ck.now.Before(jb.headAt) {
			jb.activeRun = jb.entry.Tracker.BeginRun(jb.set)
		}
		if sm.ck.now.Before(jb.endsAt) || !slices.Contains(sm.jobs, jb) {
			continue
		}
		if jb.fatal {
			if sm.connected(*jb) {
				sm.crashes[jb.name]++
			}
			if _, known := sm.lastAllowedCrash[jb.name]; !known && sm.crashes[jb.name] == max(3, sm.crashLimit) {
				sm.lastAllowedCrash[jb.name] = sm.ck.now
			}
			sm.crash(jb.target)
			continue
		}
		sm.jobs = slices.DeleteFunc(sm.jobs, func(other *job) bool { return other == jb })
		sm.served++
		jb.activeRun.End()
		jb.entry.Tracker.RecordAnswered(jb.set)
	}
}

// crash crashes a target and interrupts all that it runs. Harmless requests are sent again.
func (sm *simulation) crash(i int) {
	if sm.ck.now.Before(sm.downUntil[i]) {
		return
	}
	incarnation := fmt.Sprint(i, "@", sm.incarnations[i])
	sm.incarnations[i]++
	sm.downUntil[i] = sm.ck.now.Add(downtime)
	var lost []*job
	sm.jobs = slices.DeleteFunc(sm.jobs, func(jb *job) bool {
		if jb.target == i {
			lost = append(lost, jb)
		}
		return jb.target == i
	})
	for _, jb := range lost {
		jb.entry.RecordInterrupted(sm.interruptedRun(jb, incarnation))
	}
	for _, jb := range lost {
		jb.entry.RecordCrash(incarnation)
	}
	for _, jb := range lost {
		if (!jb.fatal || sm.traits != nil) && jb.tries < maxTries {
			sm.send(job{name: jb.name, set: jb.set, fatal: jb.fatal, tries: jb.tries})
		}
	}
}

// interruptedRun ends a run and returns its record.
func (sm *simulation) interruptedRun(jb *job, incarnation string) quarantine.InterruptedRun {
	rn := quarantine.InterruptedRun{Fingerprints: jb.set.All(), Incarnation: incarnation, Elapsed: sm.ck.now.Sub(jb.sentAt), At: sm.ck.now}
	if jb.activeRun == nil {
		return rn
	}
	jb.activeRun.End()
	if sm.traits != nil {
		rn.Elapsed, rn.Answering = sm.ck.now.Sub(jb.headAt), true
	}
	return rn
}

// connected reports whether a request came through an instance that is not isolated.
func (sm *simulation) connected(jb job) bool {
	return !slices.Contains(sm.fleet[:sm.isolated], jb.entry)
}

// deliverGossip sends new snapshots to all connected peers, with a random delay, and delivers those that are due.
func (sm *simulation) deliverGossip() {
	for i, in := range sm.fleet {
		if in.notifications == sm.gossiped[i] {
			continue
		}
		sm.gossiped[i] = in.notifications
		sn := in.Snapshot()
		for j, other := range sm.fleet {
			if other != in && i >= sm.isolated && j >= sm.isolated {
				delay := time.Duration(sm.rd.Int64N(int64(sm.maxGossipDelay)))
				sm.messages = append(sm.messages, message{snapshot: sn, to: other, deliverAt: sm.ck.now.Add(delay)})
			}
		}
	}
	sm.messages = slices.DeleteFunc(sm.messages, func(ms message) bool {
		if ms.deliverAt.After(sm.ck.now) {
			return false
		}
		ms.to.MergePeer("peer", ms.snapshot)
		return true
	})
}

// TestSimulatedFleets checks fleets in which targets crash because of fatal requests and for other reasons: harmless requests are
// never refused, and fatal ones are quarantined in time.
func TestSimulatedFleets(t *testing.T) {
	usual := scenario{
		instances: 8, targets: 18, fatalRate: 5, repeated: 10, meanDuration: 300 * time.Millisecond,
		maxGossipDelay: 50 * time.Millisecond,
	}
	with := func(edit func(*scenario)) scenario {
		sc := usual
		edit(&sc)
		return sc
	}
	cases := map[string]scenario{
		"one fatal request":                                   with(func(sc *scenario) { sc.fatal = 1 }),
		"one fatal request, other crashes":                    with(func(sc *scenario) { sc.fatal, sc.crashRate = 1, 1 }),
		"five fatal requests":                                 with(func(sc *scenario) { sc.fatal = 5 }),
		"three fatal requests, other crashes":                 with(func(sc *scenario) { sc.fatal, sc.crashRate = 3, 1 }),
		"one fatal request at a high rate":                    with(func(sc *scenario) { sc.fatal, sc.fatalRate = 1, 40 }),
		"one fatal request at a low rate":                     with(func(sc *scenario) { sc.fatal, sc.fatalRate = 1, 1 }),
		"few targets":                                         with(func(sc *scenario) { sc.fatal, sc.targets = 2, 6 }),
		"many other crashes, no fatal request":                with(func(sc *scenario) { sc.crashRate, sc.targets = 2.5, 12 }),
		"many other crashes, long requests":                   with(func(sc *scenario) { sc.crashRate, sc.meanDuration = 2.5, 3*time.Second }),
		"one fatal request among long ones":                   with(func(sc *scenario) { sc.fatal, sc.meanDuration = 1, 3*time.Second }),
		"three fatal requests among long ones, other crashes": with(func(sc *scenario) { sc.fatal, sc.crashRate, sc.meanDuration = 3, 1, 3*time.Second }),
		"isolated instances": with(func(sc *scenario) {
			sc.fatal, sc.instances, sc.isolated, sc.targets = 2, 3, 2, 7
		}),
		"isolated instances, other crashes": with(func(sc *scenario) {
			sc.fatal, sc.crashRate, sc.instances, sc.isolated, sc.targets, sc.meanDuration = 2, 1, 3, 2, 7, 100*time.Millisecond
		}),
		"many instances, slow gossip": with(func(sc *scenario) { sc.fatal, sc.instances, sc.maxGossipDelay = 2, 24, 150*time.Millisecond }),
	}
	for name, sc := range cases {
		t.Run(name, func(t *testing.T) {
			t.Parallel()
			for seed := range uint64(seedCount) {
				sm := newSimulation(seed, sc)
				sm.run(20 * time.Second)
				sm.checkResults(t, seed)
			}
		})
	}
}

// checkResults checks the results of a simulation that has ended.
func (sm *simulation) checkResults(t *testing.T, seed uint64) {
	g := NewWithT(t)
	for name, n := range sm.lateRuns {
		g.Expect(n).To(BeNumerically("<=", 3), "%s, seed %d: runs after the deadline for its quarantine", name, seed)
	}
	g.Expect(sm.refused).To(BeEmpty(), "seed %d: harmless requests were refused", seed)
	g.Expect(sm.served).To(BeNumerically(">", 0))
	// All evidence has expired in the end.
	sm.ck.advance(10 * time.Hour)
	for _, in := range sm.fleet {
		in.Check(request("any"))
		for i := range max(sm.repeated, sm.fatal) {
			g.Expect(in.HasEvidence(request(fmt.Sprint("body-", i)))).To(BeFalse())
			g.Expect(in.HasEvidence(request(fmt.Sprint("fatal-", i)))).To(BeFalse())
		}
	}
	t.Logf("seed %d: crashes per fatal request %v, late runs %v, requests served %d, delayed %d", seed, sm.crashes, sm.lateRuns, sm.served, sm.delayed)
}
