package budget

import (
	"testing"
	"time"

	. "github.com/onsi/gomega"
)

func TestRetriesStayWithinTheirShare(t *testing.T) {
	tests := map[string]struct {
		share     float64
		firsts    int
		asks      int
		idle      time.Duration
		wantAtMax int
	}{
		"burst only":       {share: 0.1, asks: 100, wantAtMax: defaultBurst},
		"share of firsts":  {share: 0.1, firsts: 1000, asks: 1000, wantAtMax: 100 + defaultBurst},
		"idle never saves": {share: 0.1, asks: 100, idle: time.Hour, wantAtMax: defaultBurst},
	}
	for name, tc := range tests {
		t.Run(name, func(t *testing.T) {
			g := NewWithT(t)
			now := time.Unix(0, 0)
			rt := NewRetries(tc.share, func() time.Time { return now })
			now = now.Add(tc.idle)
			got := 0
			for i := range max(tc.firsts, tc.asks) {
				if i < tc.firsts {
					rt.Deposit()
				}
				if i < tc.asks && rt.TryWithdraw() {
					got++
				}
			}
			g.Expect(got).To(And(BeNumerically(">", 0), BeNumerically("<=", tc.wantAtMax)))
		})
	}
}

func TestMemoryNeverExceedsItsLimit(t *testing.T) {
	g := NewWithT(t)
	mm := NewMemory(10)
	g.Expect(mm.TryAcquire(7)).To(BeTrue())
	g.Expect(mm.TryAcquire(4)).To(BeFalse())
	mm.Release(7)
	g.Expect(mm.TryAcquire(10)).To(BeTrue())
	g.Expect(mm.Used()).To(Equal(int64(10)))
}
