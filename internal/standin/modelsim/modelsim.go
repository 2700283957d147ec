// Package modelsim is a stand-in for a model engine of the users: it streams events, holds limited memory, sets memory
// aside in tickets, reads prompts together with other engines, and misbehaves when told to.
package modelsim

import (
	"sync"
	"time"

	"github.com/silvermount/silvermount/internal/standin/fault"
)

const (
	// defaultMemory is that of the engines in the users' examples, in tokens.
	defaultMemoryTokens = 232_000
	// defaultHoldMax is the bound in the users' examples.
	defaultMaxHold = 20 * time.Second
	// defaultEvent keeps tests quick.
	defaultEventInterval = time.Millisecond
	// defaultTokens makes an answer of the protocol's example eight events long.
	defaultTokensPerEvent = 10
	defaultModel          = "m"
	firstVersion          = 1
)

// The requests that take no slot, as keys of NextAside.
const (
	ReportRoute = "GET /report"
	OrderRoute  = "POST /order"
)

// Settings are the sizes and speeds of an engine.
type Settings struct {
	fault.Settings
	// Memory is in tokens.
	MemoryTokens int
	// HoldMax is the longest time for which memory is set aside.
	MaxHold time.Duration
	// ReadToken is the time of a prompt token, and Event that of an event.
	PrefillPerToken, EventInterval time.Duration
	// EventTokens is the number of tokens in one event.
	TokensPerEvent int
	Model          string
	// Peers holds the engines that can help; an engine without Peers can use its own tickets only.
	Cluster *Cluster
}

// Option changes the settings.
type Option func(*Settings)

// WithSlots bounds the requests that run and those that wait.
func WithSlots(slots, queue int) Option {
	return func(se *Settings) { se.Slots, se.MaxWaiting = slots, queue }
}

// WithMemory sets the memory, in tokens.
func WithMemory(tokens int) Option { return func(se *Settings) { se.MemoryTokens = tokens } }

// WithTimes sets the time of a prompt token and of an event.
func WithTimings(readToken, event time.Duration) Option {
	return func(se *Settings) { se.PrefillPerToken, se.EventInterval = readToken, event }
}

// WithPeers lets engines help each other.
func WithCluster(ps *Cluster) Option { return func(se *Settings) { se.Cluster = ps } }

// Engine is the stand-in.
type Engine struct {
	*fault.Server
	settings  Settings
	admission *fault.AdmissionQueue

	mu      sync.Mutex
	version int
	// pace multiplies all times.
	slowdown float64
	tickets  map[string]*ticket
	// helped holds the requests of this and other engines that this one helps with, and how to cut each.
	helping map[*helperUse]struct{}
	// doubleUses counts the requests that used a ticket while another did.
	concurrentTicketUses int
	orders               []Order
	reportCount          int
}

// Start starts an engine on a free port of the loopback address.
func Start(opts ...Option) (*Engine, error) {
	se := Settings{
		Settings: fault.DefaultSettings(), MemoryTokens: defaultMemoryTokens, MaxHold: defaultMaxHold, EventInterval: defaultEventInterval,
		TokensPerEvent: defaultTokensPerEvent, Model: defaultModel,
	}
	for _, opt := range opts {
		opt(&se)
	}
	en := &Engine{
		settings: se, admission: fault.NewAdmissionQueue(se.Slots, se.MaxWaiting, se.MemoryTokens), version: firstVersion, slowdown: 1,
		tickets: map[string]*ticket{}, helping: map[*helperUse]struct{}{},
	}
	side := map[string]func([]byte) fault.Response{ReportRoute: en.handleReport, OrderRoute: en.handleOrder}
	sv, err := fault.Start(se.Settings, en.admission, fault.Handler{Control: side, Check: en.check, Run: en.run})
	if err != nil {
		return nil, err
	}
	en.Server = sv
	se.Cluster.add(en)
	return en, nil
}

// Close ends the engine for good, in the middle of its work.
func (en *Engine) Close() {
	en.settings.Cluster.remove(en)
	en.deleteAllTickets()
	en.Server.Close()
}

// Restart ends the incarnation in the middle of its work, and starts another under the same id with no tickets.
func (en *Engine) Restart() {
	en.deleteAllTickets()
	en.Server.Restart()
}

// Retire ends the incarnation in the middle of its work, and starts another at the same address with no tickets.
func (en *Engine) Replace() {
	en.deleteAllTickets()
	en.Server.Replace()
}

// SetVersion sets the version of the weights; streams under way say so.
func (en *Engine) SetVersion(n int) { en.mu.Lock(); defer en.mu.Unlock(); en.version = n }

// SetPace makes all times that many times as long.
func (en *Engine) SetSlowdown(x float64) { en.mu.Lock(); defer en.mu.Unlock(); en.slowdown = x }

// Version returns the version of the weights.
func (en *Engine) Version() int { en.mu.Lock(); defer en.mu.Unlock(); return en.version }

// Reports returns how many reports were asked for.
func (en *Engine) ReportCount() int { en.mu.Lock(); defer en.mu.Unlock(); return en.reportCount }

// DoubleUses returns how many requests used a ticket while another one did.
func (en *Engine) ConcurrentTicketUses() int {
	en.mu.Lock()
	defer en.mu.Unlock()
	return en.concurrentTicketUses
}

// MemoryUsed returns the memory in use and set aside, in tokens.
func (en *Engine) MemoryUsed() int { return en.admission.UsedTokens() }

func (en *Engine) slowed(d time.Duration) time.Duration {
	en.mu.Lock()
	defer en.mu.Unlock()
	return time.Duration(float64(d) * en.slowdown)
}
