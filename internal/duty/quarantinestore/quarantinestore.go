// Package quarantinestore is the duty that keeps quarantines in the object store, so that they outlive a restart of all instances.
//
// All instances know the same quarantines. A few of them write each one, without a condition, since all write the same; and a few read
// them all when they start, and tell the others. Nothing waits for the store: while it is out of reach, peers are the only memory.
package quarantinestore

import (
	"context"
	"time"

	"github.com/apex/log"

	"github.com/silvermount/silvermount/internal/adapter"
	"github.com/silvermount/silvermount/internal/config"
	"github.com/silvermount/silvermount/internal/duty/gatewaydeps"
	"github.com/silvermount/silvermount/internal/kernel"
	"github.com/silvermount/silvermount/internal/quarantine"
)

func init() {
	kernel.Register(kernel.Duty{Name: "quarantines", Role: config.RoleGateway, Phase: kernel.PhasePeers, Start: start})
}

const (
	// firstWriters is the mean number of instances that write a change at once, and writers that of all that write it. The others
	// do so after writeDelay, in case that none of the first could.
	firstWriters = 4
	writers      = 12
	writeDelay   = 5 * time.Second
	// readers is the mean number of instances that read the store when all start at the same time.
	readers = 8
	// peerDelay is the time after the start in which the first peers are found.
	peerDelay = 150 * time.Millisecond
	// maxWrites is how often a write is tried.
	maxWrites = 6
	// minRetryDelay and maxRetryDelay bound the time between two tries of a call.
	minRetryDelay = 500 * time.Millisecond
	maxRetryDelay = 15 * time.Second
)

// keeper keeps the quarantines of a tracker in the store. It is used by one goroutine.
type keeper struct {
	records adapter.Records
	kind    string
	tracker *quarantine.Tracker
	now     func() time.Time
	lg      log.Interface
	// sleep waits, and reports false if ctx ends first.
	sleep func(ctx context.Context, d time.Duration) bool
	// latest holds the newest change of each object that is still to be written.
	latest map[string]quarantine.Change
	// due receives the names of the objects whose write was delayed.
	due chan string
}

func start(_ context.Context, env *kernel.Env) (kernel.Stop, error) {
	co, err := kernel.Resolve[*gatewaydeps.Components](env)
	if err != nil {
		return nil, err
	}
	gw := env.Settings.Gateway
	calls := co.Metrics.GetOrCreateCounter("silvermount_store_calls_total")
	kp := &keeper{
		records: co.Adapter.Records(gw.Store, calls.Inc), kind: co.Adapter.QuarantineKind, tracker: co.Quarantine, now: time.Now,
		lg: env.Logger("blame"), sleep: sleep, latest: map[string]quarantine.Change{}, due: make(chan string),
	}
	// Before the first start of all instances nothing was quarantined.
	readFirst := !gw.FirstStart
	return kernel.Go(func(ctx context.Context) {
		if readFirst {
			go kp.read(ctx)
		}
		kp.write(ctx, co.QuarantineChanges)
	}), nil
}

// read adds the quarantines in the store to the tracker. It tries until the store answers.
func (kp *keeper) read(ctx context.Context) {
	if !kp.sleep(ctx, peerDelay) || kp.tracker.StartRank() >= readers {
		return
	}
	for delay := minRetryDelay; ; delay = min(2*delay, maxRetryDelay) {
		listing, err := kp.records.List(ctx, kp.kind)
		if err == nil {
			kp.restore(ctx, kp.decode(listing.Items))
			return
		}
		kp.lg.WithError(err).Warn("cannot read quarantines from the store")
		if !kp.sleep(ctx, delay) {
			return
		}
	}
}

// restore adds quarantines to the tracker, and removes those that ended long ago from the store.
func (kp *keeper) restore(ctx context.Context, list []quarantine.Quarantine) {
	for _, qu := range kp.tracker.Restore(list) {
		kp.store(ctx, quarantine.Change{Quarantine: qu, Ended: true})
	}
}

// write writes changes to the store until ctx ends.
func (kp *keeper) write(ctx context.Context, changes <-chan quarantine.Change) {
	for {
		select {
		case <-ctx.Done():
			return
		case ch := <-changes:
			kp.schedule(ctx, ch)
		case name := <-kp.due:
			kp.writeLatest(ctx, name)
		}
	}
}

// schedule writes a change now or later, or leaves it to other instances.
func (kp *keeper) schedule(ctx context.Context, ch quarantine.Change) {
	name := ch.Quarantine.RecordName()
	if ch.Rank >= writers {
		delete(kp.latest, name)
		return
	}
	kp.latest[name] = ch
	if ch.Rank < firstWriters {
		kp.writeLatest(ctx, name)
		return
	}
	time.AfterFunc(writeDelay, func() {
		select {
		case kp.due <- name:
		case <-ctx.Done():
		}
	})
}

// writeLatest writes the newest change of an object, unless that was done.
func (kp *keeper) writeLatest(ctx context.Context, name string) {
	ch, ok := kp.latest[name]
	if !ok {
		return
	}
	delete(kp.latest, name)
	kp.store(ctx, ch)
}

// store writes a change, and tries again a few times if that fails.
func (kp *keeper) store(ctx context.Context, ch quarantine.Change) {
	delay := minRetryDelay
	for range maxWrites {
		err := kp.storeOnce(ctx, ch)
		if err == nil {
			return
		}
		kp.lg.WithError(err).WithField("fingerprint", ch.Quarantine.ID().String()).Warn("cannot keep quarantine in the store")
		if !kp.sleep(ctx, delay) {
			return
		}
		delay = min(2*delay, maxRetryDelay)
	}
}

func (kp *keeper) storeOnce(ctx context.Context, ch quarantine.Change) error {
	name := ch.Quarantine.RecordName()
	if ch.Ended {
		return kp.records.Remove(ctx, kp.kind, name)
	}
	value, err := ch.Quarantine.EncodeRecord()
	if err != nil {
		return err
	}
	return kp.records.Put(ctx, kp.kind, name, value)
}

// sleep waits for d. It reports false if ctx ends first.
func sleep(ctx context.Context, d time.Duration) bool {
	tm := time.NewTimer(d)
	defer tm.Stop()
	select {
	case <-tm.C:
		return true
	case <-ctx.Done():
		return false
	}
}
