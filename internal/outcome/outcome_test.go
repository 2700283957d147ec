package outcome_test

import (
	"testing"

	. "github.com/onsi/gomega"

	"github.com/silvermount/silvermount/internal/failure"
	"github.com/silvermount/silvermount/internal/outcome"
)

func TestAggregateCombinesAttempts(t *testing.T) {
	tests := map[string]struct {
		attempts []failure.Outcome
		last     failure.Outcome
		want     failure.Outcome
		wantOf   failure.Outcome
	}{
		"nothing sent":                         {nil, failure.NotRun, failure.NotRun, failure.NotRun},
		"no attempt was run":                   {[]failure.Outcome{failure.NotRun, failure.NotRun}, failure.NotRun, failure.NotRun, failure.NotRun},
		"an earlier one may have run":          {[]failure.Outcome{failure.Unknown, failure.NotRun}, failure.NotRun, failure.Unknown, failure.Unknown},
		"an earlier one failed":                {[]failure.Outcome{failure.Failed}, failure.NotRun, failure.Failed, failure.Failed},
		"the latest that may have run decides": {[]failure.Outcome{failure.Unknown, failure.Failed}, failure.NotRun, failure.Failed, failure.Failed},
		"a failure that was sent says itself":  {[]failure.Outcome{failure.Failed}, failure.Unknown, failure.Failed, failure.Unknown},
	}
	for name, tc := range tests {
		t.Run(name, func(t *testing.T) {
			g := NewWithT(t)
			var kn outcome.Aggregate
			for _, o := range tc.attempts {
				kn.Add(o)
			}
			g.Expect(kn.Outcome()).To(Equal(tc.want))
			g.Expect(kn.MayHaveRun()).To(Equal(tc.want != failure.NotRun))
			g.Expect(kn.Apply(failure.New(failure.NoTarget, tc.last, "late")).Outcome).To(Equal(tc.wantOf))
		})
	}
}
