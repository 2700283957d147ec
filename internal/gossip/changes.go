package gossip

import (
	"container/list"
	"iter"
)

// changeLog orders the records by their last change. A link keeps the number of the newest change that it sent, and finds
// by it what its peer lacks: what a link keeps does not grow with the number of members.
type changeLog struct {
	// last is the number of the newest change.
	last uint64
	// order holds the records, the last changed first.
	order list.List
}

// changed says what of a record is new.
type changed int

const (
	// changedPulse is a newer pulse alone.
	changedPulse changed = iota
	// changedAll is all there is to tell, the card too.
	changedAll
)

// touch notes a change of a record, which the log need not have held before.
func (cl *changeLog) touch(r *record, what changed) {
	cl.last++
	r.changed = cl.last
	if what >= changedAll {
		r.cardChanged, r.state.changed, r.notes.changed = cl.last, cl.last, cl.last
	}
	if r.place == nil {
		r.place = cl.order.PushFront(r)
		return
	}
	cl.order.MoveToFront(r.place)
}

// touchTold notes a change of what a member tells of itself, and of its pulse.
func (cl *changeLog) touchTold(r *record, td *told) {
	cl.touch(r, changedPulse)
	td.changed = cl.last
}

// remove forgets a record.
func (cl *changeLog) remove(r *record) {
	if r.place != nil {
		cl.order.Remove(r.place)
		r.place = nil
	}
}

// since returns the records that changed after a change, the last changed first. The log must not change meanwhile.
func (cl *changeLog) since(number uint64) iter.Seq[*record] {
	return func(yield func(*record) bool) {
		for el := cl.order.Front(); el != nil; el = el.Next() {
			r := el.Value.(*record)
			if r.changed <= number || !yield(r) {
				return
			}
		}
	}
}
