package gossip

import (
	"container/list"
	"iter"
)

// changeLog orders the records by their last change. A link keeps the number of the newest change that it sent, and finds
// by it what its peer lacks: what a link keeps does not grow with the number of members.
type changeLog struct {
	// last is the number of the newest change.
	newest uint64
	// order holds the records, the last changed first.
	byRecency list.List
}

// changed says what of a record is new.
type changeKind int

const (
	// changedPulse is a newer pulse alone.
	heartbeatChanged changeKind = iota
	// changedAll is all there is to tell, the card too.
	everythingChanged
)

// touch notes a change of a record, which the log need not have held before.
func (cl *changeLog) touch(r *record, what changeKind) {
	cl.newest++
	r.lastChange = cl.newest
	if what >= everythingChanged {
		r.infoChange, r.state.lastChange, r.notes.lastChange = cl.newest, cl.newest, cl.newest
	}
	if r.element == nil {
		r.element = cl.byRecency.PushFront(r)
		return
	}
	cl.byRecency.MoveToFront(r.element)
}

// touchTold notes a change of what a member tells of itself, and of its pulse.
func (cl *changeLog) touchPayload(r *record, td *storedPayload) {
	cl.touch(r, heartbeatChanged)
	td.lastChange = cl.newest
}

// remove forgets a record.
func (cl *changeLog) remove(r *record) {
	if r.element != nil {
		cl.byRecency.Remove(r.element)
		r.element = nil
	}
}

// since returns the records that changed after a change, the last changed first. The log must not change meanwhile.
func (cl *changeLog) since(number uint64) iter.Seq[*record] {
	return func(yield func(*record) bool) {
		for el := cl.byRecency.Front(); el != nil; el = el.Next() {
			r := el.Value.(*record)
			if r.lastChange <= number || !yield(r) {
				return
			}
		}
	}
}
