package peersync

import (
	"fmt"
	"slices"
	"testing"

	"github.com/apex/log"
	"github.com/apex/log/handlers/memory"
	. "github.com/onsi/gomega"

	"github.com/silvermount/silvermount/internal/duty/gatewaydeps"
	"github.com/silvermount/silvermount/internal/gossip"
)

// newFleet returns the live members of a fleet with a number of instances in each availability zone.
func newFleet(perZone int, zones ...string) []gossip.Member {
	var live []gossip.Member
	for _, zone := range zones {
		for i := range perZone {
			live = append(live, gossip.Member{Name: fmt.Sprintf("%s-%d", zone, i), AvailabilityZone: zone})
		}
	}
	return live
}

// watchersPerZone returns the number of instances that watch the store themselves, by availability zone.
func watchersPerZone(live []gossip.Member) map[string]int {
	n := map[string]int{}
	for _, mb := range live {
		if watchesStore(mb, live) {
			n[mb.AvailabilityZone]++
		}
	}
	return n
}

func watchesStore(self gossip.Member, live []gossip.Member) bool {
	return assignRole(self, live) < gatewaydeps.RoleStandby
}

func TestStoreWatchersPerZone(t *testing.T) {
	tests := map[string]struct {
		live []gossip.Member
		want map[string]int
	}{
		"all instances of a small fleet": {newFleet(4, "a", "b"), map[string]int{"a": 4, "b": 4}},
		"one in each of three zones":     {newFleet(25, "a", "b", "c"), map[string]int{"a": 1, "b": 1, "c": 1}},
		"two in the larger of two zones": {append(newFleet(20, "a"), newFleet(1, "b")...), map[string]int{"a": 2, "b": 1}},
		"two in a single zone":           {newFleet(30, "a"), map[string]int{"a": 2}},
	}
	for name, tc := range tests {
		t.Run(name, func(t *testing.T) {
			g := NewWithT(t)
			g.Expect(watchersPerZone(tc.live)).To(Equal(tc.want))
		})
	}
}

func TestThreeFollowersInDifferentZones(t *testing.T) {
	g := NewWithT(t)
	live := newFleet(59, "a", "b", "c", "d", "e")
	counts := map[gatewaydeps.Role]int{}
	for _, mb := range live {
		counts[assignRole(mb, live)]++
	}
	g.Expect(counts).To(Equal(map[gatewaydeps.Role]int{
		gatewaydeps.RoleFollower: 3, gatewaydeps.RoleStandby: 7, gatewaydeps.RoleListener: 285,
	}))
	g.Expect(watchersPerZone(live)).To(HaveLen(3), "in different zones")
}

func TestInstancesWithMoreBandwidthAreFollowers(t *testing.T) {
	g := NewWithT(t)
	live := newFleet(20, "a", "b", "c")
	for i := range live {
		live[i].BandwidthMbps = 20
	}
	fast := []int{7, 33, 51}
	for _, i := range fast {
		live[i].BandwidthMbps = 200
	}
	for _, i := range fast {
		g.Expect(assignRole(live[i], live)).To(Equal(gatewaydeps.RoleFollower))
	}
}

func TestInstanceWithoutPeersIsJoining(t *testing.T) {
	live := newFleet(1, "a")
	NewWithT(t).Expect(assignRole(live[0], live)).To(Equal(gatewaydeps.RoleJoining))
}

func TestLostFollowerIsReplaced(t *testing.T) {
	g := NewWithT(t)
	live := newFleet(20, "a")
	lost := slices.IndexFunc(live, func(mb gossip.Member) bool { return watchesStore(mb, live) })
	left := slices.Delete(slices.Clone(live), lost, lost+1)
	g.Expect(watchersPerZone(left)).To(Equal(map[string]int{"a": 2}))
}

func TestStoppingInstanceIsNoFollower(t *testing.T) {
	g := NewWithT(t)
	live := newFleet(20, "a")
	first := slices.IndexFunc(live, func(mb gossip.Member) bool { return watchesStore(mb, live) })
	live[first].Stopping = true
	g.Expect(watchesStore(live[first], live)).To(BeFalse())
	g.Expect(watchersPerZone(live)).To(Equal(map[string]int{"a": 2}))
}

// TestFollowerWithoutStoreIsReplaced guards against followers that do not reach the store and are not replaced. While the store
// responded to none of the three followers, the list of targets of the whole fleet was up to nine seconds old: followers were
// selected from the live instances alone, and one that did not reach the store remained a follower. The log of such a follower:
//
//	msg="lost the store" kind=servers cause="watch: store unavailable: ... context deadline exceeded"
func TestFollowerWithoutStoreIsReplaced(t *testing.T) {
	tests := map[string]struct {
		// unreachable is the number of followers that do not reach the store, replacements the number of their replacements that
		// do not reach it either.
		unreachable, replacements int
		// want is the number of followers, including those that do not reach the store and keep calling it.
		want int
	}{
		"one follower":                       {1, 0, 4},
		"all followers":                      {3, 0, 6},
		"all followers and two replacements": {3, 2, 6},
		"no instance reaches the store":      {60, 0, 3},
	}
	for name, tc := range tests {
		t.Run(name, func(t *testing.T) {
			g := NewWithT(t)
			live := newFleet(20, "a", "b", "c")
			initial := followerNames(live)
			markStoreUnreachable(live, tc.unreachable)
			markStoreUnreachable(live, tc.replacements)
			g.Expect(followerNames(live)).To(HaveLen(tc.want))
			g.Expect(followerNames(live)).To(ContainElements(initial), "they take over again as soon as the store responds")
			if tc.unreachable < len(live) {
				g.Expect(reachingStore(live, followerNames(live))).To(HaveLen(3))
			}
		})
	}
}

func TestOnlyFollowersAndStandbysReportStoreUnreachable(t *testing.T) {
	tests := map[string]struct {
		answered bool
		role     gatewaydeps.Role
		// unreachable is the number of twenty live instances that already report that they do not reach the store.
		unreachable int
		want        []bool
	}{
		"follower":                               {false, gatewaydeps.RoleFollower, 0, []bool{true}},
		"standby":                                {false, gatewaydeps.RoleStandby, 0, []bool{true}},
		"listener":                               {false, gatewaydeps.RoleListener, 0, nil},
		"standalone":                             {false, gatewaydeps.RoleStandalone, 0, nil},
		"listener, answered":                     {true, gatewaydeps.RoleListener, 0, []bool{false}},
		"follower, few without store":            {false, gatewaydeps.RoleFollower, 4, []bool{true}},
		"follower, enough without store":         {false, gatewaydeps.RoleFollower, 5, nil},
		"follower, answered, many without store": {true, gatewaydeps.RoleFollower, 9, []bool{false}},
	}
	for name, tc := range tests {
		t.Run(name, func(t *testing.T) {
			var reports []bool
			live := newFleet(20, "a")
			for i := range tc.unreachable {
				live[i].StoreUnreachable = true
			}
			reportStoreReachability(tc.answered, tc.role, func() []gossip.Member { return live }, func(storeUnreachable bool) { reports = append(reports, storeUnreachable) })
			NewWithT(t).Expect(reports).To(Equal(tc.want))
		})
	}
}

// followerNames returns the names of the followers.
func followerNames(live []gossip.Member) []string {
	var names []string
	for _, mb := range live {
		if assignRole(mb, live) == gatewaydeps.RoleFollower {
			names = append(names, mb.Name)
		}
	}
	return names
}

// markStoreUnreachable marks the store as unreachable for a number of followers; if there are fewer followers, for all live
// members.
func markStoreUnreachable(live []gossip.Member, count int) {
	reaching := reachingStore(live, followerNames(live))
	for i := range live {
		if count > len(reaching) || slices.Contains(reaching[:count], live[i].Name) {
			live[i].StoreUnreachable = true
		}
	}
}

// reachingStore returns the names of those named members that reach the store.
func reachingStore(live []gossip.Member, names []string) []string {
	return slices.DeleteFunc(slices.Clone(names), func(name string) bool {
		return slices.ContainsFunc(live, func(mb gossip.Member) bool { return mb.Name == name && mb.StoreUnreachable })
	})
}

// TestLogsOnlyRoleChanges lets a fleet grow and shrink around an instance that is not a follower in the large fleet.
func TestLogsOnlyRoleChanges(t *testing.T) {
	g := NewWithT(t)
	large := newFleet(20, "a")
	passive := slices.IndexFunc(large, func(mb gossip.Member) bool { return !watchesStore(mb, large) })
	mh := memory.New()
	tk := &roleTracker{self: large[passive], lg: &log.Logger{Handler: mh, Level: log.InfoLevel}}
	small := []gossip.Member{large[passive]}
	for _, live := range [][]gossip.Member{small, small, large, large, small} {
		tk.update(live)
	}
	var messages []string
	for _, e := range mh.Entries {
		messages = append(messages, e.Message)
	}
	g.Expect(messages).To(Equal([]string{"relying on other instances to watch the store", "watching the store directly"}))
}
