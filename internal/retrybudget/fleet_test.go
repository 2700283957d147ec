package retrybudget_test

import (
	"flag"
	"testing"
	"time"

	. "github.com/onsi/gomega"
)

var (
	firstSeed = flag.Uint64("ledger.first", 0, "first seed of the simulated fleets")
	seedCount = flag.Uint64("ledger.seeds", 2, "number of seeds of the simulated fleets")
)

// simFaults are the faults that a simulated fleet can have. Each takes the fleet through a few seconds with failing requests.
var simFaults = []func(sf *simFleet, load map[string]float64){
	func(sf *simFleet, load map[string]float64) { sf.run(2*time.Second, load, 0.9) },
	func(sf *simFleet, load map[string]float64) { sf.run(time.Second, load, 0) },
	func(sf *simFleet, load map[string]float64) {
		sf.restart(1)
		sf.run(time.Duration(sf.rng.IntN(4000))*time.Millisecond, load, 0.9)
	},
	func(sf *simFleet, load map[string]float64) {
		for range 4 {
			sf.restart(0.3)
			sf.run(700*time.Millisecond, load, 0.9)
		}
	},
	func(sf *simFleet, load map[string]float64) {
		sf.zoneCut = sf.rng.IntN(simZones)
		sf.run(3*time.Second, load, 0.9)
		sf.restart(0.5)
		sf.run(2*time.Second, load, 0.9)
		sf.zoneCut = -1
	},
	func(sf *simFleet, load map[string]float64) {
		in := sf.instances[sf.rng.IntN(len(sf.instances))]
		in.peersCut, in.storeCut = true, sf.rng.IntN(2) == 0
		sf.run(4*time.Second, load, 0.9)
		in.peersCut, in.storeCut = false, false
	},
	func(sf *simFleet, load map[string]float64) {
		sf.store.down = true
		sf.run(3*time.Second, load, 0.9)
		sf.store.down = false
	},
	func(sf *simFleet, load map[string]float64) {
		sf.store.loseAnswers = 0.5
		sf.run(2*time.Second, load, 0.9)
		sf.store.loseAnswers = 0
	},
	func(sf *simFleet, load map[string]float64) {
		for range len(sf.instances) / 2 {
			sf.instances = append(sf.instances, sf.start(sf.rng.IntN(simZones)))
		}
		sf.run(2*time.Second, load, 0.9)
		sf.instances = sf.instances[len(sf.instances)/3:]
		sf.run(2*time.Second, load, 0.9)
	},
}

// TestRetriesOfSimulatedFleetStayWithinBound takes fleets through series of faults. Whatever happens to the instances, the retries of each
// service stay within the bound of the fleet in every window.
func TestRetriesOfSimulatedFleetStayWithinBound(t *testing.T) {
	tests := map[string]struct {
		instances int
		floor     float64
		load      map[string]float64
	}{
		"six instances":  {6, 106, map[string]float64{"a": 66, "b": 12}},
		"nine instances": {9, 100, map[string]float64{"a": 40, "b": 40}},
		"72 instances":   {72, 228, map[string]float64{"a": 110, "b": 20}},
		"hundreds":       {295, 660, map[string]float64{"a": 300}},
		"a thousand":     {985, 1040, map[string]float64{"a": 300}},
	}
	for name, tc := range tests {
		t.Run(name, func(t *testing.T) {
			t.Parallel()
			g := NewWithT(t)
			for seed := *firstSeed; seed < *firstSeed+*seedCount; seed++ {
				sf := newSimFleet(seed, tc.instances, tc.floor)
				for range 8 {
					simFaults[sf.rng.IntN(len(simFaults))](sf, tc.load)
				}
				for service := range tc.load {
					g.Expect(sf.excess(service)).To(BeNumerically("<=", 0), "%s, service %s, seed %d", name, service, seed)
				}
				g.Expect(sf.store.maxBytes).To(BeNumerically("<", 8<<10), "%s, seed %d: bytes of a page", name, seed)
			}
		})
	}
}

// TestEveryInstanceOfLargeFleetCanRetry guards against a fleet so large that no instance may retry: the part of the floor of one instance is
// less than a retry. Neighbouring instances fail one after the other.
func TestEveryInstanceOfLargeFleetCanRetry(t *testing.T) {
	tests := map[string]struct {
		instances int
		floor     float64
	}{
		"few instances": {8, 104},
		"dozens":        {72, 220},
		"hundreds":      {295, 660},
		"a thousand":    {985, 1040},
		"two thousand":  {1970, 1040},
	}
	for name, tc := range tests {
		t.Run(name, func(t *testing.T) {
			g := NewWithT(t)
			sf := newSimFleet(1, tc.instances, tc.floor)
			sf.run(3*time.Second, nil, 0)
			for i := range int(0.54 * tc.floor) {
				g.Expect(sf.retry(sf.instances[i%tc.instances], "a")).To(BeTrue(), "retry %d", i)
			}
		})
	}
}

// TestOneInstanceCanUseWhatTheFleetHas guards against retries that are denied to the one instance with failures while no other needs any.
func TestOneInstanceCanUseWhatTheFleetHas(t *testing.T) {
	g := NewWithT(t)
	sf := newSimFleet(1, 72, 220)
	sf.run(3*time.Second, nil, 0)
	for i := range int(0.54 * sf.floor) {
		g.Expect(sf.retry(sf.instances[0], "a")).To(BeTrue(), "retry %d", i)
	}
}
