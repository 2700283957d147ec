package gradualreturn_test

import (
	"fmt"
	"math/rand/v2"
	"testing"
	"time"

	. "github.com/onsi/gomega"

	"github.com/silvermount/silvermount/internal/gradualreturn"
	"github.com/silvermount/silvermount/internal/permit"
	"github.com/silvermount/silvermount/internal/ratelimit"
)

const (
	tick           = 5 * time.Millisecond
	updateInterval = 25 * time.Millisecond
	reportInterval = 100 * time.Millisecond
	// returnAt is when the targets return; the fleet has settled by then.
	returnAt   = 5 * time.Second
	simSlots   = 12
	answerTime = 2400 * time.Millisecond
	firstToken = 120 * time.Millisecond
	// utilisation is the share of all slots that the demand needs if a scenario does not state another.
	utilisation = 0.6
	stopPermits = 2 * time.Second
	maxDuration = time.Hour
)

// scenario is a fleet in which some targets return.
type scenario struct {
	instances, targets, returning int
	// utilisation is the share of all slots that the demand needs.
	utilisation float64
	// loadDelay is how late instances know of each other's loads.
	loadDelay time.Duration
	// unlimited disables the part.
	unlimited bool
	// failing targets break off each request after it was sent, slow ones take so many times longer.
	failing bool
	slow    float64
	// flapPeriod is the period in which the targets go and return; zero for a single return.
	flapPeriod time.Duration
	// issuerDies is set if the issuer of all permits stops when the targets return, and another takes over after stopPermits.
	issuerDies bool
	// cutOff is the number of instances that the others, and the issuer of the others, cannot reach.
	cutOff int
}

// flight is a request at a target.
type flight struct {
	target, instance int
	// firstAt is when its first token is due, endsAt when it ends.
	firstAt, endsAt time.Duration
	answered        bool
}

// fleet runs a scenario on a simulated clock.
type fleet struct {
	scenario
	rd      *rand.Rand
	at      time.Duration
	flights []*flight
	// loads holds the requests at each target after each tick.
	loads       [][]int
	arrivals    [][]time.Duration
	controllers []*gradualreturn.Controller
	limits      []map[string]float64
	// blockedUntil is when each instance may ask for another permit of each target.
	blockedUntil []map[int]time.Duration
	issuers      map[int]*permit.Issuer
	// reported is set for the instances whose peers hold outcomes of theirs.
	reported []bool
	// refused counts the requests for which no target had room, refusedAfter those of them after the return.
	refused, refusedAfter int
	// admissible is the sum over time of the limit at the issuer for the first returning target, by tick.
	admissible []float64
}

func (fl *fleet) now() time.Time { return time.Unix(1000, 0).Add(fl.at) }

// runFleet runs a scenario until a time after the return.
func runFleet(sc scenario, after time.Duration) *fleet {
	if sc.utilisation == 0 {
		sc.utilisation = utilisation
	}
	fl := &fleet{scenario: sc, rd: rand.New(rand.NewPCG(1, 2)), arrivals: make([][]time.Duration, sc.targets), reported: make([]bool, sc.instances), issuers: map[int]*permit.Issuer{}}
	for range sc.instances {
		fl.controllers = append(fl.controllers, gradualreturn.NewController())
		fl.limits = append(fl.limits, nil)
		fl.blockedUntil = append(fl.blockedUntil, map[int]time.Duration{})
	}
	for i := range sc.cutOff + 2 {
		fl.issuers[i] = permit.NewIssuer(fl.now)
	}
	for fl.at < returnAt+after {
		fl.endFlights()
		fl.update()
		fl.sendRequests()
		loads := make([]int, sc.targets)
		for _, ft := range fl.flights {
			loads[ft.target]++
		}
		fl.loads = append(fl.loads, loads)
		fl.admissible = append(fl.admissible, fl.limits[fl.issuerOf(0)][targetID(0)])
		fl.at += tick
	}
	return fl
}

func targetID(i int) string { return fmt.Sprint("target-", i) }

// isAway reports whether a target is away now.
func (fl *fleet) isAway(target int) bool {
	if target >= fl.returning {
		return false
	}
	if fl.flapPeriod > 0 && fl.at >= returnAt {
		return (fl.at-returnAt)%fl.flapPeriod > fl.flapPeriod/2
	}
	return fl.at >= returnAt-time.Second && fl.at < returnAt
}

// endFlights records first tokens and removes the requests that are over.
func (fl *fleet) endFlights() {
	kept := fl.flights[:0]
	for _, ft := range fl.flights {
		bad := fl.failing && ft.target < fl.returning && fl.at >= returnAt
		if !ft.answered && fl.at >= ft.firstAt {
			ft.answered = true
			good, slow := gradualreturn.Judge(firstToken, ft.firstAt-(ft.endsAt-fl.serviceTime(ft.target)))
			fl.controllers[ft.instance].Record(targetID(ft.target), good && !bad, bad || slow)
		}
		if fl.at < ft.endsAt && (!bad || !ft.answered) && !fl.isAway(ft.target) {
			kept = append(kept, ft)
		}
	}
	fl.flights = kept
}

func (fl *fleet) slowdown(target int) float64 {
	if target < fl.returning && fl.slow > 0 {
		return fl.slow
	}
	return 1
}

func (fl *fleet) serviceTime(target int) time.Duration {
	return time.Duration(fl.slowdown(target) * float64(answerTime))
}

// update has the controllers see the targets, and exchanges reports.
func (fl *fleet) update() {
	if fl.unlimited || fl.at%updateInterval != 0 {
		return
	}
	known := fl.knownLoads()
	all := make([]gradualreturn.Target, fl.targets)
	for i := range all {
		all[i] = gradualreturn.Target{ID: targetID(i), Service: "s", Slots: simSlots, AnswerTime: answerTime, InFlight: known[i]}
		if fl.isAway(i) {
			all[i].Away = "gone"
		}
	}
	for i, co := range fl.controllers {
		co.Update(fl.now(), all)
		fl.limits[i] = co.Limits()
	}
	if fl.at%reportInterval == 0 {
		fl.exchange()
	}
	for _, is := range fl.issuers {
		is.Tick()
	}
}

// exchange sends the outcomes of each instance to the others of its side.
func (fl *fleet) exchange() {
	for i, from := range fl.controllers {
		own := from.Own()
		if len(own) == 0 && !fl.reported[i] {
			continue
		}
		fl.reported[i] = len(own) > 0
		for j, to := range fl.controllers {
			if i != j && (i < fl.cutOff) == (j < fl.cutOff) {
				to.SetPeer(fmt.Sprint(i), own)
			}
		}
	}
}

// knownLoads returns the loads that all instances know.
func (fl *fleet) knownLoads() []int {
	ago := int(fl.loadDelay / tick)
	if len(fl.loads) <= ago {
		return make([]int, fl.targets)
	}
	return fl.loads[len(fl.loads)-1-ago]
}

// sendRequests sends the requests of a tick, each from a random instance.
func (fl *fleet) sendRequests() {
	perTick := fl.utilisation * float64(fl.targets*simSlots) / answerTime.Seconds() * tick.Seconds()
	for perTick > fl.rd.Float64() {
		perTick--
		fl.sendRequest(fl.rd.IntN(fl.instances))
	}
}

// sendRequest sends a request to the target with the lowest known load for which there is a permit.
func (fl *fleet) sendRequest(instance int) {
	loads := fl.knownLoads()
	tried := map[int]bool{}
	for {
		best := -1
		offset := fl.rd.IntN(fl.targets)
		for k := range fl.targets {
			i := (k + offset) % fl.targets
			if !tried[i] && !fl.isAway(i) && fl.blockedUntil[instance][i] <= fl.at && (best < 0 || loads[i] < loads[best]) && loads[i] < simSlots {
				best = i
			}
		}
		if best < 0 {
			fl.refused++
			if fl.at >= returnAt {
				fl.refusedAfter++
			}
			return
		}
		if fl.hasPermit(instance, best) {
			slow := fl.slowdown(best)
			fl.arrivals[best] = append(fl.arrivals[best], fl.at)
			fl.flights = append(fl.flights, &flight{
				target: best, instance: instance, firstAt: fl.at + time.Duration(slow*float64(firstToken)), endsAt: fl.at + fl.serviceTime(best),
			})
			return
		}
		tried[best] = true
	}
}

// issuerOf returns the instance that issues the permits for an instance.
func (fl *fleet) issuerOf(instance int) int {
	switch {
	case instance < fl.cutOff:
		return 0
	case fl.issuerDies && fl.at >= returnAt+stopPermits:
		return fl.cutOff + 1
	default:
		return fl.cutOff
	}
}

// hasPermit reports whether an instance may send a request to a target now.
func (fl *fleet) hasPermit(instance, target int) bool {
	limit, limited := fl.limits[instance][targetID(target)]
	if !limited {
		return true
	}
	if fl.issuerDies && fl.at >= returnAt && fl.at < returnAt+stopPermits {
		fl.blockedUntil[instance][target] = fl.at + 500*time.Millisecond
		return false
	}
	issuer := fl.issuerOf(instance)
	if own, ok := fl.limits[issuer][targetID(target)]; ok {
		limit = own
	}
	share := permit.LimitShare(fl.instances-fl.cutOff, fl.instances)
	if instance < fl.cutOff {
		share = permit.LimitShare(fl.cutOff, fl.instances)
	}
	dc := fl.issuers[issuer].Issue(targetID(target), ratelimit.PerSecond(limit), share, 0)
	if !dc.Granted {
		fl.blockedUntil[instance][target] = fl.at + max(dc.Delay, time.Millisecond)
	}
	return dc.Granted
}

// loadAt returns the mean load of the returning and of the other targets some time after the return.
func (fl *fleet) loadAt(after time.Duration) (returning, others float64) {
	for i, n := range fl.loads[int((returnAt+after)/tick)-1] {
		if i < fl.returning {
			returning += float64(n) / float64(fl.returning)
		} else {
			others += float64(n) / float64(fl.targets-fl.returning)
		}
	}
	return returning, others
}

// timeTo returns how long after the return the returning targets carried a share of the mean load of the others for the first time.
func (fl *fleet) timeTo(share float64) time.Duration {
	for after := tick; returnAt+after <= fl.at; after += tick {
		if load, others := fl.loadAt(after); load >= share*others {
			return after
		}
	}
	return maxDuration
}

// maxArrivals returns the greatest number of requests that arrived at a returning target in a period after the return.
func (fl *fleet) maxArrivals(from, period time.Duration) (most int) {
	for i := range fl.returning {
		n := 0
		for _, at := range fl.arrivals[i] {
			if at >= returnAt+from && at < returnAt+from+period {
				n++
			}
		}
		most = max(most, n)
	}
	return most
}

// excess returns by how many requests the arrivals at the first returning target exceed the pace in any second in which it was limited. It
// allows the two permits that an issuer may issue at once.
func (fl *fleet) excess() (most float64) {
	const perSecond, burst = int(time.Second / tick), 2
	for from := int(returnAt / tick); from+perSecond < len(fl.admissible); from++ {
		sum := 0.0
		for _, limit := range fl.admissible[from : from+perSecond] {
			if limit == 0 {
				return most
			}
			sum += limit * tick.Seconds()
		}
		n := 0
		for _, at := range fl.arrivals[0] {
			if at >= time.Duration(from)*tick && at < time.Duration(from)*tick+time.Second {
				n++
			}
		}
		most = max(most, float64(n)-sum-burst)
	}
	return most
}

// TestReturningTargetsCarryTheirShareInTime guards against targets that are left idle after their return, and against a limit that depends
// on the number of instances or of returning targets.
func TestReturningTargetsCarryTheirShareInTime(t *testing.T) {
	for _, instances := range []int{6, 72, 295} {
		for name, returning := range map[string]int{"one": 1, "a quarter": 4, "a zone": 6} {
			t.Run(fmt.Sprint(name, " of 18 targets, ", instances, " instances"), func(t *testing.T) {
				g := NewWithT(t)
				fl := runFleet(scenario{instances: instances, targets: 18, returning: returning, loadDelay: 20 * time.Millisecond}, 4*time.Second)
				t.Logf("half of the share after %s, the share after %s", fl.timeTo(0.5), fl.timeTo(1))
				g.Expect(fl.timeTo(0.5)).To(BeNumerically("<=", time.Second))
				g.Expect(fl.timeTo(1)).To(BeNumerically("<=", 3*time.Second))
				g.Expect(fl.excess()).To(BeNumerically("<=", 0))
				g.Expect(fl.maxArrivals(0, 250*time.Millisecond)).To(BeNumerically("<=", 3), "a few at a time")
				g.Expect(fl.refused).To(BeZero())
			})
		}
	}
}

// TestFailingReturnCostsItsPace guards against a target that is listed as healthy and fails every request: an idle target attracts each
// request of all instances. Without the limit it failed 99 requests in four seconds at 90 requests/s.
func TestFailingReturnCostsItsPace(t *testing.T) {
	for _, instances := range []int{6, 72, 295} {
		sc := scenario{instances: instances, targets: 18, returning: 1, failing: true, loadDelay: 20 * time.Millisecond}
		limited := runFleet(sc, 4*time.Second).maxArrivals(0, 4*time.Second)
		sc.unlimited = true
		unlimited := runFleet(sc, 4*time.Second).maxArrivals(0, 4*time.Second)
		t.Logf("%d instances: %d requests failed, %d without the limit", instances, limited, unlimited)
		NewWithT(t).Expect(limited * 10).To(BeNumerically("<=", unlimited))
	}
}

// TestFlappingTargetCostsItsPace guards against a limit that forgets with each return that the target failed before.
func TestFlappingTargetCostsItsPace(t *testing.T) {
	sc := scenario{instances: 72, targets: 18, returning: 1, failing: true, flapPeriod: time.Second, loadDelay: 20 * time.Millisecond}
	limited := runFleet(sc, 6*time.Second).maxArrivals(0, 6*time.Second)
	sc.unlimited = true
	unlimited := runFleet(sc, 6*time.Second).maxArrivals(0, 6*time.Second)
	t.Logf("%d requests failed in six returns, %d without the limit", limited, unlimited)
	NewWithT(t).Expect(limited).To(BeNumerically("<=", 6*4))
	NewWithT(t).Expect(limited * 3).To(BeNumerically("<=", unlimited))
}

// TestSlowReturnGetsLess guards against a target that returns five times slower and gets its full share, since it answers.
func TestSlowReturnGetsLess(t *testing.T) {
	sc := scenario{instances: 72, targets: 18, returning: 1, slow: 5, loadDelay: 20 * time.Millisecond}
	limited, _ := runFleet(sc, 4*time.Second).loadAt(3 * time.Second)
	sc.unlimited = true
	unlimited, _ := runFleet(sc, 4*time.Second).loadAt(3 * time.Second)
	t.Logf("%.0f requests in flight, %.0f without the limit", limited, unlimited)
	NewWithT(t).Expect(2 * limited).To(BeNumerically("<=", unlimited))
}

// TestMostTargetsReturningAtOnceCausesNoRefusals guards against a limit that keeps targets idle while the others are full.
func TestMostTargetsReturningAtOnceCausesNoRefusals(t *testing.T) {
	for _, returning := range []int{9, 12, 18} {
		for _, load := range []float64{0.6, 0.9} {
			sc := scenario{instances: 72, targets: 18, returning: returning, utilisation: load, loadDelay: 20 * time.Millisecond}
			limited := runFleet(sc, 4*time.Second).refusedAfter
			sc.unlimited = true
			NewWithT(t).Expect(limited).To(Equal(runFleet(sc, 4*time.Second).refusedAfter), "%d returning, demand %.1f", returning, load)
		}
	}
}

// TestQuarterReturningToFullFleetRefusesFew bounds the price of the limit where it binds most: the other targets are full, and nobody waits.
func TestQuarterReturningToFullFleetRefusesFew(t *testing.T) {
	fl := runFleet(scenario{instances: 72, targets: 18, returning: 4, utilisation: 0.9, loadDelay: 20 * time.Millisecond}, 4*time.Second)
	t.Logf("%d of about 320 refused in four seconds", fl.refusedAfter)
	NewWithT(t).Expect(fl.refusedAfter).To(BeNumerically("<=", 6))
}

// TestReturnSurvivesLossOfIssuer guards against a return that ends, or floods the target, when the issuer of its permits dies at that moment.
func TestReturnSurvivesLossOfIssuer(t *testing.T) {
	g := NewWithT(t)
	fl := runFleet(scenario{instances: 72, targets: 18, returning: 1, issuerDies: true, loadDelay: 20 * time.Millisecond}, 6*time.Second)
	g.Expect(fl.timeTo(1)).To(BeNumerically("<=", stopPermits+3*time.Second))
	g.Expect(fl.excess()).To(BeNumerically("<=", 0))
	g.Expect(fl.refused).To(BeZero())
}

// TestReturnSurvivesCutOffZone guards against a target that gets the pace once from each side of a cut: the smaller side of a third of the
// instances may add a third.
func TestReturnSurvivesCutOffZone(t *testing.T) {
	g := NewWithT(t)
	fl := runFleet(scenario{instances: 72, targets: 18, returning: 1, cutOff: 24, loadDelay: 20 * time.Millisecond}, 4*time.Second)
	t.Logf("half of the share after %s, the share after %s", fl.timeTo(0.5), fl.timeTo(1))
	g.Expect(fl.timeTo(1)).To(BeNumerically("<=", 3*time.Second))
	g.Expect(fl.maxArrivals(0, 250*time.Millisecond)).To(BeNumerically("<=", 4))
	g.Expect(fl.refused).To(BeZero())
}
