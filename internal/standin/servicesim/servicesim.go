// Package servicesim is a small stand-in for a plain service that counts each run.
package servicesim

import (
	"fmt"
	"io"
	"net/http"
	"sync"
	"time"
)

// HeaderRequest carries the caller's name for a request.
const HeaderRequestName = "X-Request-Name"

// Service is the stand-in. Its seams may be set at any time.
type Service struct {
	mu sync.Mutex
	// runs counts by the request's name.
	runCounts map[string]int
	// dropAfter breaks that many connections after the run.
	responsesToDrop int
	delay           time.Duration
}

// New returns a service.
func New() *Service { return &Service{runCounts: map[string]int{}} }

// DropAfterRun makes the next n requests run and then break without an answer.
func (sv *Service) DropAfterRun(n int) { sv.mu.Lock(); sv.responsesToDrop = n; sv.mu.Unlock() }

// SetDelay makes each run take that long.
func (sv *Service) SetDelay(d time.Duration) { sv.mu.Lock(); sv.delay = d; sv.mu.Unlock() }

// Runs returns how often the named request ran.
func (sv *Service) RunCount(name string) int {
	sv.mu.Lock()
	defer sv.mu.Unlock()
	return sv.runCounts[name]
}

// ServeHTTP runs one request and answers with its body.
func (sv *Service) ServeHTTP(w http.ResponseWriter, r *http.Request) {
	body, err := io.ReadAll(r.Body)
	if err != nil {
		return
	}
	sv.mu.Lock()
	sv.runCounts[r.Header.Get(HeaderRequestName)]++
	drop, delay := sv.responsesToDrop > 0, sv.delay
	if drop {
		sv.responsesToDrop--
	}
	sv.mu.Unlock()
	time.Sleep(delay)
	if drop {
		panic(http.ErrAbortHandler)
	}
	_, _ = fmt.Fprintf(w, "done %s", body) // a caller that has gone is no concern of the service
}
