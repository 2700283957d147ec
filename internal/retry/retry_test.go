package retry_test

import (
	"testing"
	"time"

	. "github.com/onsi/gomega"

	"github.com/silvermount/silvermount/internal/budget"
	"github.com/silvermount/silvermount/internal/failure"
	"github.com/silvermount/silvermount/internal/retry"
)

func TestAgain(t *testing.T) {
	always := func() bool { return true }
	never := func() bool { return false }
	tests := map[string]struct {
		cs    retry.FailedAttempt
		saved float64
		want  bool
		// wantTaken is set when the retry comes out of the budget.
		wantTaken bool
	}{
		"lost target":              {retry.FailedAttempt{Code: failure.TargetLost, Attempts: 1, MaxAttempts: 2}, 1, true, true},
		"target that refused":      {retry.FailedAttempt{Code: failure.TargetRefused, Attempts: 1, MaxAttempts: 2}, 1, true, true},
		"target without room":      {retry.FailedAttempt{Code: failure.TargetShed, Attempts: 1, MaxAttempts: 2}, 1, true, true},
		"nothing was sent":         {retry.FailedAttempt{Code: failure.TargetUnreachable, MaxAttempts: 2}, 1, false, false},
		"fault of the request":     {retry.FailedAttempt{Code: failure.BadRequest, Attempts: 1, MaxAttempts: 2}, 1, false, false},
		"body too large there":     {retry.FailedAttempt{Code: failure.TooLarge, Attempts: 1, MaxAttempts: 2}, 1, false, false},
		"caller gone":              {retry.FailedAttempt{Code: failure.CallerGone, Attempts: 1, MaxAttempts: 2}, 1, false, false},
		"no time":                  {retry.FailedAttempt{Code: failure.TargetLost, Cancelled: true, Attempts: 1, MaxAttempts: 2}, 1, false, false},
		"no attempt left":          {retry.FailedAttempt{Code: failure.TargetLost, Attempts: 2, MaxAttempts: 2}, 1, false, false},
		"once and not run":         {retry.FailedAttempt{Code: failure.TargetLost, AtMostOnce: true, Attempts: 1, MaxAttempts: 2}, 1, true, true},
		"once and may have run":    {retry.FailedAttempt{Code: failure.TargetLost, AtMostOnce: true, MayHaveRun: true, Attempts: 1, MaxAttempts: 2}, 1, false, false},
		"repeatable and run":       {retry.FailedAttempt{Code: failure.TargetLost, MayHaveRun: true, Attempts: 1, MaxAttempts: 2}, 1, true, true},
		"begun and goes on":        {retry.FailedAttempt{Code: failure.TargetLost, ResponseStarted: true, TryResume: always, Attempts: 1, MaxAttempts: 2}, 1, true, true},
		"begun and does not":       {retry.FailedAttempt{Code: failure.TargetLost, ResponseStarted: true, TryResume: never, Attempts: 1, MaxAttempts: 2}, 1, false, false},
		"budget empty":             {retry.FailedAttempt{Code: failure.TargetLost, Attempts: 1, MaxAttempts: 2}, 0, false, false},
		"paid":                     {retry.FailedAttempt{Code: failure.TargetLost, BudgetTaken: true, Attempts: 1, MaxAttempts: 2}, 0, true, false},
		"paid takes no second":     {retry.FailedAttempt{Code: failure.TargetLost, BudgetTaken: true, Attempts: 1, MaxAttempts: 2}, 1, true, false},
		"paid but no time":         {retry.FailedAttempt{Code: failure.TargetLost, BudgetTaken: true, Cancelled: true, Attempts: 1, MaxAttempts: 2}, 1, false, false},
		"paid but no attempt left": {retry.FailedAttempt{Code: failure.TargetLost, BudgetTaken: true, Attempts: 2, MaxAttempts: 2}, 1, false, false},
	}
	for name, tc := range tests {
		t.Run(name, func(t *testing.T) {
			g := NewWithT(t)
			now := func() time.Time { return time.Unix(0, 0) }
			rt := budget.NewRetries(0, now, budget.WithBurst(tc.saved), budget.WithMinRate(0))
			g.Expect(tc.cs.ShouldRetry(rt)).To(Equal(tc.want))
			g.Expect(rt.Available()).To(Equal(tc.saved >= 1 && !tc.wantTaken))
		})
	}
}

// TestContinuationIsPreparedLast prepares nothing for a request that ends anyway.
func TestContinuationIsPreparedLast(t *testing.T) {
	g := NewWithT(t)
	asked := false
	cs := retry.FailedAttempt{
		Code: failure.TargetLost, AtMostOnce: true, MayHaveRun: true, Attempts: 1, MaxAttempts: 2, ResponseStarted: true,
		TryResume: func() bool { asked = true; return true },
	}
	g.Expect(cs.ShouldRetry(budget.NewRetries(0, time.Now))).To(BeFalse())
	g.Expect(asked).To(BeFalse())
}
