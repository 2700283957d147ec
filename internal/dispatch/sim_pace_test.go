package dispatch_test

import (
	"context"
	"fmt"
	"sync"
	"sync/atomic"
	"testing"
	"time"

	"github.com/VictoriaMetrics/metrics"
	. "github.com/onsi/gomega"

	"github.com/silvermount/silvermount/internal/dispatch"
	"github.com/silvermount/silvermount/internal/gradualreturn"
	"github.com/silvermount/silvermount/internal/permit"
	"github.com/silvermount/silvermount/internal/position"
	"github.com/silvermount/silvermount/internal/ratelimit"
	"github.com/silvermount/silvermount/internal/routes"
	"github.com/silvermount/silvermount/internal/targetpace"
	"github.com/silvermount/silvermount/internal/targets"
)

const (
	// paceUpdateInterval is how often an instance updates its paces, paceReportInterval how often it tells its peers.
	paceUpdateInterval = 25 * time.Millisecond
	paceReportInterval = 100 * time.Millisecond
	// targetsDelay is how late instances know that a target is gone or listed.
	targetsDelay = 50 * time.Millisecond
)

// restartedID is the incarnation of a target after a crash.
func restartedID(i int) string { return id(i) + "-restarted" }

// simPaces is what an instance of the simulated fleet knows of the pace of targets.
type simPaces struct {
	mu                sync.Mutex
	tracker           *targetpace.Tracker
	returns           *gradualreturn.Controller
	issuer            *permit.Issuer
	slowdowns, limits atomic.Pointer[map[string]float64]
	unproven          atomic.Pointer[map[string]bool]
}

// connectPaces gives an instance the parts that the simulation enables.
func (fl *simFleet) connectPaces(in *simInstance, op *dispatch.Options) {
	sp := &simPaces{tracker: targetpace.New(), returns: gradualreturn.NewController(), issuer: permit.NewIssuer(time.Now)}
	sp.slowdowns.Store(&map[string]float64{})
	sp.limits.Store(&map[string]float64{})
	sp.unproven.Store(&map[string]bool{})
	in.paces = sp
	if fl.learnedPace {
		op.Slowdown = func(target string) float64 { return max(1, (*sp.slowdowns.Load())[target]) }
	}
	if fl.gradualReturn {
		op.Returning = func(target string) (returning, proven bool) {
			return sp.limit(target).Limited, !(*sp.unproven.Load())[target]
		}
		op.Permits = permit.NewClient(time.Now, sp.limit, metrics.NewSet())
		op.Permits.SetRequestFunc(fl.requestPermit)
	}
	if fl.learnedPace || fl.gradualReturn {
		op.OnSample = func(sa dispatch.Sample) {
			fl.result.paces.addSample(sa, time.Since(fl.startedAt))
			sp.record(sa)
		}
	}
}

func (sp *simPaces) limit(target string) ratelimit.Limit {
	if perSecond, returning := (*sp.limits.Load())[target]; returning {
		return ratelimit.PerSecond(perSecond)
	}
	return ratelimit.Limit{}
}

func (sp *simPaces) record(sa dispatch.Sample) {
	sp.mu.Lock()
	defer sp.mu.Unlock()
	good, bad := false, true
	if sa.Kind == dispatch.SamplePass || sa.Kind == dispatch.SampleFirstToken {
		good, bad = gradualreturn.Judge(sa.Predicted, sa.Observed)
	}
	if sa.Kind == dispatch.SamplePass {
		sp.tracker.Observe(sa.Target, sa.Predicted, sa.Observed, sa.EndedAt)
	}
	sp.returns.Record(sa.Target, good, bad)
}

// requestPermit asks the issuer of a target, which is a fixed instance.
func (fl *simFleet) requestPermit(_ context.Context, rq permit.Request) (permit.Decision, error) {
	time.Sleep(roundTripTime)
	candidates := make([]permit.Candidate, len(fl.instances))
	for i, in := range fl.instances {
		candidates[i].Name = in.name
	}
	name := permit.SelectIssuer(candidates, rq.Target)
	for _, in := range fl.instances {
		if in.name == name {
			li := in.paces.limit(rq.Target.ID)
			if !li.Limited {
				li = rq.Limit
			}
			return in.paces.issuer.Issue(rq.Target.ID, li, 1, rq.MaxWait), nil
		}
	}
	return permit.Decision{}, &permit.NoIssuerError{}
}

// updatePaces updates the paces of all instances, and exchanges their reports.
func (fl *simFleet) updatePaces(ctx context.Context) {
	if !fl.learnedPace && !fl.gradualReturn {
		return
	}
	for round := 0; ctx.Err() == nil; round++ {
		time.Sleep(paceUpdateInterval)
		for _, in := range fl.instances {
			in.updatePaces(in.returnTargets())
		}
		fl.result.paces.addRound(fl)
		if round%int(paceReportInterval/paceUpdateInterval) == 0 {
			fl.exchangePaces()
		}
	}
}

func (in *simInstance) updatePaces(all []gradualreturn.Target) {
	in.paces.mu.Lock()
	defer in.paces.mu.Unlock()
	in.paces.issuer.Tick()
	in.paces.returns.Update(time.Now(), all)
	limits := in.paces.returns.Limits()
	in.paces.limits.Store(&limits)
	unproven := in.paces.returns.Unproven(time.Now())
	in.paces.unproven.Store(&unproven)
	in.paces.tracker.Expire(time.Now())
	slow := in.paces.tracker.Slow(time.Now())
	in.paces.slowdowns.Store(&slow)
}

// returnTargets returns the state of all targets that an instance knows.
func (in *simInstance) returnTargets() []gradualreturn.Target {
	known := in.directory.Availabilities()
	ids := make([]string, len(known))
	for i, av := range known {
		ids[i] = av.Target.ID
	}
	all := make([]gradualreturn.Target, len(known))
	for i, count := range in.InFlight(ids) {
		all[i] = gradualreturn.Target{
			ID: ids[i], Service: "s", Away: string(known[i].Absence), Slots: simEngineConfig.Slots, InFlight: count,
			AnswerTime: dispatch.AnswerTime(routes.Service{Engine: &simEngineConfig}),
		}
	}
	return all
}

func (fl *simFleet) exchangePaces() {
	for _, from := range fl.instances {
		from.paces.mu.Lock()
		estimates, counts := from.paces.tracker.Own(time.Now()), from.paces.returns.Own()
		from.paces.mu.Unlock()
		for _, to := range fl.instances {
			if to == from {
				continue
			}
			to.paces.mu.Lock()
			to.paces.tracker.SetPeer(from.name, estimates)
			to.paces.returns.SetPeer(from.name, counts)
			to.paces.mu.Unlock()
		}
	}
}

// list tells all instances of a change of a target.
func (fl *simFleet) list(ec targets.EntryChange) {
	for _, in := range fl.instances {
		in.directory.ApplyChanges([]targets.EntryChange{ec}, position.Position{}, time.Now())
	}
}

// crash crashes some targets, and restarts them as other incarnations some time later. The restarted ones interrupt each request for
// failFor.
func crash(count int, at, restartAfter, failFor time.Duration) func(ctx context.Context, fl *simFleet) {
	return func(_ context.Context, fl *simFleet) {
		time.Sleep(at)
		for i := range count {
			close(fl.engines[id(i)].crashed)
		}
		time.Sleep(targetsDelay)
		for i := range count {
			fl.list(targets.EntryChange{Name: id(i), Deleted: true})
		}
		time.Sleep(restartAfter)
		for i := range count {
			fl.engines[restartedID(i)].setFailing(failFor > 0)
			tg := targets.Target{ID: restartedID(i), Service: "s", Address: fmt.Sprint("10.0.1.", i, ":80"), AvailabilityZone: zone, Slots: slots}
			fl.list(targets.EntryChange{Name: tg.ID, Target: tg})
		}
		time.Sleep(failFor)
		for i := range count {
			fl.engines[restartedID(i)].setFailing(false)
		}
	}
}

// slowDown makes some targets slower for a while.
func slowDown(count int, factor float64, at, period time.Duration) func(ctx context.Context, fl *simFleet) {
	return func(_ context.Context, fl *simFleet) {
		time.Sleep(at)
		for i := range count {
			fl.engines[id(i)].setSlowdown(factor)
		}
		time.Sleep(period)
		for i := range count {
			fl.engines[id(i)].setSlowdown(1)
		}
	}
}

// usualTraffic is the traffic of a usual day for 60 targets, in requests a second.
var usualTraffic = map[requestClass]float64{shortClass: 85, middleClass: 7, longClass: 2.4}

// arrivalsPerTarget returns the mean number of arrivals at some targets in a period.
func (sr *simResult) arrivalsPerTarget(name func(i int) string, from, to int, start, end time.Duration) float64 {
	n := 0
	for i := from; i < to; i++ {
		for _, at := range sr.arrivalTimes[name(i)] {
			if at >= start && at < end {
				n++
			}
		}
	}
	return float64(n) / float64(to-from)
}

// paceStats sums up the slowdowns that all instances used.
type paceStats struct {
	mu sync.Mutex
	// firstSlow holds when each target first took at least minCertainSlowdown times as long as predicted for a pass, learned when nine of ten
	// instances first counted it as slow, and lastSlow when any did so last; since the start.
	firstSlow, learned, lastSlow map[string]time.Duration
	// falselySlow and healthy count the pairs of an instance and a target that keeps its pace over all updates, and those of them in which
	// the target counted as slow.
	falselySlow, healthy int
}

func newPaceStats() *paceStats {
	return &paceStats{firstSlow: map[string]time.Duration{}, learned: map[string]time.Duration{}, lastSlow: map[string]time.Duration{}}
}

// addSample records a sample at a time since the start.
func (st *paceStats) addSample(sa dispatch.Sample, at time.Duration) {
	if sa.Kind != dispatch.SamplePass || sa.Observed < minCertainSlowdown*sa.Predicted || at < slowFrom {
		return
	}
	st.mu.Lock()
	defer st.mu.Unlock()
	if _, known := st.firstSlow[sa.Target]; !known {
		st.firstSlow[sa.Target] = at
	}
}

// addRound records an update of all instances.
func (st *paceStats) addRound(fl *simFleet) {
	st.mu.Lock()
	defer st.mu.Unlock()
	at := time.Since(fl.startedAt)
	for i := range fl.targets {
		slow := 0
		for _, in := range fl.instances {
			if (*in.paces.slowdowns.Load())[id(i)] > 1 {
				slow++
			}
		}
		if i >= fl.slowTargets {
			st.falselySlow += slow
			st.healthy += len(fl.instances)
			continue
		}
		if slow > 0 {
			st.lastSlow[id(i)] = at
		}
		if _, known := st.learned[id(i)]; !known && slow*10 >= len(fl.instances)*9 {
			st.learned[id(i)] = at
		}
	}
}

// minCertainSlowdown is the slowdown from which a target that is five times slower counts as recognised.
const minCertainSlowdown = 2

const (
	// slowTargets is the number of targets that become slow, from slowFrom on for slowPeriod.
	slowTargets = 10
	slowFrom    = 3 * time.Second
	slowPeriod  = 6 * time.Second
)

// TestSimulatedSlowTargetsAreRecognised replays a sixth of the targets that become five times slower and recover. It guards against instances that
// do not learn of it within a second of the first slow pass, use the targets as before, do not forget it within three seconds, or hold
// other targets to be slow.
func TestSimulatedSlowTargetsAreRecognised(t *testing.T) {
	g := NewWithT(t)
	tp := trafficPattern{
		instances: 24, targets: 60, incident: slowDown(slowTargets, 5, slowFrom, slowPeriod), slowTargets: slowTargets, countFrom: slowFrom,
		phases: []trafficPhase{{slowFrom + 10*time.Second, map[requestClass]float64{shortClass: 100}}},
	}
	without := simulate(t, 1, tp)
	tp.learnedPace = true
	with := simulate(t, 1, tp)
	st := with.paces
	t.Logf("without:\n%s\nwith:\n%s\nfalsely slow: %d of %d\nfirst slow passes: %v\nrecognised: %v\nlast counted as slow: %v",
		without, with, st.falselySlow, st.healthy, st.firstSlow, st.learned, st.lastSlow)
	g.Expect(st.firstSlow).NotTo(BeEmpty())
	for target, at := range st.firstSlow {
		if at > slowFrom+slowPeriod {
			continue // the target had recovered when its first slow pass ended
		}
		g.Expect(st.learned).To(HaveKey(target))
		g.Expect(st.learned[target]).To(BeNumerically("<=", at+time.Second), "%s is recognised within a second", target)
	}
	for target, at := range st.lastSlow {
		g.Expect(at).To(BeNumerically("<=", slowFrom+slowPeriod+3*time.Second), "%s is forgotten within three seconds", target)
	}
	from, to := slowFrom+1500*time.Millisecond, slowFrom+slowPeriod
	g.Expect(5 * with.arrivalsPerTarget(id, 0, slowTargets, from, to)).To(BeNumerically("<=", with.arrivalsPerTarget(id, slowTargets, tp.targets, from, to)))
	g.Expect(st.falselySlow * 200).To(BeNumerically("<=", st.healthy))
	g.Expect(with.worthShare()).To(BeNumerically(">=", without.worthShare()-0.02))
}

// TestSimulatedReturnOfCrashedTargets replays a fifth of the targets that crash and return. It guards against a limit that leaves them idle: requests are placed by expected loss, and short prompts have targets of their own, so that a
// target closed to long prompts may get nothing at all. With targets closed for the whole return, 14 of 25 long prompts were in time, and 23
// without the limit.
func TestSimulatedReturnOfCrashedTargets(t *testing.T) {
	tests := map[string]time.Duration{"healthy": 0, "failing for two seconds": 2 * time.Second}
	for name, failFor := range tests {
		t.Run(name, func(t *testing.T) {
			g := NewWithT(t)
			tp := trafficPattern{instances: 24, targets: 60, incident: crash(12, 3*time.Second, 3*time.Second, failFor), countFrom: 6 * time.Second}
			tp.phases = []trafficPhase{{16 * time.Second, usualTraffic}}
			without := simulate(t, 1, tp)
			tp.gradualReturn = true
			with := simulate(t, 1, tp)
			t.Logf("without:\n%s\nwith:\n%s", without, with)
			// Two runs of the same traffic differ by two long prompts, each of which is a hundredth of the worth.
			g.Expect(with.worthShare()).To(BeNumerically(">=", without.worthShare()-0.05))
			g.Expect(with.byClass[shortClass].refused + with.byClass[shortClass].failed).To(BeNumerically("<=", 1))
			g.Expect(with.byClass[longClass].inTime).To(BeNumerically(">=", without.byClass[longClass].inTime-4))
		})
	}
}
