package waitqueue_test

import (
	"flag"
	"math"
	"testing"
	"time"

	. "github.com/onsi/gomega"
	"pgregory.net/rapid"

	"github.com/silvermount/silvermount/internal/waitqueue"
)

// init fixes the seed of property tests, so that every run draws the same cases; the flag -rapid.seed selects another one.
func init() {
	if err := flag.Set("rapid.seed", "1"); err != nil {
		panic(err)
	}
}

var start = time.Unix(1000, 0)

func newQueue(waiters int) *waitqueue.Queue[string] {
	return waitqueue.New[string](waitqueue.Limits{Waiters: waiters, Bytes: math.MaxInt64})
}

// short returns a short prompt that arrived some time before start.
func short(age time.Duration) waitqueue.Entry {
	arrived := start.Add(-age)
	return waitqueue.Entry{
		Arrived: arrived, Deadline: arrived.Add(10 * time.Second), Objective: 300 * time.Millisecond, PredictedFirstToken: 50 * time.Millisecond,
		Worth: 1, EngineTime: 20 * time.Millisecond,
	}
}

// long returns a long prompt that arrived some time before start.
func long(age time.Duration) waitqueue.Entry {
	arrived := start.Add(-age)
	return waitqueue.Entry{
		Arrived: arrived, Deadline: arrived.Add(15 * time.Second), Objective: 4 * time.Second, PredictedFirstToken: time.Second,
		Worth: 10, EngineTime: 3 * time.Second, Need: 200_000,
	}
}

func edited(en waitqueue.Entry, edit func(*waitqueue.Entry)) waitqueue.Entry {
	edit(&en)
	return en
}

// TestFirstOfTwo guards against an order that differs from the documented one, whichever request joins first.
func TestFirstOfTwo(t *testing.T) {
	returning := func(en *waitqueue.Entry) { en.Returning = true }
	tests := map[string]struct{ first, second waitqueue.Entry }{
		"less slack first":                          {short(100 * time.Millisecond), short(0)},
		"short prompt before long one":              {short(0), long(time.Second)},
		"long prompt without slack before short":    {long(2900 * time.Millisecond), short(0)},
		"in time before late":                       {long(0), short(time.Second)},
		"returning before new":                      {edited(short(0), returning), short(100 * time.Millisecond)},
		"in time before late returning":             {short(0), edited(short(time.Second), returning)},
		"late returning before late":                {edited(short(time.Second), returning), short(2 * time.Second)},
		"late: worth per engine time first":         {edited(short(time.Second), func(en *waitqueue.Entry) { en.Worth = 2 }), short(2 * time.Second)},
		"late: older first at equal worth":          {short(2 * time.Second), short(time.Second)},
		"overdue before all others":                 {short(4 * time.Second), edited(short(100*time.Millisecond), returning)},
		"overdue: the one that became so first":     {short(5 * time.Second), short(4 * time.Second)},
		"overdue: relative to the time of a caller": {short(4500 * time.Millisecond), long(6100 * time.Millisecond)},
	}
	for name, tc := range tests {
		t.Run(name, func(t *testing.T) {
			g := NewWithT(t)
			for range 2 {
				qu := newQueue(2)
				qu.Join(tc.second, "second", start)
				qu.Join(tc.first, "first", start)
				g.Expect(qu.Head(start).Value).To(Equal("first"))
				qu = newQueue(2)
				qu.Join(tc.first, "first", start)
				qu.Join(tc.second, "second", start)
				g.Expect(qu.Head(start).Value).To(Equal("first"))
			}
		})
	}
}

// TestEqualRequestsKeepTheirOrder guards against equal requests that overtake each other.
func TestEqualRequestsKeepTheirOrder(t *testing.T) {
	g := NewWithT(t)
	qu := newQueue(3)
	for _, value := range []string{"a", "b", "c"} {
		qu.Join(short(0), value, start)
	}
	for _, want := range []string{"a", "b", "c"} {
		wa := qu.Take(start, math.MaxInt64)
		g.Expect(wa.Value).To(Equal(want))
		qu.Remove(wa)
	}
}

// TestQueueIsBounded guards against a queue that grows with the demand.
func TestQueueIsBounded(t *testing.T) {
	tests := map[string]struct {
		limits waitqueue.Limits
		bytes  int64
		want   int
	}{
		"by requests": {waitqueue.Limits{Waiters: 3, Bytes: 1000}, 1, 3},
		"by bytes":    {waitqueue.Limits{Waiters: 100, Bytes: 1000}, 400, 2},
	}
	for name, tc := range tests {
		t.Run(name, func(t *testing.T) {
			g := NewWithT(t)
			qu := waitqueue.New[int](tc.limits)
			en := edited(short(0), func(en *waitqueue.Entry) { en.Bytes = tc.bytes })
			var joined []*waitqueue.Waiter[int]
			for i := range 10 {
				if wa := qu.Join(en, i, start); wa != nil {
					joined = append(joined, wa)
				}
			}
			g.Expect(joined).To(HaveLen(tc.want))
			qu.Remove(joined[0])
			qu.Remove(joined[0])
			g.Expect(qu.Join(en, 10, start)).NotTo(BeNil(), "a place that became free is used again")
			g.Expect(qu.Join(en, 11, start)).To(BeNil(), "a waiter that is removed twice frees one place")
		})
	}
}

// TestFailedTurnPassesToLesserNeed guards against a long prompt without room that keeps short ones waiting, and against as many looks as
// there are equal requests.
func TestFailedTurnPassesToLesserNeed(t *testing.T) {
	g := NewWithT(t)
	qu := newQueue(10)
	urgent := qu.Join(long(2900*time.Millisecond), "urgent long", start)
	qu.Join(short(0), "short", start)
	qu.Join(short(0), "equal short", start)
	wa := qu.Take(start, math.MaxInt64)
	g.Expect(wa).To(BeIdenticalTo(urgent))
	qu.Return(wa, start)
	next := qu.TakeAfter(wa, start)
	g.Expect(next.Value).To(Equal("short"))
	qu.Return(next, start)
	g.Expect(qu.TakeAfter(next, start)).To(BeNil(), "an equal request finds no room either")
	g.Expect(qu.TakeLongestUnseen(0)).To(BeIdenticalTo(urgent))
}

// TestLateWaiterGoesLast guards against a turn that returns to a request whose room was too late for it, while others can be in time.
func TestLateWaiterGoesLast(t *testing.T) {
	g := NewWithT(t)
	qu := newQueue(2)
	late := qu.Join(short(200*time.Millisecond), "late", start)
	qu.Join(short(0), "in time", start)
	g.Expect(qu.Take(start, math.MaxInt64)).To(BeIdenticalTo(late))
	qu.ReturnLate(late, start)
	g.Expect(qu.Head(start).Value).To(Equal("in time"))
}

// TestYields guards against a newcomer that takes room for which another of its kind waits, and against one that waits behind a request of
// another kind.
func TestYields(t *testing.T) {
	tests := map[string]struct {
		waiting, newcomer waitqueue.Entry
		want              bool
	}{
		"equal":                     {short(0), short(0), true},
		"newcomer is more urgent":   {short(0), short(100 * time.Millisecond), false},
		"long one waits":            {long(2900 * time.Millisecond), short(0), false},
		"short one waits":           {short(0), long(0), false},
		"larger long one waits":     {long(time.Second), edited(long(0), func(en *waitqueue.Entry) { en.Need = 100_000 }), false},
		"smaller long one waits":    {long(time.Second), edited(long(0), func(en *waitqueue.Entry) { en.Need = 300_000 }), true},
		"waiting one excludes some": {edited(short(0), func(en *waitqueue.Entry) { en.Selective = true }), short(0), false},
		"newcomer excludes some":    {short(0), edited(short(0), func(en *waitqueue.Entry) { en.Selective = true }), false},
		"waiting one would be late with the room that there is": {edited(short(100*time.Millisecond), func(en *waitqueue.Entry) { en.Late = true }), short(0), false},
		"waiting one is already late":                           {short(time.Second), short(0), false},
	}
	for name, tc := range tests {
		t.Run(name, func(t *testing.T) {
			qu := newQueue(2)
			qu.Join(tc.waiting, "waiting", start)
			NewWithT(t).Expect(qu.Yields(tc.newcomer, start)).To(Equal(tc.want))
		})
	}
}

// TestPeersHeadGoesBefore guards against yielding to a summary that is old, or to a head that has left.
func TestPeersHeadGoesBefore(t *testing.T) {
	tests := map[string]struct {
		told       waitqueue.Summary
		slack, age time.Duration
		want       bool
	}{
		"clearly more urgent":             {waitqueue.Summary{Length: 1, HeadSlack: 100 * time.Millisecond}, 200 * time.Millisecond, 0, true},
		"about as urgent":                 {waitqueue.Summary{Length: 1, HeadSlack: 170 * time.Millisecond}, 200 * time.Millisecond, 0, false},
		"as urgent now as it was told":    {waitqueue.Summary{Length: 1, HeadSlack: 170 * time.Millisecond}, 200 * time.Millisecond, 100 * time.Millisecond, true},
		"its slack has ended":             {waitqueue.Summary{Length: 1, HeadSlack: 100 * time.Millisecond}, time.Second, 150 * time.Millisecond, false},
		"too old":                         {waitqueue.Summary{Length: 1, HeadSlack: 2 * time.Second}, 5 * time.Second, 501 * time.Millisecond, false},
		"nothing waits there":             {waitqueue.Summary{}, time.Second, 0, false},
		"late there":                      {waitqueue.Summary{Length: 1, HeadSlack: -time.Millisecond}, time.Second, 0, false},
		"made in the future by its clock": {waitqueue.Summary{Length: 1, HeadSlack: 100 * time.Millisecond}, time.Second, -time.Second, false},
	}
	for name, tc := range tests {
		t.Run(name, func(t *testing.T) {
			NewWithT(t).Expect(tc.told.GoesBefore(tc.slack, tc.age)).To(Equal(tc.want))
		})
	}
}

// TestSummary guards against a summary that describes another request than the head, or counts one that has left.
func TestSummary(t *testing.T) {
	g := NewWithT(t)
	qu := newQueue(3)
	g.Expect(qu.Summary(start)).To(BeZero())
	qu.Join(long(0), "long", start)
	left := qu.Join(short(0), "left", start)
	qu.Join(short(0), "short", start)
	qu.Remove(left)
	want := waitqueue.Summary{Length: 2, EngineTime: 3020 * time.Millisecond, HeadSlack: 250 * time.Millisecond}
	g.Expect(qu.Summary(start)).To(Equal(want))
}

// drawEntry draws a request that arrives at a time.
func drawEntry(rt *rapid.T, now time.Time) waitqueue.Entry {
	objective := time.Duration(rapid.IntRange(1, 6000).Draw(rt, "objective")) * time.Millisecond
	return waitqueue.Entry{
		Returning: rapid.Bool().Draw(rt, "returning"), Arrived: now,
		Deadline:  now.Add(time.Duration(rapid.IntRange(1500, 15000).Draw(rt, "deadline")) * time.Millisecond),
		Objective: objective, PredictedFirstToken: objective / time.Duration(rapid.IntRange(1, 10).Draw(rt, "predicted")),
		Worth: rapid.Float64Range(0, 30).Draw(rt, "worth"), EngineTime: time.Duration(rapid.IntRange(0, 3000).Draw(rt, "engine")) * time.Millisecond,
		Need: rapid.Int64Range(0, 3).Draw(rt, "need") * 50_000,
	}
}

// TestOrderIsTotal guards against an order with cycles, in which the request that is served depends on the places in memory: taking all
// waiters one by one gives the same sequence whatever the order in which they joined.
func TestOrderIsTotal(t *testing.T) {
	rapid.Check(t, func(rt *rapid.T) {
		var entries []waitqueue.Entry
		for i := range rapid.IntRange(2, 12).Draw(rt, "count") {
			en := drawEntry(rt, start.Add(-time.Duration(rapid.IntRange(0, 9000).Draw(rt, "age"))*time.Millisecond))
			// Requests that are equal in all respects keep the order of joining.
			en.Arrived = en.Arrived.Add(time.Duration(i))
			entries = append(entries, en)
		}
		sequence := func(order []int) []int {
			qu := waitqueue.New[int](waitqueue.Limits{Waiters: 100, Bytes: 1})
			for _, i := range order {
				qu.Join(entries[i], i, start)
			}
			var taken []int
			for qu.Len() > 0 {
				wa := qu.Take(start, math.MaxInt64)
				taken = append(taken, wa.Value)
				qu.Remove(wa)
			}
			return taken
		}
		order := make([]int, len(entries))
		for i := range order {
			order[i] = i
		}
		NewWithT(rt).Expect(sequence(rapid.Permutation(order).Draw(rt, "order"))).To(Equal(sequence(order)))
	})
}

// TestNothingStarves guards against a request that waits beyond half of its time while others arrive that go before it. One urgent request
// arrives for each that is served, so that late requests of no worth would wait until their deadline without ageing.
func TestNothingStarves(t *testing.T) {
	rapid.Check(t, func(rt *rapid.T) {
		g := NewWithT(rt)
		qu := waitqueue.New[struct{}](waitqueue.Limits{Waiters: 1000, Bytes: 1})
		now := start
		const backlog, interval = 5, 20 * time.Millisecond
		var old []*waitqueue.Waiter[struct{}]
		for range backlog {
			en := drawEntry(rt, now)
			en.Worth, en.Objective, en.PredictedFirstToken, en.Returning = 0, 0, 0, false
			old = append(old, qu.Join(en, struct{}{}, now))
		}
		for now.Sub(start) < 15*time.Second {
			now = now.Add(interval)
			en := short(0)
			en.Arrived, en.Deadline = now, now.Add(10*time.Second)
			qu.Join(en, struct{}{}, now)
			wa := qu.Take(now, math.MaxInt64)
			waited := now.Sub(wa.Arrived)
			g.Expect(waited).To(BeNumerically("<=", wa.Deadline.Sub(wa.Arrived)/2))
			qu.Remove(wa)
		}
		for _, wa := range old {
			g.Expect(wa.IsWaiting()).To(BeFalse())
		}
	})
}

// TestAgeRaisesPriority guards against a request that falls back in the order while it waits and nothing overtakes it: once a waiter is
// overdue, no request that arrives later goes before it.
func TestAgeRaisesPriority(t *testing.T) {
	rapid.Check(t, func(rt *rapid.T) {
		qu := waitqueue.New[string](waitqueue.Limits{Waiters: 2, Bytes: 1})
		old := drawEntry(rt, start)
		qu.Join(old, "old", start)
		now := start.Add(old.Deadline.Sub(start)/2 + time.Duration(rapid.IntRange(0, 1000).Draw(rt, "later"))*time.Millisecond)
		qu.Join(drawEntry(rt, now), "new", now)
		NewWithT(rt).Expect(qu.Head(now).Value).To(Equal("old"))
	})
}
