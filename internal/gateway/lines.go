package gateway

import (
	"context"
	"strings"
	"time"

	"github.com/apex/log"

	"github.com/silvermount/silvermount/internal/dispatch"
	"github.com/silvermount/silvermount/internal/failure"
	"github.com/silvermount/silvermount/internal/targets"
)

// contextFree is for the end of a request's life, which does not depend on its caller.
var contextFree = context.Background()

func (gw *Gateway) fields(rq *request) log.Fields {
	fs := log.Fields{
		"request": rq.RequestID, "route": rq.route.Name, "elapsed": since(rq.arrived, gw.Now()).String(),
	}
	if rq.org.Name != "" {
		fs["organisation"] = rq.org.Name
	}
	if rq.table != nil {
		_, provenAt := gw.Routes.Current()
		fs["config"] = rq.table.Version()
		fs["proof_age"] = since(provenAt, gw.Now()).String()
	}
	return fs
}

// logAttempt says where a request is sent and which inputs decided it.
func (gw *Gateway) logAttempt(rq *request, sl *dispatch.Slot) {
	fs := gw.fields(rq)
	fs["service"] = rq.service
	fs["target"] = sl.Target.ID
	fs["helpers"] = helperNames(sl)
	fs["prompt_tokens"] = rq.PromptTokens
	fs["candidates"] = sl.Candidates
	fs["predicted_first"] = sl.FirstPredicted.Round(time.Millisecond).String()
	fs["predicted_pause"] = sl.PausePredicted.Round(time.Millisecond).String()
	fs["list_age"] = since(gw.Targets.HeardAt(), gw.Now()).String()
	fs["attempt"] = len(rq.tried) + 1
	gw.Log.WithFields(fs).Info("request sent")
}

// helperNames lists the helping targets, separated by commas.
func helperNames(sl *dispatch.Slot) string {
	names := make([]string, len(sl.Helpers))
	for i, hp := range sl.Helpers {
		names[i] = hp.ID
	}
	return strings.Join(names, ",")
}

func (gw *Gateway) logAttemptFailed(rq *request, tg targets.Target, err error, sent bool) {
	fs := gw.fields(rq)
	fs["target"] = tg.ID
	fs["cause"] = err.Error()
	fs["sent"] = sent
	fs["events"] = rq.events
	gw.Log.WithFields(fs).Warn("attempt failed")
	gw.Metrics.GetOrCreateCounter(`silvermount_attempts_failed_total`).Inc()
}

func (gw *Gateway) logBelief(tg targets.Target, what, why string) {
	gw.Log.WithFields(log.Fields{"target": tg.ID, "service": tg.Service, "cause": why}).Info("target " + what)
}

func (gw *Gateway) logServed(rq *request, sk *sink) {
	fs := gw.fields(rq)
	fs["status"] = sk.status
	fs["outcome"] = "served"
	fs["events"] = rq.events
	fs["prompt_tokens"] = rq.PromptTokens
	fs["first"] = rq.first.Round(time.Millisecond).String()
	fs["longest_pause"] = rq.pause.Round(time.Millisecond).String()
	fs["in_time"] = rq.inTime()
	gw.Log.WithFields(fs).Info("request served")
	gw.count("served", "")
	gw.observe("silvermount_request_seconds", gw.Now().Sub(rq.arrived))
}

func (gw *Gateway) logFailed(rq *request, sk *sink, fe *failure.Error) {
	fs := gw.fields(rq)
	fs["reason"] = string(fe.Code)
	fs["outcome"] = string(fe.Outcome)
	fs["events"] = rq.events
	if sk.started {
		fs["outcome"] = "broken_off"
	}
	if fe.Cause != nil {
		fs["cause"] = fe.Cause.Error()
	}
	message := "request failed"
	if fe.Outcome == failure.NotRun {
		message = "request refused"
	}
	gw.Log.WithFields(fs).Warn(message)
	gw.count(string(fe.Outcome), string(fe.Code))
}

func (gw *Gateway) count(outcome, reason string) {
	gw.Metrics.GetOrCreateCounter(`silvermount_requests_total{outcome="` + outcome + `",reason="` + reason + `"}`).Inc()
}

func (gw *Gateway) observe(name string, d time.Duration) {
	gw.Metrics.GetOrCreateHistogram(name).Update(d.Seconds())
}

// inTime reports whether a stream was passed on within the route's objective and longest pause.
func (rq *request) inTime() bool {
	return rq.first <= rq.route.Objective && (rq.route.LongestPause == 0 || rq.pause <= rq.route.LongestPause)
}

// observeFirst notes the time to the first event and how far the prediction was off.
func (gw *Gateway) observeFirst(rq *request, sl *dispatch.Slot) {
	took := gw.Now().Sub(sl.At)
	gw.observe("silvermount_first_event_seconds", gw.Now().Sub(rq.arrived))
	gw.observe("silvermount_first_event_prediction_error_seconds", (took - sl.FirstPredicted).Abs())
}

// logZoneOut tells that the availability zone of a target is left out until a probe is answered there.
func (gw *Gateway) logZoneOut(tg targets.Target, cause string) {
	gw.Log.WithFields(log.Fields{"zone": tg.AvailabilityZone, "target": tg.ID, "cause": cause}).Warn("availability zone left out")
}
