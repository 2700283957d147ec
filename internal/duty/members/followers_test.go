package members

import (
	"fmt"
	"slices"
	"testing"

	"github.com/apex/log"
	"github.com/apex/log/handlers/memory"
	. "github.com/onsi/gomega"

	"github.com/silvermount/silvermount/internal/duty/forwarding"
	"github.com/silvermount/silvermount/internal/gossip"
)

func fleet(perZone int, zones ...string) []gossip.Member {
	var live []gossip.Member
	for _, zone := range zones {
		for i := range perZone {
			live = append(live, gossip.Member{Name: fmt.Sprintf("%s-%d", zone, i), AvailabilityZone: zone})
		}
	}
	return live
}

func countFollowers(live []gossip.Member) map[string]int {
	n := map[string]int{}
	for _, mb := range live {
		if follows(mb, live) {
			n[mb.AvailabilityZone]++
		}
	}
	return n
}

func follows(self gossip.Member, live []gossip.Member) bool {
	return part(self, live) < forwarding.RoleStandby
}

func TestFollowers(t *testing.T) {
	tests := map[string]struct {
		live []gossip.Member
		want map[string]int
	}{
		"all of a small fleet":            {fleet(4, "a", "b"), map[string]int{"a": 4, "b": 4}},
		"one of each of three zones":      {fleet(25, "a", "b", "c"), map[string]int{"a": 1, "b": 1, "c": 1}},
		"two of one of two zones":         {append(fleet(20, "a"), fleet(1, "b")...), map[string]int{"a": 2, "b": 1}},
		"two where there is but one zone": {fleet(30, "a"), map[string]int{"a": 2}},
	}
	for name, tc := range tests {
		t.Run(name, func(t *testing.T) {
			g := NewWithT(t)
			g.Expect(countFollowers(tc.live)).To(Equal(tc.want))
		})
	}
}

func TestThreeFollowInManyZones(t *testing.T) {
	g := NewWithT(t)
	live := fleet(59, "a", "b", "c", "d", "e")
	counts := map[forwarding.Role]int{}
	for _, mb := range live {
		counts[part(mb, live)]++
	}
	g.Expect(counts).To(Equal(map[forwarding.Role]int{
		forwarding.RoleFollower: 3, forwarding.RoleStandby: 7, forwarding.RoleListener: 285,
	}))
	g.Expect(countFollowers(live)).To(HaveLen(3), "in different zones")
}

func TestThoseWithMoreOfTheNetworkFollow(t *testing.T) {
	g := NewWithT(t)
	live := fleet(20, "a", "b", "c")
	for i := range live {
		live[i].Megabits = 20
	}
	large := []int{7, 33, 51}
	for _, i := range large {
		live[i].Megabits = 200
	}
	for _, i := range large {
		g.Expect(part(live[i], live)).To(Equal(forwarding.RoleFollower))
	}
}

func TestInstanceThatKnowsNobody(t *testing.T) {
	live := fleet(1, "a")
	NewWithT(t).Expect(part(live[0], live)).To(Equal(forwarding.RoleJoining))
}

func TestAnotherFollowsForOneThatIsLost(t *testing.T) {
	g := NewWithT(t)
	live := fleet(20, "a")
	lost := slices.IndexFunc(live, func(mb gossip.Member) bool { return follows(mb, live) })
	left := slices.Delete(slices.Clone(live), lost, lost+1)
	g.Expect(countFollowers(left)).To(Equal(map[string]int{"a": 2}))
}

func TestStoppingInstanceDoesNotFollowForOthers(t *testing.T) {
	g := NewWithT(t)
	live := fleet(20, "a")
	first := slices.IndexFunc(live, func(mb gossip.Member) bool { return follows(mb, live) })
	live[first].Stopping = true
	g.Expect(follows(live[first], live)).To(BeFalse())
	g.Expect(countFollowers(live)).To(Equal(map[string]int{"a": 2}))
}

// TestAnotherFollowsForOneThatTheStoreLeavesUnanswered.
//
// While the store answered none of the three followers, the list of targets of the whole fleet was up to nine seconds old: who
// follows was decided by who lives, and a follower without an answer stayed one. The log of one that kept its part:
//
//	msg="lost the store" kind=servers cause="watch: store unavailable: ... context deadline exceeded"
func TestAnotherFollowsForOneThatTheStoreLeavesUnanswered(t *testing.T) {
	tests := map[string]struct {
		// storeless counts the followers that get no answer; then that many of those in their place do not either.
		storeless, then int
		// want is how many follow, among them those that get no answer and go on asking.
		want int
	}{
		"one follower":                      {1, 0, 4},
		"all followers":                     {3, 0, 6},
		"all, and two of those after them":  {3, 2, 6},
		"the store answers nobody any more": {60, 0, 3},
	}
	for name, tc := range tests {
		t.Run(name, func(t *testing.T) {
			g := NewWithT(t)
			live := fleet(20, "a", "b", "c")
			usual := followersOf(live)
			strike(live, tc.storeless)
			strike(live, tc.then)
			g.Expect(followersOf(live)).To(HaveLen(tc.want))
			g.Expect(followersOf(live)).To(ContainElements(usual), "they are back as soon as they are answered")
			if tc.storeless < len(live) {
				g.Expect(answered(live, followersOf(live))).To(HaveLen(3))
			}
		})
	}
}

func TestOnlyFollowersAndStandInsTellThatTheyAreUnanswered(t *testing.T) {
	tests := map[string]struct {
		answered bool
		part     forwarding.Role
		// storeless counts those of twenty that say so already.
		storeless int
		want      []bool
	}{
		"follower":                     {false, forwarding.RoleFollower, 0, []bool{true}},
		"stand-in":                     {false, forwarding.RoleStandby, 0, []bool{true}},
		"listener":                     {false, forwarding.RoleListener, 0, nil},
		"alone":                        {false, forwarding.RoleStandalone, 0, nil},
		"answered as listener":         {true, forwarding.RoleListener, 0, []bool{false}},
		"follower, some say so":        {false, forwarding.RoleFollower, 4, []bool{true}},
		"follower, enough say so":      {false, forwarding.RoleFollower, 5, nil},
		"answered, although many said": {true, forwarding.RoleFollower, 9, []bool{false}},
	}
	for name, tc := range tests {
		t.Run(name, func(t *testing.T) {
			var told []bool
			live := fleet(20, "a")
			for i := range tc.storeless {
				live[i].Storeless = true
			}
			reach(tc.answered, tc.part, func() []gossip.Member { return live }, func(storeless bool) { told = append(told, storeless) })
			NewWithT(t).Expect(told).To(Equal(tc.want))
		})
	}
}

// followersOf returns the names of those that follow the store for others.
func followersOf(live []gossip.Member) []string {
	var names []string
	for _, mb := range live {
		if part(mb, live) == forwarding.RoleFollower {
			names = append(names, mb.Name)
		}
	}
	return names
}

// strike lets the store leave members without an answer: followers first, and those that others follow for.
func strike(live []gossip.Member, count int) {
	struck := answered(live, followersOf(live))
	for i := range live {
		if count > len(struck) || slices.Contains(struck[:count], live[i].Name) {
			live[i].Storeless = true
		}
	}
}

// answered returns the named members that the store answers.
func answered(live []gossip.Member, names []string) []string {
	return slices.DeleteFunc(slices.Clone(names), func(name string) bool {
		return slices.ContainsFunc(live, func(mb gossip.Member) bool { return mb.Name == name && mb.Storeless })
	})
}

// TestFollowingIsToldWhenItChanges lets a fleet grow and shrink around one instance that is not among the followers.
func TestFollowingIsToldWhenItChanges(t *testing.T) {
	g := NewWithT(t)
	large := fleet(20, "a")
	rests := slices.IndexFunc(large, func(mb gossip.Member) bool { return !follows(mb, large) })
	mh := memory.New()
	fl := &follower{self: large[rests], lg: &log.Logger{Handler: mh, Level: log.InfoLevel}}
	small := []gossip.Member{large[rests]}
	for _, live := range [][]gossip.Member{small, small, large, large, small} {
		fl.part(live)
	}
	var told []string
	for _, e := range mh.Entries {
		told = append(told, e.Message)
	}
	g.Expect(told).To(Equal([]string{"others follow the store for this instance", "this instance follows the store for others"}))
}

func TestSilentZone(t *testing.T) {
	tests := map[string]struct {
		live []gossip.Member
		want bool
	}{
		"all of it are lost":    {fleet(2, "b", "c"), true},
		"one of it still lives": {fleet(1, "a", "b"), false},
	}
	for name, tc := range tests {
		t.Run(name, func(t *testing.T) {
			lost := gossip.Member{Name: "a-9", AvailabilityZone: "a"}
			NewWithT(t).Expect(silentZone(lost, tc.live)).To(Equal(tc.want))
		})
	}
}
