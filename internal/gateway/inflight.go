package gateway

import (
	"context"
	"sync/atomic"

	"github.com/apex/log"

	"github.com/silvermount/silvermount/internal/lifecycle"
)

// InFlight holds the number of requests in flight, by lifecycle state.
type InFlight struct {
	// Waiting counts requests that wait for a target, whether for the first attempt or a retry, and those whose body is still
	// being received.
	Waiting int64
	// Sent counts requests that were sent to a target which has not begun to respond.
	Sent int64
	// Answering counts requests whose response has begun.
	Answering int64
}

// Fields returns the counts as log fields.
func (fl InFlight) Fields() log.Fields {
	return log.Fields{"waiting": fl.Waiting, "sent": fl.Sent, "answering": fl.Answering}
}

// stateCounts counts the requests in each lifecycle state.
type stateCounts [lifecycle.Failed + 1]atomic.Int64

func (sc *stateCounts) enter(st lifecycle.State) { sc[st].Add(1) }

func (sc *stateCounts) leave(st lifecycle.State) { sc[st].Add(-1) }

func (sc *stateCounts) move(from, to lifecycle.State) {
	sc.leave(from)
	sc.enter(to)
}

// InFlight returns the number of requests in flight. A request that ends at the same moment may count twice or not at all.
func (gw *Gateway) InFlight() InFlight {
	return InFlight{
		Waiting:   gw.stateCounts[lifecycle.Received].Load() + gw.stateCounts[lifecycle.Waiting].Load(),
		Sent:      gw.stateCounts[lifecycle.Dispatched].Load(),
		Answering: gw.stateCounts[lifecycle.Streaming].Load(),
	}
}

// registerInFlightGauges registers gauges for the counts.
func (gw *Gateway) registerInFlightGauges() {
	gauge := func(name string, value func(InFlight) int64) {
		gw.Metrics.GetOrCreateGauge(name, func() float64 { return float64(value(gw.InFlight())) })
	}
	gauge(`silvermount_requests_in_flight{state="waiting"}`, func(fl InFlight) int64 { return fl.Waiting })
	gauge(`silvermount_requests_in_flight{state="sent"}`, func(fl InFlight) int64 { return fl.Sent })
	gauge(`silvermount_requests_in_flight{state="answering"}`, func(fl InFlight) int64 { return fl.Answering })
}

// transition applies a trigger to the lifecycle of a request.
func (gw *Gateway) transition(ctx context.Context, rq *request, tr lifecycle.Trigger) error {
	from := rq.lifecycle.State
	// The lifecycle of a request continues to its end even if the caller disconnects.
	err := gw.lifecycle.Fire(context.WithoutCancel(ctx), &rq.lifecycle, tr)
	gw.stateCounts.move(from, rq.lifecycle.State)
	return err
}
