package dispatch_test

import (
	"context"
	"testing"
	"time"

	. "github.com/onsi/gomega"

	"github.com/silvermount/silvermount/internal/completion"
	"github.com/silvermount/silvermount/internal/dispatch"
	"github.com/silvermount/silvermount/internal/failure"
	"github.com/silvermount/silvermount/internal/placement"
	"github.com/silvermount/silvermount/internal/position"
	"github.com/silvermount/silvermount/internal/returntimes"
	"github.com/silvermount/silvermount/internal/targets"
)

// admissionHarness is a dispatcher with both parts, on a clock that the test advances.
type admissionHarness struct {
	*clockHarness
	*decisionLog
	admission *dispatch.Admission
	paused    time.Duration
}

func newAdmissionHarness(op dispatch.AdmissionOptions, ids ...string) *admissionHarness {
	ah := &admissionHarness{clockHarness: newFrozenClockHarness(ids...), decisionLog: &decisionLog{}}
	op = ah.options(op)
	op.Now, op.Paused = ah.now, func() time.Duration { return ah.paused }
	ah.admission = dispatch.NewAdmission(op)
	dr := targets.New(ah.now)
	var listed []targets.Target
	for _, id := range ids {
		listed = append(listed, targets.Target{ID: id, Service: "s", Slots: engine.Slots, AvailabilityZone: "a"})
	}
	dr.ApplyList(listed, nil, position.Position{}, ah.now())
	ah.dispatcher = dispatch.New(dr, nil, dispatch.Options{Instance: "i", AvailabilityZone: "a", Now: ah.now, Admission: ah.admission})
	return ah
}

// request returns a short prompt of a caller.
func (ah *admissionHarness) request(caller int) dispatch.Request {
	rq := ah.shortPrompt()
	rq.Admission = &dispatch.RequestAdmission{Caller: returntimes.Caller(caller)}
	return rq
}

// fill has other instances use that many slots of a target.
func (ah *admissionHarness) fill(id string, decoding int) {
	prompt := placement.Prompt{Tokens: 5000, AnswerTokens: 1300, Objective: 300 * time.Millisecond, MaxPause: 250 * time.Millisecond, InTimeWorth: placement.WorthOf(1)}
	var load placement.Load
	for range decoding {
		load = load.Plus(prompt.DecodeLoad())
	}
	ah.dispatcher.SetPeerLoads("peer", map[string]placement.Load{id: load})
}

// answer runs short prompts on an idle fleet, whose first token takes a multiple of its prediction.
func (ah *admissionHarness) answer(g *WithT, count int, ratio float64) {
	for range count {
		sl, err := ah.dispatcher.Acquire(context.Background(), ah.request(0))
		g.Expect(err).NotTo(HaveOccurred())
		ah.advance(time.Duration(ratio * float64(sl.PredictedFirstToken)))
		sl.RecordFirstToken()
		sl.Release()
	}
}

// isRefused reports whether the next short prompt is refused.
func (ah *admissionHarness) isRefused() bool {
	sl, err := ah.dispatcher.Acquire(context.Background(), ah.request(0))
	if err != nil {
		return true
	}
	sl.Release()
	return false
}

// TestAdmissionFollowsObservedError places a prompt at a target with 15 of its 16 slots in use, after answers whose first token took longer than
// predicted.
func TestAdmissionFollowsObservedError(t *testing.T) {
	tests := map[string]struct {
		prepare func(g *WithT, ah *admissionHarness)
		op      dispatch.AdmissionOptions
		refused bool
	}{
		"no samples": {op: bothParts, prepare: func(*WithT, *admissionHarness) {}},
		"as predicted": {
			op: bothParts, prepare: func(g *WithT, ah *admissionHarness) { ah.answer(g, 6, 1) },
		},
		"four times later": {
			op: bothParts, prepare: func(g *WithT, ah *admissionHarness) { ah.answer(g, 6, 4) }, refused: true,
		},
		"four times later, without the part": {
			op: dispatch.AdmissionOptions{ReturnTimes: true}, prepare: func(g *WithT, ah *admissionHarness) { ah.answer(g, 6, 4) },
		},
		"one odd answer of 100 times the prediction": {
			op: bothParts, prepare: func(g *WithT, ah *admissionHarness) {
				ah.answer(g, 3, 1)
				ah.answer(g, 1, 100)
				ah.answer(g, 3, 1)
			},
		},
		// The answers took that long because this process did not run.
		"four times later across pauses of the process": {
			op: bothParts, prepare: func(g *WithT, ah *admissionHarness) {
				for range 6 {
					sl, err := ah.dispatcher.Acquire(context.Background(), ah.request(0))
					g.Expect(err).NotTo(HaveOccurred())
					ah.advance(time.Second)
					ah.paused += time.Second
					sl.RecordFirstToken()
					sl.Release()
				}
			},
		},
	}
	for name, tc := range tests {
		t.Run(name, func(t *testing.T) {
			g := NewWithT(t)
			ah := newAdmissionHarness(tc.op, "t1")
			tc.prepare(g, ah)
			ah.fill("t1", 15)
			g.Expect(ah.isRefused()).To(Equal(tc.refused))
		})
	}
}

// TestNobodyIsRefusedWhileTargetsAreIdle guards against refusals by a bad prediction error alone.
func TestNobodyIsRefusedWhileTargetsAreIdle(t *testing.T) {
	tests := map[string][]string{"one target, one slot in use": {"t1"}, "one of two targets is idle": {"t1", "t2"}}
	for name, ids := range tests {
		t.Run(name, func(t *testing.T) {
			g := NewWithT(t)
			ah := newAdmissionHarness(bothParts, ids...)
			ah.answer(g, 10, 50)
			ah.fill("t1", 1)
			if len(ids) > 1 {
				ah.fill("t1", 40)
			}
			g.Expect(ah.isRefused()).To(BeFalse())
		})
	}
}

// TestRefusedCallerReturnsOnTime follows one caller that is refused, asks again at once, and then returns at its time.
func TestRefusedCallerReturnsOnTime(t *testing.T) {
	g := NewWithT(t)
	ah := newAdmissionHarness(bothParts, "t1")
	ah.fill("t1", 40)
	rq := ah.request(1)
	_, err := ah.dispatcher.Acquire(context.Background(), rq)
	fe := failure.FromError(err)
	g.Expect(fe.Code).To(Equal(failure.Overloaded))
	g.Expect(fe.Outcome).To(Equal(failure.NotRun))
	g.Expect(fe.RetryAfter).To(BeNumerically(">", 0))
	g.Expect(fe.RetryAfter).To(BeNumerically("<=", 10*time.Second/3))
	g.Expect(ah.decisions).To(HaveLen(1))
	g.Expect(ah.decisions[0].Outcome).To(Equal(completion.Refuse))
	g.Expect(ah.decisions[0].Promised).To(BeTrue())

	_, err = ah.dispatcher.Acquire(context.Background(), ah.request(1))
	g.Expect(failure.FromError(err).RetryAfter).To(Equal(fe.RetryAfter), "repeating at once keeps the place")
	g.Expect(ah.returns).To(HaveKeyWithValue(dispatch.ReturnedEarly, 1))

	ah.advance(fe.RetryAfter)
	ah.fill("t1", 12)
	sl, err := ah.dispatcher.Acquire(context.Background(), ah.request(1))
	g.Expect(err).NotTo(HaveOccurred())
	sl.Release()
	g.Expect(ah.returns).To(HaveKeyWithValue(dispatch.ReturnedOnTime, 1))
	sl, err = ah.dispatcher.Acquire(context.Background(), ah.request(1))
	g.Expect(err).NotTo(HaveOccurred())
	sl.Release()
	g.Expect(ah.returns).To(HaveKeyWithValue(dispatch.ReturnedOnTime, 1), "a promise holds once")
}

// TestRetryAfterLeavesCallerTime guards against a Retry-After that a caller does not honour.
func TestRetryAfterLeavesCallerTime(t *testing.T) {
	for name, left := range map[string]time.Duration{"much time": 10 * time.Second, "little time": 1200 * time.Millisecond} {
		t.Run(name, func(t *testing.T) {
			g := NewWithT(t)
			ah := newAdmissionHarness(bothParts, "t1")
			ah.fill("t1", 40)
			for caller := range 300 {
				rq := ah.request(caller + 1)
				rq.Deadline = rq.Arrived.Add(left)
				rq.AnswerTokensHint = 43
				_, err := ah.dispatcher.Acquire(context.Background(), rq)
				after := failure.FromError(err).RetryAfter
				g.Expect(after).To(BeNumerically(">=", 90*time.Millisecond))
				g.Expect(after).To(BeNumerically("<=", left/3))
			}
		})
	}
}

// TestPromisesAreLostWithTheInstance guards against callers that are worse off than new ones after a restart of the instance that promised.
func TestPromisesAreLostWithTheInstance(t *testing.T) {
	g := NewWithT(t)
	ah := newAdmissionHarness(bothParts, "t1")
	ah.fill("t1", 40)
	_, err := ah.dispatcher.Acquire(context.Background(), ah.request(1))
	after := failure.FromError(err).RetryAfter
	restarted := newAdmissionHarness(bothParts, "t1")
	restarted.advance(after)
	restarted.fill("t1", 12)
	sl, err := restarted.dispatcher.Acquire(context.Background(), restarted.request(1))
	g.Expect(err).NotTo(HaveOccurred())
	sl.Release()
	g.Expect(restarted.returns).To(BeEmpty())
}

// TestPromiseIsKnownToPeers guards against callers that count as new at the instance that gets their next request.
func TestPromiseIsKnownToPeers(t *testing.T) {
	g := NewWithT(t)
	a, b := newAdmissionHarness(bothParts, "t1"), newAdmissionHarness(bothParts, "t1")
	a.fill("t1", 40)
	_, err := a.dispatcher.Acquire(context.Background(), a.request(1))
	after := failure.FromError(err).RetryAfter
	b.admission.ReportPart().Receive("a", a.admission.ReportPart().Encode(a.now()), b.now())
	b.advance(after)
	sl, err := b.dispatcher.Acquire(context.Background(), b.request(1))
	g.Expect(err).NotTo(HaveOccurred())
	sl.Release()
	g.Expect(b.returns).To(HaveKeyWithValue(dispatch.ReturnedOnTime, 1))
}
