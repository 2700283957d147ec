package enginesim

import (
	"encoding/json"
	"fmt"
	"io"
	"net/http"
	"strconv"
	"strings"
	"time"

	"github.com/go-chi/chi/v5"

	"github.com/silvermount/silvermount/internal/engine"
	"github.com/silvermount/silvermount/internal/jsonreply"
	"github.com/silvermount/silvermount/internal/standin/answer"
)

const (
	defaultOutput = 16
	// breakAfter is the number of tokens after which a stream is broken when asked for.
	breakAfter = 2
)

type message struct {
	Role    string `json:"role"`
	Content string `json:"content"`
}

type completionRequest struct {
	Model     string    `json:"model"`
	Prompt    string    `json:"prompt"`
	Messages  []message `json:"messages"`
	MaxTokens int       `json:"max_tokens"`
	Stream    bool      `json:"stream"`
}

func (cr completionRequest) text() string {
	var sb strings.Builder
	sb.WriteString(cr.Prompt)
	for _, m := range cr.Messages {
		sb.WriteString(m.Content)
	}
	return sb.String()
}

type choice struct {
	Index        int      `json:"index"`
	Text         string   `json:"text,omitempty"`
	Delta        *message `json:"delta,omitempty"`
	Message      *message `json:"message,omitempty"`
	FinishReason *string  `json:"finish_reason"`
}

type usage struct {
	PromptTokens     int `json:"prompt_tokens"`
	CompletionTokens int `json:"completion_tokens"`
}

type completion struct {
	ID      string   `json:"id"`
	Object  string   `json:"object"`
	Model   string   `json:"model"`
	Choices []choice `json:"choices"`
	Usage   *usage   `json:"usage,omitempty"`
}

// Handler serves the engine's protocol.
func (en *Engine) Handler() http.Handler {
	rt := chi.NewRouter()
	rt.Use(en.aliveOnly)
	rt.Post("/v1/completions", en.complete(false))
	rt.Post("/v1/chat/completions", en.complete(true))
	rt.Get("/control/report", func(w http.ResponseWriter, _ *http.Request) { jsonreply.Write(w, en.report()) })
	rt.Get("/control/held", en.held)
	rt.Post("/control/cancel/{id}", func(_ http.ResponseWriter, r *http.Request) { en.cancel(chi.URLParam(r, "id")) })
	rt.Get("/control/resume/{id}", en.resume)
	rt.Post("/control/room", en.reserve)
	rt.Post("/control/order", en.order)
	rt.Get("/control/events", en.cacheEvents)
	return rt
}

// aliveOnly breaks every connection once the engine was killed.
func (en *Engine) aliveOnly(next http.Handler) http.Handler {
	return http.HandlerFunc(func(w http.ResponseWriter, r *http.Request) {
		select {
		case <-en.stopped:
			panic(http.ErrAbortHandler)
		default:
			next.ServeHTTP(w, r)
		}
	})
}

func (en *Engine) complete(chat bool) http.HandlerFunc {
	return func(w http.ResponseWriter, r *http.Request) {
		body, err := io.ReadAll(r.Body)
		var cr completionRequest
		if err == nil {
			err = json.Unmarshal(body, &cr)
		}
		if err != nil {
			refuse(w, http.StatusBadRequest)
			return
		}
		sq, status := en.begin(r.Header, cr, chat)
		if status != http.StatusOK {
			refuse(w, status)
			return
		}
		if cr.Stream {
			en.stream(w, r, sq, 0)
			return
		}
		en.whole(w, r, sq)
	}
}

func refuse(w http.ResponseWriter, status int) {
	w.Header().Set(engine.HeaderNotStarted, "true")
	w.WriteHeader(status)
}

func (en *Engine) begin(h http.Header, cr completionRequest, chat bool) (*sequence, int) {
	prompt := cr.text()
	if cr.MaxTokens == 0 {
		cr.MaxTokens = defaultOutput
	}
	left, _ := strconv.ParseInt(h.Get(engine.HeaderDeadline), 10, 64)
	priority, _ := strconv.Atoi(h.Get(engine.HeaderPriority))
	borrowed, _ := strconv.Atoi(h.Get(engine.HeaderBorrowed))
	sq := &sequence{
		id: h.Get(engine.HeaderAttempt), holder: h.Get(engine.HeaderHolder), model: cr.Model, priority: priority, chat: chat,
		deadline: time.Now().Add(time.Duration(left) * time.Millisecond),
		prompt:   max(1, len(prompt)/engine.BytesPerToken), output: cr.MaxTokens, borrowed: borrowed,
		chain: answer.New(prompt), cached: blockHashes(prompt), changed: make(chan struct{}),
	}
	en.mu.Lock()
	defer en.mu.Unlock()
	switch {
	case !en.models[cr.Model]:
		return nil, http.StatusNotFound
	case en.leaving:
		return nil, http.StatusServiceUnavailable
	case sq.memory() > en.params.Memory:
		return nil, http.StatusRequestEntityTooLarge
	case en.seqs[sq.id] != nil:
		return nil, http.StatusConflict
	}
	en.arrivals++
	en.runs[sq.id]++
	sq.arrived = en.arrivals
	en.seqs[sq.id] = sq
	en.poke()
	return sq, http.StatusOK
}

// wait returns the tokens after the first n; ok is false when there will be no more.
func (en *Engine) wait(r *http.Request, sq *sequence, n int) (tokens []string, ok bool) {
	for {
		en.mu.Lock()
		changed, all, done, broken := sq.changed, sq.tokens, sq.done, sq.broken
		en.mu.Unlock()
		if len(all) > n {
			return all[n:], true
		}
		if broken {
			panic(http.ErrAbortHandler)
		}
		if done {
			return nil, false
		}
		select {
		case <-changed:
		case <-r.Context().Done():
			return nil, false
		}
	}
}

func (en *Engine) whole(w http.ResponseWriter, r *http.Request, sq *sequence) {
	var sb strings.Builder
	n := 0
	for n < sq.output {
		tokens, ok := en.wait(r, sq, n)
		if !ok {
			return
		}
		n += len(tokens)
		sb.WriteString(strings.Join(tokens, ""))
	}
	reason := "length"
	ch := choice{Text: sb.String(), FinishReason: &reason}
	if sq.chat {
		ch = choice{Message: &message{Role: "assistant", Content: sb.String()}, FinishReason: &reason}
	}
	w.Header().Set(engine.HeaderAttempt, en.echo(sq))
	jsonreply.Write(w, completion{
		ID: sq.id, Object: "completion", Model: sq.model, Choices: []choice{ch},
		Usage: &usage{PromptTokens: sq.prompt, CompletionTokens: n},
	})
	en.cancel(sq.id)
}

func (en *Engine) stream(w http.ResponseWriter, r *http.Request, sq *sequence, from int) {
	w.Header().Set("Content-Type", "text/event-stream")
	w.Header().Set(engine.HeaderAttempt, en.echo(sq))
	rc := http.NewResponseController(w)
	w.WriteHeader(http.StatusOK)
	_ = rc.Flush() // a caller that has gone shows at the next write
	n := from
	for n < sq.output {
		tokens, ok := en.wait(r, sq, n)
		if !ok {
			return
		}
		for _, t := range tokens {
			n++
			writeEvent(w, sq, t, n == sq.output)
		}
		if rc.Flush() != nil {
			return
		}
		if n >= breakAfter && n < sq.output && en.takes(&en.breaks) {
			panic(http.ErrAbortHandler)
		}
	}
	_, _ = io.WriteString(w, "data: [DONE]\n\n") // as above
	en.cancel(sq.id)
}

func writeEvent(w io.Writer, sq *sequence, token string, last bool) {
	ch := choice{Text: token}
	if sq.chat {
		ch = choice{Delta: &message{Role: "assistant", Content: token}}
	}
	if last {
		reason := "length"
		ch.FinishReason = &reason
	}
	b, err := json.Marshal(completion{ID: sq.id, Object: "completion.chunk", Model: sq.model, Choices: []choice{ch}})
	if err == nil {
		_, _ = fmt.Fprintf(w, "data: %s\n\n", b) // the flush after it tells of a caller that has gone
	}
}

func (en *Engine) resume(w http.ResponseWriter, r *http.Request) {
	from, _ := strconv.Atoi(r.URL.Query().Get("from"))
	en.mu.Lock()
	sq := en.seqs[chi.URLParam(r, "id")]
	en.mu.Unlock()
	if sq == nil {
		refuse(w, http.StatusNotFound)
		return
	}
	en.stream(w, r, sq, from)
}

func (en *Engine) held(w http.ResponseWriter, _ *http.Request) {
	en.mu.Lock()
	all := []engine.MemoryHold{}
	for _, group := range []map[string]*sequence{en.seqs, en.rooms} {
		for id, sq := range group {
			all = append(all, engine.MemoryHold{
				Attempt: id, Holder: sq.holder, Tokens: sq.prompt + sq.output,
				RemainingMillis: time.Until(sq.deadline).Milliseconds(),
			})
		}
	}
	en.mu.Unlock()
	jsonreply.Write(w, all)
}

func (en *Engine) reserve(w http.ResponseWriter, r *http.Request) {
	var h engine.MemoryHold
	if err := json.NewDecoder(r.Body).Decode(&h); err != nil {
		refuse(w, http.StatusBadRequest)
		return
	}
	en.mu.Lock()
	defer en.mu.Unlock()
	if en.leaving || en.rooms[h.Attempt] != nil || en.used+h.Tokens > en.params.Memory {
		refuse(w, http.StatusConflict)
		return
	}
	en.used += h.Tokens
	en.rooms[h.Attempt] = &sequence{
		id: h.Attempt, holder: h.Holder, prompt: h.Tokens,
		deadline: time.Now().Add(time.Duration(h.RemainingMillis) * time.Millisecond),
	}
}

func (en *Engine) cacheEvents(w http.ResponseWriter, r *http.Request) {
	since, _ := strconv.Atoi(r.URL.Query().Get("since"))
	en.mu.Lock()
	defer en.mu.Unlock()
	events := []CacheEvent{}
	for _, e := range en.cache.events {
		if e.Seq > since {
			events = append(events, e)
		}
	}
	jsonreply.Write(w, events)
}
