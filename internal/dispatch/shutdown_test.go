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

// fillMemory has a peer report the memory of the first count targets as taken, until the peer reports otherwise.
func (hs *harness) fillMemory(count int) {
	loads := map[string]placement.Load{}
	for i := range count {
		loads[id(i)] = placement.Load{MemoryTokens: memory}
	}
	hs.SetPeerLoads("peer", loads)
}

// TestPromptsDuringShutdown places prompts while the instance is stopping. An answer takes 0.15 s on idle targets.
func TestPromptsDuringShutdown(t *testing.T) {
	const targets = 3
	short := func() dispatch.Request { return promptRequest(1000) }
	// large needs the memory of two targets, and waits for it until its deadline.
	large := func() dispatch.Request { return promptRequest(17_000) }
	resumed := func() dispatch.Request {
		rq := short()
		rq.Resumed, rq.EventsForwarded = true, 3
		return rq
	}
	shortDeadline := func() dispatch.Request {
		rq := large()
		rq.Deadline = rq.Arrived.Add(500 * time.Millisecond)
		return rq
	}
	cases := map[string]struct {
		newRequest func() dispatch.Request
		// memoryFull is set if the memory of all targets is taken at first. It is free from freedAt on; zero means never.
		memoryFull bool
		freedAt    time.Duration
		// announcedAt is when the shutdown is announced to the instance, and stopsIn how long it has from then on.
		announcedAt, stopsIn time.Duration
		// code is empty if the prompt is placed.
		code             failure.Code
		minWait, maxWait time.Duration
	}{
		"enough time left":                  {newRequest: short, stopsIn: time.Second},
		"no time left":                      {newRequest: short, stopsIn: 50 * time.Millisecond, code: failure.Stopping},
		"no time left for a large prompt":   {newRequest: large, stopsIn: 50 * time.Millisecond, code: failure.Stopping},
		"waits while it can finish in time": {newRequest: large, memoryFull: true, stopsIn: 5 * time.Second, code: failure.Stopping, minWait: 4500 * time.Millisecond, maxWait: 4950 * time.Millisecond},
		"waits and is placed":               {newRequest: large, memoryFull: true, freedAt: 2 * time.Second, stopsIn: 5 * time.Second, minWait: 2 * time.Second, maxWait: 2100 * time.Millisecond},
		"shutdown announced while it waits": {newRequest: large, memoryFull: true, announcedAt: 3 * time.Second, stopsIn: 50 * time.Millisecond, code: failure.Stopping, minWait: 3 * time.Second, maxWait: 3100 * time.Millisecond},
		"deadline before shutdown":          {newRequest: shortDeadline, memoryFull: true, stopsIn: 5 * time.Second, code: failure.Overloaded, maxWait: 500 * time.Millisecond},
		"answer has begun":                  {newRequest: resumed, stopsIn: 10 * time.Millisecond},
	}
	for name, tc := range cases {
		t.Run(name, func(t *testing.T) {
			runInBubble(t, targets, func(hs *harness) {
				if tc.memoryFull {
					hs.fillMemory(targets)
				}
				if tc.freedAt > 0 {
					time.AfterFunc(tc.freedAt, func() { hs.SetPeerLoads("peer", nil) })
				}
				announce := func() { hs.SetShutdownTime(time.Now().Add(tc.stopsIn)) }
				if tc.announcedAt == 0 {
					announce()
				} else {
					time.AfterFunc(tc.announcedAt, announce)
				}
				began := time.Now()
				sl, err := hs.Acquire(context.Background(), tc.newRequest())
				took := time.Since(began)
				hs.Expect(took).To(And(BeNumerically(">=", tc.minWait), BeNumerically("<=", tc.maxWait+roundTripTime)))
				if tc.code == "" {
					hs.Expect(err).NotTo(HaveOccurred())
					sl.Release()
					time.Sleep(settleTime)
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
