package gateway

import (
	"strconv"

	"github.com/silvermount/silvermount/internal/upstream"
)

// extent is what is known of how far a stream goes, which several targets may have sent.
type extent struct {
	// minLastID is the smallest id that the last event of the whole stream can have; negative if unknown.
	minLastID int64
	// lastID is the id of the last event of the latest attempt. Before its first event it is that of the last event that the caller has, after
	// which a target goes on.
	lastID int64
	// withoutID is set if an event of the latest attempt had no id.
	withoutID bool
}

// ShortStreamError means that a stream ended before an event that belongs to it.
type ShortStreamError struct {
	// LastID is the id of the last event, MinID the smallest id that the last event can have. Both are negative if there was no event.
	LastID, MinID int64
}

// Error names the events.
func (se *ShortStreamError) Error() string {
	if se.MinID < 0 {
		return "stream ended with its connection before its first event"
	}
	return "stream ended after event " + strconv.FormatInt(se.LastID, 10) + ", although its last event is " +
		strconv.FormatInt(se.MinID, 10) + " or later"
}

// beginStream begins the stream of an attempt.
func (rq *request) beginStream() {
	rq.eventsOfAttempt = 0
	rq.extent.lastID, rq.extent.withoutID = rq.forwardedEventID, false
}

// recordEvent records that an event was received.
func (rq *request) recordEvent(ev event) {
	rq.eventsOfAttempt++
	rq.extent.lastID = ev.id
	rq.extent.withoutID = rq.extent.withoutID || ev.id < 0
}

// recordCut records that the stream of an attempt was cut. An event that has begun follows the last whole one.
func (rq *request) recordCut(withinEvent bool) {
	if withinEvent && !rq.extent.withoutID {
		rq.extent.minLastID = max(rq.extent.minLastID, rq.extent.lastID+1)
	}
}

// checkExtent checks a stream that was received to its end. It returns a ShortStreamError if that lies before an event that the caller has, or that
// an earlier target had begun. Every stream has an event, so that a connection that ends before it does not end the stream.
func (rq *request) checkExtent(fr upstream.Framing) error {
	if fr == upstream.ByConnection && rq.eventsOfAttempt == 0 && rq.forwardedEventID < 0 {
		return &ShortStreamError{LastID: -1, MinID: -1}
	}
	if minID := max(rq.extent.minLastID, rq.forwardedEventID); !rq.extent.withoutID && rq.extent.lastID < minID {
		return &ShortStreamError{LastID: rq.extent.lastID, MinID: minID}
	}
	return nil
}
