package dispatch_test

import (
	"context"
	"testing"
	"time"

	. "github.com/onsi/gomega"

	"github.com/silvermount/silvermount/internal/dispatch"
	"github.com/silvermount/silvermount/internal/placement"
	"github.com/silvermount/silvermount/internal/position"
	"github.com/silvermount/silvermount/internal/routes"
	"github.com/silvermount/silvermount/internal/targets"
)

// engine has the performance figures of the users' engines.
var engine = placement.Engine{
	Slots: 16, StepsPerPass: 43, ChunkTokens: 2048, MemoryTokens: 232_000,
	StepTime: 1020 * time.Microsecond, StepTimePerRequest: 2260 * time.Nanosecond, StepTimePerThousandContext: 4310 * time.Nanosecond,
	PrefillTimePerThousand: 4854 * time.Microsecond, PrefillTimePerMillionPairs: 138 * time.Microsecond, HopTime: 75 * time.Microsecond,
	CrossZoneDelay: 500 * time.Microsecond, MeanPromptTokens: 16_000, MeanAnswerTokens: 1300,
}

// clockHarness is a dispatcher over targets, with a clock that a test can advance.
type clockHarness struct {
	clock func() time.Time
	// offset is added to the clock.
	offset     time.Duration
	dispatcher *dispatch.Dispatcher
}

// newFrozenClockHarness returns a clockHarness whose clock stands still unless the test advances it.
func newFrozenClockHarness(ids ...string) *clockHarness {
	return newClockHarness(func() time.Time { return time.Unix(1000, 0) }, ids...)
}

func newClockHarness(clock func() time.Time, ids ...string) *clockHarness {
	return newClockHarnessOf("i", clock, ids...)
}

func newClockHarnessOf(instance string, clock func() time.Time, ids ...string) *clockHarness {
	hs := &clockHarness{clock: clock}
	dr := targets.New(hs.now)
	var listed []targets.Target
	for _, id := range ids {
		listed = append(listed, targets.Target{ID: id, Service: "s", Slots: engine.Slots, AvailabilityZone: "a"})
	}
	dr.ApplyList(listed, nil, position.Position{}, hs.now())
	hs.dispatcher = dispatch.New(dr, nil, dispatch.Options{Instance: instance, AvailabilityZone: "a", Now: hs.now})
	return hs
}

func (hs *clockHarness) now() time.Time          { return hs.clock().Add(hs.offset) }
func (hs *clockHarness) advance(d time.Duration) { hs.offset += d }

// shortPrompt returns a request with a prompt of the class with the shortest objective.
func (hs *clockHarness) shortPrompt() dispatch.Request {
	return dispatch.Request{
		ID: "r", Service: routes.Service{Name: "s", Engine: &engine}, PromptTokens: 5000, AnswerTokensHint: 1300,
		Objective: 300 * time.Millisecond, MaxPause: 250 * time.Millisecond,
		Arrived: hs.now(), Deadline: hs.now().Add(10 * time.Second),
	}
}

// worthAtRisk returns the worth at risk of this instance's prefilling and decoding requests at all targets.
func (hs *clockHarness) worthAtRisk() (placement.Worth, placement.Worth) {
	var firstTokenRisk, pauseRisk placement.Worth
	for _, lo := range hs.dispatcher.OwnLoads() {
		for cl := range lo.PauseRisk {
			firstTokenRisk += lo.FirstTokenRisk[cl]
			pauseRisk += lo.PauseRisk[cl]
		}
	}
	return firstTokenRisk, pauseRisk
}

func TestLateAnswerHasNothingAtRisk(t *testing.T) {
	cases := map[string]struct {
		first, pause time.Duration
		late         bool
	}{
		"in time":              {first: 200 * time.Millisecond, pause: 200 * time.Millisecond},
		"first token is late":  {first: 301 * time.Millisecond, pause: 200 * time.Millisecond, late: true},
		"pause is too long":    {first: 200 * time.Millisecond, pause: 251 * time.Millisecond, late: true},
		"both limits just met": {first: 300 * time.Millisecond, pause: 250 * time.Millisecond},
		"both limits exceeded": {first: time.Second, pause: time.Second, late: true},
	}
	for name, tc := range cases {
		t.Run(name, func(t *testing.T) {
			g := NewWithT(t)
			hs := newFrozenClockHarness("t1")
			sl, err := hs.dispatcher.Acquire(context.Background(), hs.shortPrompt())
			g.Expect(err).NotTo(HaveOccurred())
			firstTokenRisk, _ := hs.worthAtRisk()
			g.Expect(firstTokenRisk).To(BeNumerically(">", 0))
			hs.advance(tc.first)
			sl.RecordFirstToken()
			sl.RecordEvent()
			hs.advance(tc.pause)
			sl.RecordEvent()
			_, pauseRisk := hs.worthAtRisk()
			g.Expect(pauseRisk == 0).To(Equal(tc.late))
			g.Expect(hs.dispatcher.OwnLoads()["t1"].Decoding).To(Equal(1))
			sl.Release()
			g.Expect(hs.dispatcher.OwnLoads()).To(BeEmpty())
		})
	}
}

func TestLatePromptHasNothingAtRisk(t *testing.T) {
	cases := map[string]struct {
		elapsed time.Duration
		late    bool
	}{
		"just arrived":         {},
		"objective has passed": {elapsed: 400 * time.Millisecond, late: true},
	}
	for name, tc := range cases {
		t.Run(name, func(t *testing.T) {
			g := NewWithT(t)
			hs := newFrozenClockHarness("t1")
			rq := hs.shortPrompt()
			hs.advance(tc.elapsed)
			sl, err := hs.dispatcher.Acquire(context.Background(), rq)
			g.Expect(err).NotTo(HaveOccurred())
			defer sl.Release()
			firstTokenRisk, _ := hs.worthAtRisk()
			g.Expect(firstTokenRisk == 0).To(Equal(tc.late))
		})
	}
}

func TestResumedStreamHasNothingAtRisk(t *testing.T) {
	g := NewWithT(t)
	hs := newFrozenClockHarness("t1")
	rq := hs.shortPrompt()
	rq.Resumed = true
	sl, err := hs.dispatcher.Acquire(context.Background(), rq)
	g.Expect(err).NotTo(HaveOccurred())
	defer sl.Release()
	sl.RecordFirstToken()
	firstTokenRisk, pauseRisk := hs.worthAtRisk()
	g.Expect(firstTokenRisk + pauseRisk).To(BeZero())
}

// TestMaxSilenceGrowsWithPendingPrefill allows a target to be silent during the prefill of other requests.
func TestMaxSilenceGrowsWithPendingPrefill(t *testing.T) {
	g := NewWithT(t)
	hs := newFrozenClockHarness("t1")
	sl, err := hs.dispatcher.Acquire(context.Background(), hs.shortPrompt())
	g.Expect(err).NotTo(HaveOccurred())
	sl.RecordFirstToken()
	quiet := sl.MaxSilence()
	g.Expect(quiet).To(BeNumerically("<", 250*time.Millisecond))
	prefilling := placement.Load{SplitPrefill: placement.Backlog{Tokens: 80_000, Pairs: 8_000_000_000}}
	hs.dispatcher.SetPeerLoads("peer", map[string]placement.Load{"t1": prefilling})
	g.Expect(sl.MaxSilence()).To(BeNumerically(">", quiet+time.Second))
	hs.dispatcher.SetPeerLoads("peer", nil)
	g.Expect(sl.MaxSilence()).To(Equal(quiet))
}
