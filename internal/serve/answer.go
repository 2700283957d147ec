package serve

import (
	"encoding/json"
	"fmt"
	"math"
	"net/http"
	"strconv"
	"time"

	"github.com/silvermount/silvermount/internal/claim"
	"github.com/silvermount/silvermount/internal/failure"
	"github.com/silvermount/silvermount/internal/reply"
)

const contentTypeEvents = "text/event-stream"

// errorBody is the OpenAI error object with the outcome.
type errorBody struct {
	Error errorDetail `json:"error"`
}

type errorDetail struct {
	Message string          `json:"message"`
	Type    string          `json:"type"`
	Code    failure.Code    `json:"code"`
	Outcome failure.Outcome `json:"outcome"`
}

// sink passes an answer on to the caller and remembers what was sent.
type sink struct {
	*reply.Writer
	// events counts the stream events passed on of the present attempt.
	events int
	// payloads are the events' data, for going on elsewhere.
	payloads [][]byte
	// record, when set, keeps all that was written.
	record *claim.Response
}

func newSink(w http.ResponseWriter) *sink {
	return &sink{Writer: reply.New(w)}
}

func (sk *sink) start(status int, contentType string) {
	if sk.Started() {
		return
	}
	if sk.record != nil {
		sk.record.Status, sk.record.ContentType = status, contentType
	}
	sk.Header().Set("Content-Type", contentType)
	sk.Start(status)
}

// pass writes a part of the answer, and sends it at once with flush.
func (sk *sink) pass(b []byte, flush bool) error {
	if sk.record != nil {
		sk.record.Body = append(sk.record.Body, b...)
	}
	return sk.Forward(b, flush)
}

// fail ends an answer with an error: as a response when nothing was sent, else as an event without a [DONE].
func (sk *sink) fail(err error) {
	fe := failure.FromError(err)
	b, merr := json.Marshal(errorBody{Error: errorDetail{
		Message: fe.Message, Type: errorType(fe.Status()), Code: fe.Code, Outcome: fe.Outcome,
	}})
	if merr != nil {
		return
	}
	if sk.Started() {
		// The caller may be gone; nothing more can be done for it.
		_ = sk.Forward(fmt.Appendf(nil, "event: error\ndata: %s\n\n", b), true)
		return
	}
	if fe.RetryAfter > 0 {
		sk.Header().Set("Retry-After", retryAfter(fe.RetryAfter))
	}
	sk.Header().Set("Content-Type", "application/json")
	sk.Start(fe.Status())
	_ = sk.Forward(b, false)
}

// replay sends a recorded answer.
func (sk *sink) replay(ans *claim.Response) {
	if !ans.BodyKept {
		sk.fail(failure.New(failure.KeyInUse, failure.Failed, "the request was run; its answer was too large to keep"))
		return
	}
	sk.start(ans.Status, ans.ContentType)
	// The caller may be gone; nothing more can be done for it.
	_ = sk.pass(ans.Body, false)
}

func retryAfter(d time.Duration) string {
	return strconv.Itoa(max(1, int(math.Ceil(d.Seconds()))))
}

func errorType(status int) string {
	if status < http.StatusInternalServerError {
		return "invalid_request_error"
	}
	return "server_error"
}
