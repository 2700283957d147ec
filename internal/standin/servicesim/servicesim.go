// Package servicesim is a small stand-in for a plain service that counts how often each request ran.
package servicesim

import (
	"fmt"
	"io"
	"net/http"
	"sync"
	"time"
)

// HeaderRequestName holds the name that the caller gives to a request.
const HeaderRequestName = "X-Request-Name"

// Service is a stand-in service. Its faults may be set at any time.
type Service struct {
	mu sync.Mutex
	// runCounts holds the number of runs by request name.
	runCounts map[string]int
	// responsesToDrop is the number of next requests whose connection breaks after the run.
	responsesToDrop int
	delay           time.Duration
}

// New returns a service without faults.
func New() *Service { return &Service{runCounts: map[string]int{}} }

// DropAfterRun makes the next n requests run and then break their connection instead of sending a response.
func (sv *Service) DropAfterRun(n int) { sv.mu.Lock(); sv.responsesToDrop = n; sv.mu.Unlock() }

// SetDelay sets the time that each run takes.
func (sv *Service) SetDelay(d time.Duration) { sv.mu.Lock(); sv.delay = d; sv.mu.Unlock() }

// RunCount returns how often the named request ran.
func (sv *Service) RunCount(name string) int {
	sv.mu.Lock()
	defer sv.mu.Unlock()
	return sv.runCounts[name]
}

// ServeHTTP runs one request and responds with "done" and its body.
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
	_, _ = fmt.Fprintf(w, "done %s", body) // it fails when the caller has closed the connection, which does not matter to the service
}
