// Package gossip maintains the list of live instances and propagates the state of each to all others.
//
// In a small fleet every two instances share one stream (full mesh). In a large fleet a plan selects the streams, and most
// members subscribe to two relays. An instance sends a heartbeat every interval, and on each stream only what the peer does not
// have yet, so the backlog for a peer never exceeds the newest state of each member.
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

	"github.com/silvermount/silvermount/internal/set"
)

// Mesh is this instance's view of the fleet and its links to other members.
type Mesh struct {
	opts Options
	// wake has a buffer of one signal, which says that there is something to send.
	wake chan struct{}
	// heartbeatCount counts the heartbeats sent. Only Run uses it.
	heartbeatCount int
	// statePublished requests a call of Options.State before the next send.
	statePublished atomic.Bool
	// notesPublished requests a call of Options.Notes before the next send, loadReportPublished one of Options.LoadReport.
	notesPublished, loadReportPublished atomic.Bool

	// callbackMu is held while callbacks run, so that they see changes in order. It is locked before mu.
	callbackMu sync.Mutex
	mu         sync.Mutex
	self       *record
	// records are the other members by name, live and lost, until they are removed after forgetAfter.
	records map[string]*record
	// lastEntryID is the entry ID of the newest record. This instance's own record has ID 0.
	lastEntryID uint64
	changes     changeLog
	// topologyVersion is the version of the plan's inputs. It grows when a member joins, is lost, changes or is suspected.
	topologyVersion uint64
	// storeStatusVersion counts the changes of Member.StoreUnreachable, which is not an input of the plan.
	storeStatusVersion uint64
	// plan was made at plannedAt for plannedVersion of the topology; plannedPeers are the members that it requires links to.
	// replanNow skips minReplanInterval after an urgent change, such as that of a link.
	plan           plan
	plannedVersion uint64
	plannedAt      time.Time
	replanNow      bool
	plannedPeers   []string
	// suspects are the members whose link ended, failed or fell silent, with the time of that on the active clock.
	suspects map[string]time.Duration
	// wasRelay is set if the last plan made this instance a relay.
	wasRelay bool
	// upstreamRelays are the relays that this instance receives states from, sorted. Each sends one shard of the states.
	upstreamRelays []string
	// infoLinks are the links outside the plan over which this instance subscribes to the infos of all members.
	infoLinks set.Set[*link]
	// subscribers counts, for each member that receives all states from this instance, the links that it does so over.
	subscribers map[string]int
	links       map[*link]struct{}
	// lastLinkSeq is the sequence number of the newest link.
	lastLinkSeq uint64
	dials       map[string]*dialState
	// queryConns are idle connections kept for queries, by address.
	queryConns *connPool
	clock      activeClock
	pauses     pauseDetector
	// start is when New was called.
	start time.Time
	// refreshesStarted and refreshesFinished are the numbers of the last refresh of the state that has started and finished.
	refreshesStarted, refreshesFinished uint64
	// flushOnce flushes the final state when the context of Serve or of Run ends, whichever is first.
	flushOnce sync.Once
}

// New returns a mesh that does nothing until Serve and Run are called.
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

// Serve accepts streams and requests from peers until ctx ends and the final state is flushed.
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
	return errors.Wrap(sv.Serve(ctx, deadlineListener{Listener: lis}), "serve gossip")
}

// Run sends heartbeats, maintains links and detects lost members until ctx ends and the final state is flushed.
func (ms *Mesh) Run(ctx context.Context) error {
	var wg sync.WaitGroup
	defer wg.Wait()
	defer ms.queryConns.closeAll()
	ctx, cancel := ms.cancelAfterFlush(ctx)
	defer cancel()
	tick := time.NewTicker(ms.opts.HeartbeatInterval)
	defer tick.Stop()
	throttle := time.NewTimer(0)
	defer throttle.Stop()
	wake := ms.wake
	for {
		select {
		case <-ctx.Done():
			return nil
		case <-tick.C:
			ms.heartbeat()
		case <-wake:
			// Further signals stay in the channel until the minimum interval between two sends is over.
			wake = nil
			throttle.Reset(ms.sendInterval())
		case <-throttle.C:
			wake = ms.wake
		}
		ms.refreshState()
		ms.refreshNotes()
		ms.refreshLoadReport()
		ms.reconcileLinks(ctx, &wg)
		ms.wakeLinks()
	}
}

// PublishState announces that this instance's state has changed. It never blocks.
func (ms *Mesh) PublishState() {
	ms.statePublished.Store(true)
	ms.signal()
}

// PublishNotes announces that this instance's notes have changed. It never blocks.
func (ms *Mesh) PublishNotes() {
	ms.notesPublished.Store(true)
	ms.signal()
}

// PublishLoadReport announces that this instance's load report has changed. It never blocks.
func (ms *Mesh) PublishLoadReport() {
	ms.loadReportPublished.Store(true)
	ms.signal()
}

func (ms *Mesh) signal() {
	select {
	case ms.wake <- struct{}{}:
	default:
		// A signal is already pending.
	}
}

// LinkCount returns the number of links to other members.
func (ms *Mesh) LinkCount() int {
	ms.mu.Lock()
	defer ms.mu.Unlock()
	return len(ms.links)
}

// HeardAge returns the time since a frame last arrived from any peer. It reports false while there is no link.
func (ms *Mesh) HeardAge() (time.Duration, bool) {
	now := ms.opts.Now()
	ms.mu.Lock()
	defer ms.mu.Unlock()
	elapsed := ms.clock.elapsedAt(now)
	age, linked := time.Duration(0), false
	for lk := range ms.links {
		if silence := elapsed - lk.lastHeard; !linked || silence < age {
			age, linked = silence, true
		}
	}
	return age, linked
}

// SubscriberCount returns the number of members that receive all states from this instance.
func (ms *Mesh) SubscriberCount() int {
	ms.mu.Lock()
	defer ms.mu.Unlock()
	return len(ms.subscribers)
}

// MembershipVersion returns the version of the member list and of what is known of its links. While it is unchanged, so is the
// result of Live.
func (ms *Mesh) MembershipVersion() uint64 {
	ms.mu.Lock()
	defer ms.mu.Unlock()
	return ms.topologyVersion + ms.storeStatusVersion
}

// Live returns the live members, including this instance, sorted by name.
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

// HasLive reports whether any live member, including this instance, is in an availability zone. Unlike Live it sorts nothing, so that it
// can be called for each of hundreds of members that are lost at once.
func (ms *Mesh) HasLive(zone string) bool {
	ms.mu.Lock()
	defer ms.mu.Unlock()
	if ms.self.AvailabilityZone == zone {
		return true
	}
	for _, r := range ms.records {
		if r.live && r.AvailabilityZone == zone {
			return true
		}
	}
	return false
}

// SetStopping announces to all members that this instance is stopping.
func (ms *Mesh) SetStopping() {
	ms.mu.Lock()
	ms.self.Stopping = true
	ms.self.heartbeat++
	ms.changes.touch(ms.self, everythingChanged)
	ms.topologyVersion++
	ms.mu.Unlock()
	ms.signal()
}

// SetStoreUnreachable announces to all members whether the object store fails to answer this instance.
func (ms *Mesh) SetStoreUnreachable(unreachable bool) {
	ms.mu.Lock()
	defer ms.mu.Unlock()
	if ms.self.StoreUnreachable == unreachable {
		return
	}
	ms.self.StoreUnreachable = unreachable
	ms.self.heartbeat++
	ms.changes.touch(ms.self, everythingChanged)
	ms.storeStatusVersion++
	ms.signal()
}

// refreshState calls Options.State if the state has been published since the last call.
func (ms *Mesh) refreshState() {
	if !ms.statePublished.Swap(false) {
		return
	}
	refresh := ms.beginRefresh()
	// The ages inside a state count from before it is built: a pause of this process during the build must not make the proofs
	// in it seem more recent.
	madeAt := ms.opts.Now()
	body := ms.opts.State()
	ms.mu.Lock()
	defer ms.mu.Unlock()
	ms.refreshesFinished = refresh
	ms.setPayload(&ms.self.state, body, madeAt)
}

// refreshNotes calls Options.Notes if the notes have been published since the last call.
func (ms *Mesh) refreshNotes() {
	if !ms.notesPublished.Swap(false) {
		return
	}
	madeAt := ms.opts.Now()
	notes := ms.opts.Notes()
	ms.mu.Lock()
	defer ms.mu.Unlock()
	ms.setPayload(&ms.self.notes, notes, madeAt)
}

// refreshLoadReport calls Options.LoadReport if the report has been published since the last call.
func (ms *Mesh) refreshLoadReport() {
	if !ms.loadReportPublished.Swap(false) {
		return
	}
	madeAt := ms.opts.Now()
	report := ms.opts.LoadReport()
	ms.mu.Lock()
	defer ms.mu.Unlock()
	ms.setPayload(&ms.self.loadReport, report, madeAt)
}

// setPayload stores a new state, new notes or a new load report of this instance, built at madeAt, unless unchanged. The lock is held.
func (ms *Mesh) setPayload(sp *storedPayload, body []byte, madeAt time.Time) {
	if body == nil || sp.version > 0 && bytes.Equal(body, sp.body) {
		return
	}
	ms.self.heartbeat++
	sp.version, sp.body, sp.madeAt = ms.self.heartbeat, body, madeAt
	ms.changes.touchPayload(ms.self, sp)
}

func (ms *Mesh) beginRefresh() uint64 {
	ms.mu.Lock()
	defer ms.mu.Unlock()
	ms.refreshesStarted++
	return ms.refreshesStarted
}

// heartbeat starts an interval: it increments this instance's heartbeat and reports members as lost that were silent too long.
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
	lost := ms.expireMembers(ms.clock.elapsedAt(now))
	ms.suspectSilentPeers(now)
	ms.mu.Unlock()
	for _, m := range lost {
		ms.logLost(m, "silent", "silence", ms.opts.LostAfter.String())
		ms.opts.OnLost(m)
	}
}

// expireMembers marks and returns the members that are newly lost, removes those silent for forgetAfter, and closes idle links.
func (ms *Mesh) expireMembers(elapsed time.Duration) []Member {
	var lost []Member
	for name, r := range ms.records {
		silence := elapsed - r.lastHeard
		if r.live && silence >= ms.opts.LostAfter {
			r.live = false
			ms.topologyVersion++
			lost = append(lost, r.Member)
		}
		if silence >= max(forgetAfter, ms.opts.LostAfter) {
			delete(ms.records, name)
			ms.changes.remove(r)
		}
	}
	for lk := range ms.links {
		if elapsed-lk.lastHeard >= idleLinkFactor*ms.opts.LostAfter {
			lk.close()
		}
	}
	return lost
}

func (ms *Mesh) wakeLinks() {
	ms.mu.Lock()
	defer ms.mu.Unlock()
	for lk := range ms.links {
		lk.wakeUp()
	}
}
