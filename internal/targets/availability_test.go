package targets_test

import (
	"testing"
	"time"

	. "github.com/onsi/gomega"

	"github.com/silvermount/silvermount/internal/position"
	"github.com/silvermount/silvermount/internal/set"
	"github.com/silvermount/silvermount/internal/targets"
)

// TestAvailabilityNamesTheReason guards against a return that is not noticed, because the target did not count as away before.
func TestAvailabilityNamesTheReason(t *testing.T) {
	tests := map[string]struct {
		target targets.Target
		change func(dr *targets.Directory)
		want   targets.Absence
	}{
		"healthy":   {},
		"leaving":   {change: func(dr *targets.Directory) { dr.MarkLeaving("a") }, want: targets.AbsentLeaving},
		"cold":      {target: targets.Target{WarmUp: time.Second}, want: targets.AbsentCold},
		"evacuated": {target: targets.Target{AvailabilityZone: "evacuated"}, want: targets.AbsentEvacuated},
		"no connection": {
			change: func(dr *targets.Directory) { dr.RecordReachable("b"); dr.RecordUnreachable("a") }, want: targets.AbsentUnreachable,
		},
		"failing": {
			change: func(dr *targets.Directory) {
				for range 5 {
					dr.RecordFailure("a")
				}
			}, want: targets.AbsentEjected,
		},
		"not listed": {
			change: func(dr *targets.Directory) {
				dr.ApplyList([]targets.Target{{ID: "b"}}, nil, position.Position{Revision: 2}, time.Unix(1000, 0))
			}, want: targets.AbsentGone,
		},
	}
	for name, tc := range tests {
		t.Run(name, func(t *testing.T) {
			dr := targets.New(func() time.Time { return time.Unix(1000, 0) }, targets.WithEvacuations(func() set.Set[string] { return set.Of("evacuated") }))
			tc.target.ID = "a"
			dr.ApplyList([]targets.Target{tc.target, {ID: "b"}}, nil, position.Position{Revision: 1}, time.Unix(1000, 0))
			if tc.change != nil {
				tc.change(dr)
			}
			for _, av := range dr.Availabilities() {
				if av.Target.ID == "a" {
					NewWithT(t).Expect(av.Absence).To(Equal(tc.want))
				}
			}
		})
	}
}
