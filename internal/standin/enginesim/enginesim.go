// Package enginesim is a small stand-in for a model engine: it batches continuously, prefills in chunks,
// honours priorities, holds limited memory and caches prefixes. Its speeds are parameters.
package enginesim

import (
	"slices"
	"sync"
	"time"

	"github.com/silvermount/silvermount/internal/engine"
	"github.com/silvermount/silvermount/internal/ident"
	"github.com/silvermount/silvermount/internal/standin/answer"
)

// Params are the speeds and sizes of an engine.
type Params struct {
	// StepTokens bounds the prompt tokens computed in one step.
	MaxPromptTokensPerStep int
	// StepBase is the fixed time of a step, PrefillToken the time of a prompt token, DecodeToken of a sequence.
	StepOverhead, PrefillPerToken, DecodePerSequence time.Duration
	// Knee is the context length at which a prompt token costs twice as much.
	CostDoublingContext int
	// Memory is the KV memory in tokens.
	MemoryTokens int
	// CacheBlocks is the number of prefix blocks kept; zero keeps none.
	CacheBlocks int
	// ReportLag is how old a load report is when it is given out.
	ReportLag time.Duration
	// Scale divides all times.
	Speedup float64
	// Fence makes the engine check the epoch of orders.
	FenceOrders bool
}

// DefaultParams resemble an engine that prefills about 20,000 tokens a second.
func DefaultParams() Params {
	return Params{
		MaxPromptTokensPerStep: 2048, StepOverhead: 8 * time.Millisecond, PrefillPerToken: 45 * time.Microsecond,
		DecodePerSequence: 200 * time.Microsecond, CostDoublingContext: 400_000, MemoryTokens: 450_000, CacheBlocks: 256,
		ReportLag: 200 * time.Millisecond, Speedup: 1,
	}
}

// Alone returns the time to the first token of a prompt on an idle engine.
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

type sequence struct {
	id, holder, model string
	// chat is set for chat completions.
	chat                       bool
	priority                   int
	arrivalNumber              int
	deadline                   time.Time
	promptTokens, outputTokens int
	// borrowed is memory held on other engines.
	borrowedTokens int
	computedTokens int
	admitted       bool
	generator      *answer.Generator
	tokens         []string
	blockHashes    []uint64
	done           bool
	broken         bool
	changed        chan struct{}
}

func (sq *sequence) memoryTokens() int {
	return max(0, sq.promptTokens+sq.outputTokens-sq.borrowedTokens)
}

func (sq *sequence) signal() {
	close(sq.changed)
	sq.changed = make(chan struct{})
}

type timedReport struct {
	at     time.Time
	report engine.Report
}

// Engine is the stand-in.
type Engine struct {
	params      Params
	incarnation string

	mu           sync.Mutex
	wake         chan struct{}
	killed       chan struct{}
	seqs         map[string]*sequence
	reservations map[string]*sequence
	usedTokens   int
	attemptCount int
	leaving      bool
	models       map[string]bool
	reports      []timedReport
	cache        prefixCache
	orders       orderState
	// runs counts how often each attempt was started.
	runs map[string]int
	// hang makes the engine accept attempts and compute nothing.
	hung bool
	// breaks and crosses count down the streams to break and the answers to cross.
	streamsToBreak, responsesToMislabel int
}

// New starts an engine that serves the given models.
func New(p Params, models ...string) *Engine {
	en := &Engine{
		params: p, incarnation: ident.New("engine"), wake: make(chan struct{}, 1), killed: make(chan struct{}),
		seqs: map[string]*sequence{}, reservations: map[string]*sequence{}, models: map[string]bool{},
		cache: newPrefixCache(p.CacheBlocks), runs: map[string]int{},
	}
	for _, m := range models {
		en.models[m] = true
	}
	go en.run()
	return en
}

// Kill stops the engine in the middle of its work; open streams break.
func (en *Engine) Kill() {
	en.mu.Lock()
	defer en.mu.Unlock()
	select {
	case <-en.killed:
		return
	default:
	}
	close(en.killed)
	for _, sq := range en.seqs {
		sq.broken = true
		sq.signal()
	}
}

// Leave marks the engine as leaving.
func (en *Engine) MarkLeaving() { en.mu.Lock(); en.leaving = true; en.mu.Unlock() }

// Hang makes the engine compute nothing until it is called with false.
func (en *Engine) SetHung(on bool) {
	en.mu.Lock()
	en.hung = on
	en.mu.Unlock()
	en.wakeLoop()
}

// BreakStreams makes the next n streams lose their connection after some tokens, while the engine goes on.
func (en *Engine) BreakStreams(n int) { en.mu.Lock(); en.streamsToBreak = n; en.mu.Unlock() }

// CrossAnswers makes the next n answers come under the id of another attempt.
func (en *Engine) MislabelResponses(n int) { en.mu.Lock(); en.responsesToMislabel = n; en.mu.Unlock() }

// takes counts a seam down and reports whether it was set.
func (en *Engine) consume(seam *int) bool {
	en.mu.Lock()
	defer en.mu.Unlock()
	if *seam == 0 {
		return false
	}
	*seam--
	return true
}

// echo returns the id that an answer comes under.
func (en *Engine) responseAttemptID(sq *sequence) string {
	if en.consume(&en.responsesToMislabel) {
		return "another-attempt"
	}
	return sq.id
}

// MemoryUsed returns the KV memory in use, in tokens.
func (en *Engine) MemoryUsed() int { en.mu.Lock(); defer en.mu.Unlock(); return en.usedTokens }

// Started returns how many attempts were started.
func (en *Engine) AttemptCount() int { en.mu.Lock(); defer en.mu.Unlock(); return en.attemptCount }

func (en *Engine) wakeLoop() {
	select {
	case en.wake <- struct{}{}:
	default:
	}
}

func (en *Engine) run() {
	next := time.Now()
	for {
		took := en.planStep()
		if took == 0 {
			select {
			case <-en.wake:
				next = time.Now()
				continue
			case <-en.killed:
				return
			}
		}
		if now := time.Now(); next.Before(now.Add(-took)) {
			next = now
		}
		next = next.Add(took)
		time.Sleep(time.Until(next))
		select {
		case <-en.killed:
			return
		default:
			en.finishStep()
		}
	}
}

// step plans one step and returns how long it takes; zero means that there is nothing to do.
func (en *Engine) planStep() time.Duration {
	en.mu.Lock()
	defer en.mu.Unlock()
	if en.hung {
		return 0
	}
	order := en.byUrgency()
	en.admit(order)
	took, busy := time.Duration(0), false
	budget := en.params.MaxPromptTokensPerStep
	for _, sq := range order {
		if !sq.admitted {
			continue
		}
		if sq.computedTokens >= sq.promptTokens {
			took += en.params.DecodePerSequence
			busy = true
			continue
		}
		chunk := min(budget, sq.promptTokens-sq.computedTokens)
		if chunk == 0 {
			continue
		}
		budget -= chunk
		busy = true
		took += en.params.chunkTime(sq.computedTokens, chunk)
		sq.computedTokens += chunk
	}
	if !busy {
		return 0
	}
	took += en.params.StepOverhead
	return max(1, time.Duration(float64(took)/en.params.Speedup))
}

// ordered returns the sequences, most urgent first.
func (en *Engine) byUrgency() []*sequence {
	order := make([]*sequence, 0, len(en.seqs))
	for _, sq := range en.seqs {
		if !sq.done && !sq.broken {
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

// admit gives memory to sequences in order; one that does not fit holds back those after it, but for those whose
// memory was reserved before.
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

// finishStep emits a token for each sequence whose prompt is computed.
func (en *Engine) finishStep() {
	en.mu.Lock()
	defer en.mu.Unlock()
	for _, sq := range en.seqs {
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

// cancel frees a sequence or room.
func (en *Engine) cancel(id string) {
	en.mu.Lock()
	defer en.mu.Unlock()
	if rm, ok := en.reservations[id]; ok {
		en.usedTokens -= rm.promptTokens
		delete(en.reservations, id)
		en.wakeLoop()
	}
	sq, ok := en.seqs[id]
	if !ok {
		return
	}
	if sq.admitted {
		en.usedTokens -= sq.memoryTokens()
	}
	sq.admitted = false
	sq.broken = sq.broken || !sq.done
	sq.signal()
	delete(en.seqs, id)
	en.wakeLoop()
}

// report returns the newest load report that is at least ReportLag old, else the oldest.
func (en *Engine) loadReport() engine.Report {
	en.mu.Lock()
	defer en.mu.Unlock()
	now := time.Now()
	en.reports = append(en.reports, timedReport{at: now, report: en.currentLoad()})
	lag := time.Duration(float64(en.params.ReportLag) / en.params.Speedup)
	i := 0
	for i+1 < len(en.reports) && now.Sub(en.reports[i+1].at) >= lag {
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
	for _, sq := range en.seqs {
		if sq.done || sq.broken {
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

func (en *Engine) prefillRate() float64 {
	step := en.params.StepOverhead + time.Duration(en.params.MaxPromptTokensPerStep)*en.params.PrefillPerToken
	return float64(en.params.MaxPromptTokensPerStep) / step.Seconds() * en.params.Speedup
}
