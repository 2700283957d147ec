package evacuation_test

import (
	"slices"
	"testing"
	"time"

	. "github.com/onsi/gomega"

	"github.com/silvermount/silvermount/internal/evacuation"
	"github.com/silvermount/silvermount/internal/position"
)

func at(revision int64) position.Position { return position.Position{Revision: revision} }

func evacuate(zone string) evacuation.EntryChange { return evacuation.EntryChange{Zone: zone} }

func withdraw(zone string) evacuation.EntryChange {
	return evacuation.EntryChange{Zone: zone, Withdrawn: true}
}

func TestNewestStateWins(t *testing.T) {
	tests := map[string]struct {
		apply func(tr *evacuation.Tracker)
		want  []string
	}{
		"nothing known": {func(*evacuation.Tracker) {}, nil},
		"list":          {func(tr *evacuation.Tracker) { tr.ApplyList([]string{"a", "b"}, at(5)) }, []string{"a", "b"}},
		"overlapping evacuations": {func(tr *evacuation.Tracker) {
			tr.ApplyList([]string{"a"}, at(5))
			tr.ApplyChanges([]evacuation.EntryChange{evacuate("b")}, at(6))
			tr.ApplyChanges([]evacuation.EntryChange{withdraw("a")}, at(7))
		}, []string{"b"}},
		"evacuated and withdrawn in one response": {func(tr *evacuation.Tracker) {
			tr.ApplyList(nil, at(5))
			tr.ApplyChanges([]evacuation.EntryChange{evacuate("a"), withdraw("a")}, at(7))
		}, nil},
		"older list of the store than a peer's state": {func(tr *evacuation.Tracker) {
			tr.Merge(evacuation.State{At: at(9), Zones: []string{"a"}})
			tr.ApplyList(nil, at(8))
		}, []string{"a"}},
		"older state of a peer": {func(tr *evacuation.Tracker) {
			tr.ApplyList(nil, at(9))
			tr.Merge(evacuation.State{At: at(8), Zones: []string{"a"}})
		}, nil},
		"newer state of a peer": {func(tr *evacuation.Tracker) {
			tr.ApplyList([]string{"a"}, at(9))
			tr.Merge(evacuation.State{At: at(10), Zones: []string{"b"}})
		}, []string{"b"}},
		"changes that a peer's state already contains": {func(tr *evacuation.Tracker) {
			tr.Merge(evacuation.State{At: at(9), Zones: []string{"b"}})
			tr.ApplyChanges([]evacuation.EntryChange{evacuate("a"), withdraw("a"), evacuate("b"), evacuate("c")}, at(10))
		}, []string{"b", "c"}},
	}
	for name, tc := range tests {
		t.Run(name, func(t *testing.T) {
			tr := evacuation.New(time.Now)
			tc.apply(tr)
			NewWithT(t).Expect(slices.Sorted(tr.Evacuated().All())).To(Equal(tc.want))
		})
	}
}

func TestReportsChanges(t *testing.T) {
	g := NewWithT(t)
	tr := evacuation.New(time.Now)
	g.Expect(tr.ApplyList([]string{"b", "a"}, at(1))).To(Equal([]evacuation.Change{{Zone: "a", Evacuated: true}, {Zone: "b", Evacuated: true}}))
	g.Expect(tr.Merge(evacuation.State{At: at(2), Zones: []string{"b"}})).To(Equal([]evacuation.Change{{Zone: "a"}}))
	g.Expect(tr.ApplyList([]string{"b"}, at(3))).To(BeEmpty())
}

// TestRestoredStoreKeepsEvacuations restores the store from a copy that lacks an evacuation. Operators write it again within the
// rewrite period; if they do not, it is no longer in force.
func TestRestoredStoreKeepsEvacuations(t *testing.T) {
	restored := position.Position{Era: 1, Revision: 2}
	tests := map[string]func(tr *evacuation.Tracker){
		"learned from the store": func(tr *evacuation.Tracker) { tr.ApplyList(nil, restored) },
		"learned from a peer":    func(tr *evacuation.Tracker) { tr.Merge(evacuation.State{At: restored}) },
	}
	for name, learn := range tests {
		t.Run(name, func(t *testing.T) {
			g := NewWithT(t)
			now := time.Unix(1000, 0)
			tr := evacuation.New(func() time.Time { return now })
			tr.ApplyList([]string{"a"}, at(9))
			learn(tr)
			now = now.Add(evacuation.RewritePeriod - 1)
			g.Expect(tr.Evacuated().Has("a")).To(BeTrue())
			now = now.Add(1)
			g.Expect(tr.Evacuated().Has("a")).To(BeFalse())
		})
	}
}

func TestAnnouncesWhatTheStoreSaid(t *testing.T) {
	g := NewWithT(t)
	tr := evacuation.New(time.Now)
	tr.ApplyList(nil, at(1))
	_, announced := tr.LocalState()
	g.Expect(announced).To(BeFalse(), "there was no evacuation yet")
	tr.ApplyChanges([]evacuation.EntryChange{evacuate("a")}, at(2))
	st, announced := tr.LocalState()
	g.Expect(announced).To(BeTrue())
	g.Expect(st).To(Equal(evacuation.State{At: at(2), Zones: []string{"a"}}))
	tr.ApplyChanges([]evacuation.EntryChange{withdraw("a")}, at(3))
	st, announced = tr.LocalState()
	g.Expect(announced).To(BeTrue(), "peers have to learn that the evacuation was withdrawn")
	g.Expect(st.Zones).To(BeEmpty())
	tr.Merge(evacuation.State{At: at(4), Zones: []string{"b"}})
	_, announced = tr.LocalState()
	g.Expect(announced).To(BeFalse(), "a peer announces it")
}

func TestStateSurvivesEncoding(t *testing.T) {
	for name, st := range map[string]evacuation.State{
		"none":         {At: at(7)},
		"two zones":    {At: at(7), Zones: []string{"a", "b"}},
		"later era":    {At: position.Position{Era: 3, Revision: 7}, Zones: []string{"a"}},
		"nothing read": {},
	} {
		t.Run(name, func(t *testing.T) {
			g := NewWithT(t)
			got, err := evacuation.Decode(st.Encode())
			g.Expect(err).NotTo(HaveOccurred())
			g.Expect(got).To(Equal(st))
		})
	}
}

func FuzzDecode(f *testing.F) {
	f.Add(evacuation.State{At: at(7), Zones: []string{"a"}}.Encode())
	f.Add([]byte{1, 0xff, 0xff, 3})
	f.Fuzz(func(t *testing.T, b []byte) {
		st, err := evacuation.Decode(b)
		if err != nil {
			return
		}
		again, err := evacuation.Decode(st.Encode())
		if err != nil || again.At != st.At || !slices.Equal(again.Zones, st.Zones) {
			t.Fatalf("%+v: %+v, %v", st, again, err)
		}
	})
}
