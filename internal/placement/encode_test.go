package placement

import (
	"encoding/hex"
	"math"
	"testing"

	"github.com/cockroachdb/errors"
	. "github.com/onsi/gomega"
	"pgregory.net/rapid"
)

// genAnyLoad draws any values that the fields can hold, including those that no sum of requests has.
func genAnyLoad() *rapid.Generator[Load] {
	return rapid.Custom(func(t *rapid.T) Load {
		num := rapid.OneOf(rapid.Just(int64(0)), rapid.Int64Range(0, 5000), rapid.Int64())
		draw := func(label string) int64 { return num.Draw(t, label) }
		lo := Load{
			WholePrefill: Backlog{Tokens: draw("tokens"), Pairs: draw("pairs")},
			SplitPrefill: Backlog{Tokens: draw("part tokens"), Pairs: draw("part pairs")},
			Prefilling:   int(draw("prefilling")), Decoding: int(draw("decoding")),
			ContextTokens: draw("context"), MemoryTokens: draw("memory"),
		}
		for cl := range numClasses {
			lo.FirstTokenRisk[cl] = Worth(draw("first token risk"))
			lo.PauseRisk[cl] = Worth(draw("pause risk"))
		}
		return lo
	})
}

func TestParseLoadReturnsAppendedLoad(t *testing.T) {
	rapid.Check(t, func(t *rapid.T) {
		g := NewWithT(t)
		lo := rapid.OneOf(genLoad(), genAnyLoad()).Draw(t, "load")
		trailing := rapid.SliceOfN(rapid.Byte(), 0, 4).Draw(t, "trailing")
		parsed, rest, err := ParseLoad(append(lo.Append(nil), trailing...))
		g.Expect(err).NotTo(HaveOccurred())
		g.Expect(parsed).To(Equal(lo.Rounded()))
		g.Expect(rest).To(HaveLen(len(trailing)))
		g.Expect(parsed.Rounded()).To(Equal(parsed))
	})
}

func TestArithmeticIsExactOnRoundedLoads(t *testing.T) {
	rapid.Check(t, func(t *rapid.T) {
		g := NewWithT(t)
		a := genLoad().Draw(t, "a").Rounded()
		b := genLoad().Draw(t, "b").Rounded()
		g.Expect(a.Plus(b).Rounded()).To(Equal(a.Plus(b)))
		g.Expect(a.Plus(b).Minus(b)).To(Equal(a))
	})
}

func TestRoundedChangesOnlyWorths(t *testing.T) {
	rapid.Check(t, func(t *rapid.T) {
		g := NewWithT(t)
		lo := genLoad().Draw(t, "load")
		rounded := lo.Rounded()
		for cl := range numClasses {
			g.Expect(rounded.PauseRisk[cl] - lo.PauseRisk[cl]).To(And(BeNumerically(">=", 0), BeNumerically("<", thousandth)))
			g.Expect(rounded.FirstTokenRisk[cl] - lo.FirstTokenRisk[cl]).To(And(BeNumerically(">=", 0), BeNumerically("<", thousandth)))
		}
		rounded.PauseRisk, rounded.FirstTokenRisk = lo.PauseRisk, lo.FirstTokenRisk
		g.Expect(rounded).To(Equal(lo))
	})
}

func TestToThousandths(t *testing.T) {
	cases := map[string]struct {
		worth Worth
		want  int64
	}{
		"none":           {0, 0},
		"exact":          {WorthOf(1.5), 1500},
		"rounded up":     {1, 1},
		"below zero":     {-1, -1},
		"exact negative": {-2000, -2},
		"largest":        {math.MaxInt64, maxThousandths},
		"smallest":       {math.MinInt64, -maxThousandths},
	}
	for name, ca := range cases {
		t.Run(name, func(t *testing.T) {
			g := NewWithT(t)
			g.Expect(toThousandths(ca.worth)).To(Equal(ca.want))
		})
	}
}

// TestEncodingIsStable fails when the encoding changes, for example due to another class. Messages that contain loads
// then need a new version.
func TestEncodingIsStable(t *testing.T) {
	lo := Load{Prefilling: 1, Decoding: 2, ContextTokens: 300, MemoryTokens: 400, WholePrefill: Backlog{Tokens: 5, Pairs: 6}}
	lo.SplitPrefill = Backlog{Tokens: 7, Pairs: 8}
	lo.PauseRisk[0], lo.PauseRisk[numClasses-1] = WorthOf(0.001), WorthOf(0.002)
	lo.FirstTokenRisk[0], lo.FirstTokenRisk[numClasses-1] = WorthOf(0.003), WorthOf(0.004)
	cases := map[string]struct {
		load Load
		want string
	}{
		"empty":    {Load{}, "00"},
		"one":      {Load{Decoding: 3}, "0103"},
		"many":     {lo, "ff83808c801002ac0290030105060708" + "01020304"},
		"negative": {Load{Decoding: 1, ContextTokens: -1}, "8380808080200201"},
	}
	for name, ca := range cases {
		t.Run(name, func(t *testing.T) {
			g := NewWithT(t)
			g.Expect(hex.EncodeToString(ca.load.Append(nil))).To(Equal(ca.want))
		})
	}
}

func TestParseLoadRejectsMalformedLoads(t *testing.T) {
	cases := map[string]string{
		"empty":                    "",
		"bitmap truncated":         "ff",
		"unknown fields":           "80808080808002",
		"bitmap too long":          "ffffffffffffffffffffff",
		"field missing":            "0301",
		"field truncated":          "0180",
		"field too long":           "01ffffffffffffffffffff01",
		"field too large":          "01ffffffffffffffffff01",
		"worth too large":          "8002ffffffffffffffff7f",
		"negative worth too large": "80828080808001ffffffffffffffffff01",
	}
	for name, in := range cases {
		t.Run(name, func(t *testing.T) {
			g := NewWithT(t)
			b, err := hex.DecodeString(in)
			g.Expect(err).NotTo(HaveOccurred())
			lo, _, err := ParseLoad(b)
			var malformed *EncodingError
			g.Expect(errors.As(err, &malformed)).To(BeTrue())
			g.Expect(malformed.Error()).To(ContainSubstring(malformed.Reason))
			g.Expect(lo).To(Equal(Load{}))
		})
	}
}
