package fairshare_test

import (
	"fmt"
	"runtime"
	"testing"
	"time"

	. "github.com/onsi/gomega"

	"github.com/silvermount/silvermount/internal/fairshare"
	"github.com/silvermount/silvermount/internal/loadreport"
	"github.com/silvermount/silvermount/internal/peercodec"
)

var start = time.Unix(1000, 0)

func key(name string) fairshare.Key { return fairshare.KeyOf("s", name) }

func used(d time.Duration) fairshare.Amount { return fairshare.Amount{Used: d} }

// TestMaxMinShares guards against shares that leave engine time to nobody, or take it from those that want less than their part.
func TestMaxMinShares(t *testing.T) {
	tests := map[string]struct {
		amounts map[string]fairshare.Amount
		weights map[string]float64
		// shares are in seconds.
		shares map[string]float64
		over   map[string]float64
	}{
		"single organisation": {
			amounts: map[string]fairshare.Amount{"a": {Used: 10 * time.Second, Unmet: 5 * time.Second}},
			shares:  map[string]float64{"a": 10}, over: map[string]float64{"a": 0},
		},
		"nobody wants more": {
			amounts: map[string]fairshare.Amount{"a": {Used: 9 * time.Second}, "b": {Used: time.Second}},
			shares:  map[string]float64{"a": 9, "b": 1}, over: map[string]float64{"a": 0, "b": 0},
		},
		"equal shares": {
			amounts: map[string]fairshare.Amount{"a": {Used: 9 * time.Second, Unmet: 9 * time.Second}, "b": {Used: 3 * time.Second, Unmet: 9 * time.Second}},
			shares:  map[string]float64{"a": 6, "b": 6}, over: map[string]float64{"a": 0.5, "b": 0},
		},
		"unused share goes to those that want it": {
			amounts: map[string]fairshare.Amount{
				"a": {Used: 6 * time.Second}, "b": {Used: 2 * time.Second, Unmet: 10 * time.Second}, "c": {Used: time.Second},
			},
			shares: map[string]float64{"a": 4, "b": 4, "c": 1}, over: map[string]float64{"a": 0.5, "b": 0, "c": 0},
		},
		"weights": {
			amounts: map[string]fairshare.Amount{"a": {Used: 6 * time.Second, Unmet: 6 * time.Second}, "b": {Used: 3 * time.Second, Unmet: 9 * time.Second}},
			weights: map[string]float64{"a": 2, "b": 0}, shares: map[string]float64{"a": 6, "b": 3}, over: map[string]float64{"a": 0, "b": 0},
		},
		"unknown organisation": {
			amounts: map[string]fairshare.Amount{"a": {Used: time.Second, Unmet: time.Second}},
			shares:  map[string]float64{"x": 0}, over: map[string]float64{"x": 0},
		},
	}
	for name, tc := range tests {
		t.Run(name, func(t *testing.T) {
			g := NewWithT(t)
			ac := fairshare.New(start, fairshare.WithWeights(tc.weights))
			for org, am := range tc.amounts {
				ac.Add(key(org), am, start, start)
			}
			for org, share := range tc.shares {
				g.Expect(ac.Standing(key(org), start).Share.Seconds()).To(BeNumerically("~", share, 0.01), org)
				g.Expect(ac.Over(key(org), start)).To(BeNumerically("~", tc.over[org], 0.01), org)
			}
		})
	}
}

// TestServicesAreSeparate guards against a shortage of one service that refuses the prompts of an organisation that only uses another.
func TestServicesAreSeparate(t *testing.T) {
	g := NewWithT(t)
	ac := fairshare.New(start)
	ac.Add(fairshare.KeyOf("idle", "a"), used(10*time.Second), start, start)
	ac.Add(key("a"), used(time.Second), start, start)
	ac.Add(key("b"), fairshare.Amount{Used: time.Second, Unmet: time.Second}, start, start)
	g.Expect(ac.Over(key("a"), start)).To(BeZero())
	g.Expect(ac.Over(fairshare.KeyOf("idle", "a"), start)).To(BeZero())
}

// TestUsageFadesWithTheWindow guards against an organisation that pays for what it used before a swing, also after a pause of the process.
func TestUsageFadesWithTheWindow(t *testing.T) {
	tests := map[string]struct {
		after time.Duration
		want  float64
	}{
		"at once":                  {0, 1},
		"half of the window":       {fairshare.Window / 2, 0.5},
		"end of the window":        {fairshare.Window, 0},
		"pause of many windows":    {100 * fairshare.Window, 0},
		"clock that goes backward": {-time.Second, 0},
	}
	for name, tc := range tests {
		t.Run(name, func(t *testing.T) {
			g := NewWithT(t)
			ac := fairshare.New(start)
			at := start.Add(10 * time.Second)
			ac.Add(key("a"), used(time.Second), at, at)
			g.Expect(ac.Standing(key("a"), at.Add(tc.after)).Used.Seconds()).To(BeNumerically("~", tc.want, 0.02))
			// Usage after the pause counts in full, without any of before.
			ac.Add(key("b"), used(time.Second), at.Add(tc.after), at.Add(tc.after))
			ac.Refresh(at.Add(tc.after), 0)
			g.Expect(ac.Standing(key("b"), at.Add(tc.after)).Used).To(Equal(time.Second))
		})
	}
}

// TestCorrectionChangesTheBucketOfThePrediction guards against answers whose correction counts longer than what it corrects, and against
// negative usage.
func TestCorrectionChangesTheBucketOfThePrediction(t *testing.T) {
	g := NewWithT(t)
	ac := fairshare.New(start)
	ac.Add(key("a"), used(time.Second), start, start)
	now := start.Add(2 * time.Second)
	ac.Add(key("a"), used(-time.Second), start, now)
	g.Expect(ac.Standing(key("a"), now).Used).To(BeZero())
	ac.Add(key("a"), used(-time.Second), start, now)
	ac.Refresh(now, 0)
	g.Expect(ac.Standing(key("a"), now).Used).To(BeZero())
	ac.Add(key("a"), used(time.Second), start, start.Add(time.Hour))
	g.Expect(ac.Standing(key("a"), start.Add(time.Hour)).Used).To(BeZero())
}

// TestUsageOfPeersCountsAndFades guards against shares of one instance alone, and against lost or silent peers whose usage counts for ever.
func TestUsageOfPeersCountsAndFades(t *testing.T) {
	tests := map[string]struct {
		edit  func(ac *fairshare.Accounts)
		after time.Duration
		over  float64
	}{
		"known":                        {over: 2},
		"silent for half of a window":  {after: fairshare.Window / 2, over: 2},
		"silent for a window":          {after: fairshare.Window, over: 0},
		"lost":                         {edit: func(ac *fairshare.Accounts) { ac.Forget("peer") }, over: 0},
		"has nothing to tell any more": {edit: func(ac *fairshare.Accounts) { _ = ac.Receive("peer", nil, start) }, over: 0},
	}
	for name, tc := range tests {
		t.Run(name, func(t *testing.T) {
			g := NewWithT(t)
			peer := fairshare.New(start)
			peer.Add(key("a"), used(9*time.Second), start, start)
			for _, org := range []string{"b", "c"} {
				peer.Add(key(org), fairshare.Amount{Unmet: 9 * time.Second}, start, start)
			}
			ac := fairshare.New(start)
			g.Expect(ac.Receive("peer", peer.Encode(start), start)).To(Succeed())
			if tc.edit != nil {
				tc.edit(ac)
			}
			g.Expect(ac.Over(key("a"), start.Add(tc.after))).To(BeNumerically("~", tc.over, 0.01))
		})
	}
}

// TestMalformedUsageIsIgnored guards against a damaged report that removes or replaces what the peer told before.
func TestMalformedUsageIsIgnored(t *testing.T) {
	for name, body := range map[string][]byte{"truncated": make([]byte, 39), "too large": make([]byte, 20*1000)} {
		t.Run(name, func(t *testing.T) {
			g := NewWithT(t)
			peer := fairshare.New(start)
			peer.Add(key("a"), used(time.Second), start, start)
			ac := fairshare.New(start)
			g.Expect(ac.Receive("peer", peer.Encode(start), start)).To(Succeed())
			var me *peercodec.MalformedError
			g.Expect(ac.Receive("peer", body, start)).To(BeAssignableToTypeOf(me))
			g.Expect(ac.Standing(key("a"), start).Used).To(Equal(time.Second))
		})
	}
}

const (
	manyOrganisations = 6800
	manyInstances     = 370
)

// largeFleet returns accounts that know of as many peers as the largest fleet has, each with all organisations. One of these uses a
// hundred times as much as each other.
func largeFleet(g Gomega, reportedAt time.Time) *fairshare.Accounts {
	peer := fairshare.New(start)
	ac := fairshare.New(start)
	for _, acc := range []*fairshare.Accounts{peer, ac} {
		acc.Add(key("heavy"), fairshare.Amount{Used: 100 * time.Millisecond, Unmet: 100 * time.Millisecond}, start, start)
		for i := range manyOrganisations {
			acc.Add(key(fmt.Sprint("an organisation with a long name ", i)), fairshare.Amount{Used: time.Millisecond, Unmet: time.Millisecond}, start, start)
		}
	}
	for i := range manyInstances - 1 {
		g.Expect(peer.Receive(fmt.Sprint("peer-", i), ac.Encode(start), reportedAt)).To(Succeed())
	}
	report := peer.Encode(start)
	g.Expect(len(report)).To(BeNumerically("<=", loadreport.MaxBytes/2), "other parts have room in the report")
	for i := range manyInstances {
		g.Expect(ac.Receive(fmt.Sprint("peer-", i), report, reportedAt)).To(Succeed())
	}
	return ac
}

// TestManyOrganisationsStayWithinBounds guards against memory and reports that grow with the number of organisations, and against one that
// hides among many.
func TestManyOrganisationsStayWithinBounds(t *testing.T) {
	g := NewWithT(t)
	var before, after runtime.MemStats
	runtime.GC()
	runtime.ReadMemStats(&before)
	ac := largeFleet(g, start)
	ac.Refresh(start, fairshare.ViewPeriod)
	runtime.GC()
	runtime.ReadMemStats(&after)
	kept := int64(after.HeapAlloc) - int64(before.HeapAlloc)
	t.Logf("%d organisations, %d instances: %d KB kept, %d organisations one by one", manyOrganisations, manyInstances, kept>>10, ac.OrganisationCount())
	g.Expect(kept).To(BeNumerically("<", 4<<20))
	g.Expect(ac.OrganisationCount()).To(BeNumerically("<=", 1024))
	g.Expect(ac.Over(key("heavy"), start)).To(BeNumerically(">", 0.5), "far enough above its share that each of its prompts is refused")
	g.Expect(ac.Over(key("an organisation with a long name 1"), start)).To(BeZero())
	runtime.KeepAlive(ac)
}

// TestSizesTakeTurns guards against a share that goes to short prompts alone, because long ones are late more often.
func TestSizesTakeTurns(t *testing.T) {
	g := NewWithT(t)
	tu := fairshare.NewTurns()
	const short, long = 100 * time.Millisecond, 3 * time.Second
	served, longServed := 0, 0
	const rounds = 1000
	for i := range rounds {
		cost, now := short, start.Add(time.Duration(i)*10*time.Millisecond)
		if i%10 == 0 {
			cost = long
		}
		// Every second short prompt is in time. Each other one, and each long one, is refused if that is allowed.
		ok := cost == short && i%2 == 1 || tu.IsDue(key("a"), cost, 0.5, now)
		tu.Record(key("a"), cost, ok, now)
		if ok {
			served++
			if cost == long {
				longServed++
			}
		}
	}
	g.Expect(float64(longServed) / (rounds / 10)).To(BeNumerically(">=", 0.5*float64(served)/rounds))
	g.Expect(served).To(BeNumerically("<", 2*rounds/3), "most of the refusals stay")
}

// BenchmarkStandingInLargeFleet measures a decision while the sum over all instances is known, and one that computes it.
func BenchmarkStandingInLargeFleet(b *testing.B) {
	for name, step := range map[string]time.Duration{"known": 0, "computed": time.Second / 4} {
		b.Run(name, func(b *testing.B) {
			// The reports are from the end, so that none of them leaves the window.
			ac := largeFleet(NewWithT(b), start.Add(time.Duration(b.N+1)*step))
			b.ResetTimer()
			for i := range b.N {
				ac.Over(key("heavy"), start.Add(time.Duration(i+1)*step))
			}
		})
	}
}
