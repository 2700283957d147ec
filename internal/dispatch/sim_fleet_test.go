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
	"github.com/silvermount/silvermount/internal/failure"
	"github.com/silvermount/silvermount/internal/placement"
	"github.com/silvermount/silvermount/internal/returntimes"
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
	// incident changes the fleet while traffic flows; it may be nil.
	incident func(ctx context.Context, fl *simFleet)
	// slowTargets is the number of targets that the incident slows down, for the statistics of paces.
	slowTargets int
	// countFrom is the time after the start from which arriving requests are counted.
	countFrom time.Duration
	// learnedPace and gradualReturn enable these parts.
	learnedPace, gradualReturn bool
	// returning is set if refused callers come back once, after the time that they were told, at most a third of the time that they have
	// left. The impatient share of them comes back at once instead, and does so impatientReturns times.
	returning bool
	impatient float64
	// slowdown returns the factor by which engines are slower than stated at a time since the start; nil if they are not.
	slowdown func(since time.Duration) float64
	// admission switches on the decisions by predicted completion and the return times of all instances.
	admission dispatch.AdmissionOptions
	// silentPeers is set if instances do not tell each other the times that they promised.
	silentPeers bool
	// queue switches the queues of waiting requests on.
	queue bool
}

// impatientReturns is how often a caller comes back that ignores Retry-After.
const impatientReturns = 3

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
	// arrivalTimes holds when requests arrived at each target, since the start.
	arrivalTimes map[string][]time.Duration
	paces        *paceStats
	// callers holds one entry for each caller.
	callers []simCaller
}

// simCaller is what became of one caller.
type simCaller struct {
	class  requestClass
	tokens int
	// arrived is when the last request of the caller arrived, since the start; began is that of the first one.
	began, arrived time.Duration
	// returns counts the requests after the first.
	returns                    int
	inTime, refused, impatient bool
}

// count returns the number of callers that meet a condition.
func (sr *simResult) count(meets func(simCaller) bool) int {
	n := 0
	for _, ca := range sr.callers {
		if meets(ca) {
			n++
		}
	}
	return n
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
	sr.callers = append(sr.callers, other.callers...)
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
	for _, rc := range []requestClass{shortClass, promptClass, middleClass, longClass} {
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
	admission     *dispatch.Admission
	lastPublished map[string]placement.Load
	paces         *simPaces
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
	startedAt time.Time
	wg        sync.WaitGroup
}

// simulate runs a traffic pattern in simulated time.
func simulate(t *testing.T, seed uint64, tp trafficPattern) *simResult {
	t.Helper()
	sr := &simResult{byClass: map[requestClass]*outcomeCounts{}, arrivals: map[string]int{}, arrivalTimes: map[string][]time.Duration{}, paces: newPaceStats()}
	synctest.Test(t, func(t *testing.T) {
		fl := &simFleet{
			trafficPattern: tp, rd: rand.New(rand.NewPCG(seed, 0)), engines: map[string]*simEngine{}, result: sr, startedAt: time.Now(),
		}
		ctx, cancel := context.WithCancel(t.Context())
		var engines sync.WaitGroup
		for i := range tp.targets {
			for _, name := range []string{id(i), restartedID(i)} {
				en := newSimEngine()
				en.failing = i < tp.failing
				if tp.slowdown != nil {
					en.slowdown = func() float64 { return tp.slowdown(time.Since(fl.startedAt)) }
				}
				fl.engines[name] = en
				engines.Go(func() { en.run(ctx) })
			}
		}
		for range tp.instances {
			fl.instances = append(fl.instances, newSimInstance(t, len(fl.instances), tp, fl.connectPaces))
		}
		engines.Go(func() { fl.exchangeLoads(ctx) })
		engines.Go(func() { fl.updatePaces(ctx) })
		engines.Go(func() { fl.exchangeReturnTimes(ctx) })
		if tp.queue {
			engines.Go(func() { fl.exchangeQueues(ctx) })
		}
		if tp.incident != nil {
			engines.Go(func() { tp.incident(ctx, fl) })
		}
		fl.sendTraffic()
		fl.wg.Wait()
		cancel()
		engines.Wait()
		for name, en := range fl.engines {
			sr.arrivals[name] = en.arrivals
			for _, at := range en.arrivalTimes {
				sr.arrivalTimes[name] = append(sr.arrivalTimes[name], at.Sub(fl.startedAt))
			}
		}
	})
	return sr
}

func newSimInstance(t *testing.T, i int, tp trafficPattern, connect func(*simInstance, *dispatch.Options)) *simInstance {
	in := &simInstance{name: fmt.Sprint("instance-", i)}
	if tp.admission.CompletionAdmission || tp.admission.ReturnTimes {
		tp.admission.Now = time.Now
		in.admission = dispatch.NewAdmission(tp.admission)
	}
	in.harness = newHarness(t, tp.targets, func(op *dispatch.Options) {
		op.Instance, op.Admission = in.name, in.admission
		if tp.queue {
			op.Queue = &dispatch.QueueOptions{OnChange: func() { in.queuesChanged.Store(true) }}
		}
		connect(in, op)
	})
	in.SetPropagationDelay(func() time.Duration { return loadExchangeInterval })
	return in
}

// sendTraffic sends the requests of all phases.
func (fl *simFleet) sendTraffic() {
	for _, ph := range fl.phases {
		for over := time.Now().Add(ph.duration); time.Now().Before(over); time.Sleep(time.Millisecond) {
			for _, rc := range []requestClass{shortClass, promptClass, middleClass, longClass} {
				if fl.rd.Float64() < ph.ratePerSecond[rc]*time.Millisecond.Seconds() {
					fl.sendRequest(rc)
				}
			}
		}
	}
}

// sendRequest sends a request of random size to a random instance.
func (fl *simFleet) sendRequest(rc requestClass) {
	impatient := fl.impatient > 0 && fl.rd.Float64() < fl.impatient
	tokens := int(float64(rc.tokens) * math.Exp(promptSizeSigma*fl.rd.NormFloat64()-promptSizeSigma*promptSizeSigma/2))
	in := fl.instances[fl.rd.IntN(len(fl.instances))]
	rq := plainRequest()
	rq.ID = fmt.Sprint("request-", requestIDs.Add(1))
	rq.PromptTokens, rq.MaxAnswerTokens, rq.MaxPause = tokens, rc.events*simEngineConfig.StepsPerPass, rc.maxPause
	rq.Objective, rq.Deadline, rq.CallerIdleTimeout = rc.objective, rq.Arrived.Add(rc.deadline), 4*rc.objective
	rq.Service = routes.Service{Name: "s", Engine: &simEngineConfig}
	fl.wg.Go(func() { fl.serveCaller(in, rc, rq, impatient) })
}

// serveCaller sends the requests of a caller, and counts the outcome of the last.
func (fl *simFleet) serveCaller(in *simInstance, rc requestClass, rq dispatch.Request, impatient bool) {
	ca := simCaller{class: rc, tokens: rq.PromptTokens, began: time.Since(fl.startedAt), impatient: impatient}
	caller := returntimes.Caller(requestIDs.Load())
	for {
		rq.Admission = &dispatch.RequestAdmission{Caller: caller}
		ca.arrived = time.Since(fl.startedAt)
		record, retryAfter, refused := fl.serveWithRetries(in, rc, rq)
		left := time.Until(rq.Deadline)
		returns := 1
		if impatient {
			retryAfter, returns = time.Millisecond, impatientReturns
		}
		if !fl.returning || !refused || ca.returns >= returns || left <= 0 {
			if ca.began >= fl.countFrom {
				fl.recordOutcome(rc, record, ca)
			}
			return
		}
		time.Sleep(min(retryAfter, left/3))
		ca.returns++
		// The caller comes back with a new request id, to any instance.
		in = fl.instances[int(requestIDs.Add(1))%len(fl.instances)]
		rq.ID, rq.Arrived, rq.Exclude, rq.Caution = fmt.Sprint("request-", requestIDs.Load()), time.Now(), nil, targets.AllowProbe
	}
}

// serveWithRetries runs the attempts of a request. It returns its outcome, and whether and until when it was refused.
func (fl *simFleet) serveWithRetries(in *simInstance, rc requestClass, rq dispatch.Request) (record func(*outcomeCounts), retryAfter time.Duration, refused bool) {
	ctx, cancel := context.WithDeadline(context.Background(), rq.Deadline)
	defer cancel()
	const attempts = 3
	for range attempts {
		sl, err := in.Acquire(ctx, rq)
		if err != nil {
			waited := time.Since(rq.Arrived)
			return func(oc *outcomeCounts) { oc.refused++; oc.refusedWait += waited }, failure.FromError(err).RetryAfter, true
		}
		firstToken, longestPause, complete := fl.serveAttempt(ctx, rc, rq, sl)
		if !complete && ctx.Err() == nil {
			sl.RecordFailure()
		}
		if complete {
			return outcomeOf(rc, firstToken, longestPause), 0, false
		}
		rq.Exclude = append(rq.Exclude, sl.Target.ID)
		rq.Caution = targets.RequireReachable
		record = func(oc *outcomeCounts) { oc.failed++ }
	}
	return record, 0, false
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

func (fl *simFleet) recordOutcome(rc requestClass, record func(*outcomeCounts), ca simCaller) {
	fl.result.mu.Lock()
	defer fl.result.mu.Unlock()
	var own outcomeCounts
	record(&own)
	ca.inTime, ca.refused = own.inTime > 0, own.refused > 0
	fl.result.callers = append(fl.result.callers, ca)
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
		return 0, 0, false
	}
	select {
	case main.slots <- struct{}{}:
	case <-main.crashed:
		return 0, 0, false
	}
	defer func() { <-main.slots }()
	if !fl.waitForPrefill(rq, sl) || ctx.Err() != nil {
		return 0, 0, false
	}
	firstToken = time.Since(rq.Arrived)
	sl.RecordFirstToken()
	sa := main.startAnswer(int64(rq.PromptTokens), rc.events)
	defer main.endAnswer(sa)
	for at := time.Now(); rc.events > 0; rc.events-- {
		select {
		case <-sa.events:
		case <-main.crashed:
			return 0, 0, false
		}
		longestPause = max(longestPause, time.Since(at))
		at = time.Now()
		sl.RecordEvent()
	}
	return firstToken, longestPause, true
}

// waitForPrefill has the targets of the slot prefill equal parts of a prompt, and waits until all are done. It reports false if one crashed.
func (fl *simFleet) waitForPrefill(rq dispatch.Request, sl *dispatch.Slot) bool {
	// If memory is reserved, the first helper is the main target.
	reserved := len(sl.Helpers) > 0 && sl.Helpers[0].Reservation != ""
	count := int64(len(sl.Helpers))
	if !reserved {
		count++
	}
	tokens := int64(rq.PromptTokens)
	share := func(en *simEngine) *prefillPart { return en.addPart(tokens/count, tokens*tokens/2/count, count > 1) }
	parts, engines := []*prefillPart{}, []*simEngine{}
	if !reserved {
		engines = append(engines, fl.engines[sl.Target.ID])
	}
	for _, hp := range sl.Helpers {
		engines = append(engines, fl.engines[hp.ID])
	}
	for _, en := range engines {
		parts = append(parts, share(en))
	}
	for i, pt := range parts {
		select {
		case <-pt.done:
		case <-engines[i].crashed:
			return false
		}
	}
	return true
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

// reportExchangeInterval is how often instances tell each other the times that they promised.
const reportExchangeInterval = 100 * time.Millisecond

// exchangeReturnTimes tells all instances the promises of each other.
func (fl *simFleet) exchangeReturnTimes(ctx context.Context) {
	for ctx.Err() == nil {
		time.Sleep(reportExchangeInterval)
		for _, from := range fl.instances {
			if from.admission == nil || fl.silentPeers {
				return
			}
			body := from.admission.ReportPart().Encode(time.Now())
			for _, to := range fl.instances {
				if to != from {
					to.admission.ReportPart().Receive(from.name, body, time.Now())
				}
			}
		}
	}
}
