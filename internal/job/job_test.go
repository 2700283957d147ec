package job

import (
	"testing"
	"time"

	. "github.com/onsi/gomega"
)

func TestNextAction(t *testing.T) {
	now := time.Unix(1_000_000, 0)
	open := Record{State: Queued, Deadline: now.Add(time.Hour)}
	late := Record{State: Queued, Deadline: now.Add(-time.Second)}
	kept := open.WithResult(Done, Result{Ended: now.Add(-ResultRetention / 2)})
	old := open.WithResult(Done, Result{Ended: now.Add(-ResultRetention - 1)})
	never := open
	never.AtMostOnce = true
	tests := map[string]struct {
		rc   Record
		want Action
	}{
		"queued is taken":                            {rc: open, want: ActionRun},
		"queued past its deadline":                   {rc: late, want: ActionExpire},
		"running by a live owner":                    {rc: open.WithOwner("live"), want: ActionNone},
		"late but running by a live owner":           {rc: late.WithOwner("live"), want: ActionNone},
		"owner is gone":                              {rc: open.WithOwner("gone"), want: ActionRun},
		"owner is gone past the deadline":            {rc: late.WithOwner("gone"), want: ActionExpire},
		"never repeated, owner gone before dispatch": {rc: never.WithOwner("gone"), want: ActionRun},
		"never repeated, owner gone after dispatch":  {rc: never.WithOwner("gone").WithDispatched(), want: ActionMarkUnknown},
		"never repeated, given back before dispatch": {rc: never.WithOwner("gone").WithRequeued(), want: ActionRun},
		"result is kept":                             {rc: kept, want: ActionNone},
		"result was kept long enough":                {rc: old, want: ActionDelete},
	}
	for name, tc := range tests {
		t.Run(name, func(t *testing.T) {
			got := NextAction(tc.rc, now, func(incarnation string) bool { return incarnation == "gone" })
			NewWithT(t).Expect(got).To(Equal(tc.want))
		})
	}
}

// TestJobThatLosesItsTargets follows a job whose every run loses its target, for as long as it may take.
func TestBackOffOfJobThatLosesEveryTarget(t *testing.T) {
	g := NewWithT(t)
	nobody := func(string) bool { return false }
	began := time.Unix(1_000_000, 0)
	rc := Record{State: Queued, Created: began, Deadline: began.Add(24 * time.Hour)}
	runs := 0
	var first []time.Duration
	for now := began; now.Before(rc.Deadline); now = now.Add(250 * time.Millisecond) {
		if NextAction(rc, now, nobody) != ActionRun {
			continue
		}
		runs++
		if len(first) < 5 {
			first = append(first, now.Sub(began))
		}
		rc = rc.WithOwner("me").WithTargetLost(now)
	}
	g.Expect(first).To(Equal([]time.Duration{0, 250 * time.Millisecond, 1250 * time.Millisecond, 3250 * time.Millisecond, 7250 * time.Millisecond}))
	g.Expect(runs).To(Equal(154))
	g.Expect(NextAction(rc, rc.Deadline.Add(time.Second), nobody)).To(Equal(ActionExpire))
}
