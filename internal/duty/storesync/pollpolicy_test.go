package storesync

import (
	"testing"
	"testing/synctest"
	"time"

	. "github.com/onsi/gomega"

	"github.com/silvermount/silvermount/internal/duty/gatewaydeps"
)

// timeRange is a closed range of durations.
type timeRange struct{ low, high time.Duration }

func (tr timeRange) contains(d time.Duration) bool { return tr.low <= d && d <= tr.high }

// testTimings are the timings of the policies under test.
var testTimings = newTimings(changeBound)

func policyFor(role gatewaydeps.Role, seeds bool) *pollPolicy {
	return newPollPolicy(changeBound, coordinatorOf(role, time.Hour), seeds, false)
}

// coordinatorOf returns a coordinator of an instance with a role, in a fleet that has not grown for a while.
func coordinatorOf(role gatewaydeps.Role, settledFor time.Duration) *gatewaydeps.StoreCoordinator {
	sc := &gatewaydeps.StoreCoordinator{}
	sc.SetRole(func() gatewaydeps.Role { return role })
	sc.SetSettledFor(func() time.Duration { return settledFor })
	return sc
}

func TestPause(t *testing.T) {
	tests := map[string]struct {
		role        gatewaydeps.Role
		seeds       bool
		changed     bool
		first, next timeRange
	}{
		"standalone without seeds": {gatewaydeps.RoleStandalone, false, true, timeRange{}, timeRange{}},
		"no peers discovered yet": {
			gatewaydeps.RoleJoining, true, true, timeRange{maxDiscoveryPause / 2, maxDiscoveryPause}, timeRange{},
		},
		"follower after changes":   {gatewaydeps.RoleFollower, true, true, timeRange{0, maxFollowerPause}, timeRange{0, maxFollowerPause}},
		"follower without changes": {gatewaydeps.RoleFollower, true, false, timeRange{}, timeRange{}},
		"listener after changes":   {gatewaydeps.RoleListener, true, true, timeRange{maxListenerPause / 2, maxListenerPause}, timeRange{maxListenerPause / 2, maxListenerPause}},
		"listener without changes": {gatewaydeps.RoleListener, true, false, timeRange{}, timeRange{}},
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
		role gatewaydeps.Role
		age  time.Duration
		want bool
	}{
		"listener, fresh state":           {gatewaydeps.RoleListener, testTimings.maxPeerAge - 1, true},
		"listener, stale state":           {gatewaydeps.RoleListener, testTimings.maxPeerAge + testTimings.listenerDelay + testTimings.listenerJitter, false},
		"standby, fresh state":            {gatewaydeps.RoleStandby, testTimings.maxPeerAge - 1, true},
		"standby, stale state":            {gatewaydeps.RoleStandby, testTimings.maxPeerAge + testTimings.standbyJitter, false},
		"follower":                        {gatewaydeps.RoleFollower, 0, false},
		"standalone":                      {gatewaydeps.RoleStandalone, 0, false},
		"listener, last update a day ago": {gatewaydeps.RoleListener, 24 * time.Hour, false},
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
		role         gatewaydeps.Role
		seeds, first bool
		after        time.Duration
		want         bool
		// growing is set if the number of known instances has just grown.
		growing bool
	}{
		"restart, no peers discovered":    {gatewaydeps.RoleJoining, true, false, 0, false, false},
		"restart, listener":               {gatewaydeps.RoleListener, true, false, 0, false, false},
		"discovery in progress":           {gatewaydeps.RoleJoining, true, true, firstStartDelay - 1, true, false},
		"no peers discovered yet":         {gatewaydeps.RoleJoining, true, true, firstContactTimeout - 1, true, false},
		"no peers discovered":             {gatewaydeps.RoleJoining, true, true, firstContactTimeout, false, false},
		"follower, fleet grows":           {gatewaydeps.RoleFollower, true, true, maxSettlePeriod - 1, true, true},
		"follower, fleet grows for long":  {gatewaydeps.RoleFollower, true, true, maxSettlePeriod, false, true},
		"standalone, fleet grows":         {gatewaydeps.RoleStandalone, true, true, firstStartDelay + firstStartJitter, true, true},
		"restart, fleet grows":            {gatewaydeps.RoleFollower, true, false, 0, false, true},
		"no seeds":                        {gatewaydeps.RoleJoining, false, true, 0, false, false},
		"standalone":                      {gatewaydeps.RoleStandalone, true, true, firstStartDelay + firstStartJitter, false, false},
		"follower":                        {gatewaydeps.RoleFollower, true, true, firstStartDelay + firstStartJitter, false, false},
		"follower, discovery in progress": {gatewaydeps.RoleFollower, true, true, firstStartDelay - 1, true, false},
		"listener, before timeout":        {gatewaydeps.RoleListener, true, true, firstListTimeout, true, false},
		"listener, after timeout":         {gatewaydeps.RoleListener, true, true, firstListTimeout + testTimings.listenerDelay + testTimings.listenerJitter, false, false},
		"standby, before timeout":         {gatewaydeps.RoleStandby, true, true, firstListTimeout - 1, true, false},
		"standby, after timeout":          {gatewaydeps.RoleStandby, true, true, firstListTimeout + testTimings.standbyJitter, false, false},
	}
	for name, tc := range tests {
		t.Run(name, func(t *testing.T) {
			synctest.Test(t, func(t *testing.T) {
				g := NewWithT(t)
				settledFor := settleTime
				if tc.growing {
					settledFor--
				}
				pp := newPollPolicy(changeBound, coordinatorOf(tc.role, settledFor), tc.seeds, tc.first)
				pp.suspended(time.Time{})
				time.Sleep(tc.after)
				g.Expect(pp.suspended(time.Time{})).To(Equal(tc.want))
			})
		})
	}
}

func TestBackoffBounds(t *testing.T) {
	tests := map[string]struct {
		role gatewaydeps.Role
		age  time.Duration
		want timeRange
	}{
		"standalone":            {gatewaydeps.RoleStandalone, 0, timeRange{minAloneBackoff, maxAloneBackoff}},
		"listener":              {gatewaydeps.RoleListener, time.Hour, timeRange{minListenerBackoff, maxListenerBackoff}},
		"standby":               {gatewaydeps.RoleStandby, time.Hour, timeRange{minListenerBackoff, maxListenerBackoff}},
		"follower, fresh proof": {gatewaydeps.RoleFollower, testTimings.maxPeerAge - 1, timeRange{minFollowerBackoff, maxFollowerBackoff}},
		"follower, stale proof": {gatewaydeps.RoleFollower, testTimings.maxPeerAge, timeRange{minAloneBackoff, maxAloneBackoff}},
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
	g.Expect(policyFor(gatewaydeps.RoleStandalone, true).watchTimeout()).To(Equal(testTimings.standaloneWatchTimeout))
	g.Expect(policyFor(gatewaydeps.RoleFollower, true).watchTimeout()).To(Equal(testTimings.followerWatchTimeout))
	g.Expect(policyFor(gatewaydeps.RoleListener, true).watchTimeout()).To(Equal(listenerWatchTimeout))
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
