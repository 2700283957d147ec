package ratemeter

import (
	"testing"
	"time"

	. "github.com/onsi/gomega"
)

func TestRateFollowsArrivalsAndDecays(t *testing.T) {
	tests := map[string]struct {
		assumed float64
		every   time.Duration
		count   int
		idle    time.Duration
		want    float64
	}{
		"steady arrivals":                    {every: 100 * time.Millisecond, count: 200, want: 10_000},
		"assumed rate at the start":          {assumed: 5_000, want: 5_000},
		"assumed rate decays":                {assumed: 5_000, idle: 20 * TimeConstant, want: 0},
		"rate decays after the last arrival": {every: 100 * time.Millisecond, count: 200, idle: 20 * TimeConstant, want: 0},
	}
	for name, tc := range tests {
		t.Run(name, func(t *testing.T) {
			g := NewWithT(t)
			now := time.Unix(0, 0)
			mt := New(tc.assumed, func() time.Time { return now })
			for range tc.count {
				mt.Add(1_000)
				now = now.Add(tc.every)
			}
			now = now.Add(tc.idle)
			g.Expect(mt.Rate()).To(BeNumerically("~", tc.want, 600))
		})
	}
}
