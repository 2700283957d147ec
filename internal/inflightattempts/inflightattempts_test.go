package inflightattempts_test

import (
	"context"
	"testing"
	"time"

	"github.com/cockroachdb/errors"
	. "github.com/onsi/gomega"

	"github.com/silvermount/silvermount/internal/inflightattempts"
	"github.com/silvermount/silvermount/internal/targetloss"
)

// now is the time at which evidence becomes certain in these tests; the target was first found silent silence before.
var now = time.Unix(1000, 0)

const silence = 1400 * time.Millisecond

// longSilent stands for targetloss.Unanswered after another second.
const longSilent targetloss.Kind = "long silent"

// longSuspected stands for targetloss.Unanswered after a suspicion that arose a second before the first order, and longUnreachable for
// targetloss.Unreachable for 3 s without an order.
const (
	longSuspected   targetloss.Kind = "long suspected"
	longUnreachable targetloss.Kind = "long unreachable"
)

// refusedOnce stands for targetloss.Refused after one order without an answer.
const refusedOnce targetloss.Kind = "refused once"

func evidence(target string, kind targetloss.Kind) targetloss.Evidence {
	if kind == refusedOnce {
		return targetloss.Evidence{Target: target, Kind: targetloss.Refused, Since: now.Add(-silence), At: now, Orders: 1}
	}
	ev := targetloss.Evidence{Target: target, Kind: kind, Since: now.Add(-silence), FirstOrderAt: now.Add(-silence), At: now, Orders: 2}
	switch kind {
	case longSilent:
		ev.Kind, ev.Orders = targetloss.Unanswered, 3
		ev.Since, ev.FirstOrderAt = now.Add(-silence-time.Second), now.Add(-silence-time.Second)
	case longSuspected:
		ev.Kind, ev.Since = targetloss.Unanswered, now.Add(-silence-time.Second)
	case longUnreachable:
		ev.Kind, ev.Since, ev.FirstOrderAt, ev.Orders = targetloss.Unreachable, now.Add(-3*time.Second), time.Time{}, 0
	}
	return ev
}

// TestWhichAttemptsEnd guards against attempts that are ended although their answer may still come, against streams that are ended while
// their events arrive, and against memory that stays reserved for an attempt at a lost target.
func TestWhichAttemptsEnd(t *testing.T) {
	const main, helper, other = "main", "helper", "other"
	silent, final := targetloss.Unanswered, targetloss.Superseded
	memory := []string{main, helper}
	ago := func(d time.Duration) time.Time { return now.Add(-d) }
	tests := map[string]struct {
		lost    string
		kind    targetloss.Kind
		memory  []string
		once    bool
		status  inflightattempts.Status
		noRetry bool
		want    bool
	}{
		"silent main with memory, no retry left":      {main, silent, memory, false, inflightattempts.Status{}, true, true},
		"silent helper with memory":                   {helper, silent, memory, false, inflightattempts.Status{}, false, true},
		"unreachable main":                            {main, targetloss.Unreachable, nil, false, inflightattempts.Status{}, false, true},
		"silent main, no retry left":                  {main, silent, nil, false, inflightattempts.Status{}, true, false},
		"main has ended, no retry left":               {main, final, nil, false, inflightattempts.Status{}, true, true},
		"another target":                              {other, final, memory, false, inflightattempts.Status{}, false, false},
		"at most once, silent":                        {main, silent, nil, true, inflightattempts.Status{}, false, false},
		"at most once, silent for long":               {main, longSilent, nil, true, inflightattempts.Status{}, false, false},
		"at most once with memory, silent":            {main, silent, memory, true, inflightattempts.Status{}, false, false},
		"at most once with memory, lease nearly over": {main, longSilent, memory, true, inflightattempts.Status{}, true, true},
		"at most once with memory, suspected before":  {main, longSuspected, memory, true, inflightattempts.Status{}, true, false},
		"at most once with memory, no order":          {main, longUnreachable, memory, true, inflightattempts.Status{}, true, false},
		"at most once, process has ended":             {main, final, nil, true, inflightattempts.Status{}, true, true},
		"listener closed, connection open":            {main, refusedOnce, nil, false, inflightattempts.Status{Sent: true}, false, false},
		"listener closed, with memory":                {main, refusedOnce, memory, false, inflightattempts.Status{Sent: true}, false, false},
		"listener closed, at most once":               {main, targetloss.Refused, nil, true, inflightattempts.Status{Sent: true}, false, false},
		"listener closed, with memory, orders fail":   {main, targetloss.Refused, memory, false, inflightattempts.Status{Sent: true}, true, true},
		"listener of helper closed, with memory":      {helper, refusedOnce, memory, false, inflightattempts.Status{Sent: true}, false, false},
		"listener closed, not connected yet":          {main, refusedOnce, nil, false, inflightattempts.Status{}, true, true},
		"answer received, not read":                   {main, final, memory, false, inflightattempts.Status{HasUnreadData: true}, false, false},
		"data since the evidence began":               {main, silent, memory, false, inflightattempts.Status{LastDataAt: ago(time.Second)}, false, false},
		"stream with events":                          {main, silent, memory, false, inflightattempts.Status{Answered: true, LastDataAt: ago(time.Second)}, false, false},
		"stream with events, main has ended":          {main, final, memory, false, inflightattempts.Status{Answered: true, LastDataAt: ago(time.Second)}, false, false},
		"stream that has stopped, with memory":        {main, silent, memory, false, inflightattempts.Status{Answered: true, LastDataAt: ago(3 * time.Second)}, true, true},
		"stream that has stopped, without memory":     {main, silent, nil, false, inflightattempts.Status{Answered: true, LastDataAt: ago(3 * time.Second)}, false, false},
		"stream that has stopped, at most once":       {main, silent, memory, true, inflightattempts.Status{Answered: true, LastDataAt: ago(3 * time.Second)}, false, false},
		"stream that has stopped, at most once, lease nearly over": {
			main, longSilent, memory, true, inflightattempts.Status{Answered: true, LastDataAt: ago(3 * time.Second)}, true, true,
		},
		"stream with events, lease nearly over": {
			main, longSilent, memory, true, inflightattempts.Status{Answered: true, LastDataAt: ago(time.Second)}, true, false,
		},
		"stream that has stopped, helper has memory": {helper, silent, memory, false, inflightattempts.Status{Answered: true, LastDataAt: ago(3 * time.Second)}, false, true},
	}
	for name, tc := range tests {
		t.Run(name, func(t *testing.T) {
			g := NewWithT(t)
			rg := inflightattempts.New(func() time.Time { return now })
			ctx, hd := rg.Begin(context.Background(), inflightattempts.Attempt{
				Target: main, Memory: tc.memory, AtMostOnce: tc.once, MaxSilence: func() time.Duration { return 2 * time.Second },
				Status: func() inflightattempts.Status { return tc.status }, TryRetry: func() bool { return !tc.noRetry },
				HasOther: func() bool { return !tc.noRetry },
			})
			defer hd.End()
			rg.Record(evidence(tc.lost, tc.kind))
			g.Expect(ctx.Err() != nil).To(Equal(tc.want))
			if tc.want {
				var le *inflightattempts.LostTargetError
				g.Expect(errors.As(context.Cause(ctx), &le)).To(BeTrue())
				g.Expect(le.Evidence).To(Equal(evidence(tc.lost, tc.kind)))
			}
		})
	}
}

// TestEndedAttemptIsForgotten guards against evidence that cancels an attempt which has ended, or takes a retry for it, and against a
// registry that grows.
func TestEndedAttemptIsForgotten(t *testing.T) {
	g := NewWithT(t)
	rg := inflightattempts.New(func() time.Time { return now })
	retries := 0
	_, hd := rg.Begin(context.Background(), inflightattempts.Attempt{
		Target: "main", Memory: []string{"main", "helper"}, Status: func() inflightattempts.Status { return inflightattempts.Status{} },
		TryRetry: func() bool { retries++; return true },
	})
	g.Expect(rg.InFlight("helper")).To(BeTrue())
	hd.End()
	rg.Record(evidence("main", targetloss.Unanswered))
	g.Expect(retries).To(BeZero())
	g.Expect(rg.InFlight("main")).To(BeFalse())
	g.Expect(rg.InFlight("helper")).To(BeFalse())
}

// TestNoRetryIsTakenBeforeSending guards against retries that are withdrawn from the budget and not used.
func TestNoRetryIsTakenBeforeSending(t *testing.T) {
	for name, sent := range map[string]bool{"dialling": false, "sent": true} {
		t.Run(name, func(t *testing.T) {
			g := NewWithT(t)
			rg := inflightattempts.New(func() time.Time { return now })
			ctx, hd := rg.Begin(context.Background(), inflightattempts.Attempt{
				Target: "main", Status: func() inflightattempts.Status { return inflightattempts.Status{Sent: sent} },
				HasOther: func() bool { return true }, TryRetry: func() bool { return true },
			})
			rg.Record(evidence("main", targetloss.Unanswered))
			g.Expect(ctx.Err()).To(HaveOccurred())
			g.Expect(hd.End()).To(Equal(sent))
		})
	}
}
