package gatewaydeps

import (
	"context"
	"encoding/json"
	"sync/atomic"
	"time"

	"github.com/silvermount/silvermount/internal/adapter"
	"github.com/silvermount/silvermount/internal/kernel"
	"github.com/silvermount/silvermount/internal/objectstore"
	"github.com/silvermount/silvermount/internal/retrybudget"
	"github.com/silvermount/silvermount/internal/retryledger"
)

// Retries is the retry budget of the fleet as this instance takes part in it.
type Retries struct {
	// Own holds the accounts of this instance, and Zone those of its availability zone, which are used while this instance holds them.
	Own, Zone *retrybudget.Budget
	// Shared withdraws a retry from the accounts of the availability zone, wherever they are held.
	Shared *SharedRetry
	// Ledger is the part of the floor that is kept in the store.
	Ledger *retryledger.Ledger
}

// newRetries returns a retry budget that begins empty.
func newRetries(env *kernel.Env, ad adapter.Adapter, onCall func()) *Retries {
	gw := env.Settings.Gateway
	lg := retryledger.New(retryledger.Options{Store: ledgerStore(ad.Records(gw.Store, onCall), ad.RetryLedgerKind), Now: time.Now, Sleep: sleep})
	newBudget := func() *retrybudget.Budget {
		return retrybudget.New(retrybudget.Options{
			Ratio: gw.RetryShare, Reserve: lg.Reserve, Release: lg.Release, Spawn: func(f func()) { go f() }, Now: time.Now, Log: env.Logger("retries"),
		})
	}
	return &Retries{Own: newBudget(), Zone: newBudget(), Shared: &SharedRetry{}, Ledger: lg}
}

// ledgerStore returns the pages of the retry ledger in the object store.
func ledgerStore(rc adapter.Records, kind string) retryledger.Store {
	return retryledger.Store{
		Get: func(ctx context.Context, service string) (objectstore.Object, error) {
			return rc.Get(ctx, kind, service)
		},
		List: func(ctx context.Context) (objectstore.Listing, error) { return rc.List(ctx, kind) },
		Write: func(ctx context.Context, service string, version int64, value json.RawMessage) (objectstore.Object, error) {
			return rc.Replace(ctx, kind, service, version, value)
		},
	}
}

// SharedRetry withdraws retries from the accounts that instances share, by a function that is set later. It is safe for concurrent use.
type SharedRetry struct {
	withdraw atomic.Pointer[retrybudget.BorrowFunc]
}

// NoPeersError means that the peers of this instance are not known yet.
type NoPeersError struct{}

// Error says so.
func (*NoPeersError) Error() string { return "the peers of this instance are not known yet" }

// Set sets the function that Withdraw calls.
func (sr *SharedRetry) Set(withdraw retrybudget.BorrowFunc) { sr.withdraw.Store(&withdraw) }

// Withdraw withdraws a retry, and reports whether one was left. It fails if the holder does not answer, and with a NoPeersError before Set.
func (sr *SharedRetry) Withdraw(service string, credit float64) (bool, error) {
	withdraw := sr.withdraw.Load()
	if withdraw == nil {
		return false, &NoPeersError{}
	}
	return (*withdraw)(service, credit)
}

// sleep waits for d, at most until ctx ends.
func sleep(ctx context.Context, d time.Duration) {
	tm := time.NewTimer(d)
	defer tm.Stop()
	select {
	case <-tm.C:
	case <-ctx.Done():
	}
}
