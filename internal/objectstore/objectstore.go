// Package objectstore is the typed client of the platform's object API.
package objectstore

import (
	"bytes"
	"context"
	"encoding/json"
	"io"
	"net/http"
	"net/url"
	"strconv"
	"time"

	"github.com/cockroachdb/errors"
	"golang.org/x/time/rate"

	"github.com/silvermount/silvermount/internal/position"
)

// The kinds of object that the system keeps.
const (
	KindTargets   = "targets"
	KindInstances = "instances"
	KindBundles   = "bundles"
	KindPointers  = "pointers"
	KindClaims    = "claims"
	KindJobs      = "jobs"
	KindLeases    = "leases"
)

// MaxValueBytes is the largest value the object API holds.
const MaxValueBytes = 1 << 20

// Object is one versioned value. A deleted object in a watch has no value.
type Object struct {
	// Name is unique within a kind.
	Name string `json:"name"`
	// Version grows with every change of any object of the store.
	Version int64 `json:"version"`
	// Value is the JSON document; empty when deleted.
	Value json.RawMessage `json:"value,omitempty"`
}

// Listing is what a list or a watch returns.
type Listing struct {
	// Era is that of the store's history which Version belongs to.
	Era int64 `json:"era,omitempty"`
	// Version is the store's version at the time of the answer.
	Version int64 `json:"version"`
	// Items are the objects, or the changes in order.
	Items []Object `json:"items"`
}

// Position returns where in the store's history the answer was given.
func (l Listing) Position() position.Position {
	return position.Position{Era: l.Era, Revision: l.Version}
}

// NotFoundError says that the object does not exist.
type NotFoundError struct{ Kind, Name string }

// Error names the object.
func (ne *NotFoundError) Error() string { return "no object " + ne.Kind + "/" + ne.Name }

// ConflictError says that the object was not at the expected version; nothing was written.
type ConflictError struct{ Kind, Name string }

// Error names the object.
func (ce *ConflictError) Error() string { return "conflict on " + ce.Kind + "/" + ce.Name }

// HistoryGoneError says that a watch asked for changes that the store no longer has: list again.
type HistoryGoneError struct{ Kind string }

// Error names the kind.
func (he *HistoryGoneError) Error() string { return "history of " + he.Kind + " is gone" }

// UnavailableError says that the call had no effect since the store did not take it.
type UnavailableError struct{ Cause error }

// Error gives the cause.
func (ue *UnavailableError) Error() string { return "store unavailable: " + ue.Cause.Error() }

// Unwrap returns the cause.
func (ue *UnavailableError) Unwrap() error { return ue.Cause }

// UnknownError says that a write may or may not have taken effect.
type UnknownOutcomeError struct{ Cause error }

// Error gives the cause.
func (ue *UnknownOutcomeError) Error() string { return "store outcome unknown: " + ue.Cause.Error() }

// Unwrap returns the cause.
func (ue *UnknownOutcomeError) Unwrap() error { return ue.Cause }

// StatusError is an answer with an unexpected status.
type StatusError struct{ Status int }

// Error gives the status.
func (se *StatusError) Error() string { return "store answered status " + strconv.Itoa(se.Status) }

// Client calls the object API at a bounded rate. Its methods may be called by any goroutine.
type Client struct {
	base    string
	http    *http.Client
	timeout time.Duration
	writes  *rate.Limiter
	reads   *rate.Limiter
	// calls counts each call that left, by direction.
	onCall func(write bool)
}

// Option changes a Client under construction.
type Option func(*Client)

// WithRates bounds the calls a second.
func WithRates(writes, reads float64) Option {
	return func(cl *Client) {
		cl.writes = rate.NewLimiter(rate.Limit(writes), max(1, int(writes)))
		cl.reads = rate.NewLimiter(rate.Limit(reads), max(1, int(reads)))
	}
}

// WithTimeout bounds one call that is not a watch.
func WithTimeout(d time.Duration) Option { return func(cl *Client) { cl.timeout = d } }

// WithOnCall is told of each call.
func WithOnCall(f func(write bool)) Option { return func(cl *Client) { cl.onCall = f } }

// New returns a client for the object API at base.
func New(base string, opts ...Option) *Client {
	cl := &Client{base: base, http: &http.Client{}, timeout: time.Second, onCall: func(bool) {}}
	WithRates(50, 200)(cl)
	for _, o := range opts {
		o(cl)
	}
	return cl
}

// Get returns one object.
func (cl *Client) Get(ctx context.Context, kind, name string) (Object, error) {
	var o Object
	err := cl.read(ctx, kind, name, "/objects/"+kind+"/"+url.PathEscape(name), cl.timeout, &o)
	return o, err
}

// List returns all objects of a kind.
func (cl *Client) List(ctx context.Context, kind string) (Listing, error) {
	var l Listing
	err := cl.read(ctx, kind, "", "/objects/"+kind, cl.timeout, &l)
	return l, err
}

// Watch waits at most wait for changes of a kind after a version.
func (cl *Client) Watch(ctx context.Context, kind string, since int64, wait time.Duration) (Listing, error) {
	var l Listing
	path := "/watch/" + kind + "?since=" + strconv.FormatInt(since, 10) + "&wait=" + wait.String()
	err := cl.read(ctx, kind, "", path, wait+cl.timeout, &l)
	return l, err
}

// Create writes a new object; a ConflictError says that one exists.
func (cl *Client) Create(ctx context.Context, kind, name string, value any) (int64, error) {
	return cl.write(ctx, http.MethodPut, kind, name, 0, value)
}

// Update replaces an object that is at the given version.
func (cl *Client) Update(ctx context.Context, kind, name string, version int64, value any) (int64, error) {
	return cl.write(ctx, http.MethodPut, kind, name, version, value)
}

// Delete removes an object that is at the given version.
func (cl *Client) Delete(ctx context.Context, kind, name string, version int64) error {
	_, err := cl.write(ctx, http.MethodDelete, kind, name, version, nil)
	return err
}

func (cl *Client) read(ctx context.Context, kind, name, path string, timeout time.Duration, into any) error {
	if err := cl.reads.Wait(ctx); err != nil {
		return &UnavailableError{Cause: err}
	}
	ctx, cancel := context.WithTimeout(ctx, timeout)
	defer cancel()
	req, err := http.NewRequestWithContext(ctx, http.MethodGet, cl.base+path, nil)
	if err != nil {
		return errors.Wrap(err, "make request")
	}
	cl.onCall(false)
	resp, err := cl.http.Do(req)
	if err != nil {
		return &UnavailableError{Cause: err}
	}
	defer resp.Body.Close()
	switch resp.StatusCode {
	case http.StatusOK:
	case http.StatusNotFound:
		return &NotFoundError{Kind: kind, Name: name}
	default:
		return &UnavailableError{Cause: &StatusError{Status: resp.StatusCode}}
	}
	if err := json.NewDecoder(resp.Body).Decode(into); err != nil {
		return &UnavailableError{Cause: err}
	}
	return nil
}

func (cl *Client) write(ctx context.Context, method, kind, name string, version int64, value any) (int64, error) {
	if err := cl.writes.Wait(ctx); err != nil {
		return 0, &UnavailableError{Cause: err}
	}
	body, err := json.Marshal(value)
	if err != nil {
		return 0, errors.Wrap(err, "encode object")
	}
	ctx, cancel := context.WithTimeout(ctx, cl.timeout)
	defer cancel()
	u := cl.base + "/objects/" + kind + "/" + url.PathEscape(name) + "?if_version=" + strconv.FormatInt(version, 10)
	req, err := http.NewRequestWithContext(ctx, method, u, bytes.NewReader(body))
	if err != nil {
		return 0, errors.Wrap(err, "make request")
	}
	// Without GetBody the transport cannot send a write a second time by itself.
	req.GetBody = nil
	cl.onCall(true)
	resp, err := cl.http.Do(req)
	if err != nil {
		return 0, &UnknownOutcomeError{Cause: err}
	}
	defer resp.Body.Close()
	return decodeWrite(resp, kind, name)
}

func decodeWrite(resp *http.Response, kind, name string) (int64, error) {
	switch resp.StatusCode {
	case http.StatusOK:
	case http.StatusConflict:
		return 0, &ConflictError{Kind: kind, Name: name}
	case http.StatusNotFound:
		return 0, &NotFoundError{Kind: kind, Name: name}
	case http.StatusServiceUnavailable, http.StatusTooManyRequests:
		return 0, &UnavailableError{Cause: &StatusError{Status: resp.StatusCode}}
	default:
		return 0, &UnknownOutcomeError{Cause: &StatusError{Status: resp.StatusCode}}
	}
	var o Object
	b, err := io.ReadAll(resp.Body)
	if err == nil {
		err = json.Unmarshal(b, &o)
	}
	if err != nil {
		return 0, &UnknownOutcomeError{Cause: err}
	}
	return o.Version, nil
}
