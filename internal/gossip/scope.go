package gossip

import (
	"slices"

	"github.com/cespare/xxhash/v2"
)

// scope selects the members about which a peer is sent heartbeats, states, notes and load reports. Member infos are sent about all members
// where includesAllInfo says so.
type scope uint64

const (
	// scopeDirect is the sender and its subscribers. It applies until a peer has sent a subscription.
	scopeDirect scope = iota
	// scopeMembers is scopeDirect plus the infos of all members.
	scopeMembers
	// scopeZone is the sender's availability zone plus the infos of all members.
	scopeZone
	// scopeAll is all members.
	scopeAll
)

// includesAllInfo reports whether the infos of members outside the scope are sent too.
func (sc scope) includesAllInfo() bool { return sc != scopeDirect }

// subscription is what one side of a link asks the other to send.
type subscription struct {
	Scope scope
	// ShardCount is the number of relays among which the states are divided, Shard the index of the requested share from 0. With
	// a ShardCount of at most 1 all states are sent.
	Shard, ShardCount uint64
}

// includesState reports whether the state, notes and load report of a member belong to the subscribed shard. Heartbeats and member infos
// are in every shard, so that no member seems lost while one relay is silent.
func (su subscription) includesState(name string) bool {
	return su.ShardCount <= 1 || xxhash.Sum64String(name)%su.ShardCount == su.Shard
}

// subscriptionTo returns this instance's subscription to the peer of a link. The lock is held.
func (ms *Mesh) subscriptionTo(lk *link) subscription {
	self := ms.self.Member
	if ms.plan.fullMesh {
		return subscription{Scope: scopeMembers}
	}
	if lk.peer.Name == "" {
		return subscription{Scope: scopeDirect}
	}
	if lk.peer.AvailabilityZone != self.AvailabilityZone {
		switch {
		case slices.Contains(ms.plan.remoteRelays(self), lk.peer.Name):
			return subscription{Scope: scopeZone}
		case ms.infoLinks.Has(lk):
			return subscription{Scope: scopeMembers}
		default:
			return subscription{Scope: scopeDirect}
		}
	}
	if !ms.plan.subscribes(self, lk.peer) {
		return subscription{Scope: scopeDirect}
	}
	shard := slices.Index(ms.upstreamRelays, lk.peer.Name)
	if shard < 0 {
		return subscription{Scope: scopeAll}
	}
	return subscription{Scope: scopeAll, Shard: uint64(shard), ShardCount: uint64(len(ms.upstreamRelays))}
}

// inScope reports whether a member is in the scope that the peer subscribes to. The lock is held.
func (lk *link) inScope(r *record) bool {
	ms := lk.ms
	switch lk.peerSubscription.Scope {
	case scopeAll:
		return true
	case scopeZone:
		return r.AvailabilityZone == ms.self.AvailabilityZone
	default:
		return r == ms.self || ms.subscribers[r.Name] > 0
	}
}

// countSubscribers recounts the links of each subscriber. A new subscriber was outside the scope of other links before, so its
// whole record is sent again. The lock is held.
func (ms *Mesh) countSubscribers() {
	before := ms.subscribers
	ms.subscribers = map[string]int{}
	for lk := range ms.links {
		if lk.peerSubscription.Scope == scopeAll && lk.peer.Name != "" {
			ms.subscribers[lk.peer.Name]++
		}
	}
	for name := range ms.subscribers {
		if r := ms.records[name]; r != nil && before[name] == 0 {
			ms.changes.touch(r, everythingChanged)
		}
	}
}
