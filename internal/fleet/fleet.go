// Package fleet holds the state of targets and peers as one instance knows it from the platform, load reports and heartbeats.
package fleet

import (
	"slices"
	"sync"
	"time"

	"github.com/silvermount/silvermount/internal/admission"
	"github.com/silvermount/silvermount/internal/engine"
	"github.com/silvermount/silvermount/internal/policy"
	"github.com/silvermount/silvermount/internal/set"
)

// Kind is the kind of a target.
type Kind string

// Kinds of targets. The values appear in the platform's list.
const (
	KindEngine  Kind = "engine"
	KindService Kind = "service"
)

// Target is a model engine or a plain service, as the platform lists it.
type Target struct {
	// Name is unique in the fleet.
	Name string `json:"name"`
	Kind Kind   `json:"kind"`
	// AvailabilityZone is the zone in which the target runs.
	AvailabilityZone string `json:"availability_zone"`
	// URL is the base address.
	URL string `json:"url"`
	// Models are the models that an engine serves. Service is the name of the service that a plain service provides.
	Models  []string `json:"models,omitempty"`
	Service string   `json:"service,omitempty"`
	// Leaving is set once the platform knows that the target is about to stop. Such a target gets no new requests.
	Leaving bool `json:"leaving,omitempty"`
}

// Instance is an entry instance.
type Instance struct {
	// Name is unique among live instances.
	Name string `json:"name"`
	// Incarnation is unique to one run of the instance.
	Incarnation string `json:"incarnation"`
	// AvailabilityZone is the zone in which the instance runs.
	AvailabilityZone string `json:"availability_zone"`
	// PeerAddress and CallersAddress are IP addresses with a port.
	PeerAddress    string `json:"peer_address"`
	CallersAddress string `json:"callers_address"`
	// OperatorsAddress is the address at which operators query the status of the instance.
	OperatorsAddress string `json:"operators_address,omitempty"`
}

// Load is the load that requests in flight put on one target.
type Load struct {
	// Requests counts attempts in flight.
	Requests int
	// PrefillTokens counts the tokens of prompts whose first token has not arrived yet, by length band.
	PrefillTokens [policy.NumLengthBands]int
	// MemoryTokens is the KV memory in tokens.
	MemoryTokens int
	// LongPrompts counts long prompts.
	LongPrompts int
}

// plusSigned returns the sum of the load and another one multiplied by sign, which is 1 or -1.
func (lo Load) plusSigned(o Load, sign int) Load {
	lo.Requests += sign * o.Requests
	lo.MemoryTokens += sign * o.MemoryTokens
	lo.LongPrompts += sign * o.LongPrompts
	for b := range lo.PrefillTokens {
		lo.PrefillTokens[b] += sign * o.PrefillTokens[b]
	}
	return lo
}

// Plus returns the sum of two loads.
func (lo Load) Plus(o Load) Load { return lo.plusSigned(o, 1) }

// knownTarget is the state of one target.
type knownTarget struct {
	Target
	// incarnation is that of the last report, from the target itself or from the owner's summary.
	incarnation string
	// leavingIncarnation is the incarnation that is known to be leaving; a new incarnation is not affected.
	leavingIncarnation string
	// listed is set while the platform lists the target.
	listed bool
	// ownLoad is the load of this instance. peerLoads are the loads of peers by name, as their heartbeats state them to the
	// owner.
	ownLoad   Load
	peerLoads map[string]Load
	// offers are the short prompts for which this instance, as the owner, offered the target to peers.
	offers map[admission.Key]offeredPrompt
	// summary is the last summary from the owner, received at summaryAt.
	summary   TargetSummary
	summaryAt time.Time
	// report is the last load report that this instance got from the target itself. reportAt is the time of that report, or of
	// the last answer of a plain service.
	report   engine.Report
	reportAt time.Time
	// prefillRate is in prompt tokens per second; zero if unknown.
	prefillRate float64
	// Until ejectedUntil the target is avoided because of failures. Until unreachableUntil it is not used at all.
	ejectedUntil     time.Time
	unreachableUntil time.Time
	// failures counts the failures since the last success or ejection.
	failures int
}

// TargetSummary is the state of a target as its owner reports it to a peer.
type TargetSummary struct {
	// Target is the name of the target.
	Target string
	// Load is the load of all instances except the receiver.
	Load Load
	// Incarnation is that of the target's last report.
	Incarnation string
	// MemoryTotal is the KV memory in tokens; zero if unknown.
	MemoryTotal int
	// ReportedPrefill is the number of prompt tokens not yet computed in the engine's last load report.
	ReportedPrefill int
	// PrefillRate is in prompt tokens per second; zero if unknown.
	PrefillRate float64
	// Models are the models that the engine has loaded; nil if they are those of the platform's list.
	Models []string
	// Age is the time since the owner last heard from the target.
	Age time.Duration
}

// knownPeer is the state of one peer.
type knownPeer struct {
	Instance
	// heartbeatAt is the time of the last heartbeat.
	heartbeatAt time.Time
	// bundleVersion is the version in force at the peer.
	bundleVersion int64
	stopping      bool
	// listed is set while the platform lists the peer.
	listed bool
	// objectVersion is the version of the peer's object in the platform's store, renewedAt the time of its last change.
	objectVersion int64
	renewedAt     time.Time
}

// Fleet holds the state of all targets and peers. It is safe for concurrent use.
type Fleet struct {
	self        Instance
	now         func() time.Time
	peerTimeout time.Duration

	mu      sync.Mutex
	targets map[string]*knownTarget
	peers   map[string]*knownPeer
	// ended holds the incarnations of instances that have ended. It only grows, and is reset when it reaches maxEnded.
	ended set.Set[string]
	// changed is closed and replaced on every change that can affect a routing decision.
	changed chan struct{}
	// sortedNames caches the sorted names of the targets; nil if it must be recomputed.
	sortedNames []string
	ownership   ownership
	// interferenceDelay is the observed extra time of a short prompt on a target that also runs a long one, as a moving average.
	interferenceDelay time.Duration
}

// initialInterferenceDelay is assumed until the first observation.
const initialInterferenceDelay = 400 * time.Millisecond

// Option is an option of New.
type Option func(*Fleet)

// WithClock replaces time.Now, the default clock.
func WithClock(now func() time.Time) Option { return func(fl *Fleet) { fl.now = now } }

// WithPeerTimeout sets the time without a heartbeat after which a peer no longer counts as live. The default is 3 s.
func WithPeerTimeout(d time.Duration) Option { return func(fl *Fleet) { fl.peerTimeout = d } }

// New returns a Fleet without targets and peers.
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

// Self returns the instance that holds this state.
func (fl *Fleet) Self() Instance { return fl.self }

// Changed returns a channel that is closed at the next change that can affect a routing decision.
func (fl *Fleet) Changed() <-chan struct{} {
	fl.mu.Lock()
	defer fl.mu.Unlock()
	return fl.changed
}

// notify wakes all that wait on Changed. The caller holds the lock.
func (fl *Fleet) notify() {
	close(fl.changed)
	fl.changed = make(chan struct{})
}

// SetTargets applies the platform's list of targets. A target that is no longer listed gets no new requests, and is deleted by
// the first call that finds no request of this instance in flight there. A target whose URL changes starts with empty state.
func (fl *Fleet) SetTargets(list []Target) {
	fl.mu.Lock()
	defer fl.mu.Unlock()
	for _, kt := range fl.targets {
		kt.listed = false
	}
	for _, t := range list {
		kt := fl.targets[t.Name]
		if kt == nil || kt.URL != t.URL {
			kt = &knownTarget{peerLoads: map[string]Load{}, offers: map[admission.Key]offeredPrompt{}}
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

// targetNames returns the sorted names of all targets. The caller holds the lock.
func (fl *Fleet) targetNames() []string {
	if fl.sortedNames == nil {
		for n := range fl.targets {
			fl.sortedNames = append(fl.sortedNames, n)
		}
		slices.Sort(fl.sortedNames)
	}
	return fl.sortedNames
}

// Target returns the target with this name, listed or not.
func (fl *Fleet) Target(name string) (Target, bool) {
	fl.mu.Lock()
	defer fl.mu.Unlock()
	kt, ok := fl.targets[name]
	if !ok {
		return Target{}, false
	}
	return kt.Target, true
}

// Targets returns all listed targets, sorted by name.
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

// Owned returns the listed targets that this instance owns.
func (fl *Fleet) Owned() []Target {
	var owned []Target
	for _, t := range fl.Targets() {
		if fl.Owner(t) == fl.self.Name {
			owned = append(owned, t)
		}
	}
	return owned
}

// isLive reports whether a peer is neither silent nor stopping. The caller holds the lock.
func (fl *Fleet) isLive(kp *knownPeer) bool {
	return !kp.stopping && fl.now().Sub(kp.heartbeatAt) < fl.peerTimeout
}
