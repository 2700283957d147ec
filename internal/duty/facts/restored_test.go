package facts

import (
	"testing"
	"time"

	. "github.com/onsi/gomega"

	"github.com/silvermount/silvermount/internal/adapter"
	"github.com/silvermount/silvermount/internal/objectstore"
	"github.com/silvermount/silvermount/internal/position"
	"github.com/silvermount/silvermount/internal/targets"
)

// restore lets the store come back from a copy that holds older versions of both kinds.
func (fl *fleet) restore(configuration, targets int64) {
	fl.store.set(func() {
		fl.store.era++
		fl.store.version[kindConfiguration], fl.store.version[kindTargets] = configuration, targets
	})
}

// newestProof returns the time of the newest proof that an instance has.
func (fl *fleet) newestProof() time.Time {
	var newest time.Time
	for _, ma := range fl.machines {
		if _, provenAt := ma.rd.rts.Current(); provenAt.After(newest) {
			newest = provenAt
		}
	}
	return newest
}

// underWay is how long before a change the question may have been asked that the change answers: a silent watch, and its way.
var underWay = newWindows(newsBound).watch + 2*travel

// TestRestoredStoreProvesNoConfiguration.
//
// An operator took a key away, and the store came back from a copy without that change before any instance had read it. The copy's
// configuration is the one in force, and each answer of the store counted as proof that it is the newest: the key went on to work
// with ever newer proof, until the operator had written the change again.
func TestRestoredStoreProvesNoConfiguration(t *testing.T) {
	inFleet(t, func(g *WithT, fl *fleet) {
		// The change and the return fall between two looks of the followers.
		fl.change(kindConfiguration)
		fl.restore(1, 1)
		returned := time.Now()
		time.Sleep(rewriteFor - 100*time.Millisecond)
		g.Expect(fl.inForce(1)).To(BeTrue())
		g.Expect(fl.newestProof()).To(BeTemporally("<=", returned.Add(travel)), "what was asked before the return alone proves anything")
		rewritten := time.Now()
		fl.change(kindConfiguration)
		time.Sleep(time.Second)
		g.Expect(fl.inForce(2)).To(BeTrue())
		g.Expect(fl.oldest()).To(BeNumerically("<=", time.Since(rewritten)+underWay), "what the operator wrote again proves itself at once")
	})
}

// TestRestoredStoreProvesAgainLater: nothing was lost that an operator has to write again.
func TestRestoredStoreProvesAgainLater(t *testing.T) {
	inFleet(t, func(g *WithT, fl *fleet) {
		fl.restore(1, 1)
		time.Sleep(rewriteFor + newsBound)
		g.Expect(fl.inForce(1)).To(BeTrue())
		g.Expect(fl.oldest()).To(BeNumerically("<", newsBound/2+2*tell))
	})
}

// TestRestoredStoreTakesNothingBack: instances that have a newer configuration than the copy keep it, and the copy proves nothing.
func TestRestoredStoreTakesNothingBack(t *testing.T) {
	inFleet(t, func(g *WithT, fl *fleet) {
		fl.change(kindConfiguration)
		fl.change(kindConfiguration)
		time.Sleep(newsBound)
		fl.restore(1, 1)
		returned := time.Now()
		time.Sleep(newsBound)
		g.Expect(fl.inForce(3)).To(BeTrue())
		g.Expect(fl.newestProof()).To(BeTemporally("<=", returned.Add(travel)))
		rewritten := time.Now()
		fl.change(kindConfiguration)
		fl.change(kindConfiguration)
		time.Sleep(time.Second)
		g.Expect(fl.inForce(3)).To(BeTrue())
		g.Expect(fl.oldest()).To(BeNumerically("<=", time.Since(rewritten)+underWay))
	})
}

// TestRestoredStoreAndThoseWhoDoNotAsk.
//
// The store came back from a copy, and its revisions went back. Those who hear of targets from peers had a list of a larger revision,
// took what the followers told for older, and never heard of a target that left.
func TestRestoredStoreAndThoseWhoDoNotAsk(t *testing.T) {
	inFleet(t, func(g *WithT, fl *fleet) {
		for range 9 {
			fl.change(kindTargets)
			time.Sleep(newsPause + 4*tell)
		}
		fl.calls()
		fl.restore(1, 5)
		time.Sleep(newsBound)
		g.Expect(fl.otherCalls()).To(BeNumerically("<=", instances), "no more than at a start of all")
		fl.change(kindTargets)
		// A target that had gone counts as back once entries that nobody writes are gone.
		time.Sleep(5 * time.Second)
		for _, ma := range fl.machines {
			at, _ := ma.rd.dr.ListPosition()
			g.Expect(at).To(Equal(position.Position{Era: 1, Revision: 6}), ma.name)
			g.Expect(ma.rd.dr.TakesWork("target-6")).To(BeTrue(), ma.name)
			g.Expect(ma.rd.dr.TakesWork("target-5")).To(BeFalse(), ma.name)
		}
	})
}

// TestRestoredStoreIsNotRewrittenByAnEarlierChange.
//
// A change of the configuration that the store told before its return was taken just after the follower of targets had seen the new
// era. It counted as what the operators wrote again, so that the copy proved a configuration at once which may lack a change.
func TestRestoredStoreIsNotRewrittenByAnEarlierChange(t *testing.T) {
	tests := map[string]struct {
		// asked is when the question was sent that told of the change, from the one that showed the return on.
		asked time.Duration
		want  bool
	}{
		"asked before the return was seen": {-100 * time.Millisecond, false},
		"by the question that showed it":   {0, true},
		"asked later":                      {300 * time.Millisecond, true},
	}
	for name, tc := range tests {
		t.Run(name, func(t *testing.T) {
			g := NewWithT(t)
			returned := time.Now()
			rd := &reader{dr: targets.New(time.Now), ad: adapter.Adapter{ConfigurationName: "main"}}
			rd.dr.RecordStoreRestore(1, returned)
			rd.rewritten(objectstore.Object{Name: "main", Value: []byte("{}")}, returned.Add(tc.asked))
			asked := returned.Add(rewriteFor / 2)
			g.Expect(rd.proof(asked).Equal(asked)).To(Equal(tc.want))
		})
	}
}
