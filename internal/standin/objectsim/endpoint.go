package objectsim

import (
	"context"
	"io"
	"net"
	"net/http"
	"sync"
	"time"

	"github.com/cockroachdb/errors"
)

// Outage is the way in which an endpoint fails all calls.
type Outage string

// The kinds of outages. No call is executed during an outage.
const (
	// NoOutage serves calls.
	NoOutage Outage = ""
	// Silent accepts calls and sends nothing until the caller or the endpoint closes the connection.
	Silent Outage = "silent"
	// Unavailable responds with status 503.
	Unavailable Outage = "busy"
	// TooManyRequests responds with status 429.
	TooManyRequests Outage = "many"
	// ResetConnections resets the connection of each call.
	ResetConnections Outage = "reset"
)

// headerTimeout closes connections that send no request; it is too long for any test to run into it.
const headerTimeout = time.Minute

// faults are the faults that an endpoint injects into the next calls.
type faults struct {
	outage Outage
	delay  time.Duration
	// responsesToLose is the number of next writes that are executed without a response.
	responsesToLose int
	// writesToDelay is the number of next writes whose connection is reset and that are executed after writeDelay.
	writesToDelay int
	writeDelay    time.Duration
}

// Endpoint is one address of the store. Its faults may be set at any time.
type Endpoint struct {
	store    *store
	pageSize int
	listener net.Listener
	conns    *silenceableListener
	server   *http.Server
	ctx      context.Context
	cancel   context.CancelFunc
	// wg counts the delayed writes that are still to be executed.
	wg sync.WaitGroup

	mu          sync.Mutex
	faults      faults
	calls       map[CallKey]int
	watches     map[int]context.CancelFunc
	lastWatchID int
}

func openEndpoint(st *store, pageSize int) (*Endpoint, error) {
	ln, err := net.Listen("tcp", "127.0.0.1:0")
	if err != nil {
		return nil, errors.Wrap(err, "listen for the stand-in store")
	}
	ctx, cancel := context.WithCancel(context.Background())
	ep := &Endpoint{
		store: st, pageSize: pageSize, listener: ln, ctx: ctx, cancel: cancel,
		calls: map[CallKey]int{}, watches: map[int]context.CancelFunc{},
	}
	ep.conns = &silenceableListener{Listener: ln, open: map[*silenceableConn]struct{}{}}
	ep.server = &http.Server{
		Handler: http.HandlerFunc(ep.serve), ReadHeaderTimeout: headerTimeout,
		BaseContext: func(net.Listener) context.Context { return ctx },
	}
	go func() { _ = ep.server.Serve(ep.conns) }() // it returns when the endpoint is closed
	return ep, nil
}

// Address returns the host and port of the endpoint.
func (ep *Endpoint) Address() string { return ep.listener.Addr().String() }

// URL returns the base URL, without a trailing slash.
func (ep *Endpoint) URL() string { return "http://" + ep.Address() }

// Close closes all connections and drops the delayed writes that are still to be executed.
func (ep *Endpoint) Close() {
	ep.cancel()
	_ = ep.server.Close() // an error to close a loopback listener leaves nothing to clean up
	ep.wg.Wait()
}

// SetOutage starts an outage; NoOutage ends it.
func (ep *Endpoint) SetOutage(outage Outage) {
	ep.updateFaults(func(fs *faults) { fs.outage = outage })
}

// SetDelay delays each call by d.
func (ep *Endpoint) SetDelay(d time.Duration) { ep.updateFaults(func(fs *faults) { fs.delay = d }) }

// LoseResponses executes the next n writes, but resets their connections instead of sending a response.
func (ep *Endpoint) LoseResponses(n int) {
	ep.updateFaults(func(fs *faults) { fs.responsesToLose = n })
}

// DelayWrites resets the connections of the next n writes, and executes the writes after d if their condition holds
// by then.
func (ep *Endpoint) DelayWrites(n int, d time.Duration) {
	ep.updateFaults(func(fs *faults) { fs.writesToDelay, fs.writeDelay = n, d })
}

func (ep *Endpoint) updateFaults(edit func(*faults)) {
	ep.mu.Lock()
	defer ep.mu.Unlock()
	edit(&ep.faults)
}

// DisconnectWatches resets the connections of all waiting watches.
func (ep *Endpoint) DisconnectWatches() {
	ep.mu.Lock()
	defer ep.mu.Unlock()
	for _, disconnect := range ep.watches {
		disconnect()
	}
}

// SilenceConnections makes the open connections carry nothing any more in either direction, for good. They stay open, and connections that
// are opened later work.
func (ep *Endpoint) SilenceConnections() { ep.conns.silence() }

// WatchCount returns how many watches are waiting for an event.
func (ep *Endpoint) WatchCount() int { ep.mu.Lock(); defer ep.mu.Unlock(); return len(ep.watches) }

// CallCounts returns how many calls were received of each type, including those that failed in an outage.
func (ep *Endpoint) CallCounts() map[CallKey]int {
	ep.mu.Lock()
	defer ep.mu.Unlock()
	all := make(map[CallKey]int, len(ep.calls))
	for ck, n := range ep.calls {
		all[ck] = n
	}
	return all
}

// serve counts a call, injects the faults and executes it.
func (ep *Endpoint) serve(w http.ResponseWriter, r *http.Request) {
	body, err := io.ReadAll(r.Body)
	if err != nil {
		return // an incomplete call is not executed
	}
	rq, ok := parse(r, body)
	if !ok {
		http.Error(w, "no such call", http.StatusBadRequest)
		return
	}
	fs := ep.recordCall(rq.callKey)
	if !sleep(r.Context(), fs.delay) {
		return
	}
	switch {
	case fs.outage != NoOutage:
		failCall(w, r, fs.outage)
	case rq.callKey.Type == Watch:
		ep.watch(w, r, rq)
	case fs.writesToDelay > 0 && rq.writes():
		ep.executeLate(rq, fs.writeDelay)
		resetConnection(w)
	case fs.responsesToLose > 0 && rq.writes():
		ep.execute(rq)
		resetConnection(w)
	default:
		era := ep.store.currentEra()
		rp := ep.execute(rq)
		setEra(w, rp.era(era))
		rp.write(w)
	}
}

// recordCall counts a call and returns the faults to inject into it.
func (ep *Endpoint) recordCall(ck CallKey) faults {
	ep.mu.Lock()
	defer ep.mu.Unlock()
	ep.calls[ck]++
	fs := ep.faults
	if fs.outage != NoOutage || !ck.Type.writes() {
		return fs
	}
	if fs.writesToDelay > 0 {
		ep.faults.writesToDelay--
	} else if fs.responsesToLose > 0 {
		ep.faults.responsesToLose--
	}
	return fs
}

func (ep *Endpoint) executeLate(rq request, d time.Duration) {
	ep.wg.Go(func() {
		if sleep(ep.ctx, d) {
			ep.execute(rq)
		}
	})
}

func failCall(w http.ResponseWriter, r *http.Request, outage Outage) {
	switch outage {
	case Silent:
		<-r.Context().Done()
		resetConnection(w)
	case Unavailable:
		w.WriteHeader(http.StatusServiceUnavailable)
	case TooManyRequests:
		w.WriteHeader(http.StatusTooManyRequests)
	default:
		resetConnection(w)
	}
}

// resetConnection resets the connection and drops all bytes that are still in transit.
func resetConnection(w http.ResponseWriter) {
	nc, _, err := http.NewResponseController(w).Hijack()
	if err != nil {
		panic(http.ErrAbortHandler) // this makes the server close the connection
	}
	if sc, ok := nc.(*silenceableConn); ok {
		_ = sc.tcp.SetLinger(0) // if this fails, the connection is closed gracefully, which serves as well
	}
	_ = nc.Close() // the caller may have closed it already
}

// sleep reports false when ctx ends before d is over.
func sleep(ctx context.Context, d time.Duration) bool {
	if d <= 0 {
		return true
	}
	tm := time.NewTimer(d)
	defer tm.Stop()
	select {
	case <-tm.C:
		return true
	case <-ctx.Done():
		return false
	}
}
