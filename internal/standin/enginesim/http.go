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
	"github.com/silvermount/silvermount/internal/standin/tokengen"
)

const (
	defaultOutputTokens = 16
	// breakAfterTokens is the number of tokens after which BreakStreams breaks a stream.
	breakAfterTokens = 2
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

func (cr completionRequest) promptText() string {
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

// Handler returns the HTTP handler of the engine's protocol.
func (en *Engine) Handler() http.Handler {
	rt := chi.NewRouter()
	rt.Use(en.abortWhenKilled)
	rt.Post("/v1/completions", en.handleCompletion(false))
	rt.Post("/v1/chat/completions", en.handleCompletion(true))
	rt.Get("/control/report", func(w http.ResponseWriter, _ *http.Request) { jsonreply.Write(w, en.loadReport()) })
	rt.Get("/control/held", en.handleHeld)
	rt.Post("/control/cancel/{id}", func(_ http.ResponseWriter, r *http.Request) { en.cancel(chi.URLParam(r, "id")) })
	rt.Get("/control/resume/{id}", en.handleResume)
	rt.Post("/control/room", en.handleReserve)
	rt.Post("/control/order", en.handleOrder)
	rt.Get("/control/events", en.handleCacheEvents)
	return rt
}

// abortWhenKilled breaks the connections of all requests after the engine was killed.
func (en *Engine) abortWhenKilled(next http.Handler) http.Handler {
	return http.HandlerFunc(func(w http.ResponseWriter, r *http.Request) {
		select {
		case <-en.killed:
			panic(http.ErrAbortHandler)
		default:
			next.ServeHTTP(w, r)
		}
	})
}

func (en *Engine) handleCompletion(chat bool) http.HandlerFunc {
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
		sq, status := en.startSequence(r.Header, cr, chat)
		if status != http.StatusOK {
			refuse(w, status)
			return
		}
		if cr.Stream {
			en.writeStream(w, r, sq, 0)
			return
		}
		en.writeCompletion(w, r, sq)
	}
}

// refuse responds that the attempt was not started.
func refuse(w http.ResponseWriter, status int) {
	w.Header().Set(engine.HeaderNotStarted, "true")
	w.WriteHeader(status)
}

// startSequence adds the sequence of an attempt. When it refuses the attempt, the sequence is nil and the status is an error.
func (en *Engine) startSequence(h http.Header, cr completionRequest, chat bool) (*sequence, int) {
	prompt := cr.promptText()
	if cr.MaxTokens == 0 {
		cr.MaxTokens = defaultOutputTokens
	}
	leftMillis, _ := strconv.ParseInt(h.Get(engine.HeaderDeadline), 10, 64)
	priority, _ := strconv.Atoi(h.Get(engine.HeaderPriority))
	borrowed, _ := strconv.Atoi(h.Get(engine.HeaderBorrowed))
	sq := &sequence{
		id: h.Get(engine.HeaderAttempt), holder: h.Get(engine.HeaderHolder), model: cr.Model, priority: priority, chat: chat,
		deadline:     time.Now().Add(time.Duration(leftMillis) * time.Millisecond),
		promptTokens: max(1, len(prompt)/engine.BytesPerToken), outputTokens: cr.MaxTokens, borrowedTokens: borrowed,
		generator: tokengen.New(prompt), blockHashes: blockHashes(prompt), changed: make(chan struct{}),
	}
	en.mu.Lock()
	defer en.mu.Unlock()
	switch {
	case !en.models[cr.Model]:
		return nil, http.StatusNotFound
	case en.leaving:
		return nil, http.StatusServiceUnavailable
	case sq.memoryTokens() > en.params.MemoryTokens:
		return nil, http.StatusRequestEntityTooLarge
	case en.sequences[sq.id] != nil:
		return nil, http.StatusConflict
	}
	en.attemptCount++
	en.startsByAttempt[sq.id]++
	sq.arrivalNumber = en.attemptCount
	en.sequences[sq.id] = sq
	en.wakeLoop()
	return sq, http.StatusOK
}

// waitForTokens waits for tokens after the first n. It returns false when there will be none, and breaks the connection when
// the sequence was aborted.
func (en *Engine) waitForTokens(r *http.Request, sq *sequence, n int) (tokens []string, ok bool) {
	for {
		en.mu.Lock()
		changed, all, done, aborted := sq.changed, sq.tokens, sq.done, sq.aborted
		en.mu.Unlock()
		if len(all) > n {
			return all[n:], true
		}
		if aborted {
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

func (en *Engine) writeCompletion(w http.ResponseWriter, r *http.Request, sq *sequence) {
	var sb strings.Builder
	n := 0
	for n < sq.outputTokens {
		tokens, ok := en.waitForTokens(r, sq, n)
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
	cp := completion{
		ID: sq.id, Object: "completion", Model: sq.model, Choices: []choice{ch},
		Usage: &usage{PromptTokens: sq.promptTokens, CompletionTokens: n},
	}
	w.Header().Set(engine.HeaderAttempt, en.responseAttemptID(sq))
	en.mu.Lock()
	unframed := en.unframed
	en.mu.Unlock()
	if unframed {
		en.writeUnframed(w, cp)
	} else {
		jsonreply.Write(w, cp)
	}
	en.cancel(sq.id)
}

// writeUnframed writes a completion without length and chunks, and closes its connection in order.
func (en *Engine) writeUnframed(w http.ResponseWriter, cp completion) {
	b, err := json.Marshal(cp)
	if err != nil {
		return
	}
	if en.consume(&en.completionsToCut) {
		b = b[:len(b)/2]
	}
	id := w.Header().Get(engine.HeaderAttempt)
	nc, _, err := http.NewResponseController(w).Hijack()
	if err != nil {
		return
	}
	defer func() { _ = nc.Close() }() // fails if the caller has reset the connection
	// A write error means that the caller is gone.
	_, _ = fmt.Fprintf(nc, "HTTP/1.1 200 OK\r\nContent-Type: application/json\r\n%s: %s\r\n\r\n%s", engine.HeaderAttempt, id, b)
}

func (en *Engine) writeStream(w http.ResponseWriter, r *http.Request, sq *sequence, firstToken int) {
	w.Header().Set("Content-Type", "text/event-stream")
	w.Header().Set(engine.HeaderAttempt, en.responseAttemptID(sq))
	rc := http.NewResponseController(w)
	w.WriteHeader(http.StatusOK)
	_ = rc.Flush() // the flush after the first tokens fails as well when the caller has closed the connection
	n := firstToken
	for n < sq.outputTokens {
		tokens, ok := en.waitForTokens(r, sq, n)
		if !ok {
			return
		}
		for _, t := range tokens {
			n++
			writeEvent(w, sq, t, n == sq.outputTokens)
		}
		if rc.Flush() != nil {
			return
		}
		if n >= breakAfterTokens && n < sq.outputTokens && en.consume(&en.streamsToBreak) {
			panic(http.ErrAbortHandler)
		}
	}
	_, _ = io.WriteString(w, "data: [DONE]\n\n") // the sequence is removed whether or not the caller receives this
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
		_, _ = fmt.Fprintf(w, "data: %s\n\n", b) // the next flush returns an error when the caller has closed the connection
	}
}

func (en *Engine) handleResume(w http.ResponseWriter, r *http.Request) {
	firstToken, _ := strconv.Atoi(r.URL.Query().Get("from"))
	en.mu.Lock()
	sq := en.sequences[chi.URLParam(r, "id")]
	en.mu.Unlock()
	if sq == nil {
		refuse(w, http.StatusNotFound)
		return
	}
	en.writeStream(w, r, sq, firstToken)
}

func (en *Engine) handleHeld(w http.ResponseWriter, _ *http.Request) {
	en.mu.Lock()
	all := []engine.MemoryHold{}
	for _, group := range []map[string]*sequence{en.sequences, en.reservations} {
		for id, sq := range group {
			all = append(all, engine.MemoryHold{
				Attempt: id, Holder: sq.holder, Tokens: sq.promptTokens + sq.outputTokens,
				RemainingMillis: time.Until(sq.deadline).Milliseconds(),
			})
		}
	}
	en.mu.Unlock()
	jsonreply.Write(w, all)
}

func (en *Engine) handleReserve(w http.ResponseWriter, r *http.Request) {
	var h engine.MemoryHold
	if err := json.NewDecoder(r.Body).Decode(&h); err != nil {
		refuse(w, http.StatusBadRequest)
		return
	}
	en.mu.Lock()
	defer en.mu.Unlock()
	if en.leaving || en.reservations[h.Attempt] != nil || en.usedTokens+h.Tokens > en.params.MemoryTokens {
		refuse(w, http.StatusConflict)
		return
	}
	en.usedTokens += h.Tokens
	en.reservations[h.Attempt] = &sequence{
		id: h.Attempt, holder: h.Holder, promptTokens: h.Tokens,
		deadline: time.Now().Add(time.Duration(h.RemainingMillis) * time.Millisecond),
	}
}

func (en *Engine) handleCacheEvents(w http.ResponseWriter, r *http.Request) {
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
