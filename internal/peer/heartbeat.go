package peer

import (
	"time"

	"github.com/silvermount/silvermount/internal/fleet"
	"github.com/silvermount/silvermount/internal/peer/peerpb"
	"github.com/silvermount/silvermount/internal/policy"
)

// newHeartbeat returns a heartbeat for one peer. A request carries this instance's usage of the targets that the peer owns; an
// answer carries summaries of the targets that this instance owns. Each pair of instances therefore exchanges only a few
// entries, whatever the size of the fleet.
func (ms *Mesh) newHeartbeat(peer string, seq uint64, answer bool) *peerpb.Beat {
	b := &peerpb.Beat{
		Seq: seq, BundleVersion: ms.bundles.Version(), Stopping: ms.stopping(), Answer: answer,
	}
	for target, incarnation := range ms.fl.Leaving() {
		b.Leaving = append(b.Leaving, &peerpb.Leaving{Target: target, Incarnation: incarnation})
	}
	if !answer {
		for target, lo := range ms.fl.UsageFor(peer) {
			b.Usage = append(b.Usage, encodeUsage(target, lo))
		}
		return b
	}
	for _, sm := range ms.fl.SummariesFor(peer) {
		b.Summaries = append(b.Summaries, &peerpb.Summary{
			Total: encodeUsage(sm.Target, sm.Load), Incarnation: sm.Incarnation, MemoryTotal: uint64(sm.MemoryTotal),
			ReportedPrefill: uint64(sm.ReportedPrefill), Rate: sm.PrefillRate, AgeMillis: clampMillis(sm.Age), Models: sm.Models,
		})
	}
	return b
}

// maxAge is the longest duration that a message carries; longer ones are clamped to it.
const maxAge = time.Hour

func clampMillis(d time.Duration) uint32 { return uint32(max(0, min(d, maxAge)).Milliseconds()) }

func encodeUsage(target string, lo fleet.Load) *peerpb.Usage {
	u := &peerpb.Usage{
		Target: target, Requests: uint32(max(0, lo.Requests)), Memory: uint64(max(0, lo.MemoryTokens)), Long: uint32(max(0, lo.LongPrompts)),
	}
	if policy.TotalTokens(lo.PrefillTokens) > 0 {
		for _, p := range lo.PrefillTokens {
			u.Prefill = append(u.Prefill, uint64(max(0, p)))
		}
	}
	return u
}

func decodeUsage(u *peerpb.Usage) fleet.Load {
	lo := fleet.Load{Requests: int(u.GetRequests()), MemoryTokens: int(u.GetMemory()), LongPrompts: int(u.GetLong())}
	for i, p := range u.GetPrefill() {
		if i < policy.NumLengthBands {
			lo.PrefillTokens[i] = int(p)
		}
	}
	return lo
}

// instanceFromHello returns the sender of a hello.
func instanceFromHello(h *peerpb.Hello) fleet.Instance {
	return fleet.Instance{
		Name: h.GetInstance(), Incarnation: h.GetIncarnation(), AvailabilityZone: h.GetAvailabilityZone(),
		PeerAddress: h.GetPeerAddress(), CallersAddress: h.GetCallersAddress(),
	}
}

// applyHeartbeat applies a heartbeat from either side of a stream. Only requests carry usage, not answers.
func (ms *Mesh) applyHeartbeat(from fleet.Instance, pb *peerpb.Beat) {
	hb := fleet.Heartbeat{
		Sender: from, BundleVersion: pb.GetBundleVersion(), Stopping: pb.GetStopping(), Leaving: map[string]string{},
	}
	if !pb.GetAnswer() {
		hb.Usage = map[string]fleet.Load{}
	}
	for _, u := range pb.GetUsage() {
		hb.Usage[u.GetTarget()] = decodeUsage(u)
	}
	for _, s := range pb.GetSummaries() {
		hb.Summaries = append(hb.Summaries, fleet.TargetSummary{
			Target: s.GetTotal().GetTarget(), Load: decodeUsage(s.GetTotal()), Incarnation: s.GetIncarnation(),
			MemoryTotal: int(s.GetMemoryTotal()), ReportedPrefill: int(s.GetReportedPrefill()), PrefillRate: s.GetRate(),
			Age: time.Duration(s.GetAgeMillis()) * time.Millisecond, Models: s.GetModels(),
		})
	}
	for _, l := range pb.GetLeaving() {
		hb.Leaving[l.GetTarget()] = l.GetIncarnation()
	}
	ms.fl.ApplyHeartbeat(hb)
	ms.renewGrants(from.Incarnation, hb.Usage)
	ms.bundles.ObserveAccepted(pb.GetBundleVersion())
}

// renewGrants extends the grants that the holder's usage shows to be in use.
func (ms *Mesh) renewGrants(holder string, usage map[string]fleet.Load) {
	for target, lo := range usage {
		if lo.LongPrompts > 0 {
			ms.grants.Renew(holder, target, lo.LongPrompts)
		}
	}
}
