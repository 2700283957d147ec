// Package routes holds the configuration in force: which service serves a request, and which keys callers may use.
package routes

import (
	"cmp"
	"net"
	"slices"
	"strings"
	"time"

	"github.com/silvermount/silvermount/internal/placement"
)

// WeightedService is a service that serves a share of a route's requests, in proportion to its weight.
type WeightedService struct {
	Service string
	// Weight is at least zero. The sum of the weights of a route is positive.
	Weight int
}

// Route describes how the requests for one host and path prefix are served.
type Route struct {
	// Name is unique within a table.
	Name string
	Host string
	// PathPrefix begins and ends with a slash.
	PathPrefix string
	// Services is never empty.
	Services []WeightedService
	// Streaming is set if answers are streams, which are forwarded event by event.
	Streaming bool
	// Repeatable is set if a request without a streamed answer may run more than once.
	Repeatable bool
	// Resumable is set if a stream can continue on another target after a given event.
	Resumable bool
	// Public is set if requests need no key.
	Public bool
	// Timeout is the maximum time for which a request is held.
	Timeout time.Duration
	// Objective is the time within which an answer, or its first event, is due.
	Objective time.Duration
	// MaxPause is the maximum time between two events of a stream that is in time; zero if the route sets none.
	MaxPause time.Duration
	// CallerIdleTimeout is how long callers wait without receiving an event; zero if unknown.
	CallerIdleTimeout time.Duration
	// MaxAttempts is at least one.
	MaxAttempts int
	// Priority is 0 for the most urgent requests.
	Priority int
}

// Service is a group of targets that serve the same requests.
type Service struct {
	Name string
	// MaxConnections is the maximum number of connections that one target accepts from all instances together; zero if unknown.
	MaxConnections int
	// ColdRequestsPerSecond is the number of requests per second that a target accepts from all instances together while it warms
	// up; zero if it is not limited.
	ColdRequestsPerSecond float64
	// Engine describes the model engines of the service; nil for plain services.
	Engine *placement.Engine
}

// Organisation is the owner of one or more keys.
type Organisation struct {
	Name string
	// Priority replaces the priority of the route if OverridesPriority is set.
	Priority          int
	OverridesPriority bool
}

// Limits are the limits on requests of callers.
type Limits struct {
	MaxBodyBytes int64
}

// Table is one version of the configuration. It is immutable.
type Table struct {
	version int64
	limits  Limits
	// byHost holds the routes of each host, the longest path prefix first.
	byHost   map[string][]Route
	services map[string]Service
	// byKey is nil if the configuration does not use keys, in which case no request needs one. It is empty if no key is valid.
	byKey map[string]Organisation
}

// Config is the input from which New builds a Table.
type Config struct {
	Version  int64
	Limits   Limits
	Routes   []Route
	Services []Service
	// Keys maps each key to its owner. It is nil if the configuration does not use keys, and empty if no key is valid.
	Keys map[string]Organisation
}

// New returns a table with this configuration.
func New(cfg Config) *Table {
	tb := &Table{
		version: cfg.Version, limits: cfg.Limits, byKey: cfg.Keys,
		byHost: map[string][]Route{}, services: map[string]Service{},
	}
	for _, rt := range cfg.Routes {
		tb.byHost[rt.Host] = append(tb.byHost[rt.Host], rt)
	}
	for _, rts := range tb.byHost {
		slices.SortStableFunc(rts, func(a, b Route) int { return cmp.Compare(len(b.PathPrefix), len(a.PathPrefix)) })
	}
	for _, sv := range cfg.Services {
		tb.services[sv.Name] = sv
	}
	return tb
}

// Version returns the version, which increases with every accepted configuration.
func (tb *Table) Version() int64 { return tb.version }

// Limits returns the limits on requests of callers.
func (tb *Table) Limits() Limits { return tb.limits }

// Route returns the route of the host with the longest prefix of the path. A port in host is ignored.
func (tb *Table) Route(host, path string) (Route, bool) {
	if h, _, err := net.SplitHostPort(host); err == nil {
		host = h
	}
	for _, rt := range tb.byHost[host] {
		if strings.HasPrefix(path, rt.PathPrefix) {
			return rt, true
		}
	}
	return Route{}, false
}

// Service returns the service with this name.
func (tb *Table) Service(name string) (Service, bool) {
	sv, ok := tb.services[name]
	return sv, ok
}

// Services returns all services by name.
func (tb *Table) Services() map[string]Service { return tb.services }

// UsesKeys reports whether requests need a key on all routes that are not public.
func (tb *Table) UsesKeys() bool { return tb.byKey != nil }

// NeedsKey reports whether requests on the route need a key.
func (tb *Table) NeedsKey(rt Route) bool { return tb.UsesKeys() && !rt.Public }

// Organisation returns the owner of a key. It reports false for an unknown key.
func (tb *Table) Organisation(key string) (Organisation, bool) {
	og, ok := tb.byKey[key]
	return og, ok
}

// PickService chooses a service by weight, where point is a random number from a uniform distribution on [0, 1).
func (rt Route) PickService(point float64) string {
	totalWeight := 0
	for _, ws := range rt.Services {
		totalWeight += ws.Weight
	}
	remaining := point * float64(totalWeight)
	for _, ws := range rt.Services {
		remaining -= float64(ws.Weight)
		if remaining < 0 {
			return ws.Service
		}
	}
	return rt.Services[len(rt.Services)-1].Service
}

// AtMostOnce reports whether a request on the route may run at most once. Streams may run again only if they are resumable.
func (rt Route) AtMostOnce() bool {
	if rt.Streaming {
		return !rt.Resumable
	}
	return !rt.Repeatable
}
