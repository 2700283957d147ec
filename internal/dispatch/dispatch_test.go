package dispatch_test

import (
	"context"
	"strconv"
	"sync"
	"sync/atomic"
	"testing"
	"testing/synctest"
	"time"

	"github.com/apex/log"
	"github.com/apex/log/handlers/discard"
	"github.com/cockroachdb/errors"
	. "github.com/onsi/gomega"

	"github.com/silvermount/silvermount/internal/dispatch"
	"github.com/silvermount/silvermount/internal/failure"
	"github.com/silvermount/silvermount/internal/placement"
	"github.com/silvermount/silvermount/internal/position"
	"github.com/silvermount/silvermount/internal/reservation"
	"github.com/silvermount/silvermount/internal/responsehead"
	"github.com/silvermount/silvermount/internal/routes"
	"github.com/silvermount/silvermount/internal/targets"
)

const (
	memory    = 10_000
	slots     = 4
	zone      = "z1"
	objective = 2 * time.Second
	deadline  = 30 * time.Second
)

// fakeReservations stands in for the memory reservations of all targets, and counts the calls by address.
type fakeReservations struct {
	mu                 sync.Mutex
	reserved, released map[string]int
	// refusing holds the addresses that refuse reservations, silent those that do not answer.
	refusing, silent map[string]bool
	// requested counts all requests for a reservation.
	requested int
	// pause is how long the process is paused during the next reservation, paused the total of such times.
	pause, paused time.Duration
}

func (fr *fakeReservations) totalPaused() time.Duration {
	fr.mu.Lock()
	defer fr.mu.Unlock()
	return fr.paused
}

// roundTripTime is how long a call and its answer take.
const roundTripTime = time.Millisecond

func (fr *fakeReservations) reserve(_ context.Context, address, _ string, _ int64, _ time.Duration, _ func(responsehead.Head)) error {
	time.Sleep(roundTripTime)
	fr.mu.Lock()
	defer fr.mu.Unlock()
	fr.requested++
	if fr.pause > 0 {
		fr.paused += fr.pause
		fr.pause = 0
		return context.DeadlineExceeded
	}
	if fr.refusing[address] {
		return &reservation.RefusedError{Address: address}
	}
	if fr.silent[address] {
		return context.DeadlineExceeded
	}
	fr.reserved[address]++
	return nil
}

func (fr *fakeReservations) release(_ context.Context, address, _ string, _ func(responsehead.Head)) error {
	fr.mu.Lock()
	defer fr.mu.Unlock()
	fr.released[address]++
	return nil
}

// targetCounts returns how many targets reserved memory, and how many released it.
func (fr *fakeReservations) targetCounts() (reserved, released int) {
	fr.mu.Lock()
	defer fr.mu.Unlock()
	return len(fr.reserved), len(fr.released)
}

// harness is a dispatcher with its targets.
type harness struct {
	*WithT
	*dispatch.Dispatcher
	t            *testing.T
	directory    *targets.Directory
	reservations *fakeReservations
}

// settleTime is longer than any background work after a release.
const settleTime = time.Minute

func newHarness(t *testing.T, count int, opts ...func(*dispatch.Options)) *harness {
	hs := &harness{
		WithT: NewWithT(t), t: t, directory: targets.New(time.Now),
		reservations: &fakeReservations{reserved: map[string]int{}, released: map[string]int{}, refusing: map[string]bool{}, silent: map[string]bool{}},
	}
	var ids atomic.Int64
	mg := &reservation.Manager{
		Timeout: 400 * time.Millisecond, LeaseDuration: 3 * time.Second,
		Reserve: hs.reservations.reserve, Release: hs.reservations.release, Paused: hs.reservations.totalPaused,
		NewID: func() string { return strconv.FormatInt(ids.Add(1), 10) },
		Log:   &log.Logger{Handler: discard.New(), Level: log.DebugLevel},
	}
	op := dispatch.Options{Instance: "i", AvailabilityZone: zone, Now: time.Now}
	for _, edit := range opts {
		edit(&op)
	}
	hs.Dispatcher = dispatch.New(hs.directory, mg, op)
	for i := range count {
		hs.putTarget(i, zone, false)
	}
	return hs
}

func id(i int) string { return "t" + strconv.Itoa(i) }

func (hs *harness) putTarget(i int, zone string, leaving bool) {
	tg := targets.Target{
		ID: id(i), Service: "s", Address: "10.0.0." + strconv.Itoa(i) + ":80", AvailabilityZone: zone, Slots: slots, Leaving: leaving,
	}
	hs.directory.ApplyChanges([]targets.EntryChange{{Name: tg.ID, Target: tg}}, position.Position{}, time.Now())
}

func runInBubble(t *testing.T, count int, run func(hs *harness)) {
	t.Helper()
	synctest.Test(t, func(t *testing.T) { run(newHarness(t, count)) })
}

var requestIDs atomic.Int64

func plainRequest() dispatch.Request {
	i := requestIDs.Add(1)
	now := time.Now()
	return dispatch.Request{
		ID: strconv.FormatInt(i, 10), Service: routes.Service{Name: "s"}, Objective: objective,
		Arrived: now, Deadline: now.Add(deadline),
	}
}

// promptRequest returns a request to a model engine with a prompt of that many tokens.
func promptRequest(tokens int) dispatch.Request {
	rq := plainRequest()
	rq.PromptTokens, rq.MaxAnswerTokens, rq.MaxPause = tokens, 100, time.Second
	rq.Service.Engine = &placement.Engine{
		Slots: slots, StepsPerPass: 4, ChunkTokens: 2048, MemoryTokens: memory, StepTime: time.Millisecond, StepTimePerRequest: 50 * time.Microsecond,
		StepTimePerThousandContext: 5 * time.Microsecond, PrefillTimePerThousand: time.Millisecond, MeanPromptTokens: 1000, MeanAnswerTokens: 100,
	}
	return rq
}

func (hs *harness) mustAcquire(rq dispatch.Request) *dispatch.Slot {
	sl, err := hs.Acquire(context.Background(), rq)
	hs.Expect(err).NotTo(HaveOccurred())
	hs.t.Cleanup(func() {
		sl.Release()
		time.Sleep(settleTime)
	})
	return sl
}

// acquireInBackground acquires a slot in a goroutine. The channel stays empty if the request fails.
func (hs *harness) acquireInBackground(rq dispatch.Request) <-chan *dispatch.Slot {
	got := make(chan *dispatch.Slot, 1)
	ctx, cancel := context.WithCancel(context.Background())
	hs.t.Cleanup(func() {
		cancel()
		synctest.Wait()
		select {
		case sl := <-got:
			sl.Release()
		default:
			// The test received the slot, or there was none.
		}
		time.Sleep(settleTime)
	})
	go func() {
		sl, err := hs.Acquire(ctx, rq)
		if err != nil {
			return // the test finds the channel empty
		}
		got <- sl
	}()
	return got
}

// mustBeRefused returns the failure of a request that must get no target.
func (hs *harness) mustBeRefused(rq dispatch.Request) *failure.Error {
	_, err := hs.Acquire(context.Background(), rq)
	var fe *failure.Error
	hs.Expect(errors.As(err, &fe)).To(BeTrue())
	return fe
}

func TestPlainRequestsSpreadEvenlyOverTargets(t *testing.T) {
	runInBubble(t, 3, func(hs *harness) {
		var sls []*dispatch.Slot
		for range 3 * 4 {
			sls = append(sls, hs.mustAcquire(plainRequest()))
		}
		for i := range 3 {
			hs.Expect(hs.OwnLoads()[id(i)].Decoding).To(Equal(4))
		}
		for _, sl := range sls {
			sl.Release()
		}
		hs.Expect(hs.OwnLoads()).To(BeEmpty())
	})
}

func TestPlainRequestTargetChoice(t *testing.T) {
	cases := map[string]struct {
		prepare func(hs *harness)
		exclude []string
		want    string
	}{
		"local target": {func(hs *harness) { hs.putTarget(1, "z2", false) }, nil, id(0)},
		"other zone if the local target is busy": {func(hs *harness) {
			hs.putTarget(1, "z2", false)
			hs.mustAcquire(plainRequest())
		}, nil, id(1)},
		"target not used by a peer": {func(hs *harness) {
			hs.SetPeerLoads("peer", map[string]placement.Load{id(0): {Decoding: 3}})
		}, nil, id(1)},
		"loads of several peers are summed": {func(hs *harness) {
			hs.SetPeerLoads("p1", map[string]placement.Load{id(0): {Decoding: 2}, id(1): {Decoding: 3}})
			hs.SetPeerLoads("p2", map[string]placement.Load{id(0): {Decoding: 2}})
		}, nil, id(1)},
		"load of a lost peer is dropped": {func(hs *harness) {
			hs.SetPeerLoads("p1", map[string]placement.Load{id(0): {Decoding: 9}})
			hs.SetPeerLoads("p2", map[string]placement.Load{id(1): {Decoding: 1}})
			hs.SetPeerLoads("p1", nil)
		}, nil, id(0)},
		"leaving target is excluded":           {func(hs *harness) { hs.putTarget(0, zone, true) }, nil, id(1)},
		"target excluded by the request":       {func(*harness) {}, []string{id(0)}, id(1)},
		"target marked as leaving is excluded": {func(hs *harness) { hs.directory.MarkLeaving(id(1)) }, nil, id(0)},
		"unreachable target is excluded":       {func(hs *harness) { hs.directory.RecordUnreachable(id(0)) }, nil, id(1)},
		"failing target is excluded":           {func(hs *harness) { markFailing(hs, id(1)) }, nil, id(0)},
	}
	for name, tc := range cases {
		t.Run(name, func(t *testing.T) {
			runInBubble(t, 2, func(hs *harness) {
				tc.prepare(hs)
				rq := plainRequest()
				rq.Exclude = tc.exclude
				hs.Expect(hs.mustAcquire(rq).Target.ID).To(Equal(tc.want))
			})
		})
	}
}

func markFailing(hs *harness, target string) {
	for range 3 {
		hs.directory.RecordFailure(target)
	}
}

func TestRequestWithoutUsableTargetIsRefusedAtOnce(t *testing.T) {
	cases := map[string]struct {
		count   int
		exclude []string
	}{
		"none listed":                 {0, nil},
		"all excluded by the request": {1, []string{id(0)}},
	}
	for name, tc := range cases {
		t.Run(name, func(t *testing.T) {
			runInBubble(t, tc.count, func(hs *harness) {
				rq := plainRequest()
				rq.Exclude = tc.exclude
				began := time.Now()
				fe := hs.mustBeRefused(rq)
				hs.Expect(fe.Code).To(Equal(failure.NoTarget))
				hs.Expect(fe.Outcome).To(Equal(failure.NotRun))
				hs.Expect(fe.RetryAfter).To(BeNumerically(">", 0))
				hs.Expect(time.Since(began)).To(BeZero())
			})
		})
	}
}

// TestConcurrentPromptsAreNotGivenTheSameMemory sends as many prompts at the same time as there are idle targets.
func TestConcurrentPromptsAreNotGivenTheSameMemory(t *testing.T) {
	const count = 3
	runInBubble(t, count, func(hs *harness) {
		var all []<-chan *dispatch.Slot
		for range count {
			all = append(all, hs.acquireInBackground(promptRequest(8000)))
		}
		synctest.Wait()
		var sls []*dispatch.Slot
		for _, got := range all {
			hs.Expect(got).To(HaveLen(1))
			sls = append(sls, <-got)
		}
		for i := range count {
			hs.Expect(hs.OwnLoads()[id(i)].Prefilling).To(Equal(1))
			hs.Expect(hs.OwnLoads()[id(i)].MemoryTokens).To(BeNumerically("<=", memory))
		}
		for _, sl := range sls {
			sl.Release()
		}
		hs.Expect(hs.OwnLoads()).To(BeEmpty())
	})
}

func TestPeerLoadsAffectPromptPlacement(t *testing.T) {
	runInBubble(t, 2, func(hs *harness) {
		hs.SetPeerLoads("peer", map[string]placement.Load{id(0): {MemoryTokens: 9000, Decoding: 1, ContextTokens: 9000}})
		for range 5 {
			sl := hs.mustAcquire(promptRequest(4000))
			hs.Expect(sl.Target.ID).To(Equal(id(1)))
			sl.Release()
		}
		hs.SetPeerLoads("peer", map[string]placement.Load{id(1): {MemoryTokens: 9000, Decoding: 1, ContextTokens: 9000}})
		hs.Expect(hs.mustAcquire(promptRequest(4000)).Target.ID).To(Equal(id(0)))
	})
}

func TestPeerUpdateWakesWaitingRequest(t *testing.T) {
	runInBubble(t, 3, func(hs *harness) {
		hs.SetPeerLoads("peer", map[string]placement.Load{id(0): {MemoryTokens: memory}, id(1): {MemoryTokens: memory}})
		got := hs.acquireInBackground(promptRequest(largePromptTokens))
		time.Sleep(objective / 2)
		synctest.Wait()
		hs.Expect(got).To(BeEmpty())
		hs.SetPeerLoads("peer", map[string]placement.Load{})
		time.Sleep(2 * roundTripTime)
		synctest.Wait()
		hs.Expect(got).To(HaveLen(1))
		(<-got).Release()
		time.Sleep(settleTime)
	})
}

func TestRequestWithoutRoomIsRefusedWithinItsObjective(t *testing.T) {
	runInBubble(t, 3, func(hs *harness) {
		hs.mustAcquire(promptRequest(largePromptTokens))
		began := time.Now()
		fe := hs.mustBeRefused(promptRequest(largePromptTokens))
		hs.Expect(fe.Code).To(Equal(failure.Overloaded))
		hs.Expect(fe.Outcome).To(Equal(failure.NotRun))
		hs.Expect(fe.RetryAfter).To(BeNumerically(">", 0))
		hs.Expect(time.Since(began)).To(BeNumerically("<=", objective))
		hs.Expect(time.Since(began)).To(BeNumerically(">", 0))
	})
}

func TestWaitEndsWhenContextIsDone(t *testing.T) {
	runInBubble(t, 3, func(hs *harness) {
		hs.mustAcquire(promptRequest(largePromptTokens))
		ctx, cancel := context.WithTimeout(context.Background(), 100*time.Millisecond)
		defer cancel()
		began := time.Now()
		_, err := hs.Acquire(ctx, promptRequest(largePromptTokens))
		hs.Expect(err).To(MatchError(context.DeadlineExceeded))
		hs.Expect(time.Since(began)).To(Equal(100 * time.Millisecond))
	})
}

func TestReleaseIsIdempotent(t *testing.T) {
	runInBubble(t, 1, func(hs *harness) {
		other := hs.mustAcquire(promptRequest(1000))
		sl := hs.mustAcquire(promptRequest(1000))
		sl.RecordFirstToken()
		sl.RecordFirstToken()
		sl.Release()
		before := hs.OwnLoads()
		sl.Release()
		hs.Expect(hs.OwnLoads()).To(Equal(before))
		other.Release()
		hs.Expect(hs.OwnLoads()).To(BeEmpty())
	})
}

// TestOneProbeIsSentToUnreachableAvailabilityZone makes an availability zone unreachable and waits until it may be probed.
func TestOneProbeIsSentToUnreachableAvailabilityZone(t *testing.T) {
	long := func() dispatch.Request { return promptRequest(20_000) }
	reachable := func() dispatch.Request {
		rq := promptRequest(1000)
		rq.Caution = targets.RequireReachable
		return rq
	}
	short := func() dispatch.Request { return promptRequest(1000) }
	excluding := func() dispatch.Request {
		rq := promptRequest(1000)
		rq.Exclude = []string{id(0), id(1)}
		return rq
	}
	cases := map[string]struct {
		// others is the number of targets in another availability zone.
		others      int
		newRequests []func() dispatch.Request
		// inZone is how many of the requests are sent to the unreachable availability zone.
		inZone int
	}{
		"one of several short prompts probes":                        {1, []func() dispatch.Request{short, short, short}, 1},
		"one of several plain requests probes":                       {1, []func() dispatch.Request{plainRequest, plainRequest}, 1},
		"long prompt does not probe":                                 {4, []func() dispatch.Request{long}, 0},
		"request that requires reachable targets does not probe":     {1, []func() dispatch.Request{reachable, reachable}, 0},
		"request that excludes the zone's targets is sent elsewhere": {1, []func() dispatch.Request{excluding}, 0},
		"requests that do not probe leave the probe to a later one":  {2, []func() dispatch.Request{reachable, reachable, short}, 1},
	}
	for name, tc := range cases {
		t.Run(name, func(t *testing.T) {
			runInBubble(t, 0, func(hs *harness) {
				hs.putTarget(0, "far", false)
				hs.putTarget(1, "far", false)
				for i := range tc.others {
					hs.putTarget(2+i, "farther", false)
				}
				for i := range 2 {
					hs.directory.RecordUnreachable(id(i))
				}
				time.Sleep(time.Second)
				inZone := 0
				for _, newRequest := range tc.newRequests {
					if hs.mustAcquire(newRequest()).Target.AvailabilityZone == "far" {
						inZone++
					}
				}
				hs.Expect(inZone).To(Equal(tc.inZone))
			})
		})
	}
}
