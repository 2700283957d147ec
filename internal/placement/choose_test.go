package placement

import (
	"slices"
	"testing"
	"time"

	. "github.com/onsi/gomega"
	"pgregory.net/rapid"
)

func TestChooseSplitsOnlyLongPrompts(t *testing.T) {
	cases := map[string]struct {
		pr                     Prompt
		minTargets, maxTargets int
	}{
		"a short prompt stays whole":   {shortPrompt(), 1, 1},
		"a long prompt is split":       {longPrompt(133_000), 2, MaxParts},
		"a longer prompt is split too": {longPrompt(220_000), 3, MaxParts},
	}
	for name, ca := range cases {
		t.Run(name, func(t *testing.T) {
			g := NewWithT(t)
			pl, ok := Choose(typicalEngine, ca.pr, idleTargets(18), Options{Seed: 1})
			g.Expect(ok).To(BeTrue())
			g.Expect(len(planTargets(pl))).To(And(BeNumerically(">=", ca.minTargets), BeNumerically("<=", ca.maxTargets)))
			g.Expect(pl.TimeToFirstToken).To(BeNumerically("<", ca.pr.Objective))
			g.Expect(pl.MemoryShares).To(BeEmpty())
		})
	}
}

func TestShortPromptAvoidsTargetsWithLongPrefill(t *testing.T) {
	for name, load := range map[string]Load{
		"a whole prompt": longPrompt(133_000).PrefillLoad(1),
		"a part of two":  longPrompt(133_000).HelperLoad(2),
	} {
		t.Run(name, func(t *testing.T) {
			g := NewWithT(t)
			for seed := range uint64(50) {
				ts := idleTargets(3)
				ts[0].Load = load
				ts[2].Load = load
				pl, ok := Choose(typicalEngine, shortPrompt(), ts, Options{Seed: seed})
				g.Expect(ok).To(BeTrue())
				g.Expect(pl.Main).To(Equal(ts[1].Name))
			}
		})
	}
}

func TestBlockedTargetIsHelperButNeverMain(t *testing.T) {
	cases := map[string]Prompt{"short": shortPrompt(), "long": longPrompt(133_000), "larger than a target": longPrompt(400_000)}
	for name, pr := range cases {
		t.Run(name, func(t *testing.T) {
			g := NewWithT(t)
			helped := false
			for seed := range uint64(20) {
				ts := idleTargets(18)
				for ix := range 12 {
					ts[ix].Blocked = true
				}
				pl, ok := Choose(typicalEngine, pr, ts, Options{Seed: seed})
				g.Expect(ok).To(BeTrue())
				open := slices.ContainsFunc(ts[12:], func(ta Target) bool { return ta.Name == pl.Main })
				g.Expect(open).To(BeTrue(), pl.Main)
				helped = helped || slices.ContainsFunc(ts[:12], func(ta Target) bool { return slices.Contains(pl.Helpers, ta.Name) })
			}
			g.Expect(helped).To(Equal(pr.Tokens > 100_000))
			all := idleTargets(18)
			for ix := range all {
				all[ix].Blocked = true
			}
			_, ok := Choose(typicalEngine, pr, all, Options{Seed: 1})
			g.Expect(ok).To(BeFalse())
		})
	}
}

func TestLongPromptKeepsPausesOfDecodingRequestsShort(t *testing.T) {
	g := NewWithT(t)
	ts := idleTargets(18)
	for ix := range 12 {
		ts[ix].Load = shortPrompt().DecodeLoad()
	}
	pl, ok := Choose(typicalEngine, longPrompt(133_000), ts, Options{Seed: 1})
	g.Expect(ok).To(BeTrue())
	busyChosen := 0
	for _, name := range planTargets(pl) {
		if slices.ContainsFunc(ts[:12], func(ta Target) bool { return ta.Name == name }) {
			busyChosen++
		}
	}
	if busyChosen > 0 {
		g.Expect(pl.PredictedPause).To(BeNumerically("<", 250*time.Millisecond))
	}
	g.Expect(pl.TimeToFirstToken).To(BeNumerically("<", 2500*time.Millisecond))
}

func TestLongPromptIsSplitIntoManyPartsAtBusyTargets(t *testing.T) {
	g := NewWithT(t)
	twoPerSecond := shortPrompt().DecodeLoad().Plus(shortPrompt().DecodeLoad())
	pl, ok := Choose(typicalEngine, longPrompt(133_000), busyTargets(18), Options{Seed: 1, ArrivalsPerSecond: twoPerSecond})
	g.Expect(ok).To(BeTrue())
	g.Expect(len(pl.Helpers)).To(BeNumerically(">=", 11))
	g.Expect(pl.PredictedPause).To(BeNumerically("<", 250*time.Millisecond))
	g.Expect(pl.TimeToFirstToken).To(BeNumerically("<", time.Second))
}

func TestArrivalsReducePartSize(t *testing.T) {
	g := NewWithT(t)
	pr := longPrompt(133_000)
	few, ok := Choose(typicalEngine, pr, idleTargets(18), Options{Seed: 1})
	g.Expect(ok).To(BeTrue())
	many, ok := Choose(typicalEngine, pr, idleTargets(18), Options{Seed: 1, ArrivalsPerSecond: shortPrompt().DecodeLoad()})
	g.Expect(ok).To(BeTrue())
	g.Expect(many.Part.Tokens).To(BeNumerically("<", few.Part.Tokens))
}

// Where many targets have prefill to do, a part is likely to contend with parts that other instances have just placed.
func TestPrefillAtManyTargetsReducesNumberOfParts(t *testing.T) {
	g := NewWithT(t)
	pr := longPrompt(133_000)
	idle, ok := Choose(typicalEngine, pr, idleTargets(18), Options{Seed: 1})
	g.Expect(ok).To(BeTrue())
	busy, ok := Choose(typicalEngine, pr, idleTargets(18), Options{Seed: 1, PrefillShare: 1})
	g.Expect(ok).To(BeTrue())
	g.Expect(len(busy.Helpers)).To(BeNumerically("<", len(idle.Helpers)))
}

func TestPrefillShare(t *testing.T) {
	g := NewWithT(t)
	ts := idleTargets(8)
	g.Expect(PrefillShareOf(ts)).To(BeZero())
	ts[1].Load = ts[1].Load.Plus(shortPrompt().PrefillLoad(1))
	ts[5].Load = ts[5].Load.Plus(longPrompt(133_000).HelperLoad(4))
	ts[6].Load = ts[6].Load.Plus(shortPrompt().DecodeLoad())
	g.Expect(PrefillShareOf(ts)).To(Equal(0.25))
	g.Expect(PrefillShareOf(nil)).To(BeZero())
}

func TestUnavailableHelperIsNotChosen(t *testing.T) {
	cases := map[string]func(*Target){
		"not available":      func(ta *Target) { ta.CanHelp = false },
		"has too many parts": func(ta *Target) { ta.HelperParts = typicalEngine.Slots },
	}
	for name, disable := range cases {
		t.Run(name, func(t *testing.T) {
			g := NewWithT(t)
			ts := idleTargets(18)
			for ix := range ts[2:] {
				disable(&ts[2+ix])
			}
			pl, ok := Choose(typicalEngine, longPrompt(133_000), ts, Options{Seed: 1})
			g.Expect(ok).To(BeTrue())
			g.Expect(pl.Helpers).NotTo(BeEmpty())
			for _, he := range pl.Helpers {
				g.Expect(he).To(BeElementOf(ts[0].Name, ts[1].Name))
			}
		})
	}
}

func TestChooseFailsWithoutFeasiblePlacement(t *testing.T) {
	urgent := shortPrompt()
	urgent.UntilDeadline = 50 * time.Millisecond
	full := idleTargets(3)
	for ix := range full {
		full[ix].Load.MemoryTokens = typicalEngine.MemoryTokens - 1000
	}
	cases := map[string]struct {
		pr Prompt
		ts []Target
	}{
		"no target":                       {shortPrompt(), nil},
		"no time":                         {urgent, idleTargets(3)},
		"larger than all memory together": {longPrompt(600_000), idleTargets(2)},
		"larger than all that is free":    {longPrompt(300_000), full},
	}
	for name, ca := range cases {
		t.Run(name, func(t *testing.T) {
			g := NewWithT(t)
			_, ok := Choose(typicalEngine, ca.pr, ca.ts, Options{})
			g.Expect(ok).To(BeFalse())
		})
	}
}

func TestPromptLargerThanFreeMemoryOfAnyTargetReservesMemory(t *testing.T) {
	g := NewWithT(t)
	ts := idleTargets(6)
	for ix := range ts {
		ts[ix].Load.MemoryTokens = typicalEngine.MemoryTokens - 60_000
	}
	pr := longPrompt(100_000)
	pl, ok := Choose(typicalEngine, pr, ts, Options{Seed: 3})
	g.Expect(ok).To(BeTrue())
	g.Expect(pl.MemoryShares).NotTo(BeEmpty())
	expectMemoryShares(g, pl, pr, ts)
}

func TestPromptLargerThanEngineReservesFreeMemory(t *testing.T) {
	g := NewWithT(t)
	ts := idleTargets(18)
	for ix := range ts[2:] {
		ts[2+ix].Load.MemoryTokens = typicalEngine.MemoryTokens - 1000
	}
	pr := longPrompt(400_000)
	pl, ok := Choose(typicalEngine, pr, ts, Options{Seed: 3})
	g.Expect(ok).To(BeTrue())
	expectMemoryShares(g, pl, pr, ts)
}

// expectMemoryShares expects the memory shares of a plan to cover a prompt and to fit into the free memory.
func expectMemoryShares(g Gomega, pl Plan, pr Prompt, ts []Target) {
	sum := int64(0)
	var holders []string
	for _, sh := range pl.MemoryShares {
		at := slices.IndexFunc(ts, func(ta Target) bool { return ta.Name == sh.Target })
		g.Expect(sh.Tokens).To(And(BeNumerically(">", 0), BeNumerically("<=", ts[at].freeMemory(&typicalEngine))))
		sum += sh.Tokens
		holders = append(holders, sh.Target)
	}
	g.Expect(sum).To(BeNumerically(">=", pr.memoryNeed()))
	g.Expect(holders).To(Equal(planTargets(pl)))
	g.Expect(len(holders)).To(BeNumerically("<=", maxReservedParts))
}

func TestPlanInvariants(t *testing.T) {
	rapid.Check(t, func(t *rapid.T) {
		g := NewWithT(t)
		pr := genPrompt().Draw(t, "prompt")
		ts := genTargets().Draw(t, "targets")
		op := Options{Seed: rapid.Uint64().Draw(t, "seed")}
		pl, ok := Choose(typicalEngine, pr, ts, op)
		again, okAgain := Choose(typicalEngine, pr, ts, op)
		g.Expect(okAgain).To(Equal(ok))
		g.Expect(again).To(Equal(pl))
		if !ok {
			return
		}
		all := planTargets(pl)
		g.Expect(len(all)).To(BeNumerically("<=", MaxParts))
		g.Expect(slices.Compact(slices.Sorted(slices.Values(all)))).To(HaveLen(len(all)))
		g.Expect(pl.TimeToFirstToken).To(BeNumerically("<=", pr.UntilDeadline))
		g.Expect(pl.Loss).To(BeNumerically(">=", 0))
		if pr.memoryNeed() > typicalEngine.MemoryTokens {
			g.Expect(pl.MemoryShares).NotTo(BeEmpty())
		}
		if len(pl.MemoryShares) > 0 {
			expectMemoryShares(g, pl, pr, ts)
		}
	})
}

func TestNoPlanImpliesThatNoSingleTargetMeetsDeadline(t *testing.T) {
	rapid.Check(t, func(t *rapid.T) {
		g := NewWithT(t)
		pr := genPrompt().Draw(t, "prompt")
		pr.UntilDeadline = time.Duration(rapid.IntRange(1, 10_000).Draw(t, "ms until deadline")) * time.Millisecond
		ts := genTargets().Draw(t, "targets")
		if _, ok := Choose(typicalEngine, pr, ts, Options{}); ok || pr.memoryNeed() > typicalEngine.MemoryTokens {
			return
		}
		passes := ceilDiv(pr.AnswerTokens, int64(typicalEngine.StepsPerPass))
		for _, ta := range ts {
			first := float64(typicalEngine.TimeToFirstToken(pr, ta))
			decodeTime := float64(passes) * typicalEngine.decodePassTimeAt(&ta, 1, pr.Tokens+pr.AnswerTokens/2)
			g.Expect(time.Duration(first + decodeTime)).To(BeNumerically(">=", pr.UntilDeadline))
		}
	})
}

func TestPlanPredictionMatchesChosenTargets(t *testing.T) {
	rapid.Check(t, func(t *rapid.T) {
		g := NewWithT(t)
		pr := genPrompt().Draw(t, "prompt")
		ts := genTargets().Draw(t, "targets")
		pl, ok := Choose(typicalEngine, pr, ts, Options{})
		if !ok {
			return
		}
		var chosen []Target
		for _, name := range planTargets(pl) {
			at := slices.IndexFunc(ts, func(ta Target) bool { return ta.Name == name })
			chosen = append(chosen, ts[at])
		}
		g.Expect(pl.TimeToFirstToken).To(Equal(typicalEngine.TimeToFirstToken(pr, chosen[0], chosen[1:]...)))
	})
}

func TestSeedBreaksTiesEvenly(t *testing.T) {
	g := NewWithT(t)
	ts := idleTargets(18)
	for ix := range ts {
		ts[ix].SameZone = true
	}
	mains := map[string]int{}
	for seed := range uint64(900) {
		pl, ok := Choose(typicalEngine, shortPrompt(), ts, Options{Seed: seed})
		g.Expect(ok).To(BeTrue())
		mains[pl.Main]++
	}
	g.Expect(mains).To(HaveLen(18))
	for _, count := range mains {
		g.Expect(count).To(And(BeNumerically(">", 20), BeNumerically("<", 90)))
	}
}

func BenchmarkChoose(b *testing.B) {
	cases := map[string]struct {
		pr Prompt
		ts []Target
	}{
		"short-60":    {shortPrompt(), busyTargets(60)},
		"middle-60":   {middlePrompt(), busyTargets(60)},
		"long-60":     {longPrompt(133_000), busyTargets(60)},
		"reserved-60": {longPrompt(500_000), busyTargets(60)},
	}
	for name, ca := range cases {
		b.Run(name, func(b *testing.B) {
			b.ReportAllocs()
			seed := uint64(0)
			for b.Loop() {
				seed++
				Choose(typicalEngine, ca.pr, ca.ts, Options{Seed: seed, ArrivalsPerSecond: shortPrompt().DecodeLoad()})
			}
		})
	}
}

func TestShortPromptPrefersTargetsWithWorthAtRisk(t *testing.T) {
	decoding := func(count int) Load {
		lo := Load{}
		for range count {
			lo = lo.Plus(shortPrompt().DecodeLoad())
		}
		return lo
	}
	lateDecoding := func(count int) Load { return decoding(count).WithPauseRisk(RiskByLimit{}) }
	cases := map[string]struct {
		loads []Load
		want  int
	}{
		"fuller target while slots are free": {[]Load{decoding(2), decoding(8), {}}, 1},
		"not a full target":                  {[]Load{decoding(2), decoding(15), {}}, 0},
		"late requests give no protection":   {[]Load{decoding(2), lateDecoding(8), {}}, 0},
	}
	for name, ca := range cases {
		t.Run(name, func(t *testing.T) {
			g := NewWithT(t)
			ts := idleTargets(len(ca.loads))
			for ix := range ts {
				ts[ix].Load = ca.loads[ix]
			}
			for seed := range uint64(20) {
				pl, ok := Choose(typicalEngine, shortPrompt(), ts, Options{Seed: seed})
				g.Expect(ok).To(BeTrue())
				g.Expect(pl.Main).To(Equal(ts[ca.want].Name))
			}
		})
	}
}

func TestLongPromptUsesAllIdleTargets(t *testing.T) {
	cases := map[string]int{"five": 5, "seven": 7, "ten": 10, "fourteen": 14}
	for name, free := range cases {
		t.Run(name, func(t *testing.T) {
			g := NewWithT(t)
			ts := idleTargets(18)
			for ix := range ts[free:] {
				lo := &ts[free+ix].Load
				for range 12 {
					*lo = lo.Plus(shortPrompt().DecodeLoad())
				}
			}
			// The prompt is certain to be in time only when it is split over all idle targets.
			pr := longPrompt(200_000)
			pr.Objective = typicalEngine.TimeToFirstToken(pr, ts[0], ts[1:free]...) * 100 / 79
			pl, ok := Choose(typicalEngine, pr, ts, Options{})
			g.Expect(ok).To(BeTrue())
			g.Expect(1 + len(pl.Helpers)).To(Equal(free))
		})
	}
}

func TestLongPrefillAvoidsTargetsWhoseCallersWouldTimeOut(t *testing.T) {
	cases := map[string]struct {
		callerIdleTimeout time.Duration
		avoided           bool
	}{
		"callers time out within the pass": {callerIdleTimeout: 2 * time.Second, avoided: true},
		"callers wait longer":              {callerIdleTimeout: 20 * time.Second},
	}
	for name, ca := range cases {
		t.Run(name, func(t *testing.T) {
			g := NewWithT(t)
			late := shortPrompt()
			late.CallerIdleTimeout = ca.callerIdleTimeout
			ts := idleTargets(4)
			for range 8 {
				ts[0].Load = ts[0].Load.Plus(late.AsLate().DecodeLoad())
			}
			// The prefill takes about 2.5 s on four targets and 3.3 s on three. Both are late.
			pr := longPrompt(330_000)
			pr.Objective = time.Second
			ts[0].Load.MemoryTokens = 0
			pl, ok := Choose(typicalEngine, pr, ts, Options{})
			g.Expect(ok).To(BeTrue())
			used := append([]string{pl.Main}, pl.Helpers...)
			if ca.avoided {
				g.Expect(used).NotTo(ContainElement(ts[0].Name))
			} else {
				g.Expect(used).To(ContainElement(ts[0].Name))
			}
		})
	}
}

func TestPromptLosesLateWorthWhenCallerTimesOutFirst(t *testing.T) {
	g := NewWithT(t)
	pr := shortPrompt()
	pr.Elapsed = time.Second
	pr.CallerIdleTimeout = 1100 * time.Millisecond
	ts := idleTargets(1)
	ts[0].Load.WholePrefill = Backlog{Tokens: 60_000, Pairs: 1_800_000_000}
	timedOut, ok := Choose(typicalEngine, pr, ts, Options{})
	g.Expect(ok).To(BeTrue())
	pr.CallerIdleTimeout = 0
	late, ok := Choose(typicalEngine, pr, ts, Options{})
	g.Expect(ok).To(BeTrue())
	g.Expect(timedOut.Loss - late.Loss).To(Equal(pr.LateWorth))
}
