package feedback_test

import (
	"math/rand/v2"
	"strconv"
	"testing"
	"testing/synctest"
	"time"

	. "github.com/onsi/gomega"

	"github.com/silvermount/silvermount/internal/backoff"
	"github.com/silvermount/silvermount/internal/targets"
)

const (
	// maxLeavingDelay is how long after an instance received an answer of a leaving target it may still accept requests of callers
	// that it sends there.
	maxLeavingDelay = 2 * time.Second
	// inFlightTime is how long after a target asked an instance for a back-off requests that were in flight may still arrive;
	// maxRequestsInBackOff is how many may arrive in the rest of the back-off.
	inFlightTime         = 500 * time.Millisecond
	maxRequestsInBackOff = 2
	// maxRecoveryTime is how long after simStatesEnd requests must be sent to all targets again.
	maxRecoveryTime = 5 * time.Second
)

// fleetScenario is the size of a fleet, its load, and its faults.
type fleetScenario struct {
	instances, targets int
	// leavingCount targets are leaving and sheddingCount targets shed requests from simStatesBegin to simStatesEnd.
	leavingCount, sheddingCount int
	// requestsPerSecond is the rate at all instances together.
	requestsPerSecond int
	disturbances
}

// newScenario returns a scenario without disturbances, in which a sixth of the targets are leaving and a quarter shed requests.
func newScenario(instances, targetCount, perSecond int) fleetScenario {
	return fleetScenario{instances: instances, targets: targetCount, leavingCount: targetCount / 6, sheddingCount: targetCount / 4, requestsPerSecond: perSecond}
}

func (fs fleetScenario) withDisturbances(ds disturbances) fleetScenario {
	fs.disturbances = ds
	return fs
}

// withAllShedding makes all targets shed requests.
func (fs fleetScenario) withAllShedding() fleetScenario {
	fs.leavingCount, fs.sheddingCount = 0, fs.targets
	return fs
}

// TestFleetRespectsLeavingAndBackOff checks each exchange of fleets in which targets are leaving or shed requests while the store
// lists them as ready, so that only their answers show it.
func TestFleetRespectsLeavingAndBackOff(t *testing.T) {
	everything := disturbances{kills: 4, freezes: 4, cuts: 4, storeSilent: true}
	scenarios := map[string]fleetScenario{
		"6":                         newScenario(6, 12, 150),
		"6, store silent":           newScenario(6, 12, 150).withDisturbances(disturbances{storeSilent: true}),
		"6, kills, freezes, cuts":   newScenario(6, 12, 150).withDisturbances(everything),
		"6, all shed":               newScenario(6, 12, 150).withAllShedding(),
		"72":                        newScenario(72, 60, 300),
		"72, kills, freezes, cuts":  newScenario(72, 60, 300).withDisturbances(everything),
		"72, all shed":              newScenario(72, 60, 100).withAllShedding(),
		"295, kills, freezes, cuts": newScenario(295, 120, 600).withDisturbances(everything),
	}
	for name, fs := range scenarios {
		t.Run(name, func(t *testing.T) {
			synctest.Test(t, func(t *testing.T) { fs.run(t, 1) })
		})
	}
}

// run simulates the scenario and checks all its exchanges and calls.
func (fs fleetScenario) run(t *testing.T, seed uint64) {
	fl := &simFleet{random: rand.New(rand.NewPCG(seed, 11)), startedAt: time.Now()}
	for no := range fs.targets {
		fl.targets = append(fl.targets, &simTarget{Target: targets.Target{
			ID: "t" + strconv.Itoa(no) + "@0", Name: "t" + strconv.Itoa(no), StartedAt: time.Unix(1, 0), Service: "s",
			Address: strconv.Itoa(no), AvailabilityZone: "z", Slots: simSlots,
		}})
	}
	for no := range fs.instances {
		fl.instances = append(fl.instances, &simInstance{index: no})
	}
	for _, in := range fl.instances {
		fl.startInstance(in)
	}
	fl.wg.Go(fl.followStore)
	fs.scheduleDisturbances(fl)
	fl.wg.Go(func() { fs.runTargetStates(fl) })
	for no := range int(simDuration.Seconds()) * fs.requestsPerSecond {
		time.Sleep(time.Second / time.Duration(fs.requestsPerSecond))
		fl.wg.Go(func() { fl.call(fl.instances[int(fl.float()*float64(fs.instances))], no) })
	}
	fl.wg.Wait()
	fs.check(t, fl)
}

// runTargetStates makes targets leave or shed requests for a while. Those that are leaving are then replaced by new incarnations.
func (fs fleetScenario) runTargetStates(fl *simFleet) {
	time.Sleep(simStatesBegin)
	fl.mu.Lock()
	fl.storeSilent = fs.storeSilent
	fl.mu.Unlock()
	for no, tg := range fl.targets[:fs.leavingCount+fs.sheddingCount] {
		if no < fs.leavingCount {
			tg.setState(true, 0)
		} else {
			tg.setState(false, 1200*time.Millisecond+fl.randomBelow(2*time.Second))
		}
	}
	time.Sleep(simStatesEnd - simStatesBegin)
	fl.mu.Lock()
	fl.storeSilent = false
	fl.mu.Unlock()
	for no, tg := range fl.targets[:fs.leavingCount+fs.sheddingCount] {
		if no < fs.leavingCount {
			tg.replace()
		} else {
			tg.setState(false, 0)
		}
	}
}

// scheduleDisturbances starts the disturbances of the scenario at random times.
func (fs fleetScenario) scheduleDisturbances(fl *simFleet) {
	randomInstance := func() *simInstance { return fl.instances[int(fl.float()*float64(fs.instances))] }
	atRandomTime := func(disturb func(in *simInstance)) {
		fl.wg.Go(func() {
			time.Sleep(fl.randomBelow(simDuration - maxRecoveryTime))
			disturb(randomInstance())
		})
	}
	for range fs.kills {
		atRandomTime(func(in *simInstance) {
			fl.mu.Lock()
			in.running = false
			for _, peer := range fl.instances {
				peer.dispatcher.SetPeerLoads(strconv.Itoa(in.index), nil)
			}
			fl.mu.Unlock()
			time.Sleep(500 * time.Millisecond)
			fl.startInstance(in)
		})
	}
	for range fs.freezes {
		atRandomTime(func(in *simInstance) {
			fl.mu.Lock()
			defer fl.mu.Unlock()
			in.frozenUntil = time.Now().Add(2500 * time.Millisecond)
			in.disturbedAt = in.frozenUntil
		})
	}
	for range fs.cuts {
		atRandomTime(func(in *simInstance) {
			fl.mu.Lock()
			in.partitioned = true
			fl.mu.Unlock()
			time.Sleep(3 * time.Second)
			fl.mu.Lock()
			in.partitioned = false
			process, cs := in.process, in.components
			fl.mu.Unlock()
			fl.announceLoads(in, process, cs)
		})
	}
}

// disturbedSince reports whether a process has ended, or its instance was frozen, since a time.
func (fl *simFleet) disturbedSince(from simProcess, since time.Time) bool {
	in := fl.instances[from.instance]
	return in.process != from.number || in.disturbedAt.After(since)
}

// check checks all exchanges and calls of a simulation.
func (fs fleetScenario) check(t *testing.T, fl *simFleet) {
	g := NewWithT(t)
	worst, exchanges, inUse := 0, 0, 0
	for _, tg := range fl.targets {
		exchanges += len(tg.exchanges)
		g.Expect(tg.countSentAfterLeaving(fl)).To(BeZero(), "requests to %s after it reported that it is leaving", tg.Name)
		worst = max(worst, tg.maxInOneBackOff(fl))
		if tg.servedAfter(fl.startedAt.Add(simStatesEnd + maxRecoveryTime)) {
			inUse++
		}
		for _, in := range fl.instances {
			g.Expect(in.canSendTo(tg.ID)).To(BeTrue(), "instance %d still sends nothing to %s", in.index, tg.Name)
		}
	}
	// A tenth of the targets may get no request in this short time by chance.
	g.Expect(inUse).To(BeNumerically(">=", 9*fs.targets/10), "targets in use again")
	g.Expect(worst).To(BeNumerically("<=", maxRequestsInBackOff), "requests in one back-off")
	served, unserved, unexpectedlyShed := 0, 0, 0
	for _, ca := range fl.calls {
		switch {
		case ca.served:
			served++
		case ca.instanceEnded || fl.disturbedSince(ca.process, ca.sentAt):
		default:
			unserved++
			if ca.shedUnexpectedly() {
				unexpectedlyShed++
			}
		}
	}
	t.Logf("%d exchanges, %d served, %d not, %d of them shed by a target not known to shed, at most %d in one back-off", exchanges, served, unserved, unexpectedlyShed, worst)
	if fs.leavingCount+fs.sheddingCount < fs.targets {
		g.Expect(unserved-unexpectedlyShed).To(BeZero(), "requests not served while other targets have room")
		g.Expect(float64(unserved)).To(BeNumerically("<=", 0.01*float64(served)))
	}
}

// servedAfter reports whether a request arrived at the target after a time.
func (tg *simTarget) servedAfter(at time.Time) bool {
	return len(tg.exchanges) > 0 && tg.exchanges[len(tg.exchanges)-1].arrivedAt.After(at)
}

// canSendTo reports whether an instance may send requests to a target and assumes no load there that is left over from a back-off.
func (in *simInstance) canSendTo(id string) bool {
	ph, _ := in.recorder.BackOffs.Phase(id)
	_, loaded := in.dispatcher.OwnLoads()[id]
	return ph != backoff.Blocked && !loaded
}

// shedUnexpectedly reports whether the target that last shed the call was not known by its process to shed.
func (ca *simCall) shedUnexpectedly() bool {
	return len(ca.refusals) > 0 && !ca.refusals[len(ca.refusals)-1].expected
}

// countSentAfterLeaving counts the requests that callers sent more than maxLeavingDelay after their process had recorded that the
// incarnation is leaving.
func (tg *simTarget) countSentAfterLeaving(fl *simFleet) int {
	recorded := map[simProcess]time.Time{}
	late := 0
	for _, ex := range tg.exchanges {
		at, known := recorded[ex.process]
		if known && ex.sentAt.Sub(at) > maxLeavingDelay && ex.incarnation != "" && tg.reportedLeaving(ex) && !fl.disturbedSince(ex.process, at) {
			late++
		}
		if ex.leaving && !ex.recordedAt.IsZero() && !known {
			recorded[ex.process] = ex.recordedAt
		}
	}
	return late
}

// reportedLeaving reports whether the incarnation of an exchange ever reported that it is leaving.
func (tg *simTarget) reportedLeaving(ex simExchange) bool {
	for _, other := range tg.exchanges {
		if other.leaving && other.incarnation == ex.incarnation {
			return true
		}
	}
	return false
}

// maxInOneBackOff returns the largest number of requests of one process in one back-off, without those in flight at its start.
func (tg *simTarget) maxInOneBackOff(fl *simFleet) int {
	worst := 0
	for no, ex := range tg.exchanges {
		if ex.backOff == 0 || ex.answeredAt.IsZero() {
			continue
		}
		n := 0
		for _, later := range tg.exchanges[no:] {
			in := later.arrivedAt.After(ex.answeredAt.Add(inFlightTime)) && later.arrivedAt.Before(ex.answeredAt.Add(ex.backOff))
			if in && later.process == ex.process && !fl.disturbedSince(ex.process, ex.answeredAt) {
				n++
			}
		}
		worst = max(worst, n)
	}
	return worst
}
