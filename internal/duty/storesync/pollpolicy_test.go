package storesync

import (
	"testing"
	"testing/synctest"
	"time"

	. "github.com/onsi/gomega"

	"github.com/silvermount/silvermount/internal/duty/forwarding"
)

// timeRange is a closed range of durations.
type timeRange struct{ low, high time.Duration }

func (tr timeRange) contains(d time.Duration) bool { return tr.low <= d && d <= tr.high }

// testTimings are the timings of the policies under test.
var testTimings = newTimings(changeBound)

func policyFor(role forwarding.Role, seeds bool) *pollPolicy {
	return newPollPolicy(changeBound, func() forwarding.Role { return role }, seeds, false)
}

func TestPause(t *testing.T) {
	tests := map[string]struct {
		role        forwarding.Role
		seeds       bool
		changed     bool
		first, next timeRange
	}{
		"standalone without seeds": {forwarding.RoleStandalone, false, true, timeRange{}, timeRange{}},
		"no peers discovered yet": {
			forwarding.RoleJoining, true, true, timeRange{maxDiscoveryPause / 2, maxDiscoveryPause}, timeRange{},
		},
		"follower after changes":   {forwarding.RoleFollower, true, true, timeRange{0, maxFollowerPause}, timeRange{0, maxFollowerPause}},
		"follower without changes": {forwarding.RoleFollower, true, false, timeRange{}, timeRange{}},
		"listener after changes":   {forwarding.RoleListener, true, true, timeRange{maxListenerPause / 2, maxListenerPause}, timeRange{maxListenerPause / 2, maxListenerPause}},
		"listener without changes": {forwarding.RoleListener, true, false, timeRange{}, timeRange{}},
	}
	for name, tc := range tests {
		t.Run(name, func(t *testing.T) {
			g := NewWithT(t)
			pp := policyFor(tc.role, tc.seeds)
			g.Expect(tc.first.contains(pp.pause(tc.changed))).To(BeTrue())
			for range 20 {
				g.Expect(tc.next.contains(pp.pause(tc.changed))).To(BeTrue())
			}
		})
	}
}

func TestSuspended(t *testing.T) {
	tests := map[string]struct {
		role forwarding.Role
		age  time.Duration
		want bool
	}{
		"listener, fresh state":           {forwarding.RoleListener, testTimings.maxPeerAge - 1, true},
		"listener, stale state":           {forwarding.RoleListener, testTimings.maxPeerAge + testTimings.listenerDelay + testTimings.listenerJitter, false},
		"standby, fresh state":            {forwarding.RoleStandby, testTimings.maxPeerAge - 1, true},
		"standby, stale state":            {forwarding.RoleStandby, testTimings.maxPeerAge + testTimings.standbyJitter, false},
		"follower":                        {forwarding.RoleFollower, 0, false},
		"standalone":                      {forwarding.RoleStandalone, 0, false},
		"listener, last update a day ago": {forwarding.RoleListener, 24 * time.Hour, false},
	}
	for name, tc := range tests {
		t.Run(name, func(t *testing.T) {
			synctest.Test(t, func(t *testing.T) {
				g := NewWithT(t)
				g.Expect(policyFor(tc.role, true).suspended(time.Now().Add(-tc.age))).To(Equal(tc.want))
			})
		})
	}
}

// TestSuspendedBeforeFirstUpdate covers instances that have received no state from the store or peers yet.
func TestSuspendedBeforeFirstUpdate(t *testing.T) {
	tests := map[string]struct {
		role         forwarding.Role
		seeds, first bool
		after        time.Duration
		want         bool
	}{
		"restart, no peers discovered":    {forwarding.RoleJoining, true, false, 0, false},
		"restart, listener":               {forwarding.RoleListener, true, false, 0, false},
		"discovery in progress":           {forwarding.RoleJoining, true, true, firstStartDelay - 1, true},
		"no peers discovered":             {forwarding.RoleJoining, true, true, firstStartDelay + firstStartJitter, false},
		"no seeds":                        {forwarding.RoleJoining, false, true, 0, false},
		"standalone":                      {forwarding.RoleStandalone, true, true, firstStartDelay + firstStartJitter, false},
		"follower":                        {forwarding.RoleFollower, true, true, firstStartDelay + firstStartJitter, false},
		"follower, discovery in progress": {forwarding.RoleFollower, true, true, firstStartDelay - 1, true},
		"listener, before timeout":        {forwarding.RoleListener, true, true, firstListTimeout, true},
		"listener, after timeout":         {forwarding.RoleListener, true, true, firstListTimeout + testTimings.listenerDelay + testTimings.listenerJitter, false},
		"standby, before timeout":         {forwarding.RoleStandby, true, true, firstListTimeout - 1, true},
		"standby, after timeout":          {forwarding.RoleStandby, true, true, firstListTimeout + testTimings.standbyJitter, false},
	}
	for name, tc := range tests {
		t.Run(name, func(t *testing.T) {
			synctest.Test(t, func(t *testing.T) {
				g := NewWithT(t)
				pp := newPollPolicy(changeBound, func() forwarding.Role { return tc.role }, tc.seeds, tc.first)
				pp.suspended(time.Time{})
				time.Sleep(tc.after)
				g.Expect(pp.suspended(time.Time{})).To(Equal(tc.want))
			})
		})
	}
}

func TestBackoffBounds(t *testing.T) {
	tests := map[string]struct {
		role forwarding.Role
		age  time.Duration
		want timeRange
	}{
		"standalone":            {forwarding.RoleStandalone, 0, timeRange{minAloneBackoff, maxAloneBackoff}},
		"listener":              {forwarding.RoleListener, time.Hour, timeRange{minListenerBackoff, maxListenerBackoff}},
		"standby":               {forwarding.RoleStandby, time.Hour, timeRange{minListenerBackoff, maxListenerBackoff}},
		"follower, fresh proof": {forwarding.RoleFollower, testTimings.maxPeerAge - 1, timeRange{minFollowerBackoff, maxFollowerBackoff}},
		"follower, stale proof": {forwarding.RoleFollower, testTimings.maxPeerAge, timeRange{minAloneBackoff, maxAloneBackoff}},
	}
	for name, tc := range tests {
		t.Run(name, func(t *testing.T) {
			synctest.Test(t, func(t *testing.T) {
				g := NewWithT(t)
				minDelay, maxDelay := policyFor(tc.role, true).backoffBounds(time.Now().Add(-tc.age))
				g.Expect(timeRange{minDelay, maxDelay}).To(Equal(tc.want))
			})
		})
	}
}

func TestWatchTimeout(t *testing.T) {
	g := NewWithT(t)
	g.Expect(policyFor(forwarding.RoleStandalone, true).watchTimeout()).To(Equal(testTimings.standaloneWatchTimeout))
	g.Expect(policyFor(forwarding.RoleFollower, true).watchTimeout()).To(Equal(testTimings.followerWatchTimeout))
	g.Expect(policyFor(forwarding.RoleListener, true).watchTimeout()).To(Equal(listenerWatchTimeout))
}

// TestTimingsFitBound checks for various bounds that listeners do not call the store while it responds to followers, and that if it
// responds to none, the last listener calls it early enough for the call and for gossiping the response.
func TestTimingsFitBound(t *testing.T) {
	for _, bound := range []time.Duration{time.Second, 2 * time.Second, 3 * time.Second, 4 * time.Second} {
		t.Run(bound.String(), func(t *testing.T) {
			g := NewWithT(t)
			ti := newTimings(bound)
			g.Expect(2 * ti.followerWatchTimeout).To(BeNumerically("<", ti.maxPeerAge))
			g.Expect(ti.maxPeerAge + ti.standbyJitter).To(BeNumerically("<", ti.maxPeerAge+ti.listenerDelay))
			g.Expect(ti.maxPeerAge + ti.listenerDelay + ti.listenerJitter).To(BeNumerically("<=", bound*5/6))
			// An unanswered watch, the silence timeout, the longest first back-off and the list after it.
			g.Expect(ti.standaloneWatchTimeout + bound/silenceTimeoutDivisor + minAloneBackoff*3/2 + callLatency).To(BeNumerically("<", bound))
			g.Expect(2 * ti.standaloneWatchTimeout).To(BeNumerically("<", proofExpiry))
		})
	}
}
