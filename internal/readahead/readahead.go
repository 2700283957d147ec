// Package readahead reads the response of a target while its caller is slow to take it. A target breaks off a response that is left
// unread, and holds memory and a slot for it until it is read.
package readahead

import (
	"io"
	"sync"
	"time"
)

// Reader reads a response. During a write that takes long it reads ahead into memory, in a goroutine of its own, until the buffer is
// full. The methods other than Pending must be called by one goroutine.
type Reader struct {
	src io.Reader
	// maxBytes is the size of the buffer, delay the duration of a write after which reading ahead starts.
	maxBytes int
	delay    time.Duration
	// reserve reserves the memory of the buffer, and reports whether there is enough.
	reserve func(bytes int64) bool
	timer   *time.Timer

	mu sync.Mutex
	// changed is signalled when a field below has changed.
	changed sync.Cond
	// writing is set during a write. The source is then not read by the goroutine of the caller of Read.
	writing bool
	// started is set once the goroutine reads the source.
	started bool
	// closed is set by Close.
	closed bool
	// buffered holds what was read ahead, err the error that ended the source.
	buffered []byte
	err      error
}

// New returns a Reader of src. It reads up to maxBytes ahead once a write has taken longer than delay and reserve grants the memory.
func New(src io.Reader, maxBytes int, delay time.Duration, reserve func(bytes int64) bool) *Reader {
	rd := &Reader{src: src, maxBytes: maxBytes, delay: delay, reserve: reserve}
	rd.changed.L = &rd.mu
	return rd
}

// Read implements io.Reader. It returns the error of the source after everything that was read ahead.
func (rd *Reader) Read(b []byte) (int, error) {
	rd.mu.Lock()
	if !rd.started {
		rd.mu.Unlock()
		return rd.src.Read(b)
	}
	defer rd.mu.Unlock()
	for len(rd.buffered) == 0 && rd.err == nil {
		rd.changed.Wait()
	}
	if len(rd.buffered) == 0 {
		return 0, rd.err
	}
	n := copy(b, rd.buffered)
	rd.buffered = rd.buffered[n:]
	rd.changed.Broadcast()
	return n, nil
}

// During calls write, and reads ahead if it takes long. It returns the result of write.
func (rd *Reader) During(write func() error) error {
	rd.setWriting(true)
	defer rd.setWriting(false)
	return write()
}

func (rd *Reader) setWriting(writing bool) {
	rd.mu.Lock()
	defer rd.mu.Unlock()
	rd.writing = writing
	switch {
	case rd.started:
	case !writing:
		rd.timer.Stop()
	case rd.timer == nil:
		rd.timer = time.AfterFunc(rd.delay, rd.start)
	default:
		rd.timer.Reset(rd.delay)
	}
}

// start begins to read ahead if the write that the timer was set for still goes on.
func (rd *Reader) start() {
	rd.mu.Lock()
	defer rd.mu.Unlock()
	if !rd.writing || rd.started || rd.closed || !rd.reserve(int64(rd.maxBytes)) {
		return
	}
	rd.started = true
	go rd.readAll()
}

// readAll reads the source until it ends or the Reader is closed.
func (rd *Reader) readAll() {
	const chunkBytes = 4 << 10
	chunk := make([]byte, chunkBytes)
	for rd.waitForSpace() {
		n, err := rd.src.Read(chunk)
		rd.mu.Lock()
		rd.buffered = append(rd.buffered, chunk[:n]...)
		rd.err = err
		rd.changed.Broadcast()
		rd.mu.Unlock()
		if err != nil {
			return
		}
	}
}

// waitForSpace waits until the buffer is not full. It reports false once the Reader is closed.
func (rd *Reader) waitForSpace() bool {
	rd.mu.Lock()
	defer rd.mu.Unlock()
	for len(rd.buffered) >= rd.maxBytes && !rd.closed {
		rd.changed.Wait()
	}
	return !rd.closed
}

// Pending reports whether something was read ahead that Read has not returned yet: data, or the end of the source. It may be called by
// any goroutine.
func (rd *Reader) Pending() bool {
	rd.mu.Lock()
	defer rd.mu.Unlock()
	return len(rd.buffered) > 0 || rd.err != nil
}

// Close stops reading ahead. A read of the source that is under way ends when the source is closed. It returns the number of bytes of
// memory to release.
func (rd *Reader) Close() int64 {
	rd.mu.Lock()
	defer rd.mu.Unlock()
	rd.closed = true
	rd.changed.Broadcast()
	if !rd.started {
		return 0
	}
	return int64(rd.maxBytes)
}
