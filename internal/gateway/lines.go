package gateway

import (
	"net/http"
	"strings"
	"time"

	"github.com/apex/log"
	"github.com/cockroachdb/errors"

	"github.com/silvermount/silvermount/internal/blame"
	"github.com/silvermount/silvermount/internal/dispatch"
	"github.com/silvermount/silvermount/internal/failure"
	"github.com/silvermount/silvermount/internal/routes"
	"github.com/silvermount/silvermount/internal/targets"
)

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
	fs["candidates"] = sl.CandidateCount
	if li := gw.Limits.Limit(sl.Target.ID); li.Limited {
		fs["limit"] = li.String()
	}
	if n := gw.BackOffs.ActiveCount(); n > 0 {
		fs["backed_off"] = n
	}
	fs["predicted_first"] = sl.PredictedFirstToken.Round(time.Millisecond).String()
	fs["predicted_pause"] = sl.PredictedPause.Round(time.Millisecond).String()
	fs["list_age"] = since(gw.Targets.ConfirmedAt(), gw.Now()).String()
	fs["attempt"] = len(rq.tried) + 1
	gw.Log.WithFields(fs).Info("request sent")
}

// logHeld says that a request waits, since targets ended under it.
func (gw *Gateway) logHeld(rq *request, vd blame.Decision) {
	fs := gw.fields(rq)
	fs["fingerprint"] = rq.fingerprint().String()
	fs["ends"] = vd.Crashes
	fs["for"] = vd.Delay.Round(time.Millisecond).String()
	gw.Log.WithFields(fs).Info("request held back")
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
	if sent {
		fs["fingerprint"] = rq.fingerprint().String()
	}
	gw.Log.WithFields(fs).Warn("attempt failed")
	gw.Metrics.GetOrCreateCounter(`silvermount_attempts_failed_total`).Inc()
}

// logEnded says that a target ended under what it ran, which its entry does not tell before seconds have gone by.
func (gw *Gateway) logEnded(tg targets.Target, cause string, after time.Duration) {
	gw.Log.WithFields(log.Fields{
		"target": tg.ID, "service": tg.Service, "cause": cause, "after": after.Round(100 * time.Microsecond).String(),
	}).Warn("target ended")
	gw.Metrics.GetOrCreateCounter(`silvermount_targets_ended_total`).Inc()
}

func (gw *Gateway) logBelief(tg targets.Target, what, why string) {
	gw.Log.WithFields(log.Fields{"target": tg.ID, "service": tg.Service, "cause": why}).Info("target " + what)
}

func (gw *Gateway) logServed(rq *request, sk *sink) {
	fs := gw.fields(rq)
	fs["status"] = sk.Status()
	fs["outcome"] = "served"
	fs["events"] = rq.events
	fs["prompt_tokens"] = rq.PromptTokens
	fs["first"] = rq.first.Round(time.Millisecond).String()
	fs["longest_pause"] = rq.pause.Round(time.Millisecond).String()
	fs["in_time"] = rq.inTime()
	if by := rq.lateBy(); by != "" {
		fs["late_by"] = by
	}
	fs["attempts"] = len(rq.tried)
	if len(rq.tried) > 0 {
		// The line that the request was sent may be left out in a busy second.
		fs["target"] = rq.tried[len(rq.tried)-1]
	}
	gw.Log.WithFields(fs).Info("request served")
	gw.count("served", "")
	gw.observe("silvermount_request_seconds", gw.Now().Sub(rq.arrived))
}

func (gw *Gateway) logFailed(rq *request, sk *sink, fe *failure.Error) {
	fs := gw.fields(rq)
	fs["reason"] = string(fe.Code)
	fs["prompt_tokens"] = rq.PromptTokens
	fs["outcome"] = string(fe.Outcome)
	fs["events"] = rq.events
	fs["state"] = rq.endedIn.String()
	if sk.Started() {
		fs["outcome"] = "broken_off"
	}
	if fe.Cause != nil {
		fs["cause"] = fe.Cause.Error()
	}
	message := "request failed"
	if fe.Outcome == failure.NotRun {
		message = "request refused"
	}
	if rq.noRetry != "" {
		fs["no_retry"] = string(rq.noRetry)
	}
	if fe.Code == failure.EndsTargets {
		fs["fingerprint"] = rq.fingerprint().String()
	}
	if fe.Code == failure.Unauthorized {
		gw.keyFields(fs, rq.Key)
	}
	gw.Log.WithFields(fs).Warn(message)
	gw.count(string(fe.Outcome), string(fe.Code))
}

// keyFields says of a key that is not in force what is known of it, without telling it.
func (gw *Gateway) keyFields(fs log.Fields, key string) {
	if key == "" {
		fs["key"] = "none"
		return
	}
	dg := routes.DigestOf(key)
	fs["key"] = dg.String()
	version, known := gw.Routes.RemovedSince(dg)
	fs["key_known"] = known
	if known {
		fs["key_gone"] = version
	}
}

// logPassedOver says that a chosen target was sent nothing after all.
func (gw *Gateway) logPassedOver(rq *request, tg targets.Target, cause string) {
	fs := gw.fields(rq)
	fs["target"] = tg.ID
	fs["cause"] = cause
	gw.Log.WithFields(fs).Info("target passed over")
}

// logLeftOut says that a target takes no connection, and whether its whole availability zone is left out with it.
func (gw *Gateway) logLeftOut(tg targets.Target) {
	ct := gw.Targets.Connectivity(tg.ID)
	gw.Log.WithFields(log.Fields{
		"target": tg.ID, "service": tg.Service, "zone": tg.AvailabilityZone, "refusals": ct.ConnectFailures,
		"out_for": ct.ExcludedFor.Round(time.Millisecond).String(), "zone_out": ct.ZoneExcluded,
	}).Warn("target left out for taking no connection")
}

// logGivenUp says that an attempt ended because its time was over or its caller had left.
func (gw *Gateway) logGivenUp(rq *request, tg targets.Target, fe *failure.Error) {
	fs := gw.fields(rq)
	fs["target"] = tg.ID
	fs["cause"] = string(fe.Code)
	fs["events"] = rq.events
	lg := gw.Log.WithFields(fs)
	if fe.Code == failure.DeadlineExceeded {
		lg.Warn("attempt given up")
		return
	}
	lg.Info("attempt given up")
}

// logProof says when requests with a key begin to be refused for the age of the proof, and when they are taken again.
func (gw *Gateway) logProof(tooOld bool, version int64, age time.Duration) {
	if gw.proofOld.Swap(tooOld) == tooOld {
		return
	}
	lg := gw.Log.WithFields(log.Fields{"version": version, "proof_age": age.Round(time.Millisecond).String()})
	if tooOld {
		lg.Warn("proof of the configuration too old, keys are refused")
		return
	}
	lg.Info("proof of the configuration renewed, keys are taken")
}

// logDeadline says that a caller's connection took no deadline: it has ended already. A writer that is no connection, as
// in tests, has none.
func (gw *Gateway) logDeadline(rq *request, err error) {
	if err == nil || errors.Is(err, http.ErrNotSupported) {
		return
	}
	gw.Log.WithFields(log.Fields{"request": rq.RequestID, "cause": err.Error()}).Info("connection takes no deadline")
}

// logNotPassedOn says that a failure did not reach its caller, who may be gone.
func (gw *Gateway) logNotPassedOn(rq *request, err error) {
	gw.Log.WithFields(log.Fields{"request": rq.RequestID, "cause": err.Error()}).Info("answer not passed on")
}

func (gw *Gateway) count(outcome, reason string) {
	gw.Metrics.GetOrCreateCounter(`silvermount_requests_total{outcome="` + outcome + `",reason="` + reason + `"}`).Inc()
}

func (gw *Gateway) observe(name string, d time.Duration) {
	gw.Metrics.GetOrCreateHistogram(name).Update(d.Seconds())
}

// inTime reports whether a stream was passed on within the route's objective and longest pause.
func (rq *request) inTime() bool { return rq.lateBy() == "" }

// lateBy says what made a stream late first: "first" or "pause"; empty when it is in time.
func (rq *request) lateBy() string {
	switch {
	case rq.first > rq.route.Objective:
		return "first"
	case rq.route.MaxPause > 0 && rq.pause > rq.route.MaxPause:
		return "pause"
	default:
		return ""
	}
}

// observeFirst notes the time to the first event and how far the prediction was off.
func (gw *Gateway) observeFirst(rq *request, sl *dispatch.Slot) {
	took := gw.Now().Sub(sl.ChosenAt)
	gw.observe("silvermount_first_event_seconds", gw.Now().Sub(rq.arrived))
	gw.observe("silvermount_first_event_prediction_error_seconds", (took - sl.PredictedFirstToken).Abs())
}

// logZoneOut tells that the availability zone of a target is left out until a probe is answered there.
func (gw *Gateway) logZoneOut(tg targets.Target, cause string) {
	gw.Log.WithFields(log.Fields{"zone": tg.AvailabilityZone, "target": tg.ID, "cause": cause}).Warn("availability zone left out")
}
