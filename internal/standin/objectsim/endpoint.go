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

// Mode is how a door turns callers away.
type Outage string

// The modes.
const (
	// Up serves callers.
	NoOutage Outage = ""
	// Silent takes calls and answers nothing, until the caller or the door closes the connection.
	Silent Outage = "silent"
	// Busy answers 503; nothing was done.
	Unavailable Outage = "busy"
	// Many answers 429; nothing was done.
	TooManyRequests Outage = "many"
	// Reset resets the connection of each call; nothing was done.
	ResetConnections Outage = "reset"
)

// headerTimeout ends connections that send no call; no test waits for it.
const headerTimeout = time.Minute

// faults are what a door does to the calls to come.
type faults struct {
	outage Outage
	delay  time.Duration
	// lost counts the writing calls to come that are done without an answer.
	responsesToLose int
	// late counts the writing calls to come that lose their connection and are done after lateBy.
	writesToDelay int
	writeDelay    time.Duration
}

// Door is one address of the store. Its faults may be set at any time.
type Endpoint struct {
	store    *store
	pageSize int
	listener net.Listener
	server   *http.Server
	ctx      context.Context
	cancel   context.CancelFunc
	// wg counts the writes that are done late.
	wg sync.WaitGroup

	mu          sync.Mutex
	faults      faults
	calls       map[CallKey]int
	watches     map[int]context.CancelFunc
	lastWatchID int
}

func openEndpoint(st *store, page int) (*Endpoint, error) {
	ln, err := net.Listen("tcp", "127.0.0.1:0")
	if err != nil {
		return nil, errors.Wrap(err, "listen for the stand-in store")
	}
	ctx, cancel := context.WithCancel(context.Background())
	dr := &Endpoint{
		store: st, pageSize: page, listener: ln, ctx: ctx, cancel: cancel,
		calls: map[CallKey]int{}, watches: map[int]context.CancelFunc{},
	}
	dr.server = &http.Server{
		Handler: http.HandlerFunc(dr.serve), ReadHeaderTimeout: headerTimeout,
		BaseContext: func(net.Listener) context.Context { return ctx },
	}
	go func() { _ = dr.server.Serve(ln) }() // it returns when the door is closed
	return dr, nil
}

// Address returns the host and port.
func (ep *Endpoint) Address() string { return ep.listener.Addr().String() }

// URL returns the base of all paths, without a slash at its end.
func (ep *Endpoint) URL() string { return "http://" + ep.Address() }

// Close ends all calls.
func (ep *Endpoint) Close() {
	ep.cancel()
	_ = ep.server.Close() // closing a listener on loopback leaves nothing behind
	ep.wg.Wait()
}

// Down turns away the calls to come; Up ends it.
func (ep *Endpoint) SetOutage(md Outage) { ep.updateFaults(func(fs *faults) { fs.outage = md }) }

// Slow makes each call take that much longer.
func (ep *Endpoint) SetDelay(d time.Duration) { ep.updateFaults(func(fs *faults) { fs.delay = d }) }

// LoseAnswers makes the next n writing calls be done and their connections cut without an answer.
func (ep *Endpoint) LoseResponses(n int) {
	ep.updateFaults(func(fs *faults) { fs.responsesToLose = n })
}

// DelayWrites cuts the connections of the next n writing calls, and does the calls after d if their condition holds
// then.
func (ep *Endpoint) DelayWrites(n int, d time.Duration) {
	ep.updateFaults(func(fs *faults) { fs.writesToDelay, fs.writeDelay = n, d })
}

func (ep *Endpoint) updateFaults(edit func(*faults)) {
	ep.mu.Lock()
	defer ep.mu.Unlock()
	edit(&ep.faults)
}

// CutWatches closes the connections of all waiting watches.
func (ep *Endpoint) DisconnectWatches() {
	ep.mu.Lock()
	defer ep.mu.Unlock()
	for _, cut := range ep.watches {
		cut()
	}
}

// Watches returns how many watches wait.
func (ep *Endpoint) WatchCount() int { ep.mu.Lock(); defer ep.mu.Unlock(); return len(ep.watches) }

// Calls returns how many calls of each sort came, with those turned away.
func (ep *Endpoint) CallCounts() map[CallKey]int {
	ep.mu.Lock()
	defer ep.mu.Unlock()
	all := make(map[CallKey]int, len(ep.calls))
	for cl, n := range ep.calls {
		all[cl] = n
	}
	return all
}

// serve counts a call, lets the faults act on it, and does it.
func (ep *Endpoint) serve(w http.ResponseWriter, r *http.Request) {
	body, err := io.ReadAll(r.Body)
	if err != nil {
		return // a call that did not arrive whole is not done
	}
	rc, ok := parse(r, body)
	if !ok {
		http.Error(w, "no such call", http.StatusBadRequest)
		return
	}
	fs := ep.recordCall(rc.callKey)
	if !sleep(r.Context(), fs.delay) {
		return
	}
	switch {
	case fs.outage != NoOutage:
		failCall(w, r, fs.outage)
	case rc.callKey.Type == Watch:
		ep.watch(w, r, rc)
	case fs.writesToDelay > 0 && rc.writes():
		ep.executeLate(rc, fs.writeDelay)
		resetConnection(w)
	case fs.responsesToLose > 0 && rc.writes():
		ep.execute(rc)
		resetConnection(w)
	default:
		era := ep.store.currentEra()
		rp := ep.execute(rc)
		setEra(w, rp.era(era))
		rp.write(w)
	}
}

// note counts a call and returns the faults that act on it.
func (ep *Endpoint) recordCall(cl CallKey) faults {
	ep.mu.Lock()
	defer ep.mu.Unlock()
	ep.calls[cl]++
	fs := ep.faults
	if fs.outage != NoOutage || !cl.Type.writes() {
		return fs
	}
	if fs.writesToDelay > 0 {
		ep.faults.writesToDelay--
	} else if fs.responsesToLose > 0 {
		ep.faults.responsesToLose--
	}
	return fs
}

func (ep *Endpoint) executeLate(rc request, d time.Duration) {
	ep.wg.Go(func() {
		if sleep(ep.ctx, d) {
			ep.execute(rc)
		}
	})
}

func failCall(w http.ResponseWriter, r *http.Request, md Outage) {
	switch md {
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

// reset drops the connection and all bytes still under way.
func resetConnection(w http.ResponseWriter) {
	nc, _, err := http.NewResponseController(w).Hijack()
	if err != nil {
		panic(http.ErrAbortHandler) // the server then closes the connection
	}
	if tc, ok := nc.(*net.TCPConn); ok {
		_ = tc.SetLinger(0) // without it the close is an orderly one, which is as good
	}
	_ = nc.Close() // the caller may have closed it already
}

// pause reports false when ctx ends first.
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
