package fault

import (
	"crypto/sha256"
	"encoding/hex"
	"net/http"
	"strconv"
	"time"
)

// The headers of the protocol that all targets share.
const (
	HeaderAttempt        = "X-Attempt-Id"
	HeaderDeadline       = "X-Deadline-Ms"
	HeaderExpectInstance = "X-Expect-Instance"
	HeaderInstance       = "X-Instance-Id"
	HeaderNotExecuted    = "X-Not-Executed"
	HeaderSignature      = "X-Engine-Signature"
	HeaderTenant         = "X-Tenant"
	HeaderPriority       = "Priority"
	HeaderLastEventID    = "Last-Event-Id"
	HeaderHelpers        = "Helpers"
	HeaderAtServer       = "At-Server"
)

// defaultPriority is that of a request without HeaderPriority, from the protocol.
const defaultPriority = 5

// State says how far a run has come.
type State string

// The states of a run.
const (
	Running State = "running"
	// Done means that the target came to the end of its answer, whether the caller got it or not.
	Done State = "done"
	// Cancelled means that the caller closed the connection before the end.
	Cancelled State = "cancelled"
	// Expired means that the deadline passed during the run.
	Expired State = "expired"
	// Broken means that the target cut the run off by itself.
	Aborted State = "broken"
)

// Run is the record of one request that was run.
type Run struct {
	AttemptID  string
	InstanceID string
	Tenant     string
	Method     string
	Host       string
	// URI is the path and query as sent.
	URI    string
	Header http.Header
	// BodyHash is the SHA-256 of the body in hex; it is empty while the body is not read to its end.
	BodyHash string
	BodySize int
	// Deadline is the time that was left on arrival; zero means that the request named none.
	UntilDeadline time.Duration
	Helpers       string
	LastEventID   string
	Fault         Kind
	State         State
	// Signature is what the target signed with, also when a fault sent another.
	Signature string
	// Began is when the run was recorded, on the steady clock.
	StartedAt time.Time
}

// Hash returns the form in which Run holds the hash of a body.
func Hash(body []byte) string {
	sum := sha256.Sum256(body)
	return hex.EncodeToString(sum[:])
}

func newRun(rq *http.Request, kd Kind) *Run {
	return &Run{
		AttemptID: rq.Header.Get(HeaderAttempt), Tenant: rq.Header.Get(HeaderTenant),
		Method: rq.Method, Host: rq.Host, URI: rq.RequestURI, Header: rq.Header.Clone(),
		UntilDeadline: deadlineOf(rq), Helpers: rq.Header.Get(HeaderHelpers),
		LastEventID: rq.Header.Get(HeaderLastEventID), Fault: kd, State: Running, StartedAt: time.Now(),
	}
}

// deadlineOf returns zero when the request names no valid deadline.
func deadlineOf(rq *http.Request) time.Duration {
	ms, err := strconv.ParseFloat(rq.Header.Get(HeaderDeadline), 64)
	if err != nil {
		return 0
	}
	return time.Duration(ms * float64(time.Millisecond))
}

func priorityOf(rq *http.Request) int {
	n, err := strconv.Atoi(rq.Header.Get(HeaderPriority))
	if err != nil {
		return defaultPriority
	}
	return n
}
