package lanes

import (
	"fmt"
	"testing"
	"time"

	. "github.com/onsi/gomega"

	"github.com/silvermount/silvermount/internal/policy"
)

func newInput(n int, pr policy.Prompt, change func(i int, ca *policy.Candidate)) policy.Input {
	in := policy.Input{Prompt: pr, Limits: policy.Limits{MaxLongPerTarget: 1, MaxLongTargetShare: 0.4}}
	for i := range n {
		ca := policy.Candidate{Name: fmt.Sprintf("e%d", i), PrefillRate: 10_000, MemoryTotal: 1000_000, InterferenceDelay: time.Second}
		if change != nil {
			change(i, &ca)
		}
		in.Candidates = append(in.Candidates, ca)
	}
	return in
}

func TestChooseShort(t *testing.T) {
	short := policy.Prompt{Tokens: 1_000}
	addLongPrompt := func(ca *policy.Candidate) {
		ca.InFlightLong, ca.InFlightPrefill[policy.NumLengthBands-1] = 1, 500_000
	}
	tests := map[string]struct {
		change     func(i int, ca *policy.Candidate)
		wantPlaced bool
		want       int
	}{
		"chooses the target without a long prompt": {change: func(i int, ca *policy.Candidate) {
			if i != 2 {
				addLongPrompt(ca)
			}
		}, wantPlaced: true, want: 2},
		"prefers a short queue to a long prompt": {change: func(i int, ca *policy.Candidate) {
			addLongPrompt(ca)
			if i == 1 {
				*ca = policy.Candidate{Name: ca.Name, PrefillRate: ca.PrefillRate, MemoryTotal: ca.MemoryTotal}
				ca.InFlightPrefill[0] = 5_000
			}
		}, wantPlaced: true, want: 1},
		"prefers a long prompt to a long queue": {change: func(i int, ca *policy.Candidate) {
			ca.InFlightPrefill[0] = 50_000
			if i == 0 {
				ca.InFlightPrefill[0] = 0
				addLongPrompt(ca)
			}
		}, wantPlaced: true, want: 0},
		"waits if no target has free memory": {change: func(_ int, ca *policy.Candidate) { ca.InFlightMemory = ca.MemoryTotal }},
	}
	for name, tc := range tests {
		t.Run(name, func(t *testing.T) {
			g := NewWithT(t)
			dec := Choose(newInput(3, short, tc.change))
			g.Expect(dec.Placed).To(Equal(tc.wantPlaced))
			if tc.wantPlaced {
				g.Expect(dec.Index).To(Equal(tc.want))
			}
		})
	}
}

func TestNumberOfLongPromptTargets(t *testing.T) {
	long := policy.Prompt{Tokens: 200_000, Long: true}
	tests := map[string]struct {
		hasDemand bool
		demand    policy.Demand
		want      int
	}{
		"configured share without demand":              {want: 4},
		"no short prompts arrive":                      {hasDemand: true, want: 4},
		"short prompts need most targets":              {hasDemand: true, demand: policy.Demand{ShortRate: 35_000}, want: 1},
		"short prompts need more than all targets":     {hasDemand: true, demand: policy.Demand{ShortRate: 1e9}, want: 1},
		"long prompts would miss their deadlines":      {hasDemand: true, demand: policy.Demand{ShortRate: 1e9, RequiredLongRate: 25_000}, want: 3},
		"long prompts need more than the share allows": {hasDemand: true, demand: policy.Demand{ShortRate: 1e9, RequiredLongRate: 1e9}, want: 4},
	}
	for name, tc := range tests {
		t.Run(name, func(t *testing.T) {
			g := NewWithT(t)
			in := newInput(10, long, nil)
			in.HasDemand, in.Demand = tc.hasDemand, tc.demand
			marked := 0
			for i, m := range LongPromptTargets(in) {
				if m {
					marked++
					in.Candidates[i].InFlightLong = 1
				}
			}
			g.Expect(marked).To(Equal(tc.want))
			g.Expect(Choose(in).Placed).To(BeFalse(), "every target for long prompts already has one")
		})
	}
}
