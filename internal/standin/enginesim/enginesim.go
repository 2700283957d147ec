// Package enginesim is a small stand-in for a model engine with continuous batching, chunked prefill, priorities, limited
// memory and a prefix cache. Its speeds are parameters.
package enginesim

import (
	"slices"
	"sync"
	"time"

	"github.com/silvermount/silvermount/internal/engine"
	"github.com/silvermount/silvermount/internal/ident"
	"github.com/silvermount/silvermount/internal/standin/tokengen"
)

// Params are the speeds and sizes of an engine.
type Params struct {
	// MaxPromptTokensPerStep is the maximum number of prompt tokens that are computed in one step.
	MaxPromptTokensPerStep int
	// A step takes StepOverhead, plus PrefillPerToken for each prompt token and DecodePerSequence for each decoding sequence.
	StepOverhead, PrefillPerToken, DecodePerSequence time.Duration
	// CostDoublingContext is the context length at which a prompt token takes twice as long as at the start of a prompt.
	CostDoublingContext int
	// MemoryTokens is the size of the KV memory in tokens.
	MemoryTokens int
	// CacheBlocks is the maximum number of cached prefix blocks; zero disables the cache.
	CacheBlocks int
	// ReportLag is the minimum age of the load reports that are served, once there are reports that old.
	ReportLag time.Duration
	// Speedup divides all times.
	Speedup float64
	// FenceOrders makes the engine refuse orders whose epoch and sequence number are not newer than those of the last one.
	FenceOrders bool
}

// DefaultParams returns the parameters of an engine that prefills about 20,000 tokens per second.
func DefaultParams() Params {
	return Params{
		MaxPromptTokensPerStep: 2048, StepOverhead: 8 * time.Millisecond, PrefillPerToken: 45 * time.Microsecond,
		DecodePerSequence: 200 * time.Microsecond, CostDoublingContext: 400_000, MemoryTokens: 450_000, CacheBlocks: 256,
		ReportLag: 200 * time.Millisecond, Speedup: 1,
	}
}

// IdleTimeToFirstToken returns the time to the first token of a prompt on an idle engine.
func (pr Params) IdleTimeToFirstToken(tokens int) time.Duration {
	sum := time.Duration(0)
	for at := 0; at < tokens; at += pr.MaxPromptTokensPerStep {
		sum += pr.StepOverhead + pr.chunkTime(at, min(pr.MaxPromptTokensPerStep, tokens-at))
	}
	return time.Duration(float64(sum) / pr.Speedup)
}

func (pr Params) chunkTime(context, chunk int) time.Duration {
	factor := 1 + float64(context)/float64(pr.CostDoublingContext)
	return time.Duration(float64(pr.PrefillPerToken) * float64(chunk) * factor)
}

// sequence is an attempt in progress, or a reservation of memory.
type sequence struct {
	id, holder, model string
	// chat is set for chat completions.
	chat                       bool
	priority                   int
	arrivalNumber              int
	deadline                   time.Time
	promptTokens, outputTokens int
	// borrowedTokens is the memory that other engines hold for the sequence, in tokens.
	borrowedTokens int
	computedTokens int
	admitted       bool
	generator      *tokengen.Generator
	tokens         []string
	blockHashes    []uint64
	done           bool
	aborted        bool
	changed        chan struct{}
}

// memoryTokens returns the memory that the sequence needs on this engine, in tokens.
func (sq *sequence) memoryTokens() int {
	return max(0, sq.promptTokens+sq.outputTokens-sq.borrowedTokens)
}

// signal wakes all readers that wait for a change of the sequence. The caller must hold the lock.
func (sq *sequence) signal() {
	close(sq.changed)
	sq.changed = make(chan struct{})
}

type timedReport struct {
	takenAt time.Time
	report  engine.Report
}

// Engine is a stand-in engine.
type Engine struct {
	params      Params
	incarnation string

	mu           sync.Mutex
	wake         chan struct{}
	killed       chan struct{}
	sequences    map[string]*sequence
	reservations map[string]*sequence
	usedTokens   int
	attemptCount int
	leaving      bool
	models       map[string]bool
	reports      []timedReport
	cache        prefixCache
	orders       orderState
	// startsByAttempt counts how often each attempt was started.
	startsByAttempt map[string]int
	// hung makes the engine accept attempts and compute nothing.
	hung bool
	// streamsToBreak and responsesToMislabel are the numbers of next streams to break and next responses to mislabel.
	streamsToBreak, responsesToMislabel int
	// completionsToCut is the number of next completions to cut. If unframed is set, the others have neither length nor chunks either.
	completionsToCut int
	unframed         bool
}

// New starts an engine that serves the given models.
func New(p Params, models ...string) *Engine {
	en := &Engine{
		params: p, incarnation: ident.New("engine"), wake: make(chan struct{}, 1), killed: make(chan struct{}),
		sequences: map[string]*sequence{}, reservations: map[string]*sequence{}, models: map[string]bool{},
		cache: newPrefixCache(p.CacheBlocks), startsByAttempt: map[string]int{},
	}
	for _, m := range models {
		en.models[m] = true
	}
	go en.run()
	return en
}

// Kill stops the engine at once and breaks all open streams.
func (en *Engine) Kill() {
	en.mu.Lock()
	defer en.mu.Unlock()
	select {
	case <-en.killed:
		return
	default:
	}
	close(en.killed)
	for _, sq := range en.sequences {
		sq.aborted = true
		sq.signal()
	}
}

// MarkLeaving marks the engine as leaving: it refuses new attempts and reservations.
func (en *Engine) MarkLeaving() { en.mu.Lock(); en.leaving = true; en.mu.Unlock() }

// SetHung makes the engine compute nothing until it is called with false.
func (en *Engine) SetHung(on bool) {
	en.mu.Lock()
	en.hung = on
	en.mu.Unlock()
	en.wakeLoop()
}

// BreakStreams breaks the connections of the next n streams after some tokens; the engine goes on computing them.
func (en *Engine) BreakStreams(n int) { en.mu.Lock(); en.streamsToBreak = n; en.mu.Unlock() }

// CutCompletions sends all completions without length and chunks, and closes the connections of the next n in order after half of them.
func (en *Engine) CutCompletions(n int) {
	en.mu.Lock()
	defer en.mu.Unlock()
	en.completionsToCut, en.unframed = n, true
}

// MislabelResponses sends the next n responses with the id of another attempt.
func (en *Engine) MislabelResponses(n int) { en.mu.Lock(); en.responsesToMislabel = n; en.mu.Unlock() }

// consume decrements a counter of faults, and reports false when it is zero.
func (en *Engine) consume(counter *int) bool {
	en.mu.Lock()
	defer en.mu.Unlock()
	if *counter == 0 {
		return false
	}
	*counter--
	return true
}

// responseAttemptID returns the attempt id to send in the response.
func (en *Engine) responseAttemptID(sq *sequence) string {
	if en.consume(&en.responsesToMislabel) {
		return "another-attempt"
	}
	return sq.id
}

// MemoryUsed returns the KV memory that is in use or reserved, in tokens.
func (en *Engine) MemoryUsed() int { en.mu.Lock(); defer en.mu.Unlock(); return en.usedTokens }

// AttemptCount returns how many attempts were accepted.
func (en *Engine) AttemptCount() int { en.mu.Lock(); defer en.mu.Unlock(); return en.attemptCount }

func (en *Engine) wakeLoop() {
	select {
	case en.wake <- struct{}{}:
	default:
	}
}

// run computes steps until the engine is killed.
func (en *Engine) run() {
	next := time.Now()
	for {
		stepTime := en.planStep()
		if stepTime == 0 {
			select {
			case <-en.wake:
				next = time.Now()
				continue
			case <-en.killed:
				return
			}
		}
		if now := time.Now(); next.Before(now.Add(-stepTime)) {
			next = now
		}
		next = next.Add(stepTime)
		time.Sleep(time.Until(next))
		select {
		case <-en.killed:
			return
		default:
			en.finishStep()
		}
	}
}

// planStep plans one step and returns how long it takes, or zero when there is nothing to compute.
func (en *Engine) planStep() time.Duration {
	en.mu.Lock()
	defer en.mu.Unlock()
	if en.hung {
		return 0
	}
	order := en.byUrgency()
	en.admit(order)
	stepTime, busy := time.Duration(0), false
	budget := en.params.MaxPromptTokensPerStep
	for _, sq := range order {
		if !sq.admitted {
			continue
		}
		if sq.computedTokens >= sq.promptTokens {
			stepTime += en.params.DecodePerSequence
			busy = true
			continue
		}
		chunk := min(budget, sq.promptTokens-sq.computedTokens)
		if chunk == 0 {
			continue
		}
		budget -= chunk
		busy = true
		stepTime += en.params.chunkTime(sq.computedTokens, chunk)
		sq.computedTokens += chunk
	}
	if !busy {
		return 0
	}
	stepTime += en.params.StepOverhead
	return max(1, time.Duration(float64(stepTime)/en.params.Speedup))
}

// byUrgency returns the unfinished sequences, the most urgent first. A higher priority is more urgent.
func (en *Engine) byUrgency() []*sequence {
	order := make([]*sequence, 0, len(en.sequences))
	for _, sq := range en.sequences {
		if !sq.done && !sq.aborted {
			order = append(order, sq)
		}
	}
	slices.SortFunc(order, func(a, b *sequence) int {
		if a.priority != b.priority {
			return b.priority - a.priority
		}
		return a.arrivalNumber - b.arrivalNumber
	})
	return order
}

// admit gives memory to the sequences in order. A sequence that does not fit holds back those after it, except for
// sequences that need no further memory because all of it was reserved before.
func (en *Engine) admit(order []*sequence) {
	full := false
	for _, sq := range order {
		if sq.admitted {
			continue
		}
		full = full || en.usedTokens+sq.memoryTokens() > en.params.MemoryTokens
		if full && sq.memoryTokens() > 0 {
			continue
		}
		sq.admitted = true
		en.usedTokens += sq.memoryTokens()
		sq.computedTokens = min(en.cache.cachedTokens(sq.blockHashes), max(0, sq.promptTokens-1))
	}
}

// finishStep generates a token for each sequence whose prompt is computed.
func (en *Engine) finishStep() {
	en.mu.Lock()
	defer en.mu.Unlock()
	for _, sq := range en.sequences {
		if !sq.admitted || sq.done || sq.computedTokens < sq.promptTokens {
			continue
		}
		if len(sq.tokens) == 0 {
			en.cache.add(sq.blockHashes)
		}
		sq.tokens = append(sq.tokens, sq.generator.Next())
		if len(sq.tokens) >= sq.outputTokens {
			sq.done = true
			en.usedTokens -= sq.memoryTokens()
			sq.admitted = false
		}
		sq.signal()
	}
}

// cancel removes a sequence or reservation and frees its memory.
func (en *Engine) cancel(id string) {
	en.mu.Lock()
	defer en.mu.Unlock()
	if rv, ok := en.reservations[id]; ok {
		en.usedTokens -= rv.promptTokens
		delete(en.reservations, id)
		en.wakeLoop()
	}
	sq, ok := en.sequences[id]
	if !ok {
		return
	}
	if sq.admitted {
		en.usedTokens -= sq.memoryTokens()
	}
	sq.admitted = false
	sq.aborted = sq.aborted || !sq.done
	sq.signal()
	delete(en.sequences, id)
	en.wakeLoop()
}

// loadReport returns the newest load report that is at least ReportLag old, or else the oldest one.
func (en *Engine) loadReport() engine.Report {
	en.mu.Lock()
	defer en.mu.Unlock()
	now := time.Now()
	en.reports = append(en.reports, timedReport{takenAt: now, report: en.currentLoad()})
	lag := time.Duration(float64(en.params.ReportLag) / en.params.Speedup)
	i := 0
	for i+1 < len(en.reports) && now.Sub(en.reports[i+1].takenAt) >= lag {
		i++
	}
	en.reports = en.reports[i:]
	r := en.reports[0].report
	r.Leaving = en.leaving
	return r
}

func (en *Engine) currentLoad() engine.Report {
	r := engine.Report{
		Incarnation: en.incarnation, Leaving: en.leaving, MemoryUsed: en.usedTokens, MemoryTotal: en.params.MemoryTokens,
		PrefillRate: en.prefillRate(),
	}
	for m := range en.models {
		r.Models = append(r.Models, m)
	}
	slices.Sort(r.Models)
	for _, sq := range en.sequences {
		if sq.done || sq.aborted {
			continue
		}
		if sq.admitted {
			r.Running++
		} else {
			r.Queued++
		}
		r.PrefillTokens += sq.promptTokens - sq.computedTokens
	}
	return r
}

// prefillRate returns the prefill rate of full steps at the start of a prompt, in tokens per second.
func (en *Engine) prefillRate() float64 {
	step := en.params.StepOverhead + time.Duration(en.params.MaxPromptTokensPerStep)*en.params.PrefillPerToken
	return float64(en.params.MaxPromptTokensPerStep) / step.Seconds() * en.params.Speedup
}
