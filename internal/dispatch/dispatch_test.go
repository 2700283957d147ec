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
	be := &bench{
		WithT: NewWithT(t), t: t, directory: targets.New(time.Now),
		orders: &orders{reserved: map[string]int{}, released: map[string]int{}, refuse: map[string]bool{}, silent: map[string]bool{}},
	}
	var ids atomic.Int64
	kp := &reservation.Keeper{
		Timeout: 400 * time.Millisecond, Hold: 3 * time.Second,
		Reserve: be.orders.reserve, Release: be.orders.release,
		NewID: func() string { return strconv.FormatInt(ids.Add(1), 10) },
		Log:   &log.Logger{Handler: discard.New(), Level: log.DebugLevel},
	}
	op := dispatch.Options{Instance: "i", AvailabilityZone: zone, Now: time.Now}
	for _, edit := range opts {
		edit(&op)
	}
	be.Dispatcher = dispatch.New(be.directory, kp, op)
	for no := range count {
		be.put(no, zone, false)
	}
	return be
}

func id(no int) string { return "t" + strconv.Itoa(no) }

func (be *bench) put(no int, at string, leaving bool) {
	tg := targets.Target{
		ID: id(no), Service: "s", Address: "10.0.0." + strconv.Itoa(no) + ":80", AvailabilityZone: at, Slots: slots, Leaving: leaving,
	}
	be.directory.ApplyChanges([]targets.EntryChange{{Name: tg.ID, Target: tg}}, position.Position{}, time.Now())
}

func bubble(t *testing.T, count int, run func(be *bench)) {
	t.Helper()
	synctest.Test(t, func(t *testing.T) { run(newBench(t, count)) })
}

var asks atomic.Int64

func plain() dispatch.Ask {
	no := asks.Add(1)
	now := time.Now()
	return dispatch.Ask{
		Request: strconv.FormatInt(no, 10), Service: routes.Service{Name: "s"}, Objective: objective,
		Arrived: now, Deadline: now.Add(deadline),
	}
}

// prompt asks for room for that many tokens at a model engine.
func prompt(tokens int) dispatch.Ask {
	as := plain()
	as.PromptTokens, as.MostAnswer, as.LongestPause = tokens, 100, time.Second
	as.Service.Engine = &placement.Engine{
		Slots: slots, Stride: 4, Chunk: 2048, Memory: memory, Step: time.Millisecond, PerWriter: 50 * time.Microsecond,
		PerThousandContext: 5 * time.Microsecond, PerThousandRead: time.Millisecond, UsualPrompt: 1000, UsualAnswer: 100,
	}
	return as
}

func (be *bench) take(as dispatch.Ask) *dispatch.Slot {
	sl, err := be.Acquire(context.Background(), as)
	be.Expect(err).NotTo(HaveOccurred())
	be.t.Cleanup(func() {
		sl.Release()
		time.Sleep(settle)
	})
	return sl
}

// send asks for a target in the background.
func (be *bench) send(as dispatch.Ask) <-chan *dispatch.Slot {
	got := make(chan *dispatch.Slot, 1)
	ctx, cancel := context.WithCancel(context.Background())
	be.t.Cleanup(func() {
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
		sl, err := be.Acquire(ctx, as)
		if err != nil {
			return // the test sees that nothing came
		}
		got <- sl
	}()
	return got
}

// refused returns the failure of a request that gets no target.
func (be *bench) refused(as dispatch.Ask) *failure.Error {
	_, err := be.Acquire(context.Background(), as)
	var fe *failure.Error
	be.Expect(errors.As(err, &fe)).To(BeTrue())
	return fe
}

func TestLeastBusyPlainTarget(t *testing.T) {
	bubble(t, 3, func(be *bench) {
		var sls []*dispatch.Slot
		for range 3 * 4 {
			sls = append(sls, be.take(plain()))
		}
		for no := range 3 {
			be.Expect(be.Own()[id(no)].Writers).To(Equal(4))
		}
		for _, sl := range sls {
			sl.Release()
		}
		be.Expect(be.Own()).To(BeEmpty())
	})
}

func TestWhichPlainTarget(t *testing.T) {
	cases := map[string]struct {
		prepare func(be *bench)
		avoid   []string
		want    string
	}{
		"the near one": {func(be *bench) { be.put(1, "z2", false) }, nil, id(0)},
		"the far one when the near one is busy": {func(be *bench) {
			be.put(1, "z2", false)
			be.take(plain())
		}, nil, id(1)},
		"the one that a peer does not use": {func(be *bench) {
			be.Heard("peer", map[string]placement.Load{id(0): {Writers: 3}})
		}, nil, id(1)},
		"loads of several peers count": {func(be *bench) {
			be.Heard("p1", map[string]placement.Load{id(0): {Writers: 2}, id(1): {Writers: 3}})
			be.Heard("p2", map[string]placement.Load{id(0): {Writers: 2}})
		}, nil, id(1)},
		"a lost peer's load does not": {func(be *bench) {
			be.Heard("p1", map[string]placement.Load{id(0): {Writers: 9}})
			be.Heard("p2", map[string]placement.Load{id(1): {Writers: 1}})
			be.Heard("p1", nil)
		}, nil, id(0)},
		"not the leaving one":    {func(be *bench) { be.put(0, zone, true) }, nil, id(1)},
		"not the one to avoid":   {func(*bench) {}, []string{id(0)}, id(1)},
		"not the one told gone":  {func(be *bench) { be.directory.MarkLeaving(id(1)) }, nil, id(0)},
		"not the one unreached":  {func(be *bench) { be.directory.RecordUnreachable(id(0)) }, nil, id(1)},
		"not the one that fails": {func(be *bench) { failing(be, id(1)) }, nil, id(0)},
	}
	for name, tc := range cases {
		t.Run(name, func(t *testing.T) {
			bubble(t, 2, func(be *bench) {
				tc.prepare(be)
				as := plain()
				as.Avoid = tc.avoid
				be.Expect(be.take(as).Target.ID).To(Equal(tc.want))
			})
		})
	}
}

func failing(be *bench, which string) {
	for range 3 {
		be.directory.RecordFailure(which)
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
			bubble(t, tc.count, func(be *bench) {
				as := plain()
				as.Avoid = tc.avoid
				began := time.Now()
				fe := be.refused(as)
				be.Expect(fe.Code).To(Equal(failure.NoTarget))
				be.Expect(fe.Outcome).To(Equal(failure.NotRun))
				be.Expect(fe.RetryAfter).To(BeNumerically(">", 0))
				be.Expect(time.Since(began)).To(BeZero())
			})
		})
	}
}

// TestTwoRequestsDoNotSeeTheSameRoom sends prompts at once to as many idle targets.
func TestTwoRequestsDoNotSeeTheSameRoom(t *testing.T) {
	const count = 3
	bubble(t, count, func(be *bench) {
		var all []<-chan *dispatch.Slot
		for range count {
			all = append(all, be.send(prompt(8000)))
		}
		synctest.Wait()
		var sls []*dispatch.Slot
		for _, got := range all {
			be.Expect(got).To(HaveLen(1))
			sls = append(sls, <-got)
		}
		for no := range count {
			be.Expect(be.Own()[id(no)].Readers).To(Equal(1))
			be.Expect(be.Own()[id(no)].Memory).To(BeNumerically("<=", memory))
		}
		for _, sl := range sls {
			sl.Release()
		}
		be.Expect(be.Own()).To(BeEmpty())
	})
}

func TestPeersLoadsCountForPrompts(t *testing.T) {
	bubble(t, 2, func(be *bench) {
		be.Heard("peer", map[string]placement.Load{id(0): {Memory: 9000, Writers: 1, Context: 9000}})
		for range 5 {
			sl := be.take(prompt(4000))
			be.Expect(sl.Target.ID).To(Equal(id(1)))
			sl.Release()
		}
		be.Heard("peer", map[string]placement.Load{id(1): {Memory: 9000, Writers: 1, Context: 9000}})
		be.Expect(be.take(prompt(4000)).Target.ID).To(Equal(id(0)))
	})
}

func TestPeerWakesARequestThatWaits(t *testing.T) {
	bubble(t, 3, func(be *bench) {
		be.Heard("peer", map[string]placement.Load{id(0): {Memory: memory}, id(1): {Memory: memory}})
		got := be.send(prompt(largest))
		time.Sleep(objective / 2)
		synctest.Wait()
		be.Expect(got).To(BeEmpty())
		be.Heard("peer", map[string]placement.Load{})
		time.Sleep(2 * travel)
		synctest.Wait()
		be.Expect(got).To(HaveLen(1))
		(<-got).Release()
		time.Sleep(settle)
	})
}

func TestRequestWithoutRoomIsRefusedInTime(t *testing.T) {
	bubble(t, 3, func(be *bench) {
		be.take(prompt(largest))
		began := time.Now()
		fe := be.refused(prompt(largest))
		be.Expect(fe.Code).To(Equal(failure.Overloaded))
		be.Expect(fe.Outcome).To(Equal(failure.NotRun))
		be.Expect(fe.RetryAfter).To(BeNumerically(">", 0))
		be.Expect(time.Since(began)).To(BeNumerically("<=", objective))
		be.Expect(time.Since(began)).To(BeNumerically(">", 0))
	})
}

func TestWaitEndsWithItsContext(t *testing.T) {
	bubble(t, 3, func(be *bench) {
		be.take(prompt(largest))
		ctx, cancel := context.WithTimeout(context.Background(), 100*time.Millisecond)
		defer cancel()
		began := time.Now()
		_, err := be.Acquire(ctx, prompt(largest))
		be.Expect(err).To(MatchError(context.DeadlineExceeded))
		be.Expect(time.Since(began)).To(Equal(100 * time.Millisecond))
	})
}

func TestReleaseTwiceChangesNothing(t *testing.T) {
	bubble(t, 1, func(be *bench) {
		other := be.take(prompt(1000))
		sl := be.take(prompt(1000))
		sl.FirstToken()
		sl.FirstToken()
		sl.Release()
		before := be.Own()
		sl.Release()
		be.Expect(be.Own()).To(Equal(before))
		other.Release()
		be.Expect(be.Own()).To(BeEmpty())
	})
}

// TestOneProbeForAnAvailabilityZone cuts an availability zone off and lets the pause pass.
func TestOneProbeForAnAvailabilityZone(t *testing.T) {
	long := func() dispatch.Ask { return prompt(20_000) }
	proven := func() dispatch.Ask {
		as := prompt(1000)
		as.Caution = targets.RequireReachable
		return as
	}
	short := func() dispatch.Ask { return prompt(1000) }
	avoiding := func() dispatch.Ask {
		as := prompt(1000)
		as.Avoid = []string{id(0), id(1)}
		return as
	}
	cases := map[string]struct {
		// others is how many targets there are elsewhere.
		others int
		asks   []func() dispatch.Ask
		// there is how many of them get a target of that availability zone.
		there int
	}{
		"a short prompt is the probe, and no other beside it":         {1, []func() dispatch.Ask{short, short, short}, 1},
		"a plain request is one":                                      {1, []func() dispatch.Ask{plain, plain}, 1},
		"a long prompt is none":                                       {4, []func() dispatch.Ask{long}, 0},
		"nor a request that must be sure":                             {1, []func() dispatch.Ask{proven, proven}, 0},
		"a probe that must not go there goes elsewhere":               {1, []func() dispatch.Ask{avoiding}, 0},
		"those that are no probes do not keep another from being one": {2, []func() dispatch.Ask{proven, proven, short}, 1},
	}
	for name, tc := range cases {
		t.Run(name, func(t *testing.T) {
			bubble(t, 0, func(be *bench) {
				be.put(0, "far", false)
				be.put(1, "far", false)
				for no := range tc.others {
					be.put(2+no, "farther", false)
				}
				for no := range 2 {
					be.directory.RecordUnreachable(id(no))
				}
				time.Sleep(time.Second)
				there := 0
				for _, ask := range tc.asks {
					if be.take(ask()).Target.AvailabilityZone == "far" {
						there++
					}
				}
				be.Expect(there).To(Equal(tc.there))
			})
		})
	}
}
