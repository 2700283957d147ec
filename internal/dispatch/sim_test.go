package dispatch_test

import (
	"testing"
	"time"

	. "github.com/onsi/gomega"
)

var (
	// longPromptWave and shortPromptWave are the two halves of a swing, in requests a second for 60 targets.
	longPromptWave  = map[requestClass]float64{shortClass: 25, middleClass: 16, longClass: 5.4}
	shortPromptWave = map[requestClass]float64{shortClass: 190, middleClass: 6, longClass: 0.1}
)

// swingPattern is a wave of long prompts, then one of short prompts, then another one of long prompts.
func swingPattern(instances int) trafficPattern {
	return trafficPattern{instances: instances, targets: 60, phases: []trafficPhase{
		{4 * time.Second, longPromptWave}, {3 * time.Second, shortPromptWave}, {4 * time.Second, longPromptWave},
	}}
}

// simulateSeeds runs a traffic pattern with several seeds and adds up the outcomes.
func simulateSeeds(t *testing.T, tp trafficPattern, seeds ...uint64) *simResult {
	t.Helper()
	sum := &simResult{byClass: map[requestClass]*outcomeCounts{}, arrivals: map[string]int{}}
	for _, seed := range seeds {
		sum.add(simulate(t, seed, tp))
	}
	t.Logf("%d instances, %d targets:\n%s", tp.instances, tp.targets, sum)
	return sum
}

// TestSimulatedSwingBetweenLongAndShortPrompts sends the same traffic through 9 and through 24 instances.
func TestSimulatedSwingBetweenLongAndShortPrompts(t *testing.T) {
	for _, instances := range []int{9, 24} {
		sr := simulateSeeds(t, swingPattern(instances), 1)
		NewWithT(t).Expect(sr.worthShare()).To(BeNumerically(">=", 0.81), "%d instances", instances)
	}
}

// TestSimulatedWaveDoesNotRefuseLongestPrompts guards against a fault at the end of a wave of long prompts. The longest
// prompts waited for 9 to 13 s while later requests took the room, were refused when they could no longer be answered, and
// were refused at once when retried: 22 of 106 long prompts were refused. Serving a late prompt is therefore credited with
// part of the cost that a refusal would add.
func TestSimulatedWaveDoesNotRefuseLongestPrompts(t *testing.T) {
	heavy := map[requestClass]float64{shortClass: 27, middleClass: 17, longClass: 7}
	sr := simulateSeeds(t, trafficPattern{instances: 24, targets: 60, phases: []trafficPhase{{6 * time.Second, heavy}, {4 * time.Second, shortPromptWave}}}, 1, 2, 3, 4)
	oc := sr.byClass[longClass]
	NewWithT(t).Expect(oc.refused*20).To(BeNumerically("<=", oc.total), "at most one in 20 is refused")
}

// TestSimulatedFailingTargetsAttractNoExtraRequests guards against a fault with four of 60 targets that reset every
// connection while reporting themselves healthy. They looked idle until each instance had failed there itself: they received
// 14 of 100 arrivals, more than twice their share, and short requests failed for want of another retry.
func TestSimulatedFailingTargetsAttractNoExtraRequests(t *testing.T) {
	const failing = 4
	tp := trafficPattern{instances: 24, targets: 60, failing: failing, phases: []trafficPhase{{3 * time.Second, longPromptWave}, {2 * time.Second, shortPromptWave}}}
	sr := simulateSeeds(t, tp, 1, 2)
	arrivals, sum := 0, 0
	for name, n := range sr.arrivals {
		sum += n
		for i := range failing {
			if name == id(i) {
				arrivals += n
			}
		}
	}
	g := NewWithT(t)
	g.Expect(arrivals*tp.targets).To(BeNumerically("<=", failing*sum), "failing targets must receive no more than their share: %d of %d arrivals", arrivals, sum)
	g.Expect(sr.byClass[shortClass].failed).To(BeZero())
}
