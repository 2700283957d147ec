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
	booked, held []booking
	writing      bool
	// arrived is when the request came, and eventAt when its last event passed; zero before the first.
	arrived, eventAt time.Time
	// late is set once the answer is late for good: no delay can cost it more.
	late bool
}

// booking is one slot's share of the load at one target.
type booking struct {
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
func (sl *Slot) book(id string, lo placement.Load) {
	sl.booked = append(sl.booked, booking{id: id, load: lo})
	sl.ds.book.add(id, lo)
	sl.ds.changed()
}

// bookHeld adds a load that lasts until the slot is released. The book's lock is held.
func (sl *Slot) bookHeld(id string, lo placement.Load) {
	sl.held = append(sl.held, booking{id: id, load: lo})
	sl.ds.book.add(id, lo)
}

func (sl *Slot) unbook(list []booking) {
	for _, bk := range list {
		sl.ds.book.remove(bk.id, bk.load)
	}
}

// FirstToken notes that the answer has begun: the prompt is read everywhere.
func (sl *Slot) RecordFirstToken() {
	if sl.prompt.Tokens == 0 || sl.writing {
		return
	}
	sl.writing = true
	sl.eventAt = sl.ds.opts.Now()
	sl.late = sl.late || sl.eventAt.Sub(sl.arrived) > sl.prompt.Objective
	sl.ds.book.mu.Lock()
	defer sl.ds.book.mu.Unlock()
	sl.unbook(sl.booked)
	sl.booked = nil
	writing := sl.prompt.Writing()
	if sl.late {
		writing = sl.prompt.Overdue().Writing()
	}
	if len(sl.plan.Reserve) > 0 {
		writing = writing.WithMemory(0).WithContext(sl.plan.Reserve[0].Tokens)
		for _, sh := range sl.plan.Reserve[1:] {
			sl.book(sh.Target, placement.Load{Context: sh.Tokens})
		}
	}
	sl.book(sl.plan.Main, writing)
}

// passMargin is how much longer than predicted a pass may take before the target seems lost: predictions are off by about
// a tenth, and the loads they rest on are some milliseconds old.
const passMargin = 1.2

// LongestSilence is how long the target may be silent with all that is read there now; zero for plain services.
func (sl *Slot) MaxSilence() time.Duration {
	if sl.engine == nil {
		return 0
	}
	sl.ds.book.mu.Lock()
	load := sl.ds.book.total(sl.Target.ID)
	sl.ds.book.mu.Unlock()
	return time.Duration(passMargin * float64(sl.engine.PassTime(placement.Target{Load: load})))
}

// Shed notes that the target turned the request away for lack of room; address names the target at fault when it is a
// helper, which is then no helper for others either.
func (sl *Slot) RecordShed(address string) {
	now := sl.ds.opts.Now()
	for _, hp := range sl.Helpers {
		if hp.Address == address {
			sl.ds.book.full(hp.ID, now.Add(absentFor))
			return
		}
	}
	sl.ds.book.full(sl.Target.ID, now.Add(fullFor))
}

// Event notes an event passed on. A pause that was too long makes the answer late: its target need not be spared for
// it any more.
func (sl *Slot) RecordEvent() {
	if !sl.writing || sl.late {
		return
	}
	now := sl.ds.opts.Now()
	pause := now.Sub(sl.eventAt)
	sl.eventAt = now
	if pause > sl.prompt.LongestPause {
		sl.lapse()
	}
}

// lapse books the writer again with its caller's patience alone at stake.
func (sl *Slot) lapse() {
	sl.late = true
	atRisk := sl.prompt.Overdue().Writing().AtRisk
	sl.ds.book.mu.Lock()
	defer sl.ds.book.mu.Unlock()
	for i := range sl.booked {
		bk := &sl.booked[i]
		if bk.id != sl.plan.Main {
			continue
		}
		sl.ds.book.remove(bk.id, bk.load)
		bk.load = bk.load.WithRisk(atRisk)
		sl.ds.book.add(bk.id, bk.load)
	}
	sl.ds.changed()
}

// Release ends the slot.
func (sl *Slot) Release() {
	sl.ds.book.mu.Lock()
	sl.unbook(sl.booked)
	sl.unbook(sl.held)
	sl.booked, sl.held = nil, nil
	sl.ds.book.mu.Unlock()
	sl.ds.changed()
	sl.ds.book.wake()
	if sl.reservation != nil {
		sl.reservation.Release()
		sl.reservation = nil
	}
}

func (ds *Dispatcher) changed() {
	if ds.opts.OnLoadChange != nil {
		ds.opts.OnLoadChange()
	}
}
