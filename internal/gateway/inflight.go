package gateway

import (
	"context"
	"sync/atomic"

	"github.com/apex/log"

	"github.com/silvermount/silvermount/internal/life"
)

// InFlight counts the requests that are being served by what they wait for.
type InFlight struct {
	// Waiting have been sent to no target yet, or look for the next one; those whose body still comes are among them.
	Waiting int64
	// Sent are at a target that has not answered.
	Sent int64
	// Answering have the beginning of their answer.
	Answering int64
}

// Fields returns the counts as fields of a log line.
func (inf InFlight) Fields() log.Fields {
	return log.Fields{"waiting": inf.Waiting, "sent": inf.Sent, "answering": inf.Answering}
}

// tally counts the requests in each state of their life.
type stateCounts [life.Failed + 1]atomic.Int64

func (sc *stateCounts) enter(st life.State) { sc[st].Add(1) }

func (sc *stateCounts) leave(st life.State) { sc[st].Add(-1) }

func (sc *stateCounts) move(from, to life.State) {
	sc.leave(from)
	sc.enter(to)
}

// InFlight returns the requests that are being served. Those that end at this moment may count twice or not at all.
func (gw *Gateway) InFlight() InFlight {
	return InFlight{
		Waiting:   gw.stateCounts[life.Received].Load() + gw.stateCounts[life.Waiting].Load(),
		Sent:      gw.stateCounts[life.Dispatched].Load(),
		Answering: gw.stateCounts[life.Streaming].Load(),
	}
}

// showInFlight puts the counts on the metrics page.
func (gw *Gateway) registerInFlightGauges() {
	gauge := func(name string, count func(InFlight) int64) {
		gw.Metrics.GetOrCreateGauge(name, func() float64 { return float64(count(gw.InFlight())) })
	}
	gauge(`silvermount_requests_in_flight{state="waiting"}`, func(inf InFlight) int64 { return inf.Waiting })
	gauge(`silvermount_requests_in_flight{state="sent"}`, func(inf InFlight) int64 { return inf.Sent })
	gauge(`silvermount_requests_in_flight{state="answering"}`, func(inf InFlight) int64 { return inf.Answering })
}

func (gw *Gateway) transition(ctx context.Context, rq *request, tr life.Trigger) error {
	from := rq.lifecycle.State
	// The life goes on to its end also for a caller that has gone.
	err := gw.lifecycle.Fire(context.WithoutCancel(ctx), &rq.lifecycle, tr)
	gw.stateCounts.move(from, rq.lifecycle.State)
	return err
}
