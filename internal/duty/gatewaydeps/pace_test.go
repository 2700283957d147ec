package gatewaydeps

import (
	"testing"
	"time"

	"github.com/VictoriaMetrics/metrics"
	"github.com/apex/log"
	"github.com/apex/log/handlers/memory"
	. "github.com/onsi/gomega"

	"github.com/silvermount/silvermount/internal/backoff"
	"github.com/silvermount/silvermount/internal/config"
	"github.com/silvermount/silvermount/internal/dispatch"
	"github.com/silvermount/silvermount/internal/position"
	"github.com/silvermount/silvermount/internal/ratelimit"
	"github.com/silvermount/silvermount/internal/routes"
	"github.com/silvermount/silvermount/internal/targets"
)

// paceFixture is the paces of an instance with a clock, a directory of three targets, and their loads.
type paceFixture struct {
	*WithT
	*paces
	at       time.Time
	pause    time.Duration
	logged   *memory.Handler
	inFlight map[string]int
}

func newPaceFixture(t *testing.T, switches config.LoadControl) *paceFixture {
	fx := &paceFixture{WithT: NewWithT(t), at: time.Unix(1000, 0), logged: memory.New(), inFlight: map[string]int{"a": 6, "b": 6, "c": 6}}
	now := func() time.Time { return fx.at }
	dr := targets.New(now)
	dr.ApplyList([]targets.Target{{ID: "a", Service: "s", Slots: 12}, {ID: "b", Service: "s", Slots: 12}, {ID: "c", Service: "s", Slots: 12}}, nil, position.Position{Revision: 1}, fx.at)
	fx.paces = newPaces(paceDeps{
		Switches: switches, Now: now, Paused: func() time.Duration { return fx.pause }, Targets: dr, Routes: &routes.Holder{},
		BackOffs: backoff.New(now, func() float64 { return 0 }), Log: &log.Logger{Handler: fx.logged, Level: log.DebugLevel}, Metrics: metrics.NewSet(),
	})
	return fx
}

// pass lets time pass and updates the paces. It reports whether peers are to be told something.
func (fx *paceFixture) pass(d time.Duration) bool {
	fx.at = fx.at.Add(d)
	return fx.update(func(ids []string) []int {
		counts := make([]int, len(ids))
		for i, id := range ids {
			counts[i] = fx.inFlight[id]
		}
		return counts
	})
}

// slowPasses records three passes at five times the stated time.
func (fx *paceFixture) slowPasses() {
	const passes, pass = 3, 50 * time.Millisecond
	for range passes {
		started := fx.at
		fx.at = fx.at.Add(5 * pass)
		fx.record(dispatch.Sample{Kind: dispatch.SamplePass, Target: "a", Predicted: pass, Observed: 5 * pass, StartedAt: started, EndedAt: fx.at})
	}
}

func (fx *paceFixture) messages() (all []string) {
	for _, entry := range fx.logged.Entries {
		all = append(all, entry.Message)
	}
	return all
}

// returned lets the first target be ejected and come back.
func (fx *paceFixture) returned() {
	fx.pass(0)
	fx.pass(5 * time.Second)
	for range 3 {
		fx.targets.RecordFailure("a")
	}
	fx.inFlight["a"] = 0
	fx.pass(paceInterval)
	fx.pass(2 * time.Second)
}

// TestLearnedPaceReachesPeers guards against a pace that is not used, not told to peers, or told when there is nothing to tell.
func TestLearnedPaceReachesPeers(t *testing.T) {
	fx := newPaceFixture(t, config.LoadControl{LearnedPace: true})
	fx.Expect(fx.pass(paceInterval)).To(BeFalse())
	fx.Expect(fx.encode(fx.at)).To(BeEmpty())
	fx.slowPasses()
	fx.Expect(fx.pass(paceInterval)).To(BeTrue())
	fx.Expect(fx.slowdown("a")).To(BeNumerically("~", 5, 0.01))
	fx.Expect(fx.slowdown("b")).To(Equal(1.0))
	other := newPaceFixture(t, config.LoadControl{LearnedPace: true})
	other.at = fx.at
	other.receive("p", fx.encode(fx.at), fx.at)
	other.receive("q", fx.encode(fx.at), fx.at)
	other.pass(paceInterval)
	other.Expect(other.slowdown("a")).To(BeNumerically("~", 5, 0.01))
	other.forget("p")
	other.forget("q")
	other.pass(paceInterval)
	other.Expect(other.slowdown("a")).To(Equal(1.0))
	fx.Expect(fx.pass(4*time.Second)).To(BeTrue(), "peers drop their estimates")
	fx.Expect(fx.pass(paceInterval)).To(BeFalse())
	fx.Expect(fx.slowdown("a")).To(Equal(1.0))
	fx.Expect(fx.messages()).To(Equal([]string{"target is slower than stated", "target keeps its stated pace"}))
}

// TestSamplesAcrossPauseAreDropped guards against targets that count as slow because this process was paused.
func TestSamplesAcrossPauseAreDropped(t *testing.T) {
	fx := newPaceFixture(t, config.LoadControl{LearnedPace: true})
	started := fx.at
	fx.at, fx.pause = fx.at.Add(time.Second), time.Second
	for range 5 {
		fx.at = fx.at.Add(6 * time.Millisecond)
		fx.record(dispatch.Sample{Kind: dispatch.SamplePass, Target: "a", Predicted: 50 * time.Millisecond, Observed: time.Second, StartedAt: started, EndedAt: fx.at})
	}
	fx.pass(paceInterval)
	fx.Expect(fx.slowdown("a")).To(Equal(1.0))
}

// TestMalformedPaceOfPeerCountsAsEmpty guards against a peer of another build that keeps its old estimates here, or ends the process.
func TestMalformedPaceOfPeerCountsAsEmpty(t *testing.T) {
	fx := newPaceFixture(t, config.LoadControl{LearnedPace: true})
	fx.slowPasses()
	body := fx.encode(fx.at)
	for i := range body {
		fx.receive("p", body[:i], fx.at)
	}
	fx.receive("p", []byte{0xff, 0xff, 0xff, 0xff, 0x0f}, fx.at)
	fx.Expect(fx.messages()).To(ContainElement("cannot decode pace of targets from peer"))
}

// TestGradualReturnLimitsTarget guards against a return that is not limited, or whose limit does not follow the outcomes of peers.
func TestGradualReturnLimitsTarget(t *testing.T) {
	fx := newPaceFixture(t, config.LoadControl{GradualReturn: true})
	fx.returned()
	fx.Expect(fx.limit("a").Limited).To(BeTrue())
	fx.Expect(fx.limit("b").Limited).To(BeFalse())
	fx.inFlight["a"] = 1
	fx.pass(paceInterval)
	first := fx.limit("a").PerSecond
	other := newPaceFixture(t, config.LoadControl{GradualReturn: true})
	other.returned()
	other.record(dispatch.Sample{Kind: dispatch.SampleFirstToken, Target: "a", StartedAt: other.at, EndedAt: other.at})
	other.Expect(other.pass(paceInterval)).To(BeTrue())
	fx.receive("p", other.encode(other.at), fx.at)
	fx.pass(250 * time.Millisecond)
	fx.Expect(fx.limit("a").PerSecond).To(Equal(2 * first))
	fx.record(dispatch.Sample{Kind: dispatch.SampleShed, Target: "a", StartedAt: fx.at, EndedAt: fx.at})
	fx.pass(250 * time.Millisecond)
	fx.Expect(fx.limit("a").PerSecond).To(Equal(first))
	fx.Expect(fx.messages()).To(Equal([]string{"gradual return began", "gradual return raised", "gradual return lowered"}))
}

// TestLocalPermitsNeverExceedOwnPart guards against a target that gets the whole pace from each instance while its issuer does not answer, and
// against one whose stated limit is exceeded.
func TestLocalPermitsNeverExceedOwnPart(t *testing.T) {
	// granted returns the permits that one of some instances issues in a second without outcomes.
	granted := func(instances int) (count int) {
		fx := newPaceFixture(t, config.LoadControl{GradualReturn: true})
		fx.returned()
		fx.inFlight["a"] = 1
		for range 110 {
			// An issuer withholds permits for a second after a gap in its clock.
			fx.pass(10 * time.Millisecond)
		}
		for range 100 {
			fx.pass(10 * time.Millisecond)
			if dc, decided := fx.localPermit("a", ratelimit.Limit{}, instances); decided && dc.Granted {
				count++
			}
		}
		fx.Expect(fx.limit("a").PerSecond).To(BeNumerically("~", 9.6, 0.01))
		return count
	}
	fx := newPaceFixture(t, config.LoadControl{GradualReturn: true})
	fx.Expect(granted(1)).To(BeNumerically("~", 9.6, 2))
	fx.Expect(granted(4)).To(BeNumerically("~", 9.6/4, 1))
	fx.returned()
	_, decided := fx.localPermit("a", ratelimit.PerSecond(1), 10)
	fx.Expect(decided).To(BeFalse())
	_, decided = fx.localPermit("b", ratelimit.Limit{}, 10)
	fx.Expect(decided).To(BeFalse())
}

// TestPacesAreOffByDefault guards against a part that decides without its switch.
func TestPacesAreOffByDefault(t *testing.T) {
	fx := newPaceFixture(t, config.LoadControl{})
	op := fx.connect(dispatch.Options{})
	fx.Expect(fx.enabled()).To(BeFalse())
	fx.Expect(op.Slowdown == nil && op.Returning == nil && op.OnSample == nil).To(BeTrue())
	fx.returned()
	fx.slowPasses()
	fx.Expect(fx.limit("a").Limited).To(BeFalse())
	fx.Expect(fx.slowdown("a")).To(Equal(1.0))
}
