package storesync

import (
	"testing"
	"testing/synctest"
	"time"

	. "github.com/onsi/gomega"
)

// evacuationWarmUp is how long a fleet runs before the first evacuation: long enough that all instances have their roles and lists.
const evacuationWarmUp = 3 * time.Second

// knowEvacuation reports whether all reachable instances know whether the zone of the simulated store is evacuated.
func (fl *fleet) knowEvacuation(evacuated bool) bool {
	for _, si := range fl.instances {
		if si.reachable() && si.sy.evacuations.Evacuated().Has(evacuatedZone) != evacuated {
			return false
		}
	}
	return true
}

// TestEvacuationReachesAllInstances evacuates an availability zone and withdraws the evacuation, each while something keeps
// instances from the store.
func TestEvacuationReachesAllInstances(t *testing.T) {
	tests := map[string]struct {
		disturb func(fl *fleet)
		// quiet is set if only the followers may call the store.
		quiet bool
	}{
		"undisturbed":                 {func(*fleet) {}, true},
		"all followers crash":         {func(fl *fleet) { fl.crash(fl.instances[:followerCount]...) }, false},
		"store rejects all followers": {func(fl *fleet) { fl.reject(followerCount) }, false},
		"store rejects all but one":   {func(fl *fleet) { fl.reject(instanceCount - 1) }, false},
	}
	for name, tc := range tests {
		t.Run(name, func(t *testing.T) {
			synctest.Test(t, func(t *testing.T) {
				g := NewWithT(t)
				fl := newFleet(t, true)
				time.Sleep(evacuationWarmUp)
				g.Expect(fl.knowEvacuation(false)).To(BeTrue())
				fl.takeAllCalls()
				tc.disturb(fl)
				for _, evacuated := range []bool{true, false} {
					fl.change(kindEvacuations)
					time.Sleep(changeBound)
					g.Expect(fl.knowEvacuation(evacuated)).To(BeTrue(), "evacuated %v", evacuated)
				}
				if tc.quiet {
					g.Expect(fl.takeNonFollowerCalls()).To(BeZero(), "peers provide the state")
				}
			})
		})
	}
}

// reject makes the store reject the calls of the first instances.
func (fl *fleet) reject(count int) {
	for _, si := range fl.instances[:count] {
		si.rejected.Store(true)
	}
}

// TestEvacuationDuringStoreOutage evacuates an availability zone while the store is down.
func TestEvacuationDuringStoreOutage(t *testing.T) {
	synctest.Test(t, func(t *testing.T) {
		g := NewWithT(t)
		fl := newFleet(t, true)
		time.Sleep(evacuationWarmUp)
		fl.store.edit(func() { fl.store.down = true })
		time.Sleep(3 * time.Second)
		fl.change(kindEvacuations)
		g.Expect(fl.knowEvacuation(false)).To(BeTrue())
		fl.store.edit(func() { fl.store.down = false })
		time.Sleep(changeBound)
		g.Expect(fl.knowEvacuation(true)).To(BeTrue())
	})
}
