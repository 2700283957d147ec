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

	"github.com/silvermount/silvermount/internal/answer"
	"github.com/silvermount/silvermount/internal/dispatch"
	"github.com/silvermount/silvermount/internal/failure"
	"github.com/silvermount/silvermount/internal/placement"
	"github.com/silvermount/silvermount/internal/position"
	"github.com/silvermount/silvermount/internal/reservation"
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

// orders counts what targets were asked for.
type orders struct {
	mu                 sync.Mutex
	reserved, released map[string]int
	// refuse says which addresses have no room, silent which give no answer.
	refuse, silent map[string]bool
	// asked counts all orders for memory.
	asked int
}

// travel is how long an order and its answer take.
const travel = time.Millisecond

func (od *orders) reserve(_ context.Context, address, _ string, _ int64, _ time.Duration, _ func(answer.Head)) error {
	time.Sleep(travel)
	od.mu.Lock()
	defer od.mu.Unlock()
	od.asked++
	if od.refuse[address] {
		return &reservation.RefusedError{Address: address}
	}
	if od.silent[address] {
		return context.DeadlineExceeded
	}
	od.reserved[address]++
	return nil
}

func (od *orders) release(_ context.Context, address, _ string, _ func(answer.Head)) error {
	od.mu.Lock()
	defer od.mu.Unlock()
	od.released[address]++
	return nil
}

// sums returns how many targets were asked for memory, and how many to take it back.
func (od *orders) sums() (reserved, released int) {
	od.mu.Lock()
	defer od.mu.Unlock()
	return len(od.reserved), len(od.released)
}

// bench is a dispatcher with targets.
type bench struct {
	*WithT
	*dispatch.Dispatcher
	t         *testing.T
	directory *targets.Directory
	orders    *orders
}

// settle is longer than what a release does in the background.
const settle = time.Minute

func newBench(t *testing.T, count int, opts ...func(*dispatch.Options)) *bench {
	hs := &bench{
		WithT: NewWithT(t), t: t, directory: targets.New(time.Now),
		orders: &orders{reserved: map[string]int{}, released: map[string]int{}, refuse: map[string]bool{}, silent: map[string]bool{}},
	}
	var ids atomic.Int64
	kp := &reservation.Keeper{
		Timeout: 400 * time.Millisecond, Hold: 3 * time.Second,
		Reserve: hs.orders.reserve, Release: hs.orders.release,
		NewID: func() string { return strconv.FormatInt(ids.Add(1), 10) },
		Log:   &log.Logger{Handler: discard.New(), Level: log.DebugLevel},
	}
	op := dispatch.Options{Instance: "i", AvailabilityZone: zone, Now: time.Now}
	for _, edit := range opts {
		edit(&op)
	}
	hs.Dispatcher = dispatch.New(hs.directory, kp, op)
	for no := range count {
		hs.put(no, zone, false)
	}
	return hs
}

func id(no int) string { return "t" + strconv.Itoa(no) }

func (hs *bench) put(no int, at string, leaving bool) {
	tg := targets.Target{
		ID: id(no), Service: "s", Address: "10.0.0." + strconv.Itoa(no) + ":80", AvailabilityZone: at, Slots: slots, Leaving: leaving,
	}
	hs.directory.TakeChanges([]targets.Entry{{Name: tg.ID, Target: tg}}, position.Position{}, time.Now())
}

func bubble(t *testing.T, count int, run func(hs *bench)) {
	t.Helper()
	synctest.Test(t, func(t *testing.T) { run(newBench(t, count)) })
}

var asks atomic.Int64

func plain() dispatch.Request {
	no := asks.Add(1)
	now := time.Now()
	return dispatch.Request{
		ID: strconv.FormatInt(no, 10), Service: routes.Service{Name: "s"}, Objective: objective,
		Arrived: now, Deadline: now.Add(deadline),
	}
}

// prompt asks for room for that many tokens at a model engine.
func prompt(tokens int) dispatch.Request {
	rq := plain()
	rq.PromptTokens, rq.MaxAnswerTokens, rq.MaxPause = tokens, 100, time.Second
	rq.Service.Engine = &placement.Engine{
		Slots: slots, Stride: 4, Chunk: 2048, Memory: memory, Step: time.Millisecond, PerWriter: 50 * time.Microsecond,
		PerThousandContext: 5 * time.Microsecond, PerThousandRead: time.Millisecond, UsualPrompt: 1000, UsualAnswer: 100,
	}
	return rq
}

func (hs *bench) take(rq dispatch.Request) *dispatch.Slot {
	sl, err := hs.Acquire(context.Background(), rq)
	hs.Expect(err).NotTo(HaveOccurred())
	hs.t.Cleanup(func() {
		sl.Release()
		time.Sleep(settle)
	})
	return sl
}

// send asks for a target in the background.
func (hs *bench) send(rq dispatch.Request) <-chan *dispatch.Slot {
	got := make(chan *dispatch.Slot, 1)
	ctx, cancel := context.WithCancel(context.Background())
	hs.t.Cleanup(func() {
		cancel()
		synctest.Wait()
		select {
		case sl := <-got:
			sl.Release()
		default:
			// The test has taken it, or nothing came.
		}
		time.Sleep(settle)
	})
	go func() {
		sl, err := hs.Acquire(ctx, rq)
		if err != nil {
			return // the test sees that nothing came
		}
		got <- sl
	}()
	return got
}

// refused returns the failure of a request that gets no target.
func (hs *bench) refused(rq dispatch.Request) *failure.Error {
	_, err := hs.Acquire(context.Background(), rq)
	var fe *failure.Error
	hs.Expect(errors.As(err, &fe)).To(BeTrue())
	return fe
}

func TestLeastBusyPlainTarget(t *testing.T) {
	bubble(t, 3, func(hs *bench) {
		var sls []*dispatch.Slot
		for range 3 * 4 {
			sls = append(sls, hs.take(plain()))
		}
		for no := range 3 {
			hs.Expect(hs.OwnLoads()[id(no)].Writers).To(Equal(4))
		}
		for _, sl := range sls {
			sl.Release()
		}
		hs.Expect(hs.OwnLoads()).To(BeEmpty())
	})
}

func TestWhichPlainTarget(t *testing.T) {
	cases := map[string]struct {
		prepare func(hs *bench)
		avoid   []string
		want    string
	}{
		"the near one": {func(hs *bench) { hs.put(1, "z2", false) }, nil, id(0)},
		"the far one when the near one is busy": {func(hs *bench) {
			hs.put(1, "z2", false)
			hs.take(plain())
		}, nil, id(1)},
		"the one that a peer does not use": {func(hs *bench) {
			hs.SetPeerLoads("peer", map[string]placement.Load{id(0): {Writers: 3}})
		}, nil, id(1)},
		"loads of several peers count": {func(hs *bench) {
			hs.SetPeerLoads("p1", map[string]placement.Load{id(0): {Writers: 2}, id(1): {Writers: 3}})
			hs.SetPeerLoads("p2", map[string]placement.Load{id(0): {Writers: 2}})
		}, nil, id(1)},
		"a lost peer's load does not": {func(hs *bench) {
			hs.SetPeerLoads("p1", map[string]placement.Load{id(0): {Writers: 9}})
			hs.SetPeerLoads("p2", map[string]placement.Load{id(1): {Writers: 1}})
			hs.SetPeerLoads("p1", nil)
		}, nil, id(0)},
		"not the leaving one":    {func(hs *bench) { hs.put(0, zone, true) }, nil, id(1)},
		"not the one to avoid":   {func(*bench) {}, []string{id(0)}, id(1)},
		"not the one told gone":  {func(hs *bench) { hs.directory.MarkLeaving(id(1)) }, nil, id(0)},
		"not the one unreached":  {func(hs *bench) { hs.directory.Unreachable(id(0)) }, nil, id(1)},
		"not the one that fails": {func(hs *bench) { failing(hs, id(1)) }, nil, id(0)},
	}
	for name, tc := range cases {
		t.Run(name, func(t *testing.T) {
			bubble(t, 2, func(hs *bench) {
				tc.prepare(hs)
				rq := plain()
				rq.Exclude = tc.avoid
				hs.Expect(hs.take(rq).Target.ID).To(Equal(tc.want))
			})
		})
	}
}

func failing(hs *bench, which string) {
	for range 3 {
		hs.directory.Failure(which)
	}
}

func TestNoTargetIsRefusedAtOnce(t *testing.T) {
	cases := map[string]struct {
		count int
		avoid []string
	}{
		"none listed":  {0, nil},
		"all to avoid": {1, []string{id(0)}},
	}
	for name, tc := range cases {
		t.Run(name, func(t *testing.T) {
			bubble(t, tc.count, func(hs *bench) {
				rq := plain()
				rq.Exclude = tc.avoid
				began := time.Now()
				fe := hs.refused(rq)
				hs.Expect(fe.Code).To(Equal(failure.NoTarget))
				hs.Expect(fe.Outcome).To(Equal(failure.NotRun))
				hs.Expect(fe.RetryAfter).To(BeNumerically(">", 0))
				hs.Expect(time.Since(began)).To(BeZero())
			})
		})
	}
}

// TestTwoRequestsDoNotSeeTheSameRoom sends prompts at once to as many idle targets.
func TestTwoRequestsDoNotSeeTheSameRoom(t *testing.T) {
	const count = 3
	bubble(t, count, func(hs *bench) {
		var all []<-chan *dispatch.Slot
		for range count {
			all = append(all, hs.send(prompt(8000)))
		}
		synctest.Wait()
		var sls []*dispatch.Slot
		for _, got := range all {
			hs.Expect(got).To(HaveLen(1))
			sls = append(sls, <-got)
		}
		for no := range count {
			hs.Expect(hs.OwnLoads()[id(no)].Readers).To(Equal(1))
			hs.Expect(hs.OwnLoads()[id(no)].Memory).To(BeNumerically("<=", memory))
		}
		for _, sl := range sls {
			sl.Release()
		}
		hs.Expect(hs.OwnLoads()).To(BeEmpty())
	})
}

func TestPeersLoadsCountForPrompts(t *testing.T) {
	bubble(t, 2, func(hs *bench) {
		hs.SetPeerLoads("peer", map[string]placement.Load{id(0): {Memory: 9000, Writers: 1, Context: 9000}})
		for range 5 {
			sl := hs.take(prompt(4000))
			hs.Expect(sl.Target.ID).To(Equal(id(1)))
			sl.Release()
		}
		hs.SetPeerLoads("peer", map[string]placement.Load{id(1): {Memory: 9000, Writers: 1, Context: 9000}})
		hs.Expect(hs.take(prompt(4000)).Target.ID).To(Equal(id(0)))
	})
}

func TestPeerWakesARequestThatWaits(t *testing.T) {
	bubble(t, 3, func(hs *bench) {
		hs.SetPeerLoads("peer", map[string]placement.Load{id(0): {Memory: memory}, id(1): {Memory: memory}})
		got := hs.send(prompt(largest))
		time.Sleep(objective / 2)
		synctest.Wait()
		hs.Expect(got).To(BeEmpty())
		hs.SetPeerLoads("peer", map[string]placement.Load{})
		time.Sleep(2 * travel)
		synctest.Wait()
		hs.Expect(got).To(HaveLen(1))
		(<-got).Release()
		time.Sleep(settle)
	})
}

func TestRequestWithoutRoomIsRefusedInTime(t *testing.T) {
	bubble(t, 3, func(hs *bench) {
		hs.take(prompt(largest))
		began := time.Now()
		fe := hs.refused(prompt(largest))
		hs.Expect(fe.Code).To(Equal(failure.Overloaded))
		hs.Expect(fe.Outcome).To(Equal(failure.NotRun))
		hs.Expect(fe.RetryAfter).To(BeNumerically(">", 0))
		hs.Expect(time.Since(began)).To(BeNumerically("<=", objective))
		hs.Expect(time.Since(began)).To(BeNumerically(">", 0))
	})
}

func TestWaitEndsWithItsContext(t *testing.T) {
	bubble(t, 3, func(hs *bench) {
		hs.take(prompt(largest))
		ctx, cancel := context.WithTimeout(context.Background(), 100*time.Millisecond)
		defer cancel()
		began := time.Now()
		_, err := hs.Acquire(ctx, prompt(largest))
		hs.Expect(err).To(MatchError(context.DeadlineExceeded))
		hs.Expect(time.Since(began)).To(Equal(100 * time.Millisecond))
	})
}

func TestReleaseTwiceChangesNothing(t *testing.T) {
	bubble(t, 1, func(hs *bench) {
		other := hs.take(prompt(1000))
		sl := hs.take(prompt(1000))
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

// TestOneProbeForAnAvailabilityZone cuts an availability zone off and lets the pause pass.
func TestOneProbeForAnAvailabilityZone(t *testing.T) {
	long := func() dispatch.Request { return prompt(20_000) }
	proven := func() dispatch.Request {
		rq := prompt(1000)
		rq.Caution = targets.Proven
		return rq
	}
	short := func() dispatch.Request { return prompt(1000) }
	avoiding := func() dispatch.Request {
		rq := prompt(1000)
		rq.Exclude = []string{id(0), id(1)}
		return rq
	}
	cases := map[string]struct {
		// others is how many targets there are elsewhere.
		others int
		asks   []func() dispatch.Request
		// there is how many of them get a target of that availability zone.
		there int
	}{
		"a short prompt is the probe, and no other beside it":         {1, []func() dispatch.Request{short, short, short}, 1},
		"a plain request is one":                                      {1, []func() dispatch.Request{plain, plain}, 1},
		"a long prompt is none":                                       {4, []func() dispatch.Request{long}, 0},
		"nor a request that must be sure":                             {1, []func() dispatch.Request{proven, proven}, 0},
		"a probe that must not go there goes elsewhere":               {1, []func() dispatch.Request{avoiding}, 0},
		"those that are no probes do not keep another from being one": {2, []func() dispatch.Request{proven, proven, short}, 1},
	}
	for name, tc := range cases {
		t.Run(name, func(t *testing.T) {
			bubble(t, 0, func(hs *bench) {
				hs.put(0, "far", false)
				hs.put(1, "far", false)
				for no := range tc.others {
					hs.put(2+no, "farther", false)
				}
				for no := range 2 {
					hs.directory.Unreachable(id(no))
				}
				time.Sleep(time.Second)
				there := 0
				for _, ask := range tc.asks {
					if hs.take(ask()).Target.AvailabilityZone == "far" {
						there++
					}
				}
				hs.Expect(there).To(Equal(tc.there))
			})
		})
	}
}
