package gatewaydeps

import (
	"testing"
	"testing/synctest"
	"time"

	. "github.com/onsi/gomega"
)

// TestBehindFor records announced versions one second apart, and asks for the time one second after the last.
func TestBehindFor(t *testing.T) {
	upTo := func(last int64) []int64 {
		var versions []int64
		for v := range last {
			versions = append(versions, v+1)
		}
		return versions
	}
	tests := map[string]struct {
		announced []int64
		inForce   int64
		want      time.Duration
	}{
		"nothing announced":                   {nil, 1, 0},
		"in force":                            {[]int64{5}, 5, 0},
		"newer version in force":              {[]int64{5}, 6, 0},
		"one version behind":                  {[]int64{5}, 4, time.Second},
		"nothing in force":                    {[]int64{5}, 0, time.Second},
		"announced again":                     {[]int64{5, 5, 5}, 4, 3 * time.Second},
		"older version announced later":       {[]int64{5, 4}, 4, 2 * time.Second},
		"series":                              {[]int64{5, 6, 7}, 4, 3 * time.Second},
		"series, in part in force":            {[]int64{5, 6, 7}, 5, 2 * time.Second},
		"series, all in force":                {[]int64{5, 6, 7}, 7, 0},
		"more than maxMissing":                {upTo(3 * maxMissing), 0, 3 * maxMissing * time.Second},
		"more than maxMissing, some in force": {upTo(3 * maxMissing), maxMissing, (2*maxMissing + 1) * time.Second},
		"more than maxMissing, all in force":  {upTo(3 * maxMissing), 3 * maxMissing, 0},
	}
	for name, tc := range tests {
		t.Run(name, func(t *testing.T) {
			synctest.Test(t, func(t *testing.T) {
				g := NewWithT(t)
				var sc StoreCoordinator
				for _, version := range tc.announced {
					sc.RecordPeerVersion(version)
					time.Sleep(time.Second)
				}
				g.Expect(sc.BehindFor(tc.inForce)).To(Equal(tc.want))
				g.Expect(sc.BehindFor(tc.inForce)).To(Equal(tc.want), "second call")
			})
		})
	}
}
