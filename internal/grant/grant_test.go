package grant

import (
	"testing"
	"time"

	. "github.com/onsi/gomega"
)

func TestTryAcquireWhileGrantIsHeld(t *testing.T) {
	a, b := Key{Holder: "a", ID: 1}, Key{Holder: "b", ID: 2}
	tests := map[string]struct {
		between func(lg *Ledger, now *time.Time)
		memory  int
		want    bool
	}{
		"second long prompt waits":        {between: func(*Ledger, *time.Time) {}, memory: 1},
		"room after release":              {between: func(lg *Ledger, _ *time.Time) { lg.Release(a) }, memory: 1, want: true},
		"room after holder is gone":       {between: func(lg *Ledger, _ *time.Time) { lg.ReleaseHolder("a") }, memory: 1, want: true},
		"lost answer runs out":            {between: func(_ *Ledger, now *time.Time) { *now = now.Add(LeaseDuration + 1) }, memory: 1, want: true},
		"renewed by heartbeat":            {between: renewedAfterHalfLease(1), memory: 1},
		"heartbeat without use runs out":  {between: renewedAfterHalfLease(0), memory: 1, want: true},
		"more memory than the target has": {between: func(lg *Ledger, _ *time.Time) { lg.Release(a) }, memory: 101},
	}
	for name, tc := range tests {
		t.Run(name, func(t *testing.T) {
			g := NewWithT(t)
			now := time.Unix(0, 0)
			lg := New(1, func(string) (int, int, int) { return 0, 0, 100 }, func() time.Time { return now })
			g.Expect(lg.TryAcquire(a, "t", 1, time.Minute)).To(BeTrue())
			tc.between(lg, &now)
			g.Expect(lg.TryAcquire(b, "t", tc.memory, time.Minute)).To(Equal(tc.want))
		})
	}
}

func renewedAfterHalfLease(inUse int) func(*Ledger, *time.Time) {
	return func(lg *Ledger, now *time.Time) {
		*now = now.Add(LeaseDuration / 2)
		lg.Renew("a", "t", inUse)
		*now = now.Add(LeaseDuration/2 + 1)
	}
}
