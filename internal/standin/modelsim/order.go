package modelsim

import (
	"encoding/json"
	"net/http"
	"slices"
	"strings"
	"time"

	"github.com/silvermount/silvermount/internal/standin/targetsim"
)

// maxTickets is the maximum number of tickets that the protocol allows at an engine.
const maxTickets = 64

// Order is one received order, with the status of its response.
type Order struct {
	Op         string `json:"op"`
	ID         string `json:"id"`
	TokenCount int    `json:"token_count"`
	// HoldMs is the hold time in milliseconds, as it was sent.
	HoldMs int  `json:"hold_ms"`
	Wait   bool `json:"wait"`
	Status int  `json:"-"`
}

func (or Order) holdTime() time.Duration { return time.Duration(or.HoldMs) * time.Millisecond }

// ticket is a reservation of memory.
type ticket struct {
	id     string
	tokens int
	// granted is closed once the memory is reserved.
	granted <-chan struct{}
	// renewedAt is the arrival time of the latest order for the ticket, at which its hold time starts.
	renewedAt time.Time
	// expiry deletes the ticket at the end of its hold time.
	expiry *time.Timer
}

// held reports whether the memory is reserved; for a nil ticket it is not.
func (tk *ticket) held() bool {
	if tk == nil {
		return false
	}
	select {
	case <-tk.granted:
		return true
	default:
		return false
	}
}

// Orders returns the orders received so far, including refused ones.
func (en *Engine) Orders() []Order {
	en.mu.Lock()
	defer en.mu.Unlock()
	return slices.Clone(en.orders)
}

func (en *Engine) handleOrder(body []byte) targetsim.Response {
	en.mu.Lock()
	defer en.mu.Unlock()
	var or Order
	or.Status = http.StatusBadRequest
	if json.Unmarshal(body, &or) == nil {
		or.Status = en.applyOrder(or)
	}
	en.orders = append(en.orders, or)
	if or.Status == http.StatusBadRequest {
		return targetsim.NewResponse(or.Status, nil)
	}
	return jsonResponse(or.Status, struct {
		Free int `json:"free"`
	}{en.admission.FreeTokens()})
}

// applyOrder applies an order and returns the status of the response. The caller must hold the lock.
func (en *Engine) applyOrder(or Order) int {
	switch or.Op {
	case "reserve":
		return en.reserve(or)
	case "release":
		if tk := en.tickets[or.ID]; tk != nil {
			en.deleteTicket(tk)
		}
		return http.StatusOK
	default:
		return http.StatusBadRequest
	}
}

// reserve grants, queues or renews a ticket and returns the status of the response. The caller must hold the lock.
func (en *Engine) reserve(or Order) int {
	if or.ID == "" || or.TokenCount <= 0 || or.TokenCount > en.settings.MemoryTokens {
		return http.StatusBadRequest
	}
	if or.holdTime() <= 0 || or.holdTime() > en.settings.MaxHold {
		return http.StatusBadRequest
	}
	tk := en.tickets[or.ID]
	if tk == nil && len(en.tickets) >= maxTickets {
		return http.StatusConflict
	}
	if tk == nil {
		granted := en.admission.Reserve(or.TokenCount, or.Wait)
		if granted == nil {
			return http.StatusConflict
		}
		tk = &ticket{id: or.ID, tokens: or.TokenCount, granted: granted}
		en.tickets[or.ID] = tk
	}
	en.renewTicket(tk, or.holdTime())
	if !tk.held() {
		return http.StatusAccepted
	}
	return http.StatusOK
}

// renewTicket restarts the hold time.
func (en *Engine) renewTicket(tk *ticket, hold time.Duration) {
	if tk.expiry != nil {
		tk.expiry.Stop()
	}
	tk.renewedAt = time.Now()
	renewedAt := tk.renewedAt
	tk.expiry = time.AfterFunc(hold, func() {
		en.mu.Lock()
		defer en.mu.Unlock()
		if en.tickets[tk.id] == tk && tk.renewedAt.Equal(renewedAt) {
			en.deleteTicket(tk)
		}
	})
}

// deleteTicket frees the memory of a ticket and aborts the requests that use it.
func (en *Engine) deleteTicket(tk *ticket) {
	tk.expiry.Stop()
	delete(en.tickets, tk.id)
	en.admission.EndReservation(tk.tokens, tk.granted)
	for hu := range en.helping {
		if hu.ticket == tk {
			hu.abort()
		}
	}
}

// deleteAllTickets deletes all tickets and aborts all requests that this engine helps with.
func (en *Engine) deleteAllTickets() {
	en.mu.Lock()
	defer en.mu.Unlock()
	for _, tk := range en.tickets {
		en.deleteTicket(tk)
	}
	for hu := range en.helping {
		hu.abort()
	}
}

// ticketTokens returns the memory that a ticket reserves, in tokens, or zero for an unknown ticket.
func (en *Engine) ticketTokens(id string) int {
	en.mu.Lock()
	defer en.mu.Unlock()
	if tk := en.tickets[id]; tk != nil {
		return tk.tokens
	}
	return 0
}

// Ticket is a ticket as a load report shows it.
type Ticket struct {
	ID         string `json:"id"`
	TokenCount int    `json:"token_count"`
	State      string `json:"state"`
	AgeMs      int64  `json:"age_ms"`
}

// Tickets returns the tickets, sorted by id.
func (en *Engine) Tickets() []Ticket {
	en.mu.Lock()
	defer en.mu.Unlock()
	all := make([]Ticket, 0, len(en.tickets))
	for _, tk := range en.tickets {
		all = append(all, Ticket{
			ID: tk.id, TokenCount: tk.tokens, State: en.ticketState(tk), AgeMs: time.Since(tk.renewedAt).Milliseconds(),
		})
	}
	slices.SortFunc(all, func(a, b Ticket) int { return strings.Compare(a.ID, b.ID) })
	return all
}

func (en *Engine) ticketState(tk *ticket) string {
	switch {
	case !tk.held():
		return "waiting"
	case en.inUse(tk):
		return "used"
	default:
		return "held"
	}
}

type modelReport struct {
	Name     string   `json:"name"`
	Version  int      `json:"version"`
	Adapters []string `json:"adapters"`
}

type loadReport struct {
	Stage    string        `json:"stage"`
	Models   []modelReport `json:"models"`
	Busy     bool          `json:"busy"`
	Sequence int           `json:"sequence"`
	Waiting  int           `json:"waiting"`
	Running  int           `json:"running"`
	KVUsed   int           `json:"kv_used"`
	KVTotal  int           `json:"kv_total"`
	Handles  int           `json:"handles"`
	Pace     float64       `json:"pace"`
	Tickets  []Ticket      `json:"tickets"`
}

func (en *Engine) handleReport([]byte) targetsim.Response {
	tickets := en.Tickets()
	en.mu.Lock()
	defer en.mu.Unlock()
	en.reportCount++
	return jsonResponse(http.StatusOK, loadReport{
		Stage: "both", Models: []modelReport{{Name: en.settings.Model, Version: en.version, Adapters: []string{}}},
		Waiting: en.admission.WaitingCount(), Running: en.admission.RunningCount(), KVUsed: en.admission.UsedTokens(), KVTotal: en.settings.MemoryTokens,
		Pace: en.slowdown, Tickets: tickets,
	})
}

func jsonResponse(status int, v any) targetsim.Response {
	body, err := json.Marshal(v)
	if err != nil {
		return targetsim.NewResponse(http.StatusInternalServerError, []byte(err.Error()))
	}
	return targetsim.NewResponse(status, body).WithHeader("Content-Type", "application/json")
}
