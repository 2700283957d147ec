package frontend

import (
	"testing"
	"time"

	. "github.com/onsi/gomega"

	"github.com/silvermount/silvermount/internal/budget"
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

// fleetRetries simulates the retry budgets of a fleet whose instances are divided evenly among availability zones.
type fleetRetries struct {
	now       time.Time
	instances []*budget.Retries
}

const fleetZones = 5

func newFleetRetries(st *config.Gateway, instances int) *fleetRetries {
	fr := &fleetRetries{now: time.Unix(1000, 0)}
	newBudget := func() *budget.Retries {
		return budget.NewRetries(0, func() time.Time { return fr.now }, budget.WithBurst(0), budget.WithMinRate(0))
	}
	zones := make([]*budget.Retries, fleetZones)
	for i := range zones {
		zones[i] = newBudget()
	}
	for i := range instances {
		zone := zones[i%fleetZones]
		ls := &limitShares{maxLive: instances, retries: newBudget(), zoneRetries: zone, withdrawShared: zone.TryWithdraw}
		ls.settings.Store(st)
		ls.updateRetries(instances / fleetZones)
		fr.instances = append(fr.instances, ls.retries)
	}
	return fr
}

// TestEveryInstanceOfLargeFleetCanRetry guards against a fleet so large that no instance may retry. The floor of 1,040 retries divided
// among 985 instances gave each a burst of 0.76, and a retry needs a balance of one.
func TestEveryInstanceOfLargeFleetCanRetry(t *testing.T) {
	tests := map[string]struct {
		instances int
		floor     float64
	}{
		"few instances":  {8, 104},
		"hundreds":       {295, 660},
		"a thousand":     {985, 1040},
		"two thousand":   {1970, 1040},
		"many, no floor": {985, 1},
	}
	for name, tc := range tests {
		t.Run(name, func(t *testing.T) {
			g := NewWithT(t)
			st := &config.Gateway{RetryFloor: tc.floor, RetryWindow: config.Duration(10 * time.Second)}
			fr := newFleetRetries(st, tc.instances)
			fr.now = fr.now.Add(time.Minute)
			burst := int(burstShare * floorUtilisation * tc.floor)
			for i := range burst * 3 / 4 {
				// Neighbouring instances fail, but the availability zones share the load.
				g.Expect(fr.instances[i%tc.instances].TryWithdraw()).To(BeTrue(), "retry %d", i)
			}
		})
	}
}

// TestRetriesOfFleetStayWithinFloor fails every request of every instance for a minute.
func TestRetriesOfFleetStayWithinFloor(t *testing.T) {
	for name, instances := range map[string]int{"few instances": 8, "hundreds": 295, "a thousand": 985, "two thousand": 1970} {
		t.Run(name, func(t *testing.T) {
			g := NewWithT(t)
			const floor, window, tick = 1040.0, 10 * time.Second, 100 * time.Millisecond
			fr := newFleetRetries(&config.Gateway{RetryFloor: floor, RetryWindow: config.Duration(window)}, instances)
			var perTick []int
			for range int(time.Minute / tick) {
				fr.now = fr.now.Add(tick)
				n := 0
				for _, rt := range fr.instances {
					for rt.TryWithdraw() {
						n++
					}
				}
				perTick = append(perTick, n)
			}
			for from := 0; from+int(window/tick) <= len(perTick); from++ {
				sum := 0
				for _, n := range perTick[from : from+int(window/tick)] {
					sum += n
				}
				g.Expect(float64(sum)).To(BeNumerically("<=", floor))
			}
		})
	}
}
