package gossip

import (
	"cmp"
	"slices"

	"github.com/cespare/xxhash/v2"
)

const (
	// relaysLeast leaves one relay of an availability zone when another fails.
	minRelays = 2
	// membersPerRelay is the number of members of an availability zone for which it has one relay, beyond the least: a
	// relay passes all states on to its subscribers, and a link of 20 Mbit/s carries those to some forty.
	membersPerRelay = 20
	// relayDivisor says what a relay beyond the least must have at least: the preferred one's Mbit/s divided by it.
	relayBandwidthDivisor = 2
	// subscriptions is the number of relays that a member subscribes to.
	subscriptionsPerMember = 2
	// remoteLinks is the number of relays of each other availability zone that a relay is linked to.
	remoteLinksPerZone = 2
)

// plan says which members keep a link to each other. Beyond a number of members, some in each availability zone are
// relays: the others are linked to two of these alone, and the relays to each other. Members with the same list make
// the same plan.
type plan struct {
	// full says that every two members are linked.
	fullMesh bool
	// relays are the names of the relays of each availability zone, the preferred first.
	relays map[string][]string
}

// newPlan makes the plan of the given members.
func newPlan(members []Member, fullMesh int) plan {
	if len(members) <= fullMesh {
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

// relayCount returns how many of an availability zone's candidates, the preferred first, are relays: beyond the least only
// those with a large share of the network. A small machine that relays to thirty others beside large ones falls behind by
// seconds: one of 20 Mbit/s and a fifth of a core refused a key 11 s after the configuration that has it was in force.
func relayCount(cs []candidate) int {
	count := min(len(cs), max(minRelays, (len(cs)+membersPerRelay-1)/membersPerRelay))
	for count > minRelays && cs[count-1].BandwidthMbps < cs[0].BandwidthMbps/relayBandwidthDivisor {
		count--
	}
	return count
}

// candidate is a member that may be a relay.
type candidate struct {
	Member
	hash uint64
}

func newCandidate(m Member) candidate { return candidate{Member: m, hash: xxhash.Sum64String(m.Name)} }

// compare puts those that stay before those that stop, and those with a larger share of the network before others.
func (c candidate) compare(other candidate) int {
	if c.Stopping != other.Stopping {
		if c.Stopping {
			return 1
		}
		return -1
	}
	return cmp.Or(cmp.Compare(other.BandwidthMbps, c.BandwidthMbps), cmp.Compare(c.hash, other.hash), cmp.Compare(c.Name, other.Name))
}

// relay reports whether a member is a relay.
func (pl plan) isRelay(m Member) bool { return slices.Contains(pl.relays[m.AvailabilityZone], m.Name) }

// subscriptions returns the relays of its availability zone that a member subscribes to.
func (pl plan) subscriptions(m Member) []string {
	return topRanked(m.Name, pl.relays[m.AvailabilityZone], subscriptionsPerMember)
}

// remote returns the relays of other availability zones that a relay is linked to: those that are as preferred in their
// zone as it is in its own, and the next ones, so that the links of a pair of zones spread over their relays.
func (pl plan) remoteRelays(m Member) []string {
	place := slices.Index(pl.relays[m.AvailabilityZone], m.Name)
	if place < 0 {
		return nil
	}
	var names []string
	for zone, relays := range pl.relays {
		if zone == m.AvailabilityZone {
			continue
		}
		for i := range min(remoteLinksPerZone, len(relays)) {
			names = append(names, relays[(place+i)%len(relays)])
		}
	}
	return names
}

// links returns the names of the members that a member keeps a link to; full plans have none. A relay is also linked to
// those that subscribe to it.
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

// linked reports whether two members keep a link.
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

// subscribes reports whether a takes all states from b.
func (pl plan) subscribes(a, b Member) bool {
	return !pl.fullMesh && a.AvailabilityZone == b.AvailabilityZone && !pl.isRelay(a) &&
		slices.Contains(pl.subscriptions(a), b.Name)
}

// highest returns those of the names that have the highest rank with a name, at most n.
func topRanked(name string, names []string, n int) []string {
	hash := xxhash.Sum64String(name)
	ranked := slices.Clone(names)
	slices.SortFunc(ranked, func(a, b string) int { return cmp.Compare(rank(hash, b), rank(hash, a)) })
	return ranked[:min(n, len(ranked))]
}

// rank is the rendezvous hash of two names, the first given by its hash. The steps are the finalizer of splitmix64.
func rank(hash uint64, name string) uint64 {
	x := hash + 3*xxhash.Sum64String(name)
	x = (x ^ x>>30) * 0xbf58476d1ce4e5b9
	x = (x ^ x>>27) * 0x94d049bb133111eb
	return x ^ x>>31
}
