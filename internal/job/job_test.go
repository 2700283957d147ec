package job

import (
	"testing"
	"time"

	. "github.com/onsi/gomega"
)

func TestNextAction(t *testing.T) {
	now := time.Unix(1_000_000, 0)
	queued := Record{State: Queued, Deadline: now.Add(time.Hour)}
	late := Record{State: Queued, Deadline: now.Add(-time.Second)}
	done := queued.WithResult(Done, Result{Ended: now.Add(-ResultRetention / 2)})
	doneLongAgo := queued.WithResult(Done, Result{Ended: now.Add(-ResultRetention - 1)})
	atMostOnce := queued
	atMostOnce.AtMostOnce = true
	tests := map[string]struct {
		rc   Record
		want Action
	}{
		"queued before its deadline":                {rc: queued, want: ActionRun},
		"queued past its deadline":                  {rc: late, want: ActionExpire},
		"running on a live owner":                   {rc: queued.WithOwner("live"), want: ActionNone},
		"running on a live owner past its deadline": {rc: late.WithOwner("live"), want: ActionNone},
		"owner has ended":                           {rc: queued.WithOwner("gone"), want: ActionRun},
		"owner has ended and deadline is past":      {rc: late.WithOwner("gone"), want: ActionExpire},
		"at most once, owner ended before dispatch": {rc: atMostOnce.WithOwner("gone"), want: ActionRun},
		"at most once, owner ended after dispatch":  {rc: atMostOnce.WithOwner("gone").WithDispatched(), want: ActionMarkUnknown},
		"at most once, requeued before dispatch":    {rc: atMostOnce.WithOwner("gone").WithRequeued(), want: ActionRun},
		"done, within the retention time":           {rc: done, want: ActionNone},
		"done, past the retention time":             {rc: doneLongAgo, want: ActionDelete},
	}
	for name, tc := range tests {
		t.Run(name, func(t *testing.T) {
			got := NextAction(tc.rc, now, func(incarnation string) bool { return incarnation == "gone" })
			NewWithT(t).Expect(got).To(Equal(tc.want))
		})
	}
}

// This test runs a job that loses its target in every run, until its deadline. It guards against too frequent runs of a job that
// crashes its targets.
func TestBackOffOfJobThatLosesEveryTarget(t *testing.T) {
	g := NewWithT(t)
	ownerNeverEnds := func(string) bool { return false }
	start := time.Unix(1_000_000, 0)
	rc := Record{State: Queued, Created: start, Deadline: start.Add(24 * time.Hour)}
	runs := 0
	var firstRuns []time.Duration
	for now := start; now.Before(rc.Deadline); now = now.Add(250 * time.Millisecond) {
		if NextAction(rc, now, ownerNeverEnds) != ActionRun {
			continue
		}
		runs++
		if len(firstRuns) < 5 {
			firstRuns = append(firstRuns, now.Sub(start))
		}
		rc = rc.WithOwner("me").WithTargetLost(now)
	}
	g.Expect(firstRuns).To(Equal([]time.Duration{0, 250 * time.Millisecond, 1250 * time.Millisecond, 3250 * time.Millisecond, 7250 * time.Millisecond}))
	g.Expect(runs).To(Equal(154))
	g.Expect(NextAction(rc, rc.Deadline.Add(time.Second), ownerNeverEnds)).To(Equal(ActionExpire))
}
