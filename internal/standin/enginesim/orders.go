package enginesim

import (
	"encoding/json"
	"net/http"
	"time"

	"github.com/silvermount/silvermount/internal/engine"
)

type orderState struct {
	epoch, sequence int64
	refusedCount    int
}

func (ob *orderState) isStale(o engine.Order) bool {
	return o.Epoch < ob.epoch || (o.Epoch == ob.epoch && o.Sequence <= ob.sequence)
}

const modelLoadTime = 2 * time.Second

// order applies an order; a fenced engine refuses one that is older than the last.
func (en *Engine) handleOrder(w http.ResponseWriter, r *http.Request) {
	var o engine.Order
	if err := json.NewDecoder(r.Body).Decode(&o); err != nil {
		w.WriteHeader(http.StatusBadRequest)
		return
	}
	en.mu.Lock()
	defer en.mu.Unlock()
	if en.params.FenceOrders && en.orders.isStale(o) {
		en.orders.refusedCount++
		w.WriteHeader(http.StatusConflict)
		return
	}
	en.orders.epoch, en.orders.sequence = o.Epoch, o.Sequence
	wanted := map[string]bool{}
	for _, m := range o.Models {
		wanted[m] = true
	}
	// What is not wanted any more is unloaded at once, what is wanted is there after the load.
	for m := range en.models {
		if !wanted[m] {
			delete(en.models, m)
		}
	}
	delay := time.Duration(float64(modelLoadTime) / en.params.Speedup)
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
func (en *Engine) RefusedOrderCount() int {
	en.mu.Lock()
	defer en.mu.Unlock()
	return en.orders.refusedCount
}
