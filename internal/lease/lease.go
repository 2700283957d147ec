// Package lease lets one instance at a time act for others, by an object in the platform's store. A lease speeds things
// up and orders them by its epoch; nothing that must not happen twice rests on it alone.
package lease

import (
	"context"
	"encoding/json"
	"sync"
	"time"

	"github.com/cockroachdb/errors"

	"github.com/silvermount/silvermount/internal/objectstore"
)

// Record is the stored object.
type Record struct {
	// Holder is an incarnation.
	Holder string `json:"holder"`
	// Epoch grows with every change of holder.
	Epoch int64 `json:"epoch"`
	// Renewal grows with every renewal, so that the object changes.
	Renewal int64 `json:"renewal"`
}

// Lease is one instance's part in a lease. It is safe for use by any goroutine.
type Lease struct {
	store  *objectstore.Client
	name   string
	holder string
	ttl    time.Duration
	// now also counts while the machine is suspended.
	now func() time.Duration

	mu sync.Mutex
	// epoch is zero while another holds the lease.
	epoch int64
	// until is when this instance must have stopped acting; counted from before the write that renewed it.
	until time.Duration
	// seen is the last object of another holder, and since is when it was first seen unchanged.
	seen  int64
	since time.Duration
}

// New returns an instance's part in the named lease.
func New(store *objectstore.Client, name, holder string, ttl time.Duration, now func() time.Duration) *Lease {
	return &Lease{store: store, name: name, holder: holder, ttl: ttl, now: now}
}

// Held returns the epoch when the lease is surely held for at least a margin more.
func (ls *Lease) Held(margin time.Duration) (epoch int64, ok bool) {
	ls.mu.Lock()
	defer ls.mu.Unlock()
	if ls.epoch == 0 || ls.now()+margin >= ls.until {
		return 0, false
	}
	return ls.epoch, true
}

// Try renews the lease, or takes it when its holder has not renewed it for its whole time as this instance saw it.
func (ls *Lease) TryAcquireOrRenew(ctx context.Context) error {
	began := ls.now()
	o, err := ls.store.Get(ctx, objectstore.KindLeases, ls.name)
	var missing *objectstore.NotFoundError
	if errors.As(err, &missing) {
		return ls.write(ctx, began, 0, Record{Holder: ls.holder, Epoch: 1})
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
		return ls.write(ctx, began, o.Version, rc)
	}
	if !ls.lapsed(o.Version) {
		return nil
	}
	return ls.write(ctx, began, o.Version, Record{Holder: ls.holder, Epoch: rc.Epoch + 1})
}

// lapsed notes another holder's object and reports whether it has been unchanged for the lease's whole time.
func (ls *Lease) lapsed(version int64) bool {
	ls.mu.Lock()
	defer ls.mu.Unlock()
	ls.epoch = 0
	if ls.seen != version {
		ls.seen, ls.since = version, ls.now()
		return false
	}
	return ls.now()-ls.since > ls.ttl
}

// write stores the record. After a lost answer the lease is not held until the next Try reads it back.
func (ls *Lease) write(ctx context.Context, began time.Duration, version int64, rc Record) error {
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
	ls.epoch, ls.until = rc.Epoch, began+ls.ttl
	return nil
}
