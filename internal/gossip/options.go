package gossip

import (
	"cmp"
	"time"

	"github.com/apex/log"
)

// Member is one process of the fleet.
type Member struct {
	Name string
	// Incarnation differs between two processes of one name.
	Incarnation string
	// Address is the ip:port of the gossip listener.
	Address          string
	AvailabilityZone string
	// Megabits is the instance's share of the network, in Mbit/s; 0 when it is not known. Those with more relay first.
	BandwidthMbps uint64
	// Stopping says that the process takes no new work.
	Stopping bool
	// Storeless says that the object store leaves the process without an answer. It is told of few members, since each change is
	// passed on to all.
	StoreUnreachable bool
}

// Options are what New needs. Callbacks are called one at a time; they must be short and must not call Fetch.
type Options struct {
	// Self is this process.
	Self Member
	// Seeds are addresses to start from. They may be out of date, and may be this instance's own.
	Seeds []string
	// Interval is the time between two heartbeats.
	HeartbeatInterval time.Duration
	// Lost is the silence after which a member is not live.
	LostAfter time.Duration
	// Farewell bounds the time in which the last state is told when Serve and Run are asked to end.
	FlushTimeout time.Duration
	// Coalesce is the least time between two sends that Publish causes.
	MinSendInterval time.Duration
	// FullMesh is the number of members up to which every two are linked; beyond it most are linked to two relays alone.
	MaxFullMeshMembers int
	// Body returns this instance's state now. The slice must not be changed afterwards.
	State func() []byte
	// Receive takes the newest state of a member, and when its sender made it by this instance's clock, or earlier. It is called
	// again with the last state when a lost member comes back.
	ReceiveState func(from Member, body []byte, made time.Time)
	// Notes returns what this instance tells of itself beside its state, seldom: it is asked after PublishNotes alone. The slice must
	// not be changed afterwards.
	Notes func() []byte
	// ReceiveNotes takes the newest notes of a member as Receive takes its state.
	ReceiveNotes func(from Member, notes []byte, made time.Time)
	// OnLost is called once when a member is lost, and when another incarnation replaces it.
	OnLost func(Member)
	// Serve returns a document that a peer asked for. It may be called by several goroutines at once.
	HandleFetch func(name string) ([]byte, bool)
	// Answer answers a question that a peer puts under a name. It may be called by several goroutines at once, and must be short.
	HandleQuery func(name string, question []byte) ([]byte, bool)
	// Log is the part's logger.
	Log log.Interface
	// Now is a steady clock.
	Now func() time.Time
}

const (
	// defaultInterval allows eight heartbeats within the default silence.
	defaultHeartbeatInterval = 250 * time.Millisecond
	// defaultLost is the silence of a process that restarts at once, and some more.
	defaultLostAfter = 2 * time.Second
	// defaultFarewell is above the least time between two sends in a fleet of 300 instances, and below the 450 ms that a
	// planned stop keeps for the end of the process.
	defaultFlushTimeout = 250 * time.Millisecond
	// defaultCoalesce bounds the sends for a busy instance to a hundred a second.
	defaultMinSendInterval = 10 * time.Millisecond
	// defaultFullMesh is where the relays' work becomes less than that of the links saved.
	defaultMaxFullMeshMembers = 16
	// coalescePerLink is what each link beyond those of a full mesh adds to the least time between two sends: a relay
	// then sends at most two thousand frames a second, however many subscribe to it.
	sendIntervalPerLink = 500 * time.Microsecond
	// forgetAfter is the silence after which a member is no longer dialled: longer than a restart.
	forgetAfter = time.Minute
	// redialPause bounds the attempts at an address to two a second.
	redialInterval = 500 * time.Millisecond
	// dialGrace is how long the instance with the higher name waits for the other to dial: two attempts and their pause.
	dialGracePeriod = 1500 * time.Millisecond
	// refreshBeats is the number of heartbeats after which the state is taken anew though it was not published: what
	// it says of ages has changed.
	refreshHeartbeats = 4
	// idleLosts is the number of silences Options.Lost after which a stream is closed.
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
	if o.OnLost == nil {
		o.OnLost = func(Member) {}
	}
	if o.HandleFetch == nil {
		o.HandleFetch = func(string) ([]byte, bool) { return nil, false }
	}
	if o.HandleQuery == nil {
		o.HandleQuery = func(string, []byte) ([]byte, bool) { return nil, false }
	}
	if o.Log == nil {
		o.Log = log.Log
	}
	if o.Now == nil {
		o.Now = time.Now
	}
	return o
}
