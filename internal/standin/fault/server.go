// Package fault is the common part of the stand-in targets: a server on raw connections that speaks the targets'
// protocol, misbehaves when told to, and records what it ran.
package fault

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
	// defaultSlots, defaultQueue and defaultConnections are small enough for a test to fill.
	defaultSlots          = 16
	defaultMaxWaiting     = 32
	defaultMaxConnections = 264
	// defaultHealthPath is the one of the protocol's examples.
	defaultHealthPath = "/healthz"
)

// Settings are what all targets have in common.
type Settings struct {
	// Slots bounds the requests that run at a time, and Queue those that wait. A slot is free again shortly after the
	// last byte of an answer was sent.
	Slots, MaxWaiting int
	// MaxConnections bounds the open connections; those beyond it are reset.
	MaxConnections int
	HealthPath     string
	// Idle is the time after which a resting connection is closed; zero keeps it open. Answers name its whole seconds.
	IdleTimeout time.Duration
	// CutAfter is the number of whole events that a Cut lets through.
	TruncateAfter int
	// Known is the host and port by which others reach the target through something in between; empty for its own.
	AdvertisedAddress string
	// Fatal marks the bodies that end the target which runs them; empty for none.
	CrashMarker string
	// FatalAfter is how long after its beginning such a run ends the target; zero ends it at once.
	CrashDelay time.Duration
	// Ended is called by a goroutine of its own each time that End has ended the target; nil when nobody asks.
	OnCrash func(*Server)
}

// DefaultSettings returns the settings of an ordinary target.
func DefaultSettings() Settings {
	return Settings{
		Slots: defaultSlots, MaxWaiting: defaultMaxWaiting, MaxConnections: defaultMaxConnections,
		HealthPath: defaultHealthPath, TruncateAfter: 1,
	}
}

// Work is what a concrete target does with a request.
type Handler struct {
	// Side answers requests that take no slot, such as reports; its keys are a method, a space and a path.
	Control map[string]func(body []byte) Response
	// Check returns the tokens of memory that a request needs, or a refusal. Nil refuses nothing.
	Check func(rq *http.Request) (int, *Response)
	// Run does the request and returns its answer. It calls begin once the request starts to run; an answer without
	// that is a refusal. ctx ends with the request, and early when the caller goes or the deadline passes.
	Run func(ctx context.Context, rq *http.Request, begin func()) Response
}

// Server is the stand-in target. Its methods may be called at any time.
type Server struct {
	settings     Settings
	handler      Handler
	admission    *AdmissionQueue
	plan         plan
	controlPlans map[string]*plan
	// address is that of the listener, also while there is none.
	listenAddress string
	ctx           context.Context
	cancel        context.CancelFunc
	wg            sync.WaitGroup

	mu sync.Mutex
	// listener is closed while the target has ended.
	listener net.Listener
	// down is set from End to Return.
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
func Start(se Settings, gt *AdmissionQueue, wk Handler) (*Server, error) {
	ln, err := net.Listen("tcp", "127.0.0.1:0")
	if err != nil {
		return nil, errors.Wrap(err, "listen for a stand-in target")
	}
	ctx, cancel := context.WithCancel(context.Background())
	sv := &Server{
		settings: se, handler: wk, admission: gt, listener: ln, listenAddress: ln.Addr().String(), ctx: ctx, cancel: cancel,
		instanceID: ident.New("i"), conns: map[*conn]struct{}{}, controlPlans: map[string]*plan{},
	}
	sv.wg.Go(func() { sv.accept(ln) })
	return sv, nil
}

// Address returns the host and port by which others know the target.
func (sv *Server) Address() string { return cmp.Or(sv.settings.AdvertisedAddress, sv.ListenAddress()) }

// Listener returns the host and port that the target itself listens on.
func (sv *Server) ListenAddress() string { return sv.listenAddress }

// URL returns the base of all paths, without a slash at its end.
func (sv *Server) URL() string { return "http://" + sv.Address() }

// Close ends all connections and waits until every run has ended.
func (sv *Server) Close() {
	sv.cancel()
	sv.shutDown()
	sv.wg.Wait()
}

// End ends the target as a process ends: its connections are reset, and its address takes none until Return.
func (sv *Server) Crash() {
	if !sv.shutDown() {
		return
	}
	if ended := sv.settings.OnCrash; ended != nil {
		sv.wg.Go(func() { ended(sv) })
	}
}

// takeDown reports whether the target was not down before.
func (sv *Server) shutDown() bool {
	sv.mu.Lock()
	defer sv.mu.Unlock()
	before := sv.down
	sv.down = true
	_ = sv.listener.Close() // it may be closed already
	for cn := range sv.conns {
		cn.reset()
	}
	return !before
}

// Return starts another incarnation at the same address after End. It reports false when the stand-in is closed or the address
// is taken.
func (sv *Server) Relaunch() bool {
	ln, err := net.Listen("tcp", sv.listenAddress)
	if err != nil {
		return false
	}
	sv.mu.Lock()
	defer sv.mu.Unlock()
	if sv.ctx.Err() != nil {
		_ = ln.Close() // nothing was served on it
		return false
	}
	sv.listener, sv.down = ln, false
	sv.instanceID = ident.New("i")
	sv.draining = false
	sv.wg.Go(func() { sv.accept(ln) })
	return true
}

// endAfter ends the target once the time of a fatal run is over; with a time of zero it has ended on return, and so has ctx, which
// ends with the caller's connection.
func (sv *Server) crashAfterDelay(ctx context.Context) {
	if sv.settings.CrashDelay > 0 {
		time.AfterFunc(sv.settings.CrashDelay, sv.Crash)
		return
	}
	sv.Crash()
	<-ctx.Done()
}

// fatal reports whether a body ends the target.
func (sv *Server) hasCrashMarker(body []byte) bool {
	return sv.settings.CrashMarker != "" && bytes.Contains(body, []byte(sv.settings.CrashMarker))
}

// Next gives the next n requests a fault; it comes after those set before.
func (sv *Server) InjectFault(kd Kind, n int) { sv.plan.add(kd, n) }

// NextAside gives the next n requests of a method and path that take no slot a fault; key is the one of Work.Side.
// The request is done in all cases.
func (sv *Server) InjectControlFault(key string, kd Kind, n int) { sv.controlPlan(key).add(kd, n) }

func (sv *Server) controlPlan(key string) *plan {
	sv.mu.Lock()
	defer sv.mu.Unlock()
	if sv.controlPlans[key] == nil {
		sv.controlPlans[key] = &plan{}
	}
	return sv.controlPlans[key]
}

// ClearFaults takes back the faults that no request has met yet.
func (sv *Server) ClearFaults() { sv.plan.clear() }

// Retire ends the incarnation in the middle of its work, and starts another at the same address.
func (sv *Server) Replace() {
	sv.mu.Lock()
	sv.instanceID = ident.New("i")
	sv.draining = false
	sv.mu.Unlock()
	sv.resetConns()
}

// Restart ends the incarnation in the middle of its work, and starts another under the same id at the same address.
func (sv *Server) Restart() {
	sv.mu.Lock()
	sv.draining = false
	sv.mu.Unlock()
	sv.resetConns()
}

// Drain makes the target say that it is leaving; it goes on serving.
func (sv *Server) Drain() { sv.mu.Lock(); defer sv.mu.Unlock(); sv.draining = true }

// SetHealthy sets what the health check says.
func (sv *Server) SetHealthy(ok bool) { sv.mu.Lock(); defer sv.mu.Unlock(); sv.unhealthy = !ok }

// Instance returns the id of the present incarnation.
func (sv *Server) InstanceID() string { sv.mu.Lock(); defer sv.mu.Unlock(); return sv.instanceID }

// Draining reports whether the target is leaving.
func (sv *Server) Draining() bool { sv.mu.Lock(); defer sv.mu.Unlock(); return sv.draining }

// Connections returns how many connections were opened since the start.
func (sv *Server) ConnectionCount() int {
	sv.mu.Lock()
	defer sv.mu.Unlock()
	return sv.connectionCount
}

// TurnedAway returns how many connections were reset for being too many.
func (sv *Server) RejectedConnectionCount() int {
	sv.mu.Lock()
	defer sv.mu.Unlock()
	return sv.rejectedConnectionCount
}

// Refused returns how many requests were not run.
func (sv *Server) RefusedCount() int { sv.mu.Lock(); defer sv.mu.Unlock(); return sv.refusedCount }

// Waiting returns how many requests wait for a slot.
func (sv *Server) WaitingCount() int { return sv.admission.WaitingCount() }

// HealthChecks returns how many health checks came.
func (sv *Server) HealthCheckCount() int {
	sv.mu.Lock()
	defer sv.mu.Unlock()
	return sv.healthCheckCount
}

// Runs returns the requests run so far, in the order in which they began.
func (sv *Server) Runs() []Run {
	sv.mu.Lock()
	defer sv.mu.Unlock()
	all := make([]Run, 0, len(sv.runs))
	for _, rn := range sv.runs {
		all = append(all, *rn)
	}
	return all
}

// Cancelled returns the runs whose caller closed the connection before their end.
func (sv *Server) CancelledRuns() []Run {
	return slices.DeleteFunc(sv.Runs(), func(rn Run) bool { return rn.State != Cancelled })
}

func (sv *Server) accept(ln net.Listener) {
	for {
		nc, err := ln.Accept()
		if err != nil {
			return // the listener was closed
		}
		cn := newConn(sv, nc)
		if !sv.addConn(cn) {
			cn.reset()
			continue
		}
		sv.wg.Go(cn.serve)
	}
}

// enrol reports false when there are too many connections.
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

// begin records a run and signs for it.
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

func (sv *Server) finishRun(rn *Run, st State) { sv.mu.Lock(); defer sv.mu.Unlock(); rn.State = st }

func (sv *Server) recordRefusal(an Response) Response {
	sv.mu.Lock()
	defer sv.mu.Unlock()
	sv.refusedCount++
	if an.Header.Get(HeaderAtServer) == "" {
		return an.WithHeader(HeaderAtServer, sv.Address())
	}
	return an
}

// screen returns the refusal of a request that names another instance, or no attempt.
func (sv *Server) checkRequest(rq *http.Request) (int, *Response) {
	own := sv.InstanceID()
	if id := rq.Header.Get(HeaderExpectInstance); id != "" && id != own {
		an := NewResponse(http.StatusMisdirectedRequest, nil).WithHeader(HeaderInstance, own)
		return 0, &an
	}
	if rq.Header.Get(HeaderAttempt) == "" {
		an := Refusal(http.StatusBadRequest)
		return 0, &an
	}
	if sv.handler.Check == nil {
		return 0, nil
	}
	return sv.handler.Check(rq)
}

func (sv *Server) checkHealth(ctx context.Context) Response {
	sv.mu.Lock()
	sv.healthCheckCount++
	well := !sv.draining && !sv.unhealthy
	sv.mu.Unlock()
	if !sv.admission.Acquire(ctx, defaultPriority, 0) {
		return Refusal(http.StatusServiceUnavailable)
	}
	defer sv.admission.Release(0)
	status := http.StatusOK
	if !well {
		status = http.StatusServiceUnavailable
	}
	return NewResponse(status, nil).WithHeader(HeaderInstance, sv.InstanceID())
}
