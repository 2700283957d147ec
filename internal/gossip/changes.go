package gossip

import (
	"container/list"
	"iter"
)

// changeLog orders the records by their last change. A link stores only the number of the newest change that it has sent and
// looks up later ones here, so the memory per link does not grow with the number of members.
type changeLog struct {
	// newest is the number of the last change; numbers start at 1.
	newest uint64
	// byRecency holds the records, the last changed first.
	byRecency list.List
}

// changeKind is the extent of a change to a record.
type changeKind int

const (
	// heartbeatChanged covers the heartbeat only.
	heartbeatChanged changeKind = iota
	// everythingChanged covers the member info, state, notes, load report and heartbeat.
	everythingChanged
)

// touch logs a change of a record, and adds the record if the log does not hold it yet.
func (cl *changeLog) touch(r *record, kind changeKind) {
	cl.newest++
	r.lastChange = cl.newest
	if kind >= everythingChanged {
		r.infoChange, r.state.lastChange, r.notes.lastChange, r.loadReport.lastChange = cl.newest, cl.newest, cl.newest, cl.newest
	}
	if r.element == nil {
		r.element = cl.byRecency.PushFront(r)
		return
	}
	cl.byRecency.MoveToFront(r.element)
}

// touchPayload logs a change of a member's state, notes or load report and of its heartbeat.
func (cl *changeLog) touchPayload(r *record, sp *storedPayload) {
	cl.touch(r, heartbeatChanged)
	sp.lastChange = cl.newest
}

func (cl *changeLog) remove(r *record) {
	if r.element != nil {
		cl.byRecency.Remove(r.element)
		r.element = nil
	}
}

// since returns the records changed after the given change, the last changed first. The log must not be modified during the
// iteration.
func (cl *changeLog) since(change uint64) iter.Seq[*record] {
	return func(yield func(*record) bool) {
		for el := cl.byRecency.Front(); el != nil; el = el.Next() {
			r := el.Value.(*record)
			if r.lastChange <= change || !yield(r) {
				return
			}
		}
	}
}
