// Package engine is the client of one model engine.
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
)

// The headers that travel with an attempt.
const (
	HeaderAttempt  = "Silvermount-Attempt"
	HeaderHolder   = "X-Holder"
	HeaderDeadline = "Silvermount-Deadline-Ms"
	HeaderPriority = "X-Priority"
	HeaderBorrowed = "X-Borrowed-Tokens"
	// HeaderNotStarted is set by an engine that refuses an attempt before starting it.
	HeaderNotStarted = "X-Not-Started"
)

// BytesPerToken is the estimate by which prompts are measured before an engine has counted them.
const BytesPerToken = 4

// Report is an engine's load, which lags behind what it does.
type Report struct {
	// Incarnation is unique to one run of the engine.
	Incarnation string `json:"incarnation"`
	// Leaving is set once the engine is asked to stop; it is never taken back.
	Leaving bool `json:"leaving"`
	// Running and Queued count sequences.
	Running int `json:"running"`
	Queued  int `json:"queued"`
	// PrefillTokens are the prompt tokens not yet computed, over all sequences.
	PrefillTokens int `json:"prefill_tokens"`
	// MemoryUsed and MemoryTotal are tokens of KV memory.
	MemoryUsed  int `json:"memory_used"`
	MemoryTotal int `json:"memory_total"`
	// PrefillRate is tokens a second while prefilling.
	PrefillRate float64 `json:"prefill_rate"`
	// Models are loaded now.
	Models []string `json:"models"`
}

// Held is one sequence or room that an engine holds memory for.
type MemoryHold struct {
	// Attempt is the attempt's id.
	Attempt string `json:"attempt"`
	// Holder is the incarnation of the instance that started it.
	Holder string `json:"holder"`
	// LeftMillis is the time to its deadline; negative once past.
	RemainingMillis int64 `json:"left_ms"`
	// Tokens is the memory it takes.
	Tokens int `json:"tokens"`
}

// Attempt is one call of an engine.
type Attempt struct {
	// ID is unique to the attempt.
	ID string
	// Holder is the incarnation of the calling instance.
	Holder string
	// Path is the engine's path, such as /v1/completions.
	Path string
	// Body is sent as it is.
	Body []byte
	// Priority is higher for more urgent work.
	Priority int
	// Left is the time to the deadline.
	Remaining time.Duration
	// Fresh asks for a new connection, so that a broken idle one cannot leave the outcome unknown.
	NewConnection bool
	// Borrowed is the memory in tokens reserved on other engines; zero for prompts that fit on one.
	BorrowedTokens int
}

// Order states which models an engine is to have loaded.
type Order struct {
	// Epoch and Sequence order the orders; an engine that checks fences refuses older ones.
	Epoch    int64 `json:"epoch"`
	Sequence int64 `json:"sequence"`
	// Models is the wanted end state.
	Models []string `json:"models"`
}

// StatusError is an answer of an engine other than 200.
type StatusError struct {
	// Status is the HTTP status.
	Status int
	// NotStarted is true when the engine said that it did not start the attempt.
	NotStarted bool
}

// Error gives the status.
func (se *StatusError) Error() string { return "engine answered status " + strconv.Itoa(se.Status) }

// NeverConnected reports whether nothing can have been written, since there was no connection.
func IsDialError(err error) bool {
	var op *net.OpError
	return errors.As(err, &op) && op.Op == "dial"
}

// Client calls one engine. Its function fields are the seams for another published protocol.
type Client struct {
	// Start sends an attempt and returns the answer once its headers are there.
	Start func(ctx context.Context, at Attempt) (*http.Response, error)
	// Resume returns the stream of an attempt after the first tokens.
	Resume func(ctx context.Context, id string, from int) (*http.Response, error)
	// Cancel ends an attempt and frees its memory.
	Cancel func(ctx context.Context, id string) error
	// Report returns the load.
	Report func(ctx context.Context) (Report, error)
	// Held lists what takes memory.
	ListMemoryHolds func(ctx context.Context) ([]MemoryHold, error)
	// Reserve takes memory for part of a prompt that is larger than one engine.
	Reserve func(ctx context.Context, room MemoryHold) error
	// Order tells the engine which models to load.
	Order func(ctx context.Context, o Order) error
}

// New returns a client of the engine at base that speaks HTTP. fresh opens a connection for each call.
func New(base string, hc, fresh *http.Client) *Client {
	cl := &httpClient{base: base, http: hc, newConnHTTP: fresh}
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
		return nil, errors.Wrap(err, "make request")
	}
	// Without GetBody the transport cannot send the attempt a second time by itself.
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

func (hc *httpClient) reserve(ctx context.Context, room MemoryHold) error {
	resp, err := hc.call(ctx, http.MethodPost, "/control/room", room)
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

func (hc *httpClient) getJSON(ctx context.Context, path string, into any) error {
	resp, err := hc.call(ctx, http.MethodGet, path, nil)
	if err != nil {
		return err
	}
	defer resp.Body.Close()
	return errors.Wrap(json.NewDecoder(resp.Body).Decode(into), "decode engine answer")
}

func (hc *httpClient) call(ctx context.Context, method, path string, body any) (*http.Response, error) {
	b, err := json.Marshal(body)
	if err != nil {
		return nil, errors.Wrap(err, "encode engine call")
	}
	req, err := http.NewRequestWithContext(ctx, method, hc.base+path, bytes.NewReader(b))
	if err != nil {
		return nil, errors.Wrap(err, "make request")
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
