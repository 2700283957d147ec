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
	// Pieces is the number of pieces in which a response body is sent, PieceInterval the time before each of them; one piece is sent at
	// once.
	Pieces        int
	PieceInterval time.Duration
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

// WithPieces makes the service send response bodies in a number of pieces, each after an interval.
func WithPieces(n int, interval time.Duration) Option {
	return func(se *Settings) { se.Pieces, se.PieceInterval = n, interval }
}

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
	rs := targetsim.NewResponse(http.StatusOK, []byte(svc.ResponseBody(rq.Method, rq.RequestURI)))
	if svc.settings.Pieces > 1 {
		rs.Body = svc.slowBody(ctx, svc.ResponseBody(rq.Method, rq.RequestURI))
	}
	return rs
}

// slowBody returns a body that is sent in pieces.
func (svc *Service) slowBody(ctx context.Context, body string) func(send func([]byte) bool) bool {
	return func(send func([]byte) bool) bool {
		for i := range svc.settings.Pieces {
			select {
			case <-time.After(svc.settings.PieceInterval):
			case <-ctx.Done():
				return false
			}
			piece := body[len(body)*i/svc.settings.Pieces : len(body)*(i+1)/svc.settings.Pieces]
			if !send([]byte(piece)) {
				return false
			}
		}
		return true
	}
}

// startRun counts a run and returns its service time, and whether it is to fail.
func (svc *Service) startRun() (serviceTime time.Duration, failed bool) {
	svc.mu.Lock()
	defer svc.mu.Unlock()
	svc.runCount++
	return svc.serviceTime, svc.settings.ErrorEvery > 0 && svc.runCount%svc.settings.ErrorEvery == 0
}
