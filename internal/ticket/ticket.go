// Package ticket lets a request run at most once without the platform's store: only the incarnation that issued the request's
// ticket runs it, and keeps the ticket's state in memory.
package ticket

import (
	"strings"
	"sync"
	"time"

	"github.com/silvermount/silvermount/internal/claim"
	"github.com/silvermount/silvermount/internal/failure"
	"github.com/silvermount/silvermount/internal/ident"
)

const separator = "."

// state is the state of a ticket.
type state int

const (
	// issued is the state of a ticket that can be redeemed.
	issued state = iota
	running
	done
	// lost is the state of a ticket whose request was run with an unknown result.
	lost
)

type entry struct {
	state     state
	response  *claim.Response
	expiresAt time.Time
}

// Ledger holds the tickets of one incarnation. It is safe for use by any goroutine.
type Ledger struct {
	incarnation string
	retention   time.Duration
	maxTickets  int
	now         func() time.Time

	mu      sync.Mutex
	entries map[string]*entry
}

// New returns an empty ledger that holds at most maxTickets tickets, each for the retention time after its issue or the end of
// its run.
func New(incarnation string, retention time.Duration, maxTickets int, now func() time.Time) *Ledger {
	return &Ledger{incarnation: incarnation, retention: retention, maxTickets: maxTickets, now: now, entries: map[string]*entry{}}
}

// Issuer returns the incarnation that issued the ticket.
func Issuer(ticket string) string {
	issuer, _, _ := strings.Cut(ticket, separator)
	return issuer
}

// Issue returns a new ticket and the time for which it is valid.
func (lg *Ledger) Issue() (string, time.Duration, error) {
	lg.mu.Lock()
	defer lg.mu.Unlock()
	lg.removeExpired()
	if len(lg.entries) >= lg.maxTickets {
		return "", 0, failure.New(failure.Overloaded, failure.NotRun, "%d tickets are out", len(lg.entries)).
			WithRetryAfter(time.Second)
	}
	id := lg.incarnation + separator + ident.New("ticket")
	lg.entries[id] = &entry{expiresAt: lg.now().Add(lg.retention)}
	return id, lg.retention, nil
}

// Redeem returns a nil response if the request may run now, or the recorded response if it has already run. It returns an error
// if the ticket is unknown, or if the request is running or has run without a known result.
func (lg *Ledger) Redeem(ticket string) (*claim.Response, error) {
	lg.mu.Lock()
	defer lg.mu.Unlock()
	lg.removeExpired()
	en := lg.entries[ticket]
	switch {
	case en == nil:
		return nil, failure.New(failure.TicketUnknown, failure.Unknown, "the ticket is not, or no longer, known")
	case en.state == issued:
		en.state = running
		return nil, nil
	case en.state == done:
		return en.response, nil
	case en.state == running:
		return nil, failure.New(failure.KeyInUse, failure.Unknown, "the request is running").WithRetryAfter(time.Second)
	default:
		return nil, failure.New(failure.KeyInUse, failure.Unknown, "the request was run; its result is not known")
	}
}

// Complete records the response of the request.
func (lg *Ledger) Complete(ticket string, resp claim.Response) {
	lg.set(ticket, entry{state: done, response: &resp})
}

// Release makes a ticket redeemable again after a request that was not run.
func (lg *Ledger) Release(ticket string) { lg.set(ticket, entry{state: issued}) }

// MarkLost records that the result of the request is unknown.
func (lg *Ledger) MarkLost(ticket string) { lg.set(ticket, entry{state: lost}) }

func (lg *Ledger) set(ticket string, en entry) {
	lg.mu.Lock()
	defer lg.mu.Unlock()
	en.expiresAt = lg.now().Add(lg.retention)
	lg.entries[ticket] = &en
}

// removeExpired removes tickets past their retention time, except those of running requests. The caller holds the lock.
func (lg *Ledger) removeExpired() {
	now := lg.now()
	for id, en := range lg.entries {
		if en.state != running && now.After(en.expiresAt) {
			delete(lg.entries, id)
		}
	}
}
