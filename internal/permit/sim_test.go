package permit_test

import (
	"context"
	"math/rand/v2"
	"slices"
	"sync"
	"time"

	"github.com/VictoriaMetrics/metrics"

	"github.com/silvermount/silvermount/internal/permit"
	"github.com/silvermount/silvermount/internal/ratelimit"
	"github.com/silvermount/silvermount/internal/targets"
)

const (
	simZones = 3
	// simHeartbeatInterval is the interval at which an instance receives the heartbeats of the others. An instance without
	// a heartbeat for simFailureTimeout counts as lost.
	simHeartbeatInterval = 250 * time.Millisecond
	simFailureTimeout    = 2 * time.Second
	// simRateWindow is the length of the sliding window in which arrivals are counted. simSettleTime is the time between a target
	// first declaring its limit and the start of counting, and the time for which an instance is marked as near a fault after the
	// fault ends.
	simRateWindow = 4 * time.Second
	simSettleTime = 3 * time.Second
	// Targets state their limit from simLimitStart until simLimitEnd.
	simLimitStart = 3 * time.Second
	simLimitEnd   = 27 * time.Second
	simDuration   = 37 * time.Second
	// simServiceTime is how long a target takes to process a request.
	simServiceTime = 30 * time.Millisecond
)

// strategy is how instances share a limit.
type strategy string

const (
	// strategyPermits requests a permit from one issuer for each request.
	strategyPermits strategy = "permits"
	// strategyEvenShares gives each instance an equal share.
	strategyEvenShares strategy = "parts"
	// strategyOwners gives four instances a quarter each, and nothing to the others.
	strategyOwners strategy = "owners"
)

// ownersPerTarget is the number of instances that may send to a limited target under strategyOwners.
const ownersPerTarget = 4

// faults are the faults injected into the fleet in a scenario.
type faults struct {
	// kills, freezes and disconnects are numbers of faults, each at a random instance and time. A killed instance restarts after
	// a second.
	kills, freezes, disconnects int
	// zonePartition cuts one zone, including its targets, off from the others.
	zonePartition bool
	// restartAll kills all instances at once.
	restartAll bool
	// onLargeFleets injects these faults into large fleets in every test run. Other faults are injected there only with
	// -permit.all.
	onLargeFleets bool
}

// simFleet holds the instances and targets of a scenario.
type simFleet struct {
	strategy strategy
	rnd      *rand.Rand
	rndMu    sync.Mutex
	// mu guards the instances and zonePartitioned.
	mu              sync.Mutex
	limitPerSecond  float64
	limitedTargets  int
	targets         []*simTarget
	instances       []*simInstance
	byName          map[string]*simInstance
	startedAt       time.Time
	zonePartitioned bool
	refused         int
	wg              sync.WaitGroup
}

// simTarget records the requests that arrive at one target.
type simTarget struct {
	targets.Target
	mu           sync.Mutex
	arrivals     []simArrival
	limitedSince time.Time
}

// simArrival is one request at a target.
type simArrival struct {
	at       time.Time
	instance int
	// nearFault is set if the sending instance is disconnected, or was affected by a fault within simSettleTime before.
	nearFault bool
}

// simInstance is one instance with its view of the fleet.
type simInstance struct {
	no   int
	name string
	zone string
	// mu is the fleet's lock. It guards the fields below.
	mu           *sync.Mutex
	up           bool
	frozenUntil  time.Time
	disconnected bool
	// lastFaultEnd is when the last fault of the instance ended, or will end.
	lastFaultEnd time.Time
	// lastHeartbeats is when a heartbeat of each other instance was last received, by instance number.
	lastHeartbeats []time.Time
	// issuerCache holds the selected issuers by target. It is reset when the set of live instances changes.
	issuerCache map[string]string
	// live and knownCount are the instances considered live and the number of instances known, as of the last tick.
	live       []permit.Candidate
	knownCount int
	rateLimits *ratelimit.Tracker
	issuer     *permit.Issuer
	client     *permit.Client
	linkDelay  time.Duration
}

func (fl *simFleet) uniform() float64 {
	fl.rndMu.Lock()
	defer fl.rndMu.Unlock()
	return fl.rnd.Float64()
}

func (fl *simFleet) intN(n int) int { return int(fl.uniform() * float64(n)) }

// start starts the process of an instance with fresh state.
func (in *simInstance) start(fl *simFleet) {
	in.mu.Lock()
	defer in.mu.Unlock()
	in.up, in.lastFaultEnd = true, time.Now()
	in.lastHeartbeats, in.issuerCache = make([]time.Time, len(fl.instances)), map[string]string{}
	in.live, in.knownCount = []permit.Candidate{{Name: in.name, AvailabilityZone: in.zone}}, 1
	in.rateLimits = ratelimit.New(time.Now)
	in.issuer = permit.NewIssuer(time.Now)
	rateLimits := in.rateLimits
	in.client = permit.NewClient(time.Now, rateLimits.Limit, metrics.NewSet())
	in.client.SetRequestFunc(func(ctx context.Context, rq permit.Request) (permit.Decision, error) {
		return fl.requestPermit(ctx, in, rq)
	})
}

// connected reports whether two instances can communicate.
func (fl *simFleet) connected(a, b *simInstance) bool {
	if a.no == b.no {
		return true
	}
	fl.mu.Lock()
	defer fl.mu.Unlock()
	return fl.connectedAt(a, b, time.Now())
}

// connectedAt is connected for two distinct instances. The caller holds the lock.
func (fl *simFleet) connectedAt(a, b *simInstance, now time.Time) bool {
	return a.reachable(now) && b.reachable(now) && !fl.partitioned(a.zone, b.zone)
}

// reachable reports whether the instance is running and connected to the network. The caller holds the lock.
func (in *simInstance) reachable(now time.Time) bool {
	return in.up && !in.disconnected && !now.Before(in.frozenUntil)
}

// refreshView updates the set of live instances and the number of known instances. The caller holds the lock.
func (in *simInstance) refreshView(fl *simFleet) {
	now := time.Now()
	known := 0
	var live []permit.Candidate
	for no, at := range in.lastHeartbeats {
		if at.IsZero() && no != in.no {
			continue
		}
		known++
		if no == in.no || now.Sub(at) < simFailureTimeout {
			live = append(live, permit.Candidate{Name: fl.instances[no].name, AvailabilityZone: fl.instances[no].zone})
		}
	}
	if !slices.Equal(live, in.live) {
		in.issuerCache = map[string]string{}
	}
	in.live, in.knownCount = live, known
}

// issuerOf returns the issuer of a target as selected by the instance from its own view.
func (in *simInstance) issuerOf(tg targets.Target) string {
	in.mu.Lock()
	defer in.mu.Unlock()
	name, known := in.issuerCache[tg.ID]
	if !known {
		name = permit.SelectIssuer(in.live, tg)
		in.issuerCache[tg.ID] = name
	}
	return name
}

// view returns the instances considered live, and the number of instances known.
func (in *simInstance) view() (live []permit.Candidate, known int) {
	in.mu.Lock()
	defer in.mu.Unlock()
	return in.live, in.knownCount
}

// requestPermit requests a permit from the issuer of a target, over a network with delays and partitions.
func (fl *simFleet) requestPermit(ctx context.Context, in *simInstance, rq permit.Request) (permit.Decision, error) {
	issuer := fl.byName[in.issuerOf(rq.Target)]
	if issuer.no != in.no {
		fl.networkDelay()
		if !fl.connected(in, issuer) {
			<-ctx.Done()
			return permit.Decision{}, ctx.Err()
		}
	}
	if issuer.issuerOf(rq.Target) != issuer.name {
		return permit.Decision{Delay: 100 * time.Millisecond}, nil
	}
	live, known := issuer.view()
	issuer.mu.Lock()
	is := issuer.issuer
	issuer.mu.Unlock()
	dc := is.Issue(rq.Target.ID, rq.Limit, permit.LimitShare(len(live), known), rq.MaxWait)
	if issuer.no != in.no {
		fl.networkDelay()
	}
	return dc, ctx.Err()
}

// networkDelay sleeps for the random delay of a message between two instances.
func (fl *simFleet) networkDelay() { time.Sleep(time.Duration(500+fl.intN(2500)) * time.Microsecond) }

// acquirePermit reports whether the strategy lets the instance send a request to the target now.
func (fl *simFleet) acquirePermit(in *simInstance, tg *simTarget) bool {
	in.mu.Lock()
	cl, is, rateLimits := in.client, in.issuer, in.rateLimits
	in.mu.Unlock()
	li := rateLimits.Limit(tg.ID)
	if !li.Limited {
		return true
	}
	live, _ := in.view()
	switch fl.strategy {
	case strategyEvenShares:
		return is.Issue(tg.ID, li, 1/float64(len(live)), 0).Granted
	case strategyOwners:
		return isOwner(live, in.name, tg) && is.Issue(tg.ID, li, 1/float64(min(ownersPerTarget, len(live))), 0).Granted
	default:
		return cl.Acquire(context.Background(), tg.Target, 0).Granted
	}
}

// isOwner reports whether an instance is one of the ownersPerTarget highest-ranked instances for a target.
func isOwner(live []permit.Candidate, name string, tg *simTarget) bool {
	remaining := slices.Clone(live)
	for range min(ownersPerTarget, len(remaining)) {
		owner := permit.SelectIssuer(remaining, tg.Target)
		if owner == name {
			return true
		}
		remaining = slices.DeleteFunc(remaining, func(ca permit.Candidate) bool { return ca.Name == owner })
	}
	return false
}

// route sends a request to the first target available to it. It tries the limited targets first, since they appear idle.
func (fl *simFleet) route(in *simInstance) {
	in.waitWhileFrozen()
	candidates := make([]*simTarget, 0, len(fl.targets))
	offset := fl.intN(max(1, fl.limitedTargets))
	for no := range fl.limitedTargets {
		candidates = append(candidates, fl.targets[(no+offset)%fl.limitedTargets])
	}
	if fl.limitedTargets < len(fl.targets) {
		candidates = append(candidates, fl.targets[fl.limitedTargets+fl.intN(len(fl.targets)-fl.limitedTargets)])
	}
	for _, tg := range candidates {
		in.mu.Lock()
		cl := in.client
		in.mu.Unlock()
		if _, blocked := cl.BlockedUntil(tg.ID); blocked || !fl.targetReachable(in, tg) {
			continue
		}
		if fl.acquirePermit(in, tg) {
			fl.send(in, tg)
			return
		}
	}
	fl.rndMu.Lock()
	defer fl.rndMu.Unlock()
	fl.refused++
}

// waitWhileFrozen blocks until the instance is no longer frozen.
func (in *simInstance) waitWhileFrozen() {
	in.mu.Lock()
	wait := time.Until(in.frozenUntil)
	in.mu.Unlock()
	time.Sleep(wait)
}

// targetReachable reports whether no partition separates the instance from the target.
func (fl *simFleet) targetReachable(in *simInstance, tg *simTarget) bool {
	fl.mu.Lock()
	defer fl.mu.Unlock()
	return !fl.partitioned(in.zone, tg.AvailabilityZone)
}

// partitioned reports whether a partition separates two zones. The caller holds the lock.
func (fl *simFleet) partitioned(a, b string) bool {
	const isolated = "zone-0"
	return fl.zonePartitioned && a != b && (a == isolated || b == isolated)
}

// send sends a request to a target and processes the limit stated in the response.
func (fl *simFleet) send(in *simInstance, tg *simTarget) {
	in.waitWhileFrozen()
	in.mu.Lock()
	up, rateLimits := in.up, in.rateLimits
	nearFault := in.disconnected || time.Since(in.lastFaultEnd) < simSettleTime
	in.mu.Unlock()
	if !up {
		return
	}
	sentAt := time.Now()
	time.Sleep(time.Millisecond)
	tg.mu.Lock()
	tg.arrivals = append(tg.arrivals, simArrival{at: time.Now(), instance: in.no, nearFault: nearFault})
	tg.mu.Unlock()
	time.Sleep(simServiceTime)
	var li ratelimit.Limit
	if elapsed := time.Since(fl.startedAt); elapsed >= simLimitStart && elapsed < simLimitEnd && fl.statesLimit(tg) {
		li = ratelimit.PerSecond(fl.limitPerSecond)
		tg.mu.Lock()
		if tg.limitedSince.IsZero() {
			tg.limitedSince = time.Now()
		}
		tg.mu.Unlock()
	}
	time.Sleep(time.Millisecond)
	if _, changed := rateLimits.Observe(tg.ID, li, sentAt, time.Now()); changed {
		fl.broadcast(in)
	}
}

func (fl *simFleet) statesLimit(tg *simTarget) bool {
	return slices.Index(fl.targets, tg) < fl.limitedTargets
}

// broadcast sends the limits observed by an instance to all others. Each receives them after the delay of the link.
func (fl *simFleet) broadcast(in *simInstance) {
	in.mu.Lock()
	observations := in.rateLimits.LocalObservations()
	in.mu.Unlock()
	for _, other := range fl.instances {
		if other.no == in.no {
			continue
		}
		time.AfterFunc(in.linkDelay+other.linkDelay, func() {
			if !fl.connected(in, other) {
				return
			}
			other.mu.Lock()
			rateLimits := other.rateLimits
			other.mu.Unlock()
			rateLimits.Merge(observations)
		})
	}
}

// tick receives heartbeats, and broadcasts the observed limits if an instance was discovered.
func (fl *simFleet) tick(in *simInstance) {
	in.mu.Lock()
	running, is := in.up && !time.Now().Before(in.frozenUntil), in.issuer
	in.mu.Unlock()
	if !running {
		return
	}
	is.Tick()
	if fl.receiveHeartbeats(in) {
		fl.broadcast(in)
	}
}

// receiveHeartbeats receives a heartbeat from each connected instance, and reports whether any of them was not considered live
// before.
func (fl *simFleet) receiveHeartbeats(in *simInstance) bool {
	fl.mu.Lock()
	defer fl.mu.Unlock()
	now := time.Now()
	discovered := false
	for _, other := range fl.instances {
		if other.no == in.no || !fl.connectedAt(in, other, now) {
			continue
		}
		discovered = discovered || now.Sub(in.lastHeartbeats[other.no]) >= simFailureTimeout
		in.lastHeartbeats[other.no] = now
	}
	in.refreshView(fl)
	return discovered
}

// injectFaults schedules the faults of a scenario.
func (fl *simFleet) injectFaults(ft faults) {
	schedule := func(inject func(in *simInstance)) {
		in := fl.instances[fl.intN(len(fl.instances))]
		delay := simLimitStart + time.Duration(fl.uniform()*float64(simLimitEnd-simLimitStart-3*time.Second))
		fl.wg.Go(func() {
			time.Sleep(delay)
			inject(in)
		})
	}
	// Each kind of fault affects at most a third of a small fleet.
	maxAffected := len(fl.instances) / 3
	for range min(ft.kills, maxAffected) {
		schedule(func(in *simInstance) { fl.kill(in) })
	}
	for range min(ft.freezes, maxAffected) {
		schedule(func(in *simInstance) { fl.freeze(in) })
	}
	for range min(ft.disconnects, maxAffected) {
		schedule(func(in *simInstance) { fl.disconnect(in) })
	}
	if ft.zonePartition {
		fl.wg.Go(func() { fl.partitionZone() })
	}
	if ft.restartAll {
		fl.wg.Go(func() {
			time.Sleep(15 * time.Second)
			for _, in := range fl.instances {
				fl.wg.Go(func() { fl.kill(in) })
			}
		})
	}
}

func (fl *simFleet) kill(in *simInstance) {
	in.mu.Lock()
	in.up = false
	in.mu.Unlock()
	time.Sleep(time.Second)
	in.start(fl)
}

func (fl *simFleet) freeze(in *simInstance) {
	duration := time.Second + time.Duration(fl.uniform()*float64(4*time.Second))
	in.mu.Lock()
	in.frozenUntil = time.Now().Add(duration)
	in.lastFaultEnd = in.frozenUntil
	in.mu.Unlock()
}

func (fl *simFleet) disconnect(in *simInstance) {
	in.mu.Lock()
	in.disconnected = true
	in.mu.Unlock()
	time.Sleep(time.Second + time.Duration(fl.uniform()*float64(5*time.Second)))
	in.mu.Lock()
	in.disconnected, in.lastFaultEnd = false, time.Now()
	in.mu.Unlock()
}

func (fl *simFleet) setZonePartitioned(partitioned bool) {
	fl.mu.Lock()
	defer fl.mu.Unlock()
	fl.zonePartitioned = partitioned
}

func (fl *simFleet) partitionZone() {
	time.Sleep(12 * time.Second)
	fl.setZonePartitioned(true)
	time.Sleep(6 * time.Second)
	fl.setZonePartitioned(false)
	for _, in := range fl.instances {
		if in.zone == "zone-0" {
			in.mu.Lock()
			in.lastFaultEnd = time.Now()
			in.mu.Unlock()
		}
	}
}
