// Package plainsim is a stand-in for a plain service of the users: it responds to each request with one body of known
// length, and injects faults on request.
package plainsim

import (
	"context"
	"net/http"
	"strings"
	"sync"
	"time"

	"github.com/silvermount/silvermount/internal/standin/targetsim"
)

const (
	// defaultServiceTime is short to keep tests fast.
	defaultServiceTime = time.Millisecond
	// defaultResponseBytes is the mean length of a plain response in the users' examples.
	defaultResponseBytes = 800
)

// Settings are the settings of a service.
type Settings struct {
	targetsim.Settings
	// ServiceTime is how long a request runs.
	ServiceTime time.Duration
	// ResponseBytes is the length of a response body.
	ResponseBytes int
	// ErrorEvery makes every nth run respond with status 500; zero makes none do so.
	ErrorEvery int
}

// Option changes the settings.
type Option func(*Settings)

// WithSlots sets the maximum numbers of requests that run and that wait for a slot.
func WithSlots(slots, maxWaiting int) Option {
	return func(se *Settings) { se.Slots, se.MaxWaiting = slots, maxWaiting }
}

// WithServiceTime sets how long a request runs.
func WithServiceTime(d time.Duration) Option { return func(se *Settings) { se.ServiceTime = d } }

// WithErrorEvery makes every nth run respond with status 500.
func WithErrorEvery(n int) Option { return func(se *Settings) { se.ErrorEvery = n } }

// Service is a stand-in service.
type Service struct {
	*targetsim.Server
	settings Settings

	mu sync.Mutex
	// serviceTime is the current service time, and runCount the number of runs that were started.
	serviceTime time.Duration
	runCount    int
}

// Start starts a service on a free port of the loopback address.
func Start(opts ...Option) (*Service, error) {
	se := Settings{Settings: targetsim.DefaultSettings(), ServiceTime: defaultServiceTime, ResponseBytes: defaultResponseBytes}
	for _, opt := range opts {
		opt(&se)
	}
	svc := &Service{settings: se, serviceTime: se.ServiceTime}
	aq := targetsim.NewAdmissionQueue(se.Slots, se.MaxWaiting, 0)
	sv, err := targetsim.Start(se.Settings, aq, targetsim.Handler{Run: svc.run})
	if err != nil {
		return nil, err
	}
	svc.Server = sv
	return svc, nil
}

// SetServiceTime sets how long further requests run.
func (svc *Service) SetServiceTime(d time.Duration) {
	svc.mu.Lock()
	defer svc.mu.Unlock()
	svc.serviceTime = d
}

// ResponseBody returns the body of the response to a request with this method and URI.
func (svc *Service) ResponseBody(method, uri string) string {
	line := method + " " + uri + "\n"
	return strings.Repeat(line, svc.settings.ResponseBytes/len(line)+1)[:svc.settings.ResponseBytes]
}

func (svc *Service) run(ctx context.Context, rq *http.Request, begin func()) targetsim.Response {
	begin()
	serviceTime, failed := svc.startRun()
	select {
	case <-time.After(serviceTime):
	case <-ctx.Done():
	}
	if failed {
		return targetsim.NewResponse(http.StatusInternalServerError, []byte("failed"))
	}
	return targetsim.NewResponse(http.StatusOK, []byte(svc.ResponseBody(rq.Method, rq.RequestURI)))
}

// startRun counts a run and returns its service time, and whether it is to fail.
func (svc *Service) startRun() (serviceTime time.Duration, failed bool) {
	svc.mu.Lock()
	defer svc.mu.Unlock()
	svc.runCount++
	return svc.serviceTime, svc.settings.ErrorEvery > 0 && svc.runCount%svc.settings.ErrorEvery == 0
}
