package placement

import (
	"testing"
	"time"

	. "github.com/onsi/gomega"
	"pgregory.net/rapid"
)

func TestPassTime(t *testing.T) {
	oneDecoding := Load{Decoding: 1, ContextTokens: 10_000}
	cases := map[string]struct {
		ta   Target
		want time.Duration
	}{
		"idle: one step": {Target{}, 1020 * time.Microsecond},
		"one decoding request: a pass of several steps": {Target{Load: oneDecoding}, 45810 * time.Microsecond},
		"slow target":                       {Target{Load: oneDecoding, Slowdown: 2}, 91620 * time.Microsecond},
		"slowdown below 1 counts as 1":      {Target{Load: oneDecoding, Slowdown: 0.5}, 45810 * time.Microsecond},
		"prefill without decoding requests": {Target{Load: Load{WholePrefill: Backlog{Tokens: 5000}}}, 10962 * time.Microsecond},
		"prefill with a decoding request": {
			Target{Load: oneDecoding.Plus(Load{WholePrefill: Backlog{Tokens: 20_600, Pairs: 100_000_000}})},
			159610 * time.Microsecond,
		},
	}
	for name, ca := range cases {
		t.Run(name, func(t *testing.T) {
			g := NewWithT(t)
			g.Expect(typicalEngine.PassTime(ca.ta)).To(BeNumerically("~", ca.want, 10*time.Microsecond))
		})
	}
}

func TestPauseByNumberOfParts(t *testing.T) {
	ta := Target{Load: shortPrompt().DecodeLoad()}
	pr := longPrompt(133_000)
	cases := map[string]struct {
		parts              int
		minPause, maxPause time.Duration
	}{
		"whole": {1, time.Second, 2 * time.Second},
		"in 4":  {4, 400 * time.Millisecond, 600 * time.Millisecond},
		"in 17": {17, 100 * time.Millisecond, 200 * time.Millisecond},
	}
	for name, ca := range cases {
		t.Run(name, func(t *testing.T) {
			g := NewWithT(t)
			pause := typicalEngine.PredictedPause(ta, pr.Part(ca.parts))
			g.Expect(pause).To(BeNumerically(">", ca.minPause))
			g.Expect(pause).To(BeNumerically("<", ca.maxPause))
		})
	}
}

func TestSplitPrefillRunsBeforeWholePrefill(t *testing.T) {
	g := NewWithT(t)
	pr := longPrompt(120_000)
	idle := idleTargets(2)
	busy := idle[0]
	busy.Load = longPrompt(200_000).PrefillLoad(1)
	g.Expect(typicalEngine.TimeToFirstToken(pr, busy, idle[1])).To(BeNumerically("<", typicalEngine.TimeToFirstToken(pr, busy)/3))
}

func TestFullSlotsDelayFirstToken(t *testing.T) {
	g := NewWithT(t)
	var ta Target
	ta.Load.Decoding = typicalEngine.Slots - 1
	free := typicalEngine.TimeToFirstToken(shortPrompt(), ta)
	ta.Load.Decoding++
	g.Expect(typicalEngine.TimeToFirstToken(shortPrompt(), ta)).To(BeNumerically(">", free+50*time.Millisecond))
}

func TestMoreLoadNeverShortensPredictions(t *testing.T) {
	rapid.Check(t, func(t *rapid.T) {
		g := NewWithT(t)
		pr := genPrompt().Draw(t, "prompt")
		ta := genTarget("a").Draw(t, "main")
		he := genTarget("b").Draw(t, "helper")
		alone := typicalEngine.TimeToFirstToken(pr, ta)
		split := typicalEngine.TimeToFirstToken(pr, ta, he)
		pass := typicalEngine.PassTime(ta)
		pause := typicalEngine.PredictedPause(ta, pr.Part(2))
		more := genLoad().Draw(t, "more")
		ta.Load = ta.Load.Plus(more)
		he.Load = he.Load.Plus(more)
		g.Expect(typicalEngine.TimeToFirstToken(pr, ta)).To(BeNumerically(">=", alone))
		g.Expect(typicalEngine.TimeToFirstToken(pr, ta, he)).To(BeNumerically(">=", split))
		g.Expect(typicalEngine.PassTime(ta)).To(BeNumerically(">=", pass))
		g.Expect(typicalEngine.PredictedPause(ta, pr.Part(2))).To(BeNumerically(">=", pause))
	})
}

func TestSlowerTargetNeverShortensTimeToFirstToken(t *testing.T) {
	rapid.Check(t, func(t *rapid.T) {
		g := NewWithT(t)
		pr := genPrompt().Draw(t, "prompt")
		ta := genTarget("a").Draw(t, "target")
		first := typicalEngine.TimeToFirstToken(pr, ta)
		ta.Slowdown *= 1.5
		g.Expect(typicalEngine.TimeToFirstToken(pr, ta)).To(BeNumerically(">=", first))
	})
}
