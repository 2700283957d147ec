package modelsim

import (
	"context"
	"net"
	"strings"
	"sync"

	"github.com/cockroachdb/errors"
)

// maxHelpers is the bound of the protocol.
const maxHelpers = 16

// Helper names an engine that reads a part of a prompt.
type Helper struct {
	Address string
	// Ticket is empty when the helper keeps no memory for the request.
	Ticket string
}

// parseHelpers reports false when the header is malformed.
func parseHelpers(header string) ([]Helper, bool) {
	if header == "" {
		return nil, true
	}
	var all []Helper
	for part := range strings.SplitSeq(header, ",") {
		address, ticket, _ := strings.Cut(strings.TrimSpace(part), "/")
		if _, _, err := net.SplitHostPort(address); err != nil {
			return nil, false
		}
		all = append(all, Helper{Address: address, Ticket: ticket})
	}
	return all, len(all) <= maxHelpers
}

// Peers are engines that can help each other. A nil Peers holds none.
type Cluster struct {
	mu sync.Mutex
	// engines are by address.
	engines map[string]*Engine
}

// NewPeers returns an empty set.
func NewCluster() *Cluster { return &Cluster{engines: map[string]*Engine{}} }

func (cl *Cluster) add(en *Engine) {
	if cl == nil {
		return
	}
	cl.mu.Lock()
	defer cl.mu.Unlock()
	cl.engines[en.Address()] = en
}

func (cl *Cluster) remove(en *Engine) {
	if cl == nil {
		return
	}
	cl.mu.Lock()
	defer cl.mu.Unlock()
	delete(cl.engines, en.Address())
}

func (cl *Cluster) find(address string) *Engine {
	if cl == nil {
		return nil
	}
	cl.mu.Lock()
	defer cl.mu.Unlock()
	return cl.engines[address]
}

// use is one request that an engine helps with.
type helperUse struct {
	// ticket is nil when the request keeps no memory at the engine.
	ticket *ticket
	abort  func()
}

func (en *Engine) engineAt(address string) *Engine {
	if address == en.Address() {
		return en
	}
	return en.settings.Cluster.find(address)
}

// lent returns the memory in the tickets of the helpers, in tokens, or the address of one that cannot help.
func (en *Engine) lentTokens(helpers []Helper) (tokens int, lacking string) {
	for _, hp := range helpers {
		other := en.engineAt(hp.Address)
		if other == nil || !other.canHelp(hp, en) {
			return 0, hp.Address
		}
		tokens += other.ticketTokens(hp.Ticket)
	}
	return tokens, ""
}

// canHelp reports whether the engine would take part in a request of another one.
func (en *Engine) canHelp(hp Helper, first *Engine) bool {
	if en != first && en.Draining() {
		return false
	}
	en.mu.Lock()
	defer en.mu.Unlock()
	if en != first && len(en.helping) >= en.settings.Slots {
		return false
	}
	return hp.Ticket == "" || en.tickets[hp.Ticket].held()
}

// lostError is the cause of the end of a request whose helper or ticket was lost.
type helperLostError struct{ address string }

// Error names the helper.
func (le helperLostError) Error() string { return "the engine at " + le.address + " was lost" }

// useHelpers takes the helpers into use until ctx ends. The context returned ends as well when one of them is lost.
func (en *Engine) engageHelpers(ctx context.Context, helpers []Helper) context.Context {
	used, cut := context.WithCancelCause(ctx)
	context.AfterFunc(ctx, func() { cut(nil) })
	for _, hp := range helpers {
		lost := func() { cut(helperLostError{address: hp.Address}) }
		other := en.engineAt(hp.Address)
		if other == nil || !other.canHelp(hp, en) {
			lost()
			return used
		}
		other.startHelping(used, hp, lost)
	}
	return used
}

// lostHelper returns the address of the helper whose loss ended the request, if one did.
func lostHelperAddress(ctx context.Context) string {
	var le helperLostError
	if errors.As(context.Cause(ctx), &le) {
		return le.address
	}
	return ""
}

func (en *Engine) startHelping(ctx context.Context, hp Helper, cut func()) {
	en.mu.Lock()
	defer en.mu.Unlock()
	us := &helperUse{ticket: en.tickets[hp.Ticket], abort: cut}
	if us.ticket != nil && en.inUse(us.ticket) {
		en.concurrentTicketUses++
	}
	en.helping[us] = struct{}{}
	context.AfterFunc(ctx, func() {
		en.mu.Lock()
		defer en.mu.Unlock()
		delete(en.helping, us)
	})
}

// inUse is called with the lock held.
func (en *Engine) inUse(tk *ticket) bool {
	for us := range en.helping {
		if us.ticket == tk {
			return true
		}
	}
	return false
}
