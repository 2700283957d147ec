package gateway_test

import (
	"context"
	"net/http"
	"time"

	"github.com/VictoriaMetrics/metrics"
	"github.com/apex/log"
	"github.com/apex/log/handlers/discard"

	"github.com/silvermount/silvermount/internal/backoff"
	"github.com/silvermount/silvermount/internal/budget"
	"github.com/silvermount/silvermount/internal/dispatch"
	"github.com/silvermount/silvermount/internal/feedback"
	"github.com/silvermount/silvermount/internal/gateway"
	"github.com/silvermount/silvermount/internal/position"
	"github.com/silvermount/silvermount/internal/quarantine"
	"github.com/silvermount/silvermount/internal/ratelimit"
	"github.com/silvermount/silvermount/internal/reservation"
	"github.com/silvermount/silvermount/internal/responsehead"
	"github.com/silvermount/silvermount/internal/retrybudget"
	"github.com/silvermount/silvermount/internal/retryledger"
	"github.com/silvermount/silvermount/internal/routes"
	"github.com/silvermount/silvermount/internal/targets"
	"github.com/silvermount/silvermount/internal/upstream"
)

// newGatewayWithTarget returns a gateway with one target, t of service s, to which the route leads.
func newGatewayWithTarget(address string, rt routes.Route) *gateway.Gateway {
	rt.Name, rt.Host, rt.PathPrefix = "r", "example.com", "/"
	rt.Services = []routes.WeightedService{{Service: "s", Weight: 1}}
	hd := &routes.Holder{}
	hd.ApplyIfNewer(routes.New(routes.Config{
		Version: 1, Services: []routes.Service{{Name: "s"}}, Routes: []routes.Route{rt},
	}), nil, time.Now())
	dr := targets.New(time.Now)
	dr.ApplyList([]targets.Target{{ID: "t", Service: "s", Address: address, Slots: 1}}, nil, position.Position{Revision: 1}, time.Now())
	gw := newGateway(hd, discard.New())
	gw.SetLimits(gateway.Limits{MaxBodyBytes: 100})
	gw.Protocol.ReadRequest = func(*http.Request) (gateway.RequestInfo, error) { return gateway.RequestInfo{LastEventID: -1}, nil }
	gw.Protocol.WriteAttempt = func(http.Header, gateway.Attempt) {}
	gw.Protocol.ReadHead = func(*http.Response) responsehead.Head { return responsehead.Head{Verdict: responsehead.Answered} }
	gw.BodyMemory = budget.NewMemory(1 << 20)
	gw.Targets, gw.Pool = dr, upstream.NewPool(time.Now, gw.Metrics, time.Second)
	gw.Dispatcher = dispatch.New(dr, &reservation.Manager{}, dispatch.Options{Now: time.Now})
	gw.Quarantine = quarantine.New(quarantine.Options{
		Now: time.Now, TargetCount: dr.Len, Crashed: dr.Lost, NotifyPeers: func() {}, Metrics: metrics.NewSet(),
		Log: &log.Logger{Handler: discard.New()},
	})
	gw.RetryBudget = newRetryBudget()
	gw.RateLimits, gw.BackOffs = ratelimit.New(time.Now), backoff.New(time.Now, func() float64 { return 0 })
	gw.Feedback = feedback.New(feedback.Deps{
		Targets: dr, RateLimits: gw.RateLimits, BackOffs: gw.BackOffs, OnLeavingChange: func() {}, OnRateLimitChange: func() {},
		Log: &log.Logger{Handler: discard.New()}, Now: time.Now,
	})
	gw.Random = func() float64 { return 0 }
	return gw
}

// newRetryBudget returns a retry budget without limits.
func newRetryBudget() *retrybudget.Budget {
	reserve := func(_ context.Context, service string, n int) (retryledger.Reservation, error) {
		return retryledger.Reservation{Service: service, ID: "r", Retries: n, Until: time.Now().Add(time.Minute)}, nil
	}
	return retrybudget.New(retrybudget.Options{
		Ratio: 1, Reserve: reserve, Release: func(context.Context, retryledger.Reservation, int) error { return nil },
		Spawn: func(f func()) { go f() }, Now: time.Now, Log: &log.Logger{Handler: discard.New()},
	})
}
