// Package adapter lists the adapters that translate between the product and the systems around it. An adapter decides
// nothing and keeps no state of its own beyond connections.
package adapter

import (
	"context"
	"fmt"
	"maps"
	"slices"
	"time"

	"github.com/silvermount/silvermount/internal/answer"
	"github.com/silvermount/silvermount/internal/follow"
	"github.com/silvermount/silvermount/internal/gateway"
	"github.com/silvermount/silvermount/internal/objectstore"
	"github.com/silvermount/silvermount/internal/routes"
	"github.com/silvermount/silvermount/internal/targets"
)

// Adapter is one set of translations. All fields are set.
type Adapter struct {
	// Name is what settings call it.
	Name string
	// Protocol is that of callers and targets.
	Protocol gateway.Protocol
	// Store returns a client of the object store. A watch that is silent for longer than its wait and the silence fails, and no
	// call after it is sent over a connection that rested meanwhile; onCall is told of each call.
	Store func(address string, silence time.Duration, onCall func()) follow.Store
	// ConfigurationKind and ConfigurationName are where the configuration lies, TargetKind where targets are listed.
	ConfigurationKind, ConfigurationName, TargetKind string
	// Configuration decodes the configuration's value.
	Configuration func(value []byte) (routes.Config, error)
	// Target decodes a listed target.
	Target func(objectstore.Object) (targets.Target, error)
	// Reserve sets memory aside at a target, or renews it; a reservation.RefusedError says that it surely did not. It tells of the head of
	// the answer, as Release does.
	Reserve func(ctx context.Context, address, id string, tokens int64, hold time.Duration, heard func(answer.Head)) error
	// Release gives memory back; it succeeds also when there is none.
	Release func(ctx context.Context, address, id string, heard func(answer.Head)) error
}

var registry = map[string]Adapter{}

// Register adds an adapter. It is called from init functions only, and panics on a name used twice.
func Register(ad Adapter) {
	if _, twice := registry[ad.Name]; twice {
		panic(fmt.Sprintf("adapter: %q registered twice", ad.Name))
	}
	registry[ad.Name] = ad
}

// Find returns an adapter by name.
func Lookup(name string) (Adapter, bool) {
	ad, ok := registry[name]
	return ad, ok
}

// Names returns the names of all adapters, sorted.
func Names() []string { return slices.Sorted(maps.Keys(registry)) }
