package dispatch_test

import (
	"testing"
	"time"

	. "github.com/onsi/gomega"
)

// TestSimulatedQueueKeepsGoodput guards against a queue that costs goodput where slots are not what short prompts lack: after a wave of long
// prompts, short ones arrive at 2.5 times their rate. Requests that waited until they were late, and instances that chose the same slot at the
// same moment, took up to a tenth of the responses in time. The bound leaves room for the differences between runs of one seed, which come from
// the order of what happens at the same moment: up to 0.16 for one seed and number of instances, and about half of that for the sum.
func TestSimulatedQueueKeepsGoodput(t *testing.T) {
	longWave := map[requestClass]float64{shortClass: 27, middleClass: 17, longClass: 8}
	shortWave := map[requestClass]float64{shortClass: 230, middleClass: 6, longClass: 0.1}
	without, with := 0, 0
	for _, instances := range []int{9, 72} {
		tp := trafficPattern{instances: instances, targets: 60, phases: []trafficPhase{{2 * time.Second, longWave}, {2 * time.Second, shortWave}}}
		without += simulateSeeds(t, tp, 1, 2).byClass[shortClass].inTime
		tp.queue = true
		with += simulateSeeds(t, tp, 1, 2).byClass[shortClass].inTime
	}
	t.Logf("short prompts in time: %d without the queue, %d with it", without, with)
	NewWithT(t).Expect(float64(with)).To(BeNumerically(">=", 0.85*float64(without)))
}
