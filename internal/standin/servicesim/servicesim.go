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
	// unframed makes responses end with their connection, without length and chunks.
	unframed bool
	// kill, if not nil, is called after the first killAfter bytes of the body of an unframed response. It ends all connections of the service.
	kill      func()
	killAfter int
}

// New returns a service without faults.
func New() *Service { return &Service{runCounts: map[string]int{}} }

// DropAfterRun makes the next n requests run and then break their connection instead of sending a response.
func (sv *Service) DropAfterRun(n int) { sv.mu.Lock(); sv.responsesToDrop = n; sv.mu.Unlock() }

// SetDelay sets the time that each run takes.
func (sv *Service) SetDelay(d time.Duration) { sv.mu.Lock(); sv.delay = d; sv.mu.Unlock() }

// AnswerUnframed makes all responses end with their connection, without length and chunks.
func (sv *Service) AnswerUnframed() { sv.mu.Lock(); sv.unframed = true; sv.mu.Unlock() }

// KillInAnswer makes the process of the service end after the first bytes of the body of an unframed response. kill closes the listener and all
// other connections.
func (sv *Service) KillInAnswer(afterBytes int, kill func()) {
	sv.mu.Lock()
	defer sv.mu.Unlock()
	sv.unframed, sv.kill, sv.killAfter = true, kill, afterBytes
}

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
	drop, delay, unframed := sv.responsesToDrop > 0, sv.delay, sv.unframed
	if drop {
		sv.responsesToDrop--
	}
	sv.mu.Unlock()
	time.Sleep(delay)
	if drop {
		panic(http.ErrAbortHandler)
	}
	if unframed {
		sv.writeUnframed(w, "done "+string(body))
		return
	}
	_, _ = fmt.Fprintf(w, "done %s", body) // it fails when the caller has closed the connection, which does not matter to the service
}

// writeUnframed writes a response and closes its connection in order, as the kernel does for a process that is killed.
func (sv *Service) writeUnframed(w http.ResponseWriter, body string) {
	sv.mu.Lock()
	kill, killAfter := sv.kill, sv.killAfter
	sv.mu.Unlock()
	nc, _, err := http.NewResponseController(w).Hijack()
	if err != nil {
		return
	}
	defer func() { _ = nc.Close() }() // fails if the caller has reset the connection
	if kill != nil {
		body = body[:killAfter]
		defer kill()
	}
	_, _ = io.WriteString(nc, "HTTP/1.1 200 OK\r\nContent-Type: text/plain\r\n\r\n"+body) // as in ServeHTTP
}
