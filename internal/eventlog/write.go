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
	flushPause = 20 * time.Millisecond
	// batchSize is the size at which a batch is written, in bytes; the capacity of a Linux pipe.
	batchSize = 64 << 10
	// tellPause is how often lines left out are told.
	tellPause = time.Second
	// lostKind is the kind of the lines that the writer failed to write.
	lostKind = "lines of a failed write"
)

// batch gathers lines and writes them in one call.
type batch struct {
	w   io.Writer
	buf []byte
	// lost is how many lines failed writes lost.
	lost int
	// cause is the first failure of the writer.
	cause error
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
		bt.lost += lost
		if bt.cause == nil {
			bt.cause = err
		}
	}
	bt.buf = bt.buf[:0]
	return lost
}

// failure returns what the writer lost, or nil.
func (bt *batch) failure() error {
	if bt.cause == nil {
		return nil
	}
	return &WriteError{Lines: bt.lost, Cause: bt.cause}
}

// run writes lines until the sink is closed and its ring is empty.
func (sk *Sink) run() {
	defer close(sk.done)
	tk := time.NewTicker(tellPause)
	defer tk.Stop()
	for {
		select {
		case ln := <-sk.waiting.Items():
			sk.add(ln)
			sk.pause()
			sk.drain()
		case <-tk.C:
			sk.tell()
		case <-sk.closing:
			sk.drain()
			sk.tell()
			return
		}
	}
}

// pause lets further lines come, so that they share a write.
func (sk *Sink) pause() {
	tm := time.NewTimer(flushPause)
	defer tm.Stop()
	select {
	case <-tm.C:
	case <-sk.closing:
	}
}

// drain writes the lines that wait now; those that come meanwhile are left for the next batch.
func (sk *Sink) drain() {
	for range sk.waiting.Len() {
		sk.add(<-sk.waiting.Items())
	}
	sk.flush()
}

// add gathers a line and writes the batch when it is large enough.
func (sk *Sink) add(ln *line) {
	sk.out.buf = append(sk.out.buf, ln.buf...)
	ln.free()
	if len(sk.out.buf) >= batchSize {
		sk.flush()
	}
}

// flush writes the batch; the next tell reports lines that the writer lost, as there is nowhere else to log them.
func (sk *Sink) flush() {
	lost := sk.out.flush()
	if lost == 0 {
		return
	}
	sk.leftOut.Add(lost)
	sk.quotas.leaveOut(lostKind, lost)
}

// tell writes how many lines of each kind were left out since the last call.
func (sk *Sink) tell() {
	now := sk.now()
	for _, lo := range sk.quotas.take() {
		fs := log.Fields{partKey: "eventlog", "kind": lo.kind, "count": lo.count}
		if sk.instance != "" {
			fs["instance"] = sk.instance
		}
		ln := newLine()
		ln.format(now, &log.Entry{Level: log.WarnLevel, Message: "lines left out", Fields: fs})
		sk.add(ln)
	}
	sk.flush()
}
