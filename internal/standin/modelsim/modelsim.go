// Package modelsim is a stand-in for a model engine of the users: it streams events, has limited memory that tickets
// reserve, shares the prefill of a prompt with other engines, and injects faults on request.
package modelsim

import (
	"sync"
	"time"

	"github.com/silvermount/silvermount/internal/standin/targetsim"
)

const (
	// defaultMemoryTokens is the memory of the engines in the users' examples.
	defaultMemoryTokens = 232_000
	// defaultMaxHold is the maximum in the users' examples.
	defaultMaxHold = 20 * time.Second
	// defaultEventInterval is short to keep tests fast.
	defaultEventInterval = time.Millisecond
	// defaultTokensPerEvent splits the answer in the protocol's example into eight events.
	defaultTokensPerEvent = 10
	defaultModel          = "m"
	firstVersion          = 1
)

// The routes of control requests, for InjectControlFault.
const (
	ReportRoute = "GET /report"
	OrderRoute  = "POST /order"
)

// Settings are the settings of an engine.
type Settings struct {
	targetsim.Settings
	// MemoryTokens is the size of the memory in tokens.
	MemoryTokens int
	// MaxHold is the maximum time for which a ticket reserves memory.
	MaxHold time.Duration
	// PrefillPerToken is the prefill time of a prompt token, and EventInterval the time to generate an event.
	PrefillPerToken, EventInterval time.Duration
	// TokensPerEvent is the number of tokens in one event.
	TokensPerEvent int
	// SilentAfter is the number of events after which a stream stops until its request ends; 0 for none.
	SilentAfter int
	Model       string
	// Cluster holds the engines that can help; an engine without a Cluster can use its own tickets only.
	Cluster *Cluster
}

// Option changes the settings.
type Option func(*Settings)

// WithSlots sets the maximum numbers of requests that run and that wait for a slot.
func WithSlots(slots, maxWaiting int) Option {
	return func(se *Settings) { se.Slots, se.MaxWaiting = slots, maxWaiting }
}

// WithMemory sets the size of the memory in tokens.
func WithMemory(tokens int) Option { return func(se *Settings) { se.MemoryTokens = tokens } }

// WithTimings sets the prefill time of a prompt token and the time to generate an event.
func WithTimings(prefillPerToken, eventInterval time.Duration) Option {
	return func(se *Settings) { se.PrefillPerToken, se.EventInterval = prefillPerToken, eventInterval }
}

// WithSilenceAfter makes each stream stop after some events until its request ends.
func WithSilenceAfter(events int) Option { return func(se *Settings) { se.SilentAfter = events } }

// WithCluster adds the engine to a cluster, whose engines can help each other.
func WithCluster(cl *Cluster) Option { return func(se *Settings) { se.Cluster = cl } }

// Engine is a stand-in engine.
type Engine struct {
	*targetsim.Server
	settings  Settings
	admission *targetsim.AdmissionQueue

	mu      sync.Mutex
	version int
	// slowdown multiplies all times.
	slowdown float64
	tickets  map[string]*ticket
	// helping holds one entry for each request, of this or another engine, that this engine helps with.
	helping map[*helperUse]struct{}
	// concurrentTicketUses counts the requests that used a ticket while another request did.
	concurrentTicketUses int
	orders               []Order
	reportCount          int
}

// Start starts an engine on a free port of the loopback address.
func Start(opts ...Option) (*Engine, error) {
	se := Settings{
		Settings: targetsim.DefaultSettings(), MemoryTokens: defaultMemoryTokens, MaxHold: defaultMaxHold, EventInterval: defaultEventInterval,
		TokensPerEvent: defaultTokensPerEvent, Model: defaultModel,
	}
	for _, opt := range opts {
		opt(&se)
	}
	en := &Engine{
		settings: se, admission: targetsim.NewAdmissionQueue(se.Slots, se.MaxWaiting, se.MemoryTokens), version: firstVersion, slowdown: 1,
		tickets: map[string]*ticket{}, helping: map[*helperUse]struct{}{},
	}
	control := map[string]func([]byte) targetsim.Response{ReportRoute: en.handleReport, OrderRoute: en.handleOrder}
	sv, err := targetsim.Start(se.Settings, en.admission, targetsim.Handler{Control: control, Check: en.check, Run: en.run})
	if err != nil {
		return nil, err
	}
	en.Server = sv
	se.Cluster.add(en)
	return en, nil
}

// Close stops the engine for good and aborts its runs.
func (en *Engine) Close() {
	en.settings.Cluster.remove(en)
	en.deleteAllTickets()
	en.Server.Close()
}

// Restart ends the incarnation, aborts its runs and starts a new incarnation with the same id and without tickets.
func (en *Engine) Restart() {
	en.deleteAllTickets()
	en.Server.Restart()
}

// Replace ends the incarnation, aborts its runs and starts a new incarnation with a new id at the same address and without
// tickets.
func (en *Engine) Replace() {
	en.deleteAllTickets()
	en.Server.Replace()
}

// SetVersion sets the version of the weights. Streams in progress announce the new version.
func (en *Engine) SetVersion(n int) { en.mu.Lock(); defer en.mu.Unlock(); en.version = n }

// SetSlowdown sets the factor by which all times are longer than in the settings.
func (en *Engine) SetSlowdown(factor float64) {
	en.mu.Lock()
	defer en.mu.Unlock()
	en.slowdown = factor
}

// Version returns the version of the weights.
func (en *Engine) Version() int { en.mu.Lock(); defer en.mu.Unlock(); return en.version }

// ReportCount returns how many load reports were requested.
func (en *Engine) ReportCount() int { en.mu.Lock(); defer en.mu.Unlock(); return en.reportCount }

// ConcurrentTicketUses returns how many requests used a ticket while another request did.
func (en *Engine) ConcurrentTicketUses() int {
	en.mu.Lock()
	defer en.mu.Unlock()
	return en.concurrentTicketUses
}

// MemoryUsed returns the memory that is in use or reserved, in tokens.
func (en *Engine) MemoryUsed() int { return en.admission.UsedTokens() }

func (en *Engine) slowed(d time.Duration) time.Duration {
	en.mu.Lock()
	defer en.mu.Unlock()
	return time.Duration(float64(d) * en.slowdown)
}
