package gossip

import (
	"context"
	"io"
	"time"

	"github.com/cockroachdb/errors"
	"storj.io/drpc"
	"storj.io/drpc/drpcctx"
)

// link is one stream to a peer, opened by either side. One goroutine receives from it and one sends to it.
type link struct {
	ms        *Mesh
	transport io.Closer
	stream    drpc.Stream
	// address is the address that this instance dialled; empty if the peer dialled.
	address string
	// wake has a buffer of one signal, which says that there may be something to send.
	wake chan struct{}

	// The fields below are guarded by ms.mu.

	// peer is the zero value until the peer's first frame arrives.
	peer Member
	// seq increases from link to link, so an older link has a lower number.
	seq uint64
	// lastHeard is when the last frame arrived, or else when the link was opened, on the active clock.
	lastHeard time.Duration
	// unwantedSince is the time on the active clock since which the plan has no such link; 0 while it has.
	unwantedSince time.Duration
	// sentChange is the newest change sent or being sent to the peer, flushedChange the newest whose sending has finished.
	sentChange, flushedChange uint64
	// peerSubscription is what the peer subscribes to, ownSubscription what this instance has asked the peer for.
	peerSubscription, ownSubscription subscription
	// closing is set when this instance closes a link that is no longer needed, so that the peer is not suspected.
	closing bool
	// requestQueue and responseQueue wait to be sent; each holds at most maxStreamRequests.
	requestQueue  []streamRequest
	responseQueue []streamResponse
	// waiters are the channels of pending calls by request ID; each buffers its single response.
	waiters       map[uint64]chan response
	lastRequestID uint64

	// done is closed after the link has ended.
	done chan struct{}
	// infos are the member infos received on this stream, by entry ID. Only the receiving goroutine uses them.
	infos map[uint64]*memberInfo
	// delay is used by the receiving goroutine only.
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

// accept runs a link over a stream that a peer has opened.
func (ms *Mesh) accept(stream drpc.Stream) error {
	transport, ok := drpcctx.Transport(stream.Context())
	if !ok {
		return &MalformedError{Message: "stream has no transport connection"}
	}
	return ms.newLink(stream, transport, "").exchange(stream.Context())
}

// openLink dials an address and runs a link to it until the link ends.
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

// exchange sends and receives frames until one of the two fails.
func (lk *link) exchange(ctx context.Context) error {
	defer lk.ms.removeLink(lk)
	defer lk.close()
	ctx, cancel := context.WithCancel(ctx)
	defer cancel()
	go func() {
		// Closing the connection ends the receive loop, which returns the cause.
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
	// A second close is harmless, and an error of close cannot be handled.
	_ = lk.transport.Close()
}

func (lk *link) wakeUp() {
	select {
	case lk.wake <- struct{}{}:
	default:
		// A signal is already pending; the sender then sends the newest data.
	}
}

// send sends a frame with all news for the peer each time that the link is woken.
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

// markFlushed records that all changes up to sentChange have been sent.
func (lk *link) markFlushed() {
	lk.ms.mu.Lock()
	defer lk.ms.mu.Unlock()
	lk.flushedChange = lk.sentChange
}

// nextFrame returns a frame of everything that the peer has not been sent yet.
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

// entryFor returns the entry to send about a changed member; it reports false if there is nothing to send.
func (lk *link) entryFor(r *record, now time.Time) (entry, bool) {
	isPeer := r.Name == lk.peer.Name && r.Incarnation == lk.peer.Incarnation
	if !r.live || isPeer {
		return entry{}, false
	}
	inScope := lk.inScope(r)
	e := entry{ID: r.id}
	if r.infoChange > lk.sentChange && (inScope || lk.peerSubscription.Scope.includesAllInfo()) {
		mi := r.memberInfo
		e.Info = &mi
	}
	if !inScope && e.Info == nil {
		return entry{}, false
	}
	e.Heartbeat, e.HeartbeatAge = r.heartbeat, lk.ms.silence(r, now)
	if inScope && lk.peerSubscription.includesState(r.Name) {
		e.State = r.state.since(lk.sentChange, now)
		e.Notes = r.notes.since(lk.sentChange, now)
		e.LoadReport = r.loadReport.since(lk.sentChange, now)
	}
	return e, true
}

// since returns the payload if it changed after the given change, otherwise an empty one.
func (sp storedPayload) since(change uint64, now time.Time) payload {
	if sp.version == 0 || sp.lastChange <= change {
		return payload{}
	}
	return payload{Version: sp.version, Body: sp.body, Age: now.Sub(sp.madeAt)}
}

// silence returns the time since a member was last heard from.
func (ms *Mesh) silence(r *record, now time.Time) time.Duration {
	if r == ms.self {
		return 0
	}
	return ms.clock.elapsedAt(now) - r.lastHeard
}

// handleFrame applies a received frame and runs the callbacks that result from it.
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
		mi, ok := lk.infos[e.ID]
		if !ok || mi.Name == "" {
			return events, &MalformedError{Message: "entry names no member"}
		}
		if e.ID == senderID {
			if err := lk.identifyPeer(mi.Member); err != nil {
				return events, err
			}
		}
		events = append(events, lk.ms.applyEntry(*mi, e, now)...)
		if r := lk.ms.records[mi.Name]; e.Info != nil && r != nil && r.memberInfo == *mi {
			lk.infos[e.ID] = r.share()
		}
	}
	lk.ms.clearSuspicion(lk.peer.Name)
	if fr.Subscription != nil {
		lk.setSubscription(*fr.Subscription)
	}
	return events, nil
}

// setSubscription stores the peer's new subscription. Everything in it is sent again, because it is unknown which parts of it
// the previous subscription left out.
func (lk *link) setSubscription(su subscription) {
	lk.peerSubscription = su
	lk.sentChange = 0
	lk.ms.countSubscribers()
	lk.wakeUp()
}

// identifyPeer records the peer's identity, and fails if the peer is this process.
func (lk *link) identifyPeer(m Member) error {
	ms := lk.ms
	firstFrame := lk.peer.Name == ""
	lk.peer = m
	isSelf := m.Name == ms.self.Name && m.Incarnation == ms.self.Incarnation
	if ds := ms.dials[lk.address]; ds != nil && (isSelf || m.Name != ms.self.Name) {
		ds.peerName = m.Name
	}
	if isSelf {
		return &SelfDialError{Address: lk.address}
	}
	if firstFrame {
		// The subscription to the peer depends on its identity.
		ms.linksChanged()
	}
	return nil
}

// removeLink removes a link that has ended, and suspects its peer if the plan still has the link.
func (ms *Mesh) removeLink(lk *link) {
	now := ms.opts.Now()
	ms.mu.Lock()
	defer ms.mu.Unlock()
	delete(ms.links, lk)
	close(lk.done)
	ms.linksChanged()
	r := ms.records[lk.peer.Name]
	if r == nil || r.Incarnation != lk.peer.Incarnation {
		return
	}
	r.unlinkedSince = ms.clock.elapsedAt(now)
	if !lk.closing && ms.plan.linked(ms.self.Member, lk.peer) && !ms.hasOtherActiveLink(lk, r.unlinkedSince) {
		ms.suspect(lk.peer.Name, now)
	}
}
