// Package lease provides leases that let one instance at a time act on behalf of the others. A lease is an object in the
// platform's store. It makes work faster and orders it by epoch. An action that must not happen twice must not rely on a lease
// alone.
package lease

import (
	"context"
	"encoding/json"
	"sync"
	"time"

	"github.com/cockroachdb/errors"

	"github.com/silvermount/silvermount/internal/objectstore"
)

// Record is the stored value of a lease object.
type Record struct {
	// Holder is the incarnation of the instance that holds the lease.
	Holder string `json:"holder"`
	// Epoch increases with every change of holder.
	Epoch int64 `json:"epoch"`
	// Renewal increases with every renewal, so that the stored value changes.
	Renewal int64 `json:"renewal"`
}

// Lease is the handle of one instance on a named lease. It is safe for concurrent use.
type Lease struct {
	store  *objectstore.Client
	name   string
	holder string
	ttl    time.Duration
	// now is a monotonic clock that also advances while the system is suspended.
	now func() time.Duration

	mu sync.Mutex
	// epoch is zero unless this instance acquired the lease and has seen no other holder since.
	epoch int64
	// expiresAt is when this instance must stop acting. It is measured from before the store operations of the last renewal.
	expiresAt time.Duration
	// seenVersion is the last version of another holder's object, and unchangedSince is when this version was first seen.
	seenVersion    int64
	unchangedSince time.Duration
}

// New returns a handle on the named lease. The lease expires when it is not renewed for ttl.
func New(store *objectstore.Client, name, holder string, ttl time.Duration, now func() time.Duration) *Lease {
	return &Lease{store: store, name: name, holder: holder, ttl: ttl, now: now}
}

// Held returns the epoch of the lease if this instance holds it for longer than margin from now.
func (ls *Lease) Held(margin time.Duration) (epoch int64, ok bool) {
	ls.mu.Lock()
	defer ls.mu.Unlock()
	if ls.epoch == 0 || ls.now()+margin >= ls.expiresAt {
		return 0, false
	}
	return ls.epoch, true
}

// TryAcquireOrRenew renews the lease if this instance holds it. It acquires the lease if there is no holder, or if this instance
// has seen no renewal by the holder for longer than the lease's ttl.
func (ls *Lease) TryAcquireOrRenew(ctx context.Context) error {
	start := ls.now()
	o, err := ls.store.Get(ctx, objectstore.KindLeases, ls.name)
	var notFound *objectstore.NotFoundError
	if errors.As(err, &notFound) {
		return ls.write(ctx, start, 0, Record{Holder: ls.holder, Epoch: 1})
	}
	if err != nil {
		return errors.Wrap(err, "read lease")
	}
	var rc Record
	if err := json.Unmarshal(o.Value, &rc); err != nil {
		return errors.Wrap(err, "decode lease")
	}
	if rc.Holder == ls.holder {
		rc.Renewal++
		return ls.write(ctx, start, o.Version, rc)
	}
	if !ls.observeExpiry(o.Version) {
		return nil
	}
	return ls.write(ctx, start, o.Version, Record{Holder: ls.holder, Epoch: rc.Epoch + 1})
}

// observeExpiry records the version of another holder's object and reports whether it has been unchanged for longer than the
// lease's ttl.
func (ls *Lease) observeExpiry(version int64) bool {
	ls.mu.Lock()
	defer ls.mu.Unlock()
	ls.epoch = 0
	if ls.seenVersion != version {
		ls.seenVersion, ls.unchangedSince = version, ls.now()
		return false
	}
	return ls.now()-ls.unchangedSince > ls.ttl
}

// write stores the record. If the response is lost, a renewed lease keeps its earlier expiry, and a newly acquired one does not
// count as held until the next TryAcquireOrRenew reads it back.
func (ls *Lease) write(ctx context.Context, start time.Duration, version int64, rc Record) error {
	var err error
	if version == 0 {
		_, err = ls.store.Create(ctx, objectstore.KindLeases, ls.name, rc)
	} else {
		_, err = ls.store.Update(ctx, objectstore.KindLeases, ls.name, version, rc)
	}
	if err != nil {
		return errors.Wrap(err, "write lease")
	}
	ls.mu.Lock()
	defer ls.mu.Unlock()
	ls.epoch, ls.expiresAt = rc.Epoch, start+ls.ttl
	return nil
}
