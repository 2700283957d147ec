package gradualreturn_test

import (
	"testing"
	"time"

	. "github.com/onsi/gomega"

	"github.com/silvermount/silvermount/internal/gradualreturn"
	"github.com/silvermount/silvermount/internal/peercodec"
)

// fixture is a Controller with a clock and four targets, of which "a" goes and returns.
type fixture struct {
	*WithT
	*gradualreturn.Controller
	now     time.Time
	targets []gradualreturn.Target
	events  []gradualreturn.Event
}

func newFixture(t *testing.T) *fixture {
	fx := &fixture{WithT: NewWithT(t), Controller: gradualreturn.NewController(), now: time.Unix(1000, 0)}
	for _, id := range []string{"a", "b", "c", "d"} {
		fx.targets = append(fx.targets, gradualreturn.Target{ID: id, Service: "s", Slots: simSlots, AnswerTime: answerTime, InFlight: 6})
	}
	return fx
}

// pass lets time pass and updates the controller.
func (fx *fixture) pass(d time.Duration) {
	fx.now = fx.now.Add(d)
	fx.events = fx.Update(fx.now, fx.targets)
}

// leave has the first target go for a reason, and comeBack has it return without load.
func (fx *fixture) leave(reason string) {
	fx.targets[0].Away, fx.targets[0].InFlight = reason, 0
	fx.pass(updateInterval)
}

func (fx *fixture) comeBack() {
	fx.targets[0].Away = ""
	fx.pass(updateInterval)
}

// settled returns a fixture some time after the first update.
func settled(t *testing.T) *fixture {
	fx := newFixture(t)
	fx.pass(0)
	fx.pass(5 * time.Second)
	return fx
}

// TestReturnBeginsOnlyWhereOthersCarryTheLoad guards against a limit at the first start of a fleet or of an instance, in an idle fleet, and
// for a target that only this instance lost.
func TestReturnBeginsOnlyWhereOthersCarryTheLoad(t *testing.T) {
	all := func(fx *fixture, change func(tg *gradualreturn.Target)) {
		for i := range fx.targets {
			change(&fx.targets[i])
		}
	}
	tests := map[string]struct {
		play func(fx *fixture)
		want bool
	}{
		"gone and back": {func(fx *fixture) { fx.leave("gone"); fx.comeBack() }, true},
		"warmed up":     {func(fx *fixture) { fx.leave("warming up"); fx.comeBack() }, true},
		"new incarnation": {func(fx *fixture) {
			fx.targets[0].ID, fx.targets[0].InFlight = "a2", 0
			fx.pass(updateInterval)
		}, true},
		"still away": {func(fx *fixture) { fx.leave("ejected") }, false},
		"no traffic": {func(fx *fixture) {
			all(fx, func(tg *gradualreturn.Target) { tg.InFlight = 0 })
			fx.leave("gone")
			fx.comeBack()
		}, false},
		"in use by peers": {func(fx *fixture) {
			fx.leave("unreachable")
			fx.targets[0].InFlight = 5
			fx.comeBack()
		}, false},
		"all at once": {func(fx *fixture) {
			all(fx, func(tg *gradualreturn.Target) { tg.Away = "evacuated" })
			fx.pass(updateInterval)
			all(fx, func(tg *gradualreturn.Target) { tg.Away = "" })
			fx.pass(updateInterval)
		}, false},
		"other service": {func(fx *fixture) {
			fx.targets[0].Service = "other"
			fx.leave("gone")
			fx.comeBack()
		}, false},
	}
	for name, tc := range tests {
		t.Run(name, func(t *testing.T) {
			fx := settled(t)
			tc.play(fx)
			fx.Expect(len(fx.Limits()) > 0).To(Equal(tc.want))
		})
	}
	t.Run("first start", func(t *testing.T) {
		fx := newFixture(t)
		first := fx.targets
		fx.targets = first[1:]
		fx.pass(0)
		fx.targets = first
		fx.targets[0].InFlight = 0
		fx.pass(time.Second)
		fx.Expect(fx.Limits()).To(BeEmpty())
	})
}

// TestRateFollowsOutcomes guards against a rate that rises without answers, or that bad answers do not lower.
func TestRateFollowsOutcomes(t *testing.T) {
	begun := func(t *testing.T) *fixture {
		fx := settled(t)
		fx.leave("gone")
		fx.comeBack()
		return fx
	}
	rate := func(fx *fixture) float64 { return fx.Limits()["a"] }
	t.Run("one request at once", func(t *testing.T) {
		fx := begun(t)
		fx.Expect(rate(fx)).To(Equal(20.0))
		fx.targets[0].InFlight = 1
		fx.pass(time.Second)
		fx.Expect(rate(fx)).To(Equal(1.0), "a fifth of 12 slots in 2.4 s")
		fx.pass(time.Second)
		fx.Expect(rate(fx)).To(Equal(1.0), "no answers")
	})
	t.Run("doubles with answers until the slots bound it", func(t *testing.T) {
		fx := begun(t)
		fx.targets[0].InFlight = 1
		for _, want := range []float64{2, 4, 8} {
			fx.Record("a", true, false)
			fx.pass(250 * time.Millisecond)
			fx.Expect(rate(fx)).To(Equal(want))
		}
		fx.Record("a", true, false)
		fx.pass(250 * time.Millisecond)
		fx.Expect(fx.Limits()).To(BeEmpty())
		fx.Expect(fx.events).To(ConsistOf(HaveField("Reason", "carries what its slots allow")))
	})
	t.Run("ends at the load of the others", func(t *testing.T) {
		fx := begun(t)
		fx.targets[0].InFlight = 6
		fx.pass(updateInterval)
		fx.Expect(fx.Limits()).To(HaveLen(1), "nothing was answered")
		fx.Record("a", true, false)
		fx.pass(updateInterval)
		fx.Expect(fx.Limits()).To(BeEmpty())
	})
	t.Run("halves with bad answers, and holds until good ones", func(t *testing.T) {
		fx := begun(t)
		fx.targets[0].InFlight = 1
		fx.Record("a", true, false)
		fx.pass(250 * time.Millisecond)
		fx.Record("a", true, false)
		fx.pass(250 * time.Millisecond)
		fx.Record("a", true, true)
		fx.pass(250 * time.Millisecond)
		fx.Expect(rate(fx)).To(Equal(2.0))
		fx.pass(250 * time.Millisecond)
		fx.Expect(rate(fx)).To(Equal(2.0))
		for range 20 {
			fx.Record("a", false, true)
			fx.pass(250 * time.Millisecond)
		}
		fx.Expect(rate(fx)).To(Equal(0.5))
	})
	t.Run("outcomes of peers count once", func(t *testing.T) {
		fx := begun(t)
		fx.targets[0].InFlight = 1
		report := []gradualreturn.Counts{{Target: "a", Good: 1}}
		fx.SetPeer("p", report)
		fx.pass(250 * time.Millisecond)
		fx.Expect(rate(fx)).To(Equal(2.0))
		fx.SetPeer("p", report)
		fx.pass(2 * time.Second)
		fx.Expect(rate(fx)).To(Equal(2.0), "the report is a repetition")
	})
	t.Run("one step after a pause of the process", func(t *testing.T) {
		fx := begun(t)
		fx.targets[0].InFlight = 1
		fx.Record("a", true, false)
		fx.pass(time.Minute)
		fx.Expect(rate(fx)).To(Equal(2.0))
	})
	t.Run("ends when the target goes, or is not needed", func(t *testing.T) {
		fx := begun(t)
		fx.leave("ejected")
		fx.Expect(fx.Limits()).To(BeEmpty())
		fx = begun(t)
		fx.targets = fx.targets[1:]
		fx.pass(updateInterval)
		fx.Expect(fx.Limits()).To(BeEmpty())
		fx = begun(t)
		fx.pass(4 * time.Second)
		fx.Expect(fx.Limits()).To(BeEmpty())
	})
}

// TestJudge guards against late answers of a loaded engine that count as failures, and against an engine at a fifth of its pace that does not.
func TestJudge(t *testing.T) {
	tests := map[string]struct {
		predicted, observed time.Duration
		good, bad           bool
	}{
		"nothing predicted":  {good: true},
		"as predicted":       {100 * time.Millisecond, 110 * time.Millisecond, true, false},
		"a late short one":   {5 * time.Millisecond, 50 * time.Millisecond, true, false},
		"two and a half":     {100 * time.Millisecond, 250 * time.Millisecond, false, false},
		"a pass, five times": {50 * time.Millisecond, 250 * time.Millisecond, false, true},
	}
	for name, tc := range tests {
		t.Run(name, func(t *testing.T) {
			good, bad := gradualreturn.Judge(tc.predicted, tc.observed)
			NewWithT(t).Expect([]bool{good, bad}).To(Equal([]bool{tc.good, tc.bad}))
		})
	}
}

// TestCountsSurviveTheWire guards against a codec that accepts a truncated report.
func TestCountsSurviveTheWire(t *testing.T) {
	g := NewWithT(t)
	all := []gradualreturn.Counts{{Target: "a", Good: 3, Bad: 1}, {Target: "b", Bad: 700}}
	b := gradualreturn.Append(nil, all)
	rd := peercodec.NewReader(b)
	g.Expect(gradualreturn.Read(rd)).To(Equal(all))
	g.Expect(rd.Finish()).To(Succeed())
	rd = peercodec.NewReader(b[:len(b)-1])
	gradualreturn.Read(rd)
	g.Expect(rd.Finish()).NotTo(Succeed())
}
