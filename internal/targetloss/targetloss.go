package targetloss

import (
	"sync"
	"time"
)

// Deps are the dependencies of a Watcher. All fields are required.
type Deps struct {
	// Examine connects to the target at an address, directly or through peers. It returns within about a second.
	Examine func(target, address string) Finding
	// LastSign returns when any target was last heard; zero if none was.
	LastSign func() time.Time
	// LastData returns when an attempt in flight last received data from a target; zero if none did.
	LastData func(target string) time.Time
	// OnLost is called with certain evidence, again for each further order without an answer. No lock is held.
	OnLost func(Evidence)
	// Spawn runs a function in the background.
	Spawn func(func())
	// Now returns the time of a monotonic clock.
	Now func() time.Time
}

// Watcher receives what this process learns of its targets, has suspected targets examined, and reports those that are lost. It is safe
// for concurrent use.
type Watcher struct {
	Deps

	mu      sync.Mutex
	tracker *Tracker
	// examining holds the targets that are being examined. The value is set if further evidence came meanwhile.
	examining map[string]bool
}

// New returns a watcher that suspects no target.
func New(dp Deps) *Watcher {
	return &Watcher{Deps: dp, tracker: NewTracker(), examining: map[string]bool{}}
}

// RecordUnanswered records an order to a target that got no answer while this process was running.
func (wt *Watcher) RecordUnanswered(target, address string, sentAt time.Time) {
	data := wt.LastData(target)
	wt.mu.Lock()
	wt.tracker.RecordData(target, data)
	wt.tracker.RecordUnanswered(target, sentAt, wt.Now())
	wt.mu.Unlock()
	wt.examine(target, address)
}

// RecordAnswer records that a target answered.
func (wt *Watcher) RecordAnswer(target string) {
	wt.mu.Lock()
	defer wt.mu.Unlock()
	wt.tracker.RecordAnswer(target)
}

// RecordSuspicion records another reason to examine a target: its entry is gone, or it is silent.
func (wt *Watcher) RecordSuspicion(target, address string) {
	wt.mu.Lock()
	wt.tracker.RecordSuspicion(target, wt.Now())
	wt.mu.Unlock()
	wt.examine(target, address)
}

// RecordDialFailure records a failed connection to a target. If the finding leaves open whose fault it is or
// is not certain by itself, the target is examined.
func (wt *Watcher) RecordDialFailure(target, address string, fi Finding) {
	data := wt.LastData(target)
	wt.mu.Lock()
	wt.tracker.RecordData(target, data)
	wt.tracker.RecordSuspicion(target, wt.Now())
	ev, certain := wt.tracker.RecordFinding(target, fi, wt.LastSign(), wt.Now())
	wt.mu.Unlock()
	switch {
	case certain:
		ev.ByDial = true
		wt.OnLost(ev)
	case fi == FoundNothing || fi == FoundUnreachable:
		wt.examine(target, address)
	}
}

// RecordSuperseded records that a later incarnation of a target is known.
func (wt *Watcher) RecordSuperseded(target string) { wt.recordFinal(target, Superseded) }

// RecordAddressTaken records that another incarnation answered at the address of a target.
func (wt *Watcher) RecordAddressTaken(target string) { wt.recordFinal(target, AddressTaken) }

func (wt *Watcher) recordFinal(target string, kind Kind) {
	now := wt.Now()
	wt.OnLost(Evidence{Target: target, Kind: kind, Since: now, At: now})
}

// examine has a target examined in the background. At most one examination of a target runs at a time; one more follows if evidence came
// meanwhile.
func (wt *Watcher) examine(target, address string) {
	wt.mu.Lock()
	_, running := wt.examining[target]
	wt.examining[target] = running
	wt.mu.Unlock()
	if running {
		return
	}
	wt.Spawn(func() {
		for wt.examineOnce(target, address) {
		}
	})
}

// examineOnce examines a target, reports it if it is lost, and reports whether to examine it again: further evidence came meanwhile, or it was
// out of reach once, which is not certain by itself.
func (wt *Watcher) examineOnce(target, address string) bool {
	fi := wt.Examine(target, address)
	sign, data := wt.LastSign(), wt.LastData(target)
	wt.mu.Lock()
	wt.tracker.RecordData(target, data)
	ev, certain := wt.tracker.RecordFinding(target, fi, sign, wt.Now())
	again := !certain && (wt.examining[target] || fi == FoundUnreachable && wt.tracker.suspects(target))
	if again {
		wt.examining[target] = false
	} else {
		delete(wt.examining, target)
	}
	wt.mu.Unlock()
	if certain {
		wt.OnLost(ev)
	}
	return again
}
