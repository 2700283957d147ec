package modelsim

import (
	"context"
	"net"
	"strings"
	"sync"

	"github.com/cockroachdb/errors"
)

// maxHelpers is the maximum number of helpers that the protocol allows for a request.
const maxHelpers = 16

// Helper names an engine that computes a part of the prefill of a prompt.
type Helper struct {
	Address string
	// Ticket is the ticket that reserves memory for the request at the helper; it is empty without one.
	Ticket string
}

// parseHelpers reports false when the header is malformed or names too many helpers.
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

// Cluster is a set of engines that can help each other. A nil Cluster is empty.
type Cluster struct {
	mu sync.Mutex
	// engines holds the engines by address.
	engines map[string]*Engine
}

// NewCluster returns an empty cluster.
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

// helperUse is the use of a helper by one request.
type helperUse struct {
	// ticket is nil when the request has no memory reserved at the helper.
	ticket *ticket
	// abort ends the request.
	abort func()
}

// engineAt returns this or another engine of the cluster by its address, or nil.
func (en *Engine) engineAt(address string) *Engine {
	if address == en.Address() {
		return en
	}
	return en.settings.Cluster.find(address)
}

// lentTokens returns the memory that the tickets of the helpers reserve, in tokens, or the address of a helper that cannot
// help.
func (en *Engine) lentTokens(helpers []Helper) (tokens int, unavailable string) {
	for _, hp := range helpers {
		other := en.engineAt(hp.Address)
		if other == nil || !other.canHelp(hp, en) {
			return 0, hp.Address
		}
		tokens += other.ticketTokens(hp.Ticket)
	}
	return tokens, ""
}

// canHelp reports whether the engine can help with a request that the leader runs. The leader may use its own tickets.
func (en *Engine) canHelp(hp Helper, leader *Engine) bool {
	if en != leader && en.Draining() {
		return false
	}
	en.mu.Lock()
	defer en.mu.Unlock()
	if en != leader && len(en.helping) >= en.settings.Slots {
		return false
	}
	return hp.Ticket == "" || en.tickets[hp.Ticket].held()
}

// helperLostError is the cancellation cause of a request whose helper or ticket was lost.
type helperLostError struct{ address string }

// Error returns a message with the address of the helper.
func (hl helperLostError) Error() string {
	return "helper engine at " + hl.address + " or its ticket was lost"
}

// engageHelpers uses the helpers until ctx ends. The returned context ends earlier when a helper or its ticket is lost.
func (en *Engine) engageHelpers(ctx context.Context, helpers []Helper) context.Context {
	hctx, abort := context.WithCancelCause(ctx)
	context.AfterFunc(ctx, func() { abort(nil) })
	for _, hp := range helpers {
		abortLost := func() { abort(helperLostError{address: hp.Address}) }
		other := en.engineAt(hp.Address)
		if other == nil || !other.canHelp(hp, en) {
			abortLost()
			return hctx
		}
		other.startHelping(hctx, hp, abortLost)
	}
	return hctx
}

// lostHelperAddress returns the address of the helper whose loss ended the request, or an empty string.
func lostHelperAddress(ctx context.Context) string {
	var hl helperLostError
	if errors.As(context.Cause(ctx), &hl) {
		return hl.address
	}
	return ""
}

// startHelping records the use of this engine as a helper until ctx ends.
func (en *Engine) startHelping(ctx context.Context, hp Helper, abort func()) {
	en.mu.Lock()
	defer en.mu.Unlock()
	hu := &helperUse{ticket: en.tickets[hp.Ticket], abort: abort}
	if hu.ticket != nil && en.inUse(hu.ticket) {
		en.concurrentTicketUses++
	}
	en.helping[hu] = struct{}{}
	context.AfterFunc(ctx, func() {
		en.mu.Lock()
		defer en.mu.Unlock()
		delete(en.helping, hu)
	})
}

// inUse reports whether a request uses the ticket. The caller must hold the lock.
func (en *Engine) inUse(tk *ticket) bool {
	for hu := range en.helping {
		if hu.ticket == tk {
			return true
		}
	}
	return false
}
