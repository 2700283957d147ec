package lanes

import (
	"fmt"
	"testing"
	"time"

	. "github.com/onsi/gomega"

	"github.com/silvermount/silvermount/internal/policy"
)

func newInput(n int, rq policy.Prompt, change func(i int, ca *policy.Candidate)) policy.Input {
	in := policy.Input{Prompt: rq, Limits: policy.Limits{MaxLongPerTarget: 1, MaxLongTargetShare: 0.4}}
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
	busyLong := func(ca *policy.Candidate) {
		ca.InFlightLong, ca.InFlightPrefill[policy.NumLengthBands-1] = 1, 500_000
	}
	tests := map[string]struct {
		change  func(i int, ca *policy.Candidate)
		wantRun bool
		want    int
	}{
		"idle beside a long prompt": {change: func(i int, ca *policy.Candidate) {
			if i != 2 {
				busyLong(ca)
			}
		}, wantRun: true, want: 2},
		"a short queue before a long prompt": {change: func(i int, ca *policy.Candidate) {
			busyLong(ca)
			if i == 1 {
				*ca = policy.Candidate{Name: ca.Name, PrefillRate: ca.PrefillRate, MemoryTotal: ca.MemoryTotal}
				ca.InFlightPrefill[0] = 5_000
			}
		}, wantRun: true, want: 1},
		"a long queue is worse than a long prompt": {change: func(i int, ca *policy.Candidate) {
			ca.InFlightPrefill[0] = 50_000
			if i == 0 {
				ca.InFlightPrefill[0] = 0
				busyLong(ca)
			}
		}, wantRun: true, want: 0},
		"full memory everywhere": {change: func(_ int, ca *policy.Candidate) { ca.InFlightMemory = ca.MemoryTotal }},
	}
	for name, tc := range tests {
		t.Run(name, func(t *testing.T) {
			g := NewWithT(t)
			dec := Choose(newInput(3, short, tc.change))
			g.Expect(dec.Placed).To(Equal(tc.wantRun))
			if tc.wantRun {
				g.Expect(dec.Index).To(Equal(tc.want))
			}
		})
	}
}

func TestNumberOfLongPromptTargets(t *testing.T) {
	long := policy.Prompt{Tokens: 200_000, Long: true}
	tests := map[string]struct {
		follows bool
		demand  policy.Demand
		want    int
	}{
		"by the share":                     {want: 4},
		"no demand of short ones":          {follows: true, want: 4},
		"short ones need most":             {follows: true, demand: policy.Demand{ShortRate: 35_000}, want: 1},
		"short ones need more than all":    {follows: true, demand: policy.Demand{ShortRate: 1e9}, want: 1},
		"long ones would be late":          {follows: true, demand: policy.Demand{ShortRate: 1e9, RequiredLongRate: 25_000}, want: 3},
		"never more than the share allows": {follows: true, demand: policy.Demand{ShortRate: 1e9, RequiredLongRate: 1e9}, want: 4},
	}
	for name, tc := range tests {
		t.Run(name, func(t *testing.T) {
			g := NewWithT(t)
			in := newInput(10, long, nil)
			in.HasDemand, in.Demand = tc.follows, tc.demand
			marked := 0
			for i, m := range LongPromptTargets(in) {
				if m {
					marked++
					in.Candidates[i].InFlightLong = 1
				}
			}
			g.Expect(marked).To(Equal(tc.want))
			g.Expect(Choose(in).Placed).To(BeFalse(), "all targets for long prompts have one")
		})
	}
}
