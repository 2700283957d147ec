package targetloss_test

import (
	"testing"
	"time"

	. "github.com/onsi/gomega"

	"github.com/silvermount/silvermount/internal/targetloss"
)

// fixture is a watcher whose examinations run when the test says so.
type fixture struct {
	*targetloss.Watcher
	now      time.Time
	finding  targetloss.Finding
	examined int
	// onExamine is called during an examination; it may be nil.
	onExamine func()
	pending   []func()
	lost      []targetloss.Evidence
	// data is when an attempt last received data.
	data time.Time
}

func newFixture() *fixture {
	fx := &fixture{now: at(0)}
	fx.Watcher = targetloss.New(targetloss.Deps{
		Examine: func(string, string) targetloss.Finding {
			fx.examined++
			if fx.onExamine != nil {
				fx.onExamine()
			}
			return fx.finding
		},
		LastSign: func() time.Time { return time.Time{} },
		LastData: func(string) time.Time { return fx.data },
		OnLost:   func(ev targetloss.Evidence) { fx.lost = append(fx.lost, ev) },
		Spawn:    func(f func()) { fx.pending = append(fx.pending, f) },
		Now:      func() time.Time { return fx.now },
	})
	return fx
}

// loseOrder lets an order fail that was sent at a time and took 400 ms.
func (fx *fixture) loseOrder(sentMS int) {
	fx.now = at(sentMS + 400)
	fx.RecordUnanswered(target, "a:1", at(sentMS))
}

// runPending runs the examinations that were started.
func (fx *fixture) runPending() {
	pending := fx.pending
	fx.pending = nil
	for _, run := range pending {
		run()
	}
}

// TestSecondOrderDuringExaminationIsExaminedAgain guards against evidence that is lost because it came while an examination ran.
func TestSecondOrderDuringExaminationIsExaminedAgain(t *testing.T) {
	g := NewWithT(t)
	fx := newFixture()
	fx.finding = targetloss.FoundNothing
	fx.loseOrder(0)
	fx.onExamine = func() {
		fx.onExamine = nil
		fx.loseOrder(1000)
		fx.finding = targetloss.FoundConnected
	}
	fx.runPending()
	g.Expect(fx.pending).To(BeEmpty(), "two examinations of one target at a time")
	g.Expect(fx.lost).To(HaveLen(1))
	g.Expect(fx.lost[0].Kind).To(Equal(targetloss.Unanswered))
}

// TestAnswerDuringExamination guards against a target that is taken for lost although it answered while it was examined.
func TestAnswerDuringExamination(t *testing.T) {
	g := NewWithT(t)
	fx := newFixture()
	fx.finding = targetloss.FoundUnreachable
	fx.loseOrder(0)
	fx.onExamine = func() { fx.RecordAnswer(target) }
	fx.runPending()
	g.Expect(fx.examined).To(Equal(1))
	g.Expect(fx.lost).To(BeEmpty())
}

// TestDialFailure checks that a failed connection is used at once if peers were asked, and examined otherwise.
func TestDialFailure(t *testing.T) {
	tests := map[string]struct {
		finding  targetloss.Finding
		lost     int
		examined bool
	}{
		"peers do not reach it either": {targetloss.FoundUnreachable, 0, true},
		"refused here and at peers":    {targetloss.FoundRefused, 1, false},
		"no peer was asked":            {targetloss.FoundNothing, 0, true},
		"a single instance":            {targetloss.FoundAlone, 0, false},
	}
	for name, tc := range tests {
		t.Run(name, func(t *testing.T) {
			g := NewWithT(t)
			fx := newFixture()
			fx.RecordDialFailure(target, "a:1", tc.finding)
			g.Expect(fx.lost).To(HaveLen(tc.lost))
			for _, ev := range fx.lost {
				g.Expect(ev.ByDial).To(BeTrue(), "the dial counts twice against the target")
			}
			g.Expect(fx.pending != nil).To(Equal(tc.examined))
		})
	}
}

// TestUnreachableTwiceIsCertain guards against one failed connection and one peer's blame that end attempts, and against a target out of reach
// that is never taken for lost because no memory is reserved there.
func TestUnreachableTwiceIsCertain(t *testing.T) {
	g := NewWithT(t)
	fx := newFixture()
	fx.finding = targetloss.FoundUnreachable
	fx.RecordDialFailure(target, "a:1", targetloss.FoundUnreachable)
	g.Expect(fx.lost).To(BeEmpty())
	fx.runPending()
	g.Expect(fx.lost).To(HaveLen(1))
	g.Expect(fx.lost[0].Kind).To(Equal(targetloss.Unreachable))
}

// TestDataDropsSuspicion guards against a busy target that answers no orders in time and is taken for lost while it sends events.
func TestDataDropsSuspicion(t *testing.T) {
	g := NewWithT(t)
	fx := newFixture()
	fx.finding = targetloss.FoundConnected
	fx.loseOrder(0)
	fx.loseOrder(1000)
	fx.data = at(1300)
	fx.runPending()
	g.Expect(fx.lost).To(BeEmpty())
	fx.loseOrder(2000)
	fx.loseOrder(3000)
	fx.runPending()
	g.Expect(fx.lost).To(HaveLen(1), "no data since")
}

// TestSuspicionOutOfReachIsExaminedTwice guards against a target whose entry is gone and that is out of reach, and that is never taken for lost.
func TestSuspicionOutOfReachIsExaminedTwice(t *testing.T) {
	g := NewWithT(t)
	fx := newFixture()
	fx.finding = targetloss.FoundUnreachable
	fx.RecordSuspicion(target, "a:1")
	fx.runPending()
	g.Expect(fx.examined).To(Equal(2))
	g.Expect(fx.lost).To(HaveLen(1))
}
