// Package objectstore provides a rate-limited client for the object API of the platform's store.
package objectstore

import (
	"bytes"
	"context"
	"encoding/json"
	"net/http"
	"net/url"
	"strconv"
	"time"

	"github.com/cockroachdb/errors"
	"golang.org/x/time/rate"

	"github.com/silvermount/silvermount/internal/boundedread"
	"github.com/silvermount/silvermount/internal/position"
	"github.com/silvermount/silvermount/internal/rawjson"
)

// The kinds of object that are kept in the store.
const (
	KindTargets   = "targets"
	KindInstances = "instances"
	KindBundles   = "bundles"
	KindPointers  = "pointers"
	KindClaims    = "claims"
	KindJobs      = "jobs"
	KindLeases    = "leases"
)

// MaxValueBytes is the maximum size of an object's value that the object API accepts.
const MaxValueBytes = 1 << 20

// maxListBytes bounds a response that may hold all objects of a kind, or the changes of a watch.
const maxListBytes = 64 << 20

// Object is one versioned value. In the result of a watch, a deleted object has no value.
type Object struct {
	// Name is unique within a kind.
	Name string `json:"name"`
	// Version is the version of the store after the last change of the object. It increases with each change of any object.
	Version int64 `json:"version"`
	// Value is a JSON document. It is empty for a deleted object.
	Value json.RawMessage `json:"value,omitempty"`
}

// Listing is the result of a list or a watch.
type Listing struct {
	// Era is the era of the store's history to which Version belongs.
	Era int64 `json:"era,omitempty"`
	// Version is the version of the store at the time of the answer.
	Version int64 `json:"version"`
	// Items are the objects of a list, or the changes of a watch in order.
	Items []Object `json:"items"`
}

// decode decodes a response. The objects are decoded one by one, since one that cannot be decoded must not make the others unavailable.
func (l *Listing) decode(b []byte) error {
	var items rawjson.Value
	var fieldErr error
	err := rawjson.Value(b).Members(func(name string, value rawjson.Value) {
		switch name {
		case "era":
			fieldErr = errors.CombineErrors(fieldErr, json.Unmarshal(value, &l.Era))
		case "version":
			fieldErr = errors.CombineErrors(fieldErr, json.Unmarshal(value, &l.Version))
		case "items":
			items = value
		}
	})
	if err = errors.CombineErrors(err, fieldErr); err != nil {
		return errors.Wrap(err, "decode listing")
	}
	elements, err := items.Elements()
	if err != nil {
		return errors.Wrap(err, "decode items of listing")
	}
	for _, raw := range elements {
		if ob := decodeObject(raw); ob.Name != "" {
			l.Items = append(l.Items, ob)
		}
	}
	return nil
}

// decodeObject decodes an object of a listing. One that cannot be decoded was written by something else, and counts as deleted if its name can
// be decoded. Otherwise its name is empty.
func decodeObject(raw rawjson.Value) Object {
	var ob Object
	if json.Unmarshal(raw, &ob) == nil {
		return ob
	}
	// A failed decoding may have set some fields.
	ob = Object{}
	_ = json.Unmarshal(raw.Member("name"), &ob.Name) // the name stays empty
	return ob
}

// Position returns the position in the store's history at which the answer was given.
func (l Listing) Position() position.Position {
	return position.Position{Era: l.Era, Revision: l.Version}
}

// NotFoundError is returned if an object does not exist.
type NotFoundError struct{ Kind, Name string }

// Error includes the kind and name of the object.
func (ne *NotFoundError) Error() string { return "object not found: " + ne.Kind + "/" + ne.Name }

// ConflictError is returned if an object is not at the expected version. Nothing was written.
type ConflictError struct{ Kind, Name string }

// Error includes the kind and name of the object.
func (ce *ConflictError) Error() string { return "object version conflict: " + ce.Kind + "/" + ce.Name }

// HistoryGoneError is returned if a watch asks for changes that the store no longer has. The caller must list again.
type HistoryGoneError struct{ Kind string }

// Error includes the kind.
func (he *HistoryGoneError) Error() string {
	return "requested history of " + he.Kind + " is gone from the store"
}

// UnavailableError is returned if a call failed and surely had no effect: it was not sent, the store did not accept it, or it was a
// read.
type UnavailableError struct{ Cause error }

// Error includes the cause.
func (ue *UnavailableError) Error() string { return "store unavailable: " + ue.Cause.Error() }

// Unwrap returns the cause.
func (ue *UnavailableError) Unwrap() error { return ue.Cause }

// ConnectionLostError is the cause of an UnavailableError if a connection was established but carried no complete response. That
// connection alone may be lost, while the store responds on others.
type ConnectionLostError struct{ Cause error }

// Error includes the cause.
func (ce *ConnectionLostError) Error() string {
	return "connection to the store lost: " + ce.Cause.Error()
}

// Unwrap returns the cause.
func (ce *ConnectionLostError) Unwrap() error { return ce.Cause }

// UnknownOutcomeError is returned if a write failed and it is unknown whether it has taken effect.
type UnknownOutcomeError struct{ Cause error }

// Error includes the cause.
func (ue *UnknownOutcomeError) Error() string {
	return "store write outcome unknown: " + ue.Cause.Error()
}

// Unwrap returns the cause.
func (ue *UnknownOutcomeError) Unwrap() error { return ue.Cause }

// StatusError is the cause of an error if the store answers with an unexpected status.
type StatusError struct{ Status int }

// Error includes the status.
func (se *StatusError) Error() string { return "store answered status " + strconv.Itoa(se.Status) }

// Client calls the object API with limited rates of reads and writes. It is safe for concurrent use.
type Client struct {
	base    string
	http    *http.Client
	timeout time.Duration
	writes  *rate.Limiter
	reads   *rate.Limiter
	// onCall is called before each request is sent.
	onCall func(write bool)
}

// Option configures a Client in New.
type Option func(*Client)

// WithRates limits the writes and reads per second. The default is 50 writes and 200 reads.
func WithRates(writes, reads float64) Option {
	return func(cl *Client) {
		cl.writes = rate.NewLimiter(rate.Limit(writes), max(1, int(writes)))
		cl.reads = rate.NewLimiter(rate.Limit(reads), max(1, int(reads)))
	}
}

// WithTimeout sets the timeout of a call. A watch may take longer by its wait. The default is one second.
func WithTimeout(d time.Duration) Option { return func(cl *Client) { cl.timeout = d } }

// WithOnCall sets a function that is called before each request is sent.
func WithOnCall(f func(write bool)) Option { return func(cl *Client) { cl.onCall = f } }

// New returns a client for the object API at the base URL.
func New(base string, opts ...Option) *Client {
	cl := &Client{base: base, http: &http.Client{Transport: newTransport()}, timeout: time.Second, onCall: func(bool) {}}
	WithRates(50, 200)(cl)
	for _, o := range opts {
		o(cl)
	}
	return cl
}

// newTransport returns the default transport with a bound on the head of a response.
func newTransport() http.RoundTripper {
	tr, ok := http.DefaultTransport.(*http.Transport)
	if !ok {
		return http.DefaultTransport
	}
	tr = tr.Clone()
	tr.MaxResponseHeaderBytes = boundedread.MaxHeadBytes
	return tr
}

// Get returns one object, or a NotFoundError if it does not exist.
func (cl *Client) Get(ctx context.Context, kind, name string) (Object, error) {
	var o Object
	err := cl.read(ctx, kind, name, "/objects/"+kind+"/"+url.PathEscape(name), cl.timeout, func(b []byte) error {
		return errors.Wrap(json.Unmarshal(b, &o), "decode object")
	})
	return o, err
}

// List returns all objects of a kind and the position of the store.
func (cl *Client) List(ctx context.Context, kind string) (Listing, error) {
	var l Listing
	err := cl.read(ctx, kind, "", "/objects/"+kind, cl.timeout, l.decode)
	return l, err
}

// Watch returns the changes of a kind after a version. It waits up to wait for the first one.
func (cl *Client) Watch(ctx context.Context, kind string, since int64, wait time.Duration) (Listing, error) {
	var l Listing
	path := "/watch/" + kind + "?since=" + strconv.FormatInt(since, 10) + "&wait=" + wait.String()
	err := cl.read(ctx, kind, "", path, wait+cl.timeout, l.decode)
	return l, err
}

// Create writes a new object and returns its version. It fails with a ConflictError if the object exists.
func (cl *Client) Create(ctx context.Context, kind, name string, value any) (int64, error) {
	return cl.write(ctx, http.MethodPut, kind, name, 0, value)
}

// Update replaces an object if it is at the given version, and returns the new version. It fails with a ConflictError otherwise.
func (cl *Client) Update(ctx context.Context, kind, name string, version int64, value any) (int64, error) {
	return cl.write(ctx, http.MethodPut, kind, name, version, value)
}

// Delete removes an object if it is at the given version. It fails with a ConflictError otherwise.
func (cl *Client) Delete(ctx context.Context, kind, name string, version int64) error {
	_, err := cl.write(ctx, http.MethodDelete, kind, name, version, nil)
	return err
}

func (cl *Client) read(ctx context.Context, kind, name, path string, timeout time.Duration, decode func([]byte) error) error {
	if err := cl.reads.Wait(ctx); err != nil {
		return &UnavailableError{Cause: err}
	}
	ctx, cancel := context.WithTimeout(ctx, timeout)
	defer cancel()
	req, err := http.NewRequestWithContext(ctx, http.MethodGet, cl.base+path, nil)
	if err != nil {
		return errors.Wrap(err, "create store request")
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
	b, err := boundedread.All(resp.Body, maxListBytes)
	if err == nil {
		err = decode(b)
	}
	if err != nil {
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
		return 0, errors.Wrap(err, "create store request")
	}
	// Without GetBody, the transport cannot resend a write by itself, which could apply it twice.
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
	b, err := boundedread.All(resp.Body, 2*MaxValueBytes)
	if err == nil {
		err = json.Unmarshal(b, &o)
	}
	if err != nil {
		return 0, &UnknownOutcomeError{Cause: err}
	}
	return o.Version, nil
}
