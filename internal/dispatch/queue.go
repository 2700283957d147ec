package dispatch

import (
	"math"
	"sync"
	"time"

	"github.com/silvermount/silvermount/internal/targets"
	"github.com/silvermount/silvermount/internal/waitqueue"
)

const (
	// maxWaiting is the maximum number of requests that wait for one service at one instance. Under the heaviest load seen, an
	// instance receives fewer than 20 requests a second that wait for less than 0.3 s, and one that waits for 15 s.
	maxWaiting = 1000
	// maxTurnPasses is how often a turn is passed on. Each pass is to a request that needs less; a short prompt is the last.
	maxTurnPasses = 3
	// peerTurnInterval is the least time between two turns for changed loads of peers: about the time in which instances exchange
	// loads. Hundreds of peers send several thousand reports a second.
	peerTurnInterval = 5 * time.Millisecond
	// maxPeerStagger bounds the delay of a turn for room that peers see as well: about half of what short prompts may wait.
	maxPeerStagger = 100 * time.Millisecond
	// yieldDelay is how long the head yields to that of a peer: enough for the peer to look, and for its choice to become known.
	yieldDelay = 5 * time.Millisecond
)

// turn is the right to look once for a target.
type turn struct {
	// repeat is set if another request gets a turn after a success, since there may be room for more than one.
	repeat bool
	// passes is how often the turn may still be passed on after a failure.
	passes int
	// target is where capacity became free that peers do not know of yet; empty if the turn has another reason.
	target string
}

func newTurn(repeat bool) turn { return turn{repeat: repeat, passes: maxTurnPasses} }

// waiter is a request in a queue. Its channel holds at most one turn, since the queue gives no second one before the first is returned.
type waiter = waitqueue.Waiter[chan turn]

// queueSet holds the queues of this instance by service, and what peers told of theirs. It is safe for concurrent use.
type queueSet struct {
	instance         string
	now              func() time.Time
	propagationDelay func() time.Duration
	opts             QueueOptions

	mu        sync.RWMutex
	byService map[string]*serviceQueue
	peers     *peerQueues
}

func newQueueSet(ds *Dispatcher, op QueueOptions) *queueSet {
	return &queueSet{
		instance: ds.opts.Instance, now: ds.opts.Now, propagationDelay: ds.propagationDelay, opts: op,
		byService: map[string]*serviceQueue{}, peers: newPeerQueues(),
	}
}

// forService returns the queue of a service. Services are those of the configuration, so their number is bounded.
func (qs *queueSet) forService(service string) *serviceQueue {
	if sq := qs.existing(service); sq != nil {
		return sq
	}
	qs.mu.Lock()
	defer qs.mu.Unlock()
	sq := qs.byService[service]
	if sq == nil {
		limits := waitqueue.Limits{Waiters: maxWaiting, Bytes: qs.opts.maxBytes()}
		sq = &serviceQueue{qs: qs, service: service, queue: waitqueue.New[chan turn](limits)}
		qs.byService[service] = sq
	}
	return sq
}

// existing returns the queue of a service; nil if nothing has waited for it.
func (qs *queueSet) existing(service string) *serviceQueue {
	qs.mu.RLock()
	defer qs.mu.RUnlock()
	return qs.byService[service]
}

func (qs *queueSet) all() []*serviceQueue {
	qs.mu.RLock()
	defer qs.mu.RUnlock()
	all := make([]*serviceQueue, 0, len(qs.byService))
	for _, sq := range qs.byService {
		all = append(all, sq)
	}
	return all
}

// freed gives a turn for capacity that a request of this instance no longer uses at a target. repeat is set if it may suffice for several
// requests.
func (qs *queueSet) freed(tg targets.Target, repeat bool) {
	if qs == nil {
		return
	}
	if sq := qs.existing(tg.Service); sq != nil {
		tn := newTurn(repeat)
		tn.target = tg.ID
		sq.giveTurn(tn)
	}
}

// peerLoadsChanged gives a turn in each queue, since capacity may have become free at any target.
func (qs *queueSet) peerLoadsChanged() {
	if qs == nil {
		return
	}
	for _, sq := range qs.all() {
		sq.giveTurnForPeers()
	}
}

// wakeAll lets each waiting request look.
func (qs *queueSet) wakeAll() {
	if qs == nil {
		return
	}
	for _, sq := range qs.all() {
		sq.wakeAll()
	}
}

// length returns the number of waiting requests.
func (qs *queueSet) length() int {
	sum := 0
	for _, sq := range qs.all() {
		sum += sq.length()
	}
	return sum
}

// serviceQueue is the queue of one service.
type serviceQueue struct {
	qs      *queueSet
	service string

	// mu is held for short times only, and never together with the lock of the load table.
	mu    sync.Mutex
	queue *waitqueue.Queue[chan turn]
	// fallback gives a turn at intervals while the queue is not empty; nil while it is empty.
	fallback *time.Timer
	// fallbackTurns counts the turns given by the timer.
	fallbackTurns int
	// peerTurnAt is when a turn was last given for changed loads of peers.
	peerTurnAt time.Time
	// sharedPending is set while a turn for room that peers see as well is delayed. There is one at a time, so that the looks of all
	// instances are spread over the delay.
	sharedPending bool
	// unclaimed counts the turns that no waiter could take.
	unclaimed uint64
	// answerTime is a moving average of the time from the choice of a plain target to the end of its answer; zero before the first one.
	answerTime time.Duration
}

// plainAnswerTime returns the predicted time to the answer of a plain target.
func (sq *serviceQueue) plainAnswerTime() time.Duration {
	sq.mu.Lock()
	defer sq.mu.Unlock()
	return sq.answerTime
}

// answered records the time that a plain target took for an answer.
func (qs *queueSet) answered(service string, d time.Duration) {
	if qs == nil {
		return
	}
	sq := qs.forService(service)
	sq.mu.Lock()
	defer sq.mu.Unlock()
	if sq.answerTime == 0 {
		sq.answerTime = d
		return
	}
	sq.answerTime += time.Duration(arrivalWeight * float64(d-sq.answerTime))
}

func (sq *serviceQueue) length() int {
	sq.mu.Lock()
	defer sq.mu.Unlock()
	return sq.queue.Len()
}

// unclaimedTurns returns a count to compare with in join.
func (sq *serviceQueue) unclaimedTurns() uint64 {
	sq.mu.Lock()
	defer sq.mu.Unlock()
	return sq.unclaimed
}

// position returns whether a request that arrives now must join without a look, and how many of its kind go before it.
func (sq *serviceQueue) position(en waitqueue.Entry) (yields bool, ahead int) {
	sq.mu.Lock()
	defer sq.mu.Unlock()
	if sq.queue.Len() == 0 {
		return false, 0
	}
	now := sq.qs.now()
	return sq.queue.Yields(en, now), sq.queue.Ahead(en, now)
}

// join adds a request to the queue. If a turn went unclaimed since the count was taken, the request gets one at once: capacity became
// free after its look and before it joined. It returns nil if the queue is full.
func (sq *serviceQueue) join(en waitqueue.Entry, unclaimed uint64) *waiter {
	sq.mu.Lock()
	defer sq.mu.Unlock()
	wa := sq.queue.Join(en, make(chan turn, 1), sq.qs.now())
	if wa == nil {
		return nil
	}
	if sq.fallback == nil {
		sq.fallback = time.AfterFunc(pollInterval, sq.giveFallbackTurns)
	}
	if sq.unclaimed != unclaimed {
		sq.give(sq.queue.Take(sq.qs.now(), math.MaxInt64), newTurn(true))
	}
	return wa
}

// leave removes a waiter. A turn that it has not used is passed on, and one that it used with success is repeated if it allows that.
func (sq *serviceQueue) leave(wa *waiter, used turn, placed bool) {
	sq.mu.Lock()
	defer sq.mu.Unlock()
	hadTurn := sq.queue.Remove(wa)
	if sq.queue.Len() == 0 && sq.fallback != nil {
		sq.fallback.Stop()
		sq.fallback = nil
	}
	if !hadTurn || placed && !used.repeat {
		return
	}
	sq.give(sq.queue.Take(sq.qs.now(), math.MaxInt64), newTurn(used.repeat))
}

// returnTurn ends the turn of a waiter that found no room, and passes it on to one that needs less. If the waiter found room where it
// would be late, the turn goes to the next one that can be in time, whatever that needs. If a turn went unclaimed since the count was taken,
// capacity became free during the look, and the first request gets that turn.
func (sq *serviceQueue) returnTurn(wa *waiter, used turn, late bool, unclaimed uint64) {
	sq.mu.Lock()
	defer sq.mu.Unlock()
	now := sq.qs.now()
	if sq.unclaimed != unclaimed {
		sq.queue.Return(wa, now)
		sq.give(sq.queue.Take(now, math.MaxInt64), newTurn(true))
		return
	}
	if late {
		// Each waiter becomes late once, so the turn is not passed on without end.
		sq.queue.ReturnLate(wa, now)
		if next := sq.queue.Take(now, math.MaxInt64); next != wa {
			sq.give(next, used)
			return
		}
	}
	sq.queue.Return(wa, now)
	if used.passes == 0 {
		return
	}
	used.passes--
	sq.give(sq.queue.TakeAfter(wa, now), used)
}

func (sq *serviceQueue) giveTurn(tn turn) {
	sq.mu.Lock()
	defer sq.mu.Unlock()
	wa := sq.queue.Take(sq.qs.now(), math.MaxInt64)
	if wa == nil {
		sq.unclaimed++
	}
	sq.give(wa, tn)
}

// giveTurnForPeers gives a turn to a request that needs only a slot. Long prompts take too long to plan to look after each report.
func (sq *serviceQueue) giveTurnForPeers() {
	sq.mu.Lock()
	defer sq.mu.Unlock()
	now := sq.qs.now()
	if sq.queue.Len() == 0 || sq.sharedPending || now.Sub(sq.peerTurnAt) < peerTurnInterval {
		return
	}
	sq.peerTurnAt = now
	sq.giveShared(sq.queue.Take(now, 1), newTurn(true), now)
}

// giveFallbackTurns gives the turns for what no event tells, and restarts the timer.
func (sq *serviceQueue) giveFallbackTurns() {
	sq.mu.Lock()
	defer sq.mu.Unlock()
	if sq.fallback == nil {
		return
	}
	sq.fallback.Reset(pollInterval)
	now := sq.qs.now()
	if sq.sharedPending {
		return
	}
	// Every second turn goes to the request that the turns of others say least of.
	sq.fallbackTurns++
	if sq.fallbackTurns%2 == 0 {
		if wa := sq.queue.TakeLongestUnseen(0); wa != nil {
			sq.giveShared(wa, turn{}, now)
			return
		}
	}
	sq.giveShared(sq.queue.Take(now, math.MaxInt64), newTurn(true), now)
}

func (sq *serviceQueue) wakeAll() {
	sq.mu.Lock()
	defer sq.mu.Unlock()
	for {
		wa := sq.queue.Take(sq.qs.now(), math.MaxInt64)
		if wa == nil {
			// Those that are looking now look again.
			sq.unclaimed++
			return
		}
		sq.give(wa, newTurn(false))
	}
}

// peerStagger returns a random delay of a turn for room that peers see as well. It is spread over the time in which as many choices
// become known as there are peers with a queue, so that they do not all choose the same room.
func (sq *serviceQueue) peerStagger(now time.Time) time.Duration {
	spread := time.Duration(sq.qs.peers.waiting(sq.service, now).peers) * sq.qs.propagationDelay()
	return time.Duration(hashFraction(sq.qs.instance, sq.service, now.String()) * float64(min(spread, maxPeerStagger)))
}

// give gives a turn to a waiter that the queue has chosen; nil if there is none. The caller holds the lock.
func (sq *serviceQueue) give(wa *waiter, tn turn) {
	if wa != nil {
		wa.Value <- tn
	}
}

// giveShared gives a turn for room that peers see as well. It is delayed so that not all instances choose the same room, and once more if
// the head of a peer is clearly more urgent. Room that became free here is not left to peers: they would learn of it only with the next
// exchange of loads, all at once. The caller holds the lock.
func (sq *serviceQueue) giveShared(wa *waiter, tn turn, now time.Time) {
	if wa == nil {
		return
	}
	delay := sq.peerStagger(now)
	if sq.qs.peers.goBefore(sq.service, wa.Slack(now), now) {
		delay += yieldDelay
	}
	if delay == 0 {
		sq.give(wa, tn)
		return
	}
	sq.sharedPending = true
	time.AfterFunc(delay, func() {
		sq.mu.Lock()
		defer sq.mu.Unlock()
		sq.sharedPending = false
		if wa.IsWaiting() {
			wa.Value <- tn
		}
	})
}
