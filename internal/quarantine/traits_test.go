package quarantine_test

import (
	"fmt"
	"math/rand/v2"
	"testing"
	"time"

	. "github.com/onsi/gomega"

	"github.com/silvermount/silvermount/internal/fingerprint"
)

// turningPart is the part that turns fatal after the warm-up.
var turningPart = fingerprint.OfPart("second-0")

// seedCount is how many seeds of each simulated fleet are played.
const seedCount = 4

// traitsOf returns the traits of a prompt of the usual caller and path.
func traitsOf(parts ...string) []fingerprint.Fingerprint {
	list := []fingerprint.Fingerprint{fingerprint.OfOrganisation("red"), fingerprint.OfPath(fingerprint.Request{RequestURI: "/chat"})}
	for _, id := range parts {
		list = append(list, fingerprint.OfPart(id))
	}
	return list
}

// promptTraits are those of prompts that begin with the same part. Fatal prompts go on with a fatal part, the others with one of eight.
func promptTraits(rd *rand.Rand, fatal int) []fingerprint.Fingerprint {
	if fatal >= 0 {
		return traitsOf("first", fmt.Sprint("bad-", fatal))
	}
	return traitsOf("first", fmt.Sprint("second-", rd.IntN(8)))
}

// TestSimulatedFleetsWithFatalTraits checks fleets in which targets crash under something that requests have in common, while no two
// requests are alike: harmless requests are never refused, and the trait is quarantined in time.
func TestSimulatedFleetsWithFatalTraits(t *testing.T) {
	usual := scenario{
		instances: 8, targets: 18, fatal: 1, fatalRate: 5, repeated: 10, meanDuration: 300 * time.Millisecond,
		maxGossipDelay: 50 * time.Millisecond, traits: promptTraits, crashLimit: 5, warmUp: 15 * time.Second,
	}
	with := func(edit func(*scenario)) scenario {
		sc := usual
		edit(&sc)
		return sc
	}
	cases := map[string]scenario{
		"one part":                            usual,
		"one part, at the start of the fleet": with(func(sc *scenario) { sc.warmUp = 0 }),
		"three parts":                         with(func(sc *scenario) { sc.fatal = 3 }),
		"one part, other crashes":             with(func(sc *scenario) { sc.crashRate = 1 }),
		"three parts, other crashes":          with(func(sc *scenario) { sc.fatal, sc.crashRate = 3, 1 }),
		"high rate":                           with(func(sc *scenario) { sc.fatalRate = 30 }),
		"low rate":                            with(func(sc *scenario) { sc.fatalRate = 1 }),
		"few targets":                         with(func(sc *scenario) { sc.targets = 6 }),
		"few targets, three parts":            with(func(sc *scenario) { sc.targets, sc.fatal = 6, 3 }),
		"long requests":                       with(func(sc *scenario) { sc.meanDuration = 2 * time.Second }),
		"many instances, slow gossip":         with(func(sc *scenario) { sc.instances, sc.maxGossipDelay = 24, 150*time.Millisecond }),
		"many crashes, no fatal part":         with(func(sc *scenario) { sc.fatal, sc.crashRate, sc.targets = 0, 2.5, 12 }),
		"many crashes, long requests":         with(func(sc *scenario) { sc.fatal, sc.crashRate, sc.meanDuration = 0, 2.5, 2*time.Second }),
		"a part turns fatal":                  with(func(sc *scenario) { sc.fatal, sc.turning = 0, turningPart }),
		"a part turns fatal, others crash":    with(func(sc *scenario) { sc.fatal, sc.turning, sc.crashRate = 0, turningPart, 1 }),
		"beside a harmless part": with(func(sc *scenario) {
			sc.traits = func(rd *rand.Rand, fatal int) []fingerprint.Fingerprint {
				switch {
				case fatal >= 0 && rd.IntN(5) > 0:
					return traitsOf("first", "companion", "bad-0")
				case fatal < 0 && rd.IntN(2) > 0:
					return traitsOf("first", "companion", fmt.Sprint("second-", rd.IntN(8)))
				}
				return promptTraits(rd, fatal)
			}
		}),
		"always beside a rare harmless part": with(func(sc *scenario) {
			sc.traits = func(rd *rand.Rand, fatal int) []fingerprint.Fingerprint {
				switch {
				case fatal >= 0:
					return traitsOf("first", "companion", "bad")
				case rd.IntN(100) == 0:
					return traitsOf("first", "companion")
				}
				return promptTraits(rd, fatal)
			}
		}),
		"at the start of the prompt": with(func(sc *scenario) {
			sc.traits = func(rd *rand.Rand, fatal int) []fingerprint.Fingerprint {
				if fatal >= 0 {
					return traitsOf("bad", "first")
				}
				return promptTraits(rd, fatal)
			}
		}),
		"alone": with(func(sc *scenario) {
			sc.traits = func(rd *rand.Rand, fatal int) []fingerprint.Fingerprint {
				if fatal >= 0 {
					return traitsOf("bad")
				}
				return promptTraits(rd, fatal)
			}
		}),
		"in the prompts of several callers": with(func(sc *scenario) {
			sc.traits = func(rd *rand.Rand, fatal int) []fingerprint.Fingerprint {
				return append(promptTraits(rd, fatal)[1:], fingerprint.OfOrganisation(fmt.Sprint("caller-", rd.IntN(6))))
			}
		}),
		"a path": with(func(sc *scenario) {
			sc.traits = func(rd *rand.Rand, fatal int) []fingerprint.Fingerprint {
				if fatal >= 0 {
					return []fingerprint.Fingerprint{fingerprint.OfOrganisation("red"), fingerprint.OfPath(fingerprint.Request{RequestURI: "/bad"})}
				}
				return promptTraits(rd, fatal)
			}
		}),
	}
	for name, sc := range cases {
		t.Run(name, func(t *testing.T) {
			t.Parallel()
			for seed := range uint64(seedCount) {
				sm := newSimulation(seed, sc)
				sm.run(sc.warmUp + 20*time.Second)
				sm.checkResults(t, seed)
			}
		})
	}
}

// TestPathThatTurnsFatalIsQuarantined guards against a path that crashes targets without end, because the instances refute its quarantine
// on the tombstones that they told each other, after the last answer to it is long past.
func TestPathThatTurnsFatalIsQuarantined(t *testing.T) {
	t.Parallel()
	g := NewWithT(t)
	path := fingerprint.OfPath(fingerprint.Request{RequestURI: "/bad"})
	sm := newSimulation(1, scenario{
		instances: 12, targets: 18, repeated: 10, meanDuration: 300 * time.Millisecond, maxGossipDelay: 150 * time.Millisecond,
		crashLimit: 5, warmUp: 15 * time.Second, turning: path,
		traits: func(rd *rand.Rand, fatal int) []fingerprint.Fingerprint {
			if rd.IntN(80) == 0 {
				return []fingerprint.Fingerprint{fingerprint.OfOrganisation("red"), path}
			}
			return promptTraits(rd, fatal)
		},
	})
	sm.run(sm.warmUp + 75*time.Second)
	t.Logf("crashes %v, late runs %v", sm.crashes, sm.lateRuns)
	for i, in := range sm.fleet {
		_, refused := in.Refused(setOf(request("another"), path, fingerprint.OfOrganisation("red")))
		g.Expect(refused).To(BeTrue(), "instance %d", i)
	}
	g.Expect(sm.refused).To(BeEmpty())
}
