package storesync

import (
	"fmt"
	"slices"
	"testing"
	"time"

	. "github.com/onsi/gomega"

	"github.com/silvermount/silvermount/internal/position"
	"github.com/silvermount/silvermount/internal/targets"
)

// changeBound is the maximum time until an instance that the store responds to must know of a change in the store.
const changeBound = 3 * time.Second

// TestChangeIsKnownInTimeWhenNoFollowerReachesStore guards against requests to targets that have been leaving for more than three
// seconds. The store responded to some instances, but to none of the three followers. Followers were selected from the member list
// alone, and the other instances trusted their targets for 8.3 s regardless of the bound on leaving targets. So for nine seconds no
// instance called the store for targets although it would have responded. The instances that sent the requests had a fresh proof of
// the configuration, since listeners call the store sooner for that kind:
//
//	msg="lost the store" kind=servers cause="watch: store unavailable: ... context deadline exceeded"   (each follower)
//	msg="request sent" list_age=3.671s proof_age=1.092s
//
// A configuration could be late in the same way, by up to 3.7 s plus the time to spread through the fleet.
func TestChangeIsKnownInTimeWhenNoFollowerReachesStore(t *testing.T) {
	kinds := map[string]func(si *simInstance) bool{
		kindTargets:       func(si *simInstance) bool { return si.sy.dr.TakesWork("target-2") && !si.sy.dr.TakesWork("target-1") },
		kindConfiguration: func(si *simInstance) bool { version, _ := si.sy.inForce(); return version == 2 },
	}
	faults := map[string]func(si *simInstance){
		"call rejected":   func(si *simInstance) { si.rejected.Store(true) },
		"call unanswered": func(si *simInstance) { si.unanswered.Store(true) },
	}
	for kind, isKnown := range kinds {
		for fault, inject := range faults {
			// The delay varies how old the last response to a follower is when the change is made.
			for _, delay := range []time.Duration{0, 300 * time.Millisecond, time.Second, 2500 * time.Millisecond, 6 * time.Second} {
				t.Run(fmt.Sprintf("%s %s, %v later", kind, fault, delay), func(t *testing.T) {
					t.Parallel()
					runInFleet(t, func(g *WithT, fl *fleet) {
						for _, si := range fl.instances[:followerCount] {
							inject(si)
						}
						time.Sleep(delay)
						fl.change(kind)
						time.Sleep(changeBound)
						for _, si := range fl.instances[followerCount:] {
							g.Expect(isKnown(si)).To(BeTrue(), si.name)
						}
					})
				})
			}
		}
	}
}

// TestGraceOfMissingEntries guards against two opposite faults: the entry of a target goes while the connections of instances to the store
// are silent, and the target gets requests for another two seconds; or an entry lapses in an outage of the store, and the target gets none.
func TestGraceOfMissingEntries(t *testing.T) {
	tests := map[string]struct {
		begin, end func(fl *fleet)
		duration   time.Duration
		// grace is set if the entry may have lapsed.
		grace bool
	}{
		"connections go silent": {
			begin: func(fl *fleet) {
				for _, si := range fl.instances {
					si.lostConnections.Add(1)
				}
			},
			end: func(*fleet) {},
		},
		"store is silent": {
			begin: func(fl *fleet) {
				for _, si := range fl.instances {
					si.unanswered.Store(true)
				}
			},
			end: func(fl *fleet) {
				for _, si := range fl.instances {
					si.unanswered.Store(false)
				}
			},
			duration: 5 * time.Second, grace: true,
		},
		"store is unavailable": {
			begin:    func(fl *fleet) { fl.store.edit(func() { fl.store.down = true }) },
			end:      func(fl *fleet) { fl.store.edit(func() { fl.store.down = false }) },
			duration: 5 * time.Second, grace: true,
		},
	}
	for name, tc := range tests {
		t.Run(name, func(t *testing.T) {
			t.Parallel()
			runInFleet(t, func(g *WithT, fl *fleet) {
				tc.begin(fl)
				time.Sleep(tc.duration / 2)
				fl.change(kindTargets)
				time.Sleep(tc.duration / 2)
				tc.end(fl)
				unknown := slices.Clone(fl.instances)
				granted := 0
				for until := time.Now().Add(changeBound + maxListenerBackoff); len(unknown) > 0 && time.Now().Before(until); time.Sleep(callLatency) {
					unknown = slices.DeleteFunc(unknown, func(si *simInstance) bool {
						if !si.sy.dr.TakesWork("target-2") {
							return false
						}
						if si.sy.dr.TakesWork("target-1") {
							granted++
						}
						return true
					})
				}
				g.Expect(unknown).To(BeEmpty())
				if tc.grace {
					g.Expect(granted).To(Equal(len(fl.instances)))
				} else {
					g.Expect(granted).To(BeZero())
				}
				time.Sleep(targets.LapseGrace + gossipInterval)
				for _, si := range fl.instances {
					g.Expect(si.sy.dr.TakesWork("target-1")).To(BeFalse(), si.name)
				}
			})
		})
	}
}

// TestReplacementFollowersReportChangesPromptly checks that other instances replace the followers while the store responds to none
// of them, so that a leaving target is known at once and not only when the state from peers is stale. Without replacement it was
// known 2 to 2.5 s late.
func TestReplacementFollowersReportChangesPromptly(t *testing.T) {
	runInFleet(t, func(g *WithT, fl *fleet) {
		for _, si := range fl.instances[:followerCount] {
			si.unanswered.Store(true)
		}
		time.Sleep(changeBound)
		fl.takeAllCalls()
		for version := int64(2); version < 12; version++ {
			fl.change(kindTargets)
			time.Sleep(maxFollowerPause + 4*gossipInterval)
			for _, si := range fl.instances {
				known, _ := si.sy.dr.ListPosition()
				g.Expect(known).To(Equal(position.Position{Revision: version}), si.name)
			}
		}
		g.Expect(fl.takeNonFollowerCalls()).To(BeNumerically("<", 10*2*2*followerCount), "only the replacements call the store")
		for _, si := range fl.instances[:followerCount] {
			si.unanswered.Store(false)
		}
		time.Sleep(2 * maxFollowerBackoff)
		fl.takeAllCalls()
		time.Sleep(10 * time.Second)
		g.Expect(fl.takeNonFollowerCalls()).To(BeZero(), "the initial followers have taken over again")
	})
}
