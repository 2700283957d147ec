package quarantine_test

import (
	"fmt"
	"testing"
	"time"

	. "github.com/onsi/gomega"
)

// TestLongerActiveRunPreventsQuarantine keeps a run of a request active while targets crash during other runs of it.
func TestLongerActiveRunPreventsQuarantine(t *testing.T) {
	cases := map[string]struct {
		// age is how long the run has been active when the first target crashes; request is the request that it runs.
		age     time.Duration
		request string
		// after is called once three targets have crashed.
		after func(t *testing.T, local, peer *instance, endRun func())
		want  bool
		// peerOnly is set when the case applies only to a run on a peer.
		peerOnly bool
	}{
		"still active":            {longRun, "fatal", func(*testing.T, *instance, *instance, func()) {}, false, false},
		"began after the crashes": {-time.Second, "fatal", func(*testing.T, *instance, *instance, func()) {}, true, false},
		"run of another request":  {longRun, "other", func(*testing.T, *instance, *instance, func()) {}, true, false},
		"no longer active": {longRun, "fatal", func(t *testing.T, local, peer *instance, endRun func()) {
			endRun()
			peer.gossipTo(t, local)
		}, true, false},
		"its instance was lost": {longRun, "fatal", func(_ *testing.T, local, _ *instance, _ func()) {
			local.RemovePeer("peer")
		}, true, true},
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
				beginRun := func() func() { return host.BeginRun(fp).End }
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
