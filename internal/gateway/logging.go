package gateway

import (
	"math"
	"net/http"
	"strings"
	"time"

	"github.com/apex/log"
	"github.com/cockroachdb/errors"

	"github.com/silvermount/silvermount/internal/dispatch"
	"github.com/silvermount/silvermount/internal/failure"
	"github.com/silvermount/silvermount/internal/quarantine"
	"github.com/silvermount/silvermount/internal/routes"
	"github.com/silvermount/silvermount/internal/targets"
)

// logFields returns the log fields that all messages about a request share.
func (gw *Gateway) logFields(rq *request) log.Fields {
	fs := log.Fields{
		"request": rq.RequestID, "route": rq.route.Name, "elapsed": roundedSince(rq.arrived, gw.Now()).String(),
	}
	if rq.org.Name != "" {
		fs["organisation"] = rq.org.Name
	}
	if rq.table != nil {
		_, confirmedAt := gw.Routes.Current()
		fs["config"] = rq.table.Version()
		fs["proof_age"] = roundedSince(confirmedAt, gw.Now()).String()
	}
	return fs
}

// logSent logs the target of an attempt and the inputs of that choice.
func (gw *Gateway) logSent(rq *request, sl *dispatch.Slot) {
	fs := gw.logFields(rq)
	fs["service"] = rq.service
	fs["target"] = sl.Target.ID
	fs["helpers"] = helperNames(sl)
	fs["prompt_tokens"] = rq.PromptTokens
	fs["candidates"] = sl.CandidateCount
	if li := gw.RateLimits.Limit(sl.Target.ID); li.Limited {
		fs["limit"] = li.String()
	}
	if n := gw.BackOffs.ActiveCount(); n > 0 {
		fs["backed_off"] = n
	}
	fs["predicted_first"] = sl.PredictedFirstToken.Round(time.Millisecond).String()
	fs["predicted_pause"] = sl.PredictedPause.Round(time.Millisecond).String()
	fs["list_age"] = roundedSince(gw.Targets.ConfirmedAt(), gw.Now()).String()
	fs["attempt"] = len(rq.tried) + 1
	gw.Log.WithFields(fs).Info("request sent")
}

// withdrawRetry withdraws a retry of a request from the budget, and logs and counts the decision.
func (gw *Gateway) withdrawRetry(requestID, service string) bool {
	wd := gw.RetryBudget.Withdraw(service)
	fs := log.Fields{
		"request": requestID, "service": service, "source": string(wd.Source), "balance": roundedTenth(wd.Balance),
		"capacity": roundedTenth(wd.Capacity), "share": roundedTenth(wd.Share), "sharers": wd.Sharers, "free": wd.Free,
		"uptime": roundedSince(gw.startedAt, gw.Now()).String(),
	}
	if wd.Cause != nil {
		fs["cause"] = wd.Cause.Error()
	}
	lg, result := gw.Log.WithFields(fs), "denied"
	if wd.Granted() {
		result = string(wd.Source)
		lg.Info("retry withdrawn")
	} else {
		lg.Warn("retry denied")
	}
	gw.Metrics.GetOrCreateCounter(`silvermount_retry_withdrawals_total{result="` + result + `"}`).Inc()
	return wd.Granted()
}

// roundedTenth rounds to a tenth.
func roundedTenth(f float64) float64 { return math.Round(10*f) / 10 }

// logDelayed logs that a request has to wait because targets crashed while running it.
func (gw *Gateway) logDelayed(rq *request, dc quarantine.Decision) {
	fs := gw.logFields(rq)
	fs["fingerprint"] = rq.fingerprint().String()
	fs["ends"] = dc.Crashes
	fs["for"] = dc.Delay.Round(time.Millisecond).String()
	gw.Log.WithFields(fs).Info("request delayed after crashes of its targets")
}

// helperNames returns the incarnations of the helpers, separated by commas.
func helperNames(sl *dispatch.Slot) string {
	names := make([]string, len(sl.Helpers))
	for i, hp := range sl.Helpers {
		names[i] = hp.ID
	}
	return strings.Join(names, ",")
}

func (gw *Gateway) logAttemptFailed(rq *request, tg targets.Target, err error, sent bool) {
	fs := gw.logFields(rq)
	fs["target"] = tg.ID
	fs["cause"] = err.Error()
	fs["sent"] = sent
	rq.addVia(fs)
	fs["events"] = rq.eventsForwarded
	if sent {
		fs["fingerprint"] = rq.fingerprint().String()
		rq.addParts(fs)
	}
	if !rq.headAt.IsZero() {
		fs["answered_for"] = roundedSince(rq.headAt, gw.Now()).String()
	}
	gw.Log.WithFields(fs).Warn("attempt failed")
	gw.Metrics.GetOrCreateCounter(`silvermount_attempts_failed_total`).Inc()
}

// logCrashed logs that a target crashed while running requests. The target's entry in the store shows it only seconds later.
func (gw *Gateway) logCrashed(tg targets.Target, cause string, after time.Duration) {
	gw.Log.WithFields(log.Fields{
		"target": tg.ID, "service": tg.Service, "cause": cause, "after": after.Round(100 * time.Microsecond).String(),
	}).Warn("target crashed")
	gw.Metrics.GetOrCreateCounter(`silvermount_targets_ended_total`).Inc()
}

func (gw *Gateway) logTargetState(tg targets.Target, state, cause string) {
	gw.Log.WithFields(log.Fields{"target": tg.ID, "service": tg.Service, "cause": cause}).Info("target " + state)
}

func (gw *Gateway) logServed(rq *request, rw *responseWriter) {
	fs := gw.logFields(rq)
	fs["status"] = rw.Status()
	fs["outcome"] = "served"
	fs["events"] = rq.eventsForwarded
	fs["prompt_tokens"] = rq.PromptTokens
	fs["first"] = rq.timeToFirst.Round(time.Millisecond).String()
	fs["longest_pause"] = rq.longestPause.Round(time.Millisecond).String()
	fs["in_time"] = rq.inTime()
	if reason := rq.lateBy(); reason != "" {
		fs["late_by"] = reason
	}
	fs["attempts"] = len(rq.tried)
	fs["framing"] = string(rq.framing)
	if rq.end != "" {
		fs["end"] = string(rq.end)
	}
	rq.addVia(fs)
	rq.addParts(fs)
	if len(rq.tried) > 0 {
		// Under load, the log may leave out the message that the request was sent.
		fs["target"] = rq.tried[len(rq.tried)-1]
	}
	gw.Log.WithFields(fs).Info("request served")
	gw.countRequest("served", "")
	gw.observe("silvermount_request_seconds", gw.Now().Sub(rq.arrived))
}

func (gw *Gateway) logFailed(rq *request, rw *responseWriter, fe *failure.Error) {
	fs := gw.logFields(rq)
	fs["reason"] = string(fe.Code)
	fs["prompt_tokens"] = rq.PromptTokens
	fs["outcome"] = string(fe.Outcome)
	fs["events"] = rq.eventsForwarded
	fs["state"] = rq.stateBeforeEnd.String()
	if rw.Started() {
		fs["outcome"] = "broken_off"
	}
	if fe.Cause != nil {
		fs["cause"] = fe.Cause.Error()
	}
	message := "request failed"
	if fe.Outcome == failure.NotRun {
		message = "request refused"
	}
	if rq.noRetryReason != "" {
		fs["no_retry"] = string(rq.noRetryReason)
	}
	if fe.Code == failure.TargetUnreachable || fe.Code == failure.NoTarget {
		gw.addReachFields(fs)
	}
	if fe.Code == failure.EndsTargets {
		fs["fingerprint"] = rq.quarantine.ID().String()
		rq.addParts(fs)
	}
	if fe.Code == failure.Unauthorized {
		gw.addKeyFields(fs, rq.Key)
	}
	gw.Log.WithFields(fs).Warn(message)
	gw.countRequest(string(fe.Outcome), string(fe.Code))
}

// addKeyFields adds what is known of a key that is not in force, without revealing the key itself.
func (gw *Gateway) addKeyFields(fs log.Fields, key string) {
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

// logSkipped logs that nothing was sent to a target after it had been chosen.
func (gw *Gateway) logSkipped(rq *request, tg targets.Target, cause string) {
	fs := gw.logFields(rq)
	fs["target"] = tg.ID
	fs["cause"] = cause
	gw.Log.WithFields(fs).Info("target skipped")
}

// logLeftOut logs that a target is excluded because no connection could be opened, and whether its whole availability zone is
// excluded with it.
func (gw *Gateway) logLeftOut(tg targets.Target) {
	ct := gw.Targets.Connectivity(tg.ID)
	fs := log.Fields{
		"target": tg.ID, "service": tg.Service, "zone": tg.AvailabilityZone, "refusals": ct.ConnectFailures,
		"out_for": ct.ExcludedFor.Round(time.Millisecond).String(), "zone_out": ct.ZoneExcluded,
	}
	gw.addReachFields(fs)
	gw.Log.WithFields(fs).Warn("target left out after connection failure")
}

// addVia adds the peer that the latest attempt was sent through.
func (rq *request) addVia(fs log.Fields) {
	if peer := rq.via.Load(); peer != nil {
		fs["via"] = *peer
	}
}

// maxLoggedParts and maxLoggedPartBytes bound the parts of a prompt in a log line.
const (
	maxLoggedParts     = 8
	maxLoggedPartBytes = 32
)

// addParts adds the parts of the prompt, separated by commas. A part that is in flight at many targets that crash, and in no request
// that is served, may be what crashes them.
func (rq *request) addParts(fs log.Fields) {
	if len(rq.PromptParts) == 0 {
		return
	}
	var shown []string
	for _, id := range rq.PromptParts[:min(len(rq.PromptParts), maxLoggedParts)] {
		shown = append(shown, id[:min(len(id), maxLoggedPartBytes)])
	}
	fs["parts"] = strings.Join(shown, ",")
}

// addReachFields adds what else this instance reaches. One target that accepts no connection while others do is at fault itself; if
// none does while peers are heard, this instance may be the one that is cut off.
func (gw *Gateway) addReachFields(fs log.Fields) {
	fs["reached_age"] = "never"
	if at := gw.Targets.ReachedAt(); !at.IsZero() {
		fs["reached_age"] = roundedSince(at, gw.Now()).String()
	}
	fs["peers_age"] = "none"
	if age, linked := gw.PeersHeardAge(); linked {
		fs["peers_age"] = age.Round(100 * time.Microsecond).String()
	}
}

// logCancelled logs that an attempt ended because its deadline passed, its caller disconnected or the instance stopped.
func (gw *Gateway) logCancelled(rq *request, tg targets.Target, fe *failure.Error) {
	fs := gw.logFields(rq)
	fs["target"] = tg.ID
	fs["cause"] = string(fe.Code)
	rq.addVia(fs)
	fs["events"] = rq.eventsForwarded
	lg := gw.Log.WithFields(fs)
	if fe.Code == failure.DeadlineExceeded {
		lg.Warn("attempt cancelled")
		return
	}
	lg.Info("attempt cancelled")
}

// logStaleness logs when requests that need a key begin to be refused because the configuration is stale, and when they are
// accepted again.
func (gw *Gateway) logStaleness(stale bool, version int64, staleness time.Duration) {
	if gw.configStale.Swap(stale) == stale {
		return
	}
	lg := gw.Log.WithFields(log.Fields{"version": version, "proof_age": staleness.Round(time.Millisecond).String()})
	if stale {
		lg.Warn("configuration not confirmed for too long; refusing requests with keys")
		return
	}
	lg.Info("configuration confirmed again; accepting requests with keys")
}

// logDeadlineError logs that no deadline could be set on a caller's connection, because it has already been closed. A response
// writer without a connection, as in tests, supports no deadlines and is ignored.
func (gw *Gateway) logDeadlineError(rq *request, err error) {
	if err == nil || errors.Is(err, http.ErrNotSupported) {
		return
	}
	gw.Log.WithFields(log.Fields{"request": rq.RequestID, "cause": err.Error()}).Info("cannot set deadline on caller connection")
}

// logNotDelivered logs that an error response did not reach its caller, who may have disconnected.
func (gw *Gateway) logNotDelivered(rq *request, err error) {
	gw.Log.WithFields(log.Fields{"request": rq.RequestID, "cause": err.Error()}).Info("response not delivered")
}

func (gw *Gateway) countRequest(outcome, reason string) {
	gw.Metrics.GetOrCreateCounter(`silvermount_requests_total{outcome="` + outcome + `",reason="` + reason + `"}`).Inc()
}

// countQuarantined counts a request that is refused for a quarantine, by what the quarantine identifies.
func (gw *Gateway) countQuarantined(qu quarantine.Quarantine) {
	gw.Metrics.GetOrCreateCounter(`silvermount_quarantined_requests_total{kind="` + qu.ID().Kind.String() + `"}`).Inc()
}

func (gw *Gateway) observe(name string, d time.Duration) {
	gw.Metrics.GetOrCreateHistogram(name).Update(d.Seconds())
}

// inTime reports whether a stream was forwarded within the route's objective and longest pause.
func (rq *request) inTime() bool { return rq.lateBy() == "" }

// lateBy returns why a stream was late: "first" if its first event missed the objective, else "pause" if it paused for too
// long, and an empty string if it was in time.
func (rq *request) lateBy() string {
	switch {
	case rq.timeToFirst > rq.route.Objective:
		return "first"
	case rq.route.MaxPause > 0 && rq.longestPause > rq.route.MaxPause:
		return "pause"
	default:
		return ""
	}
}

// observeFirstEvent updates the metrics of the time to the first event and of the error of its prediction.
func (gw *Gateway) observeFirstEvent(rq *request, sl *dispatch.Slot) {
	took := gw.Now().Sub(sl.ChosenAt)
	gw.observe("silvermount_first_event_seconds", gw.Now().Sub(rq.arrived))
	gw.observe("silvermount_first_event_prediction_error_seconds", (took - sl.PredictedFirstToken).Abs())
}

// logZoneLeftOut logs that a target's availability zone is excluded until a target there answers a probe.
func (gw *Gateway) logZoneLeftOut(tg targets.Target, cause string) {
	gw.Log.WithFields(log.Fields{"zone": tg.AvailabilityZone, "target": tg.ID, "cause": cause}).Warn("availability zone left out")
}
