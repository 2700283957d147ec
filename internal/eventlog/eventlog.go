// Package eventlog writes structured log lines without ever making the caller wait for the writer.
package eventlog

import (
	"context"
	"io"
	"sync"
	"time"

	"github.com/VictoriaMetrics/metrics"
	"github.com/apex/log"

	"github.com/silvermount/silvermount/internal/ring"
)

const (
	// defaultKindLimit is how many lines a second each kind may write: 100 busy kinds stay
	// near 1 MB a second.
	defaultKindLimit = 50
	// defaultUrgentLimit is the same for warnings, errors and requests that were not served: ten
	// times defaultKindLimit, so that an outage is still told line by line.
	defaultUrgentLimit = 500
	// defaultCapacity is how many lines wait for the writer, about 1 MB of lines of 250 bytes.
	defaultCapacity = 4096
	// urgentRoom is the part of the waiting lines that only urgent ones may take, one in so many: what went well must not
	// fill the room while the writer is slow.
	urgentRoom = 4
	// leftOutCounter counts the lines that were not written.
	leftOutCounter = "silvermount_log_lines_left_out_total"
)

// Sink is an apex/log handler that formats entries as logfmt lines and writes them in batches from one goroutine.
// Its methods may be called by any goroutine. A fatal entry ends the process before its line is written.
type Sink struct {
	// now is the clock of the lines and of the limits; never nil.
	now func() time.Time
	// leftOut is never nil.
	leftOut *metrics.Counter
	// waiting holds formatted lines in the order in which they were offered.
	waiting *ring.Queue[*line]
	// quotas decides which lines are written.
	quotas *quotas
	// commonMost is how many lines may wait before only urgent ones are added.
	commonMost int
	// instance is named in the lines that the sink writes itself; it may be empty.
	instance string
	// out is used by the writing goroutine only.
	out *batch

	// gate orders offers before the close: after closed is set, nothing is added to waiting.
	gate   sync.RWMutex
	closed bool
	// closing is closed once, when no line can be added any more.
	closing chan struct{}
	// done is closed when the writing goroutine has ended.
	done chan struct{}
}

// options are what New is given.
type options struct {
	now                    func() time.Time
	set                    *metrics.Set
	kindLimit, urgentLimit int
	capacity               int
	instance               string
}

// Option changes how a Sink is made.
type Option func(*options)

// WithClock sets the clock instead of time.Now.
func WithClock(now func() time.Time) Option { return func(op *options) { op.now = now } }

// WithMetrics sets the metrics set that holds the counter of lines left out.
func WithMetrics(set *metrics.Set) Option { return func(op *options) { op.set = set } }

// WithKindLimit sets how many lines a second each kind may write.
func WithKindLimit(lines int) Option { return func(op *options) { op.kindLimit = lines } }

// WithUrgentLimit sets how many urgent lines a second each kind may write.
func WithUrgentLimit(lines int) Option { return func(op *options) { op.urgentLimit = lines } }

// WithCapacity sets how many lines may wait for the writer.
func WithCapacity(lines int) Option { return func(op *options) { op.capacity = lines } }

// WithInstance sets the instance that the lines of the sink itself name.
func WithInstance(name string) Option { return func(op *options) { op.instance = name } }

// New returns a running Sink that writes to w.
func New(w io.Writer, opts ...Option) *Sink {
	op := options{now: time.Now, kindLimit: defaultKindLimit, urgentLimit: defaultUrgentLimit, capacity: defaultCapacity}
	for _, o := range opts {
		o(&op)
	}
	if op.set == nil {
		op.set = metrics.NewSet()
	}
	sk := &Sink{
		now:     op.now,
		leftOut: op.set.GetOrCreateCounter(leftOutCounter),
		waiting: ring.New[*line](op.capacity),
		quotas:  newQuotas(op.kindLimit, op.urgentLimit),

		commonMost: op.capacity - op.capacity/urgentRoom,
		instance:   op.instance,

		out:     &batch{w: w},
		closing: make(chan struct{}),
		done:    make(chan struct{}),
	}
	go sk.run()
	return sk
}

// HandleLog formats the entry and hands it to the writing goroutine, or leaves it out and counts it. It always
// returns nil, as apex/log would print an error elsewhere.
func (sk *Sink) HandleLog(e *log.Entry) error {
	now := sk.now()
	pressing := urgent(e)
	if !sk.quotas.admit(now, e.Message, pressing) {
		sk.leftOut.Inc()
		return nil
	}
	ln := newLine()
	ln.format(now, e)
	if !sk.offer(ln, pressing) {
		ln.free()
		sk.quotas.leaveOut(e.Message, 1)
		sk.leftOut.Inc()
	}
	return nil
}

// offer adds a line unless the ring has no room for its kind or the sink is closed.
func (sk *Sink) offer(ln *line, pressing bool) bool {
	sk.gate.RLock()
	defer sk.gate.RUnlock()
	if sk.closed || !pressing && sk.waiting.Len() >= sk.commonMost {
		return false
	}
	return sk.waiting.Offer(ln)
}

// Close refuses further lines and waits until the waiting ones are written or ctx ends. It returns a
// NotDrainedError when ctx ended first and a WriteError when the writer lost lines; it may be called again.
func (sk *Sink) Close(ctx context.Context) error {
	sk.gate.Lock()
	if !sk.closed {
		sk.closed = true
		close(sk.closing)
	}
	sk.gate.Unlock()
	select {
	case <-sk.done:
		return sk.out.failure()
	case <-ctx.Done():
	}
	select {
	case <-sk.done: // Both may have ended; a drained sink is no failure.
		return sk.out.failure()
	default:
		return &NotDrainedError{Lines: sk.waiting.Len(), Cause: ctx.Err()}
	}
}

// urgent reports whether a line falls under the larger limit.
func urgent(e *log.Entry) bool {
	if e.Level >= log.WarnLevel {
		return true
	}
	v, ok := e.Fields[outcomeKey]
	return ok && text(v) != outcomeServed
}
