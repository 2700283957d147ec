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

	"github.com/cockroachdb/errors"
	"storj.io/drpc/drpcmux"
	"storj.io/drpc/drpcserver"
)

// Mesh is this instance's view of the fleet and its links.
type Mesh struct {
	opts Options
	// kick has room for one signal: there is something to send.
	wake chan struct{}
	// beats counts heartbeats; it is used by Run only.
	heartbeatCount int
	// published says that Options.Body is to be called at the next send.
	statePublished atomic.Bool
	// noted says the same of Options.Notes.
	notesPublished atomic.Bool

	// calls is held while callbacks run, so that they see changes in their order. It is taken before mu.
	callbackMu sync.Mutex
	mu         sync.Mutex
	self       *record
	// records are the other members by name, live and lost, until they are forgotten.
	records map[string]*record
	// entries is the number of records there were, this instance's own first: it makes their entry IDs.
	lastEntryID uint64
	changes     changeLog
	// topology is the version of what the plan is made of: it grows when a member comes, goes, changes or is suspected.
	topologyVersion uint64
	// storeless counts the changes of who is without an answer of the store: no plan is made of them.
	storeStatusVersion uint64
	// plan was made for the version planned, at a time; wantedNames are those that a link is to be kept to by it. A change
	// that is urgent, as of a link, is planned for at once.
	plan           plan
	plannedVersion uint64
	plannedAt      time.Time
	replanNow      bool
	plannedPeers   []string
	// suspects are the members whose link ended or failed, and when, by the awake clock.
	suspects map[string]time.Duration
	// relays says that this instance was a relay by the last plan.
	wasRelay bool
	// sources are the relays that this instance takes states from now, sorted: each tells a part of them.
	upstreamRelays []string
	// subscribers counts the links by which each member takes all states from this instance.
	subscribers map[string]int
	links       map[*link]struct{}
	// opened is the number of links there were.
	lastLinkSeq uint64
	dials       map[string]*dialState
	// resting are connections over which questions were put, by address.
	queryConns *connPool
	clock      activeClock
	pauses     pauseDetector
	// began is when this mesh was made.
	start time.Time
	// refreshing is the number of the newest refresh that has begun, refreshed of the newest that has ended.
	refreshesStarted, refreshesFinished uint64
	// farewell runs once, when the first of Serve and Run is asked to end.
	flushOnce sync.Once
}

// New returns a mesh; Serve and Run do its work.
func New(o Options) *Mesh {
	o = o.withDefaults()
	now := o.Now()
	ms := &Mesh{
		opts:            o,
		wake:            make(chan struct{}, 1),
		self:            &record{memberInfo: memberInfo{Member: o.Self}, live: true, heartbeat: 1},
		records:         map[string]*record{},
		topologyVersion: 1,
		suspects:        map[string]time.Duration{},
		links:           map[*link]struct{}{},
		dials:           map[string]*dialState{},
		queryConns:      newConnPool(),
		clock:           activeClock{maxStep: o.HeartbeatInterval, last: now},
		pauses:          pauseDetector{start: now},
		start:           now,
	}
	ms.changes.touch(ms.self, everythingChanged)
	ms.statePublished.Store(true)
	return ms
}

// Serve answers peers until ctx ends and they were told the last state.
func (ms *Mesh) Serve(ctx context.Context, lis net.Listener) error {
	ctx, cancel := ms.cancelAfterFlush(ctx)
	defer cancel()
	mux := drpcmux.New()
	if err := mux.Register(ms, serviceDescription{}); err != nil {
		return errors.Wrap(err, "register gossip service")
	}
	sv := drpcserver.NewWithOptions(mux, drpcserver.Options{
		Manager: managerOptions(),
		Log:     func(err error) { ms.opts.Log.WithError(err).Debug("gossip connection ended") },
	})
	return errors.Wrap(sv.Serve(ctx, boundedListener{Listener: lis, lg: ms.opts.Log}), "serve gossip")
}

// Run sends heartbeats, keeps links and judges silence until ctx ends and all peers were told the last state.
func (ms *Mesh) Run(ctx context.Context) error {
	var wg sync.WaitGroup
	defer wg.Wait()
	defer ms.queryConns.closeAll()
	ctx, cancel := ms.cancelAfterFlush(ctx)
	defer cancel()
	tick := time.NewTicker(ms.opts.HeartbeatInterval)
	defer tick.Stop()
	pause := time.NewTimer(0)
	defer pause.Stop()
	kick := ms.wake
	for {
		select {
		case <-ctx.Done():
			return nil
		case <-tick.C:
			ms.heartbeat()
		case <-kick:
			// Further signals wait in the channel until the pause is over.
			kick = nil
			pause.Reset(ms.sendInterval())
		case <-pause.C:
			kick = ms.wake
		}
		ms.refreshState()
		ms.refreshNotes()
		ms.reconcileLinks(ctx, &wg)
		ms.wakeLinks()
	}
}

// Publish says that this instance's state has changed. It never blocks.
func (ms *Mesh) PublishState() {
	ms.statePublished.Store(true)
	ms.signal()
}

// PublishNotes says that this instance's notes have changed. It never blocks.
func (ms *Mesh) PublishNotes() {
	ms.notesPublished.Store(true)
	ms.signal()
}

func (ms *Mesh) signal() {
	select {
	case ms.wake <- struct{}{}:
	default:
		// A signal waits already.
	}
}

// Links returns the number of links to other members.
func (ms *Mesh) LinkCount() int {
	ms.mu.Lock()
	defer ms.mu.Unlock()
	return len(ms.links)
}

// Subscribers returns how many members take all states from this one.
func (ms *Mesh) SubscriberCount() int {
	ms.mu.Lock()
	defer ms.mu.Unlock()
	return len(ms.subscribers)
}

// Version returns the version of the list of members and of what is known of their links: while it stays, so does Live.
func (ms *Mesh) MembershipVersion() uint64 {
	ms.mu.Lock()
	defer ms.mu.Unlock()
	return ms.topologyVersion + ms.storeStatusVersion
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

// SetStopping tells all members that this instance is stopping.
func (ms *Mesh) SetStopping() {
	ms.mu.Lock()
	ms.self.Stopping = true
	ms.self.heartbeat++
	ms.changes.touch(ms.self, everythingChanged)
	ms.topologyVersion++
	ms.mu.Unlock()
	ms.signal()
}

// SetStoreless tells all members whether the object store leaves this instance without an answer.
func (ms *Mesh) SetStoreUnreachable(storeless bool) {
	ms.mu.Lock()
	defer ms.mu.Unlock()
	if ms.self.StoreUnreachable == storeless {
		return
	}
	ms.self.StoreUnreachable = storeless
	ms.self.heartbeat++
	ms.changes.touch(ms.self, everythingChanged)
	ms.storeStatusVersion++
	ms.signal()
}

// refresh takes this instance's state anew when it was published.
func (ms *Mesh) refreshState() {
	if !ms.statePublished.Swap(false) {
		return
	}
	number := ms.beginRefresh()
	// The ages in a body hold from before it is made: a freeze until it is there must not make what it proves seem newer.
	made := ms.opts.Now()
	body := ms.opts.State()
	ms.mu.Lock()
	defer ms.mu.Unlock()
	ms.refreshesFinished = number
	ms.setPayload(&ms.self.state, body, made)
}

// refreshNotes takes this instance's notes anew when they were published.
func (ms *Mesh) refreshNotes() {
	if !ms.notesPublished.Swap(false) {
		return
	}
	made := ms.opts.Now()
	notes := ms.opts.Notes()
	ms.mu.Lock()
	defer ms.mu.Unlock()
	ms.setPayload(&ms.self.notes, notes, made)
}

// tell takes a new text of this instance, made at a time. The lock is held.
func (ms *Mesh) setPayload(td *storedPayload, body []byte, made time.Time) {
	if body == nil || td.version > 0 && bytes.Equal(body, td.body) {
		return
	}
	ms.self.heartbeat++
	td.version, td.body, td.madeAt = ms.self.heartbeat, body, made
	ms.changes.touchPayload(ms.self, td)
}

func (ms *Mesh) beginRefresh() uint64 {
	ms.mu.Lock()
	defer ms.mu.Unlock()
	ms.refreshesStarted++
	return ms.refreshesStarted
}

// beat begins an interval: it renews this instance's pulse, and drops members that were silent for too long.
func (ms *Mesh) heartbeat() {
	ms.heartbeatCount++
	if ms.heartbeatCount%refreshHeartbeats == 0 {
		ms.statePublished.Store(true)
	}
	now := ms.opts.Now()
	ms.callbackMu.Lock()
	defer ms.callbackMu.Unlock()
	ms.mu.Lock()
	ms.pauses.observe(ms.clock.elapsedAt(now), now)
	ms.clock = ms.clock.advance(now)
	ms.self.heartbeat++
	ms.changes.touch(ms.self, heartbeatChanged)
	gone := ms.expireMembers(ms.clock.elapsedAt(now))
	ms.suspectSilentPeers(now)
	ms.mu.Unlock()
	for _, m := range gone {
		ms.logLost(m, "silent", "silence", ms.opts.LostAfter.String())
		ms.opts.OnLost(m)
	}
}

// judge returns the members that are now lost and forgets those lost for long.
func (ms *Mesh) expireMembers(awake time.Duration) []Member {
	var gone []Member
	for name, r := range ms.records {
		silence := awake - r.lastHeard
		if r.live && silence >= ms.opts.LostAfter {
			r.live = false
			ms.topologyVersion++
			gone = append(gone, r.Member)
		}
		if silence >= max(forgetAfter, ms.opts.LostAfter) {
			delete(ms.records, name)
			ms.changes.remove(r)
		}
	}
	for lk := range ms.links {
		if awake-lk.lastHeard >= idleLinkFactor*ms.opts.LostAfter {
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
