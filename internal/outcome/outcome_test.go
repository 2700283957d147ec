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
		"no attempts":                          {nil, failure.NotRun, failure.NotRun, failure.NotRun},
		"no attempt ran":                       {[]failure.Outcome{failure.NotRun, failure.NotRun}, failure.NotRun, failure.NotRun, failure.NotRun},
		"an earlier attempt may have run":      {[]failure.Outcome{failure.Unknown, failure.NotRun}, failure.NotRun, failure.Unknown, failure.Unknown},
		"an earlier attempt failed":            {[]failure.Outcome{failure.Failed}, failure.NotRun, failure.Failed, failure.Failed},
		"the last attempt that may have run":   {[]failure.Outcome{failure.Unknown, failure.Failed}, failure.NotRun, failure.Failed, failure.Failed},
		"a failure with an outcome of its own": {[]failure.Outcome{failure.Failed}, failure.Unknown, failure.Failed, failure.Unknown},
	}
	for name, tc := range tests {
		t.Run(name, func(t *testing.T) {
			g := NewWithT(t)
			var ag outcome.Aggregate
			for _, o := range tc.attempts {
				ag.Add(o)
			}
			g.Expect(ag.Outcome()).To(Equal(tc.want))
			g.Expect(ag.MayHaveRun()).To(Equal(tc.want != failure.NotRun))
			g.Expect(ag.Apply(failure.New(failure.NoTarget, tc.last, "late")).Outcome).To(Equal(tc.wantOf))
		})
	}
}
