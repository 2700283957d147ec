package gatewaydeps

import (
	"time"

	"github.com/VictoriaMetrics/metrics"
	"github.com/apex/log"

	"github.com/silvermount/silvermount/internal/config"
	"github.com/silvermount/silvermount/internal/dispatch"
	"github.com/silvermount/silvermount/internal/loadreport"
)

// queueBytesShare is the share of the budget for bodies that waiting requests of one service may hold. The rest is for requests that
// arrive, and for those that are being served.
const queueBytesShare = 0.5

// queueOptions returns the options of the queues of waiting requests; nil if they are switched off.
func queueOptions(gw *config.Gateway, lg log.Interface, ms *metrics.Set, reports *loadreport.Exchange) *dispatch.QueueOptions {
	if !gw.LoadControl.Queue {
		return nil
	}
	return &dispatch.QueueOptions{
		MaxBytes: int64(queueBytesShare * float64(gw.BodyBudgetBytes)),
		OnChange: reports.Publish,
		OnWait:   logWait(lg),
		OnWaitEnd: func(ew dispatch.EndedWait) {
			ms.GetOrCreateHistogram(`silvermount_queue_wait_seconds{outcome="` + string(ew.Outcome) + `"}`).Update(ew.Waited.Seconds())
			logWaitEnd(lg, ew)
		},
	}
}

// exchangeQueues shares the queues with peers.
func exchangeQueues(ds *dispatch.Dispatcher, ms *metrics.Set, reports *loadreport.Exchange) {
	reports.Register(loadreport.KindQueues, loadreport.Part{Encode: ds.EncodeQueues, Receive: ds.ReceiveQueues, Forget: ds.ForgetQueues})
	ms.NewGauge("silvermount_queue_length", func() float64 { return float64(ds.QueueLength()) })
}

func logWait(lg log.Interface) func(dispatch.QueuedRequest) {
	return func(qr dispatch.QueuedRequest) {
		lg.WithFields(log.Fields{
			"request": qr.Request, "service": qr.Service, "ahead": qr.Ahead, "waiting": qr.Waiting, "peers_waiting": qr.PeersWaiting,
			"peers": qr.PeerCount, "peers_age": millis(qr.PeersAge), "slack": millis(qr.Slack), "first_token": millis(qr.PredictedFirstToken),
			"at_most": millis(qr.MaxWait), "looked": qr.Looked,
		}).Info("request waits for room")
	}
}

func logWaitEnd(lg log.Interface, ew dispatch.EndedWait) {
	lg.WithFields(log.Fields{
		"request": ew.Request, "service": ew.Service, "outcome": string(ew.Outcome), "for": millis(ew.Waited), "turns": ew.Turns,
		"target": ew.Target,
	}).Info("wait for room ended")
}

// millis formats a duration in milliseconds.
func millis(d time.Duration) string { return d.Round(time.Millisecond).String() }
