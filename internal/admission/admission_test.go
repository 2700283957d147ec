package admission

import (
	"testing"
	"time"

	. "github.com/onsi/gomega"
)

func TestTryAcquireWhileGrantIsHeld(t *testing.T) {
	a, b := Key{Holder: "a", ID: 1}, Key{Holder: "b", ID: 2}
	tests := map[string]struct {
		event  func(lg *Ledger, now *time.Time)
		memory int
		want   bool
	}{
		"grant is held":                                {event: func(*Ledger, *time.Time) {}, memory: 1},
		"grant is released":                            {event: func(lg *Ledger, _ *time.Time) { lg.Release(a) }, memory: 1, want: true},
		"holder has ended":                             {event: func(lg *Ledger, _ *time.Time) { lg.ReleaseHolder("a") }, memory: 1, want: true},
		"lease expires without a heartbeat":            {event: func(_ *Ledger, now *time.Time) { *now = now.Add(LeaseDuration + 1) }, memory: 1, want: true},
		"heartbeat renews the lease":                   {event: renewedAfterHalfLease(1), memory: 1},
		"heartbeat states no use":                      {event: renewedAfterHalfLease(0), memory: 1, want: true},
		"prompt needs more memory than the target has": {event: func(lg *Ledger, _ *time.Time) { lg.Release(a) }, memory: 101},
	}
	for name, tc := range tests {
		t.Run(name, func(t *testing.T) {
			g := NewWithT(t)
			now := time.Unix(0, 0)
			lg := New(1, func(string) (int, int, int) { return 0, 0, 100 }, func() time.Time { return now })
			g.Expect(lg.TryAcquire(a, "t", 1, time.Minute)).To(BeTrue())
			tc.event(lg, &now)
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
