package eventlog

import (
	"bytes"
	"io"
	"time"

	"github.com/apex/log"
)

const (
	// flushPause is how long the first line of a batch waits for more: short for a reader and long
	// enough to join the lines of many requests.
	flushDelay = 20 * time.Millisecond
	// batchSize is the size at which a batch is written, in bytes; the capacity of a Linux pipe.
	minBatchBytes = 64 << 10
	// tellPause is how often lines left out are told.
	reportInterval = time.Second
	// lostKind is the kind of the lines that the writer failed to write.
	writeFailureKind = "lines of a failed write"
)

// batch gathers lines and writes them in one call.
type batch struct {
	w   io.Writer
	buf []byte
	// lost is how many lines failed writes lost.
	lostLines int
	// cause is the first failure of the writer.
	firstErr error
}

// flush writes the gathered lines and returns how many of them were lost.
func (bt *batch) flush() int {
	if len(bt.buf) == 0 {
		return 0
	}
	n, err := bt.w.Write(bt.buf)
	if err == nil && n < len(bt.buf) {
		err = io.ErrShortWrite
	}
	lost := 0
	if err != nil {
		lost = bytes.Count(bt.buf[max(n, 0):], []byte{'\n'})
		bt.lostLines += lost
		if bt.firstErr == nil {
			bt.firstErr = err
		}
	}
	bt.buf = bt.buf[:0]
	return lost
}

// failure returns what the writer lost, or nil.
func (bt *batch) err() error {
	if bt.firstErr == nil {
		return nil
	}
	return &WriteError{Lines: bt.lostLines, Cause: bt.firstErr}
}

// run writes lines until the sink is closed and its ring is empty.
func (sk *Sink) run() {
	defer close(sk.done)
	tk := time.NewTicker(reportInterval)
	defer tk.Stop()
	for {
		select {
		case ln := <-sk.queue.Items():
			sk.addToBatch(ln)
			sk.awaitMoreLines()
			sk.writeQueued()
		case <-tk.C:
			sk.reportDropped()
		case <-sk.closing:
			sk.writeQueued()
			sk.reportDropped()
			return
		}
	}
}

// pause lets further lines come, so that they share a write.
func (sk *Sink) awaitMoreLines() {
	tm := time.NewTimer(flushDelay)
	defer tm.Stop()
	select {
	case <-tm.C:
	case <-sk.closing:
	}
}

// drain writes the lines that wait now; those that come meanwhile are left for the next batch.
func (sk *Sink) writeQueued() {
	for range sk.queue.Len() {
		sk.addToBatch(<-sk.queue.Items())
	}
	sk.flush()
}

// add gathers a line and writes the batch when it is large enough.
func (sk *Sink) addToBatch(ln *line) {
	sk.batch.buf = append(sk.batch.buf, ln.buf...)
	ln.free()
	if len(sk.batch.buf) >= minBatchBytes {
		sk.flush()
	}
}

// flush writes the batch; the next tell reports lines that the writer lost, as there is nowhere else to log them.
func (sk *Sink) flush() {
	lost := sk.batch.flush()
	if lost == 0 {
		return
	}
	sk.dropped.Add(lost)
	sk.quotas.addDropped(writeFailureKind, lost)
}

// tell writes how many lines of each kind were left out since the last call.
func (sk *Sink) reportDropped() {
	now := sk.now()
	for _, lo := range sk.quotas.takeDropped() {
		fs := log.Fields{partKey: "eventlog", "kind": lo.kind, "count": lo.count}
		if sk.instance != "" {
			fs["instance"] = sk.instance
		}
		ln := newLine()
		ln.format(now, &log.Entry{Level: log.WarnLevel, Message: "lines left out", Fields: fs})
		sk.addToBatch(ln)
	}
	sk.flush()
}
