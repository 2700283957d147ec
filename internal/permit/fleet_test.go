package permit_test

import (
	"context"
	"flag"
	"fmt"
	"math"
	"math/rand/v2"
	"slices"
	"strings"
	"testing"
	"testing/synctest"
	"time"

	"github.com/silvermount/silvermount/internal/targets"
)

var (
	compareStrategies = flag.Bool("permit.ways", false, "run the scenarios with the alternative strategies for sharing a rate limit and print the results")
	runAllScenarios   = flag.Bool("permit.all", false, "run the scenarios of the large fleets with all sets of faults")
)

// scenario is a fleet of a given size with its load and faults.
type scenario struct {
	instances, targets, limitedTargets int
	limitPerSecond, requestsPerSecond  float64
	faults                             faults
	// Large fleets run only with the sets of faults marked onLargeFleets, and manualOnly fleets do not run, unless -permit.all is
	// set.
	large, manualOnly bool
}

// result is the result of a scenario for the limited targets.
type result struct {
	// maxInWindow is the maximum number of arrivals in a window, without those from instances near a fault. maxInWindowAll
	// includes those.
	maxInWindow, maxInWindowAll, maxAllowed int
	// minUsed and meanUsed are the minimum and the mean over the targets of the utilisation of the limit while it was in force.
	minUsed, meanUsed float64
	// refused is the number of requests, out of all, for which no target was available.
	refused, requests int
	// staleLimits is the number of lifted limits that instances still assume in force at the end, over all instances and targets.
	staleLimits int
}

func (rs result) String() string {
	return fmt.Sprintf("max %d in a window (%d with instances near faults), allowed %d; used min %.2f, mean %.2f; %d of %d refused; %d stale limits",
		rs.maxInWindow, rs.maxInWindowAll, rs.maxAllowed, rs.minUsed, rs.meanUsed, rs.refused, rs.requests, rs.staleLimits)
}

// run simulates the scenario with a strategy and a random seed.
func (sc scenario) run(t *testing.T, st strategy, seed uint64) result {
	t.Helper()
	var rs result
	synctest.Test(t, func(*testing.T) {
		fl := &simFleet{strategy: st, rnd: rand.New(rand.NewPCG(seed, 1)), limitPerSecond: sc.limitPerSecond, limitedTargets: sc.limitedTargets, startedAt: time.Now(), byName: map[string]*simInstance{}}
		for no := range sc.targets {
			tg := targets.Target{ID: fmt.Sprintf("target-%d", no), AvailabilityZone: fmt.Sprintf("zone-%d", no%simZones)}
			fl.targets = append(fl.targets, &simTarget{Target: tg})
		}
		for no := range sc.instances {
			in := &simInstance{mu: &fl.mu, no: no, name: fmt.Sprintf("instance-%d", no), zone: fmt.Sprintf("zone-%d", no%simZones)}
			in.linkDelay = time.Duration(1+fl.intN(40)) * time.Millisecond
			fl.instances = append(fl.instances, in)
			fl.byName[in.name] = in
		}
		for _, in := range fl.instances {
			in.start(fl)
			in.lastFaultEnd = time.Time{}
		}
		ctx, cancel := context.WithCancel(context.Background())
		for _, in := range fl.instances {
			fl.wg.Go(func() { fl.tickLoop(ctx, in) })
		}
		fl.injectFaults(sc.faults)
		rs.requests = fl.generateLoad(sc.requestsPerSecond)
		cancel()
		fl.wg.Wait()
		synctest.Wait()
		fl.evaluate(&rs)
	})
	return rs
}

func (fl *simFleet) tickLoop(ctx context.Context, in *simInstance) {
	for ctx.Err() == nil {
		fl.tick(in)
		time.Sleep(simHeartbeatInterval)
	}
}

// generateLoad sends requests to random running instances with exponentially distributed gaps, and returns their number.
func (fl *simFleet) generateLoad(perSecond float64) int {
	n := 0
	for time.Since(fl.startedAt) < simDuration {
		time.Sleep(time.Duration(-math.Log(1-fl.uniform()) / perSecond * float64(time.Second)))
		in := fl.instances[fl.intN(len(fl.instances))]
		in.mu.Lock()
		up := in.up
		in.mu.Unlock()
		if !up {
			continue
		}
		n++
		fl.wg.Go(func() { fl.route(in) })
	}
	return n
}

func (fl *simFleet) evaluate(rs *result) {
	rs.maxAllowed = int(math.Ceil(1.5*fl.limitPerSecond*simRateWindow.Seconds() + 5))
	rs.minUsed = math.Inf(1)
	rs.refused = fl.refused
	to := fl.startedAt.Add(simLimitEnd)
	for _, tg := range fl.targets[:fl.limitedTargets] {
		if tg.limitedSince.IsZero() {
			rs.minUsed = 0
			continue
		}
		from := tg.limitedSince.Add(simSettleTime)
		rs.maxInWindow = max(rs.maxInWindow, tg.maxArrivals(from, to, false))
		rs.maxInWindowAll = max(rs.maxInWindowAll, tg.maxArrivals(from, to, true))
		count := 0
		for _, ar := range tg.arrivals {
			if ar.at.After(from) && ar.at.Before(to) {
				count++
			}
		}
		used := float64(count) / to.Sub(from).Seconds() / fl.limitPerSecond
		rs.minUsed = min(rs.minUsed, used)
		rs.meanUsed += used / float64(fl.limitedTargets)
		for _, in := range fl.instances {
			if in.rateLimits.Limit(tg.ID).Limited {
				rs.staleLimits++
			}
		}
	}
}

// maxArrivals returns the maximum number of arrivals in any window that lies within a time range. Arrivals near a fault are
// counted only if all is set.
func (tg *simTarget) maxArrivals(from, to time.Time, all bool) int {
	maxCount := 0
	for i, first := range tg.arrivals {
		if first.at.Before(from) || first.at.Add(simRateWindow).After(to) {
			continue
		}
		n := 0
		for _, ar := range tg.arrivals[i:] {
			if ar.at.Sub(first.at) < simRateWindow && (all || !ar.nearFault) {
				n++
			}
		}
		maxCount = max(maxCount, n)
	}
	return maxCount
}

// faultSets holds the sets of faults by name.
var faultSets = map[string]faults{
	"no faults":                {},
	"kills":                    {kills: 6},
	"freezes":                  {freezes: 6},
	"disconnects":              {disconnects: 4},
	"combined":                 {kills: 4, freezes: 4, disconnects: 3, onLargeFleets: true},
	"zone partition":           {zonePartition: true},
	"all restarted":            {restartAll: true},
	"kills and zone partition": {kills: 3, zonePartition: true},
}

// fleetSizes holds the fleets by name, with the request rates typical of their sizes.
var fleetSizes = map[string]scenario{
	"6 instances, one target":    {instances: 6, targets: 21, limitedTargets: 1, limitPerSecond: 1.5, requestsPerSecond: 48},
	"6 instances, all targets":   {instances: 6, targets: 21, limitedTargets: 21, limitPerSecond: 1.5, requestsPerSecond: 48},
	"72 instances, one target":   {instances: 72, targets: 63, limitedTargets: 1, limitPerSecond: 1.5, requestsPerSecond: 107},
	"72 instances, six targets":  {instances: 72, targets: 63, limitedTargets: 6, limitPerSecond: 2, requestsPerSecond: 107},
	"72 instances, all targets":  {instances: 72, targets: 63, limitedTargets: 63, limitPerSecond: 1.2, requestsPerSecond: 107},
	"295 instances, one target":  {instances: 295, targets: 162, limitedTargets: 1, limitPerSecond: 1.5, requestsPerSecond: 266, manualOnly: true},
	"295 instances, ten targets": {instances: 295, targets: 162, limitedTargets: 10, limitPerSecond: 2, requestsPerSecond: 266, large: true},
	"295 instances, all targets": {instances: 295, targets: 162, limitedTargets: 162, limitPerSecond: 1.2, requestsPerSecond: 266, manualOnly: true},
}

// minMeanUsed is the minimum mean utilisation of the limits while there is demand. It is below one because a target gets no
// permits between the failure of its issuer and the detection of this failure.
const minMeanUsed = 2.0 / 3

// TestFleetEnforcesRateLimit simulates fleets of all sizes with limited targets under all sets of faults. No target may receive
// more requests in any window than 1.5 times its limit plus five, apart from those of instances near a fault. The mean
// utilisation of the limits must be at least two thirds, except when a zone is partitioned or all instances restart. No instance
// may assume a lifted limit at the end.
func TestFleetEnforcesRateLimit(t *testing.T) {
	for size, sc := range fleetSizes {
		for name, ft := range faultSets {
			if (sc.manualOnly || sc.large && !ft.onLargeFleets) && !*runAllScenarios {
				continue
			}
			sc := sc
			sc.faults = ft
			t.Run(size+"/"+name, func(t *testing.T) {
				t.Parallel()
				rs := sc.run(t, strategyPermits, 1)
				t.Log(rs)
				if rs.maxInWindow > rs.maxAllowed {
					t.Errorf("%d arrivals in a window, allowed %d", rs.maxInWindow, rs.maxAllowed)
				}
				if rs.meanUsed < minMeanUsed && !ft.zonePartition && !ft.restartAll {
					t.Errorf("mean utilisation of the limits is %.2f", rs.meanUsed)
				}
				if rs.staleLimits > 0 {
					t.Errorf("%d lifted limits still assumed in force", rs.staleLimits)
				}
			})
		}
	}
}

// TestCompareLimitSharingStrategies prints the results of all strategies in the same scenarios. It runs only with -permit.ways.
func TestCompareLimitSharingStrategies(t *testing.T) {
	if !*compareStrategies {
		t.Skip("-permit.ways is not set")
	}
	var lines []string
	for size, sc := range fleetSizes {
		for _, name := range []string{"no faults", "combined"} {
			for _, st := range []strategy{strategyPermits, strategyEvenShares, strategyOwners} {
				sc.faults = faultSets[name]
				lines = append(lines, fmt.Sprintf("%-27s %-13s %-8s %s", size, name, st, sc.run(t, st, 1)))
			}
		}
	}
	slices.Sort(lines)
	t.Log("\n" + strings.Join(lines, "\n"))
}
