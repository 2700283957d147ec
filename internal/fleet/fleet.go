// Package fleet holds what one instance knows of targets and peers.
package fleet

import (
	"slices"
	"sync"
	"time"

	"github.com/silvermount/silvermount/internal/engine"
	"github.com/silvermount/silvermount/internal/grant"
	"github.com/silvermount/silvermount/internal/policy"
	"github.com/silvermount/silvermount/internal/set"
)

// Kind says what a target is.
type Kind string

// The kinds of target.
const (
	KindEngine  Kind = "engine"
	KindService Kind = "service"
)

// Target is one back end, as the platform lists it.
type Target struct {
	// Name is unique in the fleet.
	Name string `json:"name"`
	// Kind is an engine or a plain service.
	Kind Kind `json:"kind"`
	// AvailabilityZone is where it runs.
	AvailabilityZone string `json:"availability_zone"`
	// URL is the base address.
	URL string `json:"url"`
	// Models are those an engine serves; Service names what a service does.
	Models  []string `json:"models,omitempty"`
	Service string   `json:"service,omitempty"`
	// Leaving is set once the platform knows of it.
	Leaving bool `json:"leaving,omitempty"`
}

// Instance is one live entry instance.
type Instance struct {
	// Name is unique among live instances.
	Name string `json:"name"`
	// Incarnation is unique to one run.
	Incarnation string `json:"incarnation"`
	// AvailabilityZone is where it runs.
	AvailabilityZone string `json:"availability_zone"`
	// PeerAddress and CallersAddress are IP addresses with a port.
	PeerAddress    string `json:"peer_address"`
	CallersAddress string `json:"callers_address"`
	// OperatorsAddress is where its status is asked for.
	OperatorsAddress string `json:"operators_address,omitempty"`
}

// Work is load in flight at one target.
type Load struct {
	// Requests counts attempts.
	Requests int
	// Prefill is prompt tokens without a first token yet, by length band.
	PrefillTokens [policy.NumLengthBands]int
	// Memory is KV memory in tokens.
	MemoryTokens int
	// Long counts long prompts.
	LongPrompts int
}

func (lo Load) plusSigned(o Load, sign int) Load {
	lo.Requests += sign * o.Requests
	lo.MemoryTokens += sign * o.MemoryTokens
	lo.LongPrompts += sign * o.LongPrompts
	for b := range lo.PrefillTokens {
		lo.PrefillTokens[b] += sign * o.PrefillTokens[b]
	}
	return lo
}

// Add returns the sum of two loads.
func (lo Load) Plus(o Load) Load { return lo.plusSigned(o, 1) }

type knownTarget struct {
	Target
	// incarnation is that of the last report.
	incarnation string
	// leaving sticks for the incarnation it was learnt of.
	leavingIncarnation string
	listed             bool
	ownLoad            Load
	peerLoads          map[string]Load
	offers             map[grant.Key]offeredPrompt
	summary            TargetSummary
	summaryAt          time.Time
	report             engine.Report
	reportAt           time.Time
	prefillRate        float64
	ejectedUntil       time.Time
	unreachableUntil   time.Time
	failures           int
}

// Summary is what an owner tells of a target.
type TargetSummary struct {
	// Target is its name.
	Target string
	// Total is all work in flight but the receiver's own.
	Load Load
	// Incarnation is that of the target's last report.
	Incarnation string
	// MemoryTotal is in tokens; zero when not known.
	MemoryTotal int
	// ReportedPrefill is the engine's own figure.
	ReportedPrefill int
	// Rate is prompt tokens a second; zero when not known.
	PrefillRate float64
	// Models are loaded; nil where they are those of the platform's list.
	Models []string
	// Age is the time since the owner last heard from the target.
	Age time.Duration
}

type knownPeer struct {
	Instance
	heardAt       time.Time
	bundleVersion int64
	stopping      bool
	listed        bool
	// renewal is the version of its object, and renewedAt when that last changed.
	objectVersion int64
	renewedAt     time.Time
}

// Fleet is safe for use by any goroutine.
type Fleet struct {
	self        Instance
	now         func() time.Time
	peerTimeout time.Duration

	mu      sync.Mutex
	targets map[string]*knownTarget
	peers   map[string]*knownPeer
	// ended only grows, up to a bound.
	ended set.Set[string]
	// changed is closed and replaced whenever a decision could come out differently.
	changed chan struct{}
	// order is the sorted names of targets; nil when stale.
	sortedNames []string
	ownership   ownership
	// besideLong is the learnt extra time of a short prompt beside a long one.
	interferenceDelay time.Duration
}

// firstBesideLong is assumed until a short prompt has run beside a long one.
const initialInterferenceDelay = 400 * time.Millisecond

// Option changes a Fleet under construction.
type Option func(*Fleet)

// WithNow replaces the clock.
func WithClock(now func() time.Time) Option { return func(fl *Fleet) { fl.now = now } }

// WithLost sets the silence after which a peer counts as gone.
func WithPeerTimeout(d time.Duration) Option { return func(fl *Fleet) { fl.peerTimeout = d } }

// New returns the knowledge of an instance that has heard of nothing yet.
func New(self Instance, opts ...Option) *Fleet {
	fl := &Fleet{
		self: self, now: time.Now, peerTimeout: 3 * time.Second, interferenceDelay: initialInterferenceDelay,
		targets: map[string]*knownTarget{}, peers: map[string]*knownPeer{}, changed: make(chan struct{}),
	}
	for _, o := range opts {
		o(fl)
	}
	return fl
}

// Self returns this instance.
func (fl *Fleet) Self() Instance { return fl.self }

// Changed returns a channel that is closed at the next change.
func (fl *Fleet) Changed() <-chan struct{} {
	fl.mu.Lock()
	defer fl.mu.Unlock()
	return fl.changed
}

// notify is called with the lock held.
func (fl *Fleet) notify() {
	close(fl.changed)
	fl.changed = make(chan struct{})
}

// SetTargets takes the platform's list. A target that is no longer listed gets no new work.
func (fl *Fleet) SetTargets(list []Target) {
	fl.mu.Lock()
	defer fl.mu.Unlock()
	for _, kt := range fl.targets {
		kt.listed = false
	}
	for _, t := range list {
		kt := fl.targets[t.Name]
		if kt == nil || kt.URL != t.URL {
			kt = &knownTarget{peerLoads: map[string]Load{}, offers: map[grant.Key]offeredPrompt{}}
			fl.targets[t.Name] = kt
		}
		kt.Target = t
		kt.listed = true
	}
	for name, kt := range fl.targets {
		if !kt.listed && kt.ownLoad.Requests == 0 {
			delete(fl.targets, name)
		}
	}
	fl.sortedNames = nil
	fl.ownership = ownership{}
	fl.notify()
}

// names is called with the lock held.
func (fl *Fleet) targetNames() []string {
	if fl.sortedNames == nil {
		for n := range fl.targets {
			fl.sortedNames = append(fl.sortedNames, n)
		}
		slices.Sort(fl.sortedNames)
	}
	return fl.sortedNames
}

// Target returns a target by name.
func (fl *Fleet) Target(name string) (Target, bool) {
	fl.mu.Lock()
	defer fl.mu.Unlock()
	kt, ok := fl.targets[name]
	if !ok {
		return Target{}, false
	}
	return kt.Target, true
}

// Targets returns all listed targets in the order of their names.
func (fl *Fleet) Targets() []Target {
	fl.mu.Lock()
	defer fl.mu.Unlock()
	var ts []Target
	for _, n := range fl.targetNames() {
		if fl.targets[n].listed {
			ts = append(ts, fl.targets[n].Target)
		}
	}
	return ts
}

// Owned returns the targets that this instance owns.
func (fl *Fleet) Owned() []Target {
	var owned []Target
	for _, t := range fl.Targets() {
		if fl.Owner(t) == fl.self.Name {
			owned = append(owned, t)
		}
	}
	return owned
}

// live is called with the lock held.
func (fl *Fleet) isLive(kp *knownPeer) bool {
	return !kp.stopping && fl.now().Sub(kp.heardAt) < fl.peerTimeout
}
