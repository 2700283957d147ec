package targetsim

import "sync"

// Kind is a kind of fault that is injected into one request.
type Kind string

// The kinds of faults. The request is run in all of them except Refuse.
const (
	// None injects no fault.
	None Kind = ""
	// Reset runs the request and resets the connection instead of sending a response.
	Reset Kind = "reset"
	// Truncate closes the connection in the middle of an event, or of a body with a known length.
	Truncate Kind = "cut"
	// Kill kills the process of the target after TruncateAfter complete events, or half of a body that is sent at once. The kernel closes
	// its connections in order.
	Kill Kind = "kill"
	// Hang runs the request and sends nothing until the caller closes the connection.
	Hang Kind = "hang"
	// InternalError responds with status 500.
	InternalError Kind = "fail"
	// Refuse responds with status 503 and HeaderNotExecuted.
	Refuse Kind = "refuse"
	// WrongAttempt responds with the id of another attempt.
	WrongAttempt Kind = "wrong-attempt"
	// ExtraResponse sends an unsolicited second response right after the complete first one.
	ExtraResponse Kind = "surplus"
	// DelayedExtraResponse sends an unsolicited response in front of the next response on the same connection.
	DelayedExtraResponse Kind = "late-surplus"
	// NoLength sends a response without a length, which ends when the connection is closed.
	NoLength Kind = "no-length"
	// EarlyResponse responds before the request body is read, and reads the body afterwards.
	EarlyResponse Kind = "early"
	// WrongEncoding sets a Content-Encoding that the body does not have.
	WrongEncoding Kind = "encoded"
	// WrongSignature sends the signature of another incarnation.
	WrongSignature Kind = "wrong-signature"
	// NoSignature omits the signature.
	NoSignature Kind = "no-signature"
	// InvalidStatus sends the response with status 000, which HTTP does not know.
	InvalidStatus Kind = "invalid-status"
	// Garbage sends bytes that are not HTTP and closes the connection.
	Garbage Kind = "garbage"
	// EndlessHead sends header fields until the caller closes the connection, EndlessLine one header line, and EndlessEvent a line of a
	// body.
	EndlessHead  Kind = "endless-head"
	EndlessLine  Kind = "endless-line"
	EndlessEvent Kind = "endless-event"
	// TrickledHead sends a head that does not end, one byte at a time.
	TrickledHead Kind = "trickled-head"
)

// plan holds the faults that are injected into the next requests.
type plan struct {
	mu sync.Mutex
	// queue holds one entry for each of the next requests; later requests have no fault.
	queue []Kind
}

func (pl *plan) add(kd Kind, n int) {
	pl.mu.Lock()
	defer pl.mu.Unlock()
	for range n {
		pl.queue = append(pl.queue, kd)
	}
}

func (pl *plan) clear() {
	pl.mu.Lock()
	defer pl.mu.Unlock()
	pl.queue = nil
}

// take removes and returns the fault of the next request.
func (pl *plan) take() Kind {
	pl.mu.Lock()
	defer pl.mu.Unlock()
	if len(pl.queue) == 0 {
		return None
	}
	kd := pl.queue[0]
	pl.queue = pl.queue[1:]
	return kd
}
