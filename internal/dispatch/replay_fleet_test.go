package dispatch_test

import (
	"context"
	"fmt"
	"maps"
	"math"
	"math/rand/v2"
	"strings"
	"sync"
	"testing"
	"testing/synctest"
	"time"

	"github.com/silvermount/silvermount/internal/dispatch"
	"github.com/silvermount/silvermount/internal/placement"
	"github.com/silvermount/silvermount/internal/routes"
	"github.com/silvermount/silvermount/internal/targets"
)

const (
	// replayTell is how often instances tell each other what they have in flight.
	replayTell = 5 * time.Millisecond
	// sizeSpread is the standard deviation of the logarithm of a prompt's size.
	sizeSpread = 0.6
)

// class is a kind of request.
type class struct {
	name             string
	tokens, events   int
	objective, pause time.Duration
	deadline         time.Duration
	// worth is what an answer in time brings, a quarter of it when late.
	worth float64
}

var (
	shortClass  = class{"short", 5_000, 33, 300 * time.Millisecond, 200 * time.Millisecond, 10 * time.Second, 1.4}
	middleClass = class{"middle", 45_000, 20, 1500 * time.Millisecond, 500 * time.Millisecond, 10 * time.Second, 2.6}
	longClass   = class{"long", 300_000, 16, 4 * time.Second, 800 * time.Millisecond, 15 * time.Second, 30}
)

// phase is a stretch of a pattern with its requests a second.
type phase struct {
	length time.Duration
	rates  map[class]float64
}

// pattern is a load that is replayed.
type pattern struct {
	instances, targets int
	phases             []phase
	// failing is how many targets break off all that they are sent, while the list says that they are well.
	failing int
}

// tally counts the requests of a class by what became of them.
type tally struct {
	asked, inTime, lateFirst, latePause, refused, failed int
	// waited is how long those that were refused had waited together.
	waited time.Duration
}

// replayed is what became of a pattern.
type replayed struct {
	mu       sync.Mutex
	byClass  map[class]*tally
	arrivals map[string]int
}

// add adds what became of another play.
func (rp *replayed) add(other *replayed) {
	for cl, ta := range other.byClass {
		if rp.byClass[cl] == nil {
			rp.byClass[cl] = &tally{}
		}
		sum := rp.byClass[cl]
		sum.asked += ta.asked
		sum.inTime += ta.inTime
		sum.lateFirst += ta.lateFirst
		sum.latePause += ta.latePause
		sum.refused += ta.refused
		sum.failed += ta.failed
		sum.waited += ta.waited
	}
	for name, n := range other.arrivals {
		rp.arrivals[name] += n
	}
}

// worth returns the worth that was earned, as a share of all.
func (rp *replayed) worth() float64 {
	earned, all := 0.0, 0.0
	for cl, ta := range rp.byClass {
		earned += cl.worth * (float64(ta.inTime) + 0.25*float64(ta.lateFirst+ta.latePause))
		all += cl.worth * float64(ta.asked)
	}
	return earned / all
}

// String returns a table by class.
func (rp *replayed) String() string {
	var sb strings.Builder
	for _, cl := range []class{shortClass, middleClass, longClass} {
		if ta := rp.byClass[cl]; ta != nil {
			fmt.Fprintf(&sb, "%-6s asked %4d, in time %4d, late by first token %3d, by pause %3d, refused %3d (after %s), failed %3d\n",
				cl.name, ta.asked, ta.inTime, ta.lateFirst, ta.latePause, ta.refused,
				(ta.waited / time.Duration(max(1, ta.refused))).Round(time.Millisecond), ta.failed)
		}
	}
	fmt.Fprintf(&sb, "worth %.3f", rp.worth())
	return sb.String()
}

// replayInstance is one instance, and what it told last.
type replayInstance struct {
	*bench
	name string
	told map[string]placement.Load
}

// replayFleet is instances before engines.
type replayFleet struct {
	pattern
	rd        *rand.Rand
	instances []*replayInstance
	engines   map[string]*replayEngine
	result    *replayed
	wg        sync.WaitGroup
}

// replay plays a pattern on a clock of its own.
func replay(t *testing.T, seed uint64, pa pattern) *replayed {
	t.Helper()
	rp := &replayed{byClass: map[class]*tally{}, arrivals: map[string]int{}}
	synctest.Test(t, func(t *testing.T) {
		fl := &replayFleet{
			pattern: pa, rd: rand.New(rand.NewPCG(seed, 0)), engines: map[string]*replayEngine{}, result: rp,
		}
		ctx, cancel := context.WithCancel(t.Context())
		var engines sync.WaitGroup
		for no := range pa.targets {
			en := newReplayEngine()
			en.failing = no < pa.failing
			fl.engines[id(no)] = en
			engines.Go(func() { en.run(ctx) })
		}
		for range pa.instances {
			fl.instances = append(fl.instances, newReplayInstance(t, len(fl.instances), pa.targets))
		}
		engines.Go(func() { fl.tell(ctx) })
		fl.play()
		fl.wg.Wait()
		cancel()
		engines.Wait()
		for name, en := range fl.engines {
			rp.arrivals[name] = en.arrivals
		}
	})
	return rp
}

func newReplayInstance(t *testing.T, no, targets int) *replayInstance {
	be := newBench(t, targets, func(op *dispatch.Options) { op.Instance = fmt.Sprint("instance-", no) })
	be.SetLag(func() time.Duration { return replayTell })
	return &replayInstance{bench: be, name: fmt.Sprint("instance-", no)}
}

// play sends the requests of all phases.
func (fl *replayFleet) play() {
	for _, ph := range fl.phases {
		for over := time.Now().Add(ph.length); time.Now().Before(over); time.Sleep(time.Millisecond) {
			for _, cl := range []class{shortClass, middleClass, longClass} {
				if fl.rd.Float64() < ph.rates[cl]*time.Millisecond.Seconds() {
					fl.send(cl)
				}
			}
		}
	}
}

// send sends a request of a drawn size to a drawn instance.
func (fl *replayFleet) send(cl class) {
	tokens := int(float64(cl.tokens) * math.Exp(sizeSpread*fl.rd.NormFloat64()-sizeSpread*sizeSpread/2))
	be := fl.instances[fl.rd.IntN(len(fl.instances))]
	as := plain()
	as.Request = fmt.Sprint("request-", asks.Add(1))
	as.PromptTokens, as.MostAnswer, as.LongestPause = tokens, cl.events*replayFigures.Stride, cl.pause
	as.Objective, as.Deadline, as.Patience = cl.objective, as.Arrived.Add(cl.deadline), 4*cl.objective
	as.Service = routes.Service{Name: "s", Engine: &replayFigures}
	fl.wg.Go(func() { fl.ask(be, cl, as) })
}

// ask takes a request through its attempts, and counts what became of it.
func (fl *replayFleet) ask(be *replayInstance, cl class, as dispatch.Ask) {
	ctx, cancel := context.WithDeadline(context.Background(), as.Deadline)
	defer cancel()
	const attempts = 3
	var counted func(*tally)
	for range attempts {
		sl, err := be.Acquire(ctx, as)
		if err != nil {
			waited := time.Since(as.Arrived)
			counted = func(ta *tally) { ta.refused++; ta.waited += waited }
			break
		}
		first, pause, whole := fl.serve(ctx, cl, as, sl)
		if whole {
			counted = outcomeOf(cl, first, pause)
			break
		}
		as.Avoid = append(as.Avoid, sl.Target.ID)
		as.Caution = targets.RequireReachable
		counted = func(ta *tally) { ta.failed++ }
	}
	fl.count(cl, counted)
}

func outcomeOf(cl class, first, pause time.Duration) func(*tally) {
	return func(ta *tally) {
		switch {
		case first > cl.objective:
			ta.lateFirst++
		case pause > cl.pause:
			ta.latePause++
		default:
			ta.inTime++
		}
	}
}

func (fl *replayFleet) count(cl class, what func(*tally)) {
	fl.result.mu.Lock()
	defer fl.result.mu.Unlock()
	if fl.result.byClass[cl] == nil {
		fl.result.byClass[cl] = &tally{}
	}
	fl.result.byClass[cl].asked++
	what(fl.result.byClass[cl])
}

// serve runs an attempt, and returns the time to the first token, the longest pause, and whether the answer is whole.
func (fl *replayFleet) serve(ctx context.Context, cl class, as dispatch.Ask, sl *dispatch.Slot) (first, pause time.Duration, whole bool) {
	defer sl.Release()
	main := fl.engines[sl.Target.ID]
	if main.arrive() {
		sl.Failed()
		return 0, 0, false
	}
	main.slots <- struct{}{}
	defer func() { <-main.slots }()
	fl.read(as, sl)
	if ctx.Err() != nil {
		return 0, 0, false
	}
	first = time.Since(as.Arrived)
	sl.FirstToken()
	wr := main.write(int64(as.PromptTokens), cl.events)
	defer main.done(wr)
	for at := time.Now(); cl.events > 0; cl.events-- {
		<-wr.events
		pause = max(pause, time.Since(at))
		at = time.Now()
		sl.Event()
	}
	return first, pause, true
}

// read has a prompt read in even parts.
func (fl *replayFleet) read(as dispatch.Ask, sl *dispatch.Slot) {
	// The first helper of a prompt with memory set aside is its main target.
	reserved := len(sl.Helpers) > 0 && sl.Helpers[0].Reservation != ""
	count := int64(len(sl.Helpers))
	if !reserved {
		count++
	}
	tokens := int64(as.PromptTokens)
	share := func(en *replayEngine) *part { return en.add(tokens/count, tokens*tokens/2/count, count > 1) }
	parts := []*part{}
	if !reserved {
		parts = append(parts, share(fl.engines[sl.Target.ID]))
	}
	for _, hp := range sl.Helpers {
		parts = append(parts, share(fl.engines[hp.ID]))
	}
	for _, pt := range parts {
		<-pt.read
	}
}

// tell lets all instances hear what the others have in flight.
func (fl *replayFleet) tell(ctx context.Context) {
	for ctx.Err() == nil {
		time.Sleep(replayTell)
		for _, from := range fl.instances {
			loads := from.Own()
			if maps.Equal(loads, from.told) {
				continue
			}
			from.told = loads
			for _, to := range fl.instances {
				if to != from {
					to.Heard(from.name, loads)
				}
			}
		}
	}
}
