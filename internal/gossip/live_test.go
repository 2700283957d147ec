package gossip

import (
	"testing"

	. "github.com/onsi/gomega"
)

func TestHasLive(t *testing.T) {
	member := func(name, zone string) memberInfo {
		return memberInfo{Member: Member{Name: name, Incarnation: "1", AvailabilityZone: zone}}
	}
	tests := map[string]struct {
		members []memberInfo
		// silent is the number of heartbeats for which no member sends one.
		silent int
		want   bool
	}{
		"no instance of the zone known":  {[]memberInfo{member("m", "b")}, 0, false},
		"one instance of the zone live":  {[]memberInfo{member("m", "b"), member("n", "z")}, 0, true},
		"all instances of the zone lost": {[]memberInfo{member("n", "z"), member("o", "z")}, 20, false},
	}
	for name, tc := range tests {
		t.Run(name, func(t *testing.T) {
			g := NewWithT(t)
			nd, ck := newUnstartedNode(t)
			for _, mi := range tc.members {
				nd.receiveEntry(mi, entry{Heartbeat: 1})
			}
			nd.heartbeats(ck, tc.silent)
			g.Expect(nd.ms.HasLive("z")).To(Equal(tc.want))
			g.Expect(nd.ms.HasLive("")).To(BeTrue(), "the zone of this instance")
		})
	}
}
