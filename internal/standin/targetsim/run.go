package targetsim

import (
	"crypto/sha256"
	"encoding/hex"
	"net/http"
	"strconv"
	"time"
)

// The headers that the protocols of all targets share.
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

// defaultPriority is the priority that the protocol gives to a request without HeaderPriority.
const defaultPriority = 5

// State is the state of a run.
type State string

// The states of a run.
const (
	Running State = "running"
	// Done means that the target finished its response, whether the caller received it or not.
	Done State = "done"
	// Cancelled means that the caller closed the connection before the end of the response.
	Cancelled State = "cancelled"
	// Expired means that the deadline passed during the run.
	Expired State = "expired"
	// Aborted means that the target itself ended the run early.
	Aborted State = "broken"
)

// Run records one request that was run.
type Run struct {
	AttemptID  string
	InstanceID string
	Tenant     string
	Method     string
	Host       string
	// URI holds the path and query as they were sent.
	URI    string
	Header http.Header
	// BodyHash is the SHA-256 of the body in hex; it is empty until the whole body has been read.
	BodyHash string
	BodySize int
	// UntilDeadline is the time to the deadline on arrival; zero means that the request has no deadline.
	UntilDeadline time.Duration
	Helpers       string
	LastEventID   string
	Fault         Kind
	State         State
	// Signature is the signature that the target made for the run, also when a fault sent another one.
	Signature string
	// StartedAt is the time at which the run was recorded, with a monotonic clock reading.
	StartedAt time.Time
	// FinishedAt is when the run ended, with a monotonic clock reading; zero while it is Running. All of a response that is Done was
	// written before.
	FinishedAt time.Time
}

// Hash returns the hash of a body in the form of Run.BodyHash.
func Hash(body []byte) string {
	sum := sha256.Sum256(body)
	return hex.EncodeToString(sum[:])
}

func newRun(rq *http.Request, kd Kind) *Run {
	return &Run{
		AttemptID: rq.Header.Get(HeaderAttempt), Tenant: rq.Header.Get(HeaderTenant),
		Method: rq.Method, Host: rq.Host, URI: rq.RequestURI, Header: rq.Header.Clone(),
		UntilDeadline: timeoutOf(rq), Helpers: rq.Header.Get(HeaderHelpers),
		LastEventID: rq.Header.Get(HeaderLastEventID), Fault: kd, State: Running, StartedAt: time.Now(),
	}
}

// timeoutOf returns the time to the deadline, or zero when the request has no valid deadline.
func timeoutOf(rq *http.Request) time.Duration {
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
