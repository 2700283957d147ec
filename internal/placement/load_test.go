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
		a := genLoad().Draw(t, "a")
		b := genLoad().Draw(t, "b")
		g.Expect(a.Plus(b).Minus(b)).To(Equal(a))
		g.Expect(a.Minus(b).Plus(b)).To(Equal(a))
		g.Expect(a.Plus(b)).To(Equal(b.Plus(a)))
		g.Expect(a.Minus(a)).To(Equal(Load{}))
	})
}

func TestClassOf(t *testing.T) {
	cases := map[string]struct {
		limit time.Duration
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
			g.Expect(classLimits[classOf(ca.limit)]).To(Equal(ca.want))
		})
	}
}

func TestPartsCoverPrompt(t *testing.T) {
	rapid.Check(t, func(t *rapid.T) {
		g := NewWithT(t)
		pr := genPrompt().Draw(t, "prompt")
		parts := rapid.IntRange(1, MaxParts).Draw(t, "parts")
		pa := pr.Part(parts)
		excess := pa.Tokens*int64(parts) - pr.Tokens
		g.Expect(excess).To(And(BeNumerically(">=", 0), BeNumerically("<", parts)))
	})
}

func TestWithMethodsSetOneField(t *testing.T) {
	g := NewWithT(t)
	lo := shortPrompt().DecodeLoad()
	g.Expect(lo.WithMemory(7).WithMemory(lo.MemoryTokens)).To(Equal(lo))
	g.Expect(lo.WithMemory(7).MemoryTokens).To(BeEquivalentTo(7))
	g.Expect(lo.WithContext(7).WithContext(lo.ContextTokens)).To(Equal(lo))
	g.Expect(lo.WithContext(7).ContextTokens).To(BeEquivalentTo(7))
}
