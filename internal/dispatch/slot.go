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
	Candidates int
	// FirstPredicted and PausePredicted are what the choice expects; zero for plain services.
	FirstPredicted, PausePredicted time.Duration

	// At is when the target was chosen.
	At time.Time

	ds          *Dispatcher
	prompt      placement.Prompt
	plan        placement.Plan
	reservation *reservation.Reservation
	// booked is what the book holds for this slot until its next step, held what it holds until the end.
	booked, held []booking
	writing      bool
}

// booking is one slot's share of the load at one target.
type booking struct {
	id   string
	load placement.Load
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
func (sl *Slot) FirstToken() {
	if sl.prompt.Tokens == 0 || sl.writing {
		return
	}
	sl.writing = true
	sl.ds.book.mu.Lock()
	defer sl.ds.book.mu.Unlock()
	sl.unbook(sl.booked)
	sl.booked = nil
	writing := sl.prompt.Writing()
	if len(sl.plan.Reserve) > 0 {
		writing = writing.WithMemory(0).WithContext(sl.plan.Reserve[0].Tokens)
		for _, sh := range sl.plan.Reserve[1:] {
			sl.book(sh.Target, placement.Load{Context: sh.Tokens})
		}
	}
	sl.book(sl.plan.Main, writing)
}

// Shed notes that the target turned the request away for lack of room; address names the target at fault when it is a
// helper.
func (sl *Slot) Shed(address string) {
	id := sl.Target.ID
	for _, hp := range sl.Helpers {
		if hp.Address == address {
			id = hp.ID
		}
	}
	sl.ds.book.full(id, sl.ds.opts.Now().Add(fullFor))
}

// Event notes an event passed on.
func (sl *Slot) Event() {}

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
	if ds.opts.Changed != nil {
		ds.opts.Changed()
	}
}
