package retry_test

import (
	"testing"
	"time"

	. "github.com/onsi/gomega"

	"github.com/silvermount/silvermount/internal/budget"
	"github.com/silvermount/silvermount/internal/failure"
	"github.com/silvermount/silvermount/internal/retry"
)

func TestShouldRetry(t *testing.T) {
	always := func() bool { return true }
	never := func() bool { return false }
	tests := map[string]struct {
		fa      retry.FailedAttempt
		balance float64
		want    bool
		// wantWithdrawn is set when the retry is withdrawn from the budget.
		wantWithdrawn bool
	}{
		"target lost":                         {retry.FailedAttempt{Code: failure.TargetLost, Attempts: 1, MaxAttempts: 2}, 1, true, true},
		"target refused":                      {retry.FailedAttempt{Code: failure.TargetRefused, Attempts: 1, MaxAttempts: 2}, 1, true, true},
		"target shed":                         {retry.FailedAttempt{Code: failure.TargetShed, Attempts: 1, MaxAttempts: 2}, 1, true, true},
		"target unreachable, nothing sent":    {retry.FailedAttempt{Code: failure.TargetUnreachable, MaxAttempts: 2}, 1, false, false},
		"bad request":                         {retry.FailedAttempt{Code: failure.BadRequest, Attempts: 1, MaxAttempts: 2}, 1, false, false},
		"body too large for the target":       {retry.FailedAttempt{Code: failure.TooLarge, Attempts: 1, MaxAttempts: 2}, 1, false, false},
		"caller gone":                         {retry.FailedAttempt{Code: failure.CallerGone, Attempts: 1, MaxAttempts: 2}, 1, false, false},
		"request cancelled":                   {retry.FailedAttempt{Code: failure.TargetLost, Cancelled: true, Attempts: 1, MaxAttempts: 2}, 1, false, false},
		"no attempt left":                     {retry.FailedAttempt{Code: failure.TargetLost, Attempts: 2, MaxAttempts: 2}, 1, false, false},
		"at most once, not run":               {retry.FailedAttempt{Code: failure.TargetLost, AtMostOnce: true, Attempts: 1, MaxAttempts: 2}, 1, true, true},
		"at most once, may have run":          {retry.FailedAttempt{Code: failure.TargetLost, AtMostOnce: true, MayHaveRun: true, Attempts: 1, MaxAttempts: 2}, 1, false, false},
		"repeatable, may have run":            {retry.FailedAttempt{Code: failure.TargetLost, MayHaveRun: true, Attempts: 1, MaxAttempts: 2}, 1, true, true},
		"response started, can be resumed":    {retry.FailedAttempt{Code: failure.TargetLost, ResponseStarted: true, TryResume: always, Attempts: 1, MaxAttempts: 2}, 1, true, true},
		"response started, cannot be resumed": {retry.FailedAttempt{Code: failure.TargetLost, ResponseStarted: true, TryResume: never, Attempts: 1, MaxAttempts: 2}, 1, false, false},
		"budget empty":                        {retry.FailedAttempt{Code: failure.TargetLost, Attempts: 1, MaxAttempts: 2}, 0, false, false},
		"budget taken":                        {retry.FailedAttempt{Code: failure.TargetLost, BudgetTaken: true, Attempts: 1, MaxAttempts: 2}, 0, true, false},
		"budget taken, not withdrawn again":   {retry.FailedAttempt{Code: failure.TargetLost, BudgetTaken: true, Attempts: 1, MaxAttempts: 2}, 1, true, false},
		"budget taken, request cancelled":     {retry.FailedAttempt{Code: failure.TargetLost, BudgetTaken: true, Cancelled: true, Attempts: 1, MaxAttempts: 2}, 1, false, false},
		"budget taken, no attempt left":       {retry.FailedAttempt{Code: failure.TargetLost, BudgetTaken: true, Attempts: 2, MaxAttempts: 2}, 1, false, false},
	}
	for name, tc := range tests {
		t.Run(name, func(t *testing.T) {
			g := NewWithT(t)
			now := func() time.Time { return time.Unix(0, 0) }
			rt := budget.NewRetries(0, now, budget.WithBurst(tc.balance), budget.WithMinRate(0))
			g.Expect(tc.fa.ShouldRetry(rt.TryWithdraw)).To(Equal(tc.want))
			g.Expect(rt.Available()).To(Equal(tc.balance >= 1 && !tc.wantWithdrawn))
		})
	}
}

// TestResumptionIsNotPreparedWithoutRetry guards against preparing a resumption for a request that is not retried: here, one that
// must run at most once and may have run.
func TestResumptionIsNotPreparedWithoutRetry(t *testing.T) {
	g := NewWithT(t)
	called := false
	fa := retry.FailedAttempt{
		Code: failure.TargetLost, AtMostOnce: true, MayHaveRun: true, Attempts: 1, MaxAttempts: 2, ResponseStarted: true,
		TryResume: func() bool { called = true; return true },
	}
	g.Expect(fa.ShouldRetry(budget.NewRetries(0, time.Now).TryWithdraw)).To(BeFalse())
	g.Expect(called).To(BeFalse())
}
