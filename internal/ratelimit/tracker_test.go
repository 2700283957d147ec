package ratelimit_test

import (
	"math"
	"testing"
	"time"

	. "github.com/onsi/gomega"

	"github.com/silvermount/silvermount/internal/ratelimit"
)

func TestParse(t *testing.T) {
	cases := map[string]struct {
		values  []string
		want    ratelimit.Limit
		wantErr bool
	}{
		"absent":                          {},
		"decimal":                         {values: []string{"1.5"}, want: ratelimit.PerSecond(1.5)},
		"surrounded by blanks":            {values: []string{" 2 "}, want: ratelimit.PerSecond(2)},
		"zero":                            {values: []string{"0"}, want: ratelimit.PerSecond(0)},
		"several values: the lowest wins": {values: []string{"7", "3", "5"}, want: ratelimit.PerSecond(3)},
		"above the maximum":               {values: []string{"1e300"}, want: ratelimit.PerSecond(1e6)},
		"empty":                           {values: []string{""}, wantErr: true},
		"negative":                        {values: []string{"-1"}, wantErr: true},
		"NaN":                             {values: []string{"NaN"}, wantErr: true},
		"infinite":                        {values: []string{"+Inf"}, wantErr: true},
		"out of the range of float64":     {values: []string{"1e999"}, wantErr: true},
		"not a number":                    {values: []string{"many"}, wantErr: true},
		"several values, one malformed":   {values: []string{"many", "4"}, want: ratelimit.PerSecond(4), wantErr: true},
	}
	for name, tc := range cases {
		t.Run(name, func(t *testing.T) {
			g := NewWithT(t)
			li, err := ratelimit.Parse(tc.values)
			g.Expect(li).To(Equal(tc.want))
			g.Expect(err != nil).To(Equal(tc.wantErr))
		})
	}
}

// testTracker is a Tracker with a manual clock.
type testTracker struct {
	*WithT
	*ratelimit.Tracker
	start time.Time
	now   time.Time
}

func newTestTracker(t *testing.T) *testTracker {
	tr := &testTracker{WithT: NewWithT(t), start: time.Unix(1000, 0)}
	tr.now = tr.start
	tr.Tracker = ratelimit.New(func() time.Time { return tr.now })
	return tr
}

// at returns a time in milliseconds after the start of the test.
func (tr *testTracker) at(ms int) time.Time {
	return tr.start.Add(time.Duration(ms) * time.Millisecond)
}

// observe records an answer to a request of this instance; sent and head are in milliseconds. It reports whether the limit changed.
func (tr *testTracker) observe(li ratelimit.Limit, sent, head int) bool {
	_, changed := tr.Observe("a", li, tr.at(sent), tr.at(head))
	return changed
}

// merge applies an observation of a peer, made at a time in milliseconds. It reports whether the limit changed.
func (tr *testTracker) merge(li ratelimit.Limit, at int) bool {
	return len(tr.Merge([]ratelimit.Observation{{Target: "a", Limit: li, At: tr.at(at)}})) > 0
}

func TestTrackerKeepsTheNewestObservation(t *testing.T) {
	tr := newTestTracker(t)
	two, three, none := ratelimit.PerSecond(2), ratelimit.PerSecond(3), ratelimit.Limit{}
	tr.Expect(tr.observe(none, 0, 10)).To(BeFalse())
	tr.Expect(tr.observe(two, 20, 30)).To(BeTrue())
	tr.Expect(tr.Limit("a")).To(Equal(two))
	tr.Expect(tr.observe(none, 25, 60)).To(BeFalse(), "in flight when the limit was stated")
	tr.Expect(tr.Limit("a")).To(Equal(two))
	tr.Expect(tr.observe(three, 40, 70)).To(BeTrue())
	tr.Expect(tr.LimitedCount()).To(Equal(1))
	tr.Expect(tr.observe(none, 80, 90)).To(BeTrue())
	tr.Expect(tr.Limit("a")).To(Equal(none))
	tr.Expect(tr.LimitedCount()).To(BeZero())
}

func TestMergeIgnoresOlderObservations(t *testing.T) {
	two, none := ratelimit.PerSecond(2), ratelimit.Limit{}
	tr := newTestTracker(t)
	tr.Expect(tr.merge(two, 30)).To(BeTrue())
	tr.Expect(tr.merge(none, 20)).To(BeFalse())
	tr.Expect(tr.Limit("a")).To(Equal(two))
	tr.Expect(tr.merge(none, 40)).To(BeTrue())
	tr.Expect(tr.merge(two, 35)).To(BeFalse())
	tr.Expect(tr.Limit("a")).To(Equal(none))

	// Reports that take different paths may arrive out of order.
	reordered := newTestTracker(t)
	reordered.Expect(reordered.merge(none, 40)).To(BeFalse())
	reordered.Expect(reordered.merge(two, 30)).To(BeFalse())
	reordered.Expect(reordered.Limit("a")).To(Equal(none))
}

func TestTrackerAnnouncesOnlyWhatItObservedFirst(t *testing.T) {
	tr := newTestTracker(t)
	two := ratelimit.PerSecond(2)
	tr.Expect(tr.merge(two, 10)).To(BeTrue())
	tr.Expect(tr.observe(two, 20, 30)).To(BeFalse())
	tr.Expect(tr.LocalObservations()).To(BeEmpty(), "a peer reported it first")
	tr.Expect(tr.observe(ratelimit.PerSecond(4), 40, 50)).To(BeTrue())
	tr.Expect(tr.LocalObservations()).To(Equal([]ratelimit.Observation{{Target: "a", Limit: ratelimit.PerSecond(4), At: tr.at(50)}}))
	tr.Expect(tr.merge(two, 60)).To(BeTrue())
	tr.Expect(tr.LocalObservations()).To(BeEmpty(), "a peer reported something newer")
}

func TestPruneKeepsLimitsOfExistingTargets(t *testing.T) {
	tr := newTestTracker(t)
	tr.observe(ratelimit.PerSecond(2), 0, 10)
	exists := true
	prune := func() { tr.Prune(func(string) bool { return exists }) }
	tr.now = tr.start.Add(time.Hour)
	prune()
	tr.Expect(tr.Limit("a").Limited).To(BeTrue(), "an idle target keeps its limit")
	exists = false
	prune()
	tr.Expect(tr.LimitedCount()).To(BeZero())
	tr.Expect(tr.LocalObservations()).To(BeEmpty())
}

func TestObservationsSurviveEncoding(t *testing.T) {
	g := NewWithT(t)
	now := time.Unix(2000, 0)
	obs := []ratelimit.Observation{
		{Target: "a", Limit: ratelimit.PerSecond(1.25), At: now.Add(-3 * time.Second)},
		{Target: "b@x", At: now},
		{Target: "c", Limit: ratelimit.PerSecond(0), At: now.Add(-time.Millisecond)},
	}
	got, err := ratelimit.Decode(ratelimit.Encode(obs, now), now)
	g.Expect(err).NotTo(HaveOccurred())
	g.Expect(got).To(Equal(obs))
}

func FuzzDecode(f *testing.F) {
	now := time.Unix(2000, 0)
	f.Add(ratelimit.Encode([]ratelimit.Observation{{Target: "a", Limit: ratelimit.PerSecond(2), At: now}}, now))
	f.Add([]byte{1, 1, 'a', 0, 0xff, 0xff, 0xff, 0xff, 0xff, 0xff, 0xff, 0xff, 0xff, 1})
	f.Add([]byte{0xff, 0xff, 3})
	f.Fuzz(func(t *testing.T, b []byte) {
		obs, err := ratelimit.Decode(b, now)
		if err != nil {
			return
		}
		for _, ob := range obs {
			if ob.Target == "" || math.IsNaN(ob.Limit.PerSecond) || ob.Limit.PerSecond < 0 || ob.Limit.PerSecond > 1e6 || ob.At.After(now) {
				t.Fatalf("%+v", ob)
			}
		}
	})
}
