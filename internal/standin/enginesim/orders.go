package enginesim

import (
	"encoding/json"
	"net/http"
	"time"

	"github.com/silvermount/silvermount/internal/engine"
)

// orderState holds the position of the last applied order, and how many stale orders were refused.
type orderState struct {
	epoch, sequence int64
	refusedCount    int
}

func (os *orderState) isStale(o engine.Order) bool {
	return o.Epoch < os.epoch || (o.Epoch == os.epoch && o.Sequence <= os.sequence)
}

// modelLoadTime is the time to load models, before Params.Speedup divides it.
const modelLoadTime = 2 * time.Second

// handleOrder applies an order. With FenceOrders, the engine refuses an order that is not newer than the last one.
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
	// Models that are no longer wanted are unloaded at once; wanted models are available after the load time.
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

// RefusedOrderCount returns how many stale orders were refused.
func (en *Engine) RefusedOrderCount() int {
	en.mu.Lock()
	defer en.mu.Unlock()
	return en.orders.refusedCount
}
