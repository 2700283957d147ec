// Package targetsim is the common part of the stand-in targets: a server on raw connections that speaks the targets'
// protocol, injects faults on request, and records the requests that it ran.
package targetsim

import (
	"bytes"
	"cmp"
	"context"
	"fmt"
	"net"
	"net/http"
	"slices"
	"sync"
	"time"

	"github.com/cockroachdb/errors"

	"github.com/silvermount/silvermount/internal/ident"
)

const (
	// defaultSlots, defaultMaxWaiting and defaultMaxConnections are small enough for a test to exhaust them.
	defaultSlots          = 16
	defaultMaxWaiting     = 32
	defaultMaxConnections = 264
	// defaultHealthPath is the path in the protocol's examples.
	defaultHealthPath = "/healthz"
)

// Settings are the settings that all stand-in targets have in common.
type Settings struct {
	// Slots is the maximum number of requests that run at a time, and MaxWaiting of those that wait for a slot. A slot is
	// free again shortly after the last byte of the response was sent.
	Slots, MaxWaiting int
	// MaxConnections is the maximum number of open connections; further ones are reset.
	MaxConnections int
	HealthPath     string
	// IdleTimeout is the time after which an idle connection is closed; zero keeps it open. The Keep-Alive header of the
	// responses holds its whole seconds.
	IdleTimeout time.Duration
	// TruncateAfter is the number of complete events that are sent before a Truncate fault.
	TruncateAfter int
	// Unframed omits the length and the chunks of all responses, which then end with their connections.
	Unframed bool
	// AdvertisedAddress is the host and port of a proxy through which others reach the target; empty means that they reach
	// it at its own address.
	AdvertisedAddress string
	// CrashMarker is the text in a request body that crashes the target which runs the request; empty disables this.
	CrashMarker string
	// CrashesTarget, unless nil, reports whether a request crashes the target which runs it, whatever its body.
	CrashesTarget func(*http.Request) bool
	// CrashDelay is the time from the start of such a run to the crash; zero crashes the target at once.
	CrashDelay time.Duration
	// OnCrash, unless nil, is called in its own goroutine after each crash.
	OnCrash func(*Server)
}

// DefaultSettings returns the settings of a target without idle timeout and crashes.
func DefaultSettings() Settings {
	return Settings{
		Slots: defaultSlots, MaxWaiting: defaultMaxWaiting, MaxConnections: defaultMaxConnections,
		HealthPath: defaultHealthPath, TruncateAfter: 1,
	}
}

// Handler is the part of a target that differs between the kinds of targets.
type Handler struct {
	// Control serves control requests, such as load reports, which take no slot. A key is a method, a space and a path.
	Control map[string]func(body []byte) Response
	// Check returns the memory that a request needs, in tokens, or a refusal. A nil Check admits all requests without memory.
	Check func(rq *http.Request) (int, *Response)
	// Run runs the request and returns its response. It calls begin once the request starts to run; a response without
	// that call is a refusal. ctx ends with the request, or early when the caller closes the connection or the deadline
	// passes.
	Run func(ctx context.Context, rq *http.Request, begin func()) Response
}

// Server is a stand-in target. Its methods may be called at any time.
type Server struct {
	settings     Settings
	handler      Handler
	admission    *AdmissionQueue
	plan         plan
	controlPlans map[string]*plan
	// listenAddress is the address of the listener, also while the target is down.
	listenAddress string
	ctx           context.Context
	cancel        context.CancelFunc
	wg            sync.WaitGroup

	mu sync.Mutex
	// listener is closed while the target is down.
	listener net.Listener
	// down is set from Crash to Relaunch, and after Close.
	down                    bool
	instanceID              string
	draining                bool
	unhealthy               bool
	conns                   map[*conn]struct{}
	connectionCount         int
	rejectedConnectionCount int
	refusedCount            int
	healthCheckCount        int
	runs                    []*Run
	limits                  rateLimits
	selfReport              selfReport
}

// Start listens on a free port of the loopback address.
func Start(se Settings, aq *AdmissionQueue, hd Handler) (*Server, error) {
	ln, err := net.Listen("tcp", "127.0.0.1:0")
	if err != nil {
		return nil, errors.Wrap(err, "listen for a stand-in target")
	}
	ctx, cancel := context.WithCancel(context.Background())
	sv := &Server{
		settings: se, handler: hd, admission: aq, listener: ln, listenAddress: ln.Addr().String(), ctx: ctx, cancel: cancel,
		instanceID: ident.New("i"), conns: map[*conn]struct{}{}, controlPlans: map[string]*plan{},
	}
	sv.wg.Go(func() { sv.accept(ln) })
	return sv, nil
}

// Address returns the host and port by which others reach the target.
func (sv *Server) Address() string { return cmp.Or(sv.settings.AdvertisedAddress, sv.ListenAddress()) }

// ListenAddress returns the host and port that the target itself listens on.
func (sv *Server) ListenAddress() string { return sv.listenAddress }

// URL returns the base URL, without a trailing slash.
func (sv *Server) URL() string { return "http://" + sv.Address() }

// Close resets all connections and waits until all runs have ended.
func (sv *Server) Close() {
	sv.cancel()
	sv.shutDown()
	sv.wg.Wait()
}

// Crash acts like the crash of a process: all connections are reset, and new ones fail until Relaunch.
func (sv *Server) Crash() {
	if !sv.shutDown() {
		return
	}
	if onCrash := sv.settings.OnCrash; onCrash != nil {
		sv.wg.Go(func() { onCrash(sv) })
	}
}

// StopListening refuses new connections until Relaunch. Requests in progress go on.
func (sv *Server) StopListening() { sv.stop(func(*conn) {}) }

// CloseIdle closes the connections without a request in progress, as a server does that shuts down.
func (sv *Server) CloseIdle() {
	sv.mu.Lock()
	defer sv.mu.Unlock()
	for cn := range sv.conns {
		if !cn.busy.Load() {
			_ = cn.socket.Close() // it may be closed already
		}
	}
}

// Kill acts like the kill of a process: the kernel closes all connections in order, and new ones are refused until Relaunch.
func (sv *Server) Kill() {
	sv.stop(func(cn *conn) {
		cn.resetByServer.Store(true)
		_ = cn.socket.Close() // it may be closed already
	})
}

// shutDown closes the listener and resets all connections. It reports whether the target was up before.
func (sv *Server) shutDown() bool { return sv.stop((*conn).reset) }

// stop closes the listener, and then all connections with end. It reports whether the target was up before.
func (sv *Server) stop(end func(*conn)) bool {
	sv.mu.Lock()
	defer sv.mu.Unlock()
	wasDown := sv.down
	sv.down = true
	_ = sv.listener.Close() // it may be closed already
	for cn := range sv.conns {
		end(cn)
	}
	return !wasDown
}

// Relaunch starts a new incarnation at the same address after Crash. It reports false when the stand-in is closed or the
// address is in use.
func (sv *Server) Relaunch() bool {
	ln, err := net.Listen("tcp", sv.listenAddress)
	if err != nil {
		return false
	}
	sv.mu.Lock()
	defer sv.mu.Unlock()
	if sv.ctx.Err() != nil {
		_ = ln.Close() // no request was served on it
		return false
	}
	sv.listener, sv.down = ln, false
	sv.instanceID = ident.New("i")
	sv.draining = false
	sv.wg.Go(func() { sv.accept(ln) })
	return true
}

// crashAfterDelay crashes the target once CrashDelay is over. With a delay of zero, the target has crashed and ctx, which
// ends with the caller's connection, has ended when it returns. The result is closed after the crash.
func (sv *Server) crashAfterDelay(ctx context.Context) <-chan struct{} {
	crashed := make(chan struct{})
	if sv.settings.CrashDelay > 0 {
		time.AfterFunc(sv.settings.CrashDelay, func() {
			sv.Crash()
			close(crashed)
		})
		return crashed
	}
	sv.Crash()
	<-ctx.Done()
	close(crashed)
	return crashed
}

func (sv *Server) isCrashedBy(rq *http.Request, body []byte) bool {
	if sv.settings.CrashesTarget != nil && sv.settings.CrashesTarget(rq) {
		return true
	}
	return sv.settings.CrashMarker != "" && bytes.Contains(body, []byte(sv.settings.CrashMarker))
}

// InjectFault injects a fault into the next n requests that have none planned yet.
func (sv *Server) InjectFault(kd Kind, n int) { sv.plan.add(kd, n) }

// InjectControlFault injects a fault into the next n control requests of a route, which is a key of Handler.Control. The
// requests are carried out whatever the fault.
func (sv *Server) InjectControlFault(route string, kd Kind, n int) { sv.controlPlan(route).add(kd, n) }

func (sv *Server) controlPlan(route string) *plan {
	sv.mu.Lock()
	defer sv.mu.Unlock()
	if sv.controlPlans[route] == nil {
		sv.controlPlans[route] = &plan{}
	}
	return sv.controlPlans[route]
}

// ClearFaults removes the planned faults of requests other than control requests.
func (sv *Server) ClearFaults() { sv.plan.clear() }

// Replace ends the incarnation, aborts its runs and starts a new incarnation with a new id at the same address.
func (sv *Server) Replace() {
	sv.mu.Lock()
	sv.instanceID = ident.New("i")
	sv.draining = false
	sv.mu.Unlock()
	sv.resetConns()
}

// Restart ends the incarnation, aborts its runs and starts a new incarnation with the same id at the same address.
func (sv *Server) Restart() {
	sv.mu.Lock()
	sv.draining = false
	sv.mu.Unlock()
	sv.resetConns()
}

// Drain makes the health check fail and all responses carry "Connection: close"; the target goes on serving.
func (sv *Server) Drain() { sv.mu.Lock(); defer sv.mu.Unlock(); sv.draining = true }

// SetHealthy sets the result of the health check; the check of a draining target fails in any case.
func (sv *Server) SetHealthy(ok bool) { sv.mu.Lock(); defer sv.mu.Unlock(); sv.unhealthy = !ok }

// InstanceID returns the id of the current incarnation.
func (sv *Server) InstanceID() string { sv.mu.Lock(); defer sv.mu.Unlock(); return sv.instanceID }

// Draining reports whether Drain was called on the current incarnation.
func (sv *Server) Draining() bool { sv.mu.Lock(); defer sv.mu.Unlock(); return sv.draining }

// ConnectionCount returns how many connections were accepted since the start.
func (sv *Server) ConnectionCount() int {
	sv.mu.Lock()
	defer sv.mu.Unlock()
	return sv.connectionCount
}

// RejectedConnectionCount returns how many connections were reset because there were too many or the target was down.
func (sv *Server) RejectedConnectionCount() int {
	sv.mu.Lock()
	defer sv.mu.Unlock()
	return sv.rejectedConnectionCount
}

// RefusedCount returns how many requests were refused without being run.
func (sv *Server) RefusedCount() int { sv.mu.Lock(); defer sv.mu.Unlock(); return sv.refusedCount }

// WaitingCount returns how many requests wait for a slot.
func (sv *Server) WaitingCount() int { return sv.admission.WaitingCount() }

// HealthCheckCount returns how many health checks were received.
func (sv *Server) HealthCheckCount() int {
	sv.mu.Lock()
	defer sv.mu.Unlock()
	return sv.healthCheckCount
}

// Runs returns the records of all runs so far, in the order in which they started.
func (sv *Server) Runs() []Run {
	sv.mu.Lock()
	defer sv.mu.Unlock()
	all := make([]Run, 0, len(sv.runs))
	for _, rn := range sv.runs {
		all = append(all, *rn)
	}
	return all
}

// CancelledRuns returns the runs whose caller closed the connection before their end.
func (sv *Server) CancelledRuns() []Run {
	return slices.DeleteFunc(sv.Runs(), func(rn Run) bool { return rn.State != Cancelled })
}

func (sv *Server) accept(ln net.Listener) {
	for {
		nc, err := ln.Accept()
		if err != nil {
			return // the listener is closed
		}
		cn := newConn(sv, nc)
		if !sv.addConn(cn) {
			cn.reset()
			continue
		}
		sv.wg.Go(cn.serve)
	}
}

// addConn reports false when there are too many connections, or the target is down or closed.
func (sv *Server) addConn(cn *conn) bool {
	sv.mu.Lock()
	defer sv.mu.Unlock()
	if len(sv.conns) >= sv.settings.MaxConnections || sv.ctx.Err() != nil || sv.down {
		sv.rejectedConnectionCount++
		return false
	}
	sv.connectionCount++
	sv.conns[cn] = struct{}{}
	return true
}

func (sv *Server) removeConn(cn *conn) { sv.mu.Lock(); defer sv.mu.Unlock(); delete(sv.conns, cn) }

func (sv *Server) resetConns() {
	sv.mu.Lock()
	defer sv.mu.Unlock()
	for cn := range sv.conns {
		cn.reset()
	}
}

// recordRun records a new run and assigns it a unique signature.
func (sv *Server) recordRun(rq *http.Request, kd Kind) *Run {
	sv.mu.Lock()
	defer sv.mu.Unlock()
	rn := newRun(rq, kd)
	rn.InstanceID = sv.instanceID
	rn.Signature = fmt.Sprintf("%s.%d", sv.instanceID, len(sv.runs))
	sv.runs = append(sv.runs, rn)
	return rn
}

func (sv *Server) setBody(rn *Run, body []byte) {
	sv.mu.Lock()
	defer sv.mu.Unlock()
	rn.BodyHash = Hash(body)
	rn.BodySize = len(body)
}

func (sv *Server) finishRun(rn *Run, st State) {
	sv.mu.Lock()
	defer sv.mu.Unlock()
	rn.State, rn.FinishedAt = st, time.Now()
}

func (sv *Server) recordRefusal(rs Response) Response {
	sv.mu.Lock()
	defer sv.mu.Unlock()
	sv.refusedCount++
	if rs.Header.Get(HeaderAtServer) == "" {
		return rs.WithHeader(HeaderAtServer, sv.Address())
	}
	return rs
}

// checkRequest returns the memory that a request needs, in tokens. It returns a refusal when the request expects another
// incarnation, has no attempt id or is refused by Handler.Check.
func (sv *Server) checkRequest(rq *http.Request) (int, *Response) {
	ownID := sv.InstanceID()
	if id := rq.Header.Get(HeaderExpectInstance); id != "" && id != ownID {
		rs := NewResponse(http.StatusMisdirectedRequest, nil).WithHeader(HeaderInstance, ownID)
		return 0, &rs
	}
	if rq.Header.Get(HeaderAttempt) == "" {
		rs := Refusal(http.StatusBadRequest)
		return 0, &rs
	}
	if sv.handler.Check == nil {
		return 0, nil
	}
	return sv.handler.Check(rq)
}

func (sv *Server) checkHealth(ctx context.Context) Response {
	sv.mu.Lock()
	sv.healthCheckCount++
	healthy := !sv.draining && !sv.unhealthy
	sv.mu.Unlock()
	if !sv.admission.Acquire(ctx, defaultPriority, 0) {
		return Refusal(http.StatusServiceUnavailable)
	}
	defer sv.admission.Release(0)
	status := http.StatusOK
	if !healthy {
		status = http.StatusServiceUnavailable
	}
	return NewResponse(status, nil).WithHeader(HeaderInstance, sv.InstanceID())
}
