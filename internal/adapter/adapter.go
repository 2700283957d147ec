// Package adapter is the registry of adapters, which translate between the protocols and data formats of the gateway and those of
// external systems. An adapter makes no decisions and keeps no state except connections.
package adapter

import (
	"context"
	"encoding/json"
	"fmt"
	"maps"
	"net"
	"slices"
	"time"

	"github.com/silvermount/silvermount/internal/gateway"
	"github.com/silvermount/silvermount/internal/listwatch"
	"github.com/silvermount/silvermount/internal/objectstore"
	"github.com/silvermount/silvermount/internal/responsehead"
	"github.com/silvermount/silvermount/internal/routes"
	"github.com/silvermount/silvermount/internal/targets"
)

// Adapter is one set of translations. All fields are required.
type Adapter struct {
	// Name is the name of the adapter in the settings.
	Name string
	// Protocol is the protocol of callers and targets.
	Protocol gateway.Protocol
	// Store returns a client of the object store. A watch fails if there is no answer for longer than the sum of its wait and
	// maxSilence. After that, no call is sent over a connection that was idle meanwhile. onCall is called for each call.
	Store func(address string, maxSilence time.Duration, onCall func()) listwatch.Store
	// Records returns a client of the object store for objects that this product writes itself. onCall is called for each call.
	Records func(address string, onCall func()) Records
	// QuarantineKind is the kind of the objects in which quarantines are kept.
	QuarantineKind string
	// RetryLedgerKind is the kind of the objects in which the retry ledger is kept.
	RetryLedgerKind string
	// ConfigurationKind and ConfigurationName identify the object that holds the configuration. TargetKind is the kind of the
	// objects that describe targets, EvacuationKind that of objects named after the availability zones that are evacuated.
	ConfigurationKind, ConfigurationName, TargetKind, EvacuationKind string
	// Configuration decodes the value of the configuration object.
	Configuration func(value []byte) (routes.Config, error)
	// Target decodes an object that describes a target.
	Target func(objectstore.Object) (targets.Target, error)
	// MemoryOrders returns a client for memory orders to targets. It connects to their addresses with dial.
	MemoryOrders func(dial func(ctx context.Context, network, address string) (net.Conn, error)) MemoryOrders
}

// Records is a client for objects that this product writes itself. All fields are set.
type Records struct {
	// List returns all objects of a kind.
	List func(ctx context.Context, kind string) (objectstore.Listing, error)
	// Put creates an object, or replaces its value. Remove removes it, and succeeds if there is none. They fail with an
	// objectstore.UnavailableError if nothing was done, and with an objectstore.UnknownOutcomeError if that is not known.
	Put    func(ctx context.Context, kind, name string, value json.RawMessage) error
	Remove func(ctx context.Context, kind, name string) error
	// Get returns one object. It fails with an objectstore.NotFoundError if there is none.
	Get func(ctx context.Context, kind, name string) (objectstore.Object, error)
	// Replace replaces the value of the object that has the given version, or creates it if the version is zero, and returns it. If the
	// object has another version, it fails with an objectstore.ConflictError and returns the object as it is, or a zero one if the store
	// did not tell. Otherwise it fails like Put.
	Replace func(ctx context.Context, kind, name string, version int64, value json.RawMessage) (objectstore.Object, error)
}

// MemoryOrders is a client for memory orders to targets. All fields are set.
type MemoryOrders struct {
	// Reserve reserves memory at a target, or renews a reservation. It returns a reservation.RefusedError if the target surely did
	// not do so. Reserve and Release call onAnswer with the head of the target's answer.
	Reserve func(ctx context.Context, address, id string, tokens int64, leaseDuration time.Duration, onAnswer func(responsehead.Head)) error
	// Release releases a reservation. It also succeeds if the target has no such reservation.
	Release func(ctx context.Context, address, id string, onAnswer func(responsehead.Head)) error
	// CloseIdle closes the idle connections, because paths to targets were lost or work again.
	CloseIdle func()
}

var registry = map[string]Adapter{}

// Register adds an adapter to the registry. It must only be called from init functions. It panics if the name is already
// registered.
func Register(ad Adapter) {
	if _, exists := registry[ad.Name]; exists {
		panic(fmt.Sprintf("adapter: %q is already registered", ad.Name))
	}
	registry[ad.Name] = ad
}

// Lookup returns the adapter with the given name, and whether there is one.
func Lookup(name string) (Adapter, bool) {
	ad, ok := registry[name]
	return ad, ok
}

// Names returns the names of all adapters, sorted.
func Names() []string { return slices.Sorted(maps.Keys(registry)) }
