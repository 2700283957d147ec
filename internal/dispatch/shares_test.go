package dispatch_test

import (
	"testing"
	"testing/synctest"
	"time"

	. "github.com/onsi/gomega"

	"github.com/silvermount/silvermount/internal/dispatch"
	"github.com/silvermount/silvermount/internal/failure"
	"github.com/silvermount/silvermount/internal/fairshare"
	"github.com/silvermount/silvermount/internal/loadreport"
)

// sharesHarness is a dispatcher with shares that knows from a peer of one organisation far above its share, and of another below.
type sharesHarness struct {
	*harness
	part     loadreport.Part
	refusals []dispatch.ShareRefusal
}

// newSharesHarness returns a harness whose three targets have a number of slots in use each.
func newSharesHarness(t *testing.T, taken int) *sharesHarness {
	hs := &sharesHarness{}
	sh := dispatch.NewShares(time.Now, dispatch.WithOnShareRefusal(func(re dispatch.ShareRefusal) { hs.refusals = append(hs.refusals, re) }))
	hs.part = sh.Part(func(peer string, err error) { t.Error(peer, err) })
	hs.harness = newHarness(t, 3, func(op *dispatch.Options) { op.Shares = sh })
	hs.SetPeerLoads("peer", loadsWithDecoding(taken))
	now := time.Now()
	peer := fairshare.New(now)
	peer.Add(fairshare.KeyOf("s", "above"), fairshare.Amount{Used: 20 * time.Second, Unmet: 20 * time.Second}, now, now)
	peer.Add(fairshare.KeyOf("s", "below"), fairshare.Amount{Used: time.Second, Unmet: 20 * time.Second}, now, now)
	hs.part.Receive("peer", peer.Encode(now), now)
	return hs
}

// TestPromptIsRefusedForShareOnlyInShortage guards against refusals by share while there is room, of organisations below their shares, of
// streams that resume, and after the usage has left the window.
func TestPromptIsRefusedForShareOnlyInShortage(t *testing.T) {
	tests := map[string]struct {
		taken        int
		organisation string
		resumed      bool
		// pause is the time before the prompt in which nothing runs, as when the process is paused.
		pause   time.Duration
		refused bool
	}{
		"above its share":                           {taken: slots, organisation: "above", refused: true},
		"above its share, usage a second old":       {taken: slots, organisation: "above", pause: time.Second, refused: true},
		"above its share, after a pause":            {taken: slots, organisation: "above", pause: 2 * fairshare.Window},
		"above its share, there is room":            {taken: slots / 2, organisation: "above"},
		"above its share, stream is resumed":        {taken: slots, organisation: "above", resumed: true},
		"below its share":                           {taken: slots, organisation: "below"},
		"organisation that has used nothing so far": {taken: slots, organisation: "other"},
	}
	for name, tc := range tests {
		t.Run(name, func(t *testing.T) {
			synctest.Test(t, func(t *testing.T) {
				hs := newSharesHarness(t, tc.taken)
				time.Sleep(tc.pause)
				rq := promptRequest(500)
				rq.Service.Engine.MemoryTokens = 100_000
				rq.Organisation, rq.Resumed = tc.organisation, tc.resumed
				if !tc.refused {
					hs.mustAcquire(rq)
					hs.Expect(hs.refusals).To(BeEmpty())
					return
				}
				fe := hs.mustBeRefused(rq)
				hs.Expect(fe.Code).To(Equal(failure.Overloaded))
				hs.Expect(fe.Outcome).To(Equal(failure.NotRun))
				hs.Expect(fe.RetryAfter).To(BeNumerically(">", 0))
				hs.Expect(hs.refusals).To(HaveLen(1))
				hs.Expect(hs.refusals[0].Request).To(Equal(rq.ID))
				hs.Expect(hs.refusals[0].Standing.Over()).To(BeNumerically(">", 0))
				hs.Expect(hs.refusals[0].Standing.OldestReport).To(Equal(tc.pause))
			})
		})
	}
}

// TestUsageIsCorrectedOnRelease guards against organisations that are charged for answers that they did not get, or not for what they got.
func TestUsageIsCorrectedOnRelease(t *testing.T) {
	const events = 50
	en := promptRequest(500).Service.Engine
	prefill, perPass := en.EngineTime(500)
	tests := map[string]struct {
		serve func(sl *dispatch.Slot)
		want  time.Duration
	}{
		"in flight":             {func(*dispatch.Slot) {}, en.EngineTimeOf(500, 100)},
		"refused by the target": {func(sl *dispatch.Slot) { sl.Release() }, 0},
		"ended before the first token": {func(sl *dispatch.Slot) {
			time.Sleep(time.Second)
			sl.Release()
		}, prefill},
		"longer answer than expected": {func(sl *dispatch.Slot) {
			sl.RecordFirstToken()
			for range events {
				sl.RecordEvent()
			}
			sl.Release()
			sl.Release()
		}, prefill + events*perPass},
	}
	for name, tc := range tests {
		t.Run(name, func(t *testing.T) {
			synctest.Test(t, func(t *testing.T) {
				hs := newSharesHarness(t, slots-1)
				rq := promptRequest(500)
				rq.Service.Engine.MemoryTokens = 100_000
				rq.Organisation = "new"
				tc.serve(hs.mustAcquire(rq))
				ac := fairshare.New(time.Now())
				hs.Expect(ac.Receive("i", hs.part.Encode(time.Now()), time.Now())).To(Succeed())
				got := ac.Standing(fairshare.KeyOf("s", "new"), time.Now()).Used
				hs.Expect(got).To(BeNumerically("~", tc.want, tc.want/2), "a correction after the bucket of the prediction has faded with it")
				if tc.want == 0 {
					hs.Expect(got).To(BeZero())
				}
			})
		})
	}
}

// TestUsageIsToldOnlyInShortage guards against reports that load the gossip while nobody needs them.
func TestUsageIsToldOnlyInShortage(t *testing.T) {
	synctest.Test(t, func(t *testing.T) {
		hs := newSharesHarness(t, 0)
		rq := promptRequest(500)
		rq.Organisation = "a"
		hs.mustAcquire(rq)
		hs.Expect(hs.part.Encode(time.Now())).To(BeEmpty())
	})
}
