package budget

import (
	"testing"
	"time"

	. "github.com/onsi/gomega"
)

func TestRetriesStayWithinRatioAndBurst(t *testing.T) {
	tests := map[string]struct {
		ratio         float64
		firstAttempts int
		retries       int
		idle          time.Duration
		wantMax       int
	}{
		"burst only":                          {ratio: 0.1, retries: 100, wantMax: defaultBurst},
		"ratio of first attempts":             {ratio: 0.1, firstAttempts: 1000, retries: 1000, wantMax: 100 + defaultBurst},
		"idle time does not exceed the burst": {ratio: 0.1, retries: 100, idle: time.Hour, wantMax: defaultBurst},
	}
	for name, tc := range tests {
		t.Run(name, func(t *testing.T) {
			g := NewWithT(t)
			now := time.Unix(0, 0)
			rt := NewRetries(tc.ratio, func() time.Time { return now })
			now = now.Add(tc.idle)
			granted := 0
			for i := range max(tc.firstAttempts, tc.retries) {
				if i < tc.firstAttempts {
					rt.Deposit()
				}
				if i < tc.retries && rt.TryWithdraw() {
					granted++
				}
			}
			g.Expect(granted).To(And(BeNumerically(">", 0), BeNumerically("<=", tc.wantMax)))
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
