// Package routes holds the configuration in force: which requests go to which service, and who may send them.
package routes

import (
	"cmp"
	"net"
	"slices"
	"strings"
	"time"

	"github.com/silvermount/silvermount/internal/placement"
)

// Share is a service that takes a part of a route's requests.
type WeightedService struct {
	Service string
	// Weight is at least zero; the weights of a route have a positive sum.
	Weight int
}

// Route says how the requests under one host and path are served.
type Route struct {
	// Name is unique within a table.
	Name string
	Host string
	// PathPrefix begins and ends with a slash.
	PathPrefix string
	// Shares is never empty.
	Services []WeightedService
	// Streaming answers are passed on event by event.
	Streaming bool
	// Repeatable requests may run more than once.
	Repeatable bool
	// Resumable streams may go on at another target after a given event.
	Resumable bool
	// Public requests need no key.
	Public bool
	// Timeout bounds how long a request is held.
	Timeout time.Duration
	// Objective is the time within which an answer, or its first event, is due.
	Objective time.Duration
	// LongestPause between two events keeps a stream in time; zero when none is set.
	MaxPause time.Duration
	// Patience is the longest time without an event for which callers wait; zero when it is not known.
	CallerIdleTimeout time.Duration
	// MaxAttempts is at least one.
	MaxAttempts int
	// Priority is the rank, zero first.
	Priority int
}

// Service is a group of targets that serve the same requests.
type Service struct {
	Name string
	// MaxConnections is what one target takes from all instances together; zero when unknown.
	MaxConnections int
	// Engine describes model engines; nil for plain services.
	Engine *placement.Engine
}

// Organisation is who owns keys.
type Organisation struct {
	Name string
	// Priority replaces that of the route when RanksItself is set.
	Priority          int
	OverridesPriority bool
}

// Limits bound what callers may send.
type Limits struct {
	MaxBodyBytes int64
}

// Table is one version of the configuration. It does not change.
type Table struct {
	version  int64
	limits   Limits
	byHost   map[string][]Route
	services map[string]Service
	// byKey is nil when no organisations are configured: then no request needs a key.
	byKey map[string]Organisation
}

// Content is what a table is made from.
type Config struct {
	Version  int64
	Limits   Limits
	Routes   []Route
	Services []Service
	// Keys maps each key to its owner; nil when no organisations are configured.
	Keys map[string]Organisation
}

// New returns a table.
func New(ct Config) *Table {
	tb := &Table{
		version: ct.Version, limits: ct.Limits, byKey: ct.Keys,
		byHost: map[string][]Route{}, services: map[string]Service{},
	}
	for _, rt := range ct.Routes {
		tb.byHost[rt.Host] = append(tb.byHost[rt.Host], rt)
	}
	for _, rts := range tb.byHost {
		slices.SortStableFunc(rts, func(a, b Route) int { return cmp.Compare(len(b.PathPrefix), len(a.PathPrefix)) })
	}
	for _, sv := range ct.Services {
		tb.services[sv.Name] = sv
	}
	return tb
}

// Version grows with every accepted configuration.
func (tb *Table) Version() int64 { return tb.version }

// Limits returns the bounds on what callers send.
func (tb *Table) Limits() Limits { return tb.limits }

// Route returns the route with the longest path prefix for a host, whose port does not count.
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

// Service returns a service by name.
func (tb *Table) Service(name string) (Service, bool) {
	sv, ok := tb.services[name]
	return sv, ok
}

// Services returns all services by name.
func (tb *Table) Services() map[string]Service { return tb.services }

// NeedsKey reports whether a request on the route must carry a key.
func (tb *Table) NeedsKey(rt Route) bool { return tb.byKey != nil && !rt.Public }

// Organisation returns who owns a key.
func (tb *Table) Organisation(key string) (Organisation, bool) {
	og, ok := tb.byKey[key]
	return og, ok
}

// Pick returns the service for a request; point is uniform in [0, 1).
func (rt Route) PickService(point float64) string {
	total := 0
	for _, sh := range rt.Services {
		total += sh.Weight
	}
	left := point * float64(total)
	for _, sh := range rt.Services {
		left -= float64(sh.Weight)
		if left < 0 {
			return sh.Service
		}
	}
	return rt.Services[len(rt.Services)-1].Service
}

// Exclusive reports whether a request may run at most once.
func (rt Route) AtMostOnce() bool {
	if rt.Streaming {
		return !rt.Resumable
	}
	return !rt.Repeatable
}
