package gossip

import "time"

// sendInterval returns the minimum time between two sends. It grows with the number of links, since a send goes to all.
func (ms *Mesh) sendInterval() time.Duration {
	ms.mu.Lock()
	defer ms.mu.Unlock()
	return ms.sendIntervalFor(len(ms.links))
}

func (ms *Mesh) sendIntervalFor(links int) time.Duration {
	extraLinks := max(0, links-ms.opts.MaxFullMeshMembers)
	return min(ms.opts.HeartbeatInterval, ms.opts.MinSendInterval+time.Duration(extraLinks)*sendIntervalPerLink)
}

// PropagationDelay returns the expected time until all other members have a new state of this instance, without faults: the
// wait for the next send here and, outside a full mesh, at two relays.
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

// estimatedRelayLinks estimates the number of links of a relay in this availability zone. The lock is held.
func (ms *Mesh) estimatedRelayLinks() int {
	zoneMembers := 1
	for _, r := range ms.records {
		if r.live && r.AvailabilityZone == ms.self.AvailabilityZone {
			zoneMembers++
		}
	}
	relays := max(1, len(ms.plan.relays[ms.self.AvailabilityZone]))
	return zoneMembers*subscriptionsPerMember/relays + relays + 2*remoteLinksPerZone*(len(ms.plan.relays)-1)
}
