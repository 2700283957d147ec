// Package engine provides a client for the HTTP API of a model engine.
package engine

import (
	"bytes"
	"context"
	"encoding/json"
	"net"
	"net/http"
	"strconv"
	"time"

	"github.com/cockroachdb/errors"

	"github.com/silvermount/silvermount/internal/boundedread"
)

// The headers of an attempt and of its response.
const (
	HeaderAttempt  = "Silvermount-Attempt"
	HeaderHolder   = "X-Holder"
	HeaderDeadline = "Silvermount-Deadline-Ms"
	HeaderPriority = "X-Priority"
	HeaderBorrowed = "X-Borrowed-Tokens"
	// HeaderNotStarted is set in the response by an engine that refuses an attempt before it starts it.
	HeaderNotStarted = "X-Not-Started"
)

// BytesPerToken is the assumed size of a token, for estimates of prompt lengths before an engine has counted the tokens.
const BytesPerToken = 4

// Report is the load that an engine reports. It lags behind the engine's present state.
type Report struct {
	// Incarnation is unique to one run of the engine's process.
	Incarnation string `json:"incarnation"`
	// Leaving is set once the engine has been asked to stop. It is never reset within one incarnation.
	Leaving bool `json:"leaving"`
	// Running and Queued are numbers of sequences.
	Running int `json:"running"`
	Queued  int `json:"queued"`
	// PrefillTokens is the number of prompt tokens that are still to be prefilled, over all sequences.
	PrefillTokens int `json:"prefill_tokens"`
	// MemoryUsed and MemoryTotal are amounts of KV cache memory, in tokens.
	MemoryUsed  int `json:"memory_used"`
	MemoryTotal int `json:"memory_total"`
	// PrefillRate is in tokens per second while the engine prefills.
	PrefillRate float64 `json:"prefill_rate"`
	// Models are the models that are loaded at present.
	Models []string `json:"models"`
}

// MemoryHold is the memory that an engine holds for one running sequence or one reservation.
type MemoryHold struct {
	// Attempt is the id of the attempt.
	Attempt string `json:"attempt"`
	// Holder is the incarnation of the instance that started the attempt.
	Holder string `json:"holder"`
	// RemainingMillis is the time to the attempt's deadline. It is negative after the deadline.
	RemainingMillis int64 `json:"left_ms"`
	// Tokens is the amount of memory held, in tokens.
	Tokens int `json:"tokens"`
}

// Attempt is one call of an engine for a request. Each retry is a new attempt.
type Attempt struct {
	// ID is unique to the attempt.
	ID string
	// Holder is the incarnation of the calling instance.
	Holder string
	// Path is the path of the engine's URL, such as /v1/completions.
	Path string
	// Body is the request body. It is sent unchanged.
	Body []byte
	// Priority is higher for more urgent work.
	Priority int
	// Remaining is the time to the deadline.
	Remaining time.Duration
	// NewConnection makes the client open a new connection. A reused idle connection may be broken, and the outcome of the attempt
	// would then be unknown.
	NewConnection bool
	// BorrowedTokens is the amount of memory reserved on other engines, in tokens. It is zero for prompts that fit on one engine.
	BorrowedTokens int
}

// Order tells an engine which models to load.
type Order struct {
	// Epoch and Sequence are the fencing token of the order, compared in this order. An engine that checks them refuses orders
	// that are older than the last one it applied.
	Epoch    int64 `json:"epoch"`
	Sequence int64 `json:"sequence"`
	// Models is the complete set of models to have loaded.
	Models []string `json:"models"`
}

// StatusError is returned if an engine answers with a status other than 200.
type StatusError struct {
	// Status is the HTTP status.
	Status int
	// NotStarted is true if the engine stated that it did not start the attempt.
	NotStarted bool
}

// Error includes the status.
func (se *StatusError) Error() string { return "engine answered status " + strconv.Itoa(se.Status) }

// IsDialError reports whether a call failed because no connection was made. Nothing can have been sent in that case.
func IsDialError(err error) bool {
	var op *net.OpError
	return errors.As(err, &op) && op.Op == "dial"
}

// Client calls one engine. Its functions are fields, so that a client for another engine protocol can be put in its place.
type Client struct {
	// Start sends an attempt and returns the response as soon as its header has arrived.
	Start func(ctx context.Context, at Attempt) (*http.Response, error)
	// Resume returns the rest of the token stream of an attempt, after the given number of tokens.
	Resume func(ctx context.Context, id string, from int) (*http.Response, error)
	// Cancel cancels an attempt and frees its memory.
	Cancel func(ctx context.Context, id string) error
	// Report returns the engine's load.
	Report func(ctx context.Context) (Report, error)
	// ListMemoryHolds returns the memory holds of the engine.
	ListMemoryHolds func(ctx context.Context) ([]MemoryHold, error)
	// Reserve reserves memory for a part of a prompt that does not fit on one engine.
	Reserve func(ctx context.Context, hold MemoryHold) error
	// Order tells the engine which models to load.
	Order func(ctx context.Context, o Order) error
}

// New returns an HTTP client for the engine at the base URL. newConn is used for attempts that need a new connection and must not
// reuse connections.
func New(base string, hc, newConn *http.Client) *Client {
	cl := &httpClient{base: base, http: hc, newConnHTTP: newConn}
	return &Client{
		Start: cl.start, Resume: cl.resume, Cancel: cl.cancel,
		Report: cl.report, ListMemoryHolds: cl.listMemoryHolds, Reserve: cl.reserve, Order: cl.order,
	}
}

type httpClient struct {
	base        string
	http        *http.Client
	newConnHTTP *http.Client
}

func (hc *httpClient) start(ctx context.Context, at Attempt) (*http.Response, error) {
	req, err := http.NewRequestWithContext(ctx, http.MethodPost, hc.base+at.Path, bytes.NewReader(at.Body))
	if err != nil {
		return nil, errors.Wrap(err, "create engine request")
	}
	// Without GetBody, the transport cannot resend the attempt by itself, which could run it twice.
	req.GetBody = nil
	req.Header.Set("Content-Type", "application/json")
	req.Header.Set(HeaderAttempt, at.ID)
	req.Header.Set(HeaderHolder, at.Holder)
	req.Header.Set(HeaderDeadline, strconv.FormatInt(at.Remaining.Milliseconds(), 10))
	req.Header.Set(HeaderPriority, strconv.Itoa(at.Priority))
	if at.BorrowedTokens > 0 {
		req.Header.Set(HeaderBorrowed, strconv.Itoa(at.BorrowedTokens))
	}
	if at.NewConnection {
		return do(hc.newConnHTTP, req)
	}
	return do(hc.http, req)
}

func (hc *httpClient) resume(ctx context.Context, id string, from int) (*http.Response, error) {
	return hc.call(ctx, http.MethodGet, "/control/resume/"+id+"?from="+strconv.Itoa(from), nil)
}

func (hc *httpClient) cancel(ctx context.Context, id string) error {
	resp, err := hc.call(ctx, http.MethodPost, "/control/cancel/"+id, nil)
	if err != nil {
		return err
	}
	return resp.Body.Close()
}

func (hc *httpClient) report(ctx context.Context) (Report, error) {
	var r Report
	return r, hc.getJSON(ctx, "/control/report", &r)
}

func (hc *httpClient) listMemoryHolds(ctx context.Context) ([]MemoryHold, error) {
	var h []MemoryHold
	return h, hc.getJSON(ctx, "/control/held", &h)
}

func (hc *httpClient) reserve(ctx context.Context, hold MemoryHold) error {
	resp, err := hc.call(ctx, http.MethodPost, "/control/room", hold)
	if err != nil {
		return err
	}
	return resp.Body.Close()
}

func (hc *httpClient) order(ctx context.Context, o Order) error {
	resp, err := hc.call(ctx, http.MethodPost, "/control/order", o)
	if err != nil {
		return err
	}
	return resp.Body.Close()
}

// maxControlBytes bounds a report or a list of memory holds, of which an engine has as many as requests.
const maxControlBytes = 4 << 20

func (hc *httpClient) getJSON(ctx context.Context, path string, into any) error {
	resp, err := hc.call(ctx, http.MethodGet, path, nil)
	if err != nil {
		return err
	}
	defer resp.Body.Close()
	return errors.Wrap(boundedread.JSON(resp.Body, maxControlBytes, into), "decode engine response")
}

func (hc *httpClient) call(ctx context.Context, method, path string, body any) (*http.Response, error) {
	b, err := json.Marshal(body)
	if err != nil {
		return nil, errors.Wrap(err, "encode engine request")
	}
	req, err := http.NewRequestWithContext(ctx, method, hc.base+path, bytes.NewReader(b))
	if err != nil {
		return nil, errors.Wrap(err, "create engine request")
	}
	return do(hc.http, req)
}

func do(client *http.Client, req *http.Request) (*http.Response, error) {
	resp, err := client.Do(req)
	if err != nil {
		return nil, errors.Wrap(err, "call engine")
	}
	if resp.StatusCode != http.StatusOK {
		resp.Body.Close()
		return nil, &StatusError{Status: resp.StatusCode, NotStarted: resp.Header.Get(HeaderNotStarted) != ""}
	}
	return resp, nil
}
