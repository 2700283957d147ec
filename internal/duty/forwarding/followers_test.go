package forwarding

import (
	"testing"
	"testing/synctest"
	"time"

	. "github.com/onsi/gomega"
)

// TestLacking hears of versions one second after another, the first now, and asks one second after the last.
func TestBehindFor(t *testing.T) {
	upTo := func(last int64) []int64 {
		var versions []int64
		for v := range last {
			versions = append(versions, v+1)
		}
		return versions
	}
	tests := map[string]struct {
		heard   []int64
		inForce int64
		want    time.Duration
	}{
		"nothing heard":                   {nil, 1, 0},
		"in force":                        {[]int64{5}, 5, 0},
		"newer in force":                  {[]int64{5}, 6, 0},
		"one lacking":                     {[]int64{5}, 4, time.Second},
		"nothing in force":                {[]int64{5}, 0, time.Second},
		"told again":                      {[]int64{5, 5, 5}, 4, 3 * time.Second},
		"older one told later":            {[]int64{5, 4}, 4, 2 * time.Second},
		"storm":                           {[]int64{5, 6, 7}, 4, 3 * time.Second},
		"storm, in part in force":         {[]int64{5, 6, 7}, 5, 2 * time.Second},
		"storm, all in force":             {[]int64{5, 6, 7}, 7, 0},
		"more than are remembered":        {upTo(3 * maxMissing), 0, 3 * maxMissing * time.Second},
		"more, of which some in force":    {upTo(3 * maxMissing), maxMissing, (2*maxMissing + 1) * time.Second},
		"more, of which all are in force": {upTo(3 * maxMissing), 3 * maxMissing, 0},
	}
	for name, tc := range tests {
		t.Run(name, func(t *testing.T) {
			synctest.Test(t, func(t *testing.T) {
				g := NewWithT(t)
				var fo StoreCoordinator
				for _, version := range tc.heard {
					fo.RecordPeerVersion(version)
					time.Sleep(time.Second)
				}
				g.Expect(fo.BehindFor(tc.inForce)).To(Equal(tc.want))
				g.Expect(fo.BehindFor(tc.inForce)).To(Equal(tc.want), "asked again")
			})
		})
	}
}
