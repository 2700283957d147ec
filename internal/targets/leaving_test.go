package targets

import (
	"strconv"
	"testing"
	"time"

	. "github.com/onsi/gomega"

	"github.com/silvermount/silvermount/internal/position"
)

// leavingBench is a directory on a clock that a test moves.
type testDirectory struct {
	*WithT
	*Directory
	now time.Time
	at  position.Position
}

func newTestDirectory(t *testing.T) *testDirectory {
	lb := &testDirectory{WithT: NewWithT(t), now: time.Unix(1000, 0)}
	lb.Directory = New(func() time.Time { return lb.now })
	return lb
}

// list takes a newer list of the store.
func (td *testDirectory) list(tgs ...Target) {
	td.at.Revision++
	td.ApplyList(tgs, nil, td.at, td.now)
}

// TestLeavingIsNeverTakenBack marks a target as leaving by its own word, which no list says.
func TestLeavingIsNeverTakenBack(t *testing.T) {
	ready := Target{ID: "a@1", Name: "a", StartedAt: time.Unix(1, 0), Service: "s", Address: "10.0.0.1:80"}
	tests := map[string]func(lb *testDirectory){
		"a newer list":          func(lb *testDirectory) { lb.list(ready) },
		"an entry that is back": func(lb *testDirectory) { lb.list(); lb.list(ready) },
		"an entry back after an hour": func(lb *testDirectory) {
			lb.list()
			lb.now = lb.now.Add(time.Hour)
			lb.list()
			lb.list(ready)
		},
		"an older copy": func(lb *testDirectory) {
			lb.RecordStoreRestore(2, lb.now)
			lb.at = position.Position{Era: 2}
			lb.list(ready)
			lb.now = lb.now.Add(time.Minute)
			lb.Confirm(lb.now)
		},
		"a peer's list": func(lb *testDirectory) {
			lb.at.Revision++
			lb.ApplyPeerList([]Target{ready}, Lapsed{}, lb.at, lb.now)
		},
		"a peer's word of a lapse": func(lb *testDirectory) {
			lb.list()
			lb.now = lb.now.Add(time.Hour)
			lb.list()
			lb.at.Revision++
			lb.ApplyPeerList(nil, Lapsed{Targets: []Target{ready}, GraceLeft: time.Second}, lb.at, lb.now)
		},
		"a store that was away": func(lb *testDirectory) {
			lb.RecordStoreFailure()
			lb.RecordStoreRecovery(lb.now)
			lb.list()
			lb.list(ready)
		},
	}
	for name, undo := range tests {
		t.Run(name, func(t *testing.T) {
			lb := newTestDirectory(t)
			lb.list(ready)
			lb.Expect(lb.MarkLeaving(ready.ID)).To(BeTrue())
			undo(lb)
			lb.Expect(lb.TakesWork(ready.ID)).To(BeFalse())
			lb.Expect(lb.Usable("s", AllowProbe)).To(BeEmpty())
			lb.Expect(lb.MarkLeaving(ready.ID)).To(BeFalse(), "it is known")
		})
	}
}

func TestNextIncarnationOfALeavingTargetTakesWorkAtOnce(t *testing.T) {
	lb := newTestDirectory(t)
	first := Target{ID: "a@1", Name: "a", StartedAt: time.Unix(1, 0), Service: "s", Address: "10.0.0.1:80"}
	second := first
	second.ID, second.StartedAt = "a@2", time.Unix(2, 0)
	lb.list(first)
	lb.MarkLeaving(first.ID)
	lb.list(second)
	lb.Expect(lb.TakesWork(second.ID)).To(BeTrue())
	other := Target{ID: "b@1", Name: "b", StartedAt: time.Unix(3, 0), Service: "s", Address: first.Address}
	lb.MarkLeaving(second.ID)
	lb.list(other)
	lb.Expect(lb.TakesWork(other.ID)).To(BeTrue())
}

// TestLeavingIsBounded marks far more incarnations than are remembered, and peers hear of the late ones alone.
func TestLeavingIsBounded(t *testing.T) {
	lb := newTestDirectory(t)
	listed := Target{ID: "listed", Service: "s", Address: "10.0.0.1:80"}
	lb.list(listed)
	lb.MarkLeaving(listed.ID)
	for no := range 2 * maxLeaving {
		lb.now = lb.now.Add(time.Second)
		lb.MarkLeaving(strconv.Itoa(no))
		lb.list(listed)
	}
	lb.Expect(len(lb.leavingSince)).To(BeNumerically("<=", maxLeaving))
	lb.Expect(len(lb.leavingSince)).To(BeNumerically(">=", maxLeaving/2))
	lb.Expect(lb.TakesWork(listed.ID)).To(BeFalse())
	lb.Expect(lb.LeavingIDs()).To(HaveLen(int(goneRetention/time.Second) + 2))
}
