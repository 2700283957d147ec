package dispatch

import (
	"sync"
	"time"

	"github.com/cespare/xxhash/v2"

	"github.com/silvermount/silvermount/internal/failure"
	"github.com/silvermount/silvermount/internal/fairshare"
	"github.com/silvermount/silvermount/internal/loadreport"
	"github.com/silvermount/silvermount/internal/placement"
	"github.com/silvermount/silvermount/internal/targets"
)

const (
	// shortageThreshold is the share of the slots in use from which engine time counts as short.
	shortageThreshold = 0.75
	// crowdedThreshold is the share of the slots in use from which a prompt makes another late while there are prompts that got no slot:
	// it is as far below the one from which late prompts are refused as loads change until peers know of them.
	crowdedThreshold = 0.85
	// refusalCostShare is what a refused prompt costs its organisation, as a share of the engine time that it wanted. It takes no engine
	// time, but a caller that repeats without end must not do so for free. With 0.02, callers that repeated three times at once got
	// two thirds of their share.
	refusalCostShare = 0.005
	// maxOthersLateLoss is the loss of others from which a prompt counts as one that makes others late, as a share of the worth that a
	// short answer has at risk.
	maxOthersLateLoss = 0.5
	// reportPeriod is how often peers are told of usage while engine time is short. Shares change with the window, which is 16 times
	// as long.
	reportPeriod = 250 * time.Millisecond
	// shortageMemory is how long a shortage is remembered: peers are told of the usage as long, since they may see it later.
	shortageMemory = time.Second
	// maxUnmet bounds the prompts whose demand is remembered; beyond it demand is understated.
	maxUnmet = 4096
)

// ShareRefusal describes a refusal of a prompt whose organisation has used more than its share.
type ShareRefusal struct {
	Request, Service, Organisation string
	EngineTime                     time.Duration
	// FirstToken is the predicted time from arrival to the first token; zero if no target had room.
	FirstToken time.Duration
	// SlotsUsed is the share of the slots of the service in use, by loads that are about LoadAge old.
	SlotsUsed float64
	LoadAge   time.Duration
	Standing  fairshare.Standing
	Again     time.Duration
}

// Shares divides engine time between organisations while it is short. It is safe for concurrent use.
type Shares struct {
	now       func() time.Time
	onRefusal func(ShareRefusal)
	// publish requests that the report to peers is sent again; it may be nil.
	publish func()

	mu    sync.Mutex
	acc   *fairshare.Accounts
	turns *fairshare.Turns
	// unmet holds what each waiting or refused prompt wanted, by a hash of its request.
	unmet map[uint64]unmetPrompt
	// shortAt is when engine time was short last, and publishedAt when a report was requested last; zero before.
	shortAt, publishedAt time.Time
}

// unmetPrompt is the demand of a prompt that was not placed.
type unmetPrompt struct {
	key  fairshare.Key
	cost time.Duration
	at   time.Time
}

// SharesOption is an option of NewShares.
type SharesOption func(*Shares)

// WithShareWeights sets the weights of organisations by name; others have a weight of 1.
func WithShareWeights(weights map[string]float64) SharesOption {
	return func(sh *Shares) { sh.acc = fairshare.New(sh.now(), fairshare.WithWeights(weights)) }
}

// WithOnShareRefusal sets the function that is called for each refusal. It must not call the Dispatcher.
func WithOnShareRefusal(onRefusal func(ShareRefusal)) SharesOption {
	return func(sh *Shares) { sh.onRefusal = onRefusal }
}

// WithSharePublish sets the function that requests that the report to peers is sent again. It must not block.
func WithSharePublish(publish func()) SharesOption {
	return func(sh *Shares) { sh.publish = publish }
}

// NewShares returns shares without any usage.
func NewShares(now func() time.Time, opts ...SharesOption) *Shares {
	sh := &Shares{
		now: now, acc: fairshare.New(now()), turns: fairshare.NewTurns(), unmet: map[uint64]unmetPrompt{},
		onRefusal: func(ShareRefusal) {}, publish: func() {},
	}
	for _, opt := range opts {
		opt(sh)
	}
	return sh
}

// Part returns the part of the load report with the usage of organisations. onMalformed is called for each report that cannot be decoded.
func (sh *Shares) Part(onMalformed func(peer string, err error)) loadreport.Part {
	return loadreport.Part{
		Encode: sh.encode,
		Receive: func(peer string, body []byte, at time.Time) {
			sh.mu.Lock()
			err := sh.acc.Receive(peer, body, at)
			sh.mu.Unlock()
			if err != nil {
				onMalformed(peer, err)
			}
		},
		Forget: func(peer string) {
			sh.mu.Lock()
			defer sh.mu.Unlock()
			sh.acc.Forget(peer)
		},
	}
}

// encode returns the report; empty if engine time has not been short lately.
func (sh *Shares) encode(now time.Time) []byte {
	sh.mu.Lock()
	defer sh.mu.Unlock()
	if sh.shortAt.IsZero() || now.Sub(sh.shortAt) > shortageMemory {
		return nil
	}
	sh.acc.Refresh(now, fairshare.ViewPeriod)
	return sh.acc.Encode(now)
}

// OrganisationCount returns the number of organisations that are accounted for one by one.
func (sh *Shares) OrganisationCount() int {
	sh.mu.Lock()
	defer sh.mu.Unlock()
	sh.acc.Refresh(sh.now(), fairshare.ViewPeriod)
	return sh.acc.OrganisationCount()
}

// candidatePrompt is a prompt about to be decided on.
type candidatePrompt struct {
	rq  Request
	key fairshare.Key
	// hash identifies the request.
	hash uint64
	cost time.Duration
	// late is set if the prompt or another would be late, or if no target has room.
	late bool
}

// applyShares returns the decision on a prompt with regard to the share of its organisation, and an error if it is refused for that. The
// caller holds the load table's lock.
func (ds *Dispatcher) applyShares(rq Request, pr placement.Prompt, pl placement.Plan, planned bool, tgs []targets.Target, dc decision) (decision, error) {
	sh := ds.opts.Shares
	if sh == nil || rq.Resumed {
		return dc, nil
	}
	cp := candidatePrompt{
		rq: rq, key: fairshare.KeyOf(rq.Service.Name, rq.Organisation), hash: xxhash.Sum64String(rq.Organisation + "\x00" + rq.ID),
		cost: rq.Service.Engine.EngineTimeOf(pr.Tokens, pr.AnswerTokens),
	}
	used := ds.slotsUsed(rq.Service.Engine, tgs)
	short := used >= shortageThreshold
	cp.late = !planned || used >= crowdedThreshold || ds.causesLateness(pr, pl)
	now := ds.opts.Now()
	dc, st, refused := sh.adjust(cp, dc, short, now)
	if !refused {
		return dc, nil
	}
	refusal := failure.New(failure.Overloaded, failure.NotRun, "the organisation has used its share of the engine time").
		WithRetryAfter(failure.FromError(ds.overloadError(rq, pr)).RetryAfter)
	firstToken := time.Duration(0)
	if planned {
		firstToken = pr.Elapsed + pl.TimeToFirstToken
	}
	sh.onRefusal(ShareRefusal{
		Request: rq.ID, Service: rq.Service.Name, Organisation: rq.Organisation, EngineTime: cp.cost, FirstToken: firstToken,
		SlotsUsed: used, LoadAge: ds.propagationDelay(), Standing: st, Again: refusal.RetryAfter,
	})
	return decisionRefuse, refusal
}

// causesLateness reports whether a plan makes its own prompt or others late.
func (ds *Dispatcher) causesLateness(pr placement.Prompt, pl placement.Plan) bool {
	if float64(pr.Elapsed+pl.TimeToFirstToken) > maxCrowdedFirstToken*float64(pr.Objective) || pl.PredictedPause > pr.MaxPause {
		return true
	}
	atRisk := ds.arrivals.shortAtRisk
	if atRisk == 0 {
		// No short prompt has arrived here yet.
		atRisk = pr.InTimeWorth - pr.LateWorth
	}
	return float64(pl.OthersLoss) > maxOthersLateLoss*float64(atRisk)
}

// slotsUsed returns the share of the slots of targets that is in use. The caller holds the load table's lock.
func (ds *Dispatcher) slotsUsed(en *placement.Engine, tgs []targets.Target) float64 {
	taken := 0
	for _, tg := range tgs {
		lo := ds.loadTable.total(tg.ID)
		taken += min(en.Slots, lo.Prefilling+lo.Decoding)
	}
	return float64(taken) / float64(max(1, en.Slots*len(tgs)))
}

// adjust returns the decision on a prompt, where its organisation stands, and whether it is refused for its share. It accounts for the
// prompt.
func (sh *Shares) adjust(cp candidatePrompt, dc decision, short bool, now time.Time) (decision, fairshare.Standing, bool) {
	sh.mu.Lock()
	defer sh.mu.Unlock()
	var st fairshare.Standing
	refused := false
	if short {
		sh.recordShortage(now)
		st = sh.acc.Standing(cp.key, now)
		if dc != decisionRefuse && cp.late && sh.refuses(cp, st, now) {
			dc, refused = decisionRefuse, true
		}
	}
	sh.record(cp, dc, now)
	return dc, st, refused
}

// refuses reports whether a prompt that would be late is refused because its organisation is above its share.
func (sh *Shares) refuses(cp candidatePrompt, st fairshare.Standing, now time.Time) bool {
	admitted, drawn := st.AdmittedPart(), now.Format(time.StampNano)
	if hashFraction(cp.rq.ID, "share", drawn) < admitted {
		return false
	}
	return !sh.turns.IsDue(cp.key, cp.cost, hashFraction(cp.rq.ID, "size", drawn), now)
}

// record accounts for the outcome of a prompt.
func (sh *Shares) record(cp candidatePrompt, dc decision, now time.Time) {
	before, known := sh.unmet[cp.hash]
	switch dc {
	case decisionPlace:
		if known {
			sh.acc.Add(before.key, fairshare.Amount{Unmet: -before.cost}, before.at, now)
			delete(sh.unmet, cp.hash)
		}
		sh.acc.Add(cp.key, fairshare.Amount{Used: cp.cost}, now, now)
		sh.turns.Record(cp.key, cp.cost, true, now)
		return
	case decisionRefuse:
		sh.acc.Add(cp.key, fairshare.Amount{Used: time.Duration(refusalCostShare * float64(cp.cost))}, now, now)
		sh.turns.Record(cp.key, cp.cost, false, now)
	case decisionWait:
	}
	if known && now.Sub(before.at) < fairshare.Window {
		return
	}
	sh.dropOldUnmet(now)
	if len(sh.unmet) < maxUnmet {
		sh.unmet[cp.hash] = unmetPrompt{key: cp.key, cost: cp.cost, at: now}
		sh.acc.Add(cp.key, fairshare.Amount{Unmet: cp.cost}, now, now)
	}
}

// dropOldUnmet removes the prompts that have left the window, once there is no room for more.
func (sh *Shares) dropOldUnmet(now time.Time) {
	if len(sh.unmet) < maxUnmet {
		return
	}
	for hash, up := range sh.unmet {
		if now.Sub(up.at) >= fairshare.Window {
			delete(sh.unmet, hash)
		}
	}
}

// recordShortage records that engine time is short, and requests a report to peers if it is due.
func (sh *Shares) recordShortage(now time.Time) {
	sh.shortAt = now
	if sh.publishedAt.IsZero() || now.Sub(sh.publishedAt) >= reportPeriod {
		sh.publishedAt = now
		sh.publish()
	}
}

// correct replaces the predicted engine time of a request by the time that it took. An answer that has not begun took at most the time
// since its target was chosen.
func (sh *Shares) correct(us *slotUsage, chosenAt time.Time, begun bool) {
	now := sh.now()
	took := us.prefill + time.Duration(us.events)*us.perPass
	if !begun {
		took = min(us.prefill, now.Sub(chosenAt))
	}
	sh.mu.Lock()
	defer sh.mu.Unlock()
	sh.acc.Add(us.key, fairshare.Amount{Used: took - us.charged}, chosenAt, now)
}

// slotUsage is the engine time that a slot was charged for, and what it is corrected by.
type slotUsage struct {
	key                       fairshare.Key
	charged, prefill, perPass time.Duration
	// events is the number of passes whose events were forwarded.
	events int
}

// newSlotUsage returns the usage of a slot that is about to be filled; nil without shares and for resumed streams, which are charged when
// they are first placed.
func (ds *Dispatcher) newSlotUsage(rq Request, pr placement.Prompt) *slotUsage {
	if ds.opts.Shares == nil || rq.Resumed {
		return nil
	}
	prefill, perPass := rq.Service.Engine.EngineTime(pr.Tokens)
	return &slotUsage{
		key: fairshare.KeyOf(rq.Service.Name, rq.Organisation), charged: rq.Service.Engine.EngineTimeOf(pr.Tokens, pr.AnswerTokens),
		prefill: prefill, perPass: perPass,
	}
}

// settleUsage corrects the engine time of a slot once it is released.
func (sl *Slot) settleUsage() {
	if sl.usage == nil {
		return
	}
	sl.ds.opts.Shares.correct(sl.usage, sl.ChosenAt, sl.decoding)
	sl.usage = nil
}
