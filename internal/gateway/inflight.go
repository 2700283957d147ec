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
type tally [life.Failed + 1]atomic.Int64

func (ta *tally) enter(st life.State) { ta[st].Add(1) }

func (ta *tally) leave(st life.State) { ta[st].Add(-1) }

func (ta *tally) move(from, to life.State) {
	ta.leave(from)
	ta.enter(to)
}

// InFlight returns the requests that are being served. Those that end at this moment may count twice or not at all.
func (gw *Gateway) InFlight() InFlight {
	return InFlight{
		Waiting:   gw.states[life.Received].Load() + gw.states[life.Waiting].Load(),
		Sent:      gw.states[life.Dispatched].Load(),
		Answering: gw.states[life.Streaming].Load(),
	}
}

// showInFlight puts the counts on the metrics page.
func (gw *Gateway) showInFlight() {
	gauge := func(name string, count func(InFlight) int64) {
		gw.Metrics.GetOrCreateGauge(name, func() float64 { return float64(count(gw.InFlight())) })
	}
	gauge(`silvermount_requests_in_flight{state="waiting"}`, func(inf InFlight) int64 { return inf.Waiting })
	gauge(`silvermount_requests_in_flight{state="sent"}`, func(inf InFlight) int64 { return inf.Sent })
	gauge(`silvermount_requests_in_flight{state="answering"}`, func(inf InFlight) int64 { return inf.Answering })
}

func (gw *Gateway) fire(ctx context.Context, rq *request, tr life.Trigger) error {
	from := rq.life.State
	// The life goes on to its end also for a caller that has gone.
	err := gw.machine.Fire(context.WithoutCancel(ctx), &rq.life, tr)
	gw.states.move(from, rq.life.State)
	return err
}
