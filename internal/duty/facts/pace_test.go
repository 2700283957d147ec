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

// win are the windows of the paces under test.
var win = newWindows(newsBound)

func paceOf(part forwarding.Role, seeds bool) *pace {
	return newPace(newsBound, func() forwarding.Role { return part }, seeds, false)
}

func TestPause(t *testing.T) {
	tests := map[string]struct {
		part        forwarding.Role
		seeds       bool
		news        bool
		first, next span
	}{
		"alone without peers": {forwarding.RoleStandalone, false, true, span{}, span{}},
		"alone, peers not met yet": {
			forwarding.RoleJoining, true, true, span{meetTime / 2, meetTime}, span{},
		},
		"follower after news":    {forwarding.RoleFollower, true, true, span{0, newsPause}, span{0, newsPause}},
		"follower after silence": {forwarding.RoleFollower, true, false, span{}, span{}},
		"listener after news":    {forwarding.RoleListener, true, true, span{listenerPause / 2, listenerPause}, span{listenerPause / 2, listenerPause}},
		"listener after silence": {forwarding.RoleListener, true, false, span{}, span{}},
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
		part forwarding.Role
		age  time.Duration
		want bool
	}{
		"listener, fresh":                {forwarding.RoleListener, win.rest - 1, true},
		"listener, old":                  {forwarding.RoleListener, win.rest + win.listenerLater + win.listenerSpread, false},
		"stand-in, fresh":                {forwarding.RoleStandby, win.rest - 1, true},
		"stand-in, old":                  {forwarding.RoleStandby, win.rest + win.standInSpread, false},
		"follower":                       {forwarding.RoleFollower, 0, false},
		"alone":                          {forwarding.RoleStandalone, 0, false},
		"listener that never heard once": {forwarding.RoleListener, 24 * time.Hour, false},
	}
	for name, tc := range tests {
		t.Run(name, func(t *testing.T) {
			synctest.Test(t, func(t *testing.T) {
				g := NewWithT(t)
				g.Expect(paceOf(tc.part, true).rests(time.Now().Add(-tc.age))).To(Equal(tc.want))
			})
		})
	}
}

// TestRestsAtTheStart: nothing was heard yet.
func TestRestsAtTheStart(t *testing.T) {
	tests := map[string]struct {
		part         forwarding.Role
		seeds, first bool
		after        time.Duration
		want         bool
	}{
		"restart, nobody met":        {forwarding.RoleJoining, true, false, 0, false},
		"restart of a listener":      {forwarding.RoleListener, true, false, 0, false},
		"peers may be met":           {forwarding.RoleJoining, true, true, firstTime - 1, true},
		"none was met":               {forwarding.RoleJoining, true, true, firstTime + firstSpread, false},
		"no peers to be met":         {forwarding.RoleJoining, false, true, 0, false},
		"alone":                      {forwarding.RoleStandalone, true, true, firstTime + firstSpread, false},
		"follower":                   {forwarding.RoleFollower, true, true, firstTime + firstSpread, false},
		"follower, more may be met":  {forwarding.RoleFollower, true, true, firstTime - 1, true},
		"listener, peers may tell":   {forwarding.RoleListener, true, true, toldTime, true},
		"listener, nobody tells":     {forwarding.RoleListener, true, true, toldTime + win.listenerLater + win.listenerSpread, false},
		"stand-in, peers may tell":   {forwarding.RoleStandby, true, true, toldTime - 1, true},
		"stand-in, nobody tells yet": {forwarding.RoleStandby, true, true, toldTime + win.standInSpread, false},
	}
	for name, tc := range tests {
		t.Run(name, func(t *testing.T) {
			synctest.Test(t, func(t *testing.T) {
				g := NewWithT(t)
				pc := newPace(newsBound, func() forwarding.Role { return tc.part }, tc.seeds, tc.first)
				pc.rests(time.Time{})
				time.Sleep(tc.after)
				g.Expect(pc.rests(time.Time{})).To(Equal(tc.want))
			})
		})
	}
}

func TestRetry(t *testing.T) {
	tests := map[string]struct {
		part forwarding.Role
		age  time.Duration
		want span
	}{
		"alone":                        {forwarding.RoleStandalone, 0, span{aloneRetryLeast, aloneRetryMost}},
		"listener":                     {forwarding.RoleListener, time.Hour, span{listenerRetryLeast, listenerRetryMost}},
		"stand-in":                     {forwarding.RoleStandby, time.Hour, span{listenerRetryLeast, listenerRetryMost}},
		"follower, others have proof":  {forwarding.RoleFollower, win.rest - 1, span{followerRetryLeast, followerRetryMost}},
		"follower, nobody has a proof": {forwarding.RoleFollower, win.rest, span{aloneRetryLeast, aloneRetryMost}},
	}
	for name, tc := range tests {
		t.Run(name, func(t *testing.T) {
			synctest.Test(t, func(t *testing.T) {
				g := NewWithT(t)
				least, most := paceOf(tc.part, true).retry(time.Now().Add(-tc.age))
				g.Expect(span{least, most}).To(Equal(tc.want))
			})
		})
	}
}

func TestWait(t *testing.T) {
	g := NewWithT(t)
	g.Expect(paceOf(forwarding.RoleStandalone, true).wait()).To(Equal(win.alone))
	g.Expect(paceOf(forwarding.RoleFollower, true).wait()).To(Equal(win.watch))
	g.Expect(paceOf(forwarding.RoleListener, true).wait()).To(Equal(listenerWait))
}

// TestWindows: whatever the bound, listeners do not ask beside followers that are answered, and when no follower is answered the
// last listener has asked in time for its call and for peers to tell of the answer.
func TestWindows(t *testing.T) {
	for _, bound := range []time.Duration{time.Second, 2 * time.Second, 3 * time.Second, 4 * time.Second} {
		t.Run(bound.String(), func(t *testing.T) {
			g := NewWithT(t)
			wi := newWindows(bound)
			g.Expect(2 * wi.watch).To(BeNumerically("<", wi.rest))
			g.Expect(wi.rest + wi.standInSpread).To(BeNumerically("<", wi.rest+wi.listenerLater))
			g.Expect(wi.rest + wi.listenerLater + wi.listenerSpread).To(BeNumerically("<=", bound*5/6))
			// A watch that goes silent, the silence allowed beyond it, the longest first pause and the list after it.
			g.Expect(wi.alone + bound/patienceShare + aloneRetryLeast*3/2 + travel).To(BeNumerically("<", bound))
			g.Expect(2 * wi.alone).To(BeNumerically("<", proofBound))
		})
	}
}
