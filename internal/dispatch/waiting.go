package dispatch

import (
	"context"
	"time"

	"github.com/silvermount/silvermount/internal/placement"
	"github.com/silvermount/silvermount/internal/targets"
	"github.com/silvermount/silvermount/internal/waitqueue"
)

// maxAnswerShare bounds the predicted time to the answer of a plain target, as a share of the objective. Even where most answers take longer
// than the objective, a request waits for a slot rather than being sent at once to a target that may shed it.
const maxAnswerShare = 0.5

// QueueOptions configures the queues of waiting requests.
type QueueOptions struct {
	// MaxBytes bounds the bodies of the requests that wait for one service; zero means no bound.
	MaxBytes int64
	// OnChange is called when what peers are told may have changed, OnWait when a request joins a queue, and OnWaitEnd when it leaves.
	// They must not block or call the Dispatcher; each may be nil.
	OnChange  func()
	OnWait    func(QueuedRequest)
	OnWaitEnd func(EndedWait)
}

func (op QueueOptions) maxBytes() int64 {
	if op.MaxBytes <= 0 {
		return 1 << 62
	}
	return op.MaxBytes
}

// QueuedRequest describes a request that joins a queue, and what decided that it does.
type QueuedRequest struct {
	Request, Service string
	// Ahead is the number of waiting requests of its kind that go before it here, and Waiting that of all.
	Ahead, Waiting int
	// PeersWaiting is the number of requests that wait at PeerCount peers, by summaries that are fresh.
	PeersWaiting, PeerCount int
	// PeersAge is the age of the oldest of these summaries.
	PeersAge time.Duration
	// Slack is the time for which it can wait and still be in time, PredictedFirstToken the predicted time to the first token on an idle
	// target, and MaxWait the time after which it looks for the last time.
	Slack, PredictedFirstToken, MaxWait time.Duration
	// Looked is false if it joined without a look, because others of its kind go before it.
	Looked bool
}

// WaitOutcome is how a wait ends.
type WaitOutcome string

// The outcomes.
const (
	// WaitPlaced is for a request that got a target at its turn, WaitPlacedLate for one that got it when it looked for the last time.
	WaitPlaced     WaitOutcome = "placed"
	WaitPlacedLate WaitOutcome = "placed_last"
	// WaitRefused is for a request that got no target, WaitLeft for one whose caller left.
	WaitRefused WaitOutcome = "refused"
	WaitLeft    WaitOutcome = "left"
)

// EndedWait describes the end of a request's wait.
type EndedWait struct {
	Request, Service string
	Outcome          WaitOutcome
	Waited           time.Duration
	// Turns is how often the request got a turn.
	Turns int
	// Target is the chosen incarnation; empty if there is none.
	Target string
}

// wait is the state of one request that may wait in a queue. It is not safe for concurrent use.
type wait struct {
	ds    *Dispatcher
	sq    *serviceQueue
	entry waitqueue.Entry
	// until is when the request looks for the last time.
	until time.Time
	// lastLook is set for the look after which the request no longer waits. It is decided as without a queue.
	lastLook bool
	// predictedWait is the predicted time until the request gets a turn that finds room, as of before its look.
	predictedWait time.Duration
	// foundLate is set if the last look found room where the request would be late.
	foundLate bool
	// othersWait is set if other requests waited for the service, here or at peers, before the last look.
	othersWait bool
	// waiter is nil until the request joins the queue.
	waiter   *waiter
	joinedAt time.Time
	// turn is the one that the request has now; zero if it has none.
	turn  turn
	turns int
}

// newWait returns the state of a new request.
func (ds *Dispatcher) newWait(rq Request) *wait {
	wt := &wait{ds: ds, sq: ds.queues.forService(rq.Service.Name), until: rq.roomWaitDeadline()}
	wt.entry = waitqueue.Entry{
		Returning: rq.Returning, Arrived: rq.Arrived, Deadline: rq.Deadline, Objective: rq.Objective, Bytes: rq.BodyBytes,
		Selective: len(rq.Exclude) > 0, Worth: 1,
	}
	if rq.Service.Engine == nil || rq.PromptTokens == 0 {
		// Without an end to the wait that leaves time for the answer, the least slack would go first until all answers are late.
		wt.entry.PredictedFirstToken = min(wt.sq.plainAnswerTime(), time.Duration(maxAnswerShare*float64(rq.Objective)))
		wt.entry.EngineTime = wt.entry.PredictedFirstToken
		wt.until = wt.until.Add(-wt.entry.PredictedFirstToken)
		return wt
	}
	pr := ds.newPrompt(rq)
	en := rq.Service.Engine
	wt.entry.PredictedFirstToken = en.TimeToFirstToken(pr, placement.Target{SameZone: true, Slowdown: 1})
	wt.entry.Worth, wt.entry.EngineTime = pr.InTimeWorth.Points(), en.EngineTimeOf(pr.Tokens, pr.AnswerTokens)
	wt.until = wt.until.Add(-wt.entry.PredictedFirstToken)
	if rq.isLong() {
		wt.entry.Need = int64(rq.PromptTokens)
		wt.until = rq.Deadline
	}
	return wt
}

// acquireQueued is Acquire for a request that may wait in a queue.
func (ds *Dispatcher) acquireQueued(ctx context.Context, rq Request) (*Slot, error) {
	wt := ds.newWait(rq)
	rq.wait = wt
	sl, err := wt.run(ctx, rq)
	wt.end(ctx, rq, sl)
	return sl, err
}

// run looks for a target until there is one, the request may wait no longer, or its caller has left.
func (wt *wait) run(ctx context.Context, rq Request) (*Slot, error) {
	yields := wt.prepare(rq)
	for {
		if wt.waiter != nil && wt.ds.opts.Now().After(rq.Deadline) {
			// The process was paused, or the timer is late.
			return nil, noRoomError()
		}
		unclaimed := wt.sq.unclaimedTurns()
		wt.lastLook = wt.lastLook || !wt.ds.opts.Now().Before(wt.until)
		if wt.lastLook {
			wt.othersWait = wt.countOthers() > 0
		}
		if !yields {
			wt.foundLate = false
			sl, _, err := wt.ds.look(ctx, &rq)
			if sl != nil || err != nil {
				return sl, err
			}
			if wt.lastLook {
				return nil, noRoomError()
			}
		}
		if !wt.await(ctx, rq, unclaimed, !yields) {
			return nil, ctx.Err()
		}
		yields = false
	}
}

// prepare predicts how long the request would wait, and reports whether it must join the queue without a look.
func (wt *wait) prepare(rq Request) (yields bool) {
	yields, ahead := wt.sq.position(wt.entry)
	if rq.isLong() || rq.Service.Engine == nil {
		return yields
	}
	atPeers := wt.ds.queues.peers.waiting(rq.Service.Name, wt.ds.opts.Now()).requests
	if ahead+atPeers == 0 {
		return yields
	}
	slots := rq.Service.Engine.Slots * max(1, len(wt.ds.usable(rq)))
	wt.predictedWait = time.Duration(float64(ahead+atPeers) / float64(slots) * float64(meanAnswerTime(rq.Service.Engine)))
	return yields && wt.canWait()
}

// countOthers returns the number of other requests that wait for the service, here or at peers.
func (wt *wait) countOthers() int {
	others := wt.ds.queues.peers.waiting(wt.sq.service, wt.ds.opts.Now()).requests + wt.sq.length()
	if wt.waiter != nil {
		others--
	}
	return others
}

// canWait reports whether the request is predicted to get its turn before it looks for the last time.
func (wt *wait) canWait() bool {
	return wt.ds.opts.Now().Add(wt.predictedWait).Before(wt.until)
}

// await waits for a turn, or until the request looks for the last time. It reports false if the caller has left.
func (wt *wait) await(ctx context.Context, rq Request, unclaimed uint64, looked bool) bool {
	if wt.waiter == nil {
		if !wt.join(rq, unclaimed, looked) {
			wt.lastLook = true
			return true
		}
	} else {
		wt.sq.returnTurn(wt.waiter, wt.turn, wt.foundLate, unclaimed)
		wt.turn = turn{}
	}
	timer := time.NewTimer(wt.until.Sub(wt.ds.opts.Now()))
	defer timer.Stop()
	select {
	case wt.turn = <-wt.waiter.Value:
		wt.turns++
		wt.predictedWait = 0
	case <-timer.C:
		wt.lastLook = true
	case <-ctx.Done():
		return false
	}
	return true
}

// join adds the request to the queue. It reports false if the queue is full.
func (wt *wait) join(rq Request, unclaimed uint64, looked bool) bool {
	// Others need not wait behind a request that there is room for, but not in time.
	wt.entry.Late = wt.foundLate
	_, ahead := wt.sq.position(wt.entry)
	wt.waiter = wt.sq.join(wt.entry, unclaimed)
	if wt.waiter == nil {
		return false
	}
	wt.joinedAt = wt.ds.opts.Now()
	opts := wt.sq.qs.opts
	if opts.OnWait != nil {
		pw := wt.sq.qs.peers.waiting(wt.sq.service, wt.joinedAt)
		opts.OnWait(QueuedRequest{
			Request: rq.ID, Service: wt.sq.service, Ahead: ahead, Waiting: wt.sq.length(), PeersWaiting: pw.requests, PeerCount: pw.peers, PeersAge: pw.age,
			Slack: wt.entry.Slack(wt.joinedAt), PredictedFirstToken: wt.entry.PredictedFirstToken, MaxWait: wt.until.Sub(wt.joinedAt),
			Looked: looked,
		})
	}
	opts.notifyChange()
	return true
}

func (op QueueOptions) notifyChange() {
	if op.OnChange != nil {
		op.OnChange()
	}
}

// end removes the request from the queue. sl is the slot that it got, or nil.
func (wt *wait) end(ctx context.Context, rq Request, sl *Slot) {
	if wt.waiter == nil {
		return
	}
	wt.sq.leave(wt.waiter, wt.turn, sl != nil)
	opts := wt.sq.qs.opts
	opts.notifyChange()
	if opts.OnWaitEnd == nil {
		return
	}
	ew := EndedWait{
		Request: rq.ID, Service: wt.sq.service, Outcome: wt.outcome(ctx, sl), Waited: wt.ds.opts.Now().Sub(wt.joinedAt), Turns: wt.turns,
	}
	if sl != nil {
		ew.Target = sl.Target.ID
	}
	opts.OnWaitEnd(ew)
}

func (wt *wait) outcome(ctx context.Context, sl *Slot) WaitOutcome {
	switch {
	case sl != nil && wt.lastLook:
		return WaitPlacedLate
	case sl != nil:
		return WaitPlaced
	case ctx.Err() != nil:
		return WaitLeft
	default:
		return WaitRefused
	}
}

// holds reports whether a short prompt waits although there is a plan for it: the plan is late, or waits in the queue of a target while all
// slots are taken, and the prompt is predicted to be in time if it waits here, where it gets the first slot of any target.
func (wt *wait) holds(rq Request, pr placement.Prompt, pl placement.Plan, cands []placement.Target) bool {
	if wt == nil || wt.lastLook || rq.isLong() || !wt.canWait() {
		return false
	}
	en := rq.Service.Engine
	inTime := float64(pr.Elapsed+pl.TimeToFirstToken+wt.missedPass()) <= maxCrowdedFirstToken*float64(pr.Objective)
	hasSlot := anyFreeSlot(en, cands)
	wt.foundLate = hasSlot && !inTime
	return (!inTime || !hasSlot) && isInTimeLater(en, pr, cands)
}

// isInTimeLater reports whether the prompt could be in time at any target in a pass from now, once the prefill there is done and a slot
// is free.
func isInTimeLater(en *placement.Engine, pr placement.Prompt, cands []placement.Target) bool {
	limit := time.Duration(maxCrowdedFirstToken*float64(pr.Objective)) - pr.Elapsed - typicalPassTime
	for i := range cands {
		later := placement.Target{SameZone: cands[i].SameZone, Slowdown: cands[i].Slowdown, Load: cands[i].Load}
		later.Load.WholePrefill, later.Load.SplitPrefill = placement.Backlog{}, placement.Backlog{}
		later.Load.Prefilling, later.Load.Decoding = 0, min(en.Slots-1, later.Load.Prefilling+later.Load.Decoding)
		if !cands[i].Blocked && en.TimeToFirstToken(pr, later) <= limit {
			return true
		}
	}
	return false
}

// missedPass returns what is added to the predicted first token of a request that has waited. A slot becomes free at the end of a pass,
// and a request that takes it at once arrives when the next pass has just begun. Predictions assume that it arrives in the middle of one.
func (wt *wait) missedPass() time.Duration {
	if wt.turns == 0 {
		return 0
	}
	return typicalPassTime / 2
}

// delaysOthers reports whether a short prompt that is unlikely to be in time would take room for which others wait.
func (wt *wait) delaysOthers(pr placement.Prompt, pl placement.Plan) bool {
	return wt.lastLook && wt.othersWait && float64(pr.Elapsed+pl.TimeToFirstToken) > maxCrowdedFirstToken*float64(pr.Objective)
}

// anyFreeSlot reports whether a target has a free slot.
func anyFreeSlot(en *placement.Engine, cands []placement.Target) bool {
	for i := range cands {
		if !cands[i].Blocked && cands[i].Load.Prefilling+cands[i].Load.Decoding < en.Slots {
			return true
		}
	}
	return false
}

// decideInQueue returns what the queue decides on a request that may wait in it, if it decides anything.
func (pp *plannedPrompt) decideInQueue() (decision, bool) {
	rq := pp.request
	switch {
	case !pp.planned || rq.wait == nil || rq.isLong():
		return decisionPlace, false
	case rq.wait.holds(rq, pp.prompt, pp.plan, pp.candidates):
		return decisionWait, true
	case rq.wait.delaysOthers(pp.prompt, pp.plan):
		return decisionRefuse, true
	default:
		return decisionPlace, false
	}
}

// avoidsPlainTarget reports whether a plain request is not sent to a target. While it may wait, it is sent to no target whose slots are
// all taken. After that, one that may run only once is sent to no target that has shed one with as many requests.
func (ds *Dispatcher) avoidsPlainTarget(rq Request, id string, slots, taken int) bool {
	switch {
	case rq.wait == nil || rq.Service.Engine != nil:
		return false
	case !rq.wait.lastLook:
		return slots > 0 && taken >= slots
	default:
		return !rq.CanRetry && taken >= slots && ds.loadTable.wouldShed(id, taken, ds.opts.Now())
	}
}

// tryFreedTarget tries the target where the capacity became free for which the request got its turn. Peers learn of it with the next
// exchange of loads, so none chooses it at the same moment. It reports false if the request does not fit there in time.
func (ds *Dispatcher) tryFreedTarget(ctx context.Context, rq Request, tgs []targets.Target) (*Slot, bool, error) {
	if rq.wait == nil || rq.wait.lastLook || rq.wait.turn.target == "" || rq.isLong() {
		return nil, false, nil
	}
	for i := range tgs {
		if tgs[i].ID == rq.wait.turn.target {
			return ds.tryAmong(ctx, rq, tgs[i:i+1])
		}
	}
	return nil, false, nil
}
