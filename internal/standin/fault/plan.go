package fault

import "sync"

// Kind names one way in which a target misbehaves for one request.
type Kind string

// The faults. A request is run in all of them but Refuse.
const (
	// None is the ordinary case.
	None Kind = ""
	// Reset runs the request and resets the connection in place of an answer.
	Reset Kind = "reset"
	// Cut closes the connection in the middle of an event, or of a plain body.
	Truncate Kind = "cut"
	// Hang runs the request and stays silent until the caller closes the connection.
	Hang Kind = "hang"
	// Fail answers 500.
	InternalError Kind = "fail"
	// Refuse answers 503 and says that the request was not run.
	Refuse Kind = "refuse"
	// WrongAttempt answers under the id of another attempt.
	WrongAttempt Kind = "wrong-attempt"
	// Surplus sends one more answer right after a whole one.
	ExtraResponse Kind = "surplus"
	// LateSurplus sends one more answer in place of the next one that is due on the connection.
	DelayedExtraResponse Kind = "late-surplus"
	// NoLength sends an answer that ends when the connection does.
	NoLength Kind = "no-length"
	// Early answers before the body is read, and reads it afterwards.
	EarlyResponse Kind = "early"
	// Encoded names an encoding of the body.
	WrongEncoding Kind = "encoded"
	// WrongSignature signs as another incarnation.
	WrongSignature Kind = "wrong-signature"
	// NoSignature leaves the signature out.
	NoSignature Kind = "no-signature"
	// Garbage sends bytes that are not HTTP and closes the connection.
	Garbage Kind = "garbage"
)

// plan holds the faults of the requests to come.
type plan struct {
	mu sync.Mutex
	// queue holds one entry for each request to come; the requests after them have no fault.
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
