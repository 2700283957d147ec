package gossip

import (
	"cmp"
	"time"

	"github.com/apex/log"
)

// Member is one instance of the fleet.
type Member struct {
	Name string
	// Incarnation tells apart two processes of the same name.
	Incarnation string
	// Address is the ip:port of the gossip listener.
	Address          string
	AvailabilityZone string
	// BandwidthMbps is the instance's share of the network in Mbit/s; 0 if unknown. Members with more are preferred as relays.
	BandwidthMbps uint64
	// Stopping is set once the instance takes no new work.
	Stopping bool
	// StoreUnreachable is set while the object store does not answer the instance. Only few members announce it, since every
	// change is propagated to all.
	StoreUnreachable bool
}

// Options configure a Mesh. Callbacks must return quickly and must not call Fetch. They are called one at a time, except
// where their comment says otherwise.
type Options struct {
	// Self is this instance.
	Self Member
	// Seeds are addresses of members to join through. They may be out of date or this instance's own.
	Seeds []string
	// HeartbeatInterval is the time between two heartbeats.
	HeartbeatInterval time.Duration
	// LostAfter is the silence after which a member counts as lost.
	LostAfter time.Duration
	// FlushTimeout bounds the time to send the final state after the context of Serve or Run has ended.
	FlushTimeout time.Duration
	// MinSendInterval is the minimum time between two sends outside the heartbeats, such as after PublishState.
	MinSendInterval time.Duration
	// MaxFullMeshMembers is the number of members up to which every two are linked. In a larger fleet most members are linked
	// to two relays only.
	MaxFullMeshMembers int
	// State returns this instance's current state. The slice must not be modified afterwards.
	State func() []byte
	// ReceiveState receives the newest state of a member. The member built it at madeAt or later, on this instance's clock. It is
	// called again with the last state when a lost member returns.
	ReceiveState func(from Member, body []byte, madeAt time.Time)
	// Notes returns the second, rarely changing part of what this instance announces. It is called only after PublishNotes. The
	// slice must not be modified afterwards.
	Notes func() []byte
	// ReceiveNotes receives the newest notes of a member, as ReceiveState receives its state.
	ReceiveNotes func(from Member, notes []byte, madeAt time.Time)
	// LoadReport returns what this instance tells of its load beside its state. It is called only after PublishLoadReport, and a nil
	// result leaves the previous report in force. The slice must not be modified afterwards.
	LoadReport func() []byte
	// ReceiveLoadReport receives the newest load report of a member, as ReceiveState receives its state.
	ReceiveLoadReport func(from Member, report []byte, madeAt time.Time)
	// OnLost is called once when a member is lost or replaced by another incarnation.
	OnLost func(Member)
	// HandleFetch returns the document that a peer fetches. It may be called concurrently.
	HandleFetch func(name string) ([]byte, bool)
	// HandleQuery answers a peer's query of the given name. It may be called concurrently and must return quickly.
	HandleQuery func(name string, query []byte) ([]byte, bool)
	// AcceptableDelay returns the propagation delay of states that is short enough for now. A large fleet then sends less often. Without
	// it, or if it returns zero, states are sent as often as the links allow.
	AcceptableDelay func() time.Duration
	// Log receives the log lines of the mesh.
	Log log.Interface
	// Now is a monotonic clock.
	Now func() time.Time
}

const (
	// defaultHeartbeatInterval allows eight heartbeats within defaultLostAfter.
	defaultHeartbeatInterval = 250 * time.Millisecond
	// defaultLostAfter is the silence of a process that restarts immediately, plus a margin.
	defaultLostAfter = 2 * time.Second
	// defaultFlushTimeout is above the minimum time between two sends in a fleet of 300 instances, and below the 450 ms that a
	// planned stop reserves for the end of the process.
	defaultFlushTimeout = 250 * time.Millisecond
	// defaultMinSendInterval limits a busy instance to a hundred sends per second.
	defaultMinSendInterval = 10 * time.Millisecond
	// defaultMaxFullMeshMembers is the size beyond which relaying costs less than the links that it saves.
	defaultMaxFullMeshMembers = 16
	// sendIntervalPerLink is added to the minimum time between two sends for each link beyond MaxFullMeshMembers. It limits a
	// relay to two thousand frames per second, whatever its number of subscribers.
	sendIntervalPerLink = 500 * time.Microsecond
	// forgetAfter is the silence after which a member is removed and no longer dialled: longer than a restart.
	forgetAfter = time.Minute
	// redialInterval limits dialling to two attempts per second and address.
	redialInterval = 500 * time.Millisecond
	// dialGracePeriod is how long the side of a pair that does not dial first waits for the other: two attempts and the
	// interval between them.
	dialGracePeriod = 1500 * time.Millisecond
	// refreshHeartbeats is the number of heartbeats after which Options.State is called without a publication, because the
	// ages in the state have changed.
	refreshHeartbeats = 4
	// idleLinkFactor is the multiple of Options.LostAfter after which a silent link is closed.
	idleLinkFactor = 3
)

func (o Options) withDefaults() Options {
	o.HeartbeatInterval = cmp.Or(o.HeartbeatInterval, defaultHeartbeatInterval)
	o.LostAfter = cmp.Or(o.LostAfter, defaultLostAfter)
	o.FlushTimeout = cmp.Or(o.FlushTimeout, defaultFlushTimeout)
	o.MinSendInterval = cmp.Or(o.MinSendInterval, defaultMinSendInterval)
	o.MaxFullMeshMembers = cmp.Or(o.MaxFullMeshMembers, defaultMaxFullMeshMembers)
	if o.State == nil {
		o.State = func() []byte { return nil }
	}
	if o.ReceiveState == nil {
		o.ReceiveState = func(Member, []byte, time.Time) {}
	}
	if o.Notes == nil {
		o.Notes = func() []byte { return nil }
	}
	if o.ReceiveNotes == nil {
		o.ReceiveNotes = func(Member, []byte, time.Time) {}
	}
	if o.LoadReport == nil {
		o.LoadReport = func() []byte { return nil }
	}
	if o.ReceiveLoadReport == nil {
		o.ReceiveLoadReport = func(Member, []byte, time.Time) {}
	}
	if o.OnLost == nil {
		o.OnLost = func(Member) {}
	}
	if o.HandleFetch == nil {
		o.HandleFetch = func(string) ([]byte, bool) { return nil, false }
	}
	if o.HandleQuery == nil {
		o.HandleQuery = func(string, []byte) ([]byte, bool) { return nil, false }
	}
	if o.AcceptableDelay == nil {
		o.AcceptableDelay = func() time.Duration { return 0 }
	}
	if o.Log == nil {
		o.Log = log.Log
	}
	if o.Now == nil {
		o.Now = time.Now
	}
	return o
}
