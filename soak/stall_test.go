//go:build linux

package soak_test

import (
	"sync"
	"time"
)

const (
	// stallTick is the pace of the ticker that measures stalls of the machine.
	stallTick = 20 * time.Millisecond
	// stallLeast is the lag from which one counts: ten times what an idle machine shows.
	stallLeast = 100 * time.Millisecond
)

// span is a stretch of time.
type span struct{ from, to time.Time }

func (sp span) meets(from, to time.Time) bool { return sp.from.Before(to) && sp.to.After(from) }

// stalls records when the machine did not run this process for a while.
type stalls struct {
	mu   sync.Mutex
	list []span
	done chan struct{}
}

func measureStalls() *stalls {
	ss := &stalls{done: make(chan struct{})}
	go ss.run()
	return ss
}

func (ss *stalls) run() {
	last := time.Now()
	for {
		select {
		case <-ss.done:
			return
		case <-time.After(stallTick):
		}
		now := time.Now()
		if now.Sub(last) >= stallTick+stallLeast {
			ss.mu.Lock()
			ss.list = append(ss.list, span{last, now})
			ss.mu.Unlock()
		}
		last = now
	}
}

// within returns the time that stalls took of a stretch.
func (ss *stalls) within(from, to time.Time) time.Duration {
	ss.mu.Lock()
	defer ss.mu.Unlock()
	var sum time.Duration
	for _, sp := range ss.list {
		if sp.meets(from, to) {
			sum += sp.to.Sub(sp.from)
		}
	}
	return sum
}

// all returns the number of stalls and their sum.
func (ss *stalls) all() (int, time.Duration) {
	ss.mu.Lock()
	defer ss.mu.Unlock()
	var sum time.Duration
	for _, sp := range ss.list {
		sum += sp.to.Sub(sp.from)
	}
	return len(ss.list), sum
}

// journal holds the stretches of trouble of each part by name.
type journal struct {
	mu    sync.Mutex
	spans map[string][]*span
}

// endless stands for trouble that has not ended yet.
const endless = 24 * time.Hour

// begin notes trouble and returns what ends it.
func (jn *journal) begin(names ...string) (end func()) {
	jn.mu.Lock()
	defer jn.mu.Unlock()
	now := time.Now()
	sp := &span{now, now.Add(endless)}
	for _, name := range names {
		jn.spans[name] = append(jn.spans[name], sp)
	}
	return func() {
		jn.mu.Lock()
		defer jn.mu.Unlock()
		sp.to = time.Now()
	}
}

// calm reports whether the named parts had no trouble in a stretch.
func (jn *journal) calm(from, to time.Time, names ...string) bool {
	jn.mu.Lock()
	defer jn.mu.Unlock()
	for _, name := range names {
		for _, sp := range jn.spans[name] {
			if sp.meets(from, to) {
				return false
			}
		}
	}
	return true
}
