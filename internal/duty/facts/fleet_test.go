package facts

import (
	"context"
	"sync"
	"testing"
	"testing/synctest"
	"time"

	"github.com/apex/log"
	"github.com/apex/log/handlers/discard"
	. "github.com/onsi/gomega"

	"github.com/silvermount/silvermount/internal/follow"
	"github.com/silvermount/silvermount/internal/position"
)

func TestStartOfAFleetCostsFewCalls(t *testing.T) {
	synctest.Test(t, func(t *testing.T) {
		g := NewWithT(t)
		fl := newFleet(t)
		time.Sleep(2 * time.Second)
		g.Expect(fl.inForce(1)).To(BeTrue())
		g.Expect(fl.otherCalls()).To(BeZero(), "peers tell them")
	})
}

func TestQuietFleet(t *testing.T) {
	inFleet(t, func(g *WithT, fl *fleet) {
		g.Expect(fl.watchOldest(time.Minute)).To(BeNumerically("<", newsBound/2+2*tell))
		g.Expect(fl.otherCalls()).To(BeZero())
		// A silent watch of each kind every 0.75 s.
		g.Expect(fl.calls()).To(BeNumerically("~", followers*2*60/0.75, 14))
	})
}

func TestConfigurationsOneAfterAnother(t *testing.T) {
	inFleet(t, func(g *WithT, fl *fleet) {
		const versions = 60
		for range versions {
			fl.change(kindConfiguration)
			time.Sleep(100 * time.Millisecond)
		}
		time.Sleep(time.Second)
		g.Expect(fl.inForce(versions + 1)).To(BeTrue())
		g.Expect(fl.otherCalls()).To(BeZero(), "peers tell them")
		g.Expect(fl.calls()).To(BeNumerically("<", 35*followers), "calls do not follow each version")
	})
}

func TestTargetsOneAfterAnother(t *testing.T) {
	inFleet(t, func(g *WithT, fl *fleet) {
		for range 60 {
			fl.change(kindTargets)
			time.Sleep(100 * time.Millisecond)
		}
		g.Expect(fl.otherCalls()).To(BeZero())
		g.Expect(fl.calls()).To(BeNumerically("<", followers*35))
		time.Sleep(time.Second)
		for _, ma := range fl.machines {
			at, _ := ma.rd.dr.ListPosition()
			g.Expect(at).To(Equal(position.Position{Revision: 61}), ma.name)
		}
	})
}

func TestFollowersThatDieAtOnce(t *testing.T) {
	inFleet(t, func(g *WithT, fl *fleet) {
		fl.kill(fl.machines[:followers]...)
		fl.change(kindConfiguration)
		g.Expect(fl.watchOldest(10 * time.Second)).To(BeNumerically("<", proofBound))
		g.Expect(fl.inForce(2)).To(BeTrue())
		g.Expect(fl.otherCalls()).To(BeNumerically("<", 6*instances))
	})
}

func TestFollowersThatAreCutOff(t *testing.T) {
	inFleet(t, func(g *WithT, fl *fleet) {
		for _, ma := range fl.machines[:followers] {
			ma.cut.Store(true)
		}
		g.Expect(fl.watchOldest(10 * time.Second)).To(BeNumerically("<", proofBound))
	})
}

func TestFollowersThatTheStoreTurnsAway(t *testing.T) {
	inFleet(t, func(g *WithT, fl *fleet) {
		for _, ma := range fl.machines[:followers-1] {
			ma.refused.Store(true)
		}
		g.Expect(fl.watchOldest(30*time.Second)).To(BeNumerically("<", newsBound/2+2*tell), "one follower tells all")
		// Three that are answered follow, as in a quiet fleet, and the two that are not ask every two seconds.
		g.Expect(fl.calls()).To(BeNumerically("<", followers*2*30/0.75+2*2*30/2+30))
	})
}

// TestConfigurationThatNoPeerHandsOut: the store is asked by those to whom peers tell of a version and do not give it.
func TestConfigurationThatNoPeerHandsOut(t *testing.T) {
	inFleet(t, func(g *WithT, fl *fleet) {
		fl.mu.Lock()
		fl.fetched = time.Hour
		fl.mu.Unlock()
		fl.change(kindConfiguration)
		time.Sleep(2200 * time.Millisecond)
		g.Expect(fl.inForce(2)).To(BeTrue())
		g.Expect(fl.otherCalls()).To(BeNumerically("<=", 2*(instances-followers)))
	})
}

// TestVersionsOneAfterAnotherThatNoPeerHandsOut: a storm of versions does not put off that the store is asked.
//
// Symptom: instances know for seconds that they lack a newer configuration, and neither fetch it nor ask the store. Sequence:
// peers tell of a version that they do not hand out in time, and of the next one within a second, again and again. Cause: the
// time for which a configuration is lacking began anew with each version that peers told of.
func TestVersionsOneAfterAnotherThatNoPeerHandsOut(t *testing.T) {
	inFleet(t, func(g *WithT, fl *fleet) {
		const every, versions = 400 * time.Millisecond, 50
		fl.mu.Lock()
		fl.fetched = time.Hour
		fl.mu.Unlock()
		began := time.Now()
		for range versions {
			fl.change(kindConfiguration)
			time.Sleep(every)
			g.Expect(fl.behind(began, every)).To(BeNumerically("<", storm))
		}
	})
}

// storm bounds the age of the first version that an instance lacks while versions come one after another: a follower's pause,
// newsTime, an instance's own pause after the answer before, and a second for the calls. Changes must be in force after 4 s.
const storm = newsPause + newsTime + listenerPause + time.Second

// behind returns the greatest time since the store took the first version that an instance lacks, where the store took version 2
// at a time and one more each time that an interval had gone by.
func (fl *fleet) behind(began time.Time, every time.Duration) time.Duration {
	var most time.Duration
	for _, ma := range fl.machines {
		version, _ := ma.rd.inForce()
		most = max(most, time.Since(began)-time.Duration(version-1)*every)
	}
	return most
}

// TestRestartOfOneAmongPeers: who starts again asks the store at once, for callers come already, and then no more.
func TestRestartOfOneAmongPeers(t *testing.T) {
	inFleet(t, func(g *WithT, fl *fleet) {
		ma := fl.machine(instances - 1)
		ma.name, ma.rd.first = "restarted", false
		lg := &log.Logger{Handler: discard.New(), Level: log.ErrorLevel}
		ctx, cancel := context.WithCancel(context.Background())
		var wg sync.WaitGroup
		defer wg.Wait()
		defer cancel()
		st := follow.Store{List: ma.list, Watch: ma.watch}
		wg.Go(func() { ma.rd.configuration(st, lg).Run(ctx) })
		wg.Go(func() { ma.rd.targets(st, lg).Run(ctx) })
		fl.mu.Lock()
		fl.machines = append(fl.machines, ma)
		fl.mu.Unlock()
		time.Sleep(2 * travel)
		tb, _ := ma.rd.rts.Current()
		g.Expect(tb).NotTo(BeNil())
		g.Expect(ma.rd.dr.TakesWork("target-1")).To(BeTrue())
		time.Sleep(time.Minute)
		g.Expect(fl.store.taken("restarted")).To(Equal(2), "one list of each kind")
	})
}

func TestStoreThatIsDown(t *testing.T) {
	inFleet(t, func(g *WithT, fl *fleet) {
		fl.store.set(func() { fl.store.down = true })
		time.Sleep(8 * time.Second)
		g.Expect(fl.otherCalls()).To(BeNumerically("<", 6*instances))
		fl.store.set(func() { fl.store.down = false })
		time.Sleep(1500 * time.Millisecond)
		g.Expect(fl.oldest()).To(BeNumerically("<", 1600*time.Millisecond), "all have fresh proof again")
	})
}

func TestConfigurationThatChangedWhileTheStoreWasDown(t *testing.T) {
	inFleet(t, func(g *WithT, fl *fleet) {
		fl.store.set(func() { fl.store.down = true })
		time.Sleep(8 * time.Second)
		fl.change(kindConfiguration)
		fl.store.set(func() { fl.store.down = false })
		time.Sleep(2500 * time.Millisecond)
		g.Expect(fl.inForce(2)).To(BeTrue())
	})
}

// TestListenerThatTheStoreTurnsAwayBelievesPeers: what peers tell of targets is as sure as before, although the store turns
// this instance away when it asks for a newer configuration.
func TestListenerThatTheStoreTurnsAwayBelievesPeers(t *testing.T) {
	inFleet(t, func(g *WithT, fl *fleet) {
		away := fl.machines[instances-1]
		away.refused.Store(true)
		fl.change(kindConfiguration)
		time.Sleep(3 * time.Second)
		g.Expect(fl.inForce(2)).To(BeTrue())
		g.Expect(away.rd.dr.TakesWork("target-1")).To(BeTrue())
		fl.change(kindTargets)
		time.Sleep(time.Second)
		g.Expect(away.rd.dr.TakesWork("target-2")).To(BeTrue())
		g.Expect(away.rd.dr.TakesWork("target-1")).To(BeFalse(), "it is gone, not lapsed in trouble of the store")
	})
}
