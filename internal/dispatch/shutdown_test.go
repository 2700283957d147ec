package dispatch_test

import (
	"context"
	"testing"
	"time"

	"github.com/cockroachdb/errors"
	. "github.com/onsi/gomega"

	"github.com/silvermount/silvermount/internal/dispatch"
	"github.com/silvermount/silvermount/internal/failure"
	"github.com/silvermount/silvermount/internal/placement"
)

// full makes the memory of some targets look taken by a peer; none frees it.
func (hs *bench) full(count int) {
	loads := map[string]placement.Load{}
	for no := range count {
		loads[id(no)] = placement.Load{Memory: memory}
	}
	hs.SetPeerLoads("peer", loads)
}

// TestPromptsAtTheEndOfTheInstance asks for room while the instance ends: reading and writing take 0.15 s at idle targets.
func TestPromptsAtTheEndOfTheInstance(t *testing.T) {
	const targets = 3
	short := func() dispatch.Request { return prompt(1000) }
	// large needs the memory of two targets, and waits for it until its deadline.
	large := func() dispatch.Request { return prompt(17_000) }
	begun := func() dispatch.Request {
		rq := short()
		rq.Resumed, rq.EventsForwarded = true, 3
		return rq
	}
	soonDue := func() dispatch.Request {
		rq := large()
		rq.Deadline = rq.Arrived.Add(500 * time.Millisecond)
		return rq
	}
	cases := map[string]struct {
		ask func() dispatch.Request
		// full is set when no target has room at first. They have some from freedAt on; zero is never.
		full    bool
		freedAt time.Duration
		// toldAt is when the instance learns that it ends, and endsIn how long it then has.
		toldAt, endsIn time.Duration
		// code is empty when the prompt gets its room.
		code        failure.Code
		least, most time.Duration
	}{
		"time enough":                   {ask: short, endsIn: time.Second},
		"no time left":                  {ask: short, endsIn: 50 * time.Millisecond, code: failure.Stopping},
		"no time left for a large one":  {ask: large, endsIn: 50 * time.Millisecond, code: failure.Stopping},
		"waits while it may be in time": {ask: large, full: true, endsIn: 5 * time.Second, code: failure.Stopping, least: 4500 * time.Millisecond, most: 4950 * time.Millisecond},
		"waits and gets room":           {ask: large, full: true, freedAt: 2 * time.Second, endsIn: 5 * time.Second, least: 2 * time.Second, most: 2100 * time.Millisecond},
		"told while it waits":           {ask: large, full: true, toldAt: 3 * time.Second, endsIn: 50 * time.Millisecond, code: failure.Stopping, least: 3 * time.Second, most: 3100 * time.Millisecond},
		"its deadline comes first":      {ask: soonDue, full: true, endsIn: 5 * time.Second, code: failure.Overloaded, most: 500 * time.Millisecond},
		"its answer has begun":          {ask: begun, endsIn: 10 * time.Millisecond},
	}
	for name, tc := range cases {
		t.Run(name, func(t *testing.T) {
			bubble(t, targets, func(hs *bench) {
				if tc.full {
					hs.full(targets)
				}
				if tc.freedAt > 0 {
					time.AfterFunc(tc.freedAt, func() { hs.SetPeerLoads("peer", nil) })
				}
				tell := func() { hs.SetShutdownTime(time.Now().Add(tc.endsIn)) }
				if tc.toldAt == 0 {
					tell()
				} else {
					time.AfterFunc(tc.toldAt, tell)
				}
				began := time.Now()
				sl, err := hs.Acquire(context.Background(), tc.ask())
				took := time.Since(began)
				hs.Expect(took).To(And(BeNumerically(">=", tc.least), BeNumerically("<=", tc.most+travel)))
				if tc.code == "" {
					hs.Expect(err).NotTo(HaveOccurred())
					sl.Release()
					time.Sleep(settle)
					return
				}
				var fe *failure.Error
				hs.Expect(errors.As(err, &fe)).To(BeTrue())
				hs.Expect(fe.Code).To(Equal(tc.code))
				hs.Expect(fe.Outcome).To(Equal(failure.NotRun))
				if tc.code == failure.Stopping {
					hs.Expect(fe.RetryAfter).To(Equal(dispatch.RetryElsewhereAfter))
				}
				hs.Expect(hs.OwnLoads()).To(BeEmpty())
			})
		})
	}
}
