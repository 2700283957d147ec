package placement

import (
	"encoding/hex"
	"math"
	"testing"

	"github.com/cockroachdb/errors"
	. "github.com/onsi/gomega"
	"pgregory.net/rapid"
)

// genAnyLoad draws every number that the fields hold, also those that no sum of requests has.
func genAnyLoad() *rapid.Generator[Load] {
	return rapid.Custom(func(t *rapid.T) Load {
		num := rapid.OneOf(rapid.Just(int64(0)), rapid.Int64Range(0, 5000), rapid.Int64())
		draw := func(label string) int64 { return num.Draw(t, label) }
		lo := Load{
			WholePrefill: Backlog{Tokens: draw("tokens"), Pairs: draw("pairs")},
			SplitPrefill: Backlog{Tokens: draw("part tokens"), Pairs: draw("part pairs")},
			Prefilling:   int(draw("readers")), Decoding: int(draw("writers")),
			ContextTokens: draw("context"), Memory: draw("memory"),
		}
		for cl := range numClasses {
			lo.FirstTokenRisk[cl] = Worth(draw("waiting"))
			lo.PauseRisk[cl] = Worth(draw("at risk"))
		}
		return lo
	})
}

func TestLoadIsReadAsWritten(t *testing.T) {
	rapid.Check(t, func(t *rapid.T) {
		g := NewWithT(t)
		lo := rapid.OneOf(genLoad(), genAnyLoad()).Draw(t, "load")
		after := rapid.SliceOfN(rapid.Byte(), 0, 4).Draw(t, "after")
		read, rest, err := ParseLoad(append(lo.Append(nil), after...))
		g.Expect(err).NotTo(HaveOccurred())
		g.Expect(read).To(Equal(lo.Rounded()))
		g.Expect(rest).To(HaveLen(len(after)))
		g.Expect(read.Rounded()).To(Equal(read))
	})
}

func TestArithmeticIsExactOnReadLoads(t *testing.T) {
	rapid.Check(t, func(t *rapid.T) {
		g := NewWithT(t)
		aa := genLoad().Draw(t, "a").Rounded()
		bb := genLoad().Draw(t, "b").Rounded()
		g.Expect(aa.Plus(bb).Rounded()).To(Equal(aa.Plus(bb)))
		g.Expect(aa.Plus(bb).Minus(bb)).To(Equal(aa))
	})
}

func TestRoundedChangesWorthsOnly(t *testing.T) {
	rapid.Check(t, func(t *rapid.T) {
		g := NewWithT(t)
		lo := genLoad().Draw(t, "load")
		ro := lo.Rounded()
		for cl := range numClasses {
			g.Expect(ro.PauseRisk[cl] - lo.PauseRisk[cl]).To(And(BeNumerically(">=", 0), BeNumerically("<", thousandth)))
			g.Expect(ro.FirstTokenRisk[cl] - lo.FirstTokenRisk[cl]).To(And(BeNumerically(">=", 0), BeNumerically("<", thousandth)))
		}
		ro.PauseRisk, ro.FirstTokenRisk = lo.PauseRisk, lo.FirstTokenRisk
		g.Expect(ro).To(Equal(lo))
	})
}

func TestThousandths(t *testing.T) {
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

// TestWrittenFormIsKept fails when the form changes, as by a further class: the version of what holds loads has to
// change with it.
func TestWrittenFormIsKept(t *testing.T) {
	lo := Load{Prefilling: 1, Decoding: 2, ContextTokens: 300, Memory: 400, WholePrefill: Backlog{Tokens: 5, Pairs: 6}}
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

func TestMalformedLoadsAreRefused(t *testing.T) {
	cases := map[string]string{
		"empty":              "",
		"bitmap cut off":     "ff",
		"unknown fields":     "80808080808002",
		"bitmap too long":    "ffffffffffffffffffffff",
		"field missing":      "0301",
		"field cut off":      "0180",
		"field too long":     "01ffffffffffffffffffff01",
		"field too large":    "01ffffffffffffffffff01",
		"worth too large":    "8002ffffffffffffffff7f",
		"negative worth too": "80828080808001ffffffffffffffffff01",
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
