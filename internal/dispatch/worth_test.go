package dispatch_test

import (
	"testing"
	"testing/synctest"
	"time"

	. "github.com/onsi/gomega"

	"github.com/silvermount/silvermount/internal/dispatch"
	"github.com/silvermount/silvermount/internal/placement"
)

// worthAtRisk returns the worth that a prompt has at risk before its first token.
func worthAtRisk(t *testing.T, neutral bool, tokens, priority int) placement.Worth {
	t.Helper()
	var sum placement.Worth
	synctest.Test(t, func(t *testing.T) {
		hs := newHarness(t, 1, func(op *dispatch.Options) { op.NeutralWorth = neutral })
		rq := promptRequest(tokens)
		rq.Service.Engine.MemoryTokens = 1_000_000
		rq.Priority = priority
		hs.mustAcquire(rq)
		for _, lo := range hs.OwnLoads() {
			sum += lo.FirstTokenRisk.SumUpTo(time.Hour)
		}
	})
	return sum
}

// TestWorthIsNeutralOnlyIfEnabled guards against a changed worth without the setting, and against a setting without effect.
func TestWorthIsNeutralOnlyIfEnabled(t *testing.T) {
	tests := map[string]struct {
		neutral          bool
		tokens, priority int
		// want is the worth at risk, which is three quarters of the worth in time.
		want float64
	}{
		"price for each token":           {tokens: 1000, want: 0.75 * 0.8},
		"price ignores the priority":     {tokens: 1000, priority: 2, want: 0.75 * 0.8},
		"neutral, mean length":           {neutral: true, tokens: 1000, want: 0.75},
		"neutral, two steps less urgent": {neutral: true, tokens: 1000, priority: 2, want: 0.75 / 4},
	}
	for name, tc := range tests {
		t.Run(name, func(t *testing.T) {
			got := worthAtRisk(t, tc.neutral, tc.tokens, tc.priority)
			NewWithT(t).Expect(got.Points()).To(BeNumerically("~", tc.want, 1e-5))
		})
	}
}

// TestLongPromptYieldsToFewerShortAnswersWithNeutralWorth guards against a price for each token, for which a prompt of 140,000 tokens is placed
// where it makes four short answers late, and those that arrive during its prefill.
func TestLongPromptYieldsToFewerShortAnswersWithNeutralWorth(t *testing.T) {
	tests := map[string]struct {
		neutral bool
		waits   bool
	}{
		"price for each token": {},
		"neutral":              {neutral: true, waits: true},
	}
	for name, tc := range tests {
		t.Run(name, func(t *testing.T) {
			synctest.Test(t, func(t *testing.T) {
				hs := newHarness(t, 1, func(op *dispatch.Options) { op.NeutralWorth = tc.neutral })
				cl := &clockHarness{clock: time.Now, dispatcher: hs.Dispatcher}
				slots := cl.startShortAnswers(hs.WithT, 4)
				const end = time.Second
				time.AfterFunc(end, func() { releaseAll(slots) })
				began := time.Now()
				hs.mustAcquire(cl.longPrompt())
				if tc.waits {
					hs.Expect(time.Since(began)).To(BeNumerically(">=", end))
					return
				}
				hs.Expect(time.Since(began)).To(BeZero())
			})
		})
	}
}

// TestMixIsServedWithNeutralWorth guards against a worth for which long prompts are no longer answered in a wave of short ones, or short ones are
// given up for them.
func TestMixIsServedWithNeutralWorth(t *testing.T) {
	sp := sharesPattern{instances: 9, targets: 30, duration: 4 * time.Second, organisations: map[string]organisationTraffic{
		"short":  {ratePerSecond: map[requestClass]float64{shortClass: 165}},
		"middle": {ratePerSecond: map[requestClass]float64{middleClass: 5}},
		"long":   {ratePerSecond: map[requestClass]float64{longClass: 2}},
	}}
	byToken := simulateShares(t, 1, sp)
	sp.neutralWorth = true
	neutral := simulateShares(t, 1, sp)
	g := NewWithT(t)
	g.Expect(neutral.inTime() * 100).To(BeNumerically(">=", 90*byToken.inTime()))
	for _, kind := range []string{"middle", "long"} {
		or := neutral.byOrganisation[kind]
		g.Expect(len(or.served)*10).To(BeNumerically(">=", 9*or.requests), kind)
	}
}
