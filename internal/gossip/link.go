package gossip

import (
	"context"
	"io"
	"time"

	"github.com/cockroachdb/errors"
	"storj.io/drpc"
	"storj.io/drpc/drpcctx"
)

// link is one stream to a peer, opened by either side. One goroutine receives and one sends.
type link struct {
	ms        *Mesh
	transport io.Closer
	stream    drpc.Stream
	// address is where this instance dialled; it is empty when the peer did.
	address string
	// wake has room for one signal: there may be something to send.
	wake chan struct{}

	// The fields below are guarded by ms.mu.

	// peer is known, and has a name, once the peer's first frame is here.
	peer Member
	// opened only grows from link to link.
	seq uint64
	// heard is when the last frame came, at first when the link was opened, by the awake clock.
	lastHeard time.Duration
	// unwanted is since when the plan has no such link, by the awake clock; 0 when it has.
	unwantedSince time.Duration
	// sent is the newest change that the peer was sent, or is being sent; told is the newest whose sending has ended.
	sentChange, flushedChange uint64
	// wanted is what the peer asked to be told, asked what this instance asked for.
	peerSubscription, ownSubscription subscription
	// closing is set when this instance closes the link because it needs it no longer.
	closing bool
	// asks and answers wait to be sent, at most maxAsks of each.
	requestQueue  []streamRequest
	responseQueue []streamResponse
	// waiting are who asked, by ask ID; each channel has room for its one answer.
	waiters       map[uint64]chan response
	lastRequestID uint64

	// done is closed when the link has ended.
	done chan struct{}
	// cards are those received, by entry ID. Only the receiving goroutine uses them.
	infos map[uint64]*memberInfo
	// delays is used by the receiving goroutine only.
	delay delayEstimator
}

func (ms *Mesh) newLink(stream drpc.Stream, transport io.Closer, address string) *link {
	now := ms.opts.Now()
	lk := &link{
		ms: ms, transport: transport, stream: stream, address: address, wake: make(chan struct{}, 1),
		infos: map[uint64]*memberInfo{}, waiters: map[uint64]chan response{}, done: make(chan struct{}),
	}
	ms.mu.Lock()
	defer ms.mu.Unlock()
	ms.lastLinkSeq++
	lk.seq = ms.lastLinkSeq
	lk.lastHeard = ms.clock.elapsedAt(now)
	ms.links[lk] = struct{}{}
	lk.wakeUp()
	return lk
}

// accept serves a stream that a peer opened.
func (ms *Mesh) accept(stream drpc.Stream) error {
	transport, ok := drpcctx.Transport(stream.Context())
	if !ok {
		return &MalformedError{Message: "a stream without a connection"}
	}
	return ms.newLink(stream, transport, "").exchange(stream.Context())
}

// open keeps a stream to an address until it ends.
func (ms *Mesh) openLink(ctx context.Context, address string) error {
	conn, transport, err := dial(ctx, address)
	if err != nil {
		return err
	}
	defer conn.Close()
	stream, err := conn.NewStream(ctx, exchangeRPC, encoding{})
	if err != nil {
		return errors.Wrap(err, "open stream")
	}
	return ms.newLink(stream, transport, address).exchange(ctx)
}

// exchange sends and receives until either fails.
func (lk *link) exchange(ctx context.Context) error {
	defer lk.ms.removeLink(lk)
	defer lk.close()
	ctx, cancel := context.WithCancel(ctx)
	defer cancel()
	go func() {
		// The receiver ends, and tells why, when the connection is closed.
		defer lk.close()
		if err := lk.send(ctx); err != nil && ctx.Err() == nil {
			lk.ms.opts.Log.WithError(err).Debug("gossip send failed")
		}
	}()
	for {
		var fr frame
		if err := lk.stream.MsgRecv(&fr, encoding{}); err != nil {
			return errors.Wrap(err, "receive")
		}
		if err := lk.handleFrame(fr); err != nil {
			return err
		}
		lk.serveRequests(fr.Requests)
		lk.deliverResponses(fr.Responses)
	}
}

func (lk *link) close() {
	// Closing twice is harmless, and there is nothing to do about a connection that fails to close.
	_ = lk.transport.Close()
}

func (lk *link) wakeUp() {
	select {
	case lk.wake <- struct{}{}:
	default:
		// A signal waits already; the sender then sends the newest.
	}
}

// send sends what is new to the peer each time that the link is woken.
func (lk *link) send(ctx context.Context) error {
	for {
		select {
		case <-lk.wake:
		case <-ctx.Done():
			return nil
		}
		fr := lk.nextFrame()
		if !fr.empty() {
			if err := lk.stream.MsgSend(fr, encoding{}); err != nil {
				return errors.Wrap(err, "send")
			}
		}
		lk.markFlushed()
	}
}

// noteTold notes that what was to be sent is on its way.
func (lk *link) markFlushed() {
	lk.ms.mu.Lock()
	defer lk.ms.mu.Unlock()
	lk.flushedChange = lk.sentChange
}

// news returns what the peer was not told yet.
func (lk *link) nextFrame() *frame {
	ms := lk.ms
	now := ms.opts.Now()
	fr := &frame{}
	ms.mu.Lock()
	defer ms.mu.Unlock()
	ms.replan()
	fr.Requests, lk.requestQueue = lk.requestQueue, nil
	fr.Responses, lk.responseQueue = lk.responseQueue, nil
	if su := ms.subscriptionTo(lk); su != lk.ownSubscription {
		lk.ownSubscription = su
		fr.Subscription = &su
	}
	for r := range ms.changes.since(lk.sentChange) {
		if e, ok := lk.entryFor(r, now); ok {
			fr.Entries = append(fr.Entries, e)
		}
	}
	lk.sentChange = ms.changes.newest
	fr.SenderUptime = now.Sub(ms.start)
	return fr
}

// entry returns what the peer is to be told of a member that changed; it reports false when that is nothing.
func (lk *link) entryFor(r *record, now time.Time) (entry, bool) {
	isPeer := r.Name == lk.peer.Name && r.Incarnation == lk.peer.Incarnation
	if !r.live || isPeer {
		return entry{}, false
	}
	tells := lk.inScope(r)
	e := entry{ID: r.id}
	if r.infoChange > lk.sentChange && (tells || lk.peerSubscription.Scope.includesAllInfo()) {
		c := r.memberInfo
		e.Info = &c
	}
	if !tells && e.Info == nil {
		return entry{}, false
	}
	e.Heartbeat, e.HeartbeatAge = r.heartbeat, lk.ms.silence(r, now)
	if tells && lk.peerSubscription.includesState(r.Name) {
		e.State = r.state.since(lk.sentChange, now)
		e.Notes = r.notes.since(lk.sentChange, now)
	}
	return e, true
}

// since returns the text when it changed after a change.
func (sp storedPayload) since(sent uint64, now time.Time) payload {
	if sp.version == 0 || sp.lastChange <= sent {
		return payload{}
	}
	return payload{Version: sp.version, Body: sp.body, Age: now.Sub(sp.madeAt)}
}

// silence returns how long a member was not heard.
func (ms *Mesh) silence(r *record, now time.Time) time.Duration {
	if r == ms.self {
		return 0
	}
	return ms.clock.elapsedAt(now) - r.lastHeard
}

// take takes a frame.
func (lk *link) handleFrame(fr frame) error {
	ms := lk.ms
	now := ms.opts.Now()
	ms.callbackMu.Lock()
	defer ms.callbackMu.Unlock()
	ms.mu.Lock()
	events, err := lk.handleFrameLocked(fr, now)
	ms.mu.Unlock()
	ms.runCallbacks(events)
	return err
}

func (lk *link) handleFrameLocked(fr frame, now time.Time) ([]event, error) {
	var events []event
	lk.lastHeard = lk.ms.clock.elapsedAt(now)
	delay := lk.delay.observe(fr.SenderUptime, now, lk.ms.start)
	for _, e := range fr.Entries {
		e.ExtraDelay = delay
		if e.Info != nil {
			lk.infos[e.ID] = e.Info
		}
		c, ok := lk.infos[e.ID]
		if !ok || c.Name == "" {
			return events, &MalformedError{Message: "an entry about nobody"}
		}
		if e.ID == senderID {
			if err := lk.identifyPeer(c.Member); err != nil {
				return events, err
			}
		}
		events = append(events, lk.ms.applyEntry(*c, e, now)...)
	}
	lk.ms.clearSuspicion(lk.peer.Name)
	if fr.Subscription != nil {
		lk.setSubscription(*fr.Subscription)
	}
	return events, nil
}

// subscribed takes what the peer wants to be told. All of it is told anew: what the peer was not told before is not known.
func (lk *link) setSubscription(su subscription) {
	lk.peerSubscription = su
	lk.sentChange = 0
	lk.ms.countSubscribers()
	lk.wakeUp()
}

// meet notes who the peer says it is.
func (lk *link) identifyPeer(m Member) error {
	ms := lk.ms
	first := lk.peer.Name == ""
	lk.peer = m
	isSelf := m.Name == ms.self.Name && m.Incarnation == ms.self.Incarnation
	if ds := ms.dials[lk.address]; ds != nil && (isSelf || m.Name != ms.self.Name) {
		ds.peerName = m.Name
	}
	if isSelf {
		return &SelfDialError{Address: lk.address}
	}
	if first {
		// What is asked of the peer depends on who it is.
		ms.topologyVersion++
		ms.replanNow = true
		ms.countSubscribers()
		ms.signal()
	}
	return nil
}

// drop forgets a link that has ended.
func (ms *Mesh) removeLink(lk *link) {
	now := ms.opts.Now()
	ms.mu.Lock()
	defer ms.mu.Unlock()
	delete(ms.links, lk)
	close(lk.done)
	ms.topologyVersion++
	ms.replanNow = true
	ms.countSubscribers()
	r := ms.records[lk.peer.Name]
	if r == nil || r.Incarnation != lk.peer.Incarnation {
		return
	}
	r.unlinkedSince = ms.clock.elapsedAt(now)
	if !lk.closing && ms.plan.linked(ms.self.Member, lk.peer) && !ms.hasOtherActiveLink(lk, r.unlinkedSince) {
		ms.suspect(lk.peer.Name, now)
	}
}
