package targets_test

import (
	"fmt"
	"slices"
	"testing"
	"time"

	. "github.com/onsi/gomega"
	"pgregory.net/rapid"

	"github.com/silvermount/silvermount/internal/position"
	"github.com/silvermount/silvermount/internal/targets"
)

// next is a position after the one that is held.
func nextPosition(dr *targets.Directory) position.Position {
	at, _ := dr.ListPosition()
	at.Revision++
	return at
}

// replaceTold takes a list from a peer as one that is newer than what is held; the others take an answer of the store likewise.
func applyPeerList(dr *targets.Directory, list []targets.Target, la targets.Lapsed, evidence time.Time) []targets.Change {
	return dr.ApplyPeerList(list, la, nextPosition(dr), evidence)
}

func applyList(dr *targets.Directory, list []targets.Target, evidence time.Time) []targets.Change {
	return dr.ApplyList(list, nil, nextPosition(dr), evidence)
}

func applyPut(dr *targets.Directory, tg targets.Target, evidence time.Time) []targets.Change {
	return dr.ApplyChanges([]targets.EntryChange{{Name: tg.NameOrID(), Target: tg}}, nextPosition(dr), evidence)
}

func applyDelete(dr *targets.Directory, name string, evidence time.Time) []targets.Change {
	return dr.ApplyChanges([]targets.EntryChange{{Name: name, Deleted: true}}, nextPosition(dr), evidence)
}

func TestTakeRefusesWhatIsOlder(t *testing.T) {
	now := time.Unix(1000, 0)
	held := position.Position{Era: 1, Revision: 50}
	older := map[string]position.Position{"an earlier revision": {Era: 1, Revision: 49}, "an earlier era": {Revision: 900}}
	for name, at := range older {
		takes := map[string]func(dr *targets.Directory){
			"list": func(dr *targets.Directory) { dr.ApplyList(newTargets("b"), []string{"a"}, at, now) },
			"changes": func(dr *targets.Directory) {
				dr.ApplyChanges([]targets.EntryChange{{Name: "a", Deleted: true}, {Name: "b", Target: newTarget("b")}}, at, now)
			},
			"peer's list": func(dr *targets.Directory) { dr.ApplyPeerList(newTargets("b"), targets.Lapsed{}, at, now) },
		}
		for what, take := range takes {
			t.Run(what+" of "+name, func(t *testing.T) {
				g := NewWithT(t)
				dr := targets.New(func() time.Time { return now })
				dr.ApplyList(newTargets("a"), nil, held, now.Add(-time.Second))
				take(dr)
				changedAt, got := dr.Listed()
				g.Expect(changedAt).To(Equal(held))
				g.Expect(idsOf(got)).To(Equal([]string{"a"}))
			})
		}
	}
}

// TestListIsThatOfItsPosition plays any order of changes in the store, of lists and watches that are asked for and answered later, of peers'
// lists, and of returns of the store from an older copy. An instance that holds a position holds the list that the store had there.
func TestListIsThatOfItsPosition(t *testing.T) {
	rapid.Check(t, func(rt *rapid.T) {
		now := time.Unix(1000, 0)
		history := newStoreHistory()
		const instances = 3
		var drs []*targets.Directory
		watched := make([]position.Position, instances)
		for range instances {
			drs = append(drs, targets.New(func() time.Time { return now }))
		}
		type answer struct {
			to   int
			take func(dr *targets.Directory)
		}
		var under []answer
		for range rapid.IntRange(1, 80).Draw(rt, "steps") {
			now = now.Add(10 * time.Millisecond)
			to := rapid.IntRange(0, instances-1).Draw(rt, "instance")
			evidence, at := now, history.at
			switch rapid.SampledFrom([]string{"change", "list", "watch", "peer", "answer", "answer", "return"}).Draw(rt, "step") {
			case "change":
				history.change(rapid.IntRange(0, 5).Draw(rt, "target"))
			case "list":
				listed := history.listed(at)
				under = append(under, answer{to, func(dr *targets.Directory) {
					dr.RecordStoreRestore(at.Era, evidence)
					dr.ApplyList(listed, nil, at, evidence)
					watched[to] = at
				}})
			case "watch":
				from := watched[to]
				if from.Era != at.Era || from.IsZero() {
					continue
				}
				changes := history.since(from)
				under = append(under, answer{to, func(dr *targets.Directory) {
					if watched[to] == from && len(changes) > 0 {
						dr.ApplyChanges(changes, at, evidence)
						watched[to] = at
					}
				}})
			case "peer":
				from, told := drs[(to+1)%instances].Listed()
				under = append(under, answer{to, func(dr *targets.Directory) {
					if mine, _ := dr.ListPosition(); from.Restored(mine) {
						dr.RecordStoreRestore(from.Era, evidence)
					}
					dr.ApplyPeerList(told, targets.Lapsed{}, from, evidence)
				}})
			case "answer":
				if len(under) == 0 {
					continue
				}
				no := rapid.IntRange(0, len(under)-1).Draw(rt, "which")
				an := under[no]
				under = slices.Delete(under, no, no+1)
				before, _ := drs[an.to].ListPosition()
				an.take(drs[an.to])
				after, got := drs[an.to].Listed()
				if before.After(after) {
					rt.Fatalf("the position went back from %+v to %+v", before, after)
				}
				if want := idsOf(history.listed(after)); !slices.Equal(idsOf(got), want) && !history.mayLag(after) {
					rt.Fatalf("at %+v: %v in place of %v", after, idsOf(got), want)
				}
			case "return":
				history.restore(rapid.Int64Range(1, 5).Draw(rt, "revisions back"))
			}
		}
	})
}

// history is that of a store of targets.
type storeHistory struct {
	at position.Position
	// lists holds the names listed at each position, written what each change wrote; "" stands for a removal of names.
	lists   map[position.Position][]string
	entries map[position.Position]targets.EntryChange
}

func newStoreHistory() *storeHistory {
	at := position.Position{Revision: 1}
	return &storeHistory{
		at: at, lists: map[position.Position][]string{at: nil, {}: nil}, entries: map[position.Position]targets.EntryChange{},
	}
}

// change lists a target, or takes its entry away where it is listed.
func (hs *storeHistory) change(no int) {
	name := fmt.Sprintf("t%d", no)
	before := hs.lists[hs.at]
	hs.at.Revision++
	if at := slices.Index(before, name); at >= 0 {
		hs.lists[hs.at] = slices.Delete(slices.Clone(before), at, at+1)
		hs.entries[hs.at] = targets.EntryChange{Name: name, Deleted: true}
		return
	}
	hs.lists[hs.at] = slices.Sorted(slices.Values(append(slices.Clone(before), name)))
	hs.entries[hs.at] = targets.EntryChange{Name: name, Target: newTarget(name)}
}

func (hs *storeHistory) listed(at position.Position) []targets.Target {
	return newTargets(hs.lists[at]...)
}

// since returns the changes after a position of this era.
func (hs *storeHistory) since(from position.Position) []targets.EntryChange {
	var changes []targets.EntryChange
	for at := from; at.Revision < hs.at.Revision; {
		at.Revision++
		changes = append(changes, hs.entries[at])
	}
	return changes
}

// restore goes back by some revisions in a new era.
func (hs *storeHistory) restore(back int64) {
	old := position.Position{Era: hs.at.Era, Revision: max(1, hs.at.Revision-back)}
	if _, known := hs.lists[old]; !known {
		return
	}
	hs.at = position.Position{Era: hs.at.Era + 1, Revision: old.Revision}
	hs.lists[hs.at] = hs.lists[old]
}

// doubtful reports whether a list is one of a store that came back from an older copy: what had gone before is not believed for a while.
func (hs *storeHistory) mayLag(at position.Position) bool { return at.Era > 0 }
