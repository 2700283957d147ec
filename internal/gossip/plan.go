package gossip

import (
	"cmp"
	"slices"

	"github.com/cespare/xxhash/v2"
)

const (
	// minRelays leaves an availability zone one relay when another fails.
	minRelays = 2
	// membersPerRelay is the number of members of an availability zone per relay, above minRelays. A relay forwards all states
	// to its subscribers, and 20 Mbit/s suffice for about forty of them.
	membersPerRelay = 20
	// relayBandwidthDivisor sets the minimum bandwidth of a relay beyond minRelays: that of the zone's most preferred candidate
	// divided by it.
	relayBandwidthDivisor = 2
	// subscriptionsPerMember is the number of relays that a member subscribes to.
	subscriptionsPerMember = 2
	// remoteLinksPerZone is the number of relays in each other availability zone that a relay selects for a link.
	remoteLinksPerZone = 2
)

// plan determines which members are linked. A large fleet has relays in each availability zone: the other members are linked
// only to two of these, and the relays to each other and to relays of other zones. Members with the same member list compute
// the same plan.
type plan struct {
	// fullMesh is set if every two members are linked.
	fullMesh bool
	// relays are the names of the relays by availability zone, the most preferred first.
	relays map[string][]string
}

// newPlan computes the plan of the given members: a full mesh if they are at most maxFullMesh.
func newPlan(members []Member, maxFullMesh int) plan {
	if len(members) <= maxFullMesh {
		return plan{fullMesh: true}
	}
	zones := map[string][]candidate{}
	for _, m := range members {
		zones[m.AvailabilityZone] = append(zones[m.AvailabilityZone], newCandidate(m))
	}
	pl := plan{relays: make(map[string][]string, len(zones))}
	for zone, cs := range zones {
		slices.SortFunc(cs, candidate.compare)
		for _, c := range cs[:relayCount(cs)] {
			pl.relays[zone] = append(pl.relays[zone], c.Name)
		}
	}
	return pl
}

// relayCount returns how many of an availability zone's candidates, sorted by preference, become relays: beyond minRelays only
// those with high bandwidth. A small machine that relays to thirty members beside large ones falls behind by seconds: one with
// 20 Mbit/s and a fifth of a core refused a key 11 s after the configuration with that key was in force.
func relayCount(cs []candidate) int {
	count := min(len(cs), max(minRelays, (len(cs)+membersPerRelay-1)/membersPerRelay))
	for count > minRelays && cs[count-1].BandwidthMbps < cs[0].BandwidthMbps/relayBandwidthDivisor {
		count--
	}
	return count
}

// candidate is a member that may become a relay.
type candidate struct {
	Member
	hash uint64
}

func newCandidate(m Member) candidate { return candidate{Member: m, hash: xxhash.Sum64String(m.Name)} }

// compare sorts members that are not stopping first, then by descending bandwidth, then by hash and name.
func (c candidate) compare(other candidate) int {
	if c.Stopping != other.Stopping {
		if c.Stopping {
			return 1
		}
		return -1
	}
	return cmp.Or(cmp.Compare(other.BandwidthMbps, c.BandwidthMbps), cmp.Compare(c.hash, other.hash), cmp.Compare(c.Name, other.Name))
}

func (pl plan) isRelay(m Member) bool { return slices.Contains(pl.relays[m.AvailabilityZone], m.Name) }

// subscriptions returns the relays that a member subscribes to, all of its own availability zone.
func (pl plan) subscriptions(m Member) []string {
	return topRanked(m.Name, pl.relays[m.AvailabilityZone], subscriptionsPerMember)
}

// remoteRelays returns the relays of other availability zones that a relay selects for links: in each zone the one with the
// relay's own index and the next, so that the links between two zones are spread over their relays.
func (pl plan) remoteRelays(m Member) []string {
	index := slices.Index(pl.relays[m.AvailabilityZone], m.Name)
	if index < 0 {
		return nil
	}
	var names []string
	for zone, relays := range pl.relays {
		if zone == m.AvailabilityZone {
			continue
		}
		for i := range min(remoteLinksPerZone, len(relays)) {
			names = append(names, relays[(index+i)%len(relays)])
		}
	}
	return names
}

// linkedNames returns the names of the members that a member is linked to, except the subscribers of a relay. It is empty for
// a full mesh.
func (pl plan) linkedNames(m Member) []string {
	if !pl.isRelay(m) {
		return pl.subscriptions(m)
	}
	names := slices.Concat(pl.relays[m.AvailabilityZone], pl.remoteRelays(m))
	for zone, relays := range pl.relays {
		if zone == m.AvailabilityZone {
			continue
		}
		for _, name := range relays {
			if slices.Contains(pl.remoteRelays(Member{Name: name, AvailabilityZone: zone}), m.Name) {
				names = append(names, name)
			}
		}
	}
	return names
}

// linked reports whether the plan has a link between two members.
func (pl plan) linked(a, b Member) bool {
	if pl.fullMesh {
		return true
	}
	if a.AvailabilityZone != b.AvailabilityZone {
		return pl.isRelay(a) && pl.isRelay(b) &&
			(slices.Contains(pl.remoteRelays(a), b.Name) || slices.Contains(pl.remoteRelays(b), a.Name))
	}
	if pl.isRelay(a) && pl.isRelay(b) {
		return true
	}
	return pl.subscribes(a, b) || pl.subscribes(b, a)
}

// subscribes reports whether a subscribes to all states from b.
func (pl plan) subscribes(a, b Member) bool {
	return !pl.fullMesh && a.AvailabilityZone == b.AvailabilityZone && !pl.isRelay(a) &&
		slices.Contains(pl.subscriptions(a), b.Name)
}

// topRanked returns up to n of the names, those with the highest rank for the given name.
func topRanked(name string, names []string, n int) []string {
	hash := xxhash.Sum64String(name)
	ranked := slices.Clone(names)
	slices.SortFunc(ranked, func(a, b string) int { return cmp.Compare(rank(hash, b), rank(hash, a)) })
	return ranked[:min(n, len(ranked))]
}

// rank is the rendezvous hash of two names, the first given by its hash. Its mixing steps are the finalizer of splitmix64.
func rank(hash uint64, name string) uint64 {
	x := hash + 3*xxhash.Sum64String(name)
	x = (x ^ x>>30) * 0xbf58476d1ce4e5b9
	x = (x ^ x>>27) * 0x94d049bb133111eb
	return x ^ x>>31
}
