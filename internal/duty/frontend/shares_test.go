package frontend

import (
	"testing"
	"time"

	. "github.com/onsi/gomega"

	"github.com/silvermount/silvermount/internal/config"
	"github.com/silvermount/silvermount/internal/routes"
)

// TestRetryFloorSharesStayWithinFleetBound guards against shares that together exceed the fleet's retry floor in a window.
func TestRetryFloorSharesStayWithinFleetBound(t *testing.T) {
	for name, instances := range map[string]int{"few": 6, "as many as assumed": 8, "many": 90, "maximum": 370} {
		t.Run(name, func(t *testing.T) {
			g := NewWithT(t)
			st := &config.Gateway{RetryFloor: 100, RetryWindow: config.Duration(10 * time.Second)}
			burst, perSecond := retryFloorShare(st, max(instances, minSharers))
			window := st.RetryWindow.Std().Seconds()
			g.Expect(float64(instances) * (burst + perSecond*window)).To(BeNumerically("<=", st.RetryFloor))
		})
	}
}

// TestRetryFloorShareAllowsBurstOfRetries guards against shares too small for a burst of failures. When targets reset every connection
// of 72 instances, each instance could save up only 1.4 retries. Requests that needed a second retry failed, although the fleet had used
// less than half of its retry floor.
func TestRetryFloorShareAllowsBurstOfRetries(t *testing.T) {
	g := NewWithT(t)
	burst, _ := retryFloorShare(&config.Gateway{RetryFloor: 220, RetryWindow: config.Duration(10 * time.Second)}, 72)
	g.Expect(burst).To(BeNumerically(">=", 2))
}

func TestIdleLimit(t *testing.T) {
	tests := map[string]struct {
		maxConnections []int
		instances      int
		want           int
	}{
		"few instances keep the useful maximum":     {[]int{264, 96}, 6, 8},
		"many instances share the smallest maximum": {[]int{264, 96}, 24, 2},
		"service without a maximum":                 {[]int{0}, 90, 8},
	}
	for name, tc := range tests {
		t.Run(name, func(t *testing.T) {
			g := NewWithT(t)
			svs := map[string]routes.Service{}
			for i, mc := range tc.maxConnections {
				svs[string(rune('a'+i))] = routes.Service{MaxConnections: mc}
			}
			g.Expect(idleLimit(svs, tc.instances)).To(Equal(tc.want))
		})
	}
}
