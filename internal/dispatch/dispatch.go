// Package dispatch chooses a target for each request, based on the requests that this instance and its peers have in flight.
package dispatch

import (
	"context"
	"sync/atomic"
	"time"

	"github.com/cespare/xxhash/v2"
	"github.com/cockroachdb/errors"

	"github.com/silvermount/silvermount/internal/backoff"
	"github.com/silvermount/silvermount/internal/failure"
	"github.com/silvermount/silvermount/internal/permit"
	"github.com/silvermount/silvermount/internal/placement"
	"github.com/silvermount/silvermount/internal/reservation"
	"github.com/silvermount/silvermount/internal/routes"
	"github.com/silvermount/silvermount/internal/targets"
)

// Request is a request that needs a target.
type Request struct {
	// ID is the request id from the caller. Its hash breaks ties between equal targets.
	ID      string
	Service routes.Service
	// Exclude holds incarnations that must not be chosen.
	Exclude []string
	// PromptTokens, MaxAnswerTokens and AnswerTokensHint are zero if unknown.
	PromptTokens, MaxAnswerTokens, AnswerTokensHint int
	// EventsForwarded is the number of answer events already sent to the caller.
	EventsForwarded int
	// Objective is the route's limit on the time to the first token, MaxPause its limit on the time between two events; zero
	// if the route sets none.
	Objective, MaxPause time.Duration
	// CallerIdleTimeout is how long the caller waits without receiving an event; zero means no limit.
	CallerIdleTimeout time.Duration
	Arrived, Deadline time.Time
	// Organisation is the one that the request belongs to; empty if it belongs to none.
	Organisation string
	// Priority is that of the organisation or the route; 0 is the most urgent.
	Priority int
	// Resumed is set if a stream that already sent events continues on another target.
	Resumed bool
	// Caution is how much evidence of health the request requires of its target.
	Caution targets.Caution
	// Authorise returns an error if the request may no longer be sent. It is called before each try, since an authorisation
	// that held on arrival can be withdrawn while the request waits. It is nil for a request whose authorisation cannot
	// change.
	Authorise func() error
	// CanRetry is set if the request may be retried on another target when this one rejects it, Retried if a target rejected
	// it before.
	CanRetry, Retried bool
	// AttemptLost is set if an attempt was lost after it was sent.
	AttemptLost bool
	// LastEventAt is when the last event was forwarded; zero before the first.
	LastEventAt time.Time
	// Admission is the state of the request for Options.Admission, which does not decide on a request without it.
	Admission *RequestAdmission
	// Returning is set if the caller was refused before and came back at the time that it was promised.
	Returning bool
	// BodyBytes is the memory that the request holds while it waits.
	BodyBytes int64
	// mayProbe is set if the request may be sent to a half-open target.
	mayProbe bool
	// permitTarget is the target for which the request holds a permit; empty if it holds none.
	permitTarget string
	// permitRefusals counts the permits that the request was refused.
	permitRefusals int
	// wait is the state of the request in the queue of its service; nil without queues.
	wait *wait
}

// Helper is a target that prefills part of the prompt for the main target.
type Helper struct {
	ID, Address string
	// Reservation identifies memory reserved at the helper; empty if none is.
	Reservation string
}

// Dispatcher chooses targets. It is safe for concurrent use.
type Dispatcher struct {
	targets              *targets.Directory
	reservations         *reservation.Manager
	opts                 Options
	loadTable            *loadTable
	propagationDelayFunc atomic.Pointer[func() time.Duration]
	// shutdownAt is when this instance stops; nil until it is asked to stop.
	shutdownAt atomic.Pointer[time.Time]
	acceptable acceptableDelay
	// arrivals describes the requests that arrive at this instance; the load table's lock guards it.
	arrivals arrivalStats
	// queues is nil if waiting requests poll.
	queues *queueSet
}

// Options holds the settings, dependencies and callbacks of a Dispatcher.
type Options struct {
	// Instance and AvailabilityZone identify this instance.
	Instance, AvailabilityZone string
	// Now returns the time of a monotonic clock.
	Now func() time.Time
	// OnLoadChange is called when the load of this instance at any target changes; it may be nil. The load table's lock may
	// be held during the call, so it must not call the Dispatcher.
	OnLoadChange func()
	// Permits acquires the permits for targets with a rate limit; nil disables rate limits.
	Permits *permit.Client
	// BackOffs tracks the targets that asked this instance for a back-off; nil disables back-offs.
	BackOffs *backoff.Tracker
	// OnBackOffWait is called each time a request starts to wait for the end of a target's back-off; it may be nil.
	OnBackOffWait func(request string, tg targets.Target, wait time.Duration)
	// Slowdown returns the factor by which an incarnation is slower than its service states; nil if all targets keep their stated pace.
	Slowdown func(target string) float64
	// Returning reports whether a target that was away returns gradually, and whether it has shown yet that it answers as before: until then,
	// long prompts and parts of split prompts do not start there. It may be called with the load table's lock held, so it must not call the
	// Dispatcher. Nil if no target returns gradually.
	Returning func(target string) (returning, proven bool)
	// OnSample is called with what each request shows of the pace of its target; it may be nil.
	OnSample func(Sample)
	// Admission decides on prompts with the error of recent predictions and promised returns; nil disables both.
	Admission *Admission
	// Shares divides engine time between organisations while it is short; nil disables shares.
	Shares *Shares
	// NeutralWorth values answers by their engine time and priority, in place of a price for each token.
	NeutralWorth bool
	// OnPermitRefused is called each time a request is refused a permit for a target; it may be nil.
	OnPermitRefused func(request string, tg targets.Target, retryAfter time.Duration)
	// Queue configures the queues of waiting requests; nil lets them poll.
	Queue *QueueOptions
}

// New returns a Dispatcher without any load.
func New(dr *targets.Directory, mg *reservation.Manager, op Options) *Dispatcher {
	ds := &Dispatcher{targets: dr, reservations: mg, opts: op, loadTable: newLoadTable(op.OnSample != nil)}
	if op.Queue != nil {
		ds.queues = newQueueSet(ds, *op.Queue)
	}
	return ds
}

// OwnLoads returns the load of this instance at each target, by incarnation.
func (ds *Dispatcher) OwnLoads() map[string]placement.Load { return ds.loadTable.ownLoads() }

// SetPeerLoads replaces the loads that a peer reported, by incarnation; nil removes the peer.
func (ds *Dispatcher) SetPeerLoads(peer string, loads map[string]placement.Load) {
	ds.loadTable.setPeer(peer, loads)
	ds.queues.peerLoadsChanged()
}

const (
	// pollInterval is how often a waiting request retries if nothing wakes it earlier: a few passes of an engine.
	pollInterval = 20 * time.Millisecond
	// maxRoomWaitShare is how long a request waits for room before it is refused, as a share of its objective.
	maxRoomWaitShare = 0.8
	// roomRetryAfter is when a caller should retry after a refusal for lack of room: a few passes of an engine.
	roomRetryAfter = 300 * time.Millisecond
)

// Acquire chooses a target and adds the request's load there. If there is no room, a short prompt waits for part of its
// objective, and a longer one for as long as it can still be answered. The caller must release the slot.
func (ds *Dispatcher) Acquire(ctx context.Context, rq Request) (*Slot, error) {
	rq.mayProbe = rq.canProbe()
	ds.recordArrival(rq)
	if ds.queues != nil && !rq.Resumed {
		return ds.acquireQueued(ctx, rq)
	}
	deadline := rq.roomWaitDeadline()
	if rq.isLong() || rq.Resumed {
		deadline = rq.Deadline
	}
	for {
		sl, roomFreedChan, err := ds.look(ctx, &rq)
		if sl != nil || err != nil {
			return sl, err
		}
		if ds.opts.Now().After(deadline) {
			return nil, noRoomError()
		}
		ds.waitForRoom(ctx, rq, roomFreedChan)
		if ctx.Err() != nil {
			return nil, ctx.Err()
		}
	}
}

// noRoomError is the refusal of a request that found no room for as long as it may wait.
func noRoomError() error {
	return failure.New(failure.Overloaded, failure.NotRun, "no target has room").WithRetryAfter(roomRetryAfter)
}

// look looks for a target until the request gets one, or there is no room now. In the latter case it returns neither a slot nor an
// error, but a channel that is closed when room may have become free since.
func (ds *Dispatcher) look(ctx context.Context, rq *Request) (*Slot, <-chan struct{}, error) {
	for {
		roomFreedChan := ds.loadTable.roomFreedChan()
		if err := rq.authorise(); err != nil {
			return nil, nil, err
		}
		sl, ok, err := ds.tryOnce(ctx, *rq)
		var ne *noPermitError
		if errors.As(err, &ne) {
			rq.permitRefusals++
			continue
		}
		if err != nil {
			return nil, nil, err
		}
		if ok {
			sl, err = ds.confirm(*rq, sl)
			return sl, nil, err
		}
		*rq, ok, err = ds.waitUntilUnblocked(ctx, *rq)
		if err != nil {
			return nil, nil, err
		}
		if ok {
			continue
		}
		// A request probes an availability zone on its first attempt or not at all.
		rq.Caution = max(rq.Caution, targets.RequireReachable)
		return nil, roomFreedChan, nil
	}
}

// slowdown returns the factor by which a target is slower than its service states.
func (ds *Dispatcher) slowdown(target string) float64 {
	if ds.opts.Slowdown == nil {
		return 1
	}
	return ds.opts.Slowdown(target)
}

// confirm returns a slot unless the authorisation of the request was withdrawn while permits and memory were acquired for it, which
// takes calls to other instances and to targets.
func (ds *Dispatcher) confirm(rq Request, sl *Slot) (*Slot, error) {
	if err := rq.authorise(); err != nil {
		sl.Release()
		return nil, err
	}
	ds.targets.RecordDispatch(sl.Target.ID)
	return sl, nil
}

// authorise returns an error if the request may no longer be sent.
func (rq Request) authorise() error {
	if rq.Authorise == nil {
		return nil
	}
	return rq.Authorise()
}

// roomWaitDeadline is the time after which a request no longer waits, since its answer would be late.
func (rq Request) roomWaitDeadline() time.Time {
	return rq.Arrived.Add(time.Duration(maxRoomWaitShare * float64(rq.Objective)))
}

// backOffWaitDeadline is the time until which a request waits for the block of a target to end. A resumed request waits
// until its deadline, because its caller is already reading the answer.
func (rq Request) backOffWaitDeadline() time.Time {
	if rq.Resumed {
		return rq.Deadline
	}
	return rq.roomWaitDeadline()
}

// recordArrival adds a prompt to the arrival statistics.
func (ds *Dispatcher) recordArrival(rq Request) {
	if rq.Service.Engine == nil || rq.PromptTokens == 0 || rq.Resumed {
		return
	}
	pr := ds.newPrompt(rq)
	ds.loadTable.mu.Lock()
	ds.arrivals.observe(pr, !rq.isLong())
	ds.arrivals.answerTime = meanAnswerTime(rq.Service.Engine)
	ds.loadTable.mu.Unlock()
}

// waitForRoom waits until it is time to look for room again. Long prompts on several instances wait for the same room. They
// poll at random moments, more often the less time is left, so that peers know of the first choice before they look
// themselves.
func (ds *Dispatcher) waitForRoom(ctx context.Context, rq Request, roomFreedChan <-chan struct{}) {
	interval := pollInterval
	if rq.isLong() {
		roomFreedChan = nil
		timeLeft := rq.Objective - ds.opts.Now().Sub(rq.Arrived)
		interval = time.Duration((minPollShare + hashFraction(rq.ID, ds.opts.Now().String())) * float64(min(maxPollSpread, max(pollInterval, timeLeft/pollsInTimeLeft))))
	}
	timer := time.NewTimer(interval)
	defer timer.Stop()
	select {
	case <-roomFreedChan:
	case <-timer.C:
	case <-ctx.Done():
	}
}

const (
	// maxPollSpread is the longest interval over which the next polls of long prompts are spread: ten times the time until
	// peers know of a choice.
	maxPollSpread = 60 * time.Millisecond
	// pollsInTimeLeft is the number of polls that fit into the time left until the objective.
	pollsInTimeLeft = 20
	// minPollShare is the least distance of two polls, as a share of the poll interval.
	minPollShare = 0.1
)

// tryOnce tries once to choose a target. It reports false if there is no room now.
func (ds *Dispatcher) tryOnce(ctx context.Context, rq Request) (*Slot, bool, error) {
	tgs := ds.usable(rq)
	if len(tgs) == 0 {
		return nil, false, failure.New(failure.NoTarget, failure.NotRun, "no target of the service takes work").
			WithRetryAfter(ds.RetryAfter(rq.Service.Name))
	}
	if sl, ok, err := ds.tryFreedTarget(ctx, rq, tgs); ok || err != nil {
		return sl, ok, err
	}
	return ds.tryAmong(ctx, rq, tgs)
}

// tryAmong tries once to choose one of the given targets. It reports false if there is no room now.
func (ds *Dispatcher) tryAmong(ctx context.Context, rq Request, tgs []targets.Target) (*Slot, bool, error) {
	if rq.Service.Engine != nil && rq.PromptTokens > 0 {
		return ds.place(ctx, rq, tgs)
	}
	sl := ds.chooseLeastBusy(rq, tgs)
	if sl == nil {
		return nil, false, nil
	}
	if err := ds.obtainPermit(ctx, rq, sl); err != nil {
		return nil, false, err
	}
	return sl, true, nil
}

// usable returns the usable targets of the service that the request does not exclude. If none match the request's caution,
// it returns those that match targets.RequireReachable.
func (ds *Dispatcher) usable(rq Request) []targets.Target {
	kept := ds.usableNotExcluded(rq, rq.effectiveCaution())
	if len(kept) == 0 {
		kept = ds.usableNotExcluded(rq, targets.RequireReachable)
	}
	return kept
}

func (ds *Dispatcher) usableNotExcluded(rq Request, ca targets.Caution) []targets.Target {
	all := ds.targets.Usable(rq.Service.Name, ca)
	kept := make([]targets.Target, 0, len(all))
	for _, tg := range all {
		if !contains(rq.Exclude, tg.ID) {
			kept = append(kept, tg)
		}
	}
	return kept
}

// effectiveCaution raises the caution of long prompts: a request that involves several targets must not probe an
// availability zone.
func (rq Request) effectiveCaution() targets.Caution {
	if rq.isLong() {
		return max(rq.Caution, targets.RequireReachable)
	}
	return rq.Caution
}

func contains(ids []string, id string) bool {
	for _, have := range ids {
		if have == id {
			return true
		}
	}
	return false
}

// chooseLeastBusy chooses the target of a plain service with the lowest utilisation, preferring the local availability zone.
// It returns nil if all targets are blocked, or avoided by a request that may wait for a slot.
func (ds *Dispatcher) chooseLeastBusy(rq Request, tgs []targets.Target) *Slot {
	ds.loadTable.mu.Lock()
	defer ds.loadTable.mu.Unlock()
	best, bestCost := -1, 0.0
	for i, tg := range tgs {
		if _, _, blocked := ds.blocked(rq, tg.ID); blocked {
			continue
		}
		taken := ds.loadTable.total(tg.ID).Decoding
		if ds.avoidsPlainTarget(rq, tg.ID, tg.Slots, taken) {
			continue
		}
		cost := float64(taken) / float64(max(1, tg.Slots))
		if tg.AvailabilityZone != ds.opts.AvailabilityZone {
			cost += otherZoneCost
		}
		cost += tieBreakCost * hashFraction(rq.ID, ds.opts.Instance, tg.ID)
		if best < 0 || cost < bestCost {
			best, bestCost = i, cost
		}
	}
	if best < 0 {
		return nil
	}
	sl := &Slot{ds: ds, Target: tgs[best], CandidateCount: len(tgs), ChosenAt: ds.opts.Now(), Priority: -1}
	sl.addStageLoad(tgs[best].ID, placement.Load{Decoding: 1})
	ds.recordDispatch(tgs[best].ID)
	return sl
}

const (
	// otherZoneCost is the penalty for a target in another availability zone, as a share of its slots. One more request at
	// the local target outweighs it.
	otherZoneCost = 0.1
	// tieBreakCost spreads requests over equal targets. It is below the cost of one request.
	tieBreakCost = 0.05
)

// hashFraction returns a pseudo-random number in [0, 1) that depends on the given parts only.
func hashFraction(parts ...string) float64 {
	var h xxhash.Digest
	h.Reset()
	for _, p := range parts {
		// Digest.WriteString never returns an error.
		_, _ = h.WriteString(p)
	}
	return float64(h.Sum64()>>11) / (1 << 53)
}
