package completion_test

import (
	"testing"
	"time"

	. "github.com/onsi/gomega"

	"github.com/silvermount/silvermount/internal/completion"
)

// errorOf returns an error with the same ratio for the first token and for pauses.
func errorOf(p50, p90 float64) completion.Error {
	qs := completion.Quantiles{P50: p50, P90: p90, Samples: 10}
	return completion.Error{FirstToken: qs, Pause: qs}
}

func TestDecideShort(t *testing.T) {
	inTime := completion.ShortPrompt{Objective: 300 * time.Millisecond, MaxPause: 250 * time.Millisecond, FirstToken: 200 * time.Millisecond, Pause: 100 * time.Millisecond, OthersLoss: 0.2}
	busy := completion.Fleet{SlotsInUse: 95, Slots: 100, FinishRate: 50}
	tests := map[string]struct {
		edit   func(pr *completion.ShortPrompt, fl *completion.Fleet)
		er     completion.Error
		want   completion.Outcome
		reason completion.Reason
	}{
		"in time":                  {er: errorOf(1, 1.2)},
		"late by the median error": {er: errorOf(2, 2), want: completion.Refuse, reason: completion.LateFirstToken},
		"late by the margin":       {er: errorOf(1.1, 2.9), want: completion.Refuse, reason: completion.LateFirstToken},
		"late pause": {
			edit: func(pr *completion.ShortPrompt, _ *completion.Fleet) { pr.Pause = 200 * time.Millisecond },
			er:   errorOf(1.4, 1.4), want: completion.Refuse, reason: completion.LatePause,
		},
		"late while slots are free": {
			edit: func(_ *completion.ShortPrompt, fl *completion.Fleet) { fl.SlotsInUse = 70 }, er: errorOf(3, 5),
		},
		"late while a target is idle": {
			edit: func(_ *completion.ShortPrompt, fl *completion.Fleet) { fl.Idle = true }, er: errorOf(3, 5),
		},
		"late where nobody loses": {
			edit: func(pr *completion.ShortPrompt, fl *completion.Fleet) { pr.OthersLoss, fl.SlotsInUse = 0, 80 },
			er:   errorOf(3, 5), reason: completion.LateFirstToken,
		},
		// All answers are late, so that none has anything to lose: late prompts must not keep the slots taken.
		"late where nobody loses, in overload": {
			edit: func(pr *completion.ShortPrompt, _ *completion.Fleet) { pr.OthersLoss = 0 },
			er:   errorOf(3, 5), want: completion.Refuse, reason: completion.LateFirstToken,
		},
		"behind callers that are due": {
			edit: func(_ *completion.ShortPrompt, fl *completion.Fleet) { fl.Due = 15 },
			er:   errorOf(1, 1.2), want: completion.Refuse, reason: completion.BehindReturns,
		},
		"back on time": {
			edit: func(pr *completion.ShortPrompt, fl *completion.Fleet) { pr.Returned, fl.Due = true, 15 }, er: errorOf(1, 1.2),
		},
		"back too early": {
			edit: func(pr *completion.ShortPrompt, _ *completion.Fleet) { pr.Early = true },
			er:   errorOf(1, 1.2), want: completion.Refuse, reason: completion.TooEarly,
		},
	}
	for name, tc := range tests {
		t.Run(name, func(t *testing.T) {
			g := NewWithT(t)
			pr, fl := inTime, busy
			if tc.edit != nil {
				tc.edit(&pr, &fl)
			}
			got, reason := completion.DecideShort(pr, fl, tc.er)
			g.Expect(got).To(Equal(tc.want))
			g.Expect(reason).To(Equal(tc.reason))
		})
	}
}

func TestDecideLong(t *testing.T) {
	prompt := completion.LongPrompt{
		Objective: 3 * time.Second, Planned: true, FirstToken: 2 * time.Second, Feasible: true, LaterFirstToken: 2 * time.Second,
		GiveUp: 12 * time.Second, WorthPlacing: true, WaitUntil: 2 * time.Second,
	}
	tests := map[string]struct {
		edit   func(pr *completion.LongPrompt, fl *completion.Fleet)
		er     completion.Error
		want   completion.Outcome
		reason completion.Reason
	}{
		"placed at once": {er: errorOf(1, 2)},
		"better to wait": {
			edit: func(pr *completion.LongPrompt, _ *completion.Fleet) { pr.Patient = true }, er: errorOf(1, 2), want: completion.Wait,
		},
		"better to wait, back on time": {
			edit: func(pr *completion.LongPrompt, _ *completion.Fleet) { pr.Patient, pr.Returned = true, true }, er: errorOf(1, 2),
		},
		"cannot come before the caller gives up": {
			edit: func(_ *completion.LongPrompt, fl *completion.Fleet) { fl.Backlog = 11 * time.Second },
			er:   errorOf(7, 9), want: completion.Refuse, reason: completion.TooLate,
		},
		"cannot come in time now, but after the backlog": {
			edit: func(pr *completion.LongPrompt, fl *completion.Fleet) {
				pr.FirstToken, pr.WorthPlacing, fl.Backlog = 13*time.Second, false, 4*time.Second
			},
			er: errorOf(1, 2), want: completion.Wait,
		},
		"wait is over, still better to wait": {
			edit: func(pr *completion.LongPrompt, _ *completion.Fleet) { pr.Patient, pr.Elapsed = true, 2*time.Second }, er: errorOf(1, 2),
			want: completion.Wait,
		},
		"wait is over, no better moment to come": {
			edit: func(pr *completion.LongPrompt, _ *completion.Fleet) { pr.Feasible, pr.Elapsed = false, 2*time.Second }, er: errorOf(1, 2),
		},
		"wait is over, too costly": {
			edit: func(pr *completion.LongPrompt, _ *completion.Fleet) {
				pr.WorthPlacing, pr.Elapsed = false, 2*time.Second
			},
			er: errorOf(1, 2), want: completion.Refuse, reason: completion.WaitOver,
		},
		"wait is over, a target is idle": {
			edit: func(pr *completion.LongPrompt, fl *completion.Fleet) {
				pr.WorthPlacing, pr.Elapsed, fl.Idle = false, 2*time.Second, true
			},
			er: errorOf(1, 2), reason: completion.WaitOver,
		},
	}
	for name, tc := range tests {
		t.Run(name, func(t *testing.T) {
			g := NewWithT(t)
			pr, fl := prompt, completion.Fleet{SlotsInUse: 95, Slots: 100}
			if tc.edit != nil {
				tc.edit(&pr, &fl)
			}
			got, reason := completion.DecideLong(pr, fl, tc.er)
			g.Expect(got).To(Equal(tc.want))
			g.Expect(reason).To(Equal(tc.reason))
		})
	}
}

// TestLongPromptKnowsWithinItsObjective guards against prompts that are refused when their caller has lost most of its time.
func TestLongPromptKnowsWithinItsObjective(t *testing.T) {
	pr := completion.LongPrompt{Objective: 4 * time.Second}
	tests := map[string]struct {
		backlog, want time.Duration
	}{
		"nothing ahead":      {0, 2 * time.Second},
		"some prefill ahead": {1500 * time.Millisecond, 3 * time.Second},
		"much prefill ahead": {20 * time.Second, 4 * time.Second},
	}
	for name, tc := range tests {
		t.Run(name, func(t *testing.T) {
			NewWithT(t).Expect(completion.WaitBound(pr, completion.Fleet{Backlog: tc.backlog}, errorOf(1, 2))).To(Equal(tc.want))
		})
	}
}
