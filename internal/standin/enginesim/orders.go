package enginesim

import (
	"encoding/json"
	"net/http"
	"time"
)

// Order states which models the engine is to have loaded.
type Order struct {
	// Epoch and Sequence order the orders; a fenced engine refuses older ones.
	Epoch    int64 `json:"epoch"`
	Sequence int64 `json:"sequence"`
	// Models is the wanted end state.
	Models []string `json:"models"`
}

type orderBook struct {
	epoch, sequence int64
	refused         int
}

func (ob *orderBook) older(o Order) bool {
	return o.Epoch < ob.epoch || (o.Epoch == ob.epoch && o.Sequence <= ob.sequence)
}

const loadTime = 2 * time.Second

// order applies an order; a fenced engine refuses one that is older than the last.
func (en *Engine) order(w http.ResponseWriter, r *http.Request) {
	var o Order
	if err := json.NewDecoder(r.Body).Decode(&o); err != nil {
		w.WriteHeader(http.StatusBadRequest)
		return
	}
	en.mu.Lock()
	defer en.mu.Unlock()
	if en.params.Fence && en.orders.older(o) {
		en.orders.refused++
		w.WriteHeader(http.StatusConflict)
		return
	}
	en.orders.epoch, en.orders.sequence = o.Epoch, o.Sequence
	wanted := map[string]bool{}
	for _, m := range o.Models {
		wanted[m] = true
	}
	delay := time.Duration(float64(loadTime) / en.params.Scale)
	time.AfterFunc(delay, func() {
		en.mu.Lock()
		defer en.mu.Unlock()
		if en.orders.epoch == o.Epoch && en.orders.sequence == o.Sequence {
			en.models = wanted
		}
	})
	w.WriteHeader(http.StatusOK)
}

// RefusedOrders returns how many orders were refused as too old.
func (en *Engine) RefusedOrders() int { en.mu.Lock(); defer en.mu.Unlock(); return en.orders.refused }
