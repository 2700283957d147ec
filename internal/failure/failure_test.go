package failure_test

import (
	"testing"

	"github.com/cockroachdb/errors"
	. "github.com/onsi/gomega"

	"github.com/silvermount/silvermount/internal/failure"
)

func TestFromError(t *testing.T) {
	full := failure.New(failure.Overloaded, failure.NotRun, "no room")
	plain := errors.New("broken")
	tests := map[string]struct {
		err         error
		wantCode    failure.Code
		wantOutcome failure.Outcome
		wantCause   error
	}{
		"a failure":                              {full, failure.Overloaded, failure.NotRun, nil},
		"a wrapped failure":                      {errors.Wrap(full, "acquire"), failure.Overloaded, failure.NotRun, nil},
		"any other error has an unknown outcome": {plain, failure.TargetLost, failure.Unknown, plain},
	}
	for name, tc := range tests {
		t.Run(name, func(t *testing.T) {
			g := NewWithT(t)
			fe := failure.FromError(tc.err)
			g.Expect(fe.Code).To(Equal(tc.wantCode))
			g.Expect(fe.Outcome).To(Equal(tc.wantOutcome))
			if tc.wantCause == nil {
				g.Expect(fe.Cause).To(BeNil())
				return
			}
			g.Expect(fe.Cause).To(MatchError(tc.wantCause))
		})
	}
}
