package gossip

import "time"

// coalesce is the least time between two sends; it grows with the links that each send is for.
func (ms *Mesh) sendInterval() time.Duration {
	ms.mu.Lock()
	defer ms.mu.Unlock()
	return ms.sendIntervalFor(len(ms.links))
}

func (ms *Mesh) sendIntervalFor(links int) time.Duration {
	beyond := max(0, links-ms.opts.MaxFullMeshMembers)
	return min(ms.opts.HeartbeatInterval, ms.opts.MinSendInterval+time.Duration(beyond)*sendIntervalPerLink)
}

// Lag returns the time after which a new state of this instance is known to the others when all is well: the wait for
// the next send, and that of two relays where there are any.
func (ms *Mesh) PropagationDelay() time.Duration {
	ms.mu.Lock()
	defer ms.mu.Unlock()
	ms.replan()
	own := ms.sendIntervalFor(len(ms.links))
	if ms.plan.fullMesh {
		return own
	}
	return own + 2*ms.sendIntervalFor(ms.estimatedRelayLinks())
}

// linksOfRelay returns about how many links a relay of this availability zone has; the lock is held.
func (ms *Mesh) estimatedRelayLinks() int {
	near := 1
	for _, r := range ms.records {
		if r.live && r.AvailabilityZone == ms.self.AvailabilityZone {
			near++
		}
	}
	relays := max(1, len(ms.plan.relays[ms.self.AvailabilityZone]))
	return near*subscriptionsPerMember/relays + relays + 2*remoteLinksPerZone*(len(ms.plan.relays)-1)
}
