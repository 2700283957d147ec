// Package gossip keeps the list of live instances and spreads the state of each to all others.
//
// Every two instances keep one stream, or in a large fleet only those that the plan says: most members then subscribe to
// two relays. An instance sends a heartbeat each interval, and on a stream only what its peer does not know yet. So what
// waits for a peer is never more than the newest state of each member.
package gossip

import (
	"bytes"
	"cmp"
	"context"
	"net"
	"slices"
	"sync"
	"sync/atomic"
	"time"

	"github.com/apex/log"
	"github.com/cockroachdb/errors"
	"storj.io/drpc/drpcmux"
	"storj.io/drpc/drpcserver"

	"github.com/silvermount/silvermount/internal/set"
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
	Megabits uint64
	// Stopping says that the process takes no new work.
	Stopping bool
}

// Options are what New needs. Callbacks are called one at a time; they must be short and must not call Fetch.
type Options struct {
	// Self is this process.
	Self Member
	// Seeds are addresses to start from. They may be out of date, and may be this instance's own.
	Seeds []string
	// Interval is the time between two heartbeats.
	Interval time.Duration
	// Lost is the silence after which a member is not live.
	Lost time.Duration
	// Coalesce is the least time between two sends that Publish causes.
	Coalesce time.Duration
	// FullMesh is the number of members up to which every two are linked; beyond it most are linked to two relays alone.
	FullMesh int
	// Body returns this instance's state now. The slice must not be changed afterwards.
	Body func() []byte
	// Receive takes the newest state of a member, and when its sender made it by this instance's clock, or earlier. It is called
	// again with the last state when a lost member comes back.
	Receive func(from Member, body []byte, made time.Time)
	// OnLost is called once when a member is lost, and when another incarnation replaces it.
	OnLost func(Member)
	// Serve returns a document that a peer asked for. It may be called by several goroutines at once.
	Serve func(name string) ([]byte, bool)
	// Log is the part's logger.
	Log log.Interface
	// Now is a steady clock.
	Now func() time.Time
}

const (
	// defaultInterval allows eight heartbeats within the default silence.
	defaultInterval = 250 * time.Millisecond
	// defaultLost is the silence of a process that restarts at once, and some more.
	defaultLost = 2 * time.Second
	// defaultCoalesce bounds the sends for a busy instance to a hundred a second.
	defaultCoalesce = 10 * time.Millisecond
	// defaultFullMesh is where the relays' work becomes less than that of the links saved.
	defaultFullMesh = 16
	// coalescePerLink is what each link beyond those of a full mesh adds to the least time between two sends: a relay
	// then sends at most two thousand frames a second, however many subscribe to it. With four times as much, 295 instances
	// knew of each other's choices after 120 ms in place of 50 ms, and 36 in 1,000 more short prompts were late or lost
	// (a play of the first 20 s of a day with trouble); a relay took 0.084 of a core in place of 0.101.
	coalescePerLink = 500 * time.Microsecond
	// forgetAfter is the silence after which a member is no longer dialled: longer than a restart.
	forgetAfter = time.Minute
	// redialPause bounds the attempts at an address to two a second.
	redialPause = 500 * time.Millisecond
	// dialGrace is how long the instance with the higher name waits for the other to dial: two attempts and their pause.
	dialGrace = 1500 * time.Millisecond
	// refreshBeats is the number of heartbeats after which the state is taken anew though it was not published: what
	// it says of ages has changed.
	refreshBeats = 4
	// idleLosts is the number of silences Options.Lost after which a stream is closed.
	idleLosts = 3
)

func (o Options) withDefaults() Options {
	o.Interval = cmp.Or(o.Interval, defaultInterval)
	o.Lost = cmp.Or(o.Lost, defaultLost)
	o.Coalesce = cmp.Or(o.Coalesce, defaultCoalesce)
	o.FullMesh = cmp.Or(o.FullMesh, defaultFullMesh)
	if o.Body == nil {
		o.Body = func() []byte { return nil }
	}
	if o.Receive == nil {
		o.Receive = func(Member, []byte, time.Time) {}
	}
	if o.OnLost == nil {
		o.OnLost = func(Member) {}
	}
	if o.Serve == nil {
		o.Serve = func(string) ([]byte, bool) { return nil, false }
	}
	if o.Log == nil {
		o.Log = log.Log
	}
	if o.Now == nil {
		o.Now = time.Now
	}
	return o
}

// Mesh is this instance's view of the fleet and its links.
type Mesh struct {
	opts Options
	// kick has room for one signal: there is something to send.
	kick chan struct{}
	// beats counts heartbeats; it is used by Run only.
	beats int
	// published says that Options.Body is to be called at the next send.
	published atomic.Bool

	// calls is held while callbacks run, so that they see changes in their order. It is taken before mu.
	calls sync.Mutex
	mu    sync.Mutex
	self  *record
	// records are the other members by name, live and lost, until they are forgotten.
	records map[string]*record
	// entries is the number of records there were, this instance's own first: it makes their entry IDs.
	entries uint64
	log     changeLog
	// topology is the version of what the plan is made of: it grows when a member comes, goes, changes or is suspected.
	topology uint64
	// plan was made for the version planned, at a time; wantedNames are those that a link is to be kept to by it. A change
	// that is urgent, as of a link, is planned for at once.
	plan        plan
	planned     uint64
	plannedAt   time.Time
	urgent      bool
	wantedNames []string
	// suspects are the members whose link ended or failed, and when, by the awake clock.
	suspects map[string]time.Duration
	// relays says that this instance was a relay by the last plan.
	relays bool
	// sources are the relays that this instance takes states from now, sorted: each tells a part of them.
	sources []string
	// subscribers counts the links by which each member takes all states from this instance.
	subscribers map[string]int
	links       map[*link]struct{}
	// opened is the number of links there were.
	opened uint64
	dials  map[string]*dialState
	awake  awakeClock
	stalls stalls
}

// New returns a mesh; Serve and Run do its work.
func New(o Options) *Mesh {
	o = o.withDefaults()
	now := o.Now()
	ms := &Mesh{
		opts:     o,
		kick:     make(chan struct{}, 1),
		self:     &record{card: card{Member: o.Self}, live: true, pulse: 1},
		records:  map[string]*record{},
		topology: 1,
		suspects: map[string]time.Duration{},
		links:    map[*link]struct{}{},
		dials:    map[string]*dialState{},
		awake:    awakeClock{step: o.Interval, last: now},
		stalls:   stalls{began: now},
	}
	ms.log.touch(ms.self, changedAll)
	ms.published.Store(true)
	return ms
}

// Serve answers peers until ctx ends.
func (ms *Mesh) Serve(ctx context.Context, lis net.Listener) error {
	mux := drpcmux.New()
	if err := mux.Register(ms, description{}); err != nil {
		return errors.Wrap(err, "register gossip service")
	}
	sv := drpcserver.NewWithOptions(mux, drpcserver.Options{
		Manager: managerOptions(),
		Log:     func(err error) { ms.opts.Log.WithError(err).Debug("gossip connection ended") },
	})
	return errors.Wrap(sv.Serve(ctx, boundedListener{Listener: lis, lg: ms.opts.Log}), "serve gossip")
}

// Run sends heartbeats, keeps links and judges silence until ctx ends.
func (ms *Mesh) Run(ctx context.Context) error {
	var wg sync.WaitGroup
	defer wg.Wait()
	ctx, cancel := context.WithCancel(ctx)
	defer cancel()
	tick := time.NewTicker(ms.opts.Interval)
	defer tick.Stop()
	pause := time.NewTimer(0)
	defer pause.Stop()
	kick := ms.kick
	for {
		select {
		case <-ctx.Done():
			return nil
		case <-tick.C:
			ms.beat()
		case <-kick:
			// Further signals wait in the channel until the pause is over.
			kick = nil
			pause.Reset(ms.coalesce())
		case <-pause.C:
			kick = ms.kick
		}
		ms.refresh()
		ms.connect(ctx, &wg)
		ms.wakeLinks()
	}
}

// Publish says that this instance's state has changed. It never blocks.
func (ms *Mesh) Publish() {
	ms.published.Store(true)
	ms.signal()
}

func (ms *Mesh) signal() {
	select {
	case ms.kick <- struct{}{}:
	default:
		// A signal waits already.
	}
}

// Links returns the number of links to other members.
func (ms *Mesh) Links() int {
	ms.mu.Lock()
	defer ms.mu.Unlock()
	return len(ms.links)
}

// Subscribers returns how many members take all states from this one.
func (ms *Mesh) Subscribers() int {
	ms.mu.Lock()
	defer ms.mu.Unlock()
	return len(ms.subscribers)
}

// Version returns the version of the list of members and of what is known of their links: while it stays, so does Live.
func (ms *Mesh) Version() uint64 {
	ms.mu.Lock()
	defer ms.mu.Unlock()
	return ms.topology
}

// Live returns the live members and this instance, by name.
func (ms *Mesh) Live() []Member {
	ms.mu.Lock()
	defer ms.mu.Unlock()
	return ms.liveLocked()
}

func (ms *Mesh) liveLocked() []Member {
	live := []Member{ms.self.Member}
	for _, r := range ms.records {
		if r.live {
			live = append(live, r.Member)
		}
	}
	slices.SortFunc(live, func(a, b Member) int { return cmp.Compare(a.Name, b.Name) })
	return live
}

// Source reports whether this instance should take from a member what all need: from each other one when it is itself one of
// those that others take it from, else only from the relays that it subscribes to.
func (ms *Mesh) Source(m Member) bool {
	ms.mu.Lock()
	defer ms.mu.Unlock()
	ms.replan()
	return ms.plan.full || ms.plan.relay(ms.self.Member) || slices.Contains(ms.sources, m.Name)
}

// SetStopping tells all members that this instance is stopping.
func (ms *Mesh) SetStopping() {
	ms.mu.Lock()
	ms.self.Stopping = true
	ms.self.pulse++
	ms.log.touch(ms.self, changedAll)
	ms.topology++
	ms.mu.Unlock()
	ms.signal()
}

// coalesce is the least time between two sends; it grows with the links that each send is for.
func (ms *Mesh) coalesce() time.Duration {
	ms.mu.Lock()
	defer ms.mu.Unlock()
	return ms.coalesceFor(len(ms.links))
}

func (ms *Mesh) coalesceFor(links int) time.Duration {
	beyond := max(0, links-ms.opts.FullMesh)
	return min(ms.opts.Interval, ms.opts.Coalesce+time.Duration(beyond)*coalescePerLink)
}

// Lag returns the time after which a new state of this instance is known to the others when all is well: the wait for
// the next send, and that of two relays where there are any.
func (ms *Mesh) Lag() time.Duration {
	ms.mu.Lock()
	defer ms.mu.Unlock()
	ms.replan()
	own := ms.coalesceFor(len(ms.links))
	if ms.plan.full {
		return own
	}
	return own + 2*ms.coalesceFor(ms.linksOfRelay())
}

// linksOfRelay returns about how many links a relay of this availability zone has; the lock is held.
func (ms *Mesh) linksOfRelay() int {
	near := 1
	for _, r := range ms.records {
		if r.live && r.AvailabilityZone == ms.self.AvailabilityZone {
			near++
		}
	}
	relays := max(1, len(ms.plan.relays[ms.self.AvailabilityZone]))
	return near*subscriptions/relays + relays + 2*remoteLinks*(len(ms.plan.relays)-1)
}

// refresh takes this instance's state anew when it was published.
func (ms *Mesh) refresh() {
	if !ms.published.Swap(false) {
		return
	}
	body := ms.opts.Body()
	now := ms.opts.Now()
	ms.mu.Lock()
	defer ms.mu.Unlock()
	if body == nil || ms.self.version > 0 && bytes.Equal(body, ms.self.body) {
		return
	}
	ms.self.pulse++
	ms.self.version, ms.self.body, ms.self.made = ms.self.pulse, body, now
	ms.log.touch(ms.self, changedState)
}

// beat begins an interval: it renews this instance's pulse, and drops members that were silent for too long.
func (ms *Mesh) beat() {
	ms.beats++
	if ms.beats%refreshBeats == 0 {
		ms.published.Store(true)
	}
	now := ms.opts.Now()
	ms.calls.Lock()
	defer ms.calls.Unlock()
	ms.mu.Lock()
	ms.stalls.noticed(ms.awake.at(now), now)
	ms.awake = ms.awake.advanced(now)
	ms.self.pulse++
	ms.log.touch(ms.self, changedPulse)
	gone := ms.judge(ms.awake.at(now))
	ms.suspectSilent(now)
	ms.mu.Unlock()
	for _, m := range gone {
		ms.logLost(m, "silent", "silence", ms.opts.Lost.String())
		ms.opts.OnLost(m)
	}
}

// judge returns the members that are now lost and forgets those lost for long.
func (ms *Mesh) judge(awake time.Duration) []Member {
	var gone []Member
	for name, r := range ms.records {
		silence := awake - r.heard
		if r.live && silence >= ms.opts.Lost {
			r.live = false
			ms.topology++
			gone = append(gone, r.Member)
		}
		if silence >= max(forgetAfter, ms.opts.Lost) {
			delete(ms.records, name)
			ms.log.remove(r)
		}
	}
	for lk := range ms.links {
		if awake-lk.heard >= idleLosts*ms.opts.Lost {
			lk.close()
		}
	}
	return gone
}

func (ms *Mesh) wakeLinks() {
	ms.mu.Lock()
	defer ms.mu.Unlock()
	for lk := range ms.links {
		lk.wakeUp()
	}
}

// replanPause is the least time between two plans made for members that came or changed: hundreds that start at once are
// planned for together, since each plan takes a fifth of a core some milliseconds.
const replanPause = 100 * time.Millisecond

// replan makes the plan for the live members that are not suspected, when they changed. The lock is held.
func (ms *Mesh) replan() {
	now := ms.opts.Now()
	if ms.planned == ms.topology || !ms.urgent && now.Sub(ms.plannedAt) < replanPause {
		return
	}
	ms.planned, ms.plannedAt, ms.urgent = ms.topology, now, false
	ms.plan = plan{full: true}
	if ms.liveCount() > ms.opts.FullMesh {
		ms.plan = newPlan(ms.usableLocked(), 0)
	}
	ms.wantedNames = ms.wantedByPlan()
	ms.findSources()
	ms.logPart()
}

func (ms *Mesh) liveCount() int {
	live := 1
	for _, r := range ms.records {
		if r.live {
			live++
		}
	}
	return live
}

// wantedByPlan returns the names of the members, live or lost, that a link is to be kept to. Those of an availability
// zone of which nobody is usable are planned for as if they were, so that it is not given up while it is cut off. In its
// own zone an instance goes on with all that it serves.
func (ms *Mesh) wantedByPlan() []string {
	self := ms.self.Member
	serves := ms.plan.full || ms.plan.relay(self)
	linked := set.Of(slices.Concat(ms.plan.links(self), ms.hopefulPlan().links(self))...)
	var names []string
	for name, r := range ms.records {
		near := r.AvailabilityZone == self.AvailabilityZone
		if r.live && ms.plan.full || near && serves || linked.Has(name) {
			names = append(names, name)
		}
	}
	return names
}

// hopefulPlan is the plan as it would be with all that are known in the availability zones of which nobody is usable.
func (ms *Mesh) hopefulPlan() plan {
	members := ms.usableLocked()
	zones := map[string]bool{}
	for _, m := range members {
		zones[m.AvailabilityZone] = true
	}
	usable := len(members)
	for _, r := range ms.records {
		if !zones[r.AvailabilityZone] {
			members = append(members, r.Member)
		}
	}
	if len(members) == usable {
		return ms.plan
	}
	return newPlan(members, 0)
}

// findSources notes from which relays this instance takes states: those it subscribes to and has a link to. The lock is
// held.
func (ms *Mesh) findSources() {
	var sources []string
	for lk := range ms.links {
		_, suspected := ms.suspects[lk.peer.Name]
		if lk.peer.Name != "" && !suspected && ms.plan.subscribes(ms.self.Member, lk.peer) {
			sources = append(sources, lk.peer.Name)
		}
	}
	slices.Sort(sources)
	ms.sources = slices.Compact(sources)
}

// wanted returns the members, live or lost, that a link is to be kept to; the lock is held.
func (ms *Mesh) wanted() []*record {
	ms.replan()
	var wanted []*record
	for _, name := range ms.wantedNames {
		if r := ms.records[name]; r != nil {
			wanted = append(wanted, r)
		}
	}
	return wanted
}
