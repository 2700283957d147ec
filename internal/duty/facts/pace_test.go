package facts

import (
	"testing"
	"testing/synctest"
	"time"

	. "github.com/onsi/gomega"

	"github.com/silvermount/silvermount/internal/duty/forwarding"
)

// span is a closed range of times.
type span struct{ from, to time.Duration }

func (sp span) has(d time.Duration) bool { return sp.from <= d && d <= sp.to }

func paceOf(part forwarding.Part, seeds bool) *pace {
	return newPace(func() forwarding.Part { return part }, seeds)
}

func TestPause(t *testing.T) {
	tests := map[string]struct {
		part        forwarding.Part
		seeds       bool
		news        bool
		first, next span
	}{
		"alone without peers": {forwarding.PartAlone, false, true, span{}, span{}},
		"alone, peers not met yet": {
			forwarding.PartAlone, true, true, span{meetTime / 2, meetTime}, span{},
		},
		"relay after news":       {forwarding.PartRelay, true, true, span{0, newsPause}, span{0, newsPause}},
		"relay after silence":    {forwarding.PartRelay, true, false, span{}, span{}},
		"listener after news":    {forwarding.PartListener, true, true, span{listenerPause / 2, listenerPause}, span{listenerPause / 2, listenerPause}},
		"listener after silence": {forwarding.PartListener, true, false, span{}, span{}},
	}
	for name, tc := range tests {
		t.Run(name, func(t *testing.T) {
			g := NewWithT(t)
			pc := paceOf(tc.part, tc.seeds)
			g.Expect(tc.first.has(pc.pause(tc.news))).To(BeTrue())
			for range 20 {
				g.Expect(tc.next.has(pc.pause(tc.news))).To(BeTrue())
			}
		})
	}
}

func TestRests(t *testing.T) {
	tests := map[string]struct {
		part forwarding.Part
		age  time.Duration
		want bool
	}{
		"listener, fresh":                {forwarding.PartListener, restLeast - 1, true},
		"listener, old":                  {forwarding.PartListener, restLeast + restSpread, false},
		"relay":                          {forwarding.PartRelay, 0, false},
		"alone":                          {forwarding.PartAlone, 0, false},
		"listener that never heard once": {forwarding.PartListener, 24 * time.Hour, false},
	}
	for name, tc := range tests {
		t.Run(name, func(t *testing.T) {
			synctest.Test(t, func(t *testing.T) {
				g := NewWithT(t)
				g.Expect(paceOf(tc.part, true).rests(time.Now().Add(-tc.age), restLeast)).To(Equal(tc.want))
			})
		})
	}
}

func TestRetry(t *testing.T) {
	tests := map[string]struct {
		part forwarding.Part
		age  time.Duration
		want span
	}{
		"alone":                     {forwarding.PartAlone, 0, span{aloneRetryLeast, aloneRetryMost}},
		"listener":                  {forwarding.PartListener, time.Hour, span{listenerRetryLeast, listenerRetryMost}},
		"relay, others have proof":  {forwarding.PartRelay, restLeast - 1, span{relayRetryLeast, relayRetryMost}},
		"relay, nobody has a proof": {forwarding.PartRelay, restLeast, span{aloneRetryLeast, aloneRetryMost}},
	}
	for name, tc := range tests {
		t.Run(name, func(t *testing.T) {
			synctest.Test(t, func(t *testing.T) {
				g := NewWithT(t)
				least, most := paceOf(tc.part, true).retry(time.Now().Add(-tc.age), restLeast)
				g.Expect(span{least, most}).To(Equal(tc.want))
			})
		})
	}
}

func TestWait(t *testing.T) {
	g := NewWithT(t)
	const relay, alone = 2 * time.Second, time.Second
	g.Expect(paceOf(forwarding.PartAlone, true).wait(relay, alone)).To(Equal(alone))
	g.Expect(paceOf(forwarding.PartRelay, true).wait(relay, alone)).To(Equal(relay))
	g.Expect(paceOf(forwarding.PartListener, true).wait(relay, alone)).To(Equal(listenerWait))
}
