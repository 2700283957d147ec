package feedback_test

import (
	"testing"
	"time"

	"github.com/apex/log"
	"github.com/apex/log/handlers/memory"
	. "github.com/onsi/gomega"

	"github.com/silvermount/silvermount/internal/backoff"
	"github.com/silvermount/silvermount/internal/feedback"
	"github.com/silvermount/silvermount/internal/position"
	"github.com/silvermount/silvermount/internal/ratelimit"
	"github.com/silvermount/silvermount/internal/responsehead"
	"github.com/silvermount/silvermount/internal/targets"
)

// fixture is a Recorder with its trackers and log.
type fixture struct {
	*WithT
	*feedback.Recorder
	logged *memory.Handler
	now    time.Time
	// leavingChanges counts the calls of OnLeavingChange.
	leavingChanges int
}

// addressed is the target that all requests are sent to. Both targets are listed.
var (
	addressed   = targets.Target{ID: "a@1", Name: "a", Service: "s", Address: "10.0.0.1:80", AvailabilityZone: "z", Slots: 1}
	otherTarget = targets.Target{ID: "b@1", Name: "b", Service: "s", Address: "10.0.0.2:80", AvailabilityZone: "z", Slots: 1}
)

func newFixture(t *testing.T) *fixture {
	fx := &fixture{WithT: NewWithT(t), logged: memory.New(), now: time.Unix(1000, 0)}
	now := func() time.Time { return fx.now }
	dr := targets.New(now)
	dr.ApplyList([]targets.Target{addressed, otherTarget}, nil, position.Position{Revision: 1}, fx.now)
	fx.Recorder = feedback.New(feedback.Deps{
		Targets: dr, RateLimits: ratelimit.New(now), BackOffs: backoff.New(now, func() float64 { return 0 }),
		OnLeavingChange: func() { fx.leavingChanges++ }, OnRateLimitChange: func() {}, Log: &log.Logger{Handler: fx.logged, Level: log.DebugLevel}, Now: now,
	})
	return fx
}

func (fx *fixture) record(hd responsehead.Head) {
	fx.Record(feedback.Report{Source: feedback.RequestAnswer, RequestID: "r", Target: addressed, Head: hd, SentAt: fx.now, ReceivedAt: fx.now})
}

// backedOff reports whether a back-off of a target is in force.
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
	stated := responsehead.Head{BackOff: time.Second, RateLimit: ratelimit.PerSecond(2)}
	tests := map[string]struct {
		verdict responsehead.Verdict
		target  string
		want    *targets.Target
	}{
		"no name":                          {want: &addressed},
		"name of the addressed target":     {target: "a", want: &addressed},
		"shed":                             {verdict: responsehead.Shed, want: &addressed},
		"failed":                           {verdict: responsehead.Failed, want: &addressed},
		"unverified":                       {verdict: responsehead.Unverified, want: &addressed},
		"misdirected to another target":    {verdict: responsehead.Misdirected, target: "b", want: &otherTarget},
		"misdirected to an unknown target": {verdict: responsehead.Misdirected, target: "c"},
		"name of another target, no 421":   {target: "b", want: &otherTarget},
	}
	for name, tc := range tests {
		t.Run(name, func(t *testing.T) {
			fx := newFixture(t)
			hd := stated
			hd.Verdict, hd.TargetName = tc.verdict, tc.target
			fx.record(hd)
			for _, tg := range []targets.Target{addressed, otherTarget} {
				applies := tc.want != nil && tc.want.ID == tg.ID
				fx.Expect(fx.backedOff(tg)).To(Equal(applies), tg.ID)
				fx.Expect(fx.RateLimits.Limit(tg.ID).Limited).To(Equal(applies), tg.ID)
			}
		})
	}
}

func TestLeavingIsAnnouncedOnceAndNeverRevoked(t *testing.T) {
	fx := newFixture(t)
	fx.record(responsehead.Head{Verdict: responsehead.Failed, Leaving: true})
	fx.record(responsehead.Head{Leaving: true})
	fx.record(responsehead.Head{})
	fx.Expect(fx.Targets.TakesWork(addressed.ID)).To(BeFalse())
	fx.Expect(fx.Targets.TakesWork(otherTarget.ID)).To(BeTrue())
	fx.Expect(fx.messages()).To(Equal([]string{"target leaving"}))
	fx.Expect(fx.leavingChanges).To(Equal(1))
}

func TestBackOffIsLoggedWhenItStartsAndEnds(t *testing.T) {
	fx := newFixture(t)
	fx.record(responsehead.Head{Verdict: responsehead.Shed, BackOff: time.Second})
	fx.record(responsehead.Head{Verdict: responsehead.Shed, BackOff: time.Second})
	fx.now = fx.now.Add(2 * time.Second)
	for range 20 {
		fx.record(responsehead.Head{})
	}
	fx.Expect(fx.messages()).To(Equal([]string{"target asked for back-off", "target accepts requests again"}))
}

func TestMalformedRateLimitChangesNothing(t *testing.T) {
	fx := newFixture(t)
	fx.record(responsehead.Head{RateLimit: ratelimit.PerSecond(2)})
	fx.now = fx.now.Add(time.Second)
	fx.record(responsehead.Head{Malformed: []responsehead.MalformedError{{Field: responsehead.FieldRateLimit, Value: "many"}}})
	fx.Expect(fx.RateLimits.Limit(addressed.ID)).To(Equal(ratelimit.PerSecond(2)))
}

func TestMalformedValuesAreLoggedOnceUpToALimit(t *testing.T) {
	fx := newFixture(t)
	recordValue := func(value string) {
		fx.record(responsehead.Head{Malformed: []responsehead.MalformedError{{Field: responsehead.FieldBackOff, Value: value}}})
	}
	recordValue("many")
	recordValue("many")
	fx.Expect(fx.messages()).To(HaveLen(1))
	for no := range 10_000 {
		recordValue(string(rune('a'+no%26)) + string(rune('0'+no)))
	}
	fx.Expect(len(fx.messages())).To(BeNumerically("<", 1000))
}

func TestAnswerToOrderLiftsNoRateLimit(t *testing.T) {
	fx := newFixture(t)
	fx.record(responsehead.Head{RateLimit: ratelimit.PerSecond(2)})
	fx.now = fx.now.Add(time.Second)
	fx.Record(feedback.Report{Source: feedback.OrderAnswer, Target: addressed, ReceivedAt: fx.now})
	fx.Expect(fx.RateLimits.Limit(addressed.ID).Limited).To(BeTrue())
}
