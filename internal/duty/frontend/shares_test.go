package frontend

import (
	"testing"
	"time"

	. "github.com/onsi/gomega"

	"github.com/silvermount/silvermount/internal/config"
	"github.com/silvermount/silvermount/internal/routes"
)

// TestRetryFloorsOfAllInstances adds up what all instances may send again in any window.
func TestRetryFloorSharesStayWithinFleetBound(t *testing.T) {
	for name, instances := range map[string]int{"few": 6, "as many as assumed": 8, "many": 90, "the most": 370} {
		t.Run(name, func(t *testing.T) {
			g := NewWithT(t)
			st := &config.Gateway{RetryFloor: 100, RetryWindow: config.Duration(10 * time.Second)}
			burst, perSecond := retryFloorShare(st, max(instances, minSharers))
			window := st.RetryWindow.Std().Seconds()
			g.Expect(float64(instances) * (burst + perSecond*window)).To(BeNumerically("<=", st.RetryFloor))
		})
	}
}

// TestRetryFloorBearsFailuresThatComeTogether.
//
// Targets reset every connection before 72 instances. The part of each was saved up to 1.4 retries, and requests that needed a second
// one failed for want of it, while the fleet had used less than half of what it may.
func TestRetryFloorShareAllowsBurstOfRetries(t *testing.T) {
	g := NewWithT(t)
	burst, _ := retryFloorShare(&config.Gateway{RetryFloor: 220, RetryWindow: config.Duration(10 * time.Second)}, 72)
	g.Expect(burst).To(BeNumerically(">=", 2))
}

func TestIdleLimit(t *testing.T) {
	tests := map[string]struct {
		bounds    []int
		instances int
		want      int
	}{
		"few instances keep what is of use":   {[]int{264, 96}, 6, 8},
		"many share the smallest bound":       {[]int{264, 96}, 24, 2},
		"a service without a bound sets none": {[]int{0}, 90, 8},
	}
	for name, tc := range tests {
		t.Run(name, func(t *testing.T) {
			g := NewWithT(t)
			svs := map[string]routes.Service{}
			for i, bound := range tc.bounds {
				svs[string(rune('a'+i))] = routes.Service{MaxConnections: bound}
			}
			g.Expect(idleLimit(svs, tc.instances)).To(Equal(tc.want))
		})
	}
}
