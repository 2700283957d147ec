package eventlog

import (
	"bytes"
	"io"
	"time"

	"github.com/apex/log"
)

const (
	// flushDelay is how long the first line of a batch waits for further lines: short for a reader of the log, and long enough to
	// batch the lines of many requests.
	flushDelay = 20 * time.Millisecond
	// minBatchBytes is the size at which a batch is written without further delay: the capacity of a Linux pipe.
	minBatchBytes = 64 << 10
	// reportInterval is the time between two reports of dropped lines.
	reportInterval = time.Second
	// writeFailureKind is the kind under which lines lost in failed writes are reported.
	writeFailureKind = "lines of a failed write"
)

// batch collects lines and writes them in one call.
type batch struct {
	w   io.Writer
	buf []byte
	// lostLines is the number of lines lost in failed writes so far.
	lostLines int
	// firstErr is the first error of the writer.
	firstErr error
}

// flush writes the collected lines and returns how many of them were lost. Lines of a partial write that are cut off count as lost.
func (bt *batch) flush() int {
	if len(bt.buf) == 0 {
		return 0
	}
	n, err := bt.w.Write(bt.buf)
	if err == nil && n < len(bt.buf) {
		err = io.ErrShortWrite
	}
	lostLines := 0
	if err != nil {
		lostLines = bytes.Count(bt.buf[max(n, 0):], []byte{'\n'})
		bt.lostLines += lostLines
		if bt.firstErr == nil {
			bt.firstErr = err
		}
	}
	bt.buf = bt.buf[:0]
	return lostLines
}

// err returns a WriteError if any write failed, or nil.
func (bt *batch) err() error {
	if bt.firstErr == nil {
		return nil
	}
	return &WriteError{Lines: bt.lostLines, Cause: bt.firstErr}
}

// run writes queued lines until the sink is closed and its queue is empty.
func (sk *Sink) run() {
	defer close(sk.done)
	ticker := time.NewTicker(reportInterval)
	defer ticker.Stop()
	for {
		select {
		case ln := <-sk.queue.Items():
			sk.addToBatch(ln)
			sk.awaitMoreLines()
			sk.writeQueued()
		case <-ticker.C:
			sk.reportDropped()
		case <-sk.closing:
			sk.writeQueued()
			sk.reportDropped()
			return
		}
	}
}

// awaitMoreLines waits for flushDelay or until the sink closes, so that further lines share a write.
func (sk *Sink) awaitMoreLines() {
	timer := time.NewTimer(flushDelay)
	defer timer.Stop()
	select {
	case <-timer.C:
	case <-sk.closing:
	}
}

// writeQueued writes the lines that are queued when it is called. Lines queued later are left for the next batch.
func (sk *Sink) writeQueued() {
	for range sk.queue.Len() {
		sk.addToBatch(<-sk.queue.Items())
	}
	sk.flush()
}

// addToBatch adds a line to the batch and writes the batch once it has minBatchBytes.
func (sk *Sink) addToBatch(ln *line) {
	sk.pending.buf = append(sk.pending.buf, ln.buf...)
	ln.free()
	if len(sk.pending.buf) >= minBatchBytes {
		sk.flush()
	}
}

// flush writes the batch. Lines lost in a failed write are reported by the next reportDropped: there is nowhere else to log them.
func (sk *Sink) flush() {
	lost := sk.pending.flush()
	if lost == 0 {
		return
	}
	sk.dropped.Add(lost)
	sk.quotas.addDropped(writeFailureKind, lost)
}

// reportDropped writes one line for each kind with the number of lines dropped since the last call.
func (sk *Sink) reportDropped() {
	now := sk.now()
	for _, dc := range sk.quotas.takeDropped() {
		fs := log.Fields{partKey: "eventlog", "kind": dc.kind, "count": dc.count}
		if sk.instance != "" {
			fs["instance"] = sk.instance
		}
		ln := newLine()
		ln.format(now, &log.Entry{Level: log.WarnLevel, Message: "lines left out", Fields: fs})
		sk.addToBatch(ln)
	}
	sk.flush()
}
