package storesync

import (
	"testing"
	"time"

	. "github.com/onsi/gomega"

	"github.com/silvermount/silvermount/internal/adapter"
	"github.com/silvermount/silvermount/internal/objectstore"
	"github.com/silvermount/silvermount/internal/position"
	"github.com/silvermount/silvermount/internal/targets"
)

// restore restores the store from a copy with older versions of both kinds.
func (fl *fleet) restore(configuration, targets int64) {
	fl.store.edit(func() {
		fl.store.era++
		fl.store.version[kindConfiguration], fl.store.version[kindTargets] = configuration, targets
	})
}

// newestProof returns the time of the newest proof on any instance.
func (fl *fleet) newestProof() time.Time {
	var newest time.Time
	for _, si := range fl.instances {
		if _, provenAt := si.sy.rts.Current(); provenAt.After(newest) {
			newest = provenAt
		}
	}
	return newest
}

// maxRequestAge is the maximum time from sending a request until the change that its response returns: a watch, and its latency.
var maxRequestAge = newTimings(changeBound).followerWatchTimeout + 2*callLatency

// TestRestoredStoreProvesNothingUntilRewrite guards against a revoked key that keeps working. An operator revoked a key, and the
// store was restored from a copy without that change before any instance had read it. The configuration in the copy is the one in
// force, and each response of the store counted as proof that it is the newest. The key was thus accepted until the operator had
// written the change again.
func TestRestoredStoreProvesNothingUntilRewrite(t *testing.T) {
	runInFleet(t, func(g *WithT, fl *fleet) {
		// The change and the restore happen between two calls of the followers.
		fl.change(kindConfiguration)
		fl.restore(1, 1)
		restoredAt := time.Now()
		time.Sleep(rewritePeriod - 100*time.Millisecond)
		g.Expect(fl.allHave(1)).To(BeTrue())
		g.Expect(fl.newestProof()).To(BeTemporally("<=", restoredAt.Add(callLatency)), "only requests sent before the restore prove anything")
		rewrittenAt := time.Now()
		fl.change(kindConfiguration)
		time.Sleep(time.Second)
		g.Expect(fl.allHave(2)).To(BeTrue())
		g.Expect(fl.oldestProofAge()).To(BeNumerically("<=", time.Since(rewrittenAt)+maxRequestAge), "the rewritten configuration is proven at once")
	})
}

// TestRestoredStoreProvesAgainAfterRewritePeriod covers a restore that lost no change, so that no operator writes again.
func TestRestoredStoreProvesAgainAfterRewritePeriod(t *testing.T) {
	runInFleet(t, func(g *WithT, fl *fleet) {
		fl.restore(1, 1)
		time.Sleep(rewritePeriod + changeBound)
		g.Expect(fl.allHave(1)).To(BeTrue())
		g.Expect(fl.oldestProofAge()).To(BeNumerically("<", changeBound/2+2*gossipInterval))
	})
}

// TestRestoreDoesNotRollBackConfiguration checks that instances keep a configuration that is newer than the copy, and that the copy
// proves nothing.
func TestRestoreDoesNotRollBackConfiguration(t *testing.T) {
	runInFleet(t, func(g *WithT, fl *fleet) {
		fl.change(kindConfiguration)
		fl.change(kindConfiguration)
		time.Sleep(changeBound)
		fl.restore(1, 1)
		restoredAt := time.Now()
		time.Sleep(changeBound)
		g.Expect(fl.allHave(3)).To(BeTrue())
		g.Expect(fl.newestProof()).To(BeTemporally("<=", restoredAt.Add(callLatency)))
		rewrittenAt := time.Now()
		fl.change(kindConfiguration)
		fl.change(kindConfiguration)
		time.Sleep(time.Second)
		g.Expect(fl.allHave(3)).To(BeTrue())
		g.Expect(fl.oldestProofAge()).To(BeNumerically("<=", time.Since(rewrittenAt)+maxRequestAge))
	})
}

// TestPeersLearnOfTargetsAfterRestore guards against instances that ignore peers after a restore. The revisions of the restored
// store are lower. Instances that rely on peers had a list with a higher revision, took the lists of the followers for older, and
// never learned of a target that left.
func TestPeersLearnOfTargetsAfterRestore(t *testing.T) {
	runInFleet(t, func(g *WithT, fl *fleet) {
		for range 9 {
			fl.change(kindTargets)
			time.Sleep(maxFollowerPause + 4*gossipInterval)
		}
		fl.takeAllCalls()
		fl.restore(1, 5)
		time.Sleep(changeBound)
		g.Expect(fl.takeNonFollowerCalls()).To(BeNumerically("<=", instanceCount), "no more than when the whole fleet starts")
		fl.change(kindTargets)
		// A target that was gone before the restore takes work again only after stale entries have expired.
		time.Sleep(5 * time.Second)
		for _, si := range fl.instances {
			at, _ := si.sy.dr.ListPosition()
			g.Expect(at).To(Equal(position.Position{Era: 1, Revision: 6}), si.name)
			g.Expect(si.sy.dr.TakesWork("target-6")).To(BeTrue(), si.name)
			g.Expect(si.sy.dr.TakesWork("target-5")).To(BeFalse(), si.name)
		}
	})
}

// TestChangeFromBeforeRestoreIsNoRewrite guards against a race between the two kinds of object. A change of the configuration from
// before the restore was processed just after the target watcher had seen the new era. It counted as a rewrite by operators, so
// that the restored copy, which may lack a change, was proven at once.
func TestChangeFromBeforeRestoreIsNoRewrite(t *testing.T) {
	tests := map[string]struct {
		// requested is when the request that returned the change was sent, relative to the request that showed the restore.
		requested time.Duration
		want      bool
	}{
		"requested before the restore was seen": {-100 * time.Millisecond, false},
		"the request that showed the restore":   {0, true},
		"requested later":                       {300 * time.Millisecond, true},
	}
	for name, tc := range tests {
		t.Run(name, func(t *testing.T) {
			g := NewWithT(t)
			restoredAt := time.Now()
			sy := &syncer{dr: targets.New(time.Now), ad: adapter.Adapter{ConfigurationName: "main"}}
			sy.dr.RecordStoreRestore(1, restoredAt)
			sy.recordRewrite(objectstore.Object{Name: "main", Value: []byte("{}")}, restoredAt.Add(tc.requested))
			requested := restoredAt.Add(rewritePeriod / 2)
			g.Expect(sy.proofTime(requested).Equal(requested)).To(Equal(tc.want))
		})
	}
}
