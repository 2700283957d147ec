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

// nextPosition returns the position after that of the current list.
func nextPosition(dr *targets.Directory) position.Position {
	at, _ := dr.ListPosition()
	at.Revision++
	return at
}

// applyPeerList applies a list of a peer at a position after that of the current list. The following functions do the same with
// answers of the store.
func applyPeerList(dr *targets.Directory, list []targets.Target, la targets.Lapsed, asOf time.Time) []targets.Change {
	return dr.ApplyPeerList(list, la, nextPosition(dr), asOf)
}

func applyList(dr *targets.Directory, list []targets.Target, asOf time.Time) []targets.Change {
	return dr.ApplyList(list, nil, nextPosition(dr), asOf)
}

func applyPut(dr *targets.Directory, tg targets.Target, asOf time.Time) []targets.Change {
	return dr.ApplyChanges([]targets.EntryChange{{Name: tg.NameOrID(), Target: tg}}, nextPosition(dr), asOf)
}

func applyDelete(dr *targets.Directory, name string, asOf time.Time) []targets.Change {
	return dr.ApplyChanges([]targets.EntryChange{{Name: name, Deleted: true}}, nextPosition(dr), asOf)
}

func TestOlderPositionsAreNotApplied(t *testing.T) {
	now := time.Unix(1000, 0)
	current := position.Position{Era: 1, Revision: 50}
	older := map[string]position.Position{"an earlier revision": {Era: 1, Revision: 49}, "an earlier era": {Revision: 900}}
	for name, at := range older {
		calls := map[string]func(dr *targets.Directory){
			"list": func(dr *targets.Directory) { dr.ApplyList(newTargets("b"), []string{"a"}, at, now) },
			"changes": func(dr *targets.Directory) {
				dr.ApplyChanges([]targets.EntryChange{{Name: "a", Deleted: true}, {Name: "b", Target: newTarget("b")}}, at, now)
			},
			"list of a peer": func(dr *targets.Directory) { dr.ApplyPeerList(newTargets("b"), targets.Lapsed{}, at, now) },
		}
		for what, call := range calls {
			t.Run(what+" of "+name, func(t *testing.T) {
				g := NewWithT(t)
				dr := targets.New(func() time.Time { return now })
				dr.ApplyList(newTargets("a"), nil, current, now.Add(-time.Second))
				call(dr)
				gotAt, got := dr.Listed()
				g.Expect(gotAt).To(Equal(current))
				g.Expect(idsOf(got)).To(Equal([]string{"a"}))
			})
		}
	}
}

// TestListMatchesItsPosition draws any order of changes in the store, of lists and watches that are answered late, of lists from
// peers, and of restores of the store from an older copy. Whenever an instance is at a position, its list must be the one that
// the store had there.
func TestListMatchesItsPosition(t *testing.T) {
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
			to    int
			apply func(dr *targets.Directory)
		}
		var inFlight []answer
		for range rapid.IntRange(1, 80).Draw(rt, "steps") {
			now = now.Add(10 * time.Millisecond)
			to := rapid.IntRange(0, instances-1).Draw(rt, "instance")
			asOf, at := now, history.at
			switch rapid.SampledFrom([]string{"change", "list", "watch", "peer", "answer", "answer", "restore"}).Draw(rt, "step") {
			case "change":
				history.change(rapid.IntRange(0, 5).Draw(rt, "target"))
			case "list":
				listed := history.listed(at)
				inFlight = append(inFlight, answer{to, func(dr *targets.Directory) {
					dr.RecordStoreRestore(at.Era, asOf)
					dr.ApplyList(listed, nil, at, asOf)
					watched[to] = at
				}})
			case "watch":
				from := watched[to]
				if from.Era != at.Era || from.IsZero() {
					continue
				}
				changes := history.since(from)
				inFlight = append(inFlight, answer{to, func(dr *targets.Directory) {
					if watched[to] == from && len(changes) > 0 {
						dr.ApplyChanges(changes, at, asOf)
						watched[to] = at
					}
				}})
			case "peer":
				from, list := drs[(to+1)%instances].Listed()
				inFlight = append(inFlight, answer{to, func(dr *targets.Directory) {
					if mine, _ := dr.ListPosition(); from.RestoredSince(mine) {
						dr.RecordStoreRestore(from.Era, asOf)
					}
					dr.ApplyPeerList(list, targets.Lapsed{}, from, asOf)
				}})
			case "answer":
				if len(inFlight) == 0 {
					continue
				}
				i := rapid.IntRange(0, len(inFlight)-1).Draw(rt, "which")
				an := inFlight[i]
				inFlight = slices.Delete(inFlight, i, i+1)
				before, _ := drs[an.to].ListPosition()
				an.apply(drs[an.to])
				after, got := drs[an.to].Listed()
				if before.After(after) {
					rt.Fatalf("position decreased from %+v to %+v", before, after)
				}
				if want := idsOf(history.listed(after)); !slices.Equal(idsOf(got), want) && !history.mayDiffer(after) {
					rt.Fatalf("list at %+v is %v, want %v", after, idsOf(got), want)
				}
			case "restore":
				history.restore(rapid.Int64Range(1, 5).Draw(rt, "revisions back"))
			}
		}
	})
}

// storeHistory is the history of a store that lists targets.
type storeHistory struct {
	at position.Position
	// lists holds the names listed at each position, entries the change that led to each position.
	lists   map[position.Position][]string
	entries map[position.Position]targets.EntryChange
}

func newStoreHistory() *storeHistory {
	at := position.Position{Revision: 1}
	return &storeHistory{
		at: at, lists: map[position.Position][]string{at: nil, {}: nil}, entries: map[position.Position]targets.EntryChange{},
	}
}

// change lists a target, or removes its entry when it is listed.
func (sh *storeHistory) change(no int) {
	name := fmt.Sprintf("t%d", no)
	before := sh.lists[sh.at]
	sh.at.Revision++
	if at := slices.Index(before, name); at >= 0 {
		sh.lists[sh.at] = slices.Delete(slices.Clone(before), at, at+1)
		sh.entries[sh.at] = targets.EntryChange{Name: name, Deleted: true}
		return
	}
	sh.lists[sh.at] = slices.Sorted(slices.Values(append(slices.Clone(before), name)))
	sh.entries[sh.at] = targets.EntryChange{Name: name, Target: newTarget(name)}
}

func (sh *storeHistory) listed(at position.Position) []targets.Target {
	return newTargets(sh.lists[at]...)
}

// since returns the changes after a position of the current era.
func (sh *storeHistory) since(from position.Position) []targets.EntryChange {
	var changes []targets.EntryChange
	for at := from; at.Revision < sh.at.Revision; {
		at.Revision++
		changes = append(changes, sh.entries[at])
	}
	return changes
}

// restore starts a new era with the list of some revisions ago.
func (sh *storeHistory) restore(back int64) {
	old := position.Position{Era: sh.at.Era, Revision: max(1, sh.at.Revision-back)}
	if _, known := sh.lists[old]; !known {
		return
	}
	sh.at = position.Position{Era: sh.at.Era + 1, Revision: old.Revision}
	sh.lists[sh.at] = sh.lists[old]
}

// mayDiffer reports whether the list of an instance may differ from that of the store at a position: after a restore, targets
// that were gone before are quarantined at first.
func (sh *storeHistory) mayDiffer(at position.Position) bool { return at.Era > 0 }
