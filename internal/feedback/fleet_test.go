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
	// leavingBound is the time after an instance passed on that a target leaves from which its callers' requests must not go there.
	maxLeavingDelay = 2 * time.Second
	// underWay is the time after a target turned an instance away in which requests may still come, and mostInBackOff how many may after it.
	inFlightTime         = 500 * time.Millisecond
	maxRequestsInBackOff = 2
	// inUseAfter is the time after targets cease to speak of themselves from which they must be in use.
	maxRecoveryTime = 5 * time.Second
)

// fleetPlay is one fleet, and what its targets say.
type fleetScenario struct {
	instances, targets int
	// leave and away are how many targets say that they leave, and turn requests away.
	leavingCount, sheddingCount int
	// perSecond is how many requests come to all instances.
	requestsPerSecond int
	disturbances
}

// calm is a play in which only targets speak.
func newScenario(instances, count, perSecond int) fleetScenario {
	return fleetScenario{instances: instances, targets: count, leavingCount: count / 6, sheddingCount: count / 4, requestsPerSecond: perSecond}
}

func (fs fleetScenario) withDisturbances(tr disturbances) fleetScenario {
	fs.disturbances = tr
	return fs
}

// all makes all targets turn requests away.
func (fs fleetScenario) withAllShedding() fleetScenario {
	fs.leavingCount, fs.sheddingCount = 0, fs.targets
	return fs
}

// TestFleetHeedsWhatTargetsSay checks each exchange of fleets whose store lists all targets as ready.
func TestFleetRespectsLeavingAndBackOff(t *testing.T) {
	everything := disturbances{kills: 4, freezes: 4, cuts: 4, storeSilent: true}
	plays := map[string]fleetScenario{
		"6":                         newScenario(6, 12, 150),
		"6, the store is away":      newScenario(6, 12, 150).withDisturbances(disturbances{storeSilent: true}),
		"6, kills, freezes, cuts":   newScenario(6, 12, 150).withDisturbances(everything),
		"6, all turn away":          newScenario(6, 12, 150).withAllShedding(),
		"72":                        newScenario(72, 60, 300),
		"72, kills, freezes, cuts":  newScenario(72, 60, 300).withDisturbances(everything),
		"72, all turn away":         newScenario(72, 60, 100).withAllShedding(),
		"295, kills, freezes, cuts": newScenario(295, 120, 600).withDisturbances(everything),
	}
	for name, fp := range plays {
		t.Run(name, func(t *testing.T) {
			synctest.Test(t, func(t *testing.T) { fp.run(t, 1) })
		})
	}
}

// play runs the fleet to its end and checks it.
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

// speak lets targets speak of themselves for a while. Those that left are replaced.
func (fs fleetScenario) runTargetStates(fl *simFleet) {
	time.Sleep(simStatesBegin)
	fl.mu.Lock()
	fl.storeSilent = fs.storeSilent
	fl.mu.Unlock()
	for no, tg := range fl.targets[:fs.leavingCount+fs.sheddingCount] {
		if no < fs.leavingCount {
			tg.setState(true, 0)
		} else {
			tg.setState(false, 1200*time.Millisecond+fl.within(2*time.Second))
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

// strike spreads the troubles of the play over its time.
func (fs fleetScenario) scheduleDisturbances(fl *simFleet) {
	one := func() *simInstance { return fl.instances[int(fl.float()*float64(fs.instances))] }
	at := func(blow func(in *simInstance)) {
		fl.wg.Go(func() {
			time.Sleep(fl.within(simDuration - maxRecoveryTime))
			blow(one())
		})
	}
	for range fs.kills {
		at(func(in *simInstance) {
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
		at(func(in *simInstance) {
			fl.mu.Lock()
			defer fl.mu.Unlock()
			in.frozenUntil = time.Now().Add(2500 * time.Millisecond)
			in.disturbedAt = in.frozenUntil
		})
	}
	for range fs.cuts {
		at(func(in *simInstance) {
			fl.mu.Lock()
			in.partitioned = true
			fl.mu.Unlock()
			time.Sleep(3 * time.Second)
			fl.mu.Lock()
			in.partitioned = false
			life, be := in.process, in.components
			fl.mu.Unlock()
			fl.announceLoads(in, life, be)
		})
	}
}

// excused reports whether an instance was started anew or frozen since a time.
func (fl *simFleet) disturbedSince(from simProcess, since time.Time) bool {
	in := fl.instances[from.instance]
	return in.process != from.number || in.disturbedAt.After(since)
}

// check looks at each exchange and at each call.
func (fs fleetScenario) check(t *testing.T, fl *simFleet) {
	g := NewWithT(t)
	worst, exchanges, inUse := 0, 0, 0
	for _, tg := range fl.targets {
		exchanges += len(tg.exchanges)
		g.Expect(tg.countSentAfterLeaving(fl)).To(BeZero(), "requests to %s after it said that it leaves", tg.Name)
		worst = max(worst, tg.maxInOneBackOff(fl))
		if tg.servedAfter(fl.startedAt.Add(simStatesEnd + maxRecoveryTime)) {
			inUse++
		}
		for _, in := range fl.instances {
			g.Expect(in.canSendTo(tg.ID)).To(BeTrue(), "instance %d keeps %s closed", in.index, tg.Name)
		}
	}
	// Some may get none in a short time by chance.
	g.Expect(inUse).To(BeNumerically(">=", 9*fs.targets/10), "targets in use again")
	g.Expect(worst).To(BeNumerically("<=", maxRequestsInBackOff), "requests in one back-off")
	served, unserved, unlucky := 0, 0, 0
	for _, ca := range fl.calls {
		switch {
		case ca.served:
			served++
		case ca.instanceEnded || fl.disturbedSince(ca.process, ca.sentAt):
		default:
			unserved++
			if ca.shedUnexpectedly() {
				unlucky++
			}
		}
	}
	t.Logf("%d exchanges, %d served, %d not, %d of them turned away where that was not known, at most %d in one back-off", exchanges, served, unserved, unlucky, worst)
	if fs.leavingCount+fs.sheddingCount < fs.targets {
		g.Expect(unserved-unlucky).To(BeZero(), "callers not served while others have room")
		g.Expect(float64(unserved)).To(BeNumerically("<=", 0.01*float64(served)))
	}
}

// usedAfter reports whether a request came to the target after a time.
func (tg *simTarget) servedAfter(at time.Time) bool {
	return len(tg.exchanges) > 0 && tg.exchanges[len(tg.exchanges)-1].arrivedAt.After(at)
}

// opens reports whether an instance may send requests to a target, and sees no load there that a back-off left behind.
func (in *simInstance) canSendTo(id string) bool {
	ph, _ := in.recorder.BackOffs.Phase(id)
	_, loaded := in.dispatcher.OwnLoads()[id]
	return ph != backoff.Blocked && !loaded
}

// metUnknown reports whether a call was turned away at last by a target that had not turned its instance away before.
func (ca *simCall) shedUnexpectedly() bool {
	return len(ca.refusals) > 0 && !ca.refusals[len(ca.refusals)-1].expected
}

// sentAfterWord counts requests sent later than the bound after their instance had passed on that the incarnation leaves.
func (tg *simTarget) countSentAfterLeaving(fl *simFleet) int {
	told := map[simProcess]time.Time{}
	late := 0
	for _, ex := range tg.exchanges {
		at, is := told[ex.process]
		if is && ex.sentAt.Sub(at) > maxLeavingDelay && ex.incarnation != "" && tg.reportedLeaving(ex) && !fl.disturbedSince(ex.process, at) {
			late++
		}
		if ex.leaving && !ex.recordedAt.IsZero() && !is {
			told[ex.process] = ex.recordedAt
		}
	}
	return late
}

// saidBy reports whether the incarnation of an exchange is one that leaves.
func (tg *simTarget) reportedLeaving(ex simExchange) bool {
	for _, other := range tg.exchanges {
		if other.leaving && other.incarnation == ex.incarnation {
			return true
		}
	}
	return false
}

// worstBackOff returns the most requests of one instance in one back-off, but for those under way at its beginning.
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
