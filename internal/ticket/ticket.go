// Package ticket makes a request with a ticket run at most once without the platform's store: only the incarnation
// that issued a ticket runs it, from a ledger in its memory.
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

type state int

const (
	issued state = iota
	running
	done
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

// New returns an empty ledger that keeps each ticket for a time, and at most limit tickets.
func New(incarnation string, keep time.Duration, limit int, now func() time.Time) *Ledger {
	return &Ledger{incarnation: incarnation, retention: keep, maxTickets: limit, now: now, entries: map[string]*entry{}}
}

// Issuer returns the incarnation that a ticket names.
func Issuer(ticket string) string {
	issuer, _, _ := strings.Cut(ticket, separator)
	return issuer
}

// Issue returns a new ticket and how long it is kept.
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

// Take honours a ticket: it returns nothing when the request may run now, or the recorded answer of its run.
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

// Finish records the answer of the run.
func (lg *Ledger) Complete(ticket string, ans claim.Response) {
	lg.set(ticket, entry{state: done, response: &ans})
}

// Release lets the ticket be used again, after a request of which nothing was run.
func (lg *Ledger) Release(ticket string) { lg.set(ticket, entry{state: issued}) }

// Lose records that the result is not known.
func (lg *Ledger) MarkLost(ticket string) { lg.set(ticket, entry{state: lost}) }

func (lg *Ledger) set(ticket string, en entry) {
	lg.mu.Lock()
	defer lg.mu.Unlock()
	en.expiresAt = lg.now().Add(lg.retention)
	lg.entries[ticket] = &en
}

// sweep is called with the lock held.
func (lg *Ledger) removeExpired() {
	now := lg.now()
	for id, en := range lg.entries {
		if en.state != running && now.After(en.expiresAt) {
			delete(lg.entries, id)
		}
	}
}
