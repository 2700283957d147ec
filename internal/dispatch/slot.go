package dispatch

import (
	"time"

	"github.com/silvermount/silvermount/internal/placement"
	"github.com/silvermount/silvermount/internal/reservation"
	"github.com/silvermount/silvermount/internal/targets"
)

// Slot is a request's place at a target and its helpers. It is used by one goroutine.
type Slot struct {
	Target  targets.Target
	Helpers []Helper
	// Priority is the rank at the target; negative for plain services.
	Priority int
	// Candidates is how many targets there were to choose from.
	CandidateCount int
	// FirstPredicted and PausePredicted are what the choice expects; zero for plain services.
	PredictedFirstToken, PredictedPause time.Duration

	// At is when the target was chosen.
	ChosenAt time.Time

	ds *Dispatcher
	// engine is nil for plain services.
	engine      *placement.Engine
	prompt      placement.Prompt
	plan        placement.Plan
	reservation *reservation.Reservation
	// booked is what the book holds for this slot until its next step, held what it holds until the end.
	stageLoads, lifetimeLoads []bookedLoad
	generating                bool
	// arrived is when the request came, and eventAt when its last event passed; zero before the first.
	arrived, lastEventAt time.Time
	// late is set once the answer is late for good: no delay can cost it more.
	late bool
}

// booking is one slot's share of the load at one target.
type bookedLoad struct {
	id   string
	load placement.Load
}

// Targets returns the incarnations that take part: the main one and its helpers.
func (sl *Slot) TargetIDs() []string {
	ids := []string{sl.Target.ID}
	for _, hp := range sl.Helpers {
		if hp.ID != sl.Target.ID {
			ids = append(ids, hp.ID)
		}
	}
	return ids
}

// book adds a load that lasts until the slot's next step. The book's lock is held.
func (sl *Slot) addStageLoad(id string, lo placement.Load) {
	sl.stageLoads = append(sl.stageLoads, bookedLoad{id: id, load: lo})
	sl.ds.loads.add(id, lo)
	sl.ds.notifyLoadChange()
}

// bookHeld adds a load that lasts until the slot is released. The book's lock is held.
func (sl *Slot) addLifetimeLoad(id string, lo placement.Load) {
	sl.lifetimeLoads = append(sl.lifetimeLoads, bookedLoad{id: id, load: lo})
	sl.ds.loads.add(id, lo)
}

func (sl *Slot) removeLoads(list []bookedLoad) {
	for _, bl := range list {
		sl.ds.loads.remove(bl.id, bl.load)
	}
}

// FirstToken notes that the answer has begun: the prompt is read everywhere.
func (sl *Slot) RecordFirstToken() {
	if sl.prompt.Tokens == 0 || sl.generating {
		return
	}
	sl.generating = true
	sl.lastEventAt = sl.ds.opts.Now()
	sl.late = sl.late || sl.lastEventAt.Sub(sl.arrived) > sl.prompt.Objective
	sl.ds.loads.mu.Lock()
	defer sl.ds.loads.mu.Unlock()
	sl.removeLoads(sl.stageLoads)
	sl.stageLoads = nil
	writing := sl.prompt.Writing()
	if sl.late {
		writing = sl.prompt.Overdue().Writing()
	}
	if len(sl.plan.Reserve) > 0 {
		writing = writing.WithMemory(0).WithContext(sl.plan.Reserve[0].Tokens)
		for _, sh := range sl.plan.Reserve[1:] {
			sl.addStageLoad(sh.Target, placement.Load{Context: sh.Tokens})
		}
	}
	sl.addStageLoad(sl.plan.Main, writing)
}

// passMargin is how much longer than predicted a pass may take before the target seems lost: predictions are off by about
// a tenth, and the loads they rest on are some milliseconds old.
const silenceMargin = 1.2

// LongestSilence is how long the target may be silent with all that is read there now; zero for plain services.
func (sl *Slot) MaxSilence() time.Duration {
	if sl.engine == nil {
		return 0
	}
	sl.ds.loads.mu.Lock()
	load := sl.ds.loads.total(sl.Target.ID)
	sl.ds.loads.mu.Unlock()
	return time.Duration(silenceMargin * float64(sl.engine.PassTime(placement.Target{Load: load})))
}

// Shed notes that the target turned the request away for lack of room; address names the target at fault when it is a
// helper, which is then no helper for others either.
func (sl *Slot) RecordShed(address string) {
	now := sl.ds.opts.Now()
	for _, hp := range sl.Helpers {
		if hp.Address == address {
			sl.ds.loads.markFull(hp.ID, now.Add(absentPeriod))
			return
		}
	}
	sl.ds.loads.markFull(sl.Target.ID, now.Add(fullPeriod))
}

// Event notes an event passed on. A pause that was too long makes the answer late: its target need not be spared for
// it any more.
func (sl *Slot) RecordEvent() {
	if !sl.generating || sl.late {
		return
	}
	now := sl.ds.opts.Now()
	pause := now.Sub(sl.lastEventAt)
	sl.lastEventAt = now
	if pause > sl.prompt.LongestPause {
		sl.markLate()
	}
}

// lapse books the writer again with its caller's patience alone at stake.
func (sl *Slot) markLate() {
	sl.late = true
	atRisk := sl.prompt.Overdue().Writing().AtRisk
	sl.ds.loads.mu.Lock()
	defer sl.ds.loads.mu.Unlock()
	for i := range sl.stageLoads {
		bl := &sl.stageLoads[i]
		if bl.id != sl.plan.Main {
			continue
		}
		sl.ds.loads.remove(bl.id, bl.load)
		bl.load = bl.load.WithRisk(atRisk)
		sl.ds.loads.add(bl.id, bl.load)
	}
	sl.ds.notifyLoadChange()
}

// Release ends the slot.
func (sl *Slot) Release() {
	sl.ds.loads.mu.Lock()
	sl.removeLoads(sl.stageLoads)
	sl.removeLoads(sl.lifetimeLoads)
	sl.stageLoads, sl.lifetimeLoads = nil, nil
	sl.ds.loads.mu.Unlock()
	sl.ds.notifyLoadChange()
	sl.ds.loads.wakeWaiters()
	if sl.reservation != nil {
		sl.reservation.Release()
		sl.reservation = nil
	}
}

func (ds *Dispatcher) notifyLoadChange() {
	if ds.opts.OnLoadChange != nil {
		ds.opts.OnLoadChange()
	}
}
