package gossip

import (
	"time"

	"github.com/apex/log"
)

// logLost says that a member is no longer live, and why; the last pair is the input that decided it.
func (ms *Mesh) logLost(m Member, cause, key, value string) {
	ms.opts.Log.WithFields(log.Fields{
		"peer": m.Name, "incarnation": m.Incarnation, "zone": m.AvailabilityZone, "cause": cause, key: value,
	}).Warn("lost a peer")
}

// logFound says that a member is live, for the first time or again.
func (ms *Mesh) logFound(ev event) {
	message := "found a peer"
	if ev.seenBefore {
		message = "regained a peer"
	}
	ms.opts.Log.WithFields(log.Fields{
		"peer": ev.member.Name, "incarnation": ev.member.Incarnation, "zone": ev.member.AvailabilityZone,
		"age": ev.heartbeatAge.Round(time.Millisecond).String(),
	}).Info(message)
}

// logPart says when this instance begins and ends to be a relay. The lock is held; the logger never blocks.
func (ms *Mesh) logRelayRole() {
	relays := ms.plan.isRelay(ms.self.Member)
	if relays == ms.wasRelay {
		return
	}
	ms.wasRelay = relays
	message := "this instance relays states no longer"
	if relays {
		message = "this instance relays states"
	}
	ms.opts.Log.WithFields(log.Fields{
		"live": ms.liveCount(), "relays": len(ms.plan.relays[ms.self.AvailabilityZone]), "subscribers": len(ms.subscribers),
	}).Info(message)
}
