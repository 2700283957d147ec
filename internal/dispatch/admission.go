package dispatch

import (
	"sync"
	"time"

	"github.com/apex/log"
	"github.com/cespare/xxhash/v2"

	"github.com/silvermount/silvermount/internal/completion"
	"github.com/silvermount/silvermount/internal/loadreport"
	"github.com/silvermount/silvermount/internal/placement"
	"github.com/silvermount/silvermount/internal/returntimes"
)

// AdmissionOptions holds the settings, dependencies and callbacks of an Admission. Callbacks may be nil; they must not call the Dispatcher.
type AdmissionOptions struct {
	// CompletionAdmission decides on prompts by when they are predicted to be answered, with the error of recent predictions. ReturnTimes
	// promises refused callers a time, and admits those that return at it first.
	CompletionAdmission, ReturnTimes bool
	// Now returns the time of a monotonic clock, and Paused the total time for which the process was paused; nil if it never is.
	Now    func() time.Time
	Paused func() time.Duration
	Log    log.Interface
	// OnDecision is called for each prompt that is refused, that begins to wait, or that is placed although it will be late.
	OnDecision func(AdmissionDecision)
	// OnFirstToken is called with the ratio of the observed to the predicted time of each first token.
	OnFirstToken func(kd completion.Kind, ratio float64)
	// OnReturn is called for each caller with a promise that returns.
	OnReturn func(outcome ReturnOutcome)
	// OnPromise is called when the promises that peers are told have changed.
	OnPromise func()
}

// ReturnOutcome is how a caller returned that had a promise.
type ReturnOutcome string

// The outcomes of returns.
const (
	ReturnedOnTime  ReturnOutcome = "on_time"
	ReturnedEarly   ReturnOutcome = "early"
	ReturnedLate    ReturnOutcome = "late"
	ReturnedRefused ReturnOutcome = "refused_again"
)

// AdmissionDecision is a decision on a prompt, with what it was based on.
type AdmissionDecision struct {
	Request, Service string
	Kind             completion.Kind
	Outcome          completion.Outcome
	Reason           completion.Reason
	// Elapsed is the time since the arrival, and Predicted the time from now to the first token by the best plan; zero if there is none.
	Elapsed, Predicted time.Duration
	Error              completion.Quantiles
	Fleet              completion.Fleet
	Return             returntimes.Result
	// WaitBound is the longest time from the arrival that the prompt waits; zero for short ones.
	WaitBound time.Duration
	// RetryAfter is when a refused caller may return, Promised whether the time is kept for it, and InBucket the promises of that moment.
	RetryAfter time.Duration
	Promised   bool
	InBucket   int
}

// RequestAdmission is the admission's state of one request, kept between its tries and attempts. It must not be used concurrently.
type RequestAdmission struct {
	// Caller is what the request has in common with the next ones of its caller; zero if unknown.
	Caller returntimes.Caller
	// seen is set once the request was compared with its caller's promise, which gave result.
	seen   bool
	result returntimes.Result
	// waitUntil is the end of the wait of a long prompt, from its arrival; zero before the first decision.
	waitUntil time.Duration
	// waitReported is set once the wait was reported.
	waitReported bool
}

// Admission holds the error of recent predictions and the promised returns. It is safe for concurrent use.
type Admission struct {
	opts AdmissionOptions

	mu     sync.Mutex
	errors completion.Errors
	ledger *returntimes.Ledger
}

// NewAdmission returns an Admission without samples and promises.
func NewAdmission(op AdmissionOptions) *Admission {
	return &Admission{opts: op, ledger: returntimes.New(op.Now())}
}

// PromisesReturns reports whether refused callers are promised return times.
func (ds *Dispatcher) PromisesReturns() bool {
	return ds.opts.Admission != nil && ds.opts.Admission.opts.ReturnTimes
}

// ReportPart returns what tells peers the promises of this instance.
func (ad *Admission) ReportPart() loadreport.Part {
	return loadreport.Part{
		Encode: func(now time.Time) []byte {
			ad.mu.Lock()
			defer ad.mu.Unlock()
			return ad.ledger.Encode(now)
		},
		Receive: func(peer string, body []byte, at time.Time) {
			ad.mu.Lock()
			err := ad.ledger.Receive(peer, body, at)
			ad.mu.Unlock()
			if err != nil && ad.opts.Log != nil {
				ad.opts.Log.WithField("peer", peer).WithError(err).Warn("cannot decode return times of peer")
			}
		},
		Forget: func(peer string) {
			ad.mu.Lock()
			defer ad.mu.Unlock()
			ad.ledger.Forget(peer)
		},
	}
}

// paused returns the total time for which the process was paused. It may be called on nil.
func (ad *Admission) paused() time.Duration {
	if ad == nil || ad.opts.Paused == nil {
		return 0
	}
	return ad.opts.Paused()
}

// observeFirstToken adds the sample of an answer that begins now.
func (ad *Admission) observeFirstToken(sl *Slot) {
	if ad == nil || sl.pausedBefore != ad.paused() {
		return
	}
	now, kind := ad.opts.Now(), kindOf(sl.prompt.Tokens)
	took := now.Sub(sl.ChosenAt)
	ad.mu.Lock()
	ad.errors.ObserveFirstToken(kind, took, sl.PredictedFirstToken, now)
	ad.mu.Unlock()
	if ad.opts.OnFirstToken != nil && sl.PredictedFirstToken > 0 {
		ad.opts.OnFirstToken(kind, float64(took)/float64(sl.PredictedFirstToken))
	}
}

// observeEnd adds the samples of an answer that ends now.
func (ad *Admission) observeEnd(sl *Slot) {
	if ad == nil || sl.pausedBefore != ad.paused() {
		return
	}
	now, kind := ad.opts.Now(), kindOf(sl.prompt.Tokens)
	ad.mu.Lock()
	defer ad.mu.Unlock()
	ad.errors.ObserveDuration(kind, now.Sub(sl.ChosenAt), now)
	if sl.longestPause > 0 {
		ad.errors.ObservePause(kind, sl.longestPause, sl.PredictedPause, now)
	}
}

// recentError returns the error of recent predictions.
func (ad *Admission) recentError(kd completion.Kind, now time.Time) completion.Error {
	ad.mu.Lock()
	defer ad.mu.Unlock()
	return completion.Error{FirstToken: ad.errors.FirstToken(kd, now), Pause: ad.errors.Pause(kd, now)}
}

// returned compares a request with the promise of its caller, once for each request.
func (ad *Admission) returned(st *RequestAdmission, now time.Time) returntimes.Result {
	if st.seen || !ad.opts.ReturnTimes || st.Caller == 0 {
		return st.result
	}
	st.seen = true
	ad.mu.Lock()
	st.result = ad.ledger.Return(st.Caller, now)
	ad.mu.Unlock()
	if outcome, ok := returnOutcomes[st.result]; ok && ad.opts.OnReturn != nil {
		ad.opts.OnReturn(outcome)
	}
	return st.result
}

var returnOutcomes = map[returntimes.Result]ReturnOutcome{
	returntimes.OnTime: ReturnedOnTime, returntimes.Early: ReturnedEarly, returntimes.Late: ReturnedLate,
}

// settle ends the promise of a caller that is admitted.
func (ad *Admission) settle(st *RequestAdmission) {
	if st.result == returntimes.Unknown {
		return
	}
	ad.mu.Lock()
	ad.ledger.Settle(st.Caller)
	ad.mu.Unlock()
	ad.notifyPromise()
}

// promise sets when a refused caller may return.
func (ad *Admission) promise(dc *AdmissionDecision, rq Request, now time.Time, spread float64) {
	st := rq.Admission
	if st.result == returntimes.OnTime && ad.opts.OnReturn != nil {
		ad.opts.OnReturn(ReturnedRefused)
	}
	ask := returntimes.Request{
		Lane: laneOf(rq), Caller: st.Caller, Rate: dc.Fleet.FinishRate, Spread: spread,
		Earliest: typicalPassTime, Latest: time.Duration(maxRetryAfterShare * float64(rq.Deadline.Sub(now))),
	}
	ad.mu.Lock()
	if st.result == returntimes.OnTime || st.result == returntimes.Late {
		ad.ledger.Settle(st.Caller)
	}
	dc.RetryAfter, dc.Promised = ad.ledger.Promise(ask, now)
	dc.InBucket = ad.ledger.InBucket(ask.Lane, now.Add(dc.RetryAfter))
	ad.mu.Unlock()
	ad.notifyPromise()
}

// maxRetryAfterShare is the longest Retry-After, as a share of the time that a caller has left. Callers do not honour longer ones.
const maxRetryAfterShare = 1.0 / 3

func (ad *Admission) notifyPromise() {
	if ad.opts.OnPromise != nil {
		ad.opts.OnPromise()
	}
}

// report calls OnDecision.
func (ad *Admission) report(dc AdmissionDecision) {
	if ad.opts.OnDecision != nil {
		ad.opts.OnDecision(dc)
	}
}

// fleet describes the targets of a prompt. cands holds all of them. The caller holds the load table's lock.
func (ad *Admission) fleet(rq Request, pr placement.Prompt, cands []placement.Target, now time.Time) completion.Fleet {
	var fl completion.Fleet
	var backlog placement.Backlog
	unblocked := 0
	for i := range cands {
		if cands[i].Blocked {
			continue
		}
		lo := &cands[i].Load
		unblocked++
		fl.SlotsInUse += lo.Prefilling + lo.Decoding
		fl.Idle = fl.Idle || lo.Prefilling+lo.Decoding == 0 && lo.WholePrefill.Plus(lo.SplitPrefill) == placement.Backlog{}
		backlog = backlog.Plus(lo.WholePrefill).Plus(lo.SplitPrefill)
	}
	en := rq.Service.Engine
	fl.Slots = unblocked * en.Slots
	fl.Backlog = prefillTime(en, backlog) / time.Duration(max(1, unblocked))
	ad.mu.Lock()
	defer ad.mu.Unlock()
	if ad.opts.ReturnTimes {
		fl.Due = ad.ledger.Due(laneOf(rq), now)
	}
	if rq.isLong() {
		own := prefillTime(en, pr.Part(1))
		fl.FinishRate = longRateShare * float64(unblocked) / max(time.Millisecond, own).Seconds()
		return fl
	}
	took, known := ad.errors.Duration(completion.Short, now)
	if !known {
		took = meanAnswerTime(en)
	}
	fl.FinishRate = float64(fl.SlotsInUse) / max(time.Millisecond, took).Seconds()
	return fl
}

// longRateShare is the share of the prefill rate of all targets that long prompts are expected to get: passes also decode answers.
const longRateShare = 0.5

// prefillTime returns the time that one engine takes for the prefill of a backlog alone.
func prefillTime(en *placement.Engine, ba placement.Backlog) time.Duration {
	byTokens := float64(ba.Tokens) / 1e3 * float64(en.PrefillTimePerThousand)
	return time.Duration(byTokens + float64(ba.Pairs)/1e6*float64(en.PrefillTimePerMillionPairs))
}

// kindOf returns the kind of a prompt by its size.
func kindOf(tokens int64) completion.Kind {
	if tokens > maxShortTokens {
		return completion.Long
	}
	return completion.Short
}

// laneOf returns the lane of the promises for a request.
func laneOf(rq Request) returntimes.Lane {
	return returntimes.Lane(xxhash.Sum64String(rq.Service.Name))<<1 | returntimes.Lane(kindOf(int64(rq.PromptTokens)))
}
