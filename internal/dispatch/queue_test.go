package dispatch_test

import (
	"context"
	"fmt"
	"sync"
	"sync/atomic"
	"testing"
	"testing/synctest"
	"time"

	. "github.com/onsi/gomega"

	"github.com/silvermount/silvermount/internal/dispatch"
	"github.com/silvermount/silvermount/internal/failure"
	"github.com/silvermount/silvermount/internal/placement"
	"github.com/silvermount/silvermount/internal/position"
	"github.com/silvermount/silvermount/internal/targets"
	"github.com/silvermount/silvermount/internal/waitqueue"
)

// queueHarness is a harness with queues, and what they report.
type queueHarness struct {
	*harness
	mu    sync.Mutex
	waits []dispatch.QueuedRequest
	ends  []dispatch.EndedWait
	// offset is added to the clock, in nanoseconds.
	offset atomic.Int64
}

func runWithQueue(t *testing.T, count int, run func(hs *queueHarness)) {
	t.Helper()
	synctest.Test(t, func(t *testing.T) {
		qh := &queueHarness{}
		qh.harness = newHarness(t, count, func(op *dispatch.Options) {
			op.Now = func() time.Time { return time.Now().Add(time.Duration(qh.offset.Load())) }
			op.Queue = &dispatch.QueueOptions{
				OnWait: func(qr dispatch.QueuedRequest) {
					qh.mu.Lock()
					defer qh.mu.Unlock()
					qh.waits = append(qh.waits, qr)
				},
				OnWaitEnd: func(ew dispatch.EndedWait) {
					qh.mu.Lock()
					defer qh.mu.Unlock()
					qh.ends = append(qh.ends, ew)
				},
			}
		})
		run(qh)
	})
}

// fillSlots occupies all slots of all targets.
func (hs *harness) fillSlots(count int) []*dispatch.Slot {
	var held []*dispatch.Slot
	for range count * slots {
		held = append(held, hs.mustAcquire(plainRequest()))
	}
	return held
}

// result is the outcome of a request in the background.
type result struct {
	slot *dispatch.Slot
	err  error
	at   time.Time
}

// start sends a request in the background.
func (hs *harness) start(ctx context.Context, rq dispatch.Request) <-chan result {
	got := make(chan result, 1)
	go func() {
		sl, err := hs.Acquire(ctx, rq)
		got <- result{sl, err, time.Now()}
	}()
	return got
}

// TestOneLookForEachFreedSlot guards against 300 looks for one slot, each of which takes the lock of the loads. With all requests woken,
// this test counts 300 looks for the first slot.
func TestOneLookForEachFreedSlot(t *testing.T) {
	const waiting, freed = 300, 20
	runWithQueue(t, 1, func(hs *queueHarness) {
		held := hs.fillSlots(1)
		ctx, cancel := context.WithCancel(context.Background())
		defer cancel()
		var looks atomic.Int64
		placed := make(chan *dispatch.Slot, waiting)
		for range waiting {
			rq := plainRequest()
			rq.Objective, rq.Deadline = time.Hour, rq.Arrived.Add(2*time.Hour)
			rq.Authorise = func() error { looks.Add(1); return nil }
			go func() {
				if sl, err := hs.Acquire(ctx, rq); err == nil {
					placed <- sl
				}
			}()
		}
		synctest.Wait()
		hs.Expect(hs.QueueLength()).To(Equal(waiting))
		for i := range freed {
			if i > 0 {
				held = append(held, <-placed)
			}
			looks.Store(0)
			held[i].Release()
			synctest.Wait()
			hs.Expect(placed).To(HaveLen(1))
			// The authorisation is checked before the look and once more after the choice.
			hs.Expect(looks.Load()).To(BeEquivalentTo(2))
		}
		looks.Store(0)
		time.Sleep(time.Second)
		hs.Expect(looks.Load()).To(BeNumerically("<=", 50), "the fallback lets one request look every 20 ms")
		cancel()
		time.Sleep(settleTime)
		hs.Expect(hs.QueueLength()).To(BeZero())
	})
}

// TestPlainRequestWaitsForSlot guards against a request that is sent to a target without a free slot, which sheds it, although a slot is
// free in time.
func TestPlainRequestWaitsForSlot(t *testing.T) {
	const objective = 250 * time.Millisecond
	tests := map[string]struct {
		// freedAfter is when a slot becomes free; zero means never.
		freedAfter time.Duration
		// atMostOnce is set for a request without another attempt, shed if the targets have shed a request just before.
		atMostOnce, shed bool
		wantAfter        time.Duration
		refused          bool
	}{
		"a slot becomes free":                           {freedAfter: 50 * time.Millisecond, atMostOnce: true, wantAfter: 50 * time.Millisecond},
		"no slot: sent to a target that may queue it":   {atMostOnce: true, wantAfter: 200 * time.Millisecond},
		"no slot: refused where it would be shed":       {atMostOnce: true, shed: true, wantAfter: 200 * time.Millisecond, refused: true},
		"no slot: a repeatable one is sent in any case": {shed: true, wantAfter: 200 * time.Millisecond},
	}
	for name, tc := range tests {
		t.Run(name, func(t *testing.T) {
			runWithQueue(t, 2, func(hs *queueHarness) {
				held := hs.fillSlots(2)
				if tc.shed {
					for _, sl := range held {
						sl.RecordShed("")
					}
				}
				rq := plainRequest()
				rq.Objective, rq.CanRetry = objective, !tc.atMostOnce
				began := time.Now()
				got := hs.start(context.Background(), rq)
				if tc.freedAfter > 0 {
					time.Sleep(tc.freedAfter)
					held[3].Release()
				}
				res := <-got
				hs.Expect(res.at.Sub(began)).To(Equal(tc.wantAfter))
				if tc.refused {
					fe := failure.FromError(res.err)
					hs.Expect(fe.Code).To(Equal(failure.Overloaded))
					hs.Expect(fe.Outcome).To(Equal(failure.NotRun))
					hs.Expect(fe.RetryAfter).To(BeNumerically(">", 0))
					return
				}
				hs.Expect(res.err).NotTo(HaveOccurred())
				res.slot.Release()
			})
		})
	}
}

// TestOtherZonesFreeSlotIsUsed guards against a request that waits for a slot, or joins the queue of a target nearby, while a target of
// another zone has a free one.
func TestOtherZonesFreeSlotIsUsed(t *testing.T) {
	runWithQueue(t, 1, func(hs *queueHarness) {
		hs.fillSlots(1)
		far := targets.Target{ID: id(1), Service: "s", Address: "10.0.0.1:80", AvailabilityZone: "z2", Slots: 100}
		hs.directory.ApplyChanges([]targets.EntryChange{{Name: far.ID, Target: far}}, position.Position{}, time.Now())
		hs.SetPeerLoads("peer", map[string]placement.Load{id(1): {Decoding: 99}})
		began := time.Now()
		hs.Expect(hs.mustAcquire(plainRequest()).Target.ID).To(Equal(id(1)))
		hs.Expect(time.Since(began)).To(BeZero())
	})
}

// TestQueueServesLeastSlackFirst guards against service in the order of arrival.
func TestQueueServesLeastSlackFirst(t *testing.T) {
	runWithQueue(t, 1, func(hs *queueHarness) {
		held := hs.fillSlots(1)
		patient, urgent := plainRequest(), plainRequest()
		patient.Objective, urgent.Objective = 5*time.Second, time.Second
		first := hs.start(context.Background(), patient)
		time.Sleep(time.Millisecond)
		second := hs.start(context.Background(), urgent)
		time.Sleep(time.Millisecond)
		held[0].Release()
		synctest.Wait()
		hs.Expect(second).To(HaveLen(1))
		hs.Expect(first).To(BeEmpty())
		(<-second).slot.Release()
		(<-first).slot.Release()
		hs.Expect(hs.waits).To(HaveLen(2))
		hs.Expect(hs.ends).To(HaveLen(2))
		hs.Expect(hs.ends[0].Outcome).To(Equal(dispatch.WaitPlaced))
	})
}

// TestCallerThatLeavesPassesItsTurnOn guards against a freed slot that stays free because its turn went to a request whose caller has left,
// and against a queue that keeps such requests.
func TestCallerThatLeavesPassesItsTurnOn(t *testing.T) {
	runWithQueue(t, 1, func(hs *queueHarness) {
		held := hs.fillSlots(1)
		ctx, leave := context.WithCancel(context.Background())
		first := hs.start(ctx, plainRequest())
		time.Sleep(time.Millisecond)
		second := hs.start(context.Background(), plainRequest())
		time.Sleep(time.Millisecond)
		freedAt := time.Now()
		// The first request gets the turn and learns that its caller has left at the same moment.
		leave()
		held[0].Release()
		gotFirst := <-first
		if gotFirst.err == nil {
			gotFirst.slot.Release()
		}
		res := <-second
		hs.Expect(res.err).NotTo(HaveOccurred())
		hs.Expect(res.at).To(Equal(freedAt))
		res.slot.Release()
		hs.Expect(hs.QueueLength()).To(BeZero())
	})
}

// TestStoppingInstanceEmptiesItsQueue guards against prompts that wait at a stopping instance until they cannot be answered any more, while
// another instance would take them, and against peers that yield to what no longer waits.
func TestStoppingInstanceEmptiesItsQueue(t *testing.T) {
	runWithQueue(t, 3, func(hs *queueHarness) {
		hs.SetPeerLoads("peer", map[string]placement.Load{id(0): {MemoryTokens: memory}, id(1): {MemoryTokens: memory}})
		got := hs.start(context.Background(), promptRequest(largePromptTokens))
		time.Sleep(100 * time.Millisecond)
		hs.Expect(hs.EncodeQueues(time.Now())).NotTo(BeEmpty())
		stopAt := time.Now()
		hs.SetShutdownTime(stopAt.Add(time.Millisecond))
		res := <-got
		hs.Expect(res.at).To(Equal(stopAt))
		hs.Expect(failure.FromError(res.err).Code).To(Equal(failure.Stopping))
		hs.Expect(hs.EncodeQueues(time.Now())).To(BeEmpty())
	})
}

// TestPauseOfTheProcess guards against a request that is placed after its caller's time, and keeps the slot from the next one.
func TestPauseOfTheProcess(t *testing.T) {
	runWithQueue(t, 1, func(hs *queueHarness) {
		held := hs.fillSlots(1)
		past, waiting := plainRequest(), plainRequest()
		past.Objective, past.Deadline = 2*time.Second, past.Arrived.Add(3*time.Second)
		waiting.Objective, waiting.Deadline = time.Minute, waiting.Arrived.Add(2*time.Minute)
		gotPast := hs.start(context.Background(), past)
		gotWaiting := hs.start(context.Background(), waiting)
		time.Sleep(time.Millisecond)
		hs.offset.Store(int64(10 * time.Second))
		resumedAt := time.Now()
		held[0].Release()
		res := <-gotPast
		hs.Expect(failure.FromError(res.err).Outcome).To(Equal(failure.NotRun))
		hs.Expect(res.at).To(Equal(resumedAt))
		res = <-gotWaiting
		hs.Expect(res.err).NotTo(HaveOccurred())
		hs.Expect(res.at).To(Equal(resumedAt))
		res.slot.Release()
	})
}

// TestHeadYieldsToMoreUrgentPeer guards against room that all instances see, and that goes to another request than the most urgent; and
// against an instance that goes on yielding to a peer that is silent.
func TestHeadYieldsToMoreUrgentPeer(t *testing.T) {
	tests := map[string]struct {
		slack, age time.Duration
		forgotten  bool
		yields     bool
	}{
		"clearly more urgent": {slack: 700 * time.Millisecond, yields: true},
		"less urgent":         {slack: 10 * time.Second},
		"peer is silent":      {slack: 700 * time.Millisecond, age: 501 * time.Millisecond},
		"peer is lost":        {slack: 700 * time.Millisecond, forgotten: true},
	}
	for name, tc := range tests {
		t.Run(name, func(t *testing.T) {
			runWithQueue(t, 1, func(hs *queueHarness) {
				hs.SetPeerLoads("peer", map[string]placement.Load{id(0): {Decoding: slots}})
				rq := plainRequest()
				rq.Objective = 5 * time.Second
				got := hs.start(context.Background(), rq)
				// The report is received just before the room is freed, halfway between two turns of the fallback.
				time.Sleep(pollInterval / 2)
				told := dispatch.EncodeSummaries(map[string]waitqueue.Summary{"s": {Length: 1, HeadSlack: tc.slack}})
				hs.ReceiveQueues("peer", told, time.Now().Add(-tc.age))
				if tc.forgotten {
					hs.ForgetQueues("peer")
				}
				freedAt := time.Now()
				hs.SetPeerLoads("peer", map[string]placement.Load{})
				res := <-got
				hs.Expect(res.err).NotTo(HaveOccurred())
				res.slot.Release()
				if tc.yields {
					hs.Expect(res.at.Sub(freedAt)).To(And(BeNumerically(">", 0), BeNumerically("<=", 10*time.Millisecond)))
				} else {
					hs.Expect(res.at).To(Equal(freedAt))
				}
			})
		})
	}
}

// pollInterval is that of the fallback.
const pollInterval = 20 * time.Millisecond

// TestFallbackFindsRoomWithoutEvent guards against requests that wait although there is room, after a change that no event tells.
func TestFallbackFindsRoomWithoutEvent(t *testing.T) {
	runWithQueue(t, 1, func(hs *queueHarness) {
		hs.fillSlots(1)
		rq := plainRequest()
		rq.Objective = 5 * time.Second
		got := hs.start(context.Background(), rq)
		time.Sleep(50 * time.Millisecond)
		listedAt := time.Now()
		hs.putTarget(1, zone, false)
		res := <-got
		hs.Expect(res.err).NotTo(HaveOccurred())
		hs.Expect(res.at.Sub(listedAt)).To(BeNumerically("<=", pollInterval))
		res.slot.Release()
	})
}

// TestFullQueueDecidesAsWithoutQueue guards against a queue that grows without bound.
func TestFullQueueDecidesAsWithoutQueue(t *testing.T) {
	runWithQueue(t, 1, func(hs *queueHarness) {
		hs.fillSlots(1)
		ctx, cancel := context.WithCancel(context.Background())
		defer cancel()
		const maxWaiting = 1000
		for range maxWaiting {
			rq := plainRequest()
			rq.Objective = time.Minute
			go func() { _, _ = hs.Acquire(ctx, rq) }()
		}
		synctest.Wait()
		began := time.Now()
		hs.mustAcquire(plainRequest())
		hs.Expect(time.Since(began)).To(BeZero())
		cancel()
		time.Sleep(settleTime)
	})
}

// TestShortPromptWaitsForSlotOfAnyTarget guards against a short prompt that joins the queue of one full target, or is refused at once,
// although a slot becomes free while it can still be in time.
func TestShortPromptWaitsForSlotOfAnyTarget(t *testing.T) {
	runWithQueue(t, 3, func(hs *queueHarness) {
		short := func() dispatch.Request {
			rq := promptRequest(500)
			rq.Service.Engine.MemoryTokens = 100_000
			rq.Objective = 600 * time.Millisecond
			return rq
		}
		loads := loadsWithDecoding(slots)
		loads[id(1)] = loadsWithDecoding(slots - 1)[id(1)]
		hs.SetPeerLoads("peer", loads)
		rq := short()
		rq.Exclude = []string{id(0), id(2)}
		held := hs.mustAcquire(rq)
		held.RecordFirstToken()
		got := hs.start(context.Background(), short())
		time.Sleep(60 * time.Millisecond)
		hs.Expect(got).To(BeEmpty())
		freedAt := time.Now()
		held.Release()
		res := <-got
		hs.Expect(res.err).NotTo(HaveOccurred())
		hs.Expect(res.at).To(Equal(freedAt))
		res.slot.Release()
		hs.Expect(hs.waits).To(HaveLen(1))
		hs.Expect(hs.waits[0].Slack).To(BeNumerically(">", 0))
	})
}

// TestQueueReportIsBounded guards against a report of many services that is too large for a load report, and against one that leaves out the
// most urgent service.
func TestQueueReportIsBounded(t *testing.T) {
	g := NewWithT(t)
	summaries := map[string]waitqueue.Summary{}
	for i := range 1000 {
		summaries[fmt.Sprint("service-", i)] = waitqueue.Summary{Length: 1000, EngineTime: 25 * time.Hour, HeadSlack: time.Duration(i) * time.Second}
	}
	body := dispatch.EncodeSummaries(summaries)
	g.Expect(len(body)).To(BeNumerically("<=", 4<<10))
	told, err := dispatch.DecodeSummaries(body)
	g.Expect(err).NotTo(HaveOccurred())
	g.Expect(len(told)).To(BeNumerically(">", 100))
	g.Expect(told["service-0"]).To(Equal(waitqueue.Summary{Length: 1000, EngineTime: 24 * time.Hour}))
}

// FuzzDecodeSummaries guards against a report that makes an instance panic, or keep more than the report holds.
func FuzzDecodeSummaries(f *testing.F) {
	f.Add([]byte{})
	f.Add([]byte{1, 's', 3, 100, 0})
	f.Add(dispatch.EncodeSummaries(map[string]waitqueue.Summary{"s": {Length: 1, HeadSlack: -time.Second}}))
	f.Fuzz(func(t *testing.T, body []byte) {
		g := NewWithT(t)
		told, err := dispatch.DecodeSummaries(body)
		if err != nil {
			return
		}
		again, err := dispatch.DecodeSummaries(dispatch.EncodeSummaries(told))
		g.Expect(err).NotTo(HaveOccurred())
		g.Expect(again).To(HaveLen(len(told)))
	})
}
