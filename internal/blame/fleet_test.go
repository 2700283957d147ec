package blame_test

import (
	"fmt"
	"math/rand/v2"
	"slices"
	"testing"
	"time"

	. "github.com/onsi/gomega"

	"github.com/silvermount/silvermount/internal/blame"
	"github.com/silvermount/silvermount/internal/fingerprint"
)

const (
	// step is that of the clock of a small fleet.
	step = 5 * time.Millisecond
	// known is the time after the third end in which all instances must know a request that ends targets.
	quarantineDeadline = 2900 * time.Millisecond
	// away is how long a target is away that ended.
	downtime = 2 * time.Second
	// tries is how often a request is sent that was broken off: by its instance and by its caller.
	maxTries = 4
)

// weather is what a small fleet goes through.
type scenario struct {
	instances, targets int
	// fatal is the number of different requests that end their targets, each sent so often a second as fatalRate says.
	fatal, fatalRate int
	// ends is how many targets a second end by themselves.
	crashRate float64
	// bodies is the number of different requests that come again and again; others come once.
	repeated int
	// work is the mean time that a request runs.
	meanDuration time.Duration
	// delay is the longest time until the notes of an instance are heard.
	maxGossipDelay time.Duration
	// cut is the number of instances that neither tell the others anything nor hear of them. Their ends and runs are not counted.
	isolated int
}

// job is a request at a target.
type job struct {
	name   string
	entry  *instance
	target int
	// sent is when it came there, done when it will be answered or, when fatal, ends its target.
	sentAt, endsAt time.Time
	fatal          bool
	tries          int
	running        *blame.ActiveRun
}

// letter is what an instance tells another.
type message struct {
	snapshot  blame.Snapshot
	to        *instance
	deliverAt time.Time
}

// play is a small fleet under way.
type simulation struct {
	scenario
	rd    *rand.Rand
	ck    *clock
	fleet []*instance
	// births counts the incarnations of each target; downUntil is when the next one is there.
	incarnations []int
	downUntil    []time.Time
	jobs         []job
	messages     []message
	gossiped     []int
	// thirdEnd is when the third target ended under a fatal request, ended counts them, late the runs that came too late.
	thirdCrash map[string]time.Time
	crashes    map[string]int
	lateRuns   map[string]int
	// refused counts the requests that end nothing and were refused, by name; served counts those that were answered.
	refused map[string]int
	served  int
}

func newSimulation(seed uint64, sc scenario) *simulation {
	sm := &simulation{
		scenario: sc, rd: rand.New(rand.NewPCG(seed, 0)), ck: newClock(), incarnations: make([]int, sc.targets),
		downUntil: make([]time.Time, sc.targets), gossiped: make([]int, sc.instances),
		thirdCrash: map[string]time.Time{}, crashes: map[string]int{}, lateRuns: map[string]int{}, refused: map[string]int{},
	}
	for range sc.instances {
		sm.fleet = append(sm.fleet, newInstance(sm.ck, sc.targets))
	}
	return sm
}

// run plays a time.
func (sm *simulation) run(length time.Duration) {
	for end := sm.ck.now.Add(length); sm.ck.now.Before(end); sm.ck.advance(step) {
		sm.arrive()
		sm.finish()
		if sm.happens(sm.crashRate) {
			sm.crash(sm.rd.IntN(sm.targets))
		}
		sm.deliverGossip()
	}
}

// drawn reports whether something that happens so often a second happens in this step.
func (sm *simulation) happens(perSecond float64) bool {
	return sm.rd.Float64() < perSecond*step.Seconds()
}

func (sm *simulation) arrive() {
	for i := range sm.fatal {
		if sm.happens(float64(sm.fatalRate)) {
			sm.send(job{name: fmt.Sprint("fatal-", i), fatal: true})
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
	sm.send(job{name: name})
}

// send sends a request by some instance to some target that is there.
func (sm *simulation) send(jb job) {
	jb.entry = sm.fleet[sm.rd.IntN(len(sm.fleet))]
	jb.tries++
	dc := jb.entry.Check(request(jb.name))
	switch {
	case dc.Quarantined && !jb.fatal:
		sm.refused[jb.name]++
		return
	case dc.Quarantined || dc.Delay > 0:
		return // what is held back comes again anyway
	}
	up := slices.DeleteFunc(indices(sm.targets), func(i int) bool { return sm.ck.now.Before(sm.downUntil[i]) })
	if len(up) == 0 {
		return
	}
	jb.target = up[sm.rd.IntN(len(up))]
	jb.sentAt = sm.ck.now
	jb.endsAt = sm.ck.now.Add(time.Duration(sm.rd.ExpFloat64() * float64(sm.meanDuration)))
	if jb.fatal {
		jb.endsAt = sm.ck.now.Add(20*time.Millisecond + time.Duration(sm.rd.IntN(280))*time.Millisecond)
		if third, ok := sm.thirdCrash[jb.name]; ok && sm.ck.now.Sub(third) > quarantineDeadline && sm.connected(jb) {
			sm.lateRuns[jb.name]++
		}
	}
	fp := request(jb.name)
	jb.running = jb.entry.BeginRun(fp.HeadHash(), func() fingerprint.Fingerprint { return fp })
	sm.jobs = append(sm.jobs, jb)
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
		if sm.ck.now.Before(jb.endsAt) || !slices.Contains(sm.jobs, jb) {
			continue
		}
		if jb.fatal {
			if sm.connected(jb) {
				sm.crashes[jb.name]++
			}
			if _, known := sm.thirdCrash[jb.name]; !known && sm.crashes[jb.name] == 3 {
				sm.thirdCrash[jb.name] = sm.ck.now
			}
			sm.crash(jb.target)
			continue
		}
		sm.jobs = slices.DeleteFunc(sm.jobs, func(other job) bool { return other == jb })
		sm.served++
		jb.running.End()
		jb.entry.RecordAnswered(request(jb.name))
	}
}

// end ends a target under all that it runs. What was broken off is sent again.
func (sm *simulation) crash(i int) {
	if sm.ck.now.Before(sm.downUntil[i]) {
		return
	}
	incarnation := fmt.Sprint(i, "@", sm.incarnations[i])
	sm.incarnations[i]++
	sm.downUntil[i] = sm.ck.now.Add(downtime)
	var lost []job
	sm.jobs = slices.DeleteFunc(sm.jobs, func(jb job) bool {
		if jb.target == i {
			lost = append(lost, jb)
		}
		return jb.target == i
	})
	for _, jb := range lost {
		jb.running.End()
		jb.entry.RecordInterrupted(blame.InterruptedRun{Request: request(jb.name), Incarnation: incarnation, Elapsed: sm.ck.now.Sub(jb.sentAt), At: sm.ck.now})
	}
	for _, jb := range lost {
		jb.entry.RecordCrash(incarnation)
	}
	for _, jb := range lost {
		if !jb.fatal && jb.tries < maxTries {
			sm.send(job{name: jb.name, tries: jb.tries})
		}
	}
}

// inTouch reports whether a request came to an instance that is not cut off.
func (sm *simulation) connected(jb job) bool {
	return !slices.Contains(sm.fleet[:sm.isolated], jb.entry)
}

// exchange lets instances hear what the others tell, some time after it is new.
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

// TestSmallFleets plays fleets in which targets end under requests and by themselves.
func TestSimulatedFleets(t *testing.T) {
	usual := scenario{instances: 8, targets: 18, fatalRate: 5, repeated: 10, meanDuration: 300 * time.Millisecond, maxGossipDelay: 50 * time.Millisecond}
	with := func(edit func(*scenario)) scenario {
		sc := usual
		edit(&sc)
		return sc
	}
	cases := map[string]scenario{
		"one request that ends targets":       with(func(sc *scenario) { sc.fatal = 1 }),
		"one, beside ends by themselves":      with(func(sc *scenario) { sc.fatal, sc.crashRate = 1, 1 }),
		"several at a time":                   with(func(sc *scenario) { sc.fatal = 5 }),
		"several, beside ends by themselves":  with(func(sc *scenario) { sc.fatal, sc.crashRate = 3, 1 }),
		"many copies a second":                with(func(sc *scenario) { sc.fatal, sc.fatalRate = 1, 40 }),
		"a slow one":                          with(func(sc *scenario) { sc.fatal, sc.fatalRate = 1, 1 }),
		"few targets":                         with(func(sc *scenario) { sc.fatal, sc.targets = 2, 6 }),
		"many ends, none by a request":        with(func(sc *scenario) { sc.crashRate, sc.targets = 2.5, 12 }),
		"many ends under long requests":       with(func(sc *scenario) { sc.crashRate, sc.meanDuration = 2.5, 3*time.Second }),
		"long requests beside one that ends":  with(func(sc *scenario) { sc.fatal, sc.meanDuration = 1, 3*time.Second }),
		"long requests, many ends, and a few": with(func(sc *scenario) { sc.fatal, sc.crashRate, sc.meanDuration = 3, 1, 3*time.Second }),
		"some instances cut off": with(func(sc *scenario) {
			sc.fatal, sc.instances, sc.isolated, sc.targets = 2, 3, 2, 7
		}),
		"some cut off, ends by themselves": with(func(sc *scenario) {
			sc.fatal, sc.crashRate, sc.instances, sc.isolated, sc.targets, sc.meanDuration = 2, 1, 3, 2, 7, 100*time.Millisecond
		}),
		"many instances, slow news": with(func(sc *scenario) { sc.fatal, sc.instances, sc.maxGossipDelay = 2, 24, 150*time.Millisecond }),
	}
	const seeds = 4
	for name, sc := range cases {
		t.Run(name, func(t *testing.T) {
			t.Parallel()
			for seed := range uint64(seeds) {
				sm := newSimulation(seed, sc)
				sm.run(20 * time.Second)
				sm.checkResults(t, seed)
			}
		})
	}
}

// check looks at a play that has ended.
func (sm *simulation) checkResults(t *testing.T, seed uint64) {
	g := NewWithT(t)
	for name, n := range sm.lateRuns {
		g.Expect(n).To(BeNumerically("<=", 3), "%s, seed %d: runs later than the bound after the third end", name, seed)
	}
	g.Expect(sm.refused).To(BeEmpty(), "seed %d: requests refused that end nothing", seed)
	g.Expect(sm.served).To(BeNumerically(">", 0))
	// In the end nothing is held against anybody.
	sm.ck.advance(10 * time.Hour)
	for _, in := range sm.fleet {
		in.Check(request("any"))
		for i := range max(sm.repeated, sm.fatal) {
			g.Expect(in.HasEvidence(request(fmt.Sprint("body-", i)).HeadHash())).To(BeFalse())
			g.Expect(in.HasEvidence(request(fmt.Sprint("fatal-", i)).HeadHash())).To(BeFalse())
		}
	}
	t.Logf("seed %d: targets ended %v, served %d", seed, sm.crashes, sm.served)
}
