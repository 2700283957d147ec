package dispatch_test

import (
	"context"
	"fmt"
	"maps"
	"math"
	"math/rand/v2"
	"strings"
	"sync"
	"sync/atomic"
	"testing"
	"testing/synctest"
	"time"

	"github.com/silvermount/silvermount/internal/dispatch"
	"github.com/silvermount/silvermount/internal/placement"
	"github.com/silvermount/silvermount/internal/routes"
	"github.com/silvermount/silvermount/internal/targets"
)

const (
	// loadExchangeInterval is how often instances publish their loads to each other.
	loadExchangeInterval = 5 * time.Millisecond
	// promptSizeSigma is the standard deviation of the logarithm of prompt sizes.
	promptSizeSigma = 0.6
)

// requestClass describes requests of similar size and limits.
type requestClass struct {
	name                string
	tokens, events      int
	objective, maxPause time.Duration
	deadline            time.Duration
	// worth is that of an answer in time; a late one is worth a quarter of it.
	worth float64
}

var (
	shortClass  = requestClass{"short", 5_000, 33, 300 * time.Millisecond, 200 * time.Millisecond, 10 * time.Second, 1.4}
	middleClass = requestClass{"middle", 45_000, 20, 1500 * time.Millisecond, 500 * time.Millisecond, 10 * time.Second, 2.6}
	longClass   = requestClass{"long", 300_000, 16, 4 * time.Second, 800 * time.Millisecond, 15 * time.Second, 30}
)

// trafficPhase is a period of constant request rates.
type trafficPhase struct {
	duration      time.Duration
	ratePerSecond map[requestClass]float64
}

// trafficPattern is the fleet and its traffic in a simulation.
type trafficPattern struct {
	instances, targets int
	phases             []trafficPhase
	// failing is the number of targets that interrupt every request while being listed as healthy.
	failing int
	// queue switches the queues of waiting requests on.
	queue bool
}

// outcomeCounts counts the requests of a class by outcome.
type outcomeCounts struct {
	total, inTime, lateFirst, latePause, refused, failed int
	// refusedWait is the total time that refused requests had waited.
	refusedWait time.Duration
}

// simResult is the outcome of a simulation.
type simResult struct {
	mu       sync.Mutex
	byClass  map[requestClass]*outcomeCounts
	arrivals map[string]int
}

// add adds the outcome of another simulation.
func (sr *simResult) add(other *simResult) {
	for rc, oc := range other.byClass {
		if sr.byClass[rc] == nil {
			sr.byClass[rc] = &outcomeCounts{}
		}
		sum := sr.byClass[rc]
		sum.total += oc.total
		sum.inTime += oc.inTime
		sum.lateFirst += oc.lateFirst
		sum.latePause += oc.latePause
		sum.refused += oc.refused
		sum.failed += oc.failed
		sum.refusedWait += oc.refusedWait
	}
	for name, n := range other.arrivals {
		sr.arrivals[name] += n
	}
}

// worthShare returns the worth of all answers as a share of the greatest possible.
func (sr *simResult) worthShare() float64 {
	earned, all := 0.0, 0.0
	for rc, oc := range sr.byClass {
		earned += rc.worth * (float64(oc.inTime) + 0.25*float64(oc.lateFirst+oc.latePause))
		all += rc.worth * float64(oc.total)
	}
	return earned / all
}

// String returns a table with one line for each class.
func (sr *simResult) String() string {
	var sb strings.Builder
	for _, rc := range []requestClass{shortClass, middleClass, longClass} {
		if oc := sr.byClass[rc]; oc != nil {
			fmt.Fprintf(&sb, "%-6s requests %4d, in time %4d, late first token %3d, late pause %3d, refused %3d (after %s), failed %3d\n",
				rc.name, oc.total, oc.inTime, oc.lateFirst, oc.latePause, oc.refused,
				(oc.refusedWait / time.Duration(max(1, oc.refused))).Round(time.Millisecond), oc.failed)
		}
	}
	fmt.Fprintf(&sb, "worth %.3f", sr.worthShare())
	return sb.String()
}

// simInstance is an instance with the loads that it published last.
type simInstance struct {
	*harness
	name          string
	lastPublished map[string]placement.Load
	// queuesChanged is set when the queues change, and queuesPublishedAt is when they were published last.
	queuesChanged     atomic.Bool
	queuesPublishedAt time.Time
}

// simFleet is a fleet of instances and the engines that they share.
type simFleet struct {
	trafficPattern
	rd        *rand.Rand
	instances []*simInstance
	engines   map[string]*simEngine
	result    *simResult
	wg        sync.WaitGroup
}

// simulate runs a traffic pattern in simulated time.
func simulate(t *testing.T, seed uint64, tp trafficPattern) *simResult {
	t.Helper()
	sr := &simResult{byClass: map[requestClass]*outcomeCounts{}, arrivals: map[string]int{}}
	synctest.Test(t, func(t *testing.T) {
		fl := &simFleet{
			trafficPattern: tp, rd: rand.New(rand.NewPCG(seed, 0)), engines: map[string]*simEngine{}, result: sr,
		}
		ctx, cancel := context.WithCancel(t.Context())
		var engines sync.WaitGroup
		for i := range tp.targets {
			en := newSimEngine()
			en.failing = i < tp.failing
			fl.engines[id(i)] = en
			engines.Go(func() { en.run(ctx) })
		}
		for range tp.instances {
			fl.instances = append(fl.instances, newSimInstance(t, len(fl.instances), tp))
		}
		engines.Go(func() { fl.exchangeLoads(ctx) })
		if tp.queue {
			engines.Go(func() { fl.exchangeQueues(ctx) })
		}
		fl.sendTraffic()
		fl.wg.Wait()
		cancel()
		engines.Wait()
		for name, en := range fl.engines {
			sr.arrivals[name] = en.arrivals
		}
	})
	return sr
}

func newSimInstance(t *testing.T, i int, tp trafficPattern) *simInstance {
	in := &simInstance{name: fmt.Sprint("instance-", i)}
	in.harness = newHarness(t, tp.targets, func(op *dispatch.Options) {
		op.Instance = in.name
		if tp.queue {
			op.Queue = &dispatch.QueueOptions{OnChange: func() { in.queuesChanged.Store(true) }}
		}
	})
	in.SetPropagationDelay(func() time.Duration { return loadExchangeInterval })
	return in
}

// sendTraffic sends the requests of all phases.
func (fl *simFleet) sendTraffic() {
	for _, ph := range fl.phases {
		for over := time.Now().Add(ph.duration); time.Now().Before(over); time.Sleep(time.Millisecond) {
			for _, rc := range []requestClass{shortClass, middleClass, longClass} {
				if fl.rd.Float64() < ph.ratePerSecond[rc]*time.Millisecond.Seconds() {
					fl.sendRequest(rc)
				}
			}
		}
	}
}

// sendRequest sends a request of random size to a random instance.
func (fl *simFleet) sendRequest(rc requestClass) {
	tokens := int(float64(rc.tokens) * math.Exp(promptSizeSigma*fl.rd.NormFloat64()-promptSizeSigma*promptSizeSigma/2))
	in := fl.instances[fl.rd.IntN(len(fl.instances))]
	rq := plainRequest()
	rq.ID = fmt.Sprint("request-", requestIDs.Add(1))
	rq.PromptTokens, rq.MaxAnswerTokens, rq.MaxPause = tokens, rc.events*simEngineConfig.StepsPerPass, rc.maxPause
	rq.Objective, rq.Deadline, rq.CallerIdleTimeout = rc.objective, rq.Arrived.Add(rc.deadline), 4*rc.objective
	rq.Service = routes.Service{Name: "s", Engine: &simEngineConfig}
	fl.wg.Go(func() { fl.serveWithRetries(in, rc, rq) })
}

// serveWithRetries runs the attempts of a request and counts its outcome.
func (fl *simFleet) serveWithRetries(in *simInstance, rc requestClass, rq dispatch.Request) {
	ctx, cancel := context.WithDeadline(context.Background(), rq.Deadline)
	defer cancel()
	const attempts = 3
	var record func(*outcomeCounts)
	for range attempts {
		sl, err := in.Acquire(ctx, rq)
		if err != nil {
			waited := time.Since(rq.Arrived)
			record = func(oc *outcomeCounts) { oc.refused++; oc.refusedWait += waited }
			break
		}
		firstToken, longestPause, complete := fl.serveAttempt(ctx, rc, rq, sl)
		if complete {
			record = outcomeOf(rc, firstToken, longestPause)
			break
		}
		rq.Exclude = append(rq.Exclude, sl.Target.ID)
		rq.Caution = targets.RequireReachable
		record = func(oc *outcomeCounts) { oc.failed++ }
	}
	fl.recordOutcome(rc, record)
}

func outcomeOf(rc requestClass, firstToken, longestPause time.Duration) func(*outcomeCounts) {
	return func(oc *outcomeCounts) {
		switch {
		case firstToken > rc.objective:
			oc.lateFirst++
		case longestPause > rc.maxPause:
			oc.latePause++
		default:
			oc.inTime++
		}
	}
}

func (fl *simFleet) recordOutcome(rc requestClass, record func(*outcomeCounts)) {
	fl.result.mu.Lock()
	defer fl.result.mu.Unlock()
	if fl.result.byClass[rc] == nil {
		fl.result.byClass[rc] = &outcomeCounts{}
	}
	fl.result.byClass[rc].total++
	record(fl.result.byClass[rc])
}

// serveAttempt runs one attempt. It returns the time to the first token, the longest pause, and whether the answer is
// complete.
func (fl *simFleet) serveAttempt(ctx context.Context, rc requestClass, rq dispatch.Request, sl *dispatch.Slot) (firstToken, longestPause time.Duration, complete bool) {
	defer sl.Release()
	main := fl.engines[sl.Target.ID]
	if main.recordArrival() {
		sl.RecordFailure()
		return 0, 0, false
	}
	main.slots <- struct{}{}
	defer func() { <-main.slots }()
	fl.waitForPrefill(rq, sl)
	if ctx.Err() != nil {
		return 0, 0, false
	}
	firstToken = time.Since(rq.Arrived)
	sl.RecordFirstToken()
	sa := main.startAnswer(int64(rq.PromptTokens), rc.events)
	defer main.endAnswer(sa)
	for at := time.Now(); rc.events > 0; rc.events-- {
		<-sa.events
		longestPause = max(longestPause, time.Since(at))
		at = time.Now()
		sl.RecordEvent()
	}
	return firstToken, longestPause, true
}

// waitForPrefill has the targets of the slot prefill equal parts of a prompt, and waits until all are done.
func (fl *simFleet) waitForPrefill(rq dispatch.Request, sl *dispatch.Slot) {
	// If memory is reserved, the first helper is the main target.
	reserved := len(sl.Helpers) > 0 && sl.Helpers[0].Reservation != ""
	count := int64(len(sl.Helpers))
	if !reserved {
		count++
	}
	tokens := int64(rq.PromptTokens)
	share := func(en *simEngine) *prefillPart { return en.addPart(tokens/count, tokens*tokens/2/count, count > 1) }
	parts := []*prefillPart{}
	if !reserved {
		parts = append(parts, share(fl.engines[sl.Target.ID]))
	}
	for _, hp := range sl.Helpers {
		parts = append(parts, share(fl.engines[hp.ID]))
	}
	for _, pt := range parts {
		<-pt.done
	}
}

// queueExchangeInterval is the least time between two load reports of an instance.
const queueExchangeInterval = 100 * time.Millisecond

// exchangeQueues publishes the queues of each instance to all others once they change.
func (fl *simFleet) exchangeQueues(ctx context.Context) {
	for ctx.Err() == nil {
		time.Sleep(loadExchangeInterval)
		for _, from := range fl.instances {
			if time.Since(from.queuesPublishedAt) < queueExchangeInterval || !from.queuesChanged.Swap(false) {
				continue
			}
			from.queuesPublishedAt = time.Now()
			body := from.EncodeQueues(time.Now())
			for _, to := range fl.instances {
				if to != from {
					to.ReceiveQueues(from.name, body, time.Now())
				}
			}
		}
	}
}

// exchangeLoads publishes the loads of each instance to all others.
func (fl *simFleet) exchangeLoads(ctx context.Context) {
	for ctx.Err() == nil {
		time.Sleep(loadExchangeInterval)
		for _, from := range fl.instances {
			loads := from.OwnLoads()
			if maps.Equal(loads, from.lastPublished) {
				continue
			}
			from.lastPublished = loads
			for _, to := range fl.instances {
				if to != from {
					to.SetPeerLoads(from.name, loads)
				}
			}
		}
	}
}
