package dispatch

import (
	"time"

	"github.com/silvermount/silvermount/internal/placement"
)

// A target that fails every request while reporting itself healthy looks idle. Every instance would choose it first, and
// would have to learn about it from failures of its own. A failed attempt therefore counts as prefill load at its target for
// a while, on this instance and, since it is published like any other load, on its peers. No target that works is excluded:
// where all targets fail some requests, all of them just look slightly busier.

const (
	// failurePrefillTime is the prefill load that one failed attempt counts as: about the objective of short prompts, which
	// then prefer any other target.
	failurePrefillTime = 300 * time.Millisecond
	// failureLoadPeriod is how long that load counts: the time of several consecutive attempts by the instances that know of
	// it.
	failureLoadPeriod = 2 * time.Second
)

// RecordFailure records that the target interrupted or failed the attempt.
func (sl *Slot) RecordFailure() {
	sl.sampleOutcome(SampleFailure)
	sl.rejected = true
	if sl.engine == nil {
		return
	}
	load := placement.Load{SplitPrefill: sl.engine.PrefillWithin(failurePrefillTime)}
	sl.ds.addLoadFor(failureLoadPeriod, sl.Target.ID, load)
}

// addLoadFor adds a load at a target and removes it after a period.
func (ds *Dispatcher) addLoadFor(span time.Duration, id string, lo placement.Load) {
	ds.loadTable.mu.Lock()
	ds.loadTable.add(id, lo)
	ds.loadTable.mu.Unlock()
	ds.notifyLoadChange()
	time.AfterFunc(span, func() {
		ds.loadTable.mu.Lock()
		ds.loadTable.remove(id, lo)
		ds.loadTable.mu.Unlock()
		ds.notifyLoadChange()
	})
}
