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
		values []string
		want   ratelimit.Limit
		failed bool
	}{
		"none":               {},
		"a decimal":          {values: []string{"1.5"}, want: ratelimit.PerSecond(1.5)},
		"blanks":             {values: []string{" 2 "}, want: ratelimit.PerSecond(2)},
		"zero":               {values: []string{"0"}, want: ratelimit.PerSecond(0)},
		"several":            {values: []string{"7", "3", "5"}, want: ratelimit.PerSecond(3)},
		"larger than a load": {values: []string{"1e300"}, want: ratelimit.PerSecond(1e6)},
		"empty":              {values: []string{""}, failed: true},
		"negative":           {values: []string{"-1"}, failed: true},
		"not a number":       {values: []string{"NaN"}, failed: true},
		"infinite":           {values: []string{"+Inf"}, failed: true},
		"overflow":           {values: []string{"1e999"}, failed: true},
		"a word":             {values: []string{"many"}, failed: true},
		"one that is good":   {values: []string{"many", "4"}, want: ratelimit.PerSecond(4), failed: true},
	}
	for name, tc := range cases {
		t.Run(name, func(t *testing.T) {
			g := NewWithT(t)
			li, err := ratelimit.Parse(tc.values)
			g.Expect(li).To(Equal(tc.want))
			g.Expect(err != nil).To(Equal(tc.failed))
		})
	}
}

// book is a book on a clock that the test moves.
type testTracker struct {
	*WithT
	*ratelimit.Tracker
	began time.Time
	now   time.Time
}

func newTestTracker(t *testing.T) *testTracker {
	bk := &testTracker{WithT: NewWithT(t), began: time.Unix(1000, 0)}
	bk.now = bk.began
	bk.Tracker = ratelimit.New(func() time.Time { return bk.now })
	return bk
}

func (tt *testTracker) at(ms int) time.Time {
	return tt.began.Add(time.Duration(ms) * time.Millisecond)
}

// saw is an own answer to a request that was sent at one moment and answered at another, in milliseconds.
func (tt *testTracker) observe(li ratelimit.Limit, sent, head int) bool {
	_, changed := tt.Observe("a", li, tt.at(sent), tt.at(head))
	return changed
}

// heard is a peer's word.
func (tt *testTracker) merge(li ratelimit.Limit, at int) bool {
	return len(tt.Merge([]ratelimit.Observation{{Target: "a", Limit: li, At: tt.at(at)}})) > 0
}

func TestBookBelievesTheNewestAnswer(t *testing.T) {
	bk := newTestTracker(t)
	two, three, none := ratelimit.PerSecond(2), ratelimit.PerSecond(3), ratelimit.Limit{}
	bk.Expect(bk.observe(none, 0, 10)).To(BeFalse())
	bk.Expect(bk.observe(two, 20, 30)).To(BeTrue())
	bk.Expect(bk.Limit("a")).To(Equal(two))
	bk.Expect(bk.observe(none, 25, 60)).To(BeFalse(), "under way when the limit was named")
	bk.Expect(bk.Limit("a")).To(Equal(two))
	bk.Expect(bk.observe(three, 40, 70)).To(BeTrue())
	bk.Expect(bk.LimitedCount()).To(Equal(1))
	bk.Expect(bk.observe(none, 80, 90)).To(BeTrue())
	bk.Expect(bk.Limit("a")).To(Equal(none))
	bk.Expect(bk.LimitedCount()).To(BeZero())
}

func TestBookTakesPeersWordByItsAge(t *testing.T) {
	two, none := ratelimit.PerSecond(2), ratelimit.Limit{}
	bk := newTestTracker(t)
	bk.Expect(bk.merge(two, 30)).To(BeTrue())
	bk.Expect(bk.merge(none, 20)).To(BeFalse())
	bk.Expect(bk.Limit("a")).To(Equal(two))
	bk.Expect(bk.merge(none, 40)).To(BeTrue())
	bk.Expect(bk.merge(two, 35)).To(BeFalse())
	bk.Expect(bk.Limit("a")).To(Equal(none))

	// Told by different ways, the lifting may come first.
	late := newTestTracker(t)
	late.Expect(late.merge(none, 40)).To(BeFalse())
	late.Expect(late.merge(two, 30)).To(BeFalse())
	late.Expect(late.Limit("a")).To(Equal(none))
}

func TestBookTellsWhatItSawFirst(t *testing.T) {
	bk := newTestTracker(t)
	two := ratelimit.PerSecond(2)
	bk.Expect(bk.merge(two, 10)).To(BeTrue())
	bk.Expect(bk.observe(two, 20, 30)).To(BeFalse())
	bk.Expect(bk.LocalObservations()).To(BeEmpty(), "others told of it")
	bk.Expect(bk.observe(ratelimit.PerSecond(4), 40, 50)).To(BeTrue())
	bk.Expect(bk.LocalObservations()).To(Equal([]ratelimit.Observation{{Target: "a", Limit: ratelimit.PerSecond(4), At: bk.at(50)}}))
	bk.Expect(bk.merge(two, 60)).To(BeTrue())
	bk.Expect(bk.LocalObservations()).To(BeEmpty(), "a peer saw something newer")
}

func TestBookForgets(t *testing.T) {
	bk := newTestTracker(t)
	bk.observe(ratelimit.PerSecond(2), 0, 10)
	there := true
	forget := func() { bk.Prune(func(string) bool { return there }) }
	bk.now = bk.began.Add(time.Hour)
	forget()
	bk.Expect(bk.Limit("a").Limited).To(BeTrue(), "a target that gets no requests is limited still")
	there = false
	forget()
	bk.Expect(bk.LimitedCount()).To(BeZero())
	bk.Expect(bk.LocalObservations()).To(BeEmpty())
}

func TestObservationsAreReadAsWritten(t *testing.T) {
	g := NewWithT(t)
	now := time.Unix(2000, 0)
	told := []ratelimit.Observation{
		{Target: "a", Limit: ratelimit.PerSecond(1.25), At: now.Add(-3 * time.Second)},
		{Target: "b@x", At: now},
		{Target: "c", Limit: ratelimit.PerSecond(0), At: now.Add(-time.Millisecond)},
	}
	got, err := ratelimit.Decode(ratelimit.Encode(told, now), now)
	g.Expect(err).NotTo(HaveOccurred())
	g.Expect(got).To(Equal(told))
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
