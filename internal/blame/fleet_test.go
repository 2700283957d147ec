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
	known = 2900 * time.Millisecond
	// away is how long a target is away that ended.
	away = 2 * time.Second
	// tries is how often a request is sent that was broken off: by its instance and by its caller.
	tries = 4
)

// weather is what a small fleet goes through.
type weather struct {
	instances, targets int
	// fatal is the number of different requests that end their targets, each sent so often a second as fatalRate says.
	fatal, fatalRate int
	// ends is how many targets a second end by themselves.
	ends float64
	// bodies is the number of different requests that come again and again; others come once.
	bodies int
	// work is the mean time that a request runs.
	work time.Duration
	// delay is the longest time until the notes of an instance are heard.
	delay time.Duration
	// cut is the number of instances that neither tell the others anything nor hear of them. Their ends and runs are not counted.
	cut int
}

// job is a request at a target.
type job struct {
	name   string
	at     *instance
	target int
	// sent is when it came there, done when it will be answered or, when fatal, ends its target.
	sent, done time.Time
	fatal      bool
	tries      int
	running    *blame.ActiveRun
}

// letter is what an instance tells another.
type letter struct {
	notes blame.Snapshot
	to    *instance
	at    time.Time
}

// play is a small fleet under way.
type play struct {
	weather
	rd    *rand.Rand
	ck    *clock
	fleet []*instance
	// births counts the incarnations of each target; downUntil is when the next one is there.
	births    []int
	downUntil []time.Time
	jobs      []job
	letters   []letter
	told      []int
	// thirdEnd is when the third target ended under a fatal request, ended counts them, late the runs that came too late.
	thirdEnd map[string]time.Time
	ended    map[string]int
	late     map[string]int
	// refused counts the requests that end nothing and were refused, by name; served counts those that were answered.
	refused map[string]int
	served  int
}

func newPlay(seed uint64, we weather) *play {
	pl := &play{
		weather: we, rd: rand.New(rand.NewPCG(seed, 0)), ck: newClock(), births: make([]int, we.targets),
		downUntil: make([]time.Time, we.targets), told: make([]int, we.instances),
		thirdEnd: map[string]time.Time{}, ended: map[string]int{}, late: map[string]int{}, refused: map[string]int{},
	}
	for range we.instances {
		pl.fleet = append(pl.fleet, newInstance(pl.ck, we.targets))
	}
	return pl
}

// run plays a time.
func (pl *play) run(length time.Duration) {
	for end := pl.ck.now.Add(length); pl.ck.now.Before(end); pl.ck.pass(step) {
		pl.arrive()
		pl.finish()
		if pl.drawn(pl.ends) {
			pl.end(pl.rd.IntN(pl.targets))
		}
		pl.exchange()
	}
}

// drawn reports whether something that happens so often a second happens in this step.
func (pl *play) drawn(perSecond float64) bool { return pl.rd.Float64() < perSecond*step.Seconds() }

func (pl *play) arrive() {
	for no := range pl.fatal {
		if pl.drawn(float64(pl.fatalRate)) {
			pl.send(job{name: fmt.Sprint("fatal-", no), fatal: true})
		}
	}
	const perSecond = 40
	if !pl.drawn(perSecond) {
		return
	}
	name := fmt.Sprint("once-", pl.ck.now.UnixMilli())
	if pl.rd.IntN(2) == 0 {
		name = fmt.Sprint("body-", pl.rd.IntN(pl.bodies))
	}
	pl.send(job{name: name})
}

// send sends a request by some instance to some target that is there.
func (pl *play) send(jb job) {
	jb.at = pl.fleet[pl.rd.IntN(len(pl.fleet))]
	jb.tries++
	vd := jb.at.Check(request(jb.name))
	switch {
	case vd.Quarantined && !jb.fatal:
		pl.refused[jb.name]++
		return
	case vd.Quarantined || vd.Delay > 0:
		return // what is held back comes again anyway
	}
	up := slices.DeleteFunc(upTo(pl.targets), func(no int) bool { return pl.ck.now.Before(pl.downUntil[no]) })
	if len(up) == 0 {
		return
	}
	jb.target = up[pl.rd.IntN(len(up))]
	jb.sent = pl.ck.now
	jb.done = pl.ck.now.Add(time.Duration(pl.rd.ExpFloat64() * float64(pl.work)))
	if jb.fatal {
		jb.done = pl.ck.now.Add(20*time.Millisecond + time.Duration(pl.rd.IntN(280))*time.Millisecond)
		if third, ok := pl.thirdEnd[jb.name]; ok && pl.ck.now.Sub(third) > known && pl.inTouch(jb) {
			pl.late[jb.name]++
		}
	}
	fp := request(jb.name)
	jb.running = jb.at.BeginRun(fp.HeadHash(), func() fingerprint.Fingerprint { return fp })
	pl.jobs = append(pl.jobs, jb)
}

func upTo(n int) []int {
	list := make([]int, n)
	for no := range list {
		list[no] = no
	}
	return list
}

// finish ends the requests whose time has come.
func (pl *play) finish() {
	for _, jb := range slices.Clone(pl.jobs) {
		if pl.ck.now.Before(jb.done) || !slices.Contains(pl.jobs, jb) {
			continue
		}
		if jb.fatal {
			if pl.inTouch(jb) {
				pl.ended[jb.name]++
			}
			if _, known := pl.thirdEnd[jb.name]; !known && pl.ended[jb.name] == 3 {
				pl.thirdEnd[jb.name] = pl.ck.now
			}
			pl.end(jb.target)
			continue
		}
		pl.jobs = slices.DeleteFunc(pl.jobs, func(other job) bool { return other == jb })
		pl.served++
		jb.running.End()
		jb.at.RecordAnswered(request(jb.name))
	}
}

// end ends a target under all that it runs. What was broken off is sent again.
func (pl *play) end(no int) {
	if pl.ck.now.Before(pl.downUntil[no]) {
		return
	}
	incarnation := fmt.Sprint(no, "@", pl.births[no])
	pl.births[no]++
	pl.downUntil[no] = pl.ck.now.Add(away)
	var lost []job
	pl.jobs = slices.DeleteFunc(pl.jobs, func(jb job) bool {
		if jb.target == no {
			lost = append(lost, jb)
		}
		return jb.target == no
	})
	for _, jb := range lost {
		jb.running.End()
		jb.at.RecordInterrupted(blame.InterruptedRun{Request: request(jb.name), Incarnation: incarnation, Elapsed: pl.ck.now.Sub(jb.sent), At: pl.ck.now})
	}
	for _, jb := range lost {
		jb.at.RecordCrash(incarnation)
	}
	for _, jb := range lost {
		if !jb.fatal && jb.tries < tries {
			pl.send(job{name: jb.name, tries: jb.tries})
		}
	}
}

// inTouch reports whether a request came to an instance that is not cut off.
func (pl *play) inTouch(jb job) bool { return !slices.Contains(pl.fleet[:pl.cut], jb.at) }

// exchange lets instances hear what the others tell, some time after it is new.
func (pl *play) exchange() {
	for no, in := range pl.fleet {
		if in.news == pl.told[no] {
			continue
		}
		pl.told[no] = in.news
		nt := in.Snapshot()
		for at, other := range pl.fleet {
			if other != in && no >= pl.cut && at >= pl.cut {
				late := time.Duration(pl.rd.Int64N(int64(pl.delay)))
				pl.letters = append(pl.letters, letter{notes: nt, to: other, at: pl.ck.now.Add(late)})
			}
		}
	}
	pl.letters = slices.DeleteFunc(pl.letters, func(lt letter) bool {
		if lt.at.After(pl.ck.now) {
			return false
		}
		lt.to.MergePeer("peer", lt.notes)
		return true
	})
}

// TestSmallFleets plays fleets in which targets end under requests and by themselves.
func TestSmallFleets(t *testing.T) {
	usual := weather{instances: 8, targets: 18, fatalRate: 5, bodies: 10, work: 300 * time.Millisecond, delay: 50 * time.Millisecond}
	with := func(edit func(*weather)) weather {
		we := usual
		edit(&we)
		return we
	}
	cases := map[string]weather{
		"one request that ends targets":       with(func(we *weather) { we.fatal = 1 }),
		"one, beside ends by themselves":      with(func(we *weather) { we.fatal, we.ends = 1, 1 }),
		"several at a time":                   with(func(we *weather) { we.fatal = 5 }),
		"several, beside ends by themselves":  with(func(we *weather) { we.fatal, we.ends = 3, 1 }),
		"many copies a second":                with(func(we *weather) { we.fatal, we.fatalRate = 1, 40 }),
		"a slow one":                          with(func(we *weather) { we.fatal, we.fatalRate = 1, 1 }),
		"few targets":                         with(func(we *weather) { we.fatal, we.targets = 2, 6 }),
		"many ends, none by a request":        with(func(we *weather) { we.ends, we.targets = 2.5, 12 }),
		"many ends under long requests":       with(func(we *weather) { we.ends, we.work = 2.5, 3*time.Second }),
		"long requests beside one that ends":  with(func(we *weather) { we.fatal, we.work = 1, 3*time.Second }),
		"long requests, many ends, and a few": with(func(we *weather) { we.fatal, we.ends, we.work = 3, 1, 3*time.Second }),
		"some instances cut off": with(func(we *weather) {
			we.fatal, we.instances, we.cut, we.targets = 2, 3, 2, 7
		}),
		"some cut off, ends by themselves": with(func(we *weather) {
			we.fatal, we.ends, we.instances, we.cut, we.targets, we.work = 2, 1, 3, 2, 7, 100*time.Millisecond
		}),
		"many instances, slow news": with(func(we *weather) { we.fatal, we.instances, we.delay = 2, 24, 150*time.Millisecond }),
	}
	const seeds = 4
	for name, we := range cases {
		t.Run(name, func(t *testing.T) {
			t.Parallel()
			for seed := range uint64(seeds) {
				pl := newPlay(seed, we)
				pl.run(20 * time.Second)
				pl.check(t, seed)
			}
		})
	}
}

// check looks at a play that has ended.
func (pl *play) check(t *testing.T, seed uint64) {
	g := NewWithT(t)
	for name, n := range pl.late {
		g.Expect(n).To(BeNumerically("<=", 3), "%s, seed %d: runs later than the bound after the third end", name, seed)
	}
	g.Expect(pl.refused).To(BeEmpty(), "seed %d: requests refused that end nothing", seed)
	g.Expect(pl.served).To(BeNumerically(">", 0))
	// In the end nothing is held against anybody.
	pl.ck.pass(10 * time.Hour)
	for _, in := range pl.fleet {
		in.Check(request("any"))
		for no := range max(pl.bodies, pl.fatal) {
			g.Expect(in.HasEvidence(request(fmt.Sprint("body-", no)).HeadHash())).To(BeFalse())
			g.Expect(in.HasEvidence(request(fmt.Sprint("fatal-", no)).HeadHash())).To(BeFalse())
		}
	}
	t.Logf("seed %d: targets ended %v, served %d", seed, pl.ended, pl.served)
}
