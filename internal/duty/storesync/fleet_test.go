package storesync

import (
	"context"
	"sync"
	"testing"
	"testing/synctest"
	"time"

	"github.com/apex/log"
	"github.com/apex/log/handlers/discard"
	. "github.com/onsi/gomega"

	"github.com/silvermount/silvermount/internal/listwatch"
	"github.com/silvermount/silvermount/internal/position"
)

func TestFleetStartCausesFewCalls(t *testing.T) {
	synctest.Test(t, func(t *testing.T) {
		g := NewWithT(t)
		fl := newFleet(t, false)
		time.Sleep(2 * time.Second)
		g.Expect(fl.allHave(1)).To(BeTrue())
		g.Expect(fl.takeNonFollowerCalls()).To(BeZero(), "peers provide the state")
	})
}

func TestIdleFleetKeepsProofFreshWithFewCalls(t *testing.T) {
	runInFleet(t, func(g *WithT, fl *fleet) {
		g.Expect(fl.oldestProofAgeDuring(time.Minute)).To(BeNumerically("<", changeBound/2+2*gossipInterval))
		g.Expect(fl.takeNonFollowerCalls()).To(BeZero())
		// Each follower makes a watch of each kind that returns no changes every 0.75 s.
		g.Expect(fl.takeAllCalls()).To(BeNumerically("~", followerCount*2*60/0.75, 14))
	})
}

func TestRapidConfigurationChangesCauseFewCalls(t *testing.T) {
	runInFleet(t, func(g *WithT, fl *fleet) {
		const versions = 60
		for range versions {
			fl.change(kindConfiguration)
			time.Sleep(100 * time.Millisecond)
		}
		time.Sleep(time.Second)
		g.Expect(fl.allHave(versions + 1)).To(BeTrue())
		g.Expect(fl.takeNonFollowerCalls()).To(BeZero(), "peers provide the state")
		g.Expect(fl.takeAllCalls()).To(BeNumerically("<", 35*followerCount), "the number of calls is not proportional to the number of versions")
	})
}

func TestRapidTargetChangesCauseFewCalls(t *testing.T) {
	runInFleet(t, func(g *WithT, fl *fleet) {
		for range 60 {
			fl.change(kindTargets)
			time.Sleep(100 * time.Millisecond)
		}
		g.Expect(fl.takeNonFollowerCalls()).To(BeZero())
		g.Expect(fl.takeAllCalls()).To(BeNumerically("<", followerCount*35))
		time.Sleep(time.Second)
		for _, si := range fl.instances {
			at, _ := si.sy.dr.ListPosition()
			g.Expect(at).To(Equal(position.Position{Revision: 61}), si.name)
		}
	})
}

func TestProofStaysFreshWhenAllFollowersCrash(t *testing.T) {
	runInFleet(t, func(g *WithT, fl *fleet) {
		fl.crash(fl.instances[:followerCount]...)
		fl.change(kindConfiguration)
		g.Expect(fl.oldestProofAgeDuring(10 * time.Second)).To(BeNumerically("<", proofExpiry))
		g.Expect(fl.allHave(2)).To(BeTrue())
		g.Expect(fl.takeNonFollowerCalls()).To(BeNumerically("<", 6*instanceCount))
	})
}

func TestProofStaysFreshWhenAllFollowersAreIsolated(t *testing.T) {
	runInFleet(t, func(g *WithT, fl *fleet) {
		for _, si := range fl.instances[:followerCount] {
			si.isolated.Store(true)
		}
		g.Expect(fl.oldestProofAgeDuring(10 * time.Second)).To(BeNumerically("<", proofExpiry))
	})
}

func TestOneFollowerSufficesWhenStoreRejectsOthers(t *testing.T) {
	runInFleet(t, func(g *WithT, fl *fleet) {
		for _, si := range fl.instances[:followerCount-1] {
			si.rejected.Store(true)
		}
		g.Expect(fl.oldestProofAgeDuring(30*time.Second)).To(BeNumerically("<", changeBound/2+2*gossipInterval), "one follower is enough for the fleet")
		// Three instances that the store responds to are followers, as in an idle fleet, and the two rejected ones retry every two
		// seconds.
		g.Expect(fl.takeAllCalls()).To(BeNumerically("<", followerCount*2*30/0.75+2*2*30/2+30))
	})
}

// TestCallsStoreWhenNoPeerServesConfiguration checks that instances call the store for a version that peers report but do not serve.
func TestCallsStoreWhenNoPeerServesConfiguration(t *testing.T) {
	runInFleet(t, func(g *WithT, fl *fleet) {
		fl.mu.Lock()
		fl.peerFetchLatency = time.Hour
		fl.mu.Unlock()
		fl.change(kindConfiguration)
		time.Sleep(2200 * time.Millisecond)
		g.Expect(fl.allHave(2)).To(BeTrue())
		g.Expect(fl.takeNonFollowerCalls()).To(BeNumerically("<=", 2*(instanceCount-followerCount)))
	})
}

// TestCallsStoreDespiteRapidVersionsThatNoPeerServes guards against instances that know for seconds of a newer configuration, and
// neither fetch it nor call the store. Peers repeatedly report a version that they do not serve in time, and the next one within a
// second. The fault was that each reported version restarted the peer fetch timeout.
func TestCallsStoreDespiteRapidVersionsThatNoPeerServes(t *testing.T) {
	runInFleet(t, func(g *WithT, fl *fleet) {
		const interval, versions = 400 * time.Millisecond, 50
		fl.mu.Lock()
		fl.peerFetchLatency = time.Hour
		fl.mu.Unlock()
		start := time.Now()
		for range versions {
			fl.change(kindConfiguration)
			time.Sleep(interval)
			g.Expect(fl.maxLag(start, interval)).To(BeNumerically("<", maxVersionLag))
		}
	})
}

// maxVersionLag is the maximum age of the first version that an instance lacks while versions change rapidly: the pause of a
// follower, peerFetchTimeout, the instance's own pause after the previous response, and a second for the calls. Changes must be in
// force after 4 s.
const maxVersionLag = maxFollowerPause + peerFetchTimeout + maxListenerPause + time.Second

// maxLag returns the maximum age, over all instances, of the first version that an instance lacks. Version 2 was written at start,
// and one more version after each interval.
func (fl *fleet) maxLag(start time.Time, interval time.Duration) time.Duration {
	var lag time.Duration
	for _, si := range fl.instances {
		version, _ := si.sy.inForce()
		lag = max(lag, time.Since(start)-time.Duration(version-1)*interval)
	}
	return lag
}

// TestRestartedInstanceListsEachKindOnce checks that an instance that restarts in a running fleet calls the store at once, because it
// already gets requests, and then relies on peers.
func TestRestartedInstanceListsEachKindOnce(t *testing.T) {
	runInFleet(t, func(g *WithT, fl *fleet) {
		si := fl.newInstance(instanceCount - 1)
		si.name, si.sy.firstStart = "restarted", false
		lg := &log.Logger{Handler: discard.New(), Level: log.ErrorLevel}
		ctx, cancel := context.WithCancel(context.Background())
		var wg sync.WaitGroup
		defer wg.Wait()
		defer cancel()
		st := listwatch.Store{List: si.list, Watch: si.watch}
		wg.Go(func() { si.sy.configurationWatcher(st, lg).Run(ctx) })
		wg.Go(func() { si.sy.targetWatcher(st, lg).Run(ctx) })
		fl.mu.Lock()
		fl.instances = append(fl.instances, si)
		fl.mu.Unlock()
		time.Sleep(2 * callLatency)
		tb, _ := si.sy.rts.Current()
		g.Expect(tb).NotTo(BeNil())
		g.Expect(si.sy.dr.TakesWork("target-1")).To(BeTrue())
		time.Sleep(time.Minute)
		g.Expect(fl.store.takeCalls("restarted")).To(Equal(2), "one list of each kind")
	})
}

func TestStoreOutageCausesFewCalls(t *testing.T) {
	runInFleet(t, func(g *WithT, fl *fleet) {
		fl.store.edit(func() { fl.store.down = true })
		time.Sleep(8 * time.Second)
		g.Expect(fl.takeNonFollowerCalls()).To(BeNumerically("<", 6*instanceCount))
		fl.store.edit(func() { fl.store.down = false })
		time.Sleep(1500 * time.Millisecond)
		g.Expect(fl.oldestProofAge()).To(BeNumerically("<", 1600*time.Millisecond), "all instances have a fresh proof again")
	})
}

func TestConfigurationChangedDuringStoreOutage(t *testing.T) {
	runInFleet(t, func(g *WithT, fl *fleet) {
		fl.store.edit(func() { fl.store.down = true })
		time.Sleep(8 * time.Second)
		fl.change(kindConfiguration)
		fl.store.edit(func() { fl.store.down = false })
		time.Sleep(2500 * time.Millisecond)
		g.Expect(fl.allHave(2)).To(BeTrue())
	})
}

// TestRejectedListenerReliesOnPeers checks that an instance still trusts the targets from its peers after the store has rejected its
// call for a newer configuration.
func TestRejectedListenerReliesOnPeers(t *testing.T) {
	runInFleet(t, func(g *WithT, fl *fleet) {
		listener := fl.instances[instanceCount-1]
		listener.rejected.Store(true)
		fl.change(kindConfiguration)
		time.Sleep(3 * time.Second)
		g.Expect(fl.allHave(2)).To(BeTrue())
		g.Expect(listener.sy.dr.TakesWork("target-1")).To(BeTrue())
		fl.change(kindTargets)
		time.Sleep(time.Second)
		g.Expect(listener.sy.dr.TakesWork("target-2")).To(BeTrue())
		g.Expect(listener.sy.dr.TakesWork("target-1")).To(BeFalse(), "gone, not considered lapsed because of a store outage")
	})
}
