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
		after func(t *testing.T, local, peer *instance, endRun func())
		want  bool
		// far is set when only a run at a peer is meant.
		peerOnly bool
	}{
		"it goes on":              {longRun, "fatal", func(*testing.T, *instance, *instance, func()) {}, false, false},
		"it began just now":       {-time.Second, "fatal", func(*testing.T, *instance, *instance, func()) {}, true, false},
		"another request goes on": {longRun, "other", func(*testing.T, *instance, *instance, func()) {}, true, false},
		"it is over": {longRun, "fatal", func(t *testing.T, local, peer *instance, endRun func()) {
			endRun()
			peer.gossipTo(t, local)
		}, true, false},
		"its instance is lost": {longRun, "fatal", func(_ *testing.T, local, _ *instance, _ func()) { local.RemovePeer("peer") }, true, true},
	}
	for name, tc := range cases {
		t.Run(name, func(t *testing.T) {
			for _, onLocal := range []bool{!tc.peerOnly, false} {
				g := NewWithT(t)
				ck := newClock()
				local, peer := newInstance(ck, 12), newInstance(ck, 12)
				host := peer
				if onLocal {
					host = local
				}
				fp := request(tc.request)
				beginRun := func() func() { return host.BeginRun(fp.HeadHash(), func() fingerprint.Fingerprint { return fp }).End }
				endRun := func() {}
				if tc.age > 0 {
					endRun = beginRun()
					ck.advance(tc.age)
				}
				for i := range 3 {
					local.interrupt(fmt.Sprint("target-", i), true, shortRun, "fatal")
				}
				ck.advance(afterSettleDelay)
				if tc.age <= 0 {
					endRun = beginRun()
				}
				local.gossipTo(t, peer)
				peer.gossipTo(t, local)
				tc.after(t, local, peer, endRun)
				g.Expect(local.quarantined("fatal")).To(Equal(tc.want), "on the local instance: %v", onLocal)
			}
		})
	}
}
