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

// Type is the sort of a call.
type CallType string

// The types of calls.
const (
	List   CallType = "list"
	Get    CallType = "get"
	Watch  CallType = "watch"
	Create CallType = "create"
	Put    CallType = "put"
	Status CallType = "status"
	Delete CallType = "delete"
)

// Call is what calls are counted by.
type CallKey struct {
	Kind string
	Type CallType
	// Stale is set for a read that may be old.
	Stale bool
}

const (
	objectsPath = "/objects/"
	// maxWait is the protocol's bound on the time of a watch.
	maxWait = 30 * time.Second
)

// request is a call with its arguments.
type request struct {
	callKey CallKey
	key     key
	// after is the name after which a list continues.
	afterName string
	// revision is the condition of a write, or where a watch begins.
	revision int64
	wait     time.Duration
	object   Object
}

func (ty CallType) writes() bool { return ty == Create || ty == Put || ty == Status || ty == Delete }

func (rc request) writes() bool { return rc.callKey.Type.writes() }

// parse reports false when the call is none of the protocol's.
func parse(r *http.Request, body []byte) (request, bool) {
	path, ok := strings.CutPrefix(r.URL.Path, objectsPath)
	if !ok {
		return request{}, false
	}
	parts := strings.Split(strings.TrimSuffix(path, "/"), "/")
	rc := request{key: key{kind: parts[0]}}
	if len(parts) > 1 {
		rc.key.name = parts[1]
	}
	query := r.URL.Query()
	rc.callKey = CallKey{Kind: parts[0], Type: callTypeOf(r.Method, parts, query), Stale: query.Get("stale") == "1"}
	if rc.callKey.Type == "" || rc.key.kind == "" {
		return request{}, false
	}
	return rc, rc.readQuery(query) && rc.readBody(body)
}

// typeOf returns an empty type for what is no call.
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

func (rc *request) readQuery(query url.Values) bool {
	rc.afterName = query.Get("after_revision")
	revision, ok := parseNumber(query, "revision")
	if !ok {
		return false
	}
	rc.revision = revision
	if rc.callKey.Type != Watch {
		return true
	}
	from, okFrom := parseNumber(query, "watch")
	ms, okWait := parseNumber(query, "wait_ms")
	rc.revision = from
	rc.wait = time.Duration(ms) * time.Millisecond
	return okFrom && okWait && rc.wait <= maxWait
}

// number returns zero for an argument that is absent, and false for one that is no whole number from zero.
func parseNumber(query url.Values, name string) (int64, bool) {
	if !query.Has(name) {
		return 0, true
	}
	n, err := strconv.ParseInt(query.Get(name), 10, 64)
	return n, err == nil && n >= 0
}

func (rc *request) readBody(body []byte) bool {
	if !rc.writes() || rc.callKey.Type == Delete {
		return true
	}
	if json.Unmarshal(body, &rc.object) != nil {
		return false
	}
	spec, errSpec := canonical(rc.object.Spec)
	status, errStatus := canonical(rc.object.Status)
	rc.object.Spec, rc.object.Status = spec, status
	if rc.callKey.Type == Create && rc.key.name == "" {
		rc.key.name = rc.object.Metadata.Name
	}
	if rc.callKey.Type != Create && rc.revision == 0 {
		rc.revision = rc.object.Metadata.Revision
	}
	return errSpec == nil && errStatus == nil && rc.key.name != ""
}

// reply is the answer to a call; a nil body is sent as none.
type reply struct {
	status int
	body   any
}

// era returns that of the state that the answer tells, if it was noted.
func (rp reply) era(otherwise int64) int64 {
	if pg, ok := rp.body.(listPage); ok {
		return pg.era
	}
	return otherwise
}

func (rp reply) write(w http.ResponseWriter) {
	if rp.body == nil {
		w.WriteHeader(rp.status)
		return
	}
	w.Header().Set("Content-Type", "application/json")
	w.WriteHeader(rp.status)
	_ = json.NewEncoder(w).Encode(rp.body) // a caller that has gone is no concern of the store
}

// do does any call but a watch.
func (ep *Endpoint) execute(rc request) reply {
	switch rc.callKey.Type {
	case List:
		return reply{http.StatusOK, ep.store.list(rc.key.kind, rc.afterName, ep.pageSize, rc.callKey.Stale)}
	case Get:
		ob, ok := ep.store.get(rc.key, rc.callKey.Stale)
		if !ok {
			return reply{http.StatusNotFound, nil}
		}
		return reply{http.StatusOK, ob}
	default:
		vd := ep.write(rc)
		if vd.object == nil {
			return reply{vd.status, nil}
		}
		return reply{vd.status, vd.object}
	}
}

func (ep *Endpoint) write(rc request) writeResult {
	switch rc.callKey.Type {
	case Create:
		rc.object.Status = json.RawMessage("null")
		return ep.store.create(rc.key, rc.object)
	case Delete:
		return ep.store.remove(rc.key, rc.revision)
	case Status:
		return ep.store.update(rc.key, rc.revision, func(ob Object) Object {
			ob.Status = rc.object.Status
			return ob
		})
	default:
		return ep.store.update(rc.key, rc.revision, func(ob Object) Object {
			ob.Spec = rc.object.Spec
			ob.Metadata.Finalizers = rc.object.Metadata.Finalizers
			return ob
		})
	}
}

// watch answers as soon as there is an event, the wait is over or history is gone; a cut closes the connection.
func (ep *Endpoint) watch(w http.ResponseWriter, r *http.Request, rc request) {
	cut, stop := ep.addWatch(r.Context())
	defer stop()
	over := time.NewTimer(rc.wait)
	defer over.Stop()
	for {
		bt, changed, ok := ep.store.since(rc.key.kind, rc.revision)
		setEra(w, bt.era)
		if !ok {
			w.WriteHeader(http.StatusGone)
			return
		}
		if len(bt.Events) > 0 {
			reply{http.StatusOK, bt}.write(w)
			return
		}
		select {
		case <-changed:
		case <-over.C:
			reply{http.StatusOK, bt}.write(w)
			return
		case <-cut.Done():
			resetConnection(w)
			return
		}
	}
}

// enrol returns a context that ends when the watch is cut or its caller goes.
func (ep *Endpoint) addWatch(ctx context.Context) (cut context.Context, stop func()) {
	cut, cancel := context.WithCancel(ctx)
	ep.mu.Lock()
	defer ep.mu.Unlock()
	ep.lastWatchID++
	id := ep.lastWatchID
	ep.watches[id] = cancel
	return cut, func() {
		cancel()
		ep.mu.Lock()
		defer ep.mu.Unlock()
		delete(ep.watches, id)
	}
}
