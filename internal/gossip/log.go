package gossip

import (
	"time"

	"github.com/apex/log"
)

// logLost logs that a member is lost, and the cause; key and value are the input that decided it.
func (ms *Mesh) logLost(m Member, cause, key, value string) {
	ms.opts.Log.WithFields(log.Fields{
		"peer": m.Name, "incarnation": m.Incarnation, "zone": m.AvailabilityZone, "cause": cause, key: value,
	}).Warn("lost a peer")
}

// logFound logs that a member is live, for the first time or again.
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

// logRelayRole logs when this instance becomes a relay or ceases to be one. The lock is held; the logger never blocks.
func (ms *Mesh) logRelayRole() {
	isRelay := ms.plan.isRelay(ms.self.Member)
	if isRelay == ms.wasRelay {
		return
	}
	ms.wasRelay = isRelay
	message := "this instance is no longer a relay"
	if isRelay {
		message = "this instance is now a relay"
	}
	ms.opts.Log.WithFields(log.Fields{
		"live": ms.liveCount(), "relays": len(ms.plan.relays[ms.self.AvailabilityZone]), "subscribers": len(ms.subscribers),
	}).Info(message)
}
