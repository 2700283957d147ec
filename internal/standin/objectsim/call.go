package objectsim

import (
	"context"
	"encoding/json"
	"net/http"
	"net/url"
	"strconv"
	"strings"
	"time"
)

// CallType is the type of an API call.
type CallType string

// The types of API calls.
const (
	List   CallType = "list"
	Get    CallType = "get"
	Watch  CallType = "watch"
	Create CallType = "create"
	Put    CallType = "put"
	Status CallType = "status"
	Delete CallType = "delete"
)

// CallKey is the key by which API calls are counted.
type CallKey struct {
	Kind string
	Type CallType
	// Stale is set for a read that may return a past state.
	Stale bool
}

const (
	objectsPath = "/objects/"
	// maxWait is the maximum wait time that the protocol allows for a watch.
	maxWait = 30 * time.Second
)

// request is an API call with its arguments.
type request struct {
	callKey CallKey
	key     key
	// afterName is the object name after which a list continues.
	afterName string
	// revision is the revision that the object of a write must have, where zero sets no condition, or the revision after
	// which a watch begins.
	revision int64
	wait     time.Duration
	object   Object
}

func (ct CallType) writes() bool { return ct == Create || ct == Put || ct == Status || ct == Delete }

func (rq request) writes() bool { return rq.callKey.Type.writes() }

// parse reports false when the request is not a valid API call.
func parse(r *http.Request, body []byte) (request, bool) {
	path, ok := strings.CutPrefix(r.URL.Path, objectsPath)
	if !ok {
		return request{}, false
	}
	parts := strings.Split(strings.TrimSuffix(path, "/"), "/")
	rq := request{key: key{kind: parts[0]}}
	if len(parts) > 1 {
		rq.key.name = parts[1]
	}
	query := r.URL.Query()
	rq.callKey = CallKey{Kind: parts[0], Type: callTypeOf(r.Method, parts, query), Stale: query.Get("stale") == "1"}
	if rq.callKey.Type == "" || rq.key.kind == "" {
		return request{}, false
	}
	return rq, rq.readQuery(query) && rq.readBody(body)
}

// callTypeOf returns an empty type for a request that is not an API call.
func callTypeOf(method string, parts []string, query url.Values) CallType {
	switch {
	case method == http.MethodGet && len(parts) == 1 && query.Has("watch"):
		return Watch
	case method == http.MethodGet && len(parts) == 1:
		return List
	case method == http.MethodGet && len(parts) == 2:
		return Get
	case method == http.MethodPost && len(parts) <= 2:
		return Create
	case method == http.MethodPut && len(parts) == 2:
		return Put
	case method == http.MethodPut && len(parts) == 3 && parts[2] == "status":
		return Status
	case method == http.MethodDelete && len(parts) == 2:
		return Delete
	default:
		return ""
	}
}

func (rq *request) readQuery(query url.Values) bool {
	rq.afterName = query.Get("after_revision")
	revision, ok := parseNumber(query, "revision")
	if !ok {
		return false
	}
	rq.revision = revision
	if rq.callKey.Type != Watch {
		return true
	}
	from, okFrom := parseNumber(query, "watch")
	ms, okWait := parseNumber(query, "wait_ms")
	rq.revision = from
	rq.wait = time.Duration(ms) * time.Millisecond
	return okFrom && okWait && rq.wait <= maxWait
}

// parseNumber returns zero for an absent argument, and reports false for one that is not an integer of at least zero.
func parseNumber(query url.Values, name string) (int64, bool) {
	if !query.Has(name) {
		return 0, true
	}
	n, err := strconv.ParseInt(query.Get(name), 10, 64)
	return n, err == nil && n >= 0
}

func (rq *request) readBody(body []byte) bool {
	if !rq.writes() || rq.callKey.Type == Delete {
		return true
	}
	if json.Unmarshal(body, &rq.object) != nil {
		return false
	}
	spec, errSpec := canonical(rq.object.Spec)
	status, errStatus := canonical(rq.object.Status)
	rq.object.Spec, rq.object.Status = spec, status
	if rq.callKey.Type == Create && rq.key.name == "" {
		rq.key.name = rq.object.Metadata.Name
	}
	if rq.callKey.Type != Create && rq.revision == 0 {
		rq.revision = rq.object.Metadata.Revision
	}
	return errSpec == nil && errStatus == nil && rq.key.name != ""
}

// reply is the response to an API call; with a nil body, only the status is sent.
type reply struct {
	status int
	body   any
}

// era returns the era of the state that a list was read from. The other replies record none and get the fallback.
func (rp reply) era(fallback int64) int64 {
	if pg, ok := rp.body.(listPage); ok {
		return pg.era
	}
	return fallback
}

func (rp reply) write(w http.ResponseWriter) {
	if rp.body == nil {
		w.WriteHeader(rp.status)
		return
	}
	w.Header().Set("Content-Type", "application/json")
	w.WriteHeader(rp.status)
	_ = json.NewEncoder(w).Encode(rp.body) // it fails when the caller has closed the connection, which does not matter to the store
}

// execute executes any API call except a watch.
func (ep *Endpoint) execute(rq request) reply {
	switch rq.callKey.Type {
	case List:
		return reply{http.StatusOK, ep.store.list(rq.key.kind, rq.afterName, ep.pageSize, rq.callKey.Stale)}
	case Get:
		ob, ok := ep.store.get(rq.key, rq.callKey.Stale)
		if !ok {
			return reply{http.StatusNotFound, nil}
		}
		return reply{http.StatusOK, ob}
	default:
		wr := ep.write(rq)
		if wr.object == nil {
			return reply{wr.status, nil}
		}
		return reply{wr.status, wr.object}
	}
}

func (ep *Endpoint) write(rq request) writeResult {
	switch rq.callKey.Type {
	case Create:
		rq.object.Status = json.RawMessage("null")
		return ep.store.create(rq.key, rq.object)
	case Delete:
		return ep.store.remove(rq.key, rq.revision)
	case Status:
		return ep.store.update(rq.key, rq.revision, func(ob Object) Object {
			ob.Status = rq.object.Status
			return ob
		})
	default:
		return ep.store.update(rq.key, rq.revision, func(ob Object) Object {
			ob.Spec = rq.object.Spec
			ob.Metadata.Finalizers = rq.object.Metadata.Finalizers
			return ob
		})
	}
}

// watch responds as soon as there is an event, the wait time is over or the history is compacted. It resets the connection
// when the watch is disconnected.
func (ep *Endpoint) watch(w http.ResponseWriter, r *http.Request, rq request) {
	wctx, stop := ep.addWatch(r.Context())
	defer stop()
	timer := time.NewTimer(rq.wait)
	defer timer.Stop()
	for {
		res, changed, ok := ep.store.since(rq.key.kind, rq.revision)
		setEra(w, res.era)
		if !ok {
			w.WriteHeader(http.StatusGone)
			return
		}
		if len(res.Events) > 0 {
			reply{http.StatusOK, res}.write(w)
			return
		}
		select {
		case <-changed:
		case <-timer.C:
			reply{http.StatusOK, res}.write(w)
			return
		case <-wctx.Done():
			resetConnection(w)
			return
		}
	}
}

// addWatch returns a context that ends when the watch is disconnected or its caller closes the connection.
func (ep *Endpoint) addWatch(ctx context.Context) (wctx context.Context, stop func()) {
	wctx, cancel := context.WithCancel(ctx)
	ep.mu.Lock()
	defer ep.mu.Unlock()
	ep.lastWatchID++
	id := ep.lastWatchID
	ep.watches[id] = cancel
	return wctx, func() {
		cancel()
		ep.mu.Lock()
		defer ep.mu.Unlock()
		delete(ep.watches, id)
	}
}
