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
	opened uint64
	// heard is when the last frame came, at first when the link was opened, by the awake clock.
	heard time.Duration
	// unwanted is since when the plan has no such link, by the awake clock; 0 when it has.
	unwanted time.Duration
	// sent is the newest change that the peer was sent, or is being sent; told is the newest whose sending has ended.
	sent, told uint64
	// wanted is what the peer asked to be told, asked what this instance asked for.
	wanted, asked subscription
	// closing is set when this instance closes the link because it needs it no longer.
	closing bool
	// asks and answers wait to be sent, at most maxAsks of each.
	asks    []ask
	answers []answer
	// waiting are who asked, by ask ID; each channel has room for its one answer.
	waiting map[uint64]chan document
	lastAsk uint64

	// done is closed when the link has ended.
	done chan struct{}
	// cards are those received, by entry ID. Only the receiving goroutine uses them.
	cards map[uint64]*card
	// delays is used by the receiving goroutine only.
	delays delays
}

func (ms *Mesh) newLink(stream drpc.Stream, transport io.Closer, address string) *link {
	now := ms.opts.Now()
	lk := &link{
		ms: ms, transport: transport, stream: stream, address: address, wake: make(chan struct{}, 1),
		cards: map[uint64]*card{}, waiting: map[uint64]chan document{}, done: make(chan struct{}),
	}
	ms.mu.Lock()
	defer ms.mu.Unlock()
	ms.opened++
	lk.opened = ms.opened
	lk.heard = ms.awake.at(now)
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
func (ms *Mesh) open(ctx context.Context, address string) error {
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
	defer lk.ms.drop(lk)
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
		if err := lk.take(fr); err != nil {
			return err
		}
		lk.answer(fr.Asks)
		lk.takeAnswers(fr.Answers)
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
		fr := lk.news()
		if !fr.empty() {
			if err := lk.stream.MsgSend(fr, encoding{}); err != nil {
				return errors.Wrap(err, "send")
			}
		}
		lk.noteTold()
	}
}

// noteTold notes that what was to be sent is on its way.
func (lk *link) noteTold() {
	lk.ms.mu.Lock()
	defer lk.ms.mu.Unlock()
	lk.told = lk.sent
}

// news returns what the peer was not told yet.
func (lk *link) news() *frame {
	ms := lk.ms
	now := ms.opts.Now()
	fr := &frame{}
	ms.mu.Lock()
	defer ms.mu.Unlock()
	ms.replan()
	fr.Asks, lk.asks = lk.asks, nil
	fr.Answers, lk.answers = lk.answers, nil
	if su := ms.subscriptionTo(lk); su != lk.asked {
		lk.asked = su
		fr.Wants = &su
	}
	for r := range ms.log.since(lk.sent) {
		if e, ok := lk.entry(r, now); ok {
			fr.Entries = append(fr.Entries, e)
		}
	}
	lk.sent = ms.log.last
	fr.Sent = now.Sub(ms.began)
	return fr
}

// entry returns what the peer is to be told of a member that changed; it reports false when that is nothing.
func (lk *link) entry(r *record, now time.Time) (entry, bool) {
	isPeer := r.Name == lk.peer.Name && r.Incarnation == lk.peer.Incarnation
	if !r.live || isPeer {
		return entry{}, false
	}
	tells := lk.tells(r)
	e := entry{ID: r.id}
	if r.cardChanged > lk.sent && (tells || lk.wanted.Scope.cards()) {
		c := r.card
		e.Card = &c
	}
	if !tells && e.Card == nil {
		return entry{}, false
	}
	e.Pulse, e.PulseAge = r.pulse, lk.ms.silence(r, now)
	if tells && lk.wanted.takesState(r.Name) {
		e.State = r.state.since(lk.sent, now)
		e.Notes = r.notes.since(lk.sent, now)
	}
	return e, true
}

// since returns the text when it changed after a change.
func (td told) since(sent uint64, now time.Time) part {
	if td.version == 0 || td.changed <= sent {
		return part{}
	}
	return part{Version: td.version, Body: td.body, Age: now.Sub(td.made)}
}

// silence returns how long a member was not heard.
func (ms *Mesh) silence(r *record, now time.Time) time.Duration {
	if r == ms.self {
		return 0
	}
	return ms.awake.at(now) - r.heard
}

// take takes a frame.
func (lk *link) take(fr frame) error {
	ms := lk.ms
	now := ms.opts.Now()
	ms.calls.Lock()
	defer ms.calls.Unlock()
	ms.mu.Lock()
	events, err := lk.takeLocked(fr, now)
	ms.mu.Unlock()
	ms.notify(events)
	return err
}

func (lk *link) takeLocked(fr frame, now time.Time) ([]event, error) {
	var events []event
	lk.heard = lk.ms.awake.at(now)
	delay := lk.delays.of(fr.Sent, now, lk.ms.began)
	for _, e := range fr.Entries {
		e.Delay = delay
		if e.Card != nil {
			lk.cards[e.ID] = e.Card
		}
		c, ok := lk.cards[e.ID]
		if !ok || c.Name == "" {
			return events, &MalformedError{Message: "an entry about nobody"}
		}
		if e.ID == senderID {
			if err := lk.meet(c.Member); err != nil {
				return events, err
			}
		}
		events = append(events, lk.ms.hear(*c, e, now)...)
	}
	lk.ms.trust(lk.peer.Name)
	if fr.Wants != nil {
		lk.subscribed(*fr.Wants)
	}
	return events, nil
}

// subscribed takes what the peer wants to be told. All of it is told anew: what the peer was not told before is not known.
func (lk *link) subscribed(su subscription) {
	lk.wanted = su
	lk.sent = 0
	lk.ms.resubscribe()
	lk.wakeUp()
}

// meet notes who the peer says it is.
func (lk *link) meet(m Member) error {
	ms := lk.ms
	first := lk.peer.Name == ""
	lk.peer = m
	isSelf := m.Name == ms.self.Name && m.Incarnation == ms.self.Incarnation
	if ds := ms.dials[lk.address]; ds != nil && (isSelf || m.Name != ms.self.Name) {
		ds.reached = m.Name
	}
	if isSelf {
		return &SelfDialError{Address: lk.address}
	}
	if first {
		// What is asked of the peer depends on who it is.
		ms.topology++
		ms.urgent = true
		ms.resubscribe()
		ms.signal()
	}
	return nil
}

// drop forgets a link that has ended.
func (ms *Mesh) drop(lk *link) {
	now := ms.opts.Now()
	ms.mu.Lock()
	defer ms.mu.Unlock()
	delete(ms.links, lk)
	close(lk.done)
	ms.topology++
	ms.urgent = true
	ms.resubscribe()
	r := ms.records[lk.peer.Name]
	if r == nil || r.Incarnation != lk.peer.Incarnation {
		return
	}
	r.unlinked = ms.awake.at(now)
	if !lk.closing && ms.plan.linked(ms.self.Member, lk.peer) && !ms.hearsOtherwise(lk, r.unlinked) {
		ms.suspect(lk.peer.Name, now)
	}
}
