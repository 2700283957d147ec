package dispatch_test

import (
	"testing"
	"time"

	. "github.com/onsi/gomega"
)

// longWave and shortWave are the two halves of a swing, in requests a second before 60 targets.
var (
	longWave  = map[class]float64{shortClass: 25, middleClass: 16, longClass: 5.4}
	shortWave = map[class]float64{shortClass: 190, middleClass: 6, longClass: 0.1}
)

// swing is a wave of long prompts, one of short ones, and again one of long ones.
func swing(instances int) pattern {
	return pattern{instances: instances, targets: 60, phases: []phase{
		{4 * time.Second, longWave}, {3 * time.Second, shortWave}, {4 * time.Second, longWave},
	}}
}

// play replays a pattern with some seeds, and adds up what became of it.
func play(t *testing.T, pa pattern, seeds ...uint64) *replayed {
	t.Helper()
	all := &replayed{byClass: map[class]*tally{}, arrivals: map[string]int{}}
	for _, seed := range seeds {
		all.add(replay(t, seed, pa))
	}
	t.Logf("%d instances, %d targets:\n%s", pa.instances, pa.targets, all)
	return all
}

// TestReplayOfASwing plays the same rate before 9 and before 24 instances.
func TestReplayOfASwing(t *testing.T) {
	for _, instances := range []int{9, 24} {
		rp := play(t, swing(instances), 1)
		NewWithT(t).Expect(rp.worth()).To(BeNumerically(">=", 0.81), "%d instances", instances)
	}
}

// TestReplayOfTheLongestAtTheEndOfAWave.
//
// In a wave of long prompts the longest waited for 9 to 13 s, while what came later took the room, were refused when nothing could be
// done any more, came back and were refused at once: 22 of 106. Once they are late, serving them is worth a part of what the refusal
// would cost besides.
func TestReplayOfTheLongestAtTheEndOfAWave(t *testing.T) {
	heavy := map[class]float64{shortClass: 27, middleClass: 17, longClass: 7}
	rp := play(t, pattern{instances: 24, targets: 60, phases: []phase{{6 * time.Second, heavy}, {4 * time.Second, shortWave}}}, 1, 2, 3, 4)
	ta := rp.byClass[longClass]
	NewWithT(t).Expect(ta.refused*20).To(BeNumerically("<=", ta.asked), "at most one in twenty is refused")
}

// TestReplayOfTargetsThatFailAtOnce.
//
// Four of 60 targets reset every connection and said that they were well. They looked idle, and each instance had to learn that alone:
// they took 14 of 100 arrivals, more than twice their share, and short requests failed for want of a retry.
func TestReplayOfTargetsThatFailAtOnce(t *testing.T) {
	const failing = 4
	pa := pattern{instances: 24, targets: 60, failing: failing, phases: []phase{{3 * time.Second, longWave}, {2 * time.Second, shortWave}}}
	rp := play(t, pa, 1, 2)
	arrivals, all := 0, 0
	for name, n := range rp.arrivals {
		all += n
		for no := range failing {
			if name == id(no) {
				arrivals += n
			}
		}
	}
	g := NewWithT(t)
	g.Expect(arrivals*pa.targets).To(BeNumerically("<=", failing*all), "no more than their share comes there: %d of %d", arrivals, all)
	g.Expect(rp.byClass[shortClass].failed).To(BeZero())
}
