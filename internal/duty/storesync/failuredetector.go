package storesync

import (
	"sync"
	"time"
)

// failureDetector determines whether the store responds to this instance, for any kind of object. It is safe for concurrent use.
type failureDetector struct {
	// timeout is how long calls may fail or remain unanswered before another instance should watch the store in place of this one.
	timeout time.Duration
	// report is called with true on each response, and with false on each failure after the timeout.
	report func(answered bool)

	mu sync.Mutex
	// lastSuccess is when the newest response was received; initially when the detector was created.
	lastSuccess time.Time
}

func newFailureDetector(timeout time.Duration, report func(answered bool)) *failureDetector {
	return &failureDetector{timeout: timeout, report: report, lastSuccess: time.Now()}
}

// recordSuccess records a response and reports it.
func (fd *failureDetector) recordSuccess() {
	fd.mu.Lock()
	fd.lastSuccess = time.Now()
	fd.mu.Unlock()
	fd.report(true)
}

// recordFailure records a failed call, and reports it if the last response is older than the timeout.
func (fd *failureDetector) recordFailure() {
	fd.mu.Lock()
	sinceSuccess := time.Since(fd.lastSuccess)
	fd.mu.Unlock()
	if sinceSuccess >= fd.timeout {
		fd.report(false)
	}
}
