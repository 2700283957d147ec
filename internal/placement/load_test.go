package placement

import (
	"testing"
	"time"

	. "github.com/onsi/gomega"
	"pgregory.net/rapid"
)

func TestMinusIsTheInverseOfPlus(t *testing.T) {
	rapid.Check(t, func(t *rapid.T) {
		g := NewWithT(t)
		aa := genLoad().Draw(t, "a")
		bb := genLoad().Draw(t, "b")
		g.Expect(aa.Plus(bb).Minus(bb)).To(Equal(aa))
		g.Expect(aa.Minus(bb).Plus(bb)).To(Equal(aa))
		g.Expect(aa.Plus(bb)).To(Equal(bb.Plus(aa)))
		g.Expect(aa.Minus(aa)).To(Equal(Load{}))
	})
}

func TestClassOf(t *testing.T) {
	cases := map[string]struct {
		pause time.Duration
		want  time.Duration
	}{
		"below all bounds": {10 * time.Millisecond, classLimits[0]},
		"on a bound":       {250 * time.Millisecond, 250 * time.Millisecond},
		"between bounds":   {599 * time.Millisecond, 400 * time.Millisecond},
		"above all bounds": {time.Minute, classLimits[numClasses-1]},
	}
	for name, ca := range cases {
		t.Run(name, func(t *testing.T) {
			g := NewWithT(t)
			g.Expect(classLimits[classOf(ca.pause)]).To(Equal(ca.want))
		})
	}
}

func TestPartsCoverThePrompt(t *testing.T) {
	rapid.Check(t, func(t *rapid.T) {
		g := NewWithT(t)
		pr := genPrompt().Draw(t, "prompt")
		parts := rapid.IntRange(1, MaxParts).Draw(t, "parts")
		pa := pr.Part(parts)
		over := pa.Tokens*int64(parts) - pr.Tokens
		g.Expect(over).To(And(BeNumerically(">=", 0), BeNumerically("<", parts)))
	})
}

func TestWithSetsOneField(t *testing.T) {
	g := NewWithT(t)
	lo := shortPrompt().DecodeLoad()
	g.Expect(lo.WithMemory(7).WithMemory(lo.Memory)).To(Equal(lo))
	g.Expect(lo.WithMemory(7).Memory).To(BeEquivalentTo(7))
	g.Expect(lo.WithContext(7).WithContext(lo.ContextTokens)).To(Equal(lo))
	g.Expect(lo.WithContext(7).ContextTokens).To(BeEquivalentTo(7))
}
