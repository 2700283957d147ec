package callerapi

import (
	"encoding/json"
	"fmt"
	"math"
	"net/http"
	"strconv"
	"time"

	"github.com/silvermount/silvermount/internal/claim"
	"github.com/silvermount/silvermount/internal/failure"
	"github.com/silvermount/silvermount/internal/responsewriter"
)

const contentTypeEvents = "text/event-stream"

// errorBody is the error object of the OpenAI API, with the outcome added.
type errorBody struct {
	Error errorDetail `json:"error"`
}

type errorDetail struct {
	Message string          `json:"message"`
	Type    string          `json:"type"`
	Code    failure.Code    `json:"code"`
	Outcome failure.Outcome `json:"outcome"`
}

// sink writes a response to the caller and tracks what was sent.
type sink struct {
	*responsewriter.Writer
	// events counts the stream events of the current attempt that were passed to the caller.
	events int
	// payloads holds the data of the events since the request body was last built. It is kept only for classes whose streams
	// may continue on another target.
	payloads [][]byte
	// relayed is set if the response is that of another instance or of a plain service, passed on as it is.
	relayed bool
	// recording, if not nil, receives a copy of all that is written.
	recording *claim.Response
}

func newSink(w http.ResponseWriter) *sink {
	return &sink{Writer: responsewriter.New(w)}
}

// start writes the status line and headers unless they are already written.
func (sk *sink) start(status int, contentType string) {
	if sk.Started() {
		return
	}
	if sk.recording != nil {
		sk.recording.Status, sk.recording.ContentType = status, contentType
	}
	sk.Header().Set("Content-Type", contentType)
	sk.Start(status)
}

// writeBody writes a part of the response body. With flush, it is sent immediately.
func (sk *sink) writeBody(b []byte, flush bool) error {
	if sk.recording != nil {
		sk.recording.Body = append(sk.recording.Body, b...)
	}
	return sk.Forward(b, flush)
}

// writeError ends a response with an error: as an error response if nothing was sent, else as an error event without a
// following [DONE]. It panics with http.ErrAbortHandler if part of a relayed response was sent, whose end only the connection can tell.
func (sk *sink) writeError(err error) {
	fe := failure.FromError(err)
	b, marshalErr := json.Marshal(errorBody{Error: errorDetail{
		Message: fe.Message, Type: errorType(fe.Status()), Code: fe.Code, Outcome: fe.Outcome,
	}})
	if marshalErr != nil {
		return
	}
	if sk.Started() && sk.relayed {
		panic(http.ErrAbortHandler)
	}
	if sk.Started() {
		// A write error means that the caller is gone; there is nobody left to notify.
		_ = sk.Forward(fmt.Appendf(nil, "event: error\ndata: %s\n\n", b), true)
		return
	}
	if fe.RetryAfter > 0 {
		sk.Header().Set("Retry-After", retryAfterSeconds(fe.RetryAfter))
	}
	sk.Header().Set("Content-Type", "application/json")
	sk.Start(fe.Status())
	_ = sk.Forward(b, false)
}

// replay sends the recorded response of an earlier request with the same key or ticket.
func (sk *sink) replay(resp *claim.Response) {
	if !resp.BodyKept {
		sk.writeError(failure.New(failure.KeyInUse, failure.Failed, "the request was run; its answer was too large to keep"))
		return
	}
	sk.start(resp.Status, resp.ContentType)
	// A write error means that the caller is gone; there is nobody left to notify.
	_ = sk.writeBody(resp.Body, false)
}

func retryAfterSeconds(d time.Duration) string {
	return strconv.Itoa(max(1, int(math.Ceil(d.Seconds()))))
}

func errorType(status int) string {
	if status < http.StatusInternalServerError {
		return "invalid_request_error"
	}
	return "server_error"
}
