package feedback_test

import (
	"testing"
	"time"

	"github.com/apex/log"
	"github.com/apex/log/handlers/memory"
	. "github.com/onsi/gomega"

	"github.com/silvermount/silvermount/internal/answer"
	"github.com/silvermount/silvermount/internal/backoff"
	"github.com/silvermount/silvermount/internal/feedback"
	"github.com/silvermount/silvermount/internal/position"
	"github.com/silvermount/silvermount/internal/ratelimit"
	"github.com/silvermount/silvermount/internal/targets"
)

// bench is a recorder and what it keeps.
type fixture struct {
	*WithT
	*feedback.Recorder
	logged *memory.Handler
	now    time.Time
	// told counts how often peers were told of a target that leaves.
	leavingChanges int
}

// meant and other are listed targets.
var (
	addressed   = targets.Target{ID: "a@1", Name: "a", Service: "s", Address: "10.0.0.1:80", AvailabilityZone: "z", Slots: 1}
	otherTarget = targets.Target{ID: "b@1", Name: "b", Service: "s", Address: "10.0.0.2:80", AvailabilityZone: "z", Slots: 1}
)

func newFixture(t *testing.T) *fixture {
	be := &fixture{WithT: NewWithT(t), logged: memory.New(), now: time.Unix(1000, 0)}
	now := func() time.Time { return be.now }
	dr := targets.New(now)
	dr.ApplyList([]targets.Target{addressed, otherTarget}, nil, position.Position{Revision: 1}, be.now)
	be.Recorder = feedback.New(feedback.Deps{
		Targets: dr, RateLimits: ratelimit.New(now), BackOffs: backoff.New(now, func() float64 { return 0 }),
		OnLeavingChange: func() { be.leavingChanges++ }, OnRateLimitChange: func() {}, Log: &log.Logger{Handler: be.logged, Level: log.DebugLevel}, Now: now,
	})
	return be
}

func (fx *fixture) record(hd answer.Head) {
	fx.Record(feedback.Report{Source: feedback.RequestAnswer, RequestID: "r", Target: addressed, Head: hd, SentAt: fx.now, ReceivedAt: fx.now})
}

// backedOff reports whether a target is backed off from.
func (fx *fixture) backedOff(tg targets.Target) bool {
	_, backedOff := fx.BackOffs.Until(tg.ID)
	return backedOff
}

func (fx *fixture) messages() []string {
	var all []string
	for _, e := range fx.logged.Entries {
		all = append(all, e.Message)
	}
	return all
}

func TestAnswerAppliesToTheRespondingIncarnation(t *testing.T) {
	facts := answer.Head{BackOff: time.Second, RateLimit: ratelimit.PerSecond(2)}
	tests := map[string]struct {
		verdict answer.Verdict
		target  string
		of      *targets.Target
	}{
		"without a name":            {of: &addressed},
		"the one that was meant":    {target: "a", of: &addressed},
		"turned away":               {verdict: answer.Shed, of: &addressed},
		"failed":                    {verdict: answer.Failed, of: &addressed},
		"not provably its own":      {verdict: answer.Unverified, of: &addressed},
		"another one":               {verdict: answer.Misdirected, target: "b", of: &otherTarget},
		"one that nobody knows":     {verdict: answer.Misdirected, target: "c"},
		"another one without a 421": {target: "b", of: &otherTarget},
	}
	for name, tc := range tests {
		t.Run(name, func(t *testing.T) {
			be := newFixture(t)
			hd := facts
			hd.Verdict, hd.TargetName = tc.verdict, tc.target
			be.record(hd)
			for _, tg := range []targets.Target{addressed, otherTarget} {
				is := tc.of != nil && tc.of.ID == tg.ID
				be.Expect(be.backedOff(tg)).To(Equal(is), tg.ID)
				be.Expect(be.RateLimits.Limit(tg.ID).Limited).To(Equal(is), tg.ID)
			}
		})
	}
}

func TestLeavingIsAnnouncedOnceAndNeverRevoked(t *testing.T) {
	be := newFixture(t)
	be.record(answer.Head{Verdict: answer.Failed, Leaving: true})
	be.record(answer.Head{Leaving: true})
	be.record(answer.Head{})
	be.Expect(be.Targets.TakesWork(addressed.ID)).To(BeFalse())
	be.Expect(be.Targets.TakesWork(otherTarget.ID)).To(BeTrue())
	be.Expect(be.messages()).To(Equal([]string{"target leaving"}))
	be.Expect(be.leavingChanges).To(Equal(1))
}

func TestBackOffIsLoggedWhenItStartsAndEnds(t *testing.T) {
	be := newFixture(t)
	be.record(answer.Head{Verdict: answer.Shed, BackOff: time.Second})
	be.record(answer.Head{Verdict: answer.Shed, BackOff: time.Second})
	be.now = be.now.Add(2 * time.Second)
	for range 20 {
		be.record(answer.Head{})
	}
	be.Expect(be.messages()).To(Equal([]string{"target wants no requests", "target takes requests again"}))
}

func TestMalformedRateLimitChangesNothing(t *testing.T) {
	be := newFixture(t)
	be.record(answer.Head{RateLimit: ratelimit.PerSecond(2)})
	be.now = be.now.Add(time.Second)
	be.record(answer.Head{Malformed: []answer.MalformedError{{Field: answer.FieldRateLimit, Value: "many"}}})
	be.Expect(be.RateLimits.Limit(addressed.ID)).To(Equal(ratelimit.PerSecond(2)))
}

func TestMalformedValuesAreLoggedOnceUpToALimit(t *testing.T) {
	be := newFixture(t)
	say := func(value string) {
		be.record(answer.Head{Malformed: []answer.MalformedError{{Field: answer.FieldBackOff, Value: value}}})
	}
	say("many")
	say("many")
	be.Expect(be.messages()).To(HaveLen(1))
	for no := range 10_000 {
		say(string(rune('a'+no%26)) + string(rune('0'+no)))
	}
	be.Expect(len(be.messages())).To(BeNumerically("<", 1000))
}

func TestAnswerToOrderLiftsNoRateLimit(t *testing.T) {
	be := newFixture(t)
	be.record(answer.Head{RateLimit: ratelimit.PerSecond(2)})
	be.now = be.now.Add(time.Second)
	be.Record(feedback.Report{Source: feedback.OrderAnswer, Target: addressed, ReceivedAt: be.now})
	be.Expect(be.RateLimits.Limit(addressed.ID).Limited).To(BeTrue())
}
