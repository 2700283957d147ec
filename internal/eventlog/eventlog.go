// Package eventlog writes structured log lines asynchronously. Callers never wait for the writer; lines that it cannot take in time
// are dropped and counted.
package eventlog

import (
	"context"
	"io"
	"sync"
	"time"

	"github.com/VictoriaMetrics/metrics"
	"github.com/apex/log"

	"github.com/silvermount/silvermount/internal/queue"
)

const (
	// defaultKindLimit is how many lines each kind may write per second. With it, 100 busy kinds write about 1 MB per second.
	defaultKindLimit = 50
	// defaultUrgentLimit is the limit for warnings, errors and requests that were not served: ten times defaultKindLimit, so that an
	// outage is still logged line by line.
	defaultUrgentLimit = 500
	// defaultCapacity is how many lines the queue holds: about 1 MB of lines of 250 bytes.
	defaultCapacity = 4096
	// urgentReserveDivisor sets the share of the queue that is reserved for urgent lines, one in urgentReserveDivisor: lines about
	// successful requests must not fill the queue while the writer is slow.
	urgentReserveDivisor = 4
	// droppedCounterName is the metric that counts lines that were not written.
	droppedCounterName = "silvermount_log_lines_left_out_total"
)

// Sink is an apex/log handler that formats entries as logfmt lines and writes them in batches from one goroutine. It is safe for
// concurrent use. For limits and reports, the kind of a line is its message. A fatal entry ends the process before its line is
// written.
type Sink struct {
	// now is the clock for the time of lines and for the limits; never nil.
	now func() time.Time
	// dropped counts the lines that were not written; never nil.
	dropped *metrics.Counter
	// queue holds formatted lines in the order in which they were offered.
	queue *queue.Queue[*line]
	// quotas limits the lines of each kind.
	quotas *quotas
	// maxNormalQueued is the queue length from which only urgent lines are accepted.
	maxNormalQueued int
	// instance is the instance name in lines that the sink writes itself; it may be empty.
	instance string
	// pending is the batch being collected; it is used only by the writing goroutine until done is closed.
	pending *batch

	// mu is held for reading while a line is queued and for writing while closed is set, so that no line is queued after that.
	mu     sync.RWMutex
	closed bool
	// closing is closed once, when no more lines can be queued.
	closing chan struct{}
	// done is closed when the writing goroutine has ended.
	done chan struct{}
}

// options hold the values that an Option can set.
type options struct {
	now                    func() time.Time
	set                    *metrics.Set
	kindLimit, urgentLimit int
	capacity               int
	instance               string
}

// Option configures a Sink.
type Option func(*options)

// WithClock replaces time.Now as the clock.
func WithClock(now func() time.Time) Option { return func(op *options) { op.now = now } }

// WithMetrics sets the metrics set in which the counter of dropped lines is registered.
func WithMetrics(set *metrics.Set) Option { return func(op *options) { op.set = set } }

// WithKindLimit sets how many lines that are not urgent each kind may write per second.
func WithKindLimit(lines int) Option { return func(op *options) { op.kindLimit = lines } }

// WithUrgentLimit sets how many urgent lines each kind may write per second.
func WithUrgentLimit(lines int) Option { return func(op *options) { op.urgentLimit = lines } }

// WithCapacity sets how many lines the queue holds.
func WithCapacity(lines int) Option { return func(op *options) { op.capacity = lines } }

// WithInstance sets the instance name in lines that the sink writes itself.
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
		dropped: op.set.GetOrCreateCounter(droppedCounterName),
		queue:   queue.New[*line](op.capacity),
		quotas:  newQuotas(op.kindLimit, op.urgentLimit),

		maxNormalQueued: op.capacity - op.capacity/urgentReserveDivisor,
		instance:        op.instance,

		pending: &batch{w: w},
		closing: make(chan struct{}),
		done:    make(chan struct{}),
	}
	go sk.run()
	return sk
}

// HandleLog formats the entry and queues it, or drops and counts it if its kind exceeds its limit, the queue is full or the sink is
// closed. It always returns nil, because apex/log would print an error to another writer.
func (sk *Sink) HandleLog(e *log.Entry) error {
	now := sk.now()
	urgent := isUrgent(e)
	if !sk.quotas.admit(now, e.Message, urgent) {
		sk.dropped.Inc()
		return nil
	}
	ln := newLine()
	ln.format(now, e)
	if !sk.offer(ln, urgent) {
		ln.free()
		sk.quotas.addDropped(e.Message, 1)
		sk.dropped.Inc()
	}
	return nil
}

// offer queues a line. It returns false if the queue is too full for the urgency of the line or the sink is closed.
func (sk *Sink) offer(ln *line, urgent bool) bool {
	sk.mu.RLock()
	defer sk.mu.RUnlock()
	if sk.closed || !urgent && sk.queue.Len() >= sk.maxNormalQueued {
		return false
	}
	return sk.queue.Offer(ln)
}

// Close refuses further lines and waits until the queued ones are written or ctx ends. It returns a NotDrainedError if ctx ends
// first, and a WriteError if the writer lost lines. It may be called again.
func (sk *Sink) Close(ctx context.Context) error {
	sk.mu.Lock()
	if !sk.closed {
		sk.closed = true
		close(sk.closing)
	}
	sk.mu.Unlock()
	select {
	case <-sk.done:
		return sk.pending.err()
	case <-ctx.Done():
	}
	select {
	case <-sk.done: // Both may be ready; a drained sink is not an error.
		return sk.pending.err()
	default:
		return &NotDrainedError{Lines: sk.queue.Len(), Cause: ctx.Err()}
	}
}

// isUrgent reports whether an entry is urgent: a warning, an error, or a request with another outcome than served.
func isUrgent(e *log.Entry) bool {
	if e.Level >= log.WarnLevel {
		return true
	}
	v, ok := e.Fields[outcomeKey]
	return ok && valueText(v) != outcomeServed
}
