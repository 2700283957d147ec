package dispatch

import (
	"time"

	"github.com/silvermount/silvermount/internal/placement"
	"github.com/silvermount/silvermount/internal/routes"
)

// SampleKind is what a sample observed.
type SampleKind int

// The kinds.
const (
	// SamplePass is the time between two events of an answer, which is one pass of the engine.
	SamplePass SampleKind = iota
	// SampleFirstToken is the time from the choice of the target to the first token. For a plain target, whose pace is not predicted, the
	// times are zero.
	SampleFirstToken
	// SampleShed is a request that the target rejected for lack of room.
	SampleShed
	// SampleFailure is an attempt that the target interrupted or failed.
	SampleFailure
)

// Sample is what one request shows of the pace of its target.
type Sample struct {
	Kind SampleKind
	// Target is the incarnation.
	Target string
	// Predicted is the time at the pace that the service states, Observed the time that it took. Both are zero if nothing is predicted.
	Predicted, Observed time.Duration
	StartedAt, EndedAt  time.Time
}

// passStart is the beginning of an engine pass.
type passStart struct {
	// at is when the previous event arrived; zero before the first.
	at time.Time
	// load is the load of the target that was known then.
	load placement.Load
	// addedBefore and added are the prefill that had been added at the target at the beginning of the pass before this one, and of this one.
	addedBefore, added placement.Backlog
}

// targetLoad returns the load of the slot's target, and the prefill added there so far.
func (sl *Slot) targetLoad() (placement.Load, placement.Backlog) {
	sl.ds.loadTable.mu.Lock()
	defer sl.ds.loadTable.mu.Unlock()
	return sl.ds.loadTable.total(sl.Target.ID), sl.ds.loadTable.prefillAdded[sl.Target.ID]
}

// samplesPasses reports whether the events of the slot's answer show the passes of its target. With memory at several targets, a step also
// waits for the others.
func (sl *Slot) samplesPasses() bool {
	return sl.ds.opts.OnSample != nil && sl.engine != nil && len(sl.plan.MemoryShares) == 0
}

// samplePass reports the pass that an event ends.
func (sl *Slot) samplePass() {
	if !sl.decoding || !sl.samplesPasses() {
		return
	}
	now := sl.ds.opts.Now()
	load, added := sl.targetLoad()
	next := passStart{at: now, load: load, addedBefore: sl.pass.added, added: added}
	if sl.pass.at.IsZero() {
		// What was added before is not known, and may be in the first pass.
		next.addedBefore = placement.Backlog{}
	} else {
		sl.ds.opts.OnSample(Sample{
			Kind: SamplePass, Target: sl.Target.ID, Predicted: sl.predictPass(load, added), Observed: now.Sub(sl.pass.at),
			StartedAt: sl.pass.at, EndedAt: now,
		})
	}
	sl.pass = next
}

// predictPass returns how long the pass that began at the previous event takes at the pace that the service states, given the load and the
// prefill added at its end. The pass includes the prefill that was added during the one before. What became known during the pass itself is
// included as well, because loads are known some milliseconds late. A pass has no more prefill than the load that counts at its start or end.
func (sl *Slot) predictPass(load placement.Load, added placement.Backlog) time.Duration {
	if sl.pass.load.Decoding > load.Decoding {
		load.Decoding, load.ContextTokens = sl.pass.load.Decoding, sl.pass.load.ContextTokens
	}
	inTable := max(backlogOf(sl.pass.load).Tokens, backlogOf(load).Tokens)
	done := placement.Backlog{
		Tokens: max(0, min(inTable, added.Tokens-sl.pass.addedBefore.Tokens)), Pairs: max(0, added.Pairs-sl.pass.addedBefore.Pairs),
	}
	load.WholePrefill, load.SplitPrefill = done, placement.Backlog{}
	return sl.engine.PassTime(placement.Target{Load: load})
}

// backlogOf returns the prefill of a load.
func backlogOf(lo placement.Load) placement.Backlog { return lo.WholePrefill.Plus(lo.SplitPrefill) }

// SkipPass records that the next event arrived earlier than it is read, so that it does not show when a pass ended.
func (sl *Slot) SkipPass() { sl.pass = passStart{} }

// sampleFirstToken reports the time to the first token. A resumed answer, or one whose prompt is split, depends on more than its target.
func (sl *Slot) sampleFirstToken() {
	if sl.ds.opts.OnSample == nil || sl.decoding || len(sl.Helpers) > 0 {
		return
	}
	now := sl.ds.opts.Now()
	sa := Sample{Kind: SampleFirstToken, Target: sl.Target.ID, StartedAt: sl.ChosenAt, EndedAt: now}
	if sl.PredictedFirstToken > 0 {
		sa.Predicted, sa.Observed = sl.PredictedFirstToken, now.Sub(sl.ChosenAt)
	}
	sl.ds.opts.OnSample(sa)
}

// sampleOutcome reports an attempt without a good answer.
func (sl *Slot) sampleOutcome(kind SampleKind) {
	if sl.ds.opts.OnSample != nil {
		sl.ds.opts.OnSample(Sample{Kind: kind, Target: sl.Target.ID, StartedAt: sl.ChosenAt, EndedAt: sl.ds.opts.Now()})
	}
}

// RecordFailedAnswer records that the answer of the target, which is forwarded, reports a failure of its own.
func (sl *Slot) RecordFailedAnswer() { sl.sampleOutcome(SampleFailure) }

// returning reports whether a target returns gradually, and whether it has shown yet that it answers as before.
func (ds *Dispatcher) returning(target string) (returning, proven bool) {
	if ds.opts.Returning == nil {
		return false, true
	}
	return ds.opts.Returning(target)
}

// limitReturning blocks the targets that return gradually for requests that may not use them now. It is called after the targets are divided
// into pools: a limit that blocks a target for some milliseconds at a time must not change the pool of the others.
func (ds *Dispatcher) limitReturning(rq Request, cands []placement.Target) {
	if ds.opts.Returning == nil {
		return
	}
	for i := range cands {
		returning, proven := ds.returning(cands[i].Name)
		if !returning {
			continue
		}
		_, _, blocked := ds.blocked(rq, cands[i].Name)
		cands[i].CanHelp = cands[i].CanHelp && proven
		cands[i].Blocked = blocked || !proven && rq.isLong() && !rq.Resumed
	}
}

// InFlight returns the number of requests of all instances in flight at each of some targets.
func (ds *Dispatcher) InFlight(ids []string) []int {
	ds.loadTable.mu.Lock()
	defer ds.loadTable.mu.Unlock()
	counts := make([]int, len(ids))
	for i, id := range ids {
		lo := ds.loadTable.total(id)
		counts[i] = lo.Prefilling + lo.Decoding
	}
	return counts
}

// plainAnswerTime is how long a plain target is assumed to need for a request: the bound on the shortest objectives.
const plainAnswerTime = 250 * time.Millisecond

// AnswerTime returns how long a target of a service takes for a request.
func AnswerTime(sv routes.Service) time.Duration {
	if sv.Engine == nil {
		return plainAnswerTime
	}
	return meanAnswerTime(sv.Engine)
}
