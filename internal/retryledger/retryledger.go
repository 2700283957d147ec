// Package retryledger keeps the retry floor of a fleet in the platform's store, where it outlives every instance.
//
// For each service the store holds one page: the reservations of retries that may still count in a window. An instance reserves retries
// before it uses them, by a conditional write, and uses them within Options.Validity. A reservation leaves the page only after an instance
// has seen it there for a whole window and its validity. Therefore the retries of all reservations that are used in any window never exceed
// the limit, whichever instances are killed, replaced or cut off. No clocks of different instances are compared.
package retryledger

import (
	"context"
	"crypto/rand"
	"encoding/hex"
	"encoding/json"
	mathrand "math/rand/v2"
	"strconv"
	"sync"
	"time"

	"github.com/cockroachdb/errors"

	"github.com/silvermount/silvermount/internal/objectstore"
)

const (
	// maxConflicts is how many conflicting writes of other instances a change of a page survives.
	maxConflicts = 8
	// conflictDelay is the maximum wait after the first conflict; it doubles with each further one. It is about the time of a call, so that
	// the instances that change a page at the same time do so one after the other.
	conflictDelay = 4 * time.Millisecond
	// refreshInterval is the minimum age of a page without free retries before it is read again.
	refreshInterval = time.Second
	// maxReservations bounds the size of a page.
	maxReservations = 128
	// maxShare is the inverse of the largest part of the free retries that one reservation takes, so that some are left to others.
	maxShare = 4
	// idBytes is the length of the random ID of a reservation.
	idBytes = 8
)

// Store holds the pages. All fields are set.
type Store struct {
	// Get returns a page, or an objectstore.NotFoundError.
	Get func(ctx context.Context, service string) (objectstore.Object, error)
	// List returns all pages.
	List func(ctx context.Context) (objectstore.Listing, error)
	// Write replaces the page that has the given version, or creates it if the version is zero, and returns it. If the page has another
	// version, it fails with an objectstore.ConflictError; the object is then the current page, or zero if that is not known.
	Write func(ctx context.Context, service string, version int64, value json.RawMessage) (objectstore.Object, error)
}

// Options configures a Ledger. All fields are required.
type Options struct {
	Store Store
	// Now returns the time of a monotonic clock.
	Now func() time.Time
	// Sleep waits, at most until ctx ends.
	Sleep func(ctx context.Context, d time.Duration)
}

// Limits bounds the reservations of each service.
type Limits struct {
	// Retries is the maximum number of retries in each Window.
	Retries int
	Window  time.Duration
	// Validity is how long reserved retries may be used.
	Validity time.Duration
}

// lifetime is how long a reservation must have been seen before it no longer counts.
func (lm Limits) lifetime() time.Duration { return lm.Window + lm.Validity }

// Reservation is a number of retries that one instance may use.
type Reservation struct {
	Service, ID string
	// Retries is greater than zero.
	Retries int
	// Until is when the validity ends.
	Until time.Time
	// Free is what was left for others.
	Free int
}

// ExhaustedError means that all retries of a service are reserved.
type ExhaustedError struct {
	Service string
	// Until is when the next reservation expires, as far as this instance knows.
	Until time.Time
}

// Error names the service.
func (ee *ExhaustedError) Error() string {
	return "all retries of service " + ee.Service + " are reserved"
}

// ContentionError means that other instances changed a page at each try.
type ContentionError struct{ Service string }

// Error names the service.
func (ce *ContentionError) Error() string {
	return "page of service " + ce.Service + " was changed " + strconv.Itoa(maxConflicts) + " times by other instances"
}

// Ledger reserves retries. It is safe for concurrent use.
type Ledger struct {
	opts Options

	mu     sync.Mutex
	limits Limits
	pages  map[string]*page
}

// New returns a ledger that allows nothing until SetLimits is called.
func New(o Options) *Ledger { return &Ledger{opts: o, pages: map[string]*page{}} }

// SetLimits replaces the limits. All instances must use the same ones.
func (lg *Ledger) SetLimits(lm Limits) {
	lg.mu.Lock()
	defer lg.mu.Unlock()
	lg.limits = lm
}

// Retain forgets the pages of all other services. Reservations remain in the store.
func (lg *Ledger) Retain(services func(name string) bool) {
	lg.mu.Lock()
	defer lg.mu.Unlock()
	for name := range lg.pages {
		if !services(name) {
			delete(lg.pages, name)
		}
	}
}

// page returns what is known of a service, and the limits.
func (lg *Ledger) page(service string) (*page, Limits) {
	lg.mu.Lock()
	defer lg.mu.Unlock()
	pg, ok := lg.pages[service]
	if !ok {
		pg = &page{service: service, seenAt: map[string]time.Time{}, own: map[string]bool{}}
		lg.pages[service] = pg
	}
	return pg, lg.limits
}

// Reserve reserves up to want retries of a service, at least one. It fails with an ExhaustedError if none are left, with a
// ContentionError, or with an error of the store. After an error of the store the retries may be reserved, but nobody uses them.
func (lg *Ledger) Reserve(ctx context.Context, service string, want int) (Reservation, error) {
	pg, lm := lg.page(service)
	pg.mu.Lock()
	defer pg.mu.Unlock()
	for conflicts := range maxConflicts {
		lg.waitAfter(ctx, conflicts)
		if err := lg.load(ctx, pg, lm); err != nil {
			return Reservation{}, err
		}
		now := lg.opts.Now()
		kept := pg.unexpired(now, lm)
		free := lm.Retries - sum(kept)
		if now.Before(pg.blockedUntil) {
			free = 0
		}
		if free < 1 && now.Sub(pg.readAt) >= refreshInterval {
			pg.known = false
			continue
		}
		if free < 1 {
			return Reservation{}, &ExhaustedError{Service: service, Until: pg.nextExpiry(lm)}
		}
		rs := Reservation{Service: service, ID: newID(), Retries: amount(want, free, lm), Until: now.Add(lm.Validity)}
		rs.Free = free - rs.Retries
		written, err := lg.write(ctx, pg, lm, append(kept, entry{ID: rs.ID, Retries: rs.Retries}))
		if err != nil {
			return Reservation{}, err
		}
		if written {
			pg.own[rs.ID] = true
			return rs, nil
		}
	}
	return Reservation{}, &ContentionError{Service: service}
}

// waitAfter waits for a random time after a number of conflicts in a row.
func (lg *Ledger) waitAfter(ctx context.Context, conflicts int) {
	if conflicts > 0 {
		lg.opts.Sleep(ctx, mathrand.N(conflictDelay<<(conflicts-1)))
	}
}

// amount returns how many of the free retries one reservation takes.
func amount(want, free int, lm Limits) int {
	least := (lm.Retries + maxReservations - 1) / maxReservations
	most := (free + maxShare - 1) / maxShare
	return min(free, max(least, min(want, most)))
}

// Release returns retries of a reservation that were not used and never will be. Its error is one of the store.
func (lg *Ledger) Release(ctx context.Context, rs Reservation, unused int) error {
	return lg.rewrite(ctx, rs.Service, func(es []entry) ([]entry, bool) { return withoutRetries(es, rs.ID, unused) })
}

// Tidy removes the expired reservations of this instance from the store, and those of instances that did not do so themselves. An
// instance that starts later then need not wait for them to expire. Its error is one of the store.
func (lg *Ledger) Tidy(ctx context.Context) error {
	var errs error
	for _, service := range lg.services() {
		errs = errors.CombineErrors(errs, lg.tidy(ctx, service))
	}
	return errs
}

func (lg *Ledger) tidy(ctx context.Context, service string) error {
	pg, lm := lg.page(service)
	pg.mu.Lock()
	due := pg.known && pg.tidyDue(lg.opts.Now(), lm)
	pg.mu.Unlock()
	if !due {
		return nil
	}
	return lg.rewrite(ctx, service, func(es []entry) ([]entry, bool) { return es, true })
}

// Observe reads all pages, so that reservations of earlier lives begin to expire. Its error is one of the store.
func (lg *Ledger) Observe(ctx context.Context) error {
	listing, err := lg.opts.Store.List(ctx)
	if err != nil {
		return errors.Wrap(err, "list pages")
	}
	now := lg.opts.Now()
	var errs error
	for _, ob := range listing.Items {
		pg, lm := lg.page(ob.Name)
		pg.mu.Lock()
		errs = errors.CombineErrors(errs, pg.accept(ob, now, lm))
		pg.mu.Unlock()
	}
	return errs
}

func (lg *Ledger) services() []string {
	lg.mu.Lock()
	defer lg.mu.Unlock()
	names := make([]string, 0, len(lg.pages))
	for name := range lg.pages {
		names = append(names, name)
	}
	return names
}

// rewrite replaces the unexpired reservations of a service by the result of edit, unless that reports false.
func (lg *Ledger) rewrite(ctx context.Context, service string, edit func([]entry) ([]entry, bool)) error {
	pg, lm := lg.page(service)
	pg.mu.Lock()
	defer pg.mu.Unlock()
	for conflicts := range maxConflicts {
		lg.waitAfter(ctx, conflicts)
		if err := lg.load(ctx, pg, lm); err != nil {
			return err
		}
		es, changed := edit(pg.unexpired(lg.opts.Now(), lm))
		if !changed {
			return nil
		}
		if written, err := lg.write(ctx, pg, lm, es); err != nil || written {
			return err
		}
	}
	return &ContentionError{Service: service}
}

// load reads a page that is not known. The caller holds the page's lock.
func (lg *Ledger) load(ctx context.Context, pg *page, lm Limits) error {
	if pg.known {
		return nil
	}
	ob, err := lg.opts.Store.Get(ctx, pg.service)
	var ne *objectstore.NotFoundError
	if errors.As(err, &ne) {
		ob, err = objectstore.Object{}, nil
	}
	if err != nil {
		return errors.Wrap(err, "read page of service "+pg.service)
	}
	return pg.accept(ob, lg.opts.Now(), lm)
}

// write replaces the reservations of a page. It reports false if another instance has changed the page. The caller holds the page's lock.
func (lg *Ledger) write(ctx context.Context, pg *page, lm Limits, es []entry) (bool, error) {
	value, err := json.Marshal(record{Reservations: es})
	if err != nil {
		return false, errors.Wrap(err, "encode page")
	}
	ob, err := lg.opts.Store.Write(ctx, pg.service, pg.version, value)
	now := lg.opts.Now()
	var ce *objectstore.ConflictError
	switch {
	case errors.As(err, &ce):
		pg.known = false
		if ob.Version > 0 {
			return false, pg.accept(ob, now, lm)
		}
		return false, nil
	case err != nil:
		pg.known = false
		return false, errors.Wrap(err, "write page of service "+pg.service)
	}
	ob.Value = value
	return true, pg.accept(ob, now, lm)
}

// newID returns a random ID.
func newID() string {
	var b [idBytes]byte
	_, _ = rand.Read(b[:]) // it never fails
	return hex.EncodeToString(b[:])
}
