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
	// predicted is the duration of the pass, given the load that was known then.
	predicted time.Duration
}

// predictPass returns the duration of the next pass of the slot's target at the pace that its service states.
func (sl *Slot) predictPass() time.Duration {
	sl.ds.loadTable.mu.Lock()
	load := sl.ds.loadTable.total(sl.Target.ID)
	sl.ds.loadTable.mu.Unlock()
	return sl.engine.PassTime(placement.Target{Load: load})
}

// samplesPasses reports whether the events of the slot's answer show the passes of its target. With memory at several targets, a step also
// waits for the others.
func (sl *Slot) samplesPasses() bool {
	return sl.ds.opts.OnSample != nil && sl.engine != nil && len(sl.plan.MemoryShares) == 0
}

// samplePass reports the pass that an event ends. The longer of the predictions at both ends of the pass counts, so that a prefill that
// becomes known during the pass explains its delay.
func (sl *Slot) samplePass() {
	if !sl.decoding || !sl.samplesPasses() {
		return
	}
	now, predicted := sl.ds.opts.Now(), sl.predictPass()
	if !sl.pass.at.IsZero() {
		sl.ds.opts.OnSample(Sample{
			Kind: SamplePass, Target: sl.Target.ID, Predicted: max(predicted, sl.pass.predicted), Observed: now.Sub(sl.pass.at),
			StartedAt: sl.pass.at, EndedAt: now,
		})
	}
	sl.pass = passStart{at: now, predicted: predicted}
}

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

// isReturning reports whether a target returns gradually.
func (ds *Dispatcher) isReturning(target string) bool {
	return ds.opts.Returning != nil && ds.opts.Returning(target)
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
