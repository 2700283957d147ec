package gossip

import (
	"slices"

	"github.com/cespare/xxhash/v2"
)

// plan says which members keep a link to each other. Members with the same list make the same plan.
type plan struct {
	// full says that every two members are linked.
	full bool
	// chosen are, for each member, the members of other availability zones that it links to.
	chosen map[string][]string
	// origins are the members of other availability zones that chose this instance: it relays their states.
	origins []string
}

// zones are members by availability zone.
type zones map[string][]Member

func byZone(members []Member) zones {
	zs := zones{}
	for _, m := range members {
		zs[m.AvailabilityZone] = append(zs[m.AvailabilityZone], m)
	}
	return zs
}

// newPlan makes the plan of self for the given members, which include self.
func newPlan(self Member, members []Member, fullMesh, remoteLinks int) plan {
	if len(members) <= fullMesh {
		return plan{full: true}
	}
	pl := plan{chosen: make(map[string][]string, len(members))}
	zs := byZone(members)
	for _, m := range members {
		pl.chosen[m.Name] = zs.choose(m, remoteLinks)
		if m.AvailabilityZone != self.AvailabilityZone && slices.Contains(pl.chosen[m.Name], self.Name) {
			pl.origins = append(pl.origins, m.Name)
		}
	}
	return pl
}

// choose returns the members of each zone but m's own that have the highest rank with m.
func (zs zones) choose(m Member, each int) []string {
	var chosen []string
	for zone, members := range zs {
		if zone != m.AvailabilityZone {
			chosen = append(chosen, highest(m.Name, members, each)...)
		}
	}
	return chosen
}

// highest returns the names of the members with the highest rank, at most n.
func highest(name string, members []Member, n int) []string {
	names := make([]string, 0, n+1)
	ranks := make([]uint64, 0, n+1)
	hash := xxhash.Sum64String(name)
	for _, m := range members {
		r := rank(hash, m.Name)
		i := 0
		for i < len(ranks) && ranks[i] >= r {
			i++
		}
		if i == n {
			continue
		}
		ranks = slices.Insert(ranks, i, r)
		names = slices.Insert(names, i, m.Name)
		ranks = ranks[:min(n, len(ranks))]
		names = names[:min(n, len(names))]
	}
	return names
}

// rank is the rendezvous hash of two names, the first given by its hash. The steps are the finalizer of splitmix64.
func rank(hash uint64, name string) uint64 {
	x := hash + 3*xxhash.Sum64String(name)
	x = (x ^ x>>30) * 0xbf58476d1ce4e5b9
	x = (x ^ x>>27) * 0x94d049bb133111eb
	return x ^ x>>31
}

// linked reports whether two members keep a link.
func (pl plan) linked(a, b Member) bool {
	return pl.full || a.AvailabilityZone == b.AvailabilityZone ||
		slices.Contains(pl.chosen[a.Name], b.Name) || slices.Contains(pl.chosen[b.Name], a.Name)
}

// relays reports whether self relays the states of origin to peer: both are members of one availability zone, origin is
// of another and chose self, and has no link to peer.
func (pl plan) relays(self, origin, peer Member) bool {
	return !pl.full && peer.AvailabilityZone == self.AvailabilityZone &&
		slices.Contains(pl.origins, origin.Name) && !pl.linked(origin, peer)
}
