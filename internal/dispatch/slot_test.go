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

// engine has the figures of the users' engines.
var engine = placement.Engine{
	Slots: 16, Stride: 43, Chunk: 2048, Memory: 232_000,
	Step: 1020 * time.Microsecond, PerWriter: 2260 * time.Nanosecond, PerThousandContext: 4310 * time.Nanosecond,
	PerThousandRead: 4854 * time.Microsecond, PerMillionPairs: 138 * time.Microsecond, Hop: 75 * time.Microsecond,
	ZoneDelay: 500 * time.Microsecond, UsualPrompt: 16_000, UsualAnswer: 1300,
}

// clocked is a dispatcher over targets with a clock that a test moves.
type clocked struct {
	clock func() time.Time
	// passed is added to the clock.
	passed time.Duration
	ds     *dispatch.Dispatcher
}

// newClocked returns one whose clock stands still unless the test lets time pass.
func newClocked(ids ...string) *clocked {
	return newClockedAt(func() time.Time { return time.Unix(1000, 0) }, ids...)
}

func newClockedAt(clock func() time.Time, ids ...string) *clocked {
	return newClockedOf("i", clock, ids...)
}

func newClockedOf(instance string, clock func() time.Time, ids ...string) *clocked {
	be := &clocked{clock: clock}
	dr := targets.New(be.now)
	var listed []targets.Target
	for _, id := range ids {
		listed = append(listed, targets.Target{ID: id, Service: "s", Slots: engine.Slots, AvailabilityZone: "a"})
	}
	dr.ApplyList(listed, nil, position.Position{}, be.now())
	be.ds = dispatch.New(dr, nil, dispatch.Options{Instance: instance, AvailabilityZone: "a", Now: be.now})
	return be
}

func (be *clocked) now() time.Time       { return be.clock().Add(be.passed) }
func (be *clocked) pass(d time.Duration) { be.passed += d }

// short asks for a prompt of the kind with the shortest objective.
func (be *clocked) short() dispatch.Ask {
	return dispatch.Ask{
		Request: "r", Service: routes.Service{Name: "s", Engine: &engine}, PromptTokens: 5000, AnswerHint: 1300,
		Objective: 300 * time.Millisecond, LongestPause: 250 * time.Millisecond,
		Arrived: be.now(), Deadline: be.now().Add(10 * time.Second),
	}
}

// sums returns what this instance's readers and writers lose together when they are late, at all targets.
func (be *clocked) sums() (placement.Worth, placement.Worth) {
	var waiting, atRisk placement.Worth
	for _, lo := range be.ds.Own() {
		for cl := range lo.AtRisk {
			waiting += lo.Waiting[cl]
			atRisk += lo.AtRisk[cl]
		}
	}
	return waiting, atRisk
}

func TestAnAnswerThatIsLateHasNothingAtStake(t *testing.T) {
	cases := map[string]struct {
		first, pause time.Duration
		late         bool
	}{
		"in time":                {first: 200 * time.Millisecond, pause: 200 * time.Millisecond},
		"late first token":       {first: 301 * time.Millisecond, pause: 200 * time.Millisecond, late: true},
		"a pause that is long":   {first: 200 * time.Millisecond, pause: 251 * time.Millisecond, late: true},
		"both limits just kept":  {first: 300 * time.Millisecond, pause: 250 * time.Millisecond},
		"both limits are passed": {first: time.Second, pause: time.Second, late: true},
	}
	for name, ca := range cases {
		t.Run(name, func(t *testing.T) {
			g := NewWithT(t)
			be := newClocked("t1")
			sl, err := be.ds.Acquire(context.Background(), be.short())
			g.Expect(err).NotTo(HaveOccurred())
			waiting, _ := be.sums()
			g.Expect(waiting).To(BeNumerically(">", 0))
			be.pass(ca.first)
			sl.FirstToken()
			sl.Event()
			be.pass(ca.pause)
			sl.Event()
			_, atRisk := be.sums()
			g.Expect(atRisk == 0).To(Equal(ca.late))
			g.Expect(be.ds.Own()["t1"].Writers).To(Equal(1))
			sl.Release()
			g.Expect(be.ds.Own()).To(BeEmpty())
		})
	}
}

func TestAPromptThatWillBeLateHasNothingAtStake(t *testing.T) {
	cases := map[string]struct {
		used time.Duration
		late bool
	}{
		"just arrived":         {},
		"the objective passed": {used: 400 * time.Millisecond, late: true},
	}
	for name, ca := range cases {
		t.Run(name, func(t *testing.T) {
			g := NewWithT(t)
			be := newClocked("t1")
			as := be.short()
			be.pass(ca.used)
			sl, err := be.ds.Acquire(context.Background(), as)
			g.Expect(err).NotTo(HaveOccurred())
			defer sl.Release()
			waiting, _ := be.sums()
			g.Expect(waiting == 0).To(Equal(ca.late))
		})
	}
}

func TestAStreamThatGoesOnElsewhereHasNothingAtStake(t *testing.T) {
	g := NewWithT(t)
	be := newClocked("t1")
	as := be.short()
	as.Resumed = true
	sl, err := be.ds.Acquire(context.Background(), as)
	g.Expect(err).NotTo(HaveOccurred())
	defer sl.Release()
	sl.FirstToken()
	waiting, atRisk := be.sums()
	g.Expect(waiting + atRisk).To(BeZero())
}

// TestLongestSilenceFollowsWhatIsRead lets a target be silent for as long as it reads what others brought.
func TestLongestSilenceFollowsWhatIsRead(t *testing.T) {
	g := NewWithT(t)
	be := newClocked("t1")
	sl, err := be.ds.Acquire(context.Background(), be.short())
	g.Expect(err).NotTo(HaveOccurred())
	sl.FirstToken()
	quiet := sl.LongestSilence()
	g.Expect(quiet).To(BeNumerically("<", 250*time.Millisecond))
	reading := placement.Load{Parts: placement.Backlog{Tokens: 80_000, Pairs: 8_000_000_000}}
	be.ds.Heard("peer", map[string]placement.Load{"t1": reading})
	g.Expect(sl.LongestSilence()).To(BeNumerically(">", quiet+time.Second))
	be.ds.Heard("peer", nil)
	g.Expect(sl.LongestSilence()).To(Equal(quiet))
}
