package targets_test

import (
	"fmt"
	"math/rand/v2"
	"testing"
	"time"

	. "github.com/onsi/gomega"

	"github.com/silvermount/silvermount/internal/position"
	"github.com/silvermount/silvermount/internal/targets"
)

// historyFleet is an instance that follows the store, and instances that each learn from the one before them.
type historyFleet struct {
	rd    *rand.Rand
	now   time.Time
	chain []*targets.Directory
	// entries is the content of the store at a revision.
	entries  map[string]targets.Target
	revision int64
	// updates counts the lists and the changes that were taken from a peer.
	lists, changes int
}

func newHistoryFleet(seed uint64, instances int) *historyFleet {
	hf := &historyFleet{rd: rand.New(rand.NewPCG(seed, 0)), now: time.Unix(1000, 0), entries: map[string]targets.Target{}}
	for range instances {
		hf.chain = append(hf.chain, targets.New(func() time.Time { return hf.now }))
	}
	return hf
}

// changeStore makes a few random changes in the store and returns them.
func (hf *historyFleet) changeStore() []targets.EntryChange {
	var changes []targets.EntryChange
	for range 1 + hf.rd.IntN(4) {
		hf.revision++
		id := fmt.Sprint("t", hf.rd.IntN(30))
		if _, exists := hf.entries[id]; exists && hf.rd.IntN(2) == 0 {
			delete(hf.entries, id)
			changes = append(changes, targets.EntryChange{Name: id, Deleted: true})
			continue
		}
		tg := targets.Target{ID: id, Service: "s", Slots: 1 + hf.rd.IntN(3)}
		hf.entries[id] = tg
		changes = append(changes, targets.EntryChange{Name: id, Target: tg})
	}
	return changes
}

// follow lets the first instance read the store, by its changes or, now and then, by a complete list.
func (hf *historyFleet) follow(changes []targets.EntryChange) {
	at := position.Position{Revision: hf.revision}
	if hf.rd.IntN(8) > 0 && hf.revision > int64(len(changes)) {
		hf.chain[0].ApplyChanges(changes, at, hf.now)
		return
	}
	var list []targets.Target
	for _, tg := range hf.entries {
		list = append(list, tg)
	}
	hf.chain[0].ApplyList(list, nil, at, hf.now)
}

// update lets an instance learn from the one before it: the changes if that one knows them, else its list.
func (hf *historyFleet) update(at int) {
	from, to := hf.chain[at-1], hf.chain[at]
	own, _ := to.ListPosition()
	if pc, known := from.ChangesSince(own); known {
		hf.changes++
		to.ApplyPeerChanges(pc, from.Lapsed(), hf.now)
		return
	}
	position, list := from.Listed()
	if position.After(own) {
		hf.lists++
		to.ApplyPeerList(list, from.Lapsed(), position, hf.now)
	}
}

// TestChangesFromPeersGiveTheSameList changes the store many times. Instances that learn of it through others, each after a different
// time, must end with the list of the store.
func TestChangesFromPeersGiveTheSameList(t *testing.T) {
	const seeds, rounds, instances = 50, 200, 4
	lists, changes := 0, 0
	for seed := range uint64(seeds) {
		g := NewWithT(t)
		hf := newHistoryFleet(seed, instances)
		for range rounds {
			hf.follow(hf.changeStore())
			hf.now = hf.now.Add(time.Duration(hf.rd.Int64N(int64(20 * time.Second))))
			for at := 1; at < instances; at++ {
				if hf.rd.IntN(3) > 0 {
					hf.update(at)
				}
			}
		}
		for at := 1; at < instances; at++ {
			hf.update(at)
		}
		want, wantList := hf.chain[0].Listed()
		for at, dr := range hf.chain[1:] {
			position, list := dr.Listed()
			g.Expect(position).To(Equal(want), "seed %d, instance %d", seed, at+1)
			g.Expect(list).To(Equal(wantList), "seed %d, instance %d", seed, at+1)
		}
		lists, changes = lists+hf.lists, changes+hf.changes
	}
	t.Logf("%d complete lists, %d changes", lists, changes)
	NewWithT(t).Expect(changes).To(BeNumerically(">", lists))
}

func TestChangesSince(t *testing.T) {
	g := NewWithT(t)
	now := time.Unix(1000, 0)
	dr := targets.New(func() time.Time { return now })
	at := func(revision int64) position.Position { return position.Position{Revision: revision} }
	a, b, c := targets.Target{ID: "a"}, targets.Target{ID: "b"}, targets.Target{ID: "c"}
	dr.ApplyList([]targets.Target{a, b}, nil, at(5), now)
	_, known := dr.ChangesSince(at(4))
	g.Expect(known).To(BeFalse(), "before the first list")
	_, known = dr.ChangesSince(at(5))
	g.Expect(known).To(BeFalse(), "nothing newer")
	dr.ApplyChanges([]targets.EntryChange{{Name: "a", Deleted: true}, {Name: "c", Target: c}}, at(8), now)
	pc, known := dr.ChangesSince(at(5))
	g.Expect(known).To(BeTrue())
	g.Expect(pc).To(Equal(targets.PeerChanges{Since: at(5), At: at(8), Changed: []targets.Target{c}, Removed: []string{"a"}}))
	_, known = dr.ChangesSince(position.Position{Era: 1, Revision: 5})
	g.Expect(known).To(BeFalse(), "another era")
	now = now.Add(time.Hour)
	dr.ApplyChanges([]targets.EntryChange{{Name: "b", Deleted: true}}, at(9), now)
	_, known = dr.ChangesSince(at(5))
	g.Expect(known).To(BeFalse(), "the removal of a is forgotten")
	_, known = dr.ChangesSince(at(8))
	g.Expect(known).To(BeTrue())
}

func TestChangesForAnotherListAreIgnored(t *testing.T) {
	g := NewWithT(t)
	dr := targets.New(time.Now)
	dr.ApplyList([]targets.Target{{ID: "a"}}, nil, position.Position{Revision: 5}, time.Now())
	pc := targets.PeerChanges{Since: position.Position{Revision: 4}, At: position.Position{Revision: 6}, Removed: []string{"a"}}
	g.Expect(dr.ApplyPeerChanges(pc, targets.Lapsed{}, time.Now())).To(BeEmpty())
	g.Expect(dr.TakesWork("a")).To(BeTrue())
}
