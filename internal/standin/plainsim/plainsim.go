// Package plainsim is a stand-in for a plain service of the users: it answers each request with one body of known
// length, and misbehaves when told to.
package plainsim

import (
	"context"
	"net/http"
	"strings"
	"sync"
	"time"

	"github.com/silvermount/silvermount/internal/standin/fault"
)

const (
	// defaultWork keeps tests quick.
	defaultServiceTime = time.Millisecond
	// defaultBytes is the mean length of a plain answer in the users' examples.
	defaultResponseBytes = 800
)

// Settings are the sizes of a service.
type Settings struct {
	fault.Settings
	// Work is how long a request runs.
	ServiceTime time.Duration
	// Bytes is the length of an answer's body.
	ResponseBytes int
	// ErrorEvery makes each run of that ordinal answer 500; zero makes none do so.
	ErrorEvery int
}

// Option changes the settings.
type Option func(*Settings)

// WithSlots bounds the requests that run and those that wait.
func WithSlots(slots, queue int) Option {
	return func(se *Settings) { se.Slots, se.MaxWaiting = slots, queue }
}

// WithWork sets how long a request runs.
func WithServiceTime(d time.Duration) Option { return func(se *Settings) { se.ServiceTime = d } }

// WithErrorEvery makes every nth run answer 500.
func WithErrorEvery(n int) Option { return func(se *Settings) { se.ErrorEvery = n } }

// Service is the stand-in.
type Service struct {
	*fault.Server
	settings Settings

	mu sync.Mutex
	// work is the present work time; count is the number of runs begun.
	serviceTime time.Duration
	runCount    int
}

// Start starts a service on a free port of the loopback address.
func Start(opts ...Option) (*Service, error) {
	se := Settings{Settings: fault.DefaultSettings(), ServiceTime: defaultServiceTime, ResponseBytes: defaultResponseBytes}
	for _, opt := range opts {
		opt(&se)
	}
	ps := &Service{settings: se, serviceTime: se.ServiceTime}
	gt := fault.NewAdmissionQueue(se.Slots, se.MaxWaiting, 0)
	sv, err := fault.Start(se.Settings, gt, fault.Handler{Run: ps.run})
	if err != nil {
		return nil, err
	}
	ps.Server = sv
	return ps, nil
}

// SetWork sets how long the requests to come run.
func (svc *Service) SetServiceTime(d time.Duration) {
	svc.mu.Lock()
	defer svc.mu.Unlock()
	svc.serviceTime = d
}

// Body returns the body that a request for a method and URI is answered with.
func (svc *Service) ResponseBody(method, uri string) string {
	text := method + " " + uri + "\n"
	return strings.Repeat(text, svc.settings.ResponseBytes/len(text)+1)[:svc.settings.ResponseBytes]
}

func (svc *Service) run(ctx context.Context, rq *http.Request, begin func()) fault.Response {
	begin()
	work, failed := svc.startRun()
	select {
	case <-time.After(work):
	case <-ctx.Done():
	}
	if failed {
		return fault.NewResponse(http.StatusInternalServerError, []byte("failed"))
	}
	return fault.NewResponse(http.StatusOK, []byte(svc.ResponseBody(rq.Method, rq.RequestURI)))
}

func (svc *Service) startRun() (work time.Duration, failed bool) {
	svc.mu.Lock()
	defer svc.mu.Unlock()
	svc.runCount++
	return svc.serviceTime, svc.settings.ErrorEvery > 0 && svc.runCount%svc.settings.ErrorEvery == 0
}
