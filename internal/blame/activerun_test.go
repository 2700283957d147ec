package blame_test

import (
	"fmt"
	"testing"
	"time"

	. "github.com/onsi/gomega"

	"github.com/silvermount/silvermount/internal/fingerprint"
)

// TestRunThatOutlivesTheOthers lets a run go on while targets ended under others of the same request.
func TestLongerActiveRunPreventsQuarantine(t *testing.T) {
	cases := map[string]struct {
		// age is how long the run has gone on when the first target ends, request what it runs.
		age     time.Duration
		request string
		// after is what happens once three targets have ended.
		after func(t *testing.T, judge, other *instance, end func())
		want  bool
		// far is set when only a run at a peer is meant.
		far bool
	}{
		"it goes on":              {longRun, "fatal", func(*testing.T, *instance, *instance, func()) {}, false, false},
		"it began just now":       {-time.Second, "fatal", func(*testing.T, *instance, *instance, func()) {}, true, false},
		"another request goes on": {longRun, "other", func(*testing.T, *instance, *instance, func()) {}, true, false},
		"it is over": {longRun, "fatal", func(t *testing.T, judge, other *instance, end func()) {
			end()
			other.gossipTo(t, judge)
		}, true, false},
		"its instance is lost": {longRun, "fatal", func(_ *testing.T, judge, _ *instance, _ func()) { judge.RemovePeer("peer") }, true, true},
	}
	for name, tc := range cases {
		t.Run(name, func(t *testing.T) {
			for _, near := range []bool{!tc.far, false} {
				g := NewWithT(t)
				ck := newClock()
				judge, other := newInstance(ck, 12), newInstance(ck, 12)
				at := other
				if near {
					at = judge
				}
				fp := request(tc.request)
				begin := func() func() { return at.BeginRun(fp.HeadHash(), func() fingerprint.Fingerprint { return fp }).End }
				end := func() {}
				if tc.age > 0 {
					end = begin()
					ck.advance(tc.age)
				}
				for no := range 3 {
					judge.interrupt(fmt.Sprint("target-", no), true, shortRun, "fatal")
				}
				ck.advance(afterSettleDelay)
				if tc.age <= 0 {
					end = begin()
				}
				judge.gossipTo(t, other)
				other.gossipTo(t, judge)
				tc.after(t, judge, other, end)
				g.Expect(judge.quarantined("fatal")).To(Equal(tc.want), "the run is near: %v", near)
			}
		})
	}
}
