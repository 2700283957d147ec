package placement

import (
	"fmt"
	"time"

	"pgregory.net/rapid"
)

// typicalEngine describes the engines of a typical deployment.
var typicalEngine = Engine{
	Slots:                      16,
	StepsPerPass:               43,
	ChunkTokens:                2048,
	MemoryTokens:               232_000,
	StepTime:                   1020 * time.Microsecond,
	StepTimePerRequest:         2260 * time.Nanosecond,
	StepTimePerThousandContext: 4310 * time.Nanosecond,
	PrefillTimePerThousand:     1000 * time.Second / 206_000,
	PrefillTimePerMillionPairs: 138 * time.Microsecond,
	HopTime:                    75 * time.Microsecond,
	CrossZoneDelay:             500 * time.Microsecond,
	MeanPromptTokens:           12_331,
	MeanAnswerTokens:           1303,
}

func shortPrompt() Prompt {
	return Prompt{
		Tokens: 5000, AnswerTokens: 600, Objective: 300 * time.Millisecond, MaxPause: 250 * time.Millisecond,
		InTimeWorth: WorthOf(1), LateWorth: WorthOf(0.2), UntilDeadline: 10 * time.Second,
	}
}

func middlePrompt() Prompt {
	return Prompt{
		Tokens: 45_000, AnswerTokens: 1300, Objective: 1500 * time.Millisecond, MaxPause: 600 * time.Millisecond,
		InTimeWorth: WorthOf(3), LateWorth: WorthOf(1), UntilDeadline: 20 * time.Second,
	}
}

func longPrompt(tokens int64) Prompt {
	return Prompt{
		Tokens: tokens, AnswerTokens: 2000, Objective: 2500 * time.Millisecond, MaxPause: time.Second,
		InTimeWorth: WorthOf(10), LateWorth: WorthOf(4), UntilDeadline: 40 * time.Second,
	}
}

// idleTargets returns targets without load.
func idleTargets(count int) []Target {
	ts := make([]Target, count)
	for ix := range ts {
		ts[ix] = Target{Name: fmt.Sprintf("10.2.64.%d:8080", ix), SameZone: ix%3 == 0, Slowdown: 1, CanHelp: true}
	}
	return ts
}

// busyTargets returns targets that decode several short requests and prefill up to two.
func busyTargets(count int) []Target {
	ts := idleTargets(count)
	for ix := range ts {
		for range 2 + ix%7 {
			ts[ix].Load = ts[ix].Load.Plus(shortPrompt().DecodeLoad())
		}
		for range ix % 3 {
			ts[ix].Load = ts[ix].Load.Plus(shortPrompt().PrefillLoad(1))
		}
	}
	return ts
}

// planTargets returns the names of all targets of a plan, the main target first.
func planTargets(pl Plan) []string {
	return append([]string{pl.Main}, pl.Helpers...)
}

func genPrompt() *rapid.Generator[Prompt] {
	return rapid.Custom(func(t *rapid.T) Prompt {
		pr := longPrompt(rapid.Int64Range(1, 600_000).Draw(t, "tokens"))
		pr.AnswerTokens = rapid.Int64Range(1, 8000).Draw(t, "answer")
		pr.Objective = time.Duration(rapid.IntRange(100, 5000).Draw(t, "objective")) * time.Millisecond
		pr.MaxPause = time.Duration(rapid.IntRange(30, 3000).Draw(t, "longest pause")) * time.Millisecond
		pr.Elapsed = time.Duration(rapid.IntRange(0, 3000).Draw(t, "elapsed")) * time.Millisecond
		pr.InTimeWorth = WorthOf(rapid.Float64Range(0, 20).Draw(t, "in time"))
		pr.LateWorth = pr.InTimeWorth / 3
		pr.UntilDeadline = time.Duration(rapid.IntRange(1, 120).Draw(t, "until deadline")) * time.Second
		return pr
	})
}

func genLoad() *rapid.Generator[Load] {
	return rapid.Custom(func(t *rapid.T) Load {
		var lo Load
		for range rapid.IntRange(0, 8).Draw(t, "requests") {
			pr := genPrompt().Draw(t, "prompt")
			parts := rapid.IntRange(1, MaxParts).Draw(t, "parts")
			kinds := []Load{pr.PrefillLoad(parts), pr.HelperLoad(parts), pr.DecodeLoad()}
			lo = lo.Plus(rapid.SampledFrom(kinds).Draw(t, "kind"))
		}
		return lo
	})
}

func genTarget(name string) *rapid.Generator[Target] {
	return rapid.Custom(func(t *rapid.T) Target {
		return Target{
			Name:        name,
			SameZone:    rapid.Bool().Draw(t, "same zone"),
			Load:        genLoad().Draw(t, "load"),
			Slowdown:    rapid.Float64Range(1, 4).Draw(t, "slowdown"),
			HelperParts: rapid.IntRange(0, 20).Draw(t, "helper parts"),
			CanHelp:     rapid.Bool().Draw(t, "can help"),
		}
	})
}

func genTargets() *rapid.Generator[[]Target] {
	return rapid.Custom(func(t *rapid.T) []Target {
		ts := make([]Target, rapid.IntRange(0, 24).Draw(t, "targets"))
		for ix := range ts {
			ts[ix] = genTarget(fmt.Sprint("t", ix)).Draw(t, "target")
		}
		return ts
	})
}
