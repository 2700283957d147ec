package errorbudget

import (
	"testing"
	"time"

	. "github.com/onsi/gomega"

	"github.com/silvermount/silvermount/internal/bundle"
)

func TestReportRatesAndAlerts(t *testing.T) {
	classes := []bundle.Class{{Name: "call", Objective: bundle.Objective{Share: 0.99}}}
	tests := map[string]struct {
		missed, total int
		age           time.Duration
		wantRate      float64
		wantAlert     bool
	}{
		"within budget":                      {missed: 1, total: 100, wantRate: 1},
		"high burn rate":                     {missed: 30, total: 100, wantRate: 30, wantAlert: true},
		"only the long windows still burn":   {missed: 30, total: 100, age: 10 * time.Minute, wantRate: 0, wantAlert: true},
		"misses before the retention period": {missed: 30, total: 100, age: 7 * time.Hour, wantRate: 0},
	}
	for name, tc := range tests {
		t.Run(name, func(t *testing.T) {
			g := NewWithT(t)
			now := time.Unix(1_000_000, 0)
			rc := New(func() time.Time { return now })
			for i := range tc.total {
				rc.Add("call", i < tc.missed)
			}
			now = now.Add(tc.age)
			oneInstance := rc.Windows()
			rows, alerts := Report(Merge(oneInstance, oneInstance), classes)
			g.Expect(rows[0].Length).To(Equal(5 * time.Minute))
			g.Expect(rows[0].Rate).To(BeNumerically("~", tc.wantRate, 1e-9))
			g.Expect(alerts != nil).To(Equal(tc.wantAlert))
		})
	}
}

func TestExpiredBucketsAreRemoved(t *testing.T) {
	g := NewWithT(t)
	now := time.Unix(0, 0)
	rc := New(func() time.Time { return now })
	for range 10_000 {
		rc.Add("call", false)
		now = now.Add(bucketLength)
	}
	g.Expect(len(rc.classes["call"])).To(BeNumerically("<=", int(retention/bucketLength)+1))
}
