package gossip

import "time"

const (
	// relayedHops is the number of sends on the longest way of a state: those of its instance and of two relays.
	relayedHops = 3
	// maxRelayedIntervalDivisor gives the longest interval between two sends that an acceptable delay can cause, as a fraction of the
	// heartbeat interval. News that cannot wait as long as loads, such as a target that leaves, thus pass all hops within one heartbeat.
	maxRelayedIntervalDivisor = 3
)

// sendInterval returns the minimum time between two sends. It grows with the number of links, since a send goes to all.
func (ms *Mesh) sendInterval() time.Duration {
	acceptable := ms.opts.AcceptableDelay()
	ms.mu.Lock()
	defer ms.mu.Unlock()
	return ms.sendIntervalFor(len(ms.links), acceptable)
}

func (ms *Mesh) sendIntervalFor(links int, acceptable time.Duration) time.Duration {
	extraLinks := max(0, links-ms.opts.MaxFullMeshMembers)
	interval := ms.opts.MinSendInterval + time.Duration(extraLinks)*sendIntervalPerLink
	if !ms.plan.fullMesh {
		interval = max(interval, min(acceptable/relayedHops, ms.opts.HeartbeatInterval/maxRelayedIntervalDivisor))
	}
	return min(ms.opts.HeartbeatInterval, interval)
}

// PropagationDelay returns the expected time until all other members have a new state of this instance, without faults: the
// wait for the next send here and, outside a full mesh, at two relays.
func (ms *Mesh) PropagationDelay() time.Duration {
	acceptable := ms.opts.AcceptableDelay()
	ms.mu.Lock()
	defer ms.mu.Unlock()
	ms.replan()
	own := ms.sendIntervalFor(len(ms.links), acceptable)
	if ms.plan.fullMesh {
		return own
	}
	return own + (relayedHops-1)*ms.sendIntervalFor(ms.estimatedRelayLinks(), acceptable)
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
