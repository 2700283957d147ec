package dispatch

import (
	"time"

	"github.com/silvermount/silvermount/internal/placement"
)

// The load that a failed attempt answers: a target that fails all that it is sent, and says that it is well, looks idle. Every
// instance chooses it first, and each has to learn that by failures of its own. A failed attempt therefore counts as reading at its
// target for a while, here and, since that is a load like any other, at the others. It leaves out nothing that answers: where all
// targets fail some, they all look a little busier.

const (
	// failedReading is what a failed attempt counts, as time of reading: about the objective of short prompts, which then prefer any
	// other target.
	failurePrefillTime = 300 * time.Millisecond
	// failedFor is how long it counts: several attempts of the instances that know, one after the other.
	failureLoadPeriod = 2 * time.Second
)

// Failed notes that the target broke the attempt off or failed it.
func (sl *Slot) RecordFailure() {
	if sl.engine == nil {
		return
	}
	load := placement.Load{Parts: sl.engine.ReadWithin(failurePrefillTime)}
	sl.ds.addLoadFor(failureLoadPeriod, sl.Target.ID, load)
}

// addFor adds a load at a target for a time.
func (ds *Dispatcher) addLoadFor(span time.Duration, id string, lo placement.Load) {
	ds.loads.mu.Lock()
	ds.loads.add(id, lo)
	ds.loads.mu.Unlock()
	ds.notifyLoadChange()
	time.AfterFunc(span, func() {
		ds.loads.mu.Lock()
		ds.loads.remove(id, lo)
		ds.loads.mu.Unlock()
		ds.notifyLoadChange()
	})
}
