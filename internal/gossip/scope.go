package gossip

import (
	"slices"

	"github.com/cespare/xxhash/v2"
)

// scope says of which members a peer is told. The member list, that is the card of each, goes beyond it where cards
// says so.
type scope uint64

const (
	// scopeDirect is the sender and its subscribers. It is what a peer is told that asked for nothing yet.
	scopeDirect scope = iota
	// scopeMembers is the same, and the cards of all.
	scopeMembers
	// scopeZone is the availability zone of the sender, and the cards of all.
	scopeZone
	// scopeAll is everybody.
	scopeAll
)

// cards reports whether the cards of those outside the scope are told.
func (sc scope) includesAllInfo() bool { return sc != scopeDirect }

// subscription is what one side of a link asks the other to tell.
type subscription struct {
	Scope scope
	// Parts is the number of relays that share the states among them, and Part the one that is asked for, from 0. With
	// Parts of at most 1 all states are told.
	Shard, ShardCount uint64
}

// takesState reports whether the state of a member is in the part asked for. Pulses and cards are in each part, so that
// nobody seems lost while one relay is silent.
func (su subscription) includesState(name string) bool {
	return su.ShardCount <= 1 || xxhash.Sum64String(name)%su.ShardCount == su.Shard
}

// subscriptionTo returns what this instance wants to be told on a link; the lock is held.
func (ms *Mesh) subscriptionTo(lk *link) subscription {
	self := ms.self.Member
	if ms.plan.fullMesh || lk.peer.Name == "" {
		return subscription{Scope: scopeMembers}
	}
	if lk.peer.AvailabilityZone != self.AvailabilityZone {
		if slices.Contains(ms.plan.remoteRelays(self), lk.peer.Name) {
			return subscription{Scope: scopeZone}
		}
		return subscription{Scope: scopeMembers}
	}
	if !ms.plan.subscribes(self, lk.peer) {
		return subscription{Scope: scopeDirect}
	}
	part := slices.Index(ms.upstreamRelays, lk.peer.Name)
	if part < 0 {
		return subscription{Scope: scopeAll}
	}
	return subscription{Scope: scopeAll, Shard: uint64(part), ShardCount: uint64(len(ms.upstreamRelays))}
}

// tells reports whether a member is in the scope that the peer of a link asked for; the lock is held.
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

// resubscribe counts the links of each subscriber anew. What a new one is told of was outside the scope of other links
// before, so all of its record is told again. The lock is held.
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
