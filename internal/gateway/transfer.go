package gateway

import (
	"sync/atomic"

	"github.com/silvermount/silvermount/internal/budget"
	"github.com/silvermount/silvermount/internal/failure"
	"github.com/silvermount/silvermount/internal/upstream"
)

// endSlowTransfer ends a request whose target or caller is the slowest to take what is held for it, because memory is short.
func (gw *Gateway) endSlowTransfer(rq *request, rw *responseWriter, held int64) {
	gw.Metrics.GetOrCreateCounter("silvermount_slow_transfers_ended_total").Inc()
	gw.Log.WithField("request", rq.RequestID).WithField("held_bytes", held).WithField("used_bytes", gw.BodyMemory.Used()).
		WithField("elapsed", roundedSince(rq.arrived, gw.Now()).String()).Warn("slow transfer ended, memory is short")
	rq.cancel()
	if rq.responding.Load() {
		// A caller whose target is slow can still be answered.
		gw.logDeadlineError(rq, rw.Controller().SetWriteDeadline(gw.Now()))
	}
}

// slowTransferError returns the failure of a request that was ended by endSlowTransfer.
func (gw *Gateway) slowTransferError(rq *request) *failure.Error {
	return failure.New(failure.NoMemory, gw.outcome(rq), "memory is short, and this transfer was the slowest").WithRetryAfter(overloadRetryAfter)
}

// trackRequestTransfer makes the sending of a request to its target a transfer.
func (rq *request) trackRequestTransfer(progress func() upstream.WriteProgress) {
	rq.memory.BeginTransfer(func() budget.Progress {
		wp := progress()
		return budget.Progress{Taken: wp.Acknowledged, Done: wp.Done}
	})
}

// forwardPartBytes is how much is written to a caller at a time, so that progress within a large body shows.
const forwardPartBytes = 16 << 10

// responseTransfer forwards a response to its caller as a transfer.
type responseTransfer struct {
	gw    *Gateway
	rq    *request
	rw    *responseWriter
	taken atomic.Int64
}

// beginResponseTransfer begins a transfer. end must be called.
func (gw *Gateway) beginResponseTransfer(rq *request, rw *responseWriter) *responseTransfer {
	rt := &responseTransfer{gw: gw, rq: rq, rw: rw}
	rq.responding.Store(true)
	rq.memory.BeginTransfer(func() budget.Progress { return budget.Progress{Taken: rt.taken.Load()} })
	return rt
}

func (rt *responseTransfer) end() {
	rt.rq.memory.EndTransfer()
	rt.rq.responding.Store(false)
}

// forward writes a part of the response in small parts, and flushes the last if flush is set.
func (rt *responseTransfer) forward(b []byte, flush bool) error {
	for {
		if rt.rq.memory.Ended() {
			return rt.gw.slowTransferError(rt.rq)
		}
		part := b[:min(len(b), forwardPartBytes)]
		b = b[len(part):]
		if err := rt.rw.Forward(part, flush && len(b) == 0); err != nil {
			return err
		}
		rt.taken.Add(int64(len(part)))
		if len(b) == 0 {
			return nil
		}
	}
}
