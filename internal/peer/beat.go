package peer

import (
	"time"

	"github.com/silvermount/silvermount/internal/fleet"
	"github.com/silvermount/silvermount/internal/peer/peerpb"
	"github.com/silvermount/silvermount/internal/policy"
)

// beatFor makes a heartbeat for one peer: this instance's work at the targets that the peer owns, and what this
// instance knows of the targets that it owns itself. So each pair exchanges a few lines only, whatever the size of
// the fleet. Answers carry summaries, first beats carry usage.
func (ms *Mesh) beatFor(peer string, seq uint64, answer bool) *peerpb.Beat {
	b := &peerpb.Beat{
		Seq: seq, BundleVersion: ms.bundles.Version(), Stopping: ms.stopping(), Answer: answer,
	}
	for target, incarnation := range ms.fl.Leaving() {
		b.Leaving = append(b.Leaving, &peerpb.Leaving{Target: target, Incarnation: incarnation})
	}
	if !answer {
		for target, wk := range ms.fl.UsageFor(peer) {
			b.Usage = append(b.Usage, usage(target, wk))
		}
		return b
	}
	for _, sm := range ms.fl.SummariesFor(peer) {
		b.Summaries = append(b.Summaries, &peerpb.Summary{
			Total: usage(sm.Target, sm.Load), Incarnation: sm.Incarnation, MemoryTotal: uint64(sm.MemoryTotal),
			ReportedPrefill: uint64(sm.ReportedPrefill), Rate: sm.PrefillRate, AgeMillis: millis(sm.Age), Models: sm.Models,
		})
	}
	return b
}

const maxAge = time.Hour

func millis(d time.Duration) uint32 { return uint32(max(0, min(d, maxAge)).Milliseconds()) }

func usage(target string, wk fleet.Load) *peerpb.Usage {
	u := &peerpb.Usage{
		Target: target, Requests: uint32(max(0, wk.Requests)), Memory: uint64(max(0, wk.MemoryTokens)), Long: uint32(max(0, wk.LongPrompts)),
	}
	if policy.TotalTokens(wk.PrefillTokens) > 0 {
		for _, p := range wk.PrefillTokens {
			u.Prefill = append(u.Prefill, uint64(max(0, p)))
		}
	}
	return u
}

func work(u *peerpb.Usage) fleet.Load {
	wk := fleet.Load{Requests: int(u.GetRequests()), MemoryTokens: int(u.GetMemory()), LongPrompts: int(u.GetLong())}
	for i, p := range u.GetPrefill() {
		if i < policy.NumLengthBands {
			wk.PrefillTokens[i] = int(p)
		}
	}
	return wk
}

// sender returns who a hello says it is from.
func sender(h *peerpb.Hello) fleet.Instance {
	return fleet.Instance{
		Name: h.GetInstance(), Incarnation: h.GetIncarnation(), AvailabilityZone: h.GetAvailabilityZone(),
		PeerAddress: h.GetPeerAddress(), CallersAddress: h.GetCallersAddress(),
	}
}

// applyBeat takes a heartbeat from either side of a stream. Only first beats tell usage.
func (ms *Mesh) applyBeat(from fleet.Instance, pb *peerpb.Beat) {
	b := fleet.Heartbeat{
		Sender: from, BundleVersion: pb.GetBundleVersion(), Stopping: pb.GetStopping(), Leaving: map[string]string{},
	}
	if !pb.GetAnswer() {
		b.Usage = map[string]fleet.Load{}
	}
	for _, u := range pb.GetUsage() {
		b.Usage[u.GetTarget()] = work(u)
	}
	for _, s := range pb.GetSummaries() {
		b.Summaries = append(b.Summaries, fleet.TargetSummary{
			Target: s.GetTotal().GetTarget(), Load: work(s.GetTotal()), Incarnation: s.GetIncarnation(),
			MemoryTotal: int(s.GetMemoryTotal()), ReportedPrefill: int(s.GetReportedPrefill()), PrefillRate: s.GetRate(),
			Age: time.Duration(s.GetAgeMillis()) * time.Millisecond, Models: s.GetModels(),
		})
	}
	for _, l := range pb.GetLeaving() {
		b.Leaving[l.GetTarget()] = l.GetIncarnation()
	}
	ms.fl.ApplyHeartbeat(b)
	ms.renew(from.Incarnation, b.Usage)
	ms.bundles.Hear(pb.GetBundleVersion())
}

// renew extends the grants that a heartbeat tells are in use.
func (ms *Mesh) renew(holder string, usage map[string]fleet.Load) {
	for target, wk := range usage {
		if wk.LongPrompts > 0 {
			ms.grants.Renew(holder, target, wk.LongPrompts)
		}
	}
}
