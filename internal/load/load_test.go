package load

import (
	"bufio"
	"strings"
	"testing"
	"time"

	. "github.com/onsi/gomega"

	"github.com/silvermount/silvermount/internal/standin/tokengen"
)

func testWorkload() Workload {
	return Workload{
		Rate: 50, Duration: 20 * time.Second, Burst: 40, LongShare: 0.02, MinShortTokens: 1_000, MaxShortTokens: 8_000, MinLongTokens: 100_000,
		MaxLongTokens: 1_000_000, OutputTokens: 4, ShortClass: "s", LongClass: "l", Organisations: 5, Scale: 10,
	}
}

func TestSameSeedGivesSameArrivals(t *testing.T) {
	g := NewWithT(t)
	all := Generate(3, testWorkload())
	g.Expect(Generate(3, testWorkload())).To(Equal(all))
	g.Expect(Generate(4, testWorkload())).NotTo(Equal(all))
	g.Expect(Prompt(3, all[0])).To(Equal(Prompt(3, all[0])))
	long := len(all) - len(ShorterThan(all, 100_000))
	g.Expect(float64(long)/float64(len(all))).To(BeNumerically("~", 0.02, 0.012), "one prompt in fifty is long")
	g.Expect(all[len(all)-1].At).To(BeNumerically("<=", 2*time.Second), "times are scaled")
	for _, a := range all {
		g.Expect(a.PromptTokens).To(And(BeNumerically(">=", 1_000), BeNumerically("<=", 1_000_000)))
		g.Expect(a.Class == "l").To(Equal(a.PromptTokens >= 100_000))
	}
}

func TestReadAnswerClassifiesAnswers(t *testing.T) {
	chunk := func(text string) string { return `data: {"choices":[{"text":"` + text + `"}]}` + "\n\n" }
	expected := tokengen.New("p").Next()
	tests := map[string]struct {
		stream                    string
		status                    int
		wantComplete, wantCorrect bool
		wantCode, wantOutcome     string
	}{
		"complete and correct":   {stream: chunk(expected) + "data: [DONE]\n", status: 200, wantComplete: true, wantCorrect: true},
		"complete but incorrect": {stream: chunk("another ") + "data: [DONE]\n", status: 200, wantComplete: true},
		"cut off":                {stream: chunk(expected), status: 200, wantCode: "cut_off"},
		"error event": {
			stream: chunk(expected) + "event: error\n" + `data: {"error":{"code":"target_lost","outcome":"unknown"}}` + "\n",
			status: 200, wantCode: "target_lost", wantOutcome: "unknown",
		},
		"refused": {stream: `{"error":{"code":"overloaded","outcome":"not_run"}}`, status: 503, wantCode: "overloaded", wantOutcome: "not_run"},
	}
	for name, tc := range tests {
		t.Run(name, func(t *testing.T) {
			g := NewWithT(t)
			rs := Result{Arrival: Arrival{OutputTokens: 1}}
			rs.readAnswer(bufio.NewScanner(strings.NewReader(tc.stream)), tc.status, time.Now())
			rs.checkAnswer("p")
			g.Expect(rs.Complete).To(Equal(tc.wantComplete))
			g.Expect(rs.Correct).To(Equal(tc.wantCorrect))
			g.Expect(rs.Code).To(Equal(tc.wantCode))
			g.Expect(rs.Outcome).To(Equal(tc.wantOutcome))
		})
	}
}

func TestSlowdownsCompareSameArrivals(t *testing.T) {
	g := NewWithT(t)
	at := func(index int, d time.Duration) Result { return Result{Arrival: Arrival{Index: index}, FirstToken: d} }
	withLong := []Result{at(1, 30), at(2, 20), at(9, 99)}
	withoutLong := []Result{at(2, 10), at(1, 10), at(3, 10)}
	g.Expect(Slowdowns(withLong, withoutLong)).To(ConsistOf(3.0, 2.0))
}
